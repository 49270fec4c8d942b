//! Settings of one process, from a settings file and command line flags.

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

/// Settings of one process. Each may be given in the settings file or as a flag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: id::Host,
    /// Name of the failure domain that the host is in.
    pub domain: id::Domain,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address to listen on for the system's other processes.
    pub node_address: SocketAddr,
    /// Address to listen on for operators.
    pub operator_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Node addresses of some other processes, from which the process reads published values at
    /// startup if the configuration service cannot be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for people to read.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Settings and log format with which a process starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOptions {
    /// Settings of the process.
    pub settings: Settings,
    /// Format of log lines.
    pub log: LogFormat,
}

/// Name, shape and description of a setting.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Name of the field in the settings file; the flag has dashes in place of underscores.
    pub name: &'static str,
    /// Description, shown by `--help` and in faults.
    pub help: &'static str,
    shape: Shape,
    required: bool,
}

/// A setting without a default.
const fn required(name: &'static str, shape: Shape, help: &'static str) -> Setting {
    Setting {
        name,
        help,
        shape,
        required: true,
    }
}

impl Setting {
    /// Converts the text of a flag to the value that the settings file would have; lists are
    /// separated by commas.
    pub fn value(&self, text: &str) -> Value {
        match self.shape {
            Shape::List(_) => text.split(',').map(Value::from).collect(),
            _ => text.into(),
        }
    }
}

/// All settings, in the order of `--help`.
pub const SETTINGS: [Setting; 8] = [
    required("host", Shape::Name, "name of the host"),
    required("domain", Shape::Name, "failure domain that the host is in"),
    required(
        "caller_address",
        Shape::Address,
        "address to listen on for callers",
    ),
    required(
        "node_address",
        Shape::Address,
        "address to listen on for the system's other processes",
    ),
    required(
        "operator_address",
        Shape::Address,
        "address to listen on for operators",
    ),
    required(
        "platform_address",
        Shape::Address,
        "address of the platform's configuration service",
    ),
    Setting {
        name: "seeds",
        help: "node addresses of some other processes, separated by commas",
        shape: Shape::List(&Shape::Address),
        required: false,
    },
    Setting {
        name: "log",
        help: "format of log lines: human or json",
        shape: Shape::Choice(&["human", "json"]),
        required: false,
    },
];

/// The shape of a settings file. Every field is optional, since a flag may give it instead.
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

/// Combines a settings file, as its name and text, with flags; a flag overrides the file.
///
/// # Errors
///
/// Returns a report of all faults of the file, else of all faults of the flags, else of all
/// required settings that neither gives.
pub fn resolve(file: Option<(&str, &str)>, flags: &Map<String, Value>) -> Result<StartOptions> {
    let mut settings: Map<String, Value> = match file {
        Some((name, text)) => Document::parse(name, text)?.decode(&SHAPE)?,
        None => Map::new(),
    };
    let text = Value::Object(flags.clone()).to_string();
    let flags: Map<String, Value> = Document::parse("command line", &text)?.decode(&SHAPE)?;
    settings.extend(flags);
    let name = file.map_or("command line", |(name, _)| name);
    let missing = SETTINGS.iter().filter(|setting| setting.required);
    let missing = missing.filter(|setting| !settings.contains_key(setting.name));
    let faults = missing.map(|setting| {
        let expected = format!("the {}, here or as --{}", setting.help, flag(setting.name));
        Fault::new([setting.name], "nothing", expected)
    });
    ensure_no_faults(name, faults.collect())?;
    let log = settings.remove("log").unwrap_or_else(|| "human".into());
    let decoded = serde_json::from_value(log).and_then(|log| {
        let settings = serde_json::from_value(Value::Object(settings))?;
        Ok(StartOptions { settings, log })
    });
    decoded.map_err(|e| {
        // Reached only if `SHAPE` and the type `Settings` do not agree.
        let fault = Fault::new(Vec::<String>::new(), e.to_string(), "a value of the type");
        report_at_first_line(name, vec![fault])
    })
}

/// Name of the flag for a field of the settings file.
pub fn flag(name: &str) -> String {
    name.replace('_', "-")
}

/// Returns a report unless there are no faults.
fn ensure_no_faults(name: &str, faults: Vec<Fault>) -> Result<()> {
    match faults.is_empty() {
        true => Ok(()),
        false => Err(report_at_first_line(name, faults)),
    }
}

/// A report of faults that belong to no line; all name line 1.
fn report_at_first_line(name: &str, faults: Vec<Fault>) -> Report {
    let lines = faults.into_iter().map(|fault| Line { line: 1, fault });
    Report {
        file: name.to_owned(),
        faults: lines.collect(),
    }
}
