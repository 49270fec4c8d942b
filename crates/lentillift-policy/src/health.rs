//! An owner's circuit breaker for one backend server.
//!
//! Pattern: a backend server hangs or fails while its reports and the platform's list still call it
//! healthy, or they call it unhealthy while it serves. Without this module each sub-request that is
//! sent there waits until its deadline. Observed results take precedence over reports: a series of
//! consecutive failures stops the server's work for a pause that doubles up to a maximum, after
//! which one request at a time probes it. A server's own report that it is leaving stops new work
//! but expires after a while, so that a false report does not remove a replica for ever.
//!
//! Defaults: at 1% failures, three in a row happen by chance once in a million requests. The first
//! pause, a quarter of a second, is two query deadlines; the maximum of four seconds bounds how
//! long a recovered server stays unused.

use lentillift_core::time::Time;
use lentillift_settings::policy::Health as Options;
use lentillift_settings::policy::millis;
use std::time::Duration;

/// State of the circuit breaker: what a backend server may get now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Closed: all that its limits allow.
    Serve,
    /// Half-open: one request at a time.
    Probe,
    /// Open: nothing.
    Stop,
}

/// Effect of a result on the circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Same,
    /// The server gets nothing until the pause is over.
    Paused,
    /// The server has recovered from a pause.
    Well,
}

/// An owner's circuit breaker for one backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    /// End and length of the last pause; `None` after a success.
    pause: Option<(Time, Duration)>,
    /// When the server last reported that it is leaving; `None` once it reports otherwise.
    leaving: Option<Time>,
}

impl Health {
    /// What the server may get now.
    pub fn state(&self, options: &Options, now: Time) -> State {
        if !options.on {
            return State::Serve;
        }
        if let Some(reported_at) = self.leaving {
            return match now < reported_at + millis(options.leaving_ms) {
                true => State::Stop,
                false => State::Probe,
            };
        }
        match self.pause {
            None => State::Serve,
            Some((until, _)) if now < until => State::Stop,
            Some(_) => State::Probe,
        }
    }

    /// Whether the server's last report said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Records a request that succeeded.
    pub fn record_success(&mut self) -> Change {
        self.consecutive_failures = 0;
        match self.pause.take() {
            Some(_) => Change::Well,
            None => Change::Same,
        }
    }

    /// Records a request whose failure was the server's fault.
    pub fn record_failure(&mut self, options: &Options, now: Time) -> Change {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if !options.on || self.consecutive_failures < options.failures {
            return Change::Same;
        }
        let max_pause = millis(options.most_pause_ms);
        let length = match self.pause {
            // Failures of requests that were sent before the pause do not extend it.
            Some((until, _)) if now < until => return Change::Same,
            Some((_, last)) => (last * 2).min(max_pause),
            None => millis(options.pause_ms).min(max_pause),
        };
        self.pause = Some((now + length, length));
        Change::Paused
    }

    /// Records whether the server reports that it is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, now: Time, leaving: bool) -> bool {
        let before = self.leaving;
        self.leaving = leaving.then_some(now);
        leaving && before.is_none()
    }
}
