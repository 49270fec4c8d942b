//! Fetching values from peers.

use lentillift_core::id;
use lentillift_fleet::sync;
use lentillift_fleet::sync::Arrival;
use lentillift_fleet::sync::CHUNK;
use lentillift_fleet::sync::Fetch;
use lentillift_fleet::sync::Letter;
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
    let mark = store.mark(&key());
    (store, mark)
}

/// Answers the request in `envelope` from `store`.
fn serve(store: &Store, letter: &Letter) -> Message {
    let Message::Pull {
        key,
        stamp: mark,
        offset,
    } = &letter.1
    else {
        panic!("found {letter:?}");
    };
    match sync::serve(store, key, *mark, *offset) {
        Some(chunk) => chunk,
        None => panic!("nothing is served"),
    }
}

/// Fetches until the value is complete; returns it with the number of chunks.
fn finish(fetch: &mut Fetch, store: &Store, mut letter: Letter) -> (Arrival, usize) {
    let mut chunks = 0;
    loop {
        chunks += 1;
        let chunk = serve(store, &letter);
        match fetch.chunk(Duration::ZERO, &letter.0.clone(), chunk) {
            (Some(arrival), _) => return (arrival, chunks),
            (None, Some(next)) => letter = next,
            (None, None) => panic!("the value is not asked for any more"),
        }
    }
}

#[test]
fn large_value_comes_in_chunks() {
    let (store, mark) = store(3, 1_000_000);
    let mut fetch = Fetch::default();
    fetch.want(&key(), mark, &host("a"));
    let letters = fetch.tick(Duration::ZERO);
    let (arrival, chunks) = finish(&mut fetch, &store, letters[0].clone());
    assert_eq!(arrival.body.len(), 1_000_000);
    assert_eq!(chunks, 1_000_000_usize.div_ceil(CHUNK));
    assert!(fetch.is_idle());
}

/// The peer that announced a value dies before it has sent the value. The value would never arrive,
/// although other peers have it too.
#[test]
fn another_holder_is_asked_after_silence() {
    let (_, mark) = store(3, 100);
    let mut fetch = Fetch::default();
    fetch.want(&key(), mark, &host("a"));
    assert_eq!(fetch.tick(Duration::ZERO)[0].0, host("a"));
    fetch.want(&key(), mark, &host("b"));
    assert!(
        fetch.tick(Duration::ZERO).is_empty(),
        "one is asked at a time"
    );
    assert_eq!(fetch.tick(LATER)[0].0, host("b"));
}

/// A new revision replaces the value while it is being sent. The end of the new one would be
/// appended to the beginning of the old one.
#[test]
fn value_that_changes_midway_starts_anew() {
    let (old, mark) = store(3, 3 * CHUNK);
    let (new, newer) = store(4, 2 * CHUNK);
    let mut fetch = Fetch::default();
    fetch.want(&key(), mark, &host("a"));
    let letter = fetch.tick(Duration::ZERO)[0].clone();
    let (_, next) = fetch.chunk(Duration::ZERO, &host("a"), serve(&old, &letter));
    let Some(next) = next else {
        panic!("no more is asked for");
    };
    let (arrival, _) = finish(&mut fetch, &new, next);
    assert_eq!(arrival.mark, newer);
    assert_eq!(arrival.body.len(), 2 * CHUNK);
}

/// A chunk arrives twice, as after a repeated request to a slow peer. The value would become too
/// long.
#[test]
fn doubled_chunk_counts_once() {
    let (store, mark) = store(3, 2 * CHUNK);
    let mut fetch = Fetch::default();
    fetch.want(&key(), mark, &host("a"));
    let letter = fetch.tick(Duration::ZERO)[0].clone();
    let chunk = serve(&store, &letter);
    let (_, next) = fetch.chunk(Duration::ZERO, &host("a"), chunk.clone());
    assert!(next.is_some());
    assert_eq!(fetch.chunk(Duration::ZERO, &host("a"), chunk), (None, None));
    let letter = next.unwrap_or(letter);
    let (arrival, _) = finish(&mut fetch, &store, letter);
    assert_eq!(arrival.body.len(), 2 * CHUNK);
}
