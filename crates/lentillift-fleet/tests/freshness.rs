//! When a process may act on its state.

use lentillift_fleet::freshness::Freshness;
use lentillift_fleet::freshness::Options;
use std::time::Duration;

/// Event at a process, at a time in milliseconds.
enum Step {
    Tick(u64),
    /// A request that was sent at this time is answered.
    Answer(u64),
}

use Step::Answer;
use Step::Tick;

/// Whether a process that went through `steps` may act at `now`.
fn is_fresh(steps: &[Step], now: u64) -> bool {
    let mut freshness = Freshness::new(Options::default(), Duration::ZERO);
    for step in steps {
        match step {
            Tick(at) => {
                freshness.tick(Duration::from_millis(*at));
            }
            Answer(sent) => freshness.prove(Duration::from_millis(*sent)),
        }
    }
    Duration::from_millis(now) < freshness.deadline()
}

/// Turns each case into a test.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $steps:expr, $now:expr => $fresh:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(is_fresh(&$steps, $now), $fresh);
            }
        )+
    };
}

cases! {
    /// The process has just started and has reached nobody yet.
    nothing_is_proved_at_the_start: [Tick(100)], 150 => false;

    answer_proves_freshness: [Tick(100), Answer(100), Tick(200)], 250 => true;

    /// The process was stopped and resumes. Work at hand is handled before anything else runs.
    pause_is_seen_before_any_tick: [Tick(100), Answer(100), Tick(200)], 1300 => false;

    /// The process was stopped, and an answer from before the pause waited in its socket meanwhile.
    /// The answer says nothing about what happened during the pause.
    old_answer_proves_nothing: [Tick(100), Tick(1500), Answer(100)], 1550 => false;

    /// The same with an answer that was received before the pause.
    earlier_answer_proves_nothing: [Tick(100), Answer(100), Tick(1500)], 1550 => false;

    request_after_the_pause_proves_freshness: [Tick(100), Tick(1500), Answer(1500)], 1550 => true;

    /// The process runs and receives no answer for three seconds.
    silence_ends_freshness: [
        Tick(100), Answer(100), Tick(900), Tick(1700), Tick(2500), Tick(3050),
    ], 3150 => false;
}
