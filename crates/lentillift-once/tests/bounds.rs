//! Limits on ids and replies, and requests under forged, expired or malformed ids.

use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use lentillift_core::sub;
use lentillift_core::time::Time;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_once::core::Once;
use lentillift_once::event::Effect;
use lentillift_once::event::Event;
use lentillift_once::home;
use lentillift_once::key::Key;
use lentillift_once::submit::ActionRequest;
use lentillift_once::submit::ActionResponse;
use lentillift_settings::jsonc;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;

const OPTIONS: home::Options = home::Options {
    lifetime: Duration::from_secs(600),
    unused_lifetime: Duration::from_secs(60),
    max_ids: 1000,
    max_reply_bytes: 10_000,
};

fn view() -> Arc<View> {
    let config = r#"{"revision":1,"domains":["a"],"classes":{"c":{"rank":0,"queue_ms":9}},
        "callers":{"hot":{"weight":1},"quiet":{"weight":1}},
        "least_allowance_ms":1,"most_allowance_ms":1000,"services":{
        "file":{"kind":"action","class":"c","slots":2,"connections":2,"cold_slots":1,"connect_ms":1},
        "names":{"kind":"search","class":"c","slots":2,"connections":2,"cold_slots":1,"connect_ms":1}}}"#;
    let servers = r#"{"revision":1,"maps":[],"servers":{
        "b0":{"address":"127.0.0.1:1","domain":"a","state":"live"}}}"#;
    let values = Values {
        config: Some(Arc::new(jsonc::parse("config", config).expect("config"))),
        placements: [(
            "file".into(),
            Arc::new(jsonc::parse("s", servers).expect("s")),
        )]
        .into(),
        ..Values::default()
    };
    Arc::new(View::new(values, vec!["host-0".into()]))
}

struct Fixture {
    once: Once<StdRng>,
    now: Time,
}

impl Fixture {
    fn new() -> Self {
        let rng = StdRng::seed_from_u64(1);
        let mut once = Once::new("host-0".into(), 7, &OPTIONS, rng);
        once.handle(Time::ZERO, Event::View(view()));
        Self {
            once,
            now: Duration::from_secs(1),
        }
    }

    fn issue(&mut self, caller: &str) -> Result<Key, Cause> {
        let event = Event::Issue {
            request: 1,
            service: "file".into(),
            caller: caller.into(),
        };
        let mut effects = self.once.handle(self.now, event);
        let Some(Effect::Issued { key, .. }) = effects.pop() else {
            panic!("an id or a refusal: {effects:?}");
        };
        key.map(|key| key.parse().expect("an id"))
            .map_err(|refusal| refusal.cause)
    }

    fn send(&mut self, key: &Key, service: &str, allowance: Duration) -> Vec<Effect> {
        let submit = ActionRequest {
            key: key.to_string(),
            service: service.into(),
            caller: "hot".into(),
            allowance,
            body: (*b"{}").into(),
        };
        self.once
            .handle(self.now, Event::Call { request: 1, submit })
    }

    /// The immediate response to a request under `key`.
    fn respond(&mut self, key: &Key) -> ActionResponse {
        self.respond_for(key, "file", Duration::from_millis(100))
    }

    fn respond_for(&mut self, key: &Key, service: &str, allowance: Duration) -> ActionResponse {
        match self.send(key, service, allowance).pop() {
            Some(Effect::Settle { settled, .. }) => settled,
            other => panic!("an answer at once: {other:?}"),
        }
    }

    /// Sends a request and delivers `reply` as the result of its sub-request.
    fn run(&mut self, key: &Key, reply: Vec<u8>) {
        let effects = self.send(key, "file", Duration::from_millis(100));
        let Some(Effect::Send { sub, .. }) = effects.first() else {
            panic!("a sub-request: {effects:?}");
        };
        let (id, result): (id::Sub, _) = (sub.id, sub::Result::Reply(reply));
        self.once.handle(self.now, Event::Result { id, result });
    }
}

/// A client requests ids in a loop. Without a reserved share the other callers would get none until
/// that client's ids expire.
#[test]
fn caller_that_floods_ids_leaves_others_their_share() {
    let mut fixture = Fixture::new();
    let taken = (0..5000)
        .take_while(|_| fixture.issue("hot").is_ok())
        .count();
    assert_eq!(taken, OPTIONS.max_ids / 2);
    assert_eq!(fixture.issue("hot"), Err(Cause::Overload));
    let taken = (0..5000)
        .take_while(|_| fixture.issue("quiet").is_ok())
        .count();
    assert_eq!(taken, OPTIONS.max_ids / 4);
    assert!(fixture.once.ids_held() <= OPTIONS.max_ids);
    // Unused ids expire and free their places.
    fixture.now += OPTIONS.unused_lifetime;
    assert!(fixture.issue("hot").is_ok());
    assert_eq!(fixture.once.ids_held(), 1);
}

/// Many large replies must not exhaust memory; a request whose reply was dropped is still reported
/// as done.
#[test]
fn oldest_replies_are_dropped_but_stay_done() {
    let mut fixture = Fixture::new();
    let keys: Vec<Key> = (0..30)
        .map(|_| fixture.issue("hot").expect("an id"))
        .collect();
    for key in &keys {
        fixture.run(key, vec![b'x'; 1000]);
    }
    let responses: Vec<ActionResponse> = keys.iter().map(|key| fixture.respond(key)).collect();
    assert!(
        responses
            .iter()
            .all(|response| response.outcome == Outcome::Done)
    );
    let kept = responses
        .iter()
        .filter(|response| response.body.len() == 1000);
    assert_eq!(kept.count(), 10);
}

macro_rules! id_case {
    ($name:ident, $about:literal, $change:expr, $outcome:ident, $cause:expr) => {
        #[doc = $about]
        #[test]
        fn $name() {
            let mut fixture = Fixture::new();
            let mut key = fixture.issue("hot").expect("an id");
            let change: fn(&mut Fixture, &mut Key) = $change;
            change(&mut fixture, &mut key);
            let response = fixture.respond(&key);
            assert_eq!(
                (response.outcome, response.cause),
                (Outcome::$outcome, $cause)
            );
        }
    };
}

id_case!(
    id_issued_in_the_future,
    "A client forges an id with a time of issue in the future; nothing can have run under it.",
    |_, key| key.issued += 60_000,
    NotRun,
    Some(Cause::Closed)
);
id_case!(
    id_with_wrong_secret,
    "A client increments the number of its own id to use up the ids of others.",
    |_, key| key.secret ^= 1,
    NotRun,
    Some(Cause::Closed)
);
id_case!(
    id_with_unissued_number,
    "A client forges a number that was not issued yet.",
    |_, key| key.number += 1,
    NotRun,
    Some(Cause::Closed)
);
id_case!(
    id_unused_past_its_limit,
    "A phone loses its network between the id and the request, and reconnects minutes later.",
    |fixture, _| fixture.now += OPTIONS.unused_lifetime,
    NotRun,
    Some(Cause::Closed)
);
id_case!(
    used_id_past_its_lifetime,
    "A client keeps an id for hours. Its record is gone, so it is unknown whether it ran.",
    |fixture, key| {
        fixture.run(key, Vec::new());
        fixture.now += OPTIONS.lifetime;
    },
    Unknown,
    None
);
id_case!(
    id_of_previous_incarnation,
    "The process was restarted and has no record of the ids of its previous incarnation.",
    |_, key| key.incarnation -= 1,
    Unknown,
    None
);

macro_rules! refusal_case {
    ($name:ident, $about:literal, $service:literal, $allowance:expr, $cause:ident) => {
        #[doc = $about]
        #[test]
        fn $name() {
            let mut fixture = Fixture::new();
            let key = fixture.issue("hot").expect("an id");
            let response = fixture.respond_for(&key, $service, $allowance);
            assert_eq!(
                (response.outcome, response.cause),
                (Outcome::NotRun, Some(Cause::$cause))
            );
            // "Not run" is final, also for a later copy of the request that is valid.
            assert_eq!(fixture.respond(&key).cause, Some(Cause::Closed));
        }
    };
}

refusal_case!(
    request_to_search_service,
    "A client sends an action to a search service.",
    "names",
    Duration::from_millis(100),
    UnknownService
);
refusal_case!(
    request_to_unknown_service,
    "A client misspells the service.",
    "fiel",
    Duration::from_millis(100),
    UnknownService
);
refusal_case!(
    request_with_excessive_allowance,
    "A client states an allowance of hours; its request would stay in flight for as long.",
    "file",
    Duration::from_secs(9999),
    Allowance
);
refusal_case!(
    request_without_time_left,
    "A client states an allowance that ends before anything can be sent.",
    "file",
    Duration::ZERO,
    Allowance
);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A caller sends arbitrary text as an id. Text that is not an id must be rejected with a
    /// reason.
    #[test]
    fn arbitrary_text_is_an_id_or_is_rejected(text in "(host-0|[a-z.]{0,9})(\\.[0-9a-g]{0,17}){0,5}|\\PC{0,30}") {
        match text.parse::<Key>() {
            Ok(key) => prop_assert_eq!(key.to_string().parse(), Ok(key)),
            Err(detail) => prop_assert!(!detail.is_empty()),
        }
    }
}
