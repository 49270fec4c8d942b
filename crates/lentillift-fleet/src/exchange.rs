//! Exchanges values and full state with peers and the configuration service.

use crate::core::Effect;
use crate::core::Fleet;
use crate::core::note;
use crate::packet::Update;
use crate::read::Index;
use crate::sync;
use crate::value::Key;
use crate::value::Offer;
use crate::value::Stamp;
use lentillift_core::error::Result;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;

impl<R> Fleet<R>
where
    R: Rng,
{
    pub(crate) fn message(
        &mut self,
        now: Time,
        from: &id::Host,
        message: sync::Message,
    ) -> Vec<Effect> {
        match message {
            sync::Message::Ask => vec![Effect::Message(from.clone(), self.tell())],
            sync::Message::Told {
                members,
                stamps: marks,
            } => {
                let mut effects = Vec::new();
                for member in &members {
                    effects.extend(self.learn(now, member));
                }
                for (key, mark) in marks {
                    self.want(&key, mark, from);
                }
                self.told.insert(from.clone());
                effects.extend(self.pull(now));
                effects
            }
            sync::Message::Pull {
                key,
                stamp: mark,
                offset,
            } => {
                let chunk = sync::serve(&self.store, &key, mark, offset);
                let chunk = chunk.map(|chunk| Effect::Message(from.clone(), chunk));
                chunk.into_iter().collect()
            }
            chunk @ sync::Message::Chunk { .. } => self.chunk(now, from, chunk),
        }
    }

    /// Full state of this process.
    ///
    /// Hosts that have ended and are no longer published are left out: processes would remind each
    /// other of them for ever.
    fn tell(&self) -> sync::Message {
        let known = self.table.iter().filter(|member| {
            let past = member.is_over() && !self.table.is_published(&member.host);
            member.version > 0 && !past
        });
        let marks = self.store.marks();
        sync::Message::Told {
            members: known.chain([&self.own]).cloned().collect(),
            stamps: marks.map(|(key, mark)| (key.clone(), mark)).collect(),
        }
    }

    pub(crate) fn want(&mut self, key: &Key, mark: Stamp, holder: &id::Host) {
        let refused = self.refused.get(key) == Some(&mark);
        if mark > self.store.mark(key) && !refused && crate::value::is_known(key) {
            self.fetch.want(key, mark, holder);
        }
    }

    /// Requests wanted values from peers.
    pub(crate) fn pull(&mut self, now: Time) -> Vec<Effect> {
        let letters = self.fetch.tick(now).into_iter();
        letters
            .map(|(to, message)| Effect::Message(to, message))
            .collect()
    }

    fn chunk(&mut self, now: Time, from: &id::Host, chunk: sync::Message) -> Vec<Effect> {
        let (arrival, letter) = self.fetch.chunk(now, from, chunk);
        let mut effects: Vec<Effect> = letter
            .into_iter()
            .map(|(to, message)| Effect::Message(to, message))
            .collect();
        if let Some(arrival) = arrival {
            let offered = self
                .store
                .offer(&arrival.key, arrival.version, &arrival.body);
            if offered.is_err() {
                self.refused.insert(arrival.key.clone(), arrival.mark);
            }
            effects.extend(self.offered(now, &arrival.key, offered, Some(from)));
            effects.extend(self.pull(now));
        }
        effects
    }

    pub(crate) fn index(&mut self, now: Time, index: Option<Index>) -> Vec<Effect> {
        let failed = index.is_none();
        let before = self.reader.failures();
        let store = &self.store;
        let held = |key: &Key| Some(store.get(key)?.version);
        if let Some(asked) = self.reader.index(now, index, held) {
            self.freshness.prove(asked);
        }
        let kind = "configuration service";
        match (failed, before) {
            (true, 0) => vec![note(kind, "index", "fails".to_owned())],
            (false, 1..) => vec![note(kind, "index", "answers again".to_owned())],
            _ => self.call(now),
        }
    }

    pub(crate) fn value(&mut self, now: Time, key: &Key, body: Option<Vec<u8>>) -> Vec<Effect> {
        let version = self.reader.value(now, key, body.is_some());
        let mut effects = match body {
            Some(body) => {
                let offered = self.store.offer(key, version, &body);
                self.offered(now, key, offered, None)
            }
            None => Vec::new(),
        };
        effects.extend(self.call(now));
        effects
    }

    /// Applies the consequences of offering a value to the store.
    fn offered(
        &mut self,
        now: Time,
        key: &Key,
        offered: Result<Offer>,
        from: Option<&id::Host>,
    ) -> Vec<Effect> {
        self.fetch.settle(key, self.store.mark(key));
        let source = from.map_or("configuration service", |from| from);
        match offered {
            Ok(Offer::Taken(mark)) => {
                let hosts = self.table.len();
                self.queue.push(Update::Value(key.clone(), mark), hosts);
                self.picture.touch_values();
                if let Some(roster) = &self.store.values().roster
                    && &**key == "hosts"
                {
                    self.table.publish(now, &self.own.host, roster);
                }
                vec![Effect::Note {
                    kind: "in force",
                    subject: key.to_string(),
                    detail: format!("revision {} from {source}", mark.revision),
                    token: Some(format!("{key} {}", mark.revision)),
                    from: from.cloned(),
                }]
            }
            Ok(Offer::Old) => Vec::new(),
            Err(error) => vec![note("refused", key, format!("from {source}: {error}"))],
        }
    }
}
