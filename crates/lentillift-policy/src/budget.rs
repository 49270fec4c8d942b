//! A budget of extra requests, earned by ordinary ones.
//!
//! Pattern: whatever makes requests slow or fail makes more of them look worth repeating, so that
//! hedges and retries double the load just when there is none to spare. A budget that grows with
//! the ordinary requests bounds them to a share of the load, whatever the reason.

/// Price of one extra request, in hundredths; each ordinary one earns its percentage.
const PRICE: u64 = 100;

/// Extra requests that can be saved up: a query of 68 shards can send all that it is due at once,
/// and a service that was calm for an hour can't send a storm.
const MOST: u64 = 100;

/// Extra requests that can be sent before any has been earned.
const FIRST: u64 = 10;

/// A budget of extra requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    // INVARIANT: At most `MOST * PRICE`.
    saved: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: FIRST * PRICE,
        }
    }
}

impl Budget {
    /// Notes an ordinary request, which earns `percent` of an extra one.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + u64::from(percent)).min(MOST * PRICE);
    }

    /// Pays for an extra request, if the budget allows.
    pub fn spend(&mut self) -> bool {
        match self.saved.checked_sub(PRICE) {
            Some(left) => {
                self.saved = left;
                true
            }
            None => false,
        }
    }

    /// Takes back an extra request that ran nowhere.
    pub fn refund(&mut self) {
        self.saved = (self.saved + PRICE).min(MOST * PRICE);
    }
}
