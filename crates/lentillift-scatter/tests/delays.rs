//! Questions between hosts that are held up on their way.

mod common;

use common::MS;
use lentillift_core::time::Time;
use lentillift_scatter::delay::Delays;
use lentillift_scatter::delay::MAX_DELAY;
use lentillift_scatter::delay::Stamp;
use proptest::prelude::*;
use std::time::Duration;

/// Time that a question takes if nothing holds it up.
const WAY: Duration = Duration::from_millis(2);

/// A host that asks, whose clock began at `epoch` by the clock of the one that is asked.
#[derive(Debug, Clone, Copy)]
struct Asker {
    incarnation: u64,
    epoch: Time,
}

const ASKER: Asker = Asker {
    incarnation: 1,
    epoch: Duration::from_secs(100),
};

impl Asker {
    /// Asks at a time by the clock of the one that is asked; says what delay that one finds.
    fn ask(self, delays: &mut Delays, at: Time, held_up: Duration) -> Duration {
        let stamp = Stamp {
            host: "asker".into(),
            incarnation: self.incarnation,
            at: at - self.epoch,
        };
        delays.note(&stamp, at + WAY + held_up)
    }
}

fn seconds(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

/// A caller leaves 49 ms after it asked, while the link to another host is full for half a second. The
/// question comes half a second late and the word that nobody wants it later still; 48 sends reached
/// backend servers for a caller that was gone. What was asked by which clock tells the delay.
#[test]
fn a_question_that_was_held_up_is_known() {
    let mut delays = Delays::default();
    for n in 0..4 {
        let delay = ASKER.ask(&mut delays, seconds(200 + 3 * n), MS * 3);
        assert!(delay <= MS * 3);
    }
    let delay = ASKER.ask(&mut delays, seconds(220), MS * 540);
    assert!(delay >= MS * 537 && delay > MAX_DELAY, "{delay:?}");
    let behind = ASKER.ask(&mut delays, seconds(220) + MS * 100, MS * 450);
    assert!(behind > MAX_DELAY, "{behind:?}");
    assert_eq!(
        ASKER.ask(&mut delays, seconds(230), Duration::ZERO),
        Duration::ZERO
    );
}

#[test]
fn the_first_question_is_on_time() {
    let mut delays = Delays::default();
    assert_eq!(
        ASKER.ask(&mut delays, seconds(200), seconds(1)),
        Duration::ZERO
    );
}

/// The host that asks starts again, and its clock begins anew. Taken for a delay, the difference would have
/// all its questions declined.
#[test]
fn a_process_that_starts_again_is_not_late() {
    let mut delays = Delays::default();
    ASKER.ask(&mut delays, seconds(200), Duration::ZERO);
    let again = Asker {
        incarnation: 2,
        epoch: seconds(201),
    };
    assert_eq!(
        again.ask(&mut delays, seconds(202), Duration::ZERO),
        Duration::ZERO
    );
}

/// A machine was suspended for four seconds, and its clock stood still. Its questions seem to be late by
/// that, all alike; only the first one is taken for it.
#[test]
fn a_clock_that_stood_still_costs_one_question() {
    let mut delays = Delays::default();
    for n in 0..6 {
        ASKER.ask(&mut delays, seconds(200 + n), MS);
    }
    let behind = Asker {
        epoch: ASKER.epoch + seconds(4),
        ..ASKER
    };
    assert!(behind.ask(&mut delays, seconds(210), MS) > MAX_DELAY);
    for n in 0..20 {
        let delay = behind.ask(&mut delays, seconds(212 + n), MS * (n as u32 % 4));
        assert!(delay < MS * 10, "{delay:?}");
    }
}

/// The clock of the host that is asked stood still: questions seem to come before they were asked.
#[test]
fn a_clock_that_stood_still_here_costs_nothing() {
    let mut delays = Delays::default();
    ASKER.ask(&mut delays, seconds(200), MS);
    let ahead = Asker {
        epoch: ASKER.epoch - seconds(4),
        ..ASKER
    };
    for n in 0..8 {
        assert!(ahead.ask(&mut delays, seconds(210 + n), MS) <= MS * 10);
    }
}

proptest! {
    /// Whatever holds questions up, none is found to have been held up for longer than it was.
    #[test]
    fn no_delay_is_invented(questions in prop::collection::vec((1u64..5000, 0u64..2000), 1..60)) {
        let mut delays = Delays::default();
        let mut at = seconds(200);
        for (pause, held_up) in questions {
            at += Duration::from_millis(pause);
            let held_up = Duration::from_millis(held_up);
            prop_assert!(ASKER.ask(&mut delays, at, held_up) <= held_up);
        }
    }
}
