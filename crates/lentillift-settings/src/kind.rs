//! Kinds of files and published values, detected by their fields.

use crate::answers::Answers;
use crate::config;
use crate::config::Config;
use crate::daemon;
use crate::document::Document;
use crate::fault::Result;
use crate::placement;
use crate::placement::Placement;
use crate::review;
use crate::roster;
use crate::roster::Roster;
use serde_json::Map;
use serde_json::Value;
use std::fmt;

/// A kind of file or published value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Answers to the questionnaire.
    Answers,
    /// A published configuration.
    Config,
    /// Settings of one process.
    Settings,
    /// A published placement of a service.
    Placement,
    /// A published list of hosts.
    Hosts,
}

/// Fields that identify a kind, the most specific first; the first one present decides.
const IDENTIFYING_FIELDS: [(&str, Kind); 9] = [
    ("matters_most", Kind::Answers),
    ("out_of_service", Kind::Answers),
    ("priorities", Kind::Answers),
    ("classes", Kind::Config),
    ("least_allowance_ms", Kind::Config),
    ("servers", Kind::Placement),
    ("maps", Kind::Placement),
    ("hosts", Kind::Hosts),
    ("services", Kind::Answers),
];

impl Kind {
    /// Detects the kind of a text by its fields; settings if no field identifies another kind.
    pub fn detect(document: &Document<'_>) -> Self {
        let identified = IDENTIFYING_FIELDS
            .iter()
            .find(|(field, _)| document.has_field(field));
        identified.map_or(Self::Settings, |(_, kind)| *kind)
    }

    /// Validates a text as one of this kind; `name` is the name of the text in reports.
    ///
    /// # Errors
    ///
    /// Returns a report of all faults, or of the first one if the text is not JSON with comments.
    pub fn check(self, name: &str, text: &str) -> Result<()> {
        let document = Document::parse(name, text)?;
        match self {
            Self::Answers => Answers::parse(name, text).map(drop),
            Self::Config => {
                let config: Config = document.decode(&config::SHAPE)?;
                document.ensure_no_faults(review::config(&config))
            }
            Self::Settings => {
                let settings = document.decode::<Map<String, Value>>(&daemon::SHAPE);
                settings.map(drop)
            }
            Self::Placement => {
                let mut faults = document.faults(&placement::SHAPE);
                faults.extend(review::placement(&document.json()));
                document.ensure_no_faults(faults)?;
                document.deserialize::<Placement>().map(drop)
            }
            Self::Hosts => {
                let roster: Roster = document.decode(&roster::SHAPE)?;
                document.ensure_no_faults(review::roster(&roster))
            }
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answers => "answers",
            Self::Config => "configuration",
            Self::Settings => "settings of a daemon",
            Self::Placement => "placement of a service",
            Self::Hosts => "list of hosts",
        })
    }
}
