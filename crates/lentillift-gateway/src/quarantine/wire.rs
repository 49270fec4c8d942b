//! Wire format of the quarantine gossip.

use bincode::Decode;
use bincode::Encode;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_fleet::quarantine;
use lentillift_fleet::quarantine::State;
use std::time::Duration;

/// Accounts that one host sends to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Message {
    pub(crate) accounts: Vec<Account>,
}

/// What a host knows about one request under which backend servers ended.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Account {
    pub(crate) fingerprint: [u8; 16],
    /// Number of times that the request was cleared.
    pub(crate) generation: u32,
    /// Incarnations of server processes that ended while they ran it, in this generation.
    pub(crate) ends: Vec<u64>,
    /// Those of them that ended while they ran a canary.
    pub(crate) canary_ends: Vec<u64>,
    /// Time since the account last changed on the sending host, in milliseconds.
    pub(crate) age_ms: u64,
    pub(crate) stage: Stage,
}

/// Quarantine state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Stage {
    Suspect,
    Quarantined {
        /// Time until a canary may be sent, in milliseconds; none once all canaries have been sent.
        left_ms: Option<u64>,
        trials: u32,
    },
    Cleared,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl From<&[quarantine::SharedRecord]> for Message {
    fn from(accounts: &[quarantine::SharedRecord]) -> Self {
        Self {
            accounts: accounts.iter().map(Account::from).collect(),
        }
    }
}

impl From<&quarantine::SharedRecord> for Account {
    fn from(account: &quarantine::SharedRecord) -> Self {
        Self {
            fingerprint: account.fingerprint.0,
            generation: account.generation,
            ends: account.ends.clone(),
            canary_ends: account.canary_ends.clone(),
            age_ms: millis(account.age),
            stage: account.state.into(),
        }
    }
}

impl From<&Account> for quarantine::SharedRecord {
    fn from(account: &Account) -> Self {
        Self {
            fingerprint: Fingerprint(account.fingerprint),
            generation: account.generation,
            ends: account.ends.clone(),
            canary_ends: account.canary_ends.clone(),
            age: Duration::from_millis(account.age_ms),
            state: account.stage.into(),
        }
    }
}

impl From<State> for Stage {
    fn from(state: State) -> Self {
        match state {
            State::Suspect => Self::Suspect,
            State::Quarantined { left, trials } => Self::Quarantined {
                left_ms: left.map(millis),
                trials,
            },
            State::Cleared => Self::Cleared,
        }
    }
}

impl From<Stage> for State {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Suspect => Self::Suspect,
            Stage::Quarantined { left_ms, trials } => Self::Quarantined {
                left: left_ms.map(Duration::from_millis),
                trials,
            },
            Stage::Cleared => Self::Cleared,
        }
    }
}
