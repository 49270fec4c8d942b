//! Queue of updates that this process still has to spread by gossip.
//!
//! Scenario: a burst of changes, as when a rack fails or half the fleet is replaced. Each change is
//! sent a bounded number of times and datagrams are bounded, so that a burst takes longer to spread
//! but never sends more per second.

use crate::member::Member;
use crate::packet::UPDATES_BYTES;
use crate::packet::Update;
use crate::value::Key;
use lentillift_core::id;
use std::collections::BTreeMap;

/// Copies of one update for each doubling of the fleet.
///
/// With as many random receivers as doublings an update reaches nearly every host; three times as
/// many tolerate the loss of half the datagrams.
const COPIES: u32 = 3;

/// Subject of an update; a newer update replaces an older one with the same subject.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Host(id::Host),
    Key(Key),
}

#[derive(Debug)]
struct Item {
    update: Update,
    /// Number of times that the update is still to be sent.
    sends_left: u32,
    /// Whether the update has not been sent yet.
    unsent: bool,
}

/// Updates that this process still has to spread.
#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Subject, Item>,
}

impl Queue {
    /// Adds an update, to be sent often enough to reach all of `hosts`.
    pub fn push(&mut self, update: Update, hosts: usize) {
        let subject = match &update {
            Update::Member(member) => Subject::Host(member.host.clone()),
            Update::Value(key, _) => Subject::Key(key.clone()),
        };
        let doublings = usize::BITS - hosts.leading_zeros();
        let item = Item {
            update,
            sends_left: COPIES * doublings.max(1),
            unsent: true,
        };
        self.items.insert(subject, item);
    }

    /// Whether some update has not been sent to anybody yet.
    pub fn has_unsent(&self) -> bool {
        self.items.values().any(|item| item.unsent)
    }

    /// Takes updates for one datagram, and adds `accusation`, a record by which its receiver is
    /// suspect, dead or gone.
    pub fn take_with(&mut self, accusation: Option<Member>) -> Vec<Update> {
        let accusation = accusation.map(Update::Member);
        let mut updates = self.take(accusation.as_ref().map_or(0, Update::bytes));
        updates.extend(accusation);
        updates
    }

    /// Takes updates for one datagram with `used` bytes of other updates, those sent least often
    /// first.
    pub fn take(&mut self, used: usize) -> Vec<Update> {
        let mut order: Vec<&mut Item> = self.items.values_mut().collect();
        order.sort_by_key(|item| std::cmp::Reverse((item.unsent, item.sends_left)));
        let mut space = UPDATES_BYTES.saturating_sub(used);
        let mut taken = Vec::new();
        for item in order {
            let bytes = item.update.bytes();
            if bytes > space {
                continue;
            }
            space -= bytes;
            item.sends_left -= 1;
            item.unsent = false;
            taken.push(item.update.clone());
        }
        self.items.retain(|_, item| item.sends_left > 0);
        taken
    }
}
