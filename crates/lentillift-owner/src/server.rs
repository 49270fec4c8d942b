//! The state that an owner keeps for one backend server.

use crate::queue::Queue;
use lentillift_policy::warmup;
use lentillift_policy::warmup::Warmup;
use lentillift_settings::config::Service;

/// The state that an owner keeps for one backend server.
#[derive(Debug)]
pub struct Server {
    /// Sub-requests that wait for a slot.
    pub queue: Queue,
    /// Requests sent and not yet answered.
    // INVARIANT: Never raised while at or above the limit in force.
    pub in_flight: u32,
    /// How far the server has warmed up.
    pub warmup: Warmup,
}

impl Server {
    /// Starts with a server that is held to be cold.
    pub fn new(service: &Service) -> Self {
        let options = warmup::Options {
            cold: service.cold_slots,
            warm: service.slots,
            ..warmup::Options::default()
        };
        Self {
            queue: Queue::default(),
            in_flight: 0,
            warmup: Warmup::new(options),
        }
    }

    /// Starts with a server whose service is not configured; it gets nothing.
    pub fn unknown() -> Self {
        let options = warmup::Options {
            cold: 0,
            warm: 0,
            ..warmup::Options::default()
        };
        Self {
            queue: Queue::default(),
            in_flight: 0,
            warmup: Warmup::new(options),
        }
    }

    /// Whether one more request may be sent now.
    pub fn has_room(&self) -> bool {
        self.in_flight < self.warmup.limit()
    }
}
