//! Which request is given up when the memory for bodies runs out.

use lentillift_gateway::waiting::Waiting;

const LARGE: usize = 100_000;
const SMALL: usize = 1000;

/// A crowd of requests whose bodies each hold `held` bytes.
fn crowd(waiting: &mut Waiting, count: usize, held: usize) {
    for _ in 0..count {
        let ticket = waiting.begin();
        waiting.set_held(ticket, held);
    }
}

/// Guards against newcomers that are refused for as long as a crowd stalls.
#[test]
fn the_first_of_a_crowd_makes_room_for_a_newcomer() {
    let mut waiting = Waiting::default();
    crowd(&mut waiting, 3, LARGE);
    let newcomer = waiting.begin();
    for first in 0..3 {
        assert_eq!(waiting.body_to_give_up(newcomer), Some(first));
        waiting.end(first);
    }
    assert_eq!(waiting.body_to_give_up(newcomer), None);
}

/// Guards against a crowd that is served first because it comes last.
#[test]
fn a_later_request_makes_no_room_for_an_earlier_one() {
    let mut waiting = Waiting::default();
    let earlier = waiting.begin();
    crowd(&mut waiting, 3, LARGE);
    assert_eq!(waiting.body_to_give_up(earlier), None);
}

/// Guards against small bodies that are given up although they hold little.
#[test]
fn a_small_body_makes_no_room() {
    let mut waiting = Waiting::default();
    crowd(&mut waiting, 3, SMALL);
    crowd(&mut waiting, 1, LARGE);
    let newcomer = waiting.begin();
    assert_eq!(waiting.body_to_give_up(newcomer), Some(3));
    waiting.end(3);
    assert_eq!(waiting.body_to_give_up(newcomer), None);
}

/// Guards against the end of a request that leaves it in the list.
#[test]
fn an_ended_request_makes_no_room() {
    let mut waiting = Waiting::default();
    let ended = waiting.begin();
    waiting.set_held(ended, LARGE);
    waiting.end(ended);
    waiting.set_held(ended, LARGE);
    let newcomer = waiting.begin();
    assert_eq!(waiting.body_to_give_up(newcomer), None);
}
