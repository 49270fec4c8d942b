//! Divides the memory for replies that are being read.
//!
//! Load: servers send bodies without end, to hundreds of requests at once. Each reply alone is
//! within its limit, but together they take more memory than the host has. With a fixed share for
//! each, a large reply of a sound server would not fit while there is plenty of room; first come
//! first served, the endless ones would take everything, and sound servers' replies would fail.
//!
//! So no reply may hold more than what is still free. A single one may hold half of the memory; of
//! many endless ones each is cut at a little, and that much is always left for another reply. Shared
//! buffers of switches are divided by the same rule (Choudhury and Hahne, "Dynamic Queue Length
//! Thresholds for Shared-Memory Packet Switches").

/// Memory for replies that are being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyMemory {
    total: usize,
    // INVARIANT: The sum of what all replies hold, and at most `total`.
    used: usize,
}

/// Whether a reply may grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// It may, and the memory is taken.
    Granted,
    /// It is to be given up.
    Denied,
}

impl ReplyMemory {
    /// Creates a memory of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self { total, used: 0 }
    }

    /// Returns how many bytes all replies hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Decides whether a reply that holds `held` bytes may take `more`.
    pub fn grow(&mut self, held: usize, more: usize) -> Growth {
        let free = self.total - self.used;
        if more > free || held + more > free - more {
            return Growth::Denied;
        }
        // INVARIANT: `more` is at most what is free.
        self.used += more;
        Growth::Granted
    }

    /// Returns the memory of a reply that holds `held` bytes.
    pub fn release(&mut self, held: usize) {
        self.used = self.used.saturating_sub(held);
    }
}
