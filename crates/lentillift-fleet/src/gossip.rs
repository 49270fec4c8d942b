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
    news: Update,
    /// Number of times that the update is still to be sent.
    left: u32,
    /// Whether the update has not been sent yet.
    new: bool,
}

/// Updates that this process still has to spread.
#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Subject, Item>,
}

impl Queue {
    /// Adds an update, to be sent often enough to reach all of `hosts`.
    pub fn push(&mut self, news: Update, hosts: usize) {
        let subject = match &news {
            Update::Member(member) => Subject::Host(member.host.clone()),
            Update::Value(key, _) => Subject::Key(key.clone()),
        };
        let doublings = usize::BITS - hosts.leading_zeros();
        let item = Item {
            news,
            left: COPIES * doublings.max(1),
            new: true,
        };
        self.items.insert(subject, item);
    }

    /// Whether some update has not been sent to anybody yet.
    pub fn has_new(&self) -> bool {
        self.items.values().any(|item| item.new)
    }

    /// Takes updates for one datagram, and adds `against`, a record by which its receiver is
    /// suspect, dead or gone.
    pub fn take_with(&mut self, against: Option<Member>) -> Vec<Update> {
        let against = against.map(Update::Member);
        let mut news = self.take(against.as_ref().map_or(0, Update::bytes));
        news.extend(against);
        news
    }

    /// Takes updates for one datagram with `used` bytes of other updates, those sent least often
    /// first.
    pub fn take(&mut self, used: usize) -> Vec<Update> {
        let mut order: Vec<&mut Item> = self.items.values_mut().collect();
        order.sort_by_key(|item| std::cmp::Reverse((item.new, item.left)));
        let mut room = UPDATES_BYTES.saturating_sub(used);
        let mut taken = Vec::new();
        for item in order {
            let bytes = item.news.bytes();
            if bytes > room {
                continue;
            }
            room -= bytes;
            item.left -= 1;
            item.new = false;
            taken.push(item.news.clone());
        }
        self.items.retain(|_, item| item.left > 0);
        taken
    }
}
