//! Requests between hosts that are delayed on their way.

mod common;

use common::MS;
use lentillift_core::time::Time;
use lentillift_scatter::delay::Delays;
use lentillift_scatter::delay::MAX_DELAY;
use lentillift_scatter::delay::Stamp;
use proptest::prelude::*;
use std::time::Duration;

/// Transit time of a request without any delay.
const TRANSIT: Duration = Duration::from_millis(2);

/// A sending host whose clock has its zero at `epoch` of the receiver's clock.
#[derive(Debug, Clone, Copy)]
struct Sender {
    incarnation: u64,
    epoch: Time,
}

const SENDER: Sender = Sender {
    incarnation: 1,
    epoch: Duration::from_secs(100),
};

impl Sender {
    /// Sends a request at a time of the receiver's clock; returns the delay that the receiver
    /// computes.
    fn send(self, delays: &mut Delays, at: Time, added: Duration) -> Duration {
        let stamp = Stamp {
            host: "asker".into(),
            incarnation: self.incarnation,
            at: at - self.epoch,
        };
        delays.note(&stamp, at + TRANSIT + added)
    }
}

fn seconds(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

/// A caller leaves 49 ms after its request, while the link to another host is saturated for half a
/// second. The branch request comes half a second late and its cancellation later still; 48 sends
/// reached backend servers for a caller that was gone. The send time by the sender's clock reveals
/// the delay.
#[test]
fn a_delayed_request_is_detected() {
    let mut delays = Delays::default();
    for n in 0..4 {
        let delay = SENDER.send(&mut delays, seconds(200 + 3 * n), MS * 3);
        assert!(delay <= MS * 3);
    }
    let delay = SENDER.send(&mut delays, seconds(220), MS * 540);
    assert!(delay >= MS * 537 && delay > MAX_DELAY, "{delay:?}");
    let behind = SENDER.send(&mut delays, seconds(220) + MS * 100, MS * 450);
    assert!(behind > MAX_DELAY, "{behind:?}");
    assert_eq!(
        SENDER.send(&mut delays, seconds(230), Duration::ZERO),
        Duration::ZERO
    );
}

#[test]
fn the_first_request_is_on_time() {
    let mut delays = Delays::default();
    assert_eq!(
        SENDER.send(&mut delays, seconds(200), seconds(1)),
        Duration::ZERO
    );
}

/// The sending host restarts, and its clock begins at zero again. If the difference counted as a
/// delay, all its requests would be declined.
#[test]
fn a_restarted_process_is_not_late() {
    let mut delays = Delays::default();
    SENDER.send(&mut delays, seconds(200), Duration::ZERO);
    let restarted = Sender {
        incarnation: 2,
        epoch: seconds(201),
    };
    assert_eq!(
        restarted.send(&mut delays, seconds(202), Duration::ZERO),
        Duration::ZERO
    );
}

/// A machine was suspended for four seconds, and its clock stopped. All its requests appear late by
/// the same amount; only the first one counts as delayed.
#[test]
fn a_stopped_sender_clock_delays_one_request() {
    let mut delays = Delays::default();
    for n in 0..6 {
        SENDER.send(&mut delays, seconds(200 + n), MS);
    }
    let behind = Sender {
        epoch: SENDER.epoch + seconds(4),
        ..SENDER
    };
    assert!(behind.send(&mut delays, seconds(210), MS) > MAX_DELAY);
    for n in 0..20 {
        let delay = behind.send(&mut delays, seconds(212 + n), MS * (n as u32 % 4));
        assert!(delay < MS * 10, "{delay:?}");
    }
}

/// The receiver's clock stopped: requests appear to arrive before they were sent.
#[test]
fn a_stopped_receiver_clock_delays_nothing() {
    let mut delays = Delays::default();
    SENDER.send(&mut delays, seconds(200), MS);
    let ahead = Sender {
        epoch: SENDER.epoch - seconds(4),
        ..SENDER
    };
    for n in 0..8 {
        assert!(ahead.send(&mut delays, seconds(210 + n), MS) <= MS * 10);
    }
}

proptest! {
    /// Whatever delays requests, the computed delay never exceeds the real one.
    #[test]
    fn no_delay_is_overestimated(
        requests in prop::collection::vec((1u64..5000, 0u64..2000), 1..60),
    ) {
        let mut delays = Delays::default();
        let mut at = seconds(200);
        for (pause, added) in requests {
            at += Duration::from_millis(pause);
            let added = Duration::from_millis(added);
            prop_assert!(SENDER.send(&mut delays, at, added) <= added);
        }
    }
}
