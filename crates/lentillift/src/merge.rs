//! One time line from the time lines of many processes.
//!
//! Clocks of hosts differ by more than the events lie apart, so an order by clock shows effects
//! before their causes. Two things are known for sure: the order within one process, and that what
//! a process received from another was sent before. All else goes by the clock.

use lentillift_core::id;
use lentillift_operator::event::Event;
use lentillift_operator::event::Page;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
    /// Lines whose next event may be placed, by its clock.
    ready: BinaryHeap<Reverse<(u64, usize)>>,
    /// Lines whose next event waits for a hand-over.
    waiting: HashMap<Token, Vec<usize>>,
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
    for at in 0..merge.lines.len() {
        merge.enqueue(at);
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
        let lines = pages.into_iter().map(|page| Line {
            host: page.host,
            incarnation: page.incarnation,
            events: page.events.into_iter().peekable(),
            last_ms: 0,
        });
        Self {
            lines: lines.collect(),
            ready: BinaryHeap::new(),
            waiting: HashMap::new(),
            pending,
            placed: HashMap::new(),
        }
    }

    /// Makes a line's next event ready, or lets it wait for its cause.
    fn enqueue(&mut self, at: usize) {
        let Some(event) = self.lines[at].events.peek() else {
            return;
        };
        match cause(event).filter(|cause| self.pending.contains(cause)) {
            Some(cause) => self.waiting.entry(cause).or_default().push(at),
            None => self.ready.push(Reverse((event.wall_ms, at))),
        }
    }

    /// The next event: the earliest by clock among those whose causes have been placed.
    fn next(&mut self) -> Option<Placed> {
        let at = match self.ready.pop() {
            Some(Reverse((_, at))) => at,
            None => self.release()?,
        };
        let line = &mut self.lines[at];
        let event = line.events.next()?;
        let caused = cause(&event).and_then(|cause| self.placed.get(&cause).copied());
        let at_ms = event.wall_ms.max(line.last_ms).max(caused.unwrap_or(0));
        line.last_ms = at_ms;
        let (host, incarnation) = (line.host.clone(), line.incarnation);
        // Whoever received something may pass it on, so what was received counts as well.
        if let Some(token) = event.note.token.clone() {
            self.place((host.clone(), token), at_ms);
        }
        self.enqueue(at);
        Some(Placed {
            host,
            incarnation,
            at_ms,
            event,
        })
    }

    /// Notes that a hand-over has its place; whoever waited for it may follow.
    fn place(&mut self, token: Token, at_ms: u64) {
        self.pending.remove(&token);
        for at in self.waiting.remove(&token).unwrap_or_default() {
            self.enqueue(at);
        }
        self.placed.entry(token).or_insert(at_ms);
    }

    /// Takes the earliest by clock of the lines that wait.
    ///
    /// All wait where causes form a circle, as in a record with holes; the clock decides.
    fn release(&mut self) -> Option<usize> {
        let mut earliest: Option<(Option<u64>, usize, Token)> = None;
        for (token, waiting) in &self.waiting {
            for at in waiting {
                let clock = self.lines[*at].events.peek().map(|event| event.wall_ms);
                if earliest
                    .as_ref()
                    .is_none_or(|best| (clock, *at) < (best.0, best.1))
                {
                    earliest = Some((clock, *at, token.clone()));
                }
            }
        }
        let (_, at, token) = earliest?;
        if let Some(waiting) = self.waiting.get_mut(&token) {
            waiting.retain(|other| *other != at);
        }
        Some(at)
    }
}

/// The hand-over that an event needs.
fn cause(event: &Event) -> Option<Token> {
    let from = event.note.from.clone()?;
    Some((from, event.note.token.clone()?))
}
