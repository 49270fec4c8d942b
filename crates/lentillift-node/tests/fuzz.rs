//! The decoders accept or refuse any bytes that a peer sends, and allocate no more than a frame's
//! worth of memory.

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
use lentillift_once::submit::ActionRequest;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

fn submit(request: u64, size: usize) -> Message {
    let submit = ActionRequest {
        key: "host-0.1.2.3.4".to_owned(),
        service: "file".into(),
        caller: "x".into(),
        allowance: Duration::from_millis(5),
        body: vec![7; size].into(),
    };
    Message::Submit { request, submit }
}

fn decode_all(bytes: &[u8]) -> Result<Vec<Message>, String> {
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
    fn any_bytes_are_accepted_or_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..200), framed: bool) {
        if framed {
            let length = (bytes.len() as u32).to_be_bytes();
            bytes.splice(0..0, length);
        }
        let _ = decode_all(&bytes);
    }

    #[test]
    fn a_corrupt_frame_is_accepted_or_refused(at in 0usize..80, byte: u8, size in 0usize..40) {
        let messages = vec![submit(1, size), Message::Cancel(2), submit(3, size)];
        let frame = frame::encode(messages).expect("a frame");
        let mut corrupt = frame.to_vec();
        let at = at % corrupt.len();
        corrupt[at] = byte;
        let _ = decode_all(&corrupt);
    }

    #[test]
    fn encoded_messages_decode_to_the_same(sizes in prop::collection::vec(0usize..300, 0..20)) {
        let messages: Vec<Message> = sizes.iter().map(|size| submit(*size as u64, *size)).collect();
        let frame = frame::encode(messages.clone()).expect("a frame");
        prop_assert_eq!(decode_all(&frame), Ok(messages));
    }
}

/// A peer announces a frame of gigabytes, or a list of as many messages; the decoder must not
/// allocate memory for it.
#[test]
fn a_length_that_is_too_large_is_refused() {
    assert!(decode_all(&[0xff; 4]).is_err());
    let claims = [&[0, 0, 0, 9][..], &[0xfd], &[0xff; 8]].concat();
    assert!(decode_all(&claims).is_err());
}

/// 256 callers file large notices at the same moment through one home. A single frame for all would
/// exceed the frame limit, the link would close, and no caller would learn the outcome.
#[test]
fn many_large_messages_go_into_several_frames() {
    let messages: Vec<Message> = (0..256).map(|n| submit(n, 64 * 1024)).collect();
    let frames = frame::encode(messages.clone()).expect("frames");
    assert_eq!(decode_all(&frames), Ok(messages));
}

/// With short host names, many member records fit into one datagram. If the receiver refused a
/// datagram that a sender may send, membership updates would stop spreading in such a fleet, with
/// no visible cause.
#[test]
fn a_datagram_full_of_short_member_records_is_decoded() {
    let member = |host: String| Member {
        host: host.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        incarnation: 1,
        version: 1,
        stage: Stage::Serving,
        health: Health::Alive,
    };
    let mut updates = Vec::new();
    let mut remaining = UPDATES_BYTES;
    for number in 0.. {
        let update = Update::Member(member(format!("{number}")));
        let Some(left) = remaining.checked_sub(update.bytes()) else {
            break;
        };
        remaining = left;
        updates.push(update);
    }
    let packet = Packet {
        from: member("h".to_owned()),
        digest: Digest {
            values: 1,
            members: 2,
        },
        body: Body::Ping(1),
        updates,
    };
    let bytes = datagram::encode(packet.clone()).expect("a datagram");
    assert_eq!(datagram::decode(&bytes), Ok(packet));
}
