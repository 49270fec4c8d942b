//! Whatever a peer sends, the reader refuses it or takes it, and holds no more than a frame.

use bytes::BytesMut;
use lentillift_fleet::member::Member;
use lentillift_fleet::packet::Body;
use lentillift_fleet::packet::Digest;
use lentillift_fleet::packet::Packet;
use lentillift_fleet::packet::UPDATES_BYTES;
use lentillift_fleet::packet::Update;
use lentillift_fleet::view::Health;
use lentillift_fleet::view::Stage;
use lentillift_node::datagram;
use lentillift_node::frame;
use lentillift_node::message::Message;
use lentillift_once::submit::Submit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

fn submit(request: u64, size: usize) -> Message {
    let submit = Submit {
        key: "host-0.1.2.3.4".to_owned(),
        service: "file".into(),
        caller: "x".into(),
        allowance: Duration::from_millis(5),
        body: vec![7; size].into(),
    };
    Message::Submit { request, submit }
}

fn read(bytes: &[u8]) -> Result<Vec<Message>, String> {
    let mut buffer = BytesMut::from(bytes);
    let mut all = Vec::new();
    while let Some(messages) = frame::decode(&mut buffer)? {
        all.extend(messages);
    }
    Ok(all)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_taken_or_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..200), framed: bool) {
        if framed {
            let length = (bytes.len() as u32).to_be_bytes();
            bytes.splice(0..0, length);
        }
        let _ = read(&bytes);
    }

    #[test]
    fn a_damaged_frame_is_taken_or_refused(at in 0usize..80, byte: u8, size in 0usize..40) {
        let messages = vec![submit(1, size), Message::Cancel(2), submit(3, size)];
        let frame = frame::encode(messages).expect("a frame");
        let mut damaged = frame.to_vec();
        let at = at % damaged.len();
        damaged[at] = byte;
        let _ = read(&damaged);
    }

    #[test]
    fn what_is_written_is_read(sizes in prop::collection::vec(0usize..300, 0..20)) {
        let messages: Vec<Message> = sizes.iter().map(|size| submit(*size as u64, *size)).collect();
        let frame = frame::encode(messages.clone()).expect("a frame");
        prop_assert_eq!(read(&frame), Ok(messages));
    }
}

/// A peer says that a frame of gigabytes follows, or a list of as many messages.
#[test]
fn a_length_that_is_too_large_is_refused() {
    assert!(read(&[0xff; 4]).is_err());
    let claims = [&[0, 0, 0, 9][..], &[0xfd], &[0xff; 8]].concat();
    assert!(read(&claims).is_err());
}

/// 256 callers file large notices at the same moment, all by one home. In one frame they would
/// pass its limit, the link would end, and each of them would learn nothing of its notice.
#[test]
fn many_large_messages_go_into_several_frames() {
    let messages: Vec<Message> = (0..256).map(|n| submit(n, 64 * 1024)).collect();
    let frames = frame::encode(messages.clone()).expect("frames");
    assert_eq!(read(&frames), Ok(messages));
}

/// Hosts have short names, so that many accounts go into one datagram. What a sender may send the
/// receiver must take, or news would stop at once in a fleet with short names and nobody would know
/// why.
#[test]
fn a_datagram_full_of_short_accounts_is_read() {
    let member = |host: String| Member {
        host: host.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        incarnation: 1,
        version: 1,
        stage: Stage::Serving,
        health: Health::Alive,
    };
    let mut news = Vec::new();
    let mut room = UPDATES_BYTES;
    for number in 0.. {
        let one = Update::Member(member(format!("{number}")));
        let Some(left) = room.checked_sub(one.bytes()) else {
            break;
        };
        room = left;
        news.push(one);
    }
    let packet = Packet {
        from: member("h".to_owned()),
        digest: Digest {
            values: 1,
            members: 2,
        },
        body: Body::Ping(1),
        updates: news,
    };
    let bytes = datagram::encode(packet.clone()).expect("a datagram");
    assert_eq!(datagram::decode(&bytes), Ok(packet));
}
