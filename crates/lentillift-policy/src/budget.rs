//! A budget of extra requests (hedges or retries), earned by ordinary requests.
//!
//! Pattern: whatever makes requests slow or fail also makes more of them candidates for hedges and
//! retries, which then double the load just when there is no spare capacity. A budget that grows
//! with the ordinary requests bounds the extra ones to a share of the load, whatever the cause.

/// Price of one extra request in hundredths; each ordinary request earns its percentage.
const PRICE: u64 = 100;

/// Maximum number of extra requests that can be saved up: enough for a query of 68 shards to send
/// all its extra requests at once, and few enough that a service that was calm for an hour cannot
/// send a storm.
const MAX_SAVED: u64 = 100;

/// Extra requests that can be sent before any has been earned.
const INITIAL: u64 = 10;

/// A budget of extra requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// Balance in hundredths of an extra request.
    // INVARIANT: At most `MAX_SAVED * PRICE`.
    saved: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: INITIAL * PRICE,
        }
    }
}

impl Budget {
    /// Records an ordinary request, which earns `percent` hundredths of an extra one.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + u64::from(percent)).min(MAX_SAVED * PRICE);
    }

    /// Pays for an extra request; returns false if the budget does not allow one.
    pub fn spend(&mut self) -> bool {
        match self.saved.checked_sub(PRICE) {
            Some(left) => {
                self.saved = left;
                true
            }
            None => false,
        }
    }

    /// Pays back an extra request that did not run anywhere.
    pub fn refund(&mut self) {
        self.saved = (self.saved + PRICE).min(MAX_SAVED * PRICE);
    }
}
