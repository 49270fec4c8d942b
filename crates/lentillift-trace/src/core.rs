//! The cores that can be recorded and replayed.

use crate::line::CoreKind;
use crate::line::Head;
use lentillift_core::time::Time;
use lentillift_entry::core::Entry;
use lentillift_once::core::Once;
use lentillift_once::home;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A state machine without I/O that takes timed events and returns effects.
pub trait Core {
    /// An input, such as a request, a reply or a tick.
    type Event: Serialize + DeserializeOwned;
    /// An action that the process must carry out, such as sending a sub-request.
    type Effect: Serialize;

    /// The core, as the head of its traces names it.
    const KIND: CoreKind;

    /// Creates the core in the state in which the process described by `head` starts it.
    fn start(head: &Head) -> Self;

    /// Processes an event and returns its effects.
    fn handle(&mut self, now: Time, event: Self::Event) -> Vec<Self::Effect>;

    /// Time at which the next tick is due; none if no timer is set.
    fn next_wake(&self) -> Option<Time>;

    /// The event that makes the core run the timers that are due.
    fn tick() -> Self::Event;
}

impl Core for Entry<StdRng> {
    type Event = lentillift_entry::core::Event;
    type Effect = lentillift_entry::core::Effect;

    const KIND: CoreKind = CoreKind::Entry;

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

    const KIND: CoreKind = CoreKind::Once;

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
