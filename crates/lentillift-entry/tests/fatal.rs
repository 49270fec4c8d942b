//! Searches that end every backend server that starts to run them.

use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::SearchRequest;
use lentillift_entry::core::Effect;
use lentillift_entry::core::Entry;
use lentillift_entry::core::Event;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_settings::jsonc;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Number of shards, each with one replica in each failure domain.
const SHARDS: usize = 20;

/// Number of attempts of the same search.
const ATTEMPTS: u64 = 10;

/// Number of servers that have to end under a search before it is suspected.
const SUSPECT_ENDS: usize = 3;

/// Maximum number of attempts that are still sent afterwards.
const MAX_ATTEMPTS_SENT: usize = 3;

const CONFIG: &str = r#"{
    "revision": 1, "domains": ["a", "b"], "domains_out": [],
    "classes": { "c": { "rank": 0, "queue_ms": 9 } },
    "callers": { "x": { "weight": 1 } }, "least_allowance_ms": 1, "most_allowance_ms": 1000,
    "services": { "s": {
        "kind": "search", "class": "c", "slots": 2, "connections": 2, "cold_slots": 1, "connect_ms": 1
    } }
}"#;

fn view() -> Arc<View> {
    let replicas = |shard: usize| ["a", "b"].map(|domain| (format!("{domain}{shard}"), domain));
    let servers = (0..SHARDS).flat_map(replicas).map(|(id, domain)| {
        format!(r#""{id}": {{ "address": "127.0.0.1:1", "domain": "{domain}", "state": "live" }}"#)
    });
    let parts = (0..SHARDS).map(|shard| {
        let replicas = replicas(shard).map(|(id, _)| format!("\"{id}\"")).join(",");
        format!(r#"{{ "shard": {shard}, "weight": 1, "replicas": [{replicas}] }}"#)
    });
    let servers = servers.collect::<Vec<_>>().join(",");
    let parts = parts.collect::<Vec<_>>().join(",");
    let placement = format!(
        r#"{{ "revision": 1, "servers": {{ {servers} }},
        "maps": [{{ "snapshot": 0, "parts": [{parts}] }}] }}"#
    );
    let placement = jsonc::parse("s", &placement).expect("a placement");
    let values = Values {
        config: Some(Arc::new(jsonc::parse("config", CONFIG).expect("a config"))),
        roster: None,
        placements: [("s".into(), Arc::new(placement))].into(),
    };
    Arc::new(View::new(values, vec!["host-0".into(), "host-1".into()]))
}

fn search_request() -> SearchRequest {
    SearchRequest {
        service: "s".into(),
        caller: "x".into(),
        allowance: Duration::from_millis(100),
        limit: 10,
        least_coverage: 0.9,
        body: b"fatal".as_slice().into(),
    }
}

/// Runs one attempt in which every server that gets a sub-request ends. Returns these sub-requests.
fn attempt_all_end(entry: &mut Entry<StdRng>, now: Time, request: u64) -> Vec<Sub> {
    let ask = search_request();
    let mut effects = entry.handle(now, Event::Ask { request, ask });
    let mut sent = Vec::new();
    while let Some(effect) = effects.pop() {
        if let Effect::Send { sub, .. } = effect {
            let result = sub::Result::unknown(Failure::Ended);
            let id = sub.id;
            sent.push(sub);
            let load = None;
            effects.extend(entry.handle(now, Event::Reply { id, result, load }));
        }
    }
    sent
}

/// Runs one attempt in which only the servers that `ends` selects end, and the others reply.
fn attempt_with<F>(entry: &mut Entry<StdRng>, now: Time, request: u64, ends: F) -> Option<Answer>
where
    F: Fn(&str) -> bool,
{
    let ask = search_request();
    let mut effects = VecDeque::from(entry.handle(now, Event::Ask { request, ask }));
    while let Some(effect) = effects.pop_front() {
        match effect {
            Effect::Send { sub, .. } => {
                let result = match ends(&sub.backend) {
                    true => sub::Result::unknown(Failure::Ended),
                    false => sub::Result::Hits(Vec::new()),
                };
                let (id, load) = (sub.id, None);
                effects.extend(entry.handle(now, Event::Reply { id, result, load }));
            }
            Effect::Answer { answer, .. } => return Some(answer),
            Effect::Cancel { .. } | Effect::Refuse { .. } => {}
        }
    }
    None
}

/// A failure domain is lost before any reply. The search in flight must be answered completely by
/// the other domain.
#[test]
fn search_in_flight_survives_loss_of_a_domain() {
    let mut entry = Entry::new(StdRng::seed_from_u64(1)).with_domain("a".into());
    entry.handle(Time::ZERO, Event::View(view()));
    let answer = attempt_with(&mut entry, Time::ZERO, 1, |backend| {
        backend.starts_with('a')
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.coverage.answered as usize, SHARDS, "{answer:?}");
}

/// Retries of a fatal search would end both replicas of every shard. One attempt may end one
/// replica of each shard, plus the canaries.
#[test]
fn fatal_search_does_not_end_both_replicas() {
    let mut entry = Entry::new(StdRng::seed_from_u64(1));
    entry.handle(Time::ZERO, Event::View(view()));
    let sent = attempt_all_end(&mut entry, Time::ZERO, 1);
    assert!(sent.len() <= SHARDS + 2, "{}", sent.len());
}

/// A fatal search would end servers at each attempt if nothing were remembered after a query.
#[test]
fn repeated_fatal_search_is_quarantined() {
    let mut entry = Entry::new(StdRng::seed_from_u64(1));
    entry.handle(Time::ZERO, Event::View(view()));
    let mut ends = 0;
    let mut attempts = 0;
    for attempt in 0..ATTEMPTS {
        let now = Duration::from_secs(10 * attempt);
        let sent = attempt_all_end(&mut entry, now, attempt);
        attempts += usize::from(ends >= SUSPECT_ENDS && !sent.is_empty());
        ends += sent.len();
    }
    assert!(attempts <= MAX_ATTEMPTS_SENT, "{attempts} attempts sent on");
}
