//! Floods of ids, ids that are made up, and ids out of their time.

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
    unused: Duration::from_secs(60),
    most: 1000,
    replies: 10_000,
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

struct Desk {
    once: Once<StdRng>,
    now: Time,
}

impl Desk {
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

    /// What a caller is told at once of an id.
    fn told(&mut self, key: &Key) -> ActionResponse {
        self.told_of(key, "file", Duration::from_millis(100))
    }

    fn told_of(&mut self, key: &Key, service: &str, allowance: Duration) -> ActionResponse {
        match self.send(key, service, allowance).pop() {
            Some(Effect::Settle { settled, .. }) => settled,
            other => panic!("an answer at once: {other:?}"),
        }
    }

    /// Sends a request and has a backend server answer it.
    fn run(&mut self, key: &Key, reply: Vec<u8>) {
        let effects = self.send(key, "file", Duration::from_millis(100));
        let Some(Effect::Send { sub, .. }) = effects.first() else {
            panic!("a sub-request: {effects:?}");
        };
        let (id, result): (id::Sub, _) = (sub.id, sub::Result::Reply(reply));
        self.once.handle(self.now, Event::Result { id, result });
    }
}

/// A client asks for ids in a loop. Without a share of their own the other callers could file
/// nothing until its ids have run out.
#[test]
fn a_hot_caller_leaves_the_others_their_share() {
    let mut desk = Desk::new();
    let taken = (0..5000).take_while(|_| desk.issue("hot").is_ok()).count();
    assert_eq!(taken, OPTIONS.most / 2);
    assert_eq!(desk.issue("hot"), Err(Cause::Overload));
    let taken = (0..5000)
        .take_while(|_| desk.issue("quiet").is_ok())
        .count();
    assert_eq!(taken, OPTIONS.most / 4);
    assert!(desk.once.ids_held() <= OPTIONS.most);
    // What was not used makes room again.
    desk.now += OPTIONS.unused;
    assert!(desk.issue("hot").is_ok());
    assert_eq!(desk.once.ids_held(), 1);
}

/// Replies are large and many. They must not fill the memory; that each request ran is still known.
#[test]
fn old_replies_make_room_and_stay_done() {
    let mut desk = Desk::new();
    let keys: Vec<Key> = (0..30).map(|_| desk.issue("hot").expect("an id")).collect();
    for key in &keys {
        desk.run(key, vec![b'x'; 1000]);
    }
    let told: Vec<ActionResponse> = keys.iter().map(|key| desk.told(key)).collect();
    assert!(told.iter().all(|settled| settled.outcome == Outcome::Done));
    let kept = told.iter().filter(|settled| settled.body.len() == 1000);
    assert_eq!(kept.count(), 10);
}

macro_rules! case {
    ($name:ident, $about:literal, $change:expr, $outcome:ident, $cause:expr) => {
        #[doc = $about]
        #[test]
        fn $name() {
            let mut desk = Desk::new();
            let mut key = desk.issue("hot").expect("an id");
            let change: fn(&mut Desk, &mut Key) = $change;
            change(&mut desk, &mut key);
            let told = desk.told(&key);
            assert_eq!((told.outcome, told.cause), (Outcome::$outcome, $cause));
        }
    };
}

case!(
    from_the_future,
    "A client makes up an id whose time is yet to come; nothing can have run under it.",
    |_, key| key.issued += 60_000,
    NotRun,
    Some(Cause::Closed)
);
case!(
    with_another_secret,
    "A stranger counts on from an id of its own to use up those of others.",
    |_, key| key.secret ^= 1,
    NotRun,
    Some(Cause::Closed)
);
case!(
    with_a_number_never_issued,
    "A client makes up a number.",
    |_, key| key.number += 1,
    NotRun,
    Some(Cause::Closed)
);
case!(
    unused_for_too_long,
    "A phone loses its network between the id and the request and comes back after some minutes.",
    |desk, _| desk.now += OPTIONS.unused,
    NotRun,
    Some(Cause::Closed)
);
case!(
    used_and_out_of_its_lifetime,
    "A client keeps an id for hours; whether it ran is forgotten, and a guess could be wrong.",
    |desk, key| {
        desk.run(key, Vec::new());
        desk.now += OPTIONS.lifetime;
    },
    Unknown,
    None
);
case!(
    of_an_incarnation_that_is_gone,
    "The process was started anew and remembers nothing.",
    |_, key| key.incarnation -= 1,
    Unknown,
    None
);

macro_rules! refused {
    ($name:ident, $about:literal, $service:literal, $allowance:expr, $cause:ident) => {
        #[doc = $about]
        #[test]
        fn $name() {
            let mut desk = Desk::new();
            let key = desk.issue("hot").expect("an id");
            let told = desk.told_of(&key, $service, $allowance);
            assert_eq!(
                (told.outcome, told.cause),
                (Outcome::NotRun, Some(Cause::$cause))
            );
            // "Not run" is final, also for a copy of it that is right.
            assert_eq!(desk.told(&key).cause, Some(Cause::Closed));
        }
    };
}

refused!(
    to_a_search_service,
    "A client files a notice with the service that searches them.",
    "names",
    Duration::from_millis(100),
    UnknownService
);
refused!(
    to_no_service,
    "A client misspells the service.",
    "fiel",
    Duration::from_millis(100),
    UnknownService
);
refused!(
    with_an_absurd_allowance,
    "A client states hours; its request would hold its place for as long.",
    "file",
    Duration::from_secs(9999),
    Allowance
);
refused!(
    without_time,
    "A client states an allowance that is over before anything can be sent.",
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

    /// A caller sends any text as an id; it is told what is wrong with it, and nothing runs.
    #[test]
    fn any_text_is_an_id_or_is_refused(text in "(host-0|[a-z.]{0,9})(\\.[0-9a-g]{0,17}){0,5}|\\PC{0,30}") {
        match text.parse::<Key>() {
            Ok(key) => prop_assert_eq!(key.to_string().parse(), Ok(key)),
            Err(detail) => prop_assert!(!detail.is_empty()),
        }
    }
}
