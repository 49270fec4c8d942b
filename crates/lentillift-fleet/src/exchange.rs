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
    pub(crate) fn handle_message(
        &mut self,
        now: Time,
        from: &id::Host,
        message: sync::Message,
    ) -> Vec<Effect> {
        match message {
            sync::Message::Ask => vec![Effect::Message(from.clone(), self.full_state())],
            sync::Message::Told { members, stamps } => {
                let mut effects = Vec::new();
                for member in &members {
                    effects.extend(self.merge_member(now, member));
                }
                for (key, stamp) in stamps {
                    self.want(&key, stamp, from);
                }
                self.state_received.insert(from.clone());
                effects.extend(self.pull(now));
                effects
            }
            sync::Message::Pull { key, stamp, offset } => {
                let chunk = sync::serve(&self.store, &key, stamp, offset);
                let chunk = chunk.map(|chunk| Effect::Message(from.clone(), chunk));
                chunk.into_iter().collect()
            }
            chunk @ sync::Message::Chunk { .. } => self.handle_chunk(now, from, chunk),
        }
    }

    /// Full state of this process.
    ///
    /// Hosts that have ended and are no longer published are left out: processes would remind each
    /// other of them for ever.
    fn full_state(&self) -> sync::Message {
        let known = self.table.iter().filter(|member| {
            let expired = member.has_ended() && !self.table.is_published(&member.host);
            member.version > 0 && !expired
        });
        let stamps = self.store.stamps();
        sync::Message::Told {
            members: known.chain([&self.own]).cloned().collect(),
            stamps: stamps.map(|(key, stamp)| (key.clone(), stamp)).collect(),
        }
    }

    pub(crate) fn want(&mut self, key: &Key, stamp: Stamp, holder: &id::Host) {
        let refused = self.refused.get(key) == Some(&stamp);
        if stamp > self.store.stamp(key) && !refused && crate::value::is_known(key) {
            self.fetch.want(key, stamp, holder);
        }
    }

    /// Requests wanted values from peers.
    pub(crate) fn pull(&mut self, now: Time) -> Vec<Effect> {
        let envelopes = self.fetch.tick(now).into_iter();
        envelopes
            .map(|(to, message)| Effect::Message(to, message))
            .collect()
    }

    fn handle_chunk(&mut self, now: Time, from: &id::Host, chunk: sync::Message) -> Vec<Effect> {
        let (fetched, envelope) = self.fetch.chunk(now, from, chunk);
        let mut effects: Vec<Effect> = envelope
            .into_iter()
            .map(|(to, message)| Effect::Message(to, message))
            .collect();
        if let Some(fetched) = fetched {
            let offered = self
                .store
                .offer(&fetched.key, fetched.version, &fetched.body);
            if offered.is_err() {
                self.refused.insert(fetched.key.clone(), fetched.stamp);
            }
            effects.extend(self.handle_offer(now, &fetched.key, offered, Some(from)));
            effects.extend(self.pull(now));
        }
        effects
    }

    pub(crate) fn handle_index(&mut self, now: Time, index: Option<Index>) -> Vec<Effect> {
        let failed = index.is_none();
        let before = self.reader.failures();
        let store = &self.store;
        let held = |key: &Key| Some(store.get(key)?.version);
        if let Some(called_at) = self.reader.index(now, index, held) {
            self.freshness.prove(called_at);
        }
        let kind = "configuration service";
        match (failed, before) {
            (true, 0) => vec![note(kind, "index", "fails".to_owned())],
            (false, 1..) => vec![note(kind, "index", "answers again".to_owned())],
            _ => self.call(now),
        }
    }

    pub(crate) fn handle_value(
        &mut self,
        now: Time,
        key: &Key,
        body: Option<Vec<u8>>,
    ) -> Vec<Effect> {
        let version = self.reader.value(now, key, body.is_some());
        let mut effects = match body {
            Some(body) => {
                let offered = self.store.offer(key, version, &body);
                self.handle_offer(now, key, offered, None)
            }
            None => Vec::new(),
        };
        effects.extend(self.call(now));
        effects
    }

    /// Applies the consequences of offering a value to the store.
    fn handle_offer(
        &mut self,
        now: Time,
        key: &Key,
        offered: Result<Offer>,
        from: Option<&id::Host>,
    ) -> Vec<Effect> {
        self.fetch.cancel_up_to(key, self.store.stamp(key));
        let source = from.map_or("configuration service", |from| from);
        match offered {
            Ok(Offer::Taken(stamp)) => {
                let hosts = self.table.len();
                self.queue.push(Update::Value(key.clone(), stamp), hosts);
                self.view_state.mark_values_changed();
                if let Some(roster) = &self.store.values().roster
                    && &**key == "hosts"
                {
                    self.table.apply_roster(now, &self.own.host, roster);
                }
                vec![Effect::Note {
                    kind: "in force",
                    subject: key.to_string(),
                    detail: format!("revision {} from {source}", stamp.revision),
                    token: Some(format!("{key} {}", stamp.revision)),
                    from: from.cloned(),
                }]
            }
            Ok(Offer::Old) => Vec::new(),
            Err(error) => vec![note("refused", key, format!("from {source}: {error}"))],
        }
    }
}
