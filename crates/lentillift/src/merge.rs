//! Merges the time lines of many processes into one, in causal order.
//!
//! Clocks of hosts differ by more than the time between events, so an order by clock alone would
//! show effects before their causes. Two relations are certain: the order of events within one
//! process, and that a message was sent before it was received. Other events are ordered by clock.

use lentillift_core::id;
use lentillift_operator::event::Event;
use lentillift_operator::event::Page;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;

/// An event with the process that it happened in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MergedEvent {
    /// Host of the process.
    pub host: id::Host,
    /// Incarnation of the process.
    pub incarnation: id::Incarnation,
    /// Time since the Unix epoch in milliseconds, by the host's clock, but never before the time of its
    /// cause or of an earlier event of its process.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A message between processes: the host that sent it, and the token of its content.
type Message = (id::Host, String);

/// State of a merge.
struct Merge {
    sources: Vec<Source>,
    /// Sources whose next event may be output, by its clock.
    ready: BinaryHeap<Reverse<(u64, usize)>>,
    /// Sources whose next event received a message that has not been output as sent.
    waiting: HashMap<Message, Vec<usize>>,
    /// Messages that occur in some time line and have not been output as sent.
    pending: HashSet<Message>,
    /// Time in the merged time line of each message that was output as sent, in milliseconds.
    sent_ms: HashMap<Message, u64>,
}

/// The remaining events of one time line.
struct Source {
    host: id::Host,
    incarnation: id::Incarnation,
    events: std::iter::Peekable<std::vec::IntoIter<Event>>,
    last_ms: u64,
}

/// Merges all events into one causal order.
pub fn order(pages: Vec<Page>) -> Vec<MergedEvent> {
    let mut merge = Merge::new(pages);
    for index in 0..merge.sources.len() {
        merge.enqueue(index);
    }
    let mut order = Vec::new();
    while let Some(next) = merge.next() {
        order.push(next);
    }
    order
}

impl Merge {
    fn new(pages: Vec<Page>) -> Self {
        let mut pending = HashSet::new();
        for page in &pages {
            let tokens = page
                .events
                .iter()
                .filter_map(|event| event.note.token.clone());
            pending.extend(tokens.map(|token| (page.host.clone(), token)));
        }
        let sources = pages.into_iter().map(|page| Source {
            host: page.host,
            incarnation: page.incarnation,
            events: page.events.into_iter().peekable(),
            last_ms: 0,
        });
        Self {
            sources: sources.collect(),
            ready: BinaryHeap::new(),
            waiting: HashMap::new(),
            pending,
            sent_ms: HashMap::new(),
        }
    }

    /// Marks a source as ready, or as waiting for the cause of its next event.
    fn enqueue(&mut self, index: usize) {
        let Some(event) = self.sources[index].events.peek() else {
            return;
        };
        match cause(event).filter(|cause| self.pending.contains(cause)) {
            Some(cause) => self.waiting.entry(cause).or_default().push(index),
            None => self.ready.push(Reverse((event.wall_ms, index))),
        }
    }

    /// Returns the next event: the earliest by clock among those whose causes have been output.
    fn next(&mut self) -> Option<MergedEvent> {
        let index = match self.ready.pop() {
            Some(Reverse((_, index))) => index,
            None => self.break_cycle()?,
        };
        let source = &mut self.sources[index];
        let event = source.events.next()?;
        let cause_ms = cause(&event).and_then(|cause| self.sent_ms.get(&cause).copied());
        let at_ms = event.wall_ms.max(source.last_ms).max(cause_ms.unwrap_or(0));
        source.last_ms = at_ms;
        let (host, incarnation) = (source.host.clone(), source.incarnation);
        // The receiver of a message may forward it, so a receipt counts as sending it, too.
        if let Some(token) = event.note.token.clone() {
            self.mark_sent((host.clone(), token), at_ms);
        }
        self.enqueue(index);
        Some(MergedEvent {
            host,
            incarnation,
            at_ms,
            event,
        })
    }

    /// Records that a message was sent, and enqueues the sources that wait for it.
    fn mark_sent(&mut self, message: Message, at_ms: u64) {
        self.pending.remove(&message);
        for index in self.waiting.remove(&message).unwrap_or_default() {
            self.enqueue(index);
        }
        self.sent_ms.entry(message).or_insert(at_ms);
    }

    /// Takes the waiting source whose next event is the earliest by clock.
    ///
    /// All sources wait when causes form a cycle, as in time lines with missing events.
    fn break_cycle(&mut self) -> Option<usize> {
        let mut earliest: Option<(Option<u64>, usize, Message)> = None;
        for (message, waiting) in &self.waiting {
            for index in waiting {
                let clock = self.sources[*index]
                    .events
                    .peek()
                    .map(|event| event.wall_ms);
                if earliest
                    .as_ref()
                    .is_none_or(|best| (clock, *index) < (best.0, best.1))
                {
                    earliest = Some((clock, *index, message.clone()));
                }
            }
        }
        let (_, index, message) = earliest?;
        if let Some(waiting) = self.waiting.get_mut(&message) {
            waiting.retain(|other| *other != index);
        }
        Some(index)
    }
}

/// The message that an event received, if any.
fn cause(event: &Event) -> Option<Message> {
    let from = event.note.from.clone()?;
    Some((from, event.note.token.clone()?))
}
