//! Settings of one process.

use crate::document::Document;
use crate::fault::Fault;
use crate::fault::Line;
use crate::fault::Report;
use crate::fault::Result;
use crate::shape::Shape;
use crate::shape::optional;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use std::net::SocketAddr;

/// Settings of one process; each may also be given on the command line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub host: id::Host,
    /// The failure domain the host is in.
    pub domain: id::Domain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the system's other processes connect.
    pub node_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where the platform's configuration service listens.
    pub platform_address: SocketAddr,
    /// Node addresses of some other processes, which a start asks when the platform can't be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// All that a process is started with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOptions {
    /// The settings.
    pub settings: Settings,
    /// How log lines are written.
    pub log: LogFormat,
}

/// A setting, its shape, and what it is for.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The field in the settings file; the flag is the same with dashes.
    pub name: &'static str,
    /// What it is for.
    pub help: &'static str,
    shape: Shape,
    required: bool,
}

const fn item(name: &'static str, shape: Shape, help: &'static str) -> Setting {
    Setting {
        name,
        help,
        shape,
        required: true,
    }
}

impl Setting {
    /// The value of a flag as it would stand in the file.
    pub fn value(&self, text: &str) -> Value {
        match self.shape {
            Shape::List(_) => text.split(',').map(Value::from).collect(),
            _ => text.into(),
        }
    }
}

/// All settings.
pub const SETTINGS: [Setting; 8] = [
    item("host", Shape::Name, "name of the host"),
    item("domain", Shape::Name, "failure domain the host is in"),
    item("caller_address", Shape::Address, "where callers connect"),
    item(
        "node_address",
        Shape::Address,
        "where the system's other processes connect",
    ),
    item(
        "operator_address",
        Shape::Address,
        "where operators connect",
    ),
    item(
        "platform_address",
        Shape::Address,
        "where the platform's configuration service listens",
    ),
    Setting {
        name: "seeds",
        help: "node addresses of some other processes, separated by commas",
        shape: Shape::List(&Shape::Address),
        required: false,
    },
    Setting {
        name: "log",
        help: "how log lines are written: human or json",
        shape: Shape::Choice(&["human", "json"]),
        required: false,
    },
];

/// The shape of a settings file. All fields may be left to flags.
pub const SHAPE: Shape = Shape::Record(&[
    optional(SETTINGS[0].name, SETTINGS[0].shape),
    optional(SETTINGS[1].name, SETTINGS[1].shape),
    optional(SETTINGS[2].name, SETTINGS[2].shape),
    optional(SETTINGS[3].name, SETTINGS[3].shape),
    optional(SETTINGS[4].name, SETTINGS[4].shape),
    optional(SETTINGS[5].name, SETTINGS[5].shape),
    optional(SETTINGS[6].name, SETTINGS[6].shape),
    optional(SETTINGS[7].name, SETTINGS[7].shape),
]);

/// Puts a settings file and flags together; a flag wins over the file.
///
/// # Errors
///
/// Reports all faults of the file, else all of the flags, else all that neither gives.
pub fn resolve(file: Option<(&str, &str)>, flags: &Map<String, Value>) -> Result<StartOptions> {
    let mut settings: Map<String, Value> = match file {
        Some((name, text)) => Document::parse(name, text)?.decode(&SHAPE)?,
        None => Map::new(),
    };
    let text = Value::Object(flags.clone()).to_string();
    let flags: Map<String, Value> = Document::parse("command line", &text)?.decode(&SHAPE)?;
    settings.extend(flags);
    let name = file.map_or("command line", |(name, _)| name);
    let missing = SETTINGS.iter().filter(|item| item.required);
    let missing = missing.filter(|item| !settings.contains_key(item.name));
    let faults = missing.map(|item| {
        let right = format!("{}, here or by --{}", item.help, flag(item.name));
        Fault::new([item.name], "nothing", right)
    });
    report(name, faults.collect())?;
    let log = settings.remove("log").unwrap_or_else(|| "human".into());
    let decoded = serde_json::from_value(log).and_then(|log| {
        let settings = serde_json::from_value(Value::Object(settings))?;
        Ok(StartOptions { settings, log })
    });
    decoded.map_err(|e| {
        // Only where a shape and its type have come apart.
        let fault = Fault::new(Vec::<String>::new(), e.to_string(), "a value of the type");
        first(name, vec![fault])
    })
}

/// The flag of a setting.
pub fn flag(name: &str) -> String {
    name.replace('_', "-")
}

fn report(name: &str, faults: Vec<Fault>) -> Result<()> {
    match faults.is_empty() {
        true => Ok(()),
        false => Err(first(name, faults)),
    }
}

/// A report of faults that have no line of their own.
fn first(name: &str, faults: Vec<Fault>) -> Report {
    let lines = faults.into_iter().map(|fault| Line { line: 1, fault });
    Report {
        file: name.to_owned(),
        faults: lines.collect(),
    }
}
