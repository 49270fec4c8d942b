//! Round trips of datagrams and messages about membership and published values.

use bytes::BytesMut;
use lentillift_fleet::member::Member;
use lentillift_fleet::packet::Body;
use lentillift_fleet::packet::Digest;
use lentillift_fleet::packet::Packet;
use lentillift_fleet::packet::Update;
use lentillift_fleet::sync;
use lentillift_fleet::value::Stamp;
use lentillift_fleet::view::Health;
use lentillift_fleet::view::Stage;
use lentillift_node::datagram;
use lentillift_node::frame;
use lentillift_node::message::Message;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;

fn member() -> impl Strategy<Value = Member> {
    let stage = prop::sample::select(vec![
        Stage::Starting,
        Stage::Serving,
        Stage::Leaving,
        Stage::Gone,
    ]);
    let health = prop::sample::select(vec![Health::Alive, Health::Suspect, Health::Dead]);
    let names = ("[a-z0-9-]{1,20}", "[a-z0-9]{1,8}");
    (
        names,
        any::<SocketAddr>(),
        any::<(u64, u64)>(),
        stage,
        health,
    )
        .prop_map(
            |((host, domain), address, (incarnation, version), stage, health)| Member {
                host: host.into(),
                // The flow label and scope id of an IPv6 address are not sent.
                address: SocketAddr::new(address.ip(), address.port()),
                domain: domain.into(),
                incarnation,
                version,
                stage,
                health,
            },
        )
}

fn stamp() -> impl Strategy<Value = Stamp> {
    any::<(u64, u64)>().prop_map(|(revision, checksum)| Stamp { revision, checksum })
}

fn update() -> impl Strategy<Value = Update> {
    prop_oneof![
        member().prop_map(Update::Member),
        ("[a-z/]{1,30}", stamp()).prop_map(|(key, stamp)| Update::Value(key.into(), stamp)),
    ]
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        any::<u64>().prop_map(Body::Ping),
        any::<u64>().prop_map(Body::Ack),
        any::<u64>().prop_map(Body::Proof),
        Just(Body::Push),
        (any::<u64>(), member()).prop_map(|(sequence, target)| Body::Probe {
            sequence,
            target: target.host,
            address: target.address,
        }),
    ]
}

fn packet() -> impl Strategy<Value = Packet> {
    let digest = any::<(u64, u64)>().prop_map(|(values, members)| Digest { values, members });
    (
        member(),
        digest,
        body(),
        prop::collection::vec(update(), 0..8),
    )
        .prop_map(|(from, digest, body, updates)| Packet {
            from,
            digest,
            body,
            updates,
        })
}

fn message() -> impl Strategy<Value = sync::Message> {
    let members = prop::collection::vec(member(), 0..5);
    let stamps = prop::collection::vec(("[a-z/]{1,30}", stamp()), 0..5);
    prop_oneof![
        Just(sync::Message::Ask),
        (members, stamps).prop_map(|(members, stamps)| sync::Message::Told {
            members,
            stamps: stamps.into_iter().map(|(k, m)| (k.into(), m)).collect(),
        }),
        ("[a-z/]{1,30}", stamp(), any::<u32>()).prop_map(|(key, stamp, offset)| {
            let key = key.into();
            sync::Message::Pull { key, stamp, offset }
        }),
        (
            "[a-z/]{1,30}",
            stamp(),
            any::<(u64, u32, u32)>(),
            any::<Vec<u8>>()
        )
            .prop_map(|(key, stamp, (version, offset, total), bytes)| {
                sync::Message::Chunk {
                    key: key.into(),
                    stamp,
                    version,
                    offset,
                    total,
                    bytes,
                }
            }),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn packets_survive_a_round_trip(packet in packet()) {
        let bytes = datagram::encode(packet.clone());
        prop_assert_eq!(datagram::decode(&bytes.unwrap_or_default()), Ok(packet));
    }

    #[test]
    fn messages_survive_a_round_trip(message in message()) {
        let sent = vec![Message::Sync(message)];
        let frame = frame::encode(sent.clone()).unwrap_or_default();
        prop_assert_eq!(frame::decode(&mut BytesMut::from(&frame[..])), Ok(Some(sent)));
    }

    /// Anyone can send a datagram to an open port, and a packet can be truncated. The decoder must
    /// not panic on such bytes: that would take the process down.
    #[test]
    fn malformed_datagrams_are_refused(packet in packet(), noise in any::<Vec<u8>>(), at in any::<u16>()) {
        let bytes = datagram::encode(packet).unwrap_or_default();
        let truncated = &bytes[..usize::from(at) % bytes.len()];
        prop_assert!(datagram::decode(truncated).is_err());
        prop_assert!(datagram::decode(&[&bytes[..], &[0]].concat()).is_err());
        // Random bytes may happen to be a valid packet; they must not cause a panic.
        let _ = datagram::decode(&noise);
    }
}
