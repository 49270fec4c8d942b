//! Serialized forms of the packets and messages about membership and published values.

use crate::mirror::mirror;
use bincode::Decode;
use bincode::Encode;
use lentillift_fleet::member;
use lentillift_fleet::packet;
use lentillift_fleet::sync;
use lentillift_fleet::value;
use lentillift_fleet::view;
use std::net::SocketAddr;

/// See [`member::Member`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    host: String,
    address: SocketAddr,
    domain: String,
    incarnation: u64,
    version: u64,
    stage: Stage,
    health: Health,
}

mirror! {
    Stage of view::Stage {
        Starting,
        Serving,
        Leaving,
        Gone,
    }
}

mirror! {
    Health of view::Health {
        Alive,
        Suspect,
        Dead,
    }
}

/// See [`value::Stamp`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Stamp {
    revision: u64,
    checksum: u64,
}

/// See [`packet::Update`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Update {
    /// See [`packet::Update::Member`].
    Member(Member),
    /// See [`packet::Update::Value`].
    Value(String, Stamp),
}

/// See [`packet::Body`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Body {
    /// See [`packet::Body::Ping`].
    Ping(u64),
    /// See [`packet::Body::Ack`].
    Ack(u64),
    /// See [`packet::Body::Probe`].
    Probe(u64, String, SocketAddr),
    /// See [`packet::Body::Proof`].
    Proof(u64),
    /// See [`packet::Body::Push`].
    Push,
}

/// See [`packet::Packet`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Packet {
    from: Member,
    values: u64,
    members: u64,
    body: Body,
    updates: Vec<Update>,
}

/// See [`sync::Message`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Sync {
    /// See [`sync::Message::Ask`].
    Ask,
    /// See [`sync::Message::Told`].
    Told(Vec<Member>, Vec<(String, Stamp)>),
    /// See [`sync::Message::Pull`].
    Pull(String, Stamp, u32),
    /// See [`sync::Message::Chunk`].
    Chunk(Box<Chunk>),
}

/// See [`sync::Message::Chunk`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Chunk {
    key: String,
    stamp: Stamp,
    version: u64,
    offset: u32,
    total: u32,
    bytes: Vec<u8>,
}

impl From<member::Member> for Member {
    fn from(member: member::Member) -> Self {
        Self {
            host: member.host.to_string(),
            address: member.address,
            domain: member.domain.to_string(),
            incarnation: member.incarnation,
            version: member.version,
            stage: member.stage.into(),
            health: member.health.into(),
        }
    }
}

impl TryFrom<Member> for member::Member {
    type Error = String;

    fn try_from(member: Member) -> Result<Self, Self::Error> {
        if member.host.is_empty() {
            return Err("member without a host name".to_owned());
        }
        Ok(Self {
            host: member.host.into(),
            address: member.address,
            domain: member.domain.into(),
            incarnation: member.incarnation,
            version: member.version,
            stage: member.stage.into(),
            health: member.health.into(),
        })
    }
}

impl From<value::Stamp> for Stamp {
    fn from(stamp: value::Stamp) -> Self {
        Self {
            revision: stamp.revision,
            checksum: stamp.checksum,
        }
    }
}

impl From<Stamp> for value::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            revision: stamp.revision,
            checksum: stamp.checksum,
        }
    }
}

impl From<packet::Update> for Update {
    fn from(update: packet::Update) -> Self {
        match update {
            packet::Update::Member(member) => Self::Member(member.into()),
            packet::Update::Value(key, stamp) => Self::Value(key.to_string(), stamp.into()),
        }
    }
}

impl TryFrom<Update> for packet::Update {
    type Error = String;

    fn try_from(update: Update) -> Result<Self, Self::Error> {
        Ok(match update {
            Update::Member(member) => Self::Member(member.try_into()?),
            Update::Value(key, stamp) => Self::Value(key.into(), stamp.into()),
        })
    }
}

impl From<packet::Body> for Body {
    fn from(body: packet::Body) -> Self {
        match body {
            packet::Body::Ping(sequence) => Self::Ping(sequence),
            packet::Body::Ack(sequence) => Self::Ack(sequence),
            packet::Body::Probe {
                sequence,
                target,
                address,
            } => Self::Probe(sequence, target.to_string(), address),
            packet::Body::Proof(sequence) => Self::Proof(sequence),
            packet::Body::Push => Self::Push,
        }
    }
}

impl From<Body> for packet::Body {
    fn from(body: Body) -> Self {
        match body {
            Body::Ping(sequence) => Self::Ping(sequence),
            Body::Ack(sequence) => Self::Ack(sequence),
            Body::Probe(sequence, target, address) => Self::Probe {
                sequence,
                target: target.into(),
                address,
            },
            Body::Proof(sequence) => Self::Proof(sequence),
            Body::Push => Self::Push,
        }
    }
}

impl From<packet::Packet> for Packet {
    fn from(packet: packet::Packet) -> Self {
        Self {
            from: packet.from.into(),
            values: packet.digest.values,
            members: packet.digest.members,
            body: packet.body.into(),
            updates: packet.updates.into_iter().map(Update::from).collect(),
        }
    }
}

impl TryFrom<Packet> for packet::Packet {
    type Error = String;

    fn try_from(packet: Packet) -> Result<Self, Self::Error> {
        let updates = packet.updates.into_iter().map(packet::Update::try_from);
        Ok(Self {
            from: packet.from.try_into()?,
            digest: packet::Digest {
                values: packet.values,
                members: packet.members,
            },
            body: packet.body.into(),
            updates: updates.collect::<Result<_, _>>()?,
        })
    }
}

impl From<sync::Message> for Sync {
    fn from(message: sync::Message) -> Self {
        match message {
            sync::Message::Ask => Self::Ask,
            sync::Message::Told { members, stamps } => {
                let stamps = stamps.into_iter();
                let stamps = stamps.map(|(key, stamp)| (key.to_string(), stamp.into()));
                Self::Told(
                    members.into_iter().map(Member::from).collect(),
                    stamps.collect(),
                )
            }
            sync::Message::Pull { key, stamp, offset } => {
                Self::Pull(key.to_string(), stamp.into(), offset)
            }
            sync::Message::Chunk {
                key,
                stamp,
                version,
                offset,
                total,
                bytes,
            } => Self::Chunk(Box::new(Chunk {
                key: key.to_string(),
                stamp: stamp.into(),
                version,
                offset,
                total,
                bytes,
            })),
        }
    }
}

impl TryFrom<Sync> for sync::Message {
    type Error = String;

    fn try_from(message: Sync) -> Result<Self, Self::Error> {
        Ok(match message {
            Sync::Ask => Self::Ask,
            Sync::Told(members, stamps) => {
                let members = members.into_iter().map(member::Member::try_from);
                let stamps = stamps.into_iter();
                Self::Told {
                    members: members.collect::<Result<_, _>>()?,
                    stamps: stamps
                        .map(|(key, stamp)| (key.into(), stamp.into()))
                        .collect(),
                }
            }
            Sync::Pull(key, stamp, offset) => Self::Pull {
                key: key.into(),
                stamp: stamp.into(),
                offset,
            },
            Sync::Chunk(chunk) => Self::Chunk {
                key: chunk.key.into(),
                stamp: chunk.stamp.into(),
                version: chunk.version,
                offset: chunk.offset,
                total: chunk.total,
                bytes: chunk.bytes,
            },
        })
    }
}
