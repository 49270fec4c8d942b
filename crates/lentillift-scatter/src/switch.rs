//! Mechanisms that an operator can switch off, one by one: to see what each is worth, or to be rid of one
//! that does harm until it is mended.

use std::collections::BTreeSet;
use std::str::FromStr;

macro_rules! mechanisms {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Something that can be switched off.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Mechanism {
            $($(#[$doc])* $name,)*
        }

        impl Mechanism {
            /// All of them.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Its name in settings.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

mechanisms! {
    /// Asking another replica when one is late or has failed.
    Repeats = "repeats",
    /// Answering in time without the parts that are late.
    PartialAnswers = "partial-answers",
    /// Asking one host for all shards of another failure domain.
    Branches = "branches",
    /// Dividing a search of many shards among the hosts of a failure domain.
    Owners = "owners",
    /// Telling other hosts of slow backend servers.
    Reports = "reports",
    /// Declining, when asked by another host, to ask a slow backend server.
    Declining = "declining",
    /// Keeping a part of the repeats for answers that would fail.
    Reserve = "reserve",
    /// Answering by the distance of each caller.
    CallerWay = "caller-way",
    /// Asking backend servers directly while other hosts lose too many shards.
    Loss = "loss",
    /// Declining questions of other hosts that were held up on their way.
    LateQuestions = "late-questions",
    /// Passing what is published on over several hosts of a failure domain.
    Relays = "relays",
    /// Packing what is published on its way between hosts.
    Packing = "packing",
    /// Counting the age of what another host tells from the time of a question that it answers.
    Proofs = "proofs",
    /// Hearing the news before requests are served, after the process stood still.
    CatchUp = "catch-up",
    /// Stopping requests that end the servers which run them.
    Quarantine = "quarantine",
    /// Asking servers that leave where nothing else is left.
    LastResort = "last-resort",
}

/// Which mechanisms are off; none by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Switches {
    off: BTreeSet<Mechanism>,
}

impl Switches {
    /// Whether `mechanism` works.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Those that are off.
    pub fn off(&self) -> impl Iterator<Item = Mechanism> {
        self.off.iter().copied()
    }
}

impl FromStr for Switches {
    type Err = String;

    /// Reads the names of the mechanisms that are off, with commas between them.
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
