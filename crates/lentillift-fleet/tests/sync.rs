//! Fetching values from peers.

use lentillift_core::id;
use lentillift_fleet::sync;
use lentillift_fleet::sync::CHUNK_BYTES;
use lentillift_fleet::sync::Envelope;
use lentillift_fleet::sync::Fetch;
use lentillift_fleet::sync::FetchedValue;
use lentillift_fleet::sync::Message;
use lentillift_fleet::value::Key;
use lentillift_fleet::value::Stamp;
use lentillift_fleet::value::Store;
use std::time::Duration;

const LATER: Duration = Duration::from_secs(1);

fn key() -> Key {
    "service/name".into()
}

fn host(name: &str) -> id::Host {
    name.into()
}

/// A store that holds a value of `bytes` bytes, and the value's stamp.
fn store(revision: u64, bytes: usize) -> (Store, Stamp) {
    let mut store = Store::default();
    let mut body = format!(r#"{{"revision": {revision}, "servers": {{}}, "maps": []}}"#);
    body.push_str(&" ".repeat(bytes - body.len()));
    assert!(store.offer(&key(), 1, body.as_bytes()).is_ok());
    let stamp = store.stamp(&key());
    (store, stamp)
}

/// Answers the request in `envelope` from `store`.
fn serve(store: &Store, envelope: &Envelope) -> Message {
    let Message::Pull { key, stamp, offset } = &envelope.1 else {
        panic!("found {envelope:?}");
    };
    match sync::serve(store, key, *stamp, *offset) {
        Some(chunk) => chunk,
        None => panic!("nothing is served"),
    }
}

/// Fetches until the value is complete; returns it with the number of chunks.
fn finish(fetch: &mut Fetch, store: &Store, mut envelope: Envelope) -> (FetchedValue, usize) {
    let mut chunks = 0;
    loop {
        chunks += 1;
        let chunk = serve(store, &envelope);
        match fetch.chunk(Duration::ZERO, &envelope.0.clone(), chunk) {
            (Some(fetched), _) => return (fetched, chunks),
            (None, Some(next)) => envelope = next,
            (None, None) => panic!("the value is not requested any more"),
        }
    }
}

#[test]
fn large_value_comes_in_chunks() {
    let (store, stamp) = store(3, 1_000_000);
    let mut fetch = Fetch::default();
    fetch.want(&key(), stamp, &host("a"));
    let envelopes = fetch.tick(Duration::ZERO);
    let (fetched, chunks) = finish(&mut fetch, &store, envelopes[0].clone());
    assert_eq!(fetched.body.len(), 1_000_000);
    assert_eq!(chunks, 1_000_000_usize.div_ceil(CHUNK_BYTES));
    assert!(fetch.is_idle());
}

/// The peer that announced a value dies before it has sent the value. The value would never arrive,
/// although other peers have it too.
#[test]
fn another_holder_is_asked_after_silence() {
    let (_, stamp) = store(3, 100);
    let mut fetch = Fetch::default();
    fetch.want(&key(), stamp, &host("a"));
    assert_eq!(fetch.tick(Duration::ZERO)[0].0, host("a"));
    fetch.want(&key(), stamp, &host("b"));
    assert!(
        fetch.tick(Duration::ZERO).is_empty(),
        "one holder is asked at a time"
    );
    assert_eq!(fetch.tick(LATER)[0].0, host("b"));
}

/// A new revision replaces the value while it is being sent. The end of the new one would be
/// appended to the beginning of the old one.
#[test]
fn value_replaced_midway_is_fetched_from_its_start() {
    let (old, stamp) = store(3, 3 * CHUNK_BYTES);
    let (new, newer) = store(4, 2 * CHUNK_BYTES);
    let mut fetch = Fetch::default();
    fetch.want(&key(), stamp, &host("a"));
    let envelope = fetch.tick(Duration::ZERO)[0].clone();
    let (_, next) = fetch.chunk(Duration::ZERO, &host("a"), serve(&old, &envelope));
    let Some(next) = next else {
        panic!("no further chunk is requested");
    };
    let (fetched, _) = finish(&mut fetch, &new, next);
    assert_eq!(fetched.stamp, newer);
    assert_eq!(fetched.body.len(), 2 * CHUNK_BYTES);
}

/// A chunk arrives twice, as after a repeated request to a slow peer. The value would become too
/// long.
#[test]
fn duplicate_chunk_is_ignored() {
    let (store, stamp) = store(3, 2 * CHUNK_BYTES);
    let mut fetch = Fetch::default();
    fetch.want(&key(), stamp, &host("a"));
    let envelope = fetch.tick(Duration::ZERO)[0].clone();
    let chunk = serve(&store, &envelope);
    let (_, next) = fetch.chunk(Duration::ZERO, &host("a"), chunk.clone());
    assert!(next.is_some());
    assert_eq!(fetch.chunk(Duration::ZERO, &host("a"), chunk), (None, None));
    let envelope = next.unwrap_or(envelope);
    let (fetched, _) = finish(&mut fetch, &store, envelope);
    assert_eq!(fetched.body.len(), 2 * CHUNK_BYTES);
}
