//! An owner's own view of a backend server's health.
//!
//! Pattern: a backend server hangs or fails while its reports, and the platform's list, still call
//! it well; or they call it ill while it serves. Without this module each sub-request that is sent
//! there waits out its deadline. What the server does outweighs what is said of it: a row of
//! failures stops its work for a pause that doubles up to a bound, then one request at a time
//! tries it. Its own word that it is leaving stops new work, and is forgotten after a while, so
//! that a false one does not take a replica away for good.
//!
//! Figures: three failures in a row happen by chance once in a million requests at 1% failures. A
//! quarter of a second is two query deadlines; four seconds bound what a recovered server loses.

use lentillift_core::time::Time;
use lentillift_settings::policy::Health as Options;
use lentillift_settings::policy::millis;
use std::time::Duration;

/// What a backend server may get now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// All that its limits allow.
    Serve,
    /// One request at a time, to see how it does.
    Probe,
    /// Nothing.
    Stop,
}

/// What a result did to the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Same,
    /// The server gets nothing for a while.
    Paused,
    /// The server is held to be well again.
    Well,
}

/// An owner's own view of a backend server's health.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    /// The last pause's end and length, until a success.
    pause: Option<(Time, Duration)>,
    /// When the server last said that it is leaving.
    leaving: Option<Time>,
}

impl Health {
    /// What the server may get now.
    pub fn next(&self, options: &Options, now: Time) -> Next {
        if !options.on {
            return Next::Serve;
        }
        if let Some(said) = self.leaving {
            return match now < said + millis(options.leaving_ms) {
                true => Next::Stop,
                false => Next::Probe,
            };
        }
        match self.pause {
            None => Next::Serve,
            Some((until, _)) if now < until => Next::Stop,
            Some(_) => Next::Probe,
        }
    }

    /// Whether the server said last that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Takes in a request that succeeded.
    pub fn success(&mut self) -> Change {
        self.failures = 0;
        match self.pause.take() {
            Some(_) => Change::Well,
            None => Change::Same,
        }
    }

    /// Takes in a request that failed through the server.
    pub fn failure(&mut self, options: &Options, now: Time) -> Change {
        self.failures = self.failures.saturating_add(1);
        if !options.on || self.failures < options.failures {
            return Change::Same;
        }
        let most = millis(options.most_pause_ms);
        let length = match self.pause {
            // Results of requests that were sent before the pause do not lengthen it.
            Some((until, _)) if now < until => return Change::Same,
            Some((_, last)) => (last * 2).min(most),
            None => millis(options.pause_ms).min(most),
        };
        self.pause = Some((now + length, length));
        Change::Paused
    }

    /// Takes in whether the server says that it is leaving; says if that is new.
    pub fn note_leaving(&mut self, now: Time, leaving: bool) -> bool {
        let before = self.leaving;
        self.leaving = leaving.then_some(now);
        leaving && before.is_none()
    }
}
