//! Adaptive slot limit of a warm backend server.
//!
//! Pattern: a backend server slows down under work that its load report does not show. Without
//! this module it keeps its published share, each request takes longer, and callers wait behind
//! it. The published limit is the ceiling. Replies that are slow against the server's own baseline
//! lower the limit by one, down to one; quick replies raise it again. Reported load
//! never moves the limit, for it may lie in either direction.
//!
//! Figures: with 2 or 3 slots a step of one is the smallest there is. One ordinary reply in four
//! takes twice the median or longer where times are exponential; eight slow replies more than quick
//! ones then come by chance once in some ten thousand replies.

use lentillift_settings::policy::Slots as Options;

/// Quick replies that a slow one takes away from the way up.
const COST: u32 = 3;

/// What a reply did to the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Same,
    /// The limit fell by one.
    Fell,
    /// The limit rose by one.
    Rose,
}

/// The adaptive slot limit of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slots {
    ceiling: u32,
    // INVARIANT: From 1 to `ceiling`, or 0 with a ceiling of 0.
    limit: u32,
    slow: u32,
    quick: u32,
}

impl Slots {
    /// Starts at the published limit.
    pub fn new(ceiling: u32) -> Self {
        Self {
            ceiling,
            limit: ceiling,
            slow: 0,
            quick: 0,
        }
    }

    /// How many requests may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Takes in a newly published limit.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        if ceiling != self.ceiling {
            *self = Self::new(ceiling);
        }
    }

    /// Takes in a reply that took `percent` of the server's baseline.
    pub fn note(&mut self, options: &Options, percent: u32) -> Change {
        if !options.on {
            self.limit = self.ceiling;
            return Change::Same;
        }
        match percent > options.slow_percent {
            true => self.note_slow(options),
            false => self.note_quick(options),
        }
    }

    fn note_slow(&mut self, options: &Options) -> Change {
        self.quick = self.quick.saturating_sub(COST);
        self.slow += 1;
        if self.slow < options.slow_replies {
            return Change::Same;
        }
        self.slow = 0;
        if self.limit <= 1 {
            return Change::Same;
        }
        self.limit -= 1;
        Change::Fell
    }

    fn note_quick(&mut self, options: &Options) -> Change {
        self.slow = self.slow.saturating_sub(1);
        if self.limit == self.ceiling {
            return Change::Same;
        }
        self.quick += 1;
        if self.quick < options.quick_replies {
            return Change::Same;
        }
        self.quick = 0;
        self.limit += 1;
        Change::Rose
    }
}
