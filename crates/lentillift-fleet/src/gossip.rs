//! News that this process still passes on.
//!
//! Load pattern: a burst of changes, as when a rack goes or half the fleet is replaced. Each change
//! is passed on a bounded number of times and datagrams are bounded, so that a burst takes longer to
//! spread but never sends more per second.

use crate::member::Member;
use crate::packet::UPDATES_BYTES;
use crate::packet::Update;
use crate::value::Key;
use lentillift_core::id;
use std::collections::BTreeMap;

/// Copies of one piece of news for each doubling of the fleet.
///
/// With as many random receivers as doublings everybody hears of it nearly certainly; three times
/// as many bears the loss of half the datagrams.
const COPIES: u32 = 3;

/// What news is about; newer news replaces older about the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Host(id::Host),
    Key(Key),
}

#[derive(Debug)]
struct Item {
    news: Update,
    /// Times it is still to be sent.
    left: u32,
    /// Whether it has not been sent yet.
    new: bool,
}

/// News that this process still passes on.
#[derive(Debug, Default)]
pub struct Queue {
    items: BTreeMap<Subject, Item>,
}

impl Queue {
    /// Adds news, to be sent to so many others that all of `hosts` hear of it.
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

    /// Whether something has not been sent to anybody yet.
    pub fn has_new(&self) -> bool {
        self.items.values().any(|item| item.new)
    }

    /// Takes news for one datagram that also tells its receiver what is held against it.
    pub fn take_with(&mut self, against: Option<Member>) -> Vec<Update> {
        let against = against.map(Update::Member);
        let mut news = self.take(against.as_ref().map_or(0, Update::bytes));
        news.extend(against);
        news
    }

    /// Takes news for one datagram beside `used` bytes, what was sent least often first.
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
