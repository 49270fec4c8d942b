//! One time line from the time lines of many processes.
//!
//! Clocks of hosts differ by more than the events lie apart, so an order by clock shows effects
//! before their causes. Two things are known for sure: the order within one process, and that what
//! a process received from another was sent before. All else goes by the clock.

use lentillift_core::id;
use lentillift_operator::event::Event;
use lentillift_operator::event::Page;
use serde::Serialize;
use std::collections::HashMap;
use std::collections::HashSet;

/// An event with the process it happened in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Placed {
    /// The host.
    pub host: id::Host,
    /// The incarnation of the host's process.
    pub incarnation: id::Incarnation,
    /// Time since 1970 in milliseconds, moved so that it never lies before that of a cause.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// What was handed over: by which host, and what.
type Token = (id::Host, String);

/// Time lines that are not yet used up.
struct Merge {
    lines: Vec<Line>,
    /// Hand-overs that some time line holds and that have not been placed.
    pending: HashSet<Token>,
    /// When each hand-over was placed, in milliseconds.
    placed: HashMap<Token, u64>,
}

/// The rest of one time line.
struct Line {
    host: id::Host,
    incarnation: id::Incarnation,
    events: std::iter::Peekable<std::vec::IntoIter<Event>>,
    last_ms: u64,
}

/// Puts all events in one order.
pub fn order(pages: Vec<Page>) -> Vec<Placed> {
    let mut merge = Merge::new(pages);
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
        let lines = pages.into_iter().map(|page| Line {
            host: page.host,
            incarnation: page.incarnation,
            events: page.events.into_iter().peekable(),
            last_ms: 0,
        });
        Self {
            lines: lines.collect(),
            pending,
            placed: HashMap::new(),
        }
    }

    /// The next event: the earliest by clock among those whose causes have been placed.
    fn next(&mut self) -> Option<Placed> {
        let mut best: Option<(bool, u64, usize)> = None;
        for at in 0..self.lines.len() {
            let Some(event) = self.lines[at].events.peek() else {
                continue;
            };
            // Where causes form a circle, as in a record with holes, the clock decides.
            let waits = cause(event).is_some_and(|cause| self.pending.contains(&cause));
            let rank = (waits, event.wall_ms, at);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        let (_, _, at) = best?;
        let line = &mut self.lines[at];
        let event = line.events.next()?;
        let caused = cause(&event).and_then(|cause| self.placed.get(&cause).copied());
        let at_ms = event.wall_ms.max(line.last_ms).max(caused.unwrap_or(0));
        line.last_ms = at_ms;
        // Whoever received something may pass it on, so what was received counts as well.
        if let Some(token) = event.note.token.clone() {
            let token = (line.host.clone(), token);
            self.pending.remove(&token);
            self.placed.entry(token).or_insert(at_ms);
        }
        Some(Placed {
            host: line.host.clone(),
            incarnation: line.incarnation,
            at_ms,
            event,
        })
    }
}

/// The hand-over that an event needs.
fn cause(event: &Event) -> Option<Token> {
    let from = event.note.from.clone()?;
    Some((from, event.note.token.clone()?))
}
