//! Divides the memory for bodies, of replies that are being read or of callers' requests.
//!
//! Load: servers send replies without end, or callers large bodies, by the hundred at once. Each body
//! alone is within its limit, but together they take more memory than the host has. With a fixed
//! share for each, a large body of a sound peer would not fit while there is plenty of room; first
//! come first served, the crowd would take everything, and the bodies of sound peers would fail.
//!
//! So no body may hold more than what is still free. A single one may hold half of the memory; of
//! many large ones each is cut at a little, and that much is always left for another body. Shared
//! buffers of switches are divided by the same rule (Choudhury and Hahne, "Dynamic Queue Length
//! Thresholds for Shared-Memory Packet Switches").

use std::cell::RefCell;
use std::rc::Rc;

/// Memory for bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyMemory {
    total: usize,
    // INVARIANT: The sum of what all bodies hold, and at most `total`.
    used: usize,
}

/// Whether a body may grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// It may, and the memory is taken.
    Granted,
    /// It is to be given up.
    Denied,
}

impl BodyMemory {
    /// Creates a memory of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self { total, used: 0 }
    }

    /// Returns how many bytes all bodies hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Decides whether a body that holds `held` bytes may take `more`.
    pub fn grow(&mut self, held: usize, more: usize) -> Growth {
        let free = self.total - self.used;
        if more > free || held + more > free - more {
            return Growth::Denied;
        }
        // INVARIANT: `more` is at most what is free.
        self.used += more;
        Growth::Granted
    }

    /// Returns the memory of a body that holds `held` bytes.
    pub fn release(&mut self, held: usize) {
        self.used = self.used.saturating_sub(held);
    }
}

/// Memory that one body holds; returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Rc<RefCell<BodyMemory>>,
    // INVARIANT: Counted in `memory`.
    held: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    pub fn new(memory: &Rc<RefCell<BodyMemory>>) -> Self {
        Self {
            memory: memory.clone(),
            held: 0,
        }
    }

    /// Returns how many bytes it holds.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Takes `more` bytes, if the body may grow.
    pub fn grow(&mut self, more: usize) -> Growth {
        let growth = self.memory.borrow_mut().grow(self.held, more);
        if growth == Growth::Granted {
            self.held += more;
        }
        growth
    }

    /// Returns all but `bytes` bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.held.saturating_sub(bytes);
        self.memory.borrow_mut().release(excess);
        self.held -= excess;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
