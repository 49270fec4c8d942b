//! Deadline of the answer to a query, after which missing shards are left out.
//!
//! Pattern: a shard has lost all replicas, or its reply is late. Without this module the caller
//! waits until its own timeout and gets nothing, although 67 of 68 shards have replied. The answer
//! is assembled before the caller's allowance ends, early enough for the merge and the network.
//!
//! Defaults: the network takes 1 to 3 ms to a caller, and a merge of 68 lists well under a
//! millisecond. The margin never takes more than a quarter of a short allowance.

use lentillift_core::time::Time;
use lentillift_settings::policy::Partial as Options;
use lentillift_settings::policy::millis;
use std::time::Duration;

/// Latest time at which the answer to a query is assembled.
pub fn answer_deadline(options: &Options, now: Time, allowance: Duration) -> Time {
    let margin = millis(options.margin_ms).min(allowance / 4);
    now + allowance - margin
}
