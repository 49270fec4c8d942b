//! Mechanisms that an operator can switch off one by one: to measure the effect of each, or to
//! disable one that does harm until it is fixed.

use std::collections::BTreeSet;
use std::str::FromStr;

macro_rules! mechanisms {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// A mechanism that can be switched off.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Mechanism {
            $($(#[$doc])* $name,)*
        }

        impl Mechanism {
            /// All mechanisms, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns its name in settings.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

mechanisms! {
    /// Trying another replica when one is late or has failed.
    Repeats = "repeats",
    /// Answering in time without the parts that are late.
    PartialAnswers = "partial-answers",
    /// Asking one host for all shards of another failure domain.
    Branches = "branches",
    /// Dividing a search of many shards among the hosts of a failure domain.
    Owners = "owners",
    /// Sending reports on slow backend servers to other hosts.
    Reports = "reports",
    /// Declining to send to a slow backend server on behalf of another host.
    Declining = "declining",
    /// Reserving a part of the repeats for answers that would fail.
    Reserve = "reserve",
    /// Timing each answer by the round trip to its caller.
    CallerWay = "caller-way",
    /// Asking backend servers directly while other hosts lose too many shards.
    Loss = "loss",
    /// Declining requests of other hosts that were delayed on their way.
    LateQuestions = "late-questions",
    /// Relaying published state through several hosts of a failure domain.
    Relays = "relays",
    /// Compressing published state in transit between hosts.
    Packing = "packing",
    /// Counting the age of another host's state from the send time of the request that it answers.
    Proofs = "proofs",
    /// Waiting for an update before serving requests, after the process was stopped for a while.
    CatchUp = "catch-up",
    /// Quarantining requests that end the servers which run them.
    Quarantine = "quarantine",
    /// Using leaving servers as a last resort.
    LastResort = "last-resort",
    /// Counting the service as unavailable only once calls of two hosts have failed.
    Witnesses = "witnesses",
    /// Closing connections whose callers keep the host waiting, when newcomers have no place.
    Reclaim = "reclaim",
}

/// The set of mechanisms that are switched off; empty by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Switches {
    off: BTreeSet<Mechanism>,
}

impl Switches {
    /// Whether `mechanism` is on.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Iterates over the mechanisms that are switched off.
    pub fn off(&self) -> impl Iterator<Item = Mechanism> {
        self.off.iter().copied()
    }
}

impl FromStr for Switches {
    type Err = String;

    /// Parses the names of the mechanisms that are off, separated by commas.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty());
        let off = names.map(|name| {
            let mut all = Mechanism::ALL.iter().copied();
            all.find(|mechanism| mechanism.name() == name)
                .ok_or_else(|| {
                    let known: Vec<&str> = Mechanism::ALL.iter().map(|m| m.name()).collect();
                    format!(
                        "{name:?} can't be switched off; these can: {}",
                        known.join(", ")
                    )
                })
        });
        Ok(Self {
            off: off.collect::<Result<_, _>>()?,
        })
    }
}
