//! Full state messages, for hosts that join and hosts that missed updates.

use super::Effect;
use super::Swim;
use crate::drift;
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
const SETTLING: Duration = Duration::from_secs(10);

/// Time between two full state messages in that period, per host that they contain: about 60 bytes
/// each, so that hosts that start at once know each other within seconds and send at most 200 KB a
/// second.
const TABLE_TIME: Duration = Duration::from_micros(300);

impl<R> Swim<R>
where
    R: Rng,
{
    /// Sends full state to a host whose digest has differed from this one's for a while.
    ///
    /// Updates are forwarded only a few times, and datagrams get lost; without this a host could
    /// miss another permanently.
    pub(super) fn compare(&mut self, now: Time, from: &Member, theirs: u64) -> Vec<Effect> {
        let same = theirs == self.digest();
        if now < self.started + SETTLING {
            if same || now < self.next_table {
                return Vec::new();
            }
            self.next_table = now + TABLE_TIME * self.table.len() as u32;
            return self.introduce(from.address);
        }
        let patience = drift::member_patience(self.table.len());
        match self.drift.observe(now, same, patience) {
            true => self.introduce(from.address),
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
    pub(super) fn introduce(&self, to: SocketAddr) -> Vec<Effect> {
        let known = self.table.iter().filter(|m| m.address != to);
        // Hosts that have ended are included: a process that missed an end would wait for that host
        // permanently.
        let known = known.filter(|m| m.version > 0);
        let mut batches = vec![Vec::new()];
        let mut room = UPDATES_BYTES;
        for member in known {
            let news = Update::Member(member.clone());
            let bytes = news.bytes();
            if bytes > room {
                batches.push(Vec::new());
                room = UPDATES_BYTES;
            }
            room = room.saturating_sub(bytes);
            if let Some(batch) = batches.last_mut() {
                batch.push(news);
            }
        }
        let full = batches.into_iter().filter(|batch| !batch.is_empty());
        full.map(|news| Effect::Packet(to, self.carry(Body::Push, news)))
            .collect()
    }
}
