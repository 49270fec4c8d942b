//! The parts that can be recorded and replayed.

use crate::line::Head;
use crate::line::Part;
use lentillift_core::time::Time;
use lentillift_entry::core::Entry;
use lentillift_once::core::Once;
use lentillift_once::home;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A part that takes timed events and returns effects.
pub trait Core {
    /// What happens to it.
    type Event: Serialize + DeserializeOwned;
    /// What it wants done.
    type Effect: Serialize;

    /// Which part it is.
    const PART: Part;

    /// Makes the part as a process of that head starts it.
    fn start(head: &Head) -> Self;

    /// Takes in an event and says what to do about it.
    fn handle(&mut self, now: Time, event: Self::Event) -> Vec<Self::Effect>;

    /// When a tick is next due.
    fn next_wake(&self) -> Option<Time>;

    /// The event that tells that time has passed.
    fn tick() -> Self::Event;
}

impl Core for Entry<StdRng> {
    type Event = lentillift_entry::core::Event;
    type Effect = lentillift_entry::core::Effect;

    const PART: Part = Part::Entry;

    fn start(head: &Head) -> Self {
        let entry = Self::new(StdRng::seed_from_u64(head.seed));
        match &head.domain {
            Some(domain) => entry.with_domain(domain.clone()),
            None => entry,
        }
    }

    fn handle(&mut self, now: Time, event: Self::Event) -> Vec<Self::Effect> {
        self.handle(now, event)
    }

    fn next_wake(&self) -> Option<Time> {
        self.next_wake()
    }

    fn tick() -> Self::Event {
        Self::Event::Tick
    }
}

impl Core for Once<StdRng> {
    type Event = lentillift_once::event::Event;
    type Effect = lentillift_once::event::Effect;

    const PART: Part = Part::Once;

    fn start(head: &Head) -> Self {
        let options = home::Options::default();
        let rng = StdRng::seed_from_u64(head.seed);
        Self::new(head.host.clone(), head.incarnation, &options, rng)
    }

    fn handle(&mut self, now: Time, event: Self::Event) -> Vec<Self::Effect> {
        self.handle(now, event)
    }

    fn next_wake(&self) -> Option<Time> {
        self.next_wake()
    }

    fn tick() -> Self::Event {
        Self::Event::Tick
    }
}
