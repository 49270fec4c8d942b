//! When an answer is given although shards are missing.
//!
//! Pattern: a shard has lost all replicas, or its reply is late. Without this module the caller
//! waits until it gives up, and gets nothing although 67 of 68 shards have answered. The answer is
//! put together before the caller's allowance ends, by a margin for the merge and the network.
//!
//! Figures: callers are 1 to 3 ms away and a merge of 68 lists takes well under a millisecond. The
//! margin never takes more than a quarter of a short allowance.

use lentillift_core::time::Time;
use lentillift_settings::policy::Partial as Options;
use lentillift_settings::policy::millis;
use std::time::Duration;

/// When the answer to a query is put together at the latest.
pub fn answer_deadline(options: &Options, now: Time, allowance: Duration) -> Time {
    let margin = millis(options.margin_ms).min(allowance / 4);
    now + allowance - margin
}
