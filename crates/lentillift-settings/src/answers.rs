//! Answers to the questionnaire, the source from which the configuration is generated.

use crate::consistency;
use crate::document::Document;
use crate::fault::Result;
use crate::policy;
use crate::policy::Policy;
use crate::review;
use crate::shape::Shape;
use crate::shape::optional;
use crate::shape::required;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Text of the questionnaire: explanations of all fields, with valid example answers.
pub const QUESTIONNAIRE: &str = include_str!("questionnaire.jsonc");

/// Most services that one entry of the answers may generate.
const MAX_COPIES: u64 = 1000;

/// The trade-off between coverage and latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Aim {
    /// Prefer answers that cover all of the data.
    Coverage,
    /// Prefer answers that are never late.
    Latency,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Name of the region that contains it.
    pub region: id::Region,
}

/// Failure domains and hosts that operators have taken out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Out {
    /// Names of failure domains.
    pub domains: BTreeSet<id::Domain>,
    /// Names of hosts.
    pub hosts: BTreeSet<id::Host>,
}

/// A priority. Its index in the list is the rank of the generated class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Priority {
    /// Name of the generated class.
    pub name: id::Class,
    /// Time objective: 99 of 100 answers should reach their callers within it, in milliseconds.
    pub answer_within_ms: u64,
}

/// A caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Share of the capacity, relative to other callers, when all of them want more.
    pub share: u32,
    /// Priority of its requests; if none, that of the service.
    #[serde(default)]
    pub priority: Option<id::Class>,
}

/// A service, or several services with the same settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Number of services to generate; with more than one, a number is appended to each name.
    #[serde(default = "default_copies")]
    pub copies: u32,
    /// Whether requests are idempotent: one that runs twice does no harm.
    pub may_be_repeated: bool,
    /// Priority of its requests, unless the caller has one of its own.
    pub priority: id::Class,
    /// Number of backend servers of each service; used only to explain the capacity.
    pub backend_servers: u32,
    /// Most requests that a backend server runs at a time.
    pub slots: u32,
    /// Most requests that a backend server runs at a time in a cold start.
    pub cold_slots: u32,
    /// Most connections that a backend server accepts.
    pub connections: u32,
    /// Time to open a connection to a backend server, in milliseconds.
    pub connect_ms: u64,
}

fn default_copies() -> u32 {
    1
}

/// Bounds of the time allowance that callers state in requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Smallest allowance, in milliseconds.
    pub least_ms: u64,
    /// Largest allowance, in milliseconds.
    pub most_ms: u64,
}

/// Answers to all questions of the questionnaire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Revision of the generated configuration; it must increase with each change.
    pub revision: id::Revision,
    /// Name of the organisation that runs the system.
    pub organisation: String,
    /// The trade-off between coverage and latency.
    pub matters_most: Aim,
    /// Failure domains by name.
    pub domains: BTreeMap<id::Domain, Domain>,
    /// Failure domains and hosts that are out of service.
    pub out_of_service: Out,
    /// Priorities; the first is served first and refused last.
    pub priorities: Vec<Priority>,
    /// Callers by name.
    pub callers: BTreeMap<id::Caller, Caller>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Bounds of the time allowance that callers state.
    pub allowance: Allowance,
    /// Parameters of overload control that differ from their defaults.
    #[serde(default)]
    pub policy: Policy,
}

/// The shape of the answers.
pub const SHAPE: Shape = Shape::Record(&[
    required("revision", review::REVISION),
    required("organisation", Shape::Text),
    required("matters_most", Shape::Choice(&["coverage", "latency"])),
    required("domains", Shape::Map(&DOMAIN)),
    required("out_of_service", OUT),
    required("priorities", Shape::List(&PRIORITY)),
    required("callers", Shape::Map(&CALLER)),
    required("services", Shape::Map(&SERVICE)),
    required("allowance", ALLOWANCE),
    optional("policy", policy::SHAPE),
]);

const DOMAIN: Shape = Shape::Record(&[required("region", Shape::Name)]);

const OUT: Shape = Shape::Record(&[
    required("domains", Shape::List(&Shape::Name)),
    required("hosts", Shape::List(&Shape::Name)),
]);

const PRIORITY: Shape = Shape::Record(&[
    required("name", Shape::Name),
    required("answer_within_ms", review::MILLISECONDS),
]);

const CALLER: Shape = Shape::Record(&[
    required("share", review::WEIGHT),
    optional("priority", Shape::Name),
]);

const SERVICE: Shape = Shape::Record(&[
    optional("copies", Shape::Whole(1, MAX_COPIES)),
    required("may_be_repeated", Shape::Flag),
    required("priority", Shape::Name),
    required("backend_servers", Shape::Whole(1, 100_000)),
    required("slots", review::SLOTS),
    required("cold_slots", review::SLOTS),
    required("connections", review::CONNECTIONS),
    required("connect_ms", review::CONNECT),
]);

const ALLOWANCE: Shape = Shape::Record(&[
    required("least_ms", review::MILLISECONDS),
    required("most_ms", review::MILLISECONDS),
]);

impl Answers {
    /// Parses and validates answers; `name` is the name of the file in reports.
    ///
    /// # Errors
    ///
    /// Returns a report of all faults, or of the first one if the text is not JSON with comments.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let document = Document::parse(name, text)?;
        let mut faults = document.faults(&SHAPE);
        faults.extend(consistency::faults(&document.json()));
        document.ensure_no_faults(faults)?;
        document.deserialize()
    }
}
