//! Full state messages, for hosts that join and hosts that missed updates.

use super::Effect;
use super::Swim;
use crate::anti_entropy;
use crate::member::Member;
use crate::packet::Body;
use crate::packet::UPDATES_BYTES;
use crate::packet::Update;
use lentillift_core::time::Time;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// How long digests are expected to differ after a start, because hosts of the fleet start
/// together.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time between two full state messages in that period, per host that they contain: about 60 bytes
/// each, so that hosts that start at once know each other within seconds and send at most 200 KB a
/// second.
const FULL_STATE_TIME_PER_HOST: Duration = Duration::from_micros(300);

impl<R> Swim<R>
where
    R: Rng,
{
    /// Sends full state to a host whose digest has differed from this one's for a while.
    ///
    /// Updates are forwarded only a few times, and datagrams get lost; without this a host could
    /// miss another permanently.
    pub(super) fn compare_digests(&mut self, now: Time, from: &Member, theirs: u64) -> Vec<Effect> {
        let same = theirs == self.digest();
        if now < self.started + SETTLE_TIME {
            if same || now < self.next_full_state {
                return Vec::new();
            }
            self.next_full_state = now + FULL_STATE_TIME_PER_HOST * self.table.len() as u32;
            return self.full_state(from.address);
        }
        let spread_time = anti_entropy::member_spread_time(self.table.len());
        match self.divergence.observe(now, same, spread_time) {
            true => self.full_state(from.address),
            false => Vec::new(),
        }
    }

    /// Digest of all hosts, this one included; equal for processes with the same records.
    pub(super) fn digest(&self) -> u64 {
        self.table.digest() ^ self.own.digest()
    }

    /// Datagrams with the records of all other hosts, for a host that has just appeared.
    ///
    /// Updates alone would inform it only of hosts that change after it joined.
    pub(super) fn full_state(&self, to: SocketAddr) -> Vec<Effect> {
        let known = self.table.iter().filter(|m| m.address != to);
        // Hosts that have ended are included: a process that missed an end would wait for that host
        // permanently.
        let known = known.filter(|m| m.version > 0);
        let mut batches = vec![Vec::new()];
        let mut space = UPDATES_BYTES;
        for member in known {
            let update = Update::Member(member.clone());
            let bytes = update.bytes();
            if bytes > space {
                batches.push(Vec::new());
                space = UPDATES_BYTES;
            }
            space = space.saturating_sub(bytes);
            if let Some(batch) = batches.last_mut() {
                batch.push(update);
            }
        }
        let full = batches.into_iter().filter(|batch| !batch.is_empty());
        full.map(|updates| Effect::Packet(to, self.make_packet_with(Body::Push, updates)))
            .collect()
    }
}
