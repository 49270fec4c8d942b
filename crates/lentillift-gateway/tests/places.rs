//! Which connection is closed when a host has no place for another caller.

use lentillift_core::time::Time;
use lentillift_gateway::places::Awaited;
use lentillift_gateway::places::Places;
use lentillift_gateway::places::Room;
use std::time::Duration;

/// A time, in milliseconds after the start.
fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

macro_rules! choices {
    ($($(#[$doc:meta])* $name:ident: $(($awaited:ident, $since:expr))+; at $now:expr => $room:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut places = Places::default();
            $(places.begin(Awaited::$awaited, at($since));)+
            assert_eq!(places.make_room(at($now)), $room);
        }
    )*};
}

choices! {
    /// Guards against callers that stall and keep their places while newcomers wait.
    a_stalled_body_goes_first: (NextRequest, 0) (Body, 100) (Head, 200); at 1000 => Room::Close(1);
    /// Guards against silent connections that push out callers which come back.
    a_silent_connection_goes_before_an_idle_one: (NextRequest, 0) (FirstRequest, 100); at 1000 => Room::Close(1);
    /// Guards against a request in the middle of its body that is given up for lack of patience.
    an_idle_connection_goes_before_a_fresh_request: (Head, 900) (NextRequest, 100); at 1000 => Room::Close(1);
    /// Guards against callers with one request after the other that push each other out.
    a_caller_between_two_requests_keeps_its_place: (NextRequest, 800) (Body, 900); at 1000 => Room::Later(at(1300));
    /// Guards against a newcomer that waits for longer than it has to.
    the_first_that_is_late_is_waited_for: (NextRequest, 900) (Body, 800); at 1000 => Room::Later(at(1300));
}

/// Guards against a request that is cut while it is being served: nothing is awaited of its caller.
#[test]
fn a_connection_that_is_served_is_not_closed() {
    let mut places = Places::default();
    let served = places.begin(Awaited::Head, at(0));
    places.end(served);
    assert_eq!(places.make_room(at(9000)), Room::Served);
    assert!(places.overdue_heads(at(9000), at(3000)).is_empty());
}

/// Guards against heads that are awaited without an end, and against bodies and silent connections taken for them.
#[test]
fn only_heads_become_overdue() {
    let mut places = Places::default();
    places.begin(Awaited::FirstRequest, at(0));
    let head = places.begin(Awaited::Head, at(0));
    let body = places.begin(Awaited::Head, at(0));
    places.begin_body(body);
    places.begin(Awaited::Head, at(1000));
    assert!(places.overdue_heads(at(3000), at(3000)).is_empty());
    assert_eq!(places.overdue_heads(at(3001), at(3000)), [head]);
}
