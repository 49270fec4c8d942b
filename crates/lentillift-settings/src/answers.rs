//! Answers to the questionnaire, from which the configuration is generated.

use crate::document::Document;
use crate::draft;
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

/// The questionnaire with its explanations and an answer to each question.
pub const QUESTIONNAIRE: &str = include_str!("questionnaire.jsonc");

/// Services that one entry of the answers may stand for.
const MOST_COPIES: u64 = 1000;

/// What matters most when not everything can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Aim {
    /// Answers that cover all of the data.
    Coverage,
    /// Answers that are never late.
    Latency,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// The region it is in.
    pub region: id::Region,
}

/// What operators have taken out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Out {
    /// Failure domains.
    pub domains: BTreeSet<id::Domain>,
    /// Hosts.
    pub hosts: BTreeSet<id::Host>,
}

/// A priority; its place in the list is its rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Priority {
    /// Its name.
    pub name: id::Class,
    /// Time in which 99 of 100 answers should be with their callers, in milliseconds.
    pub answer_within_ms: u64,
}

/// A caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Parts of the capacity that the caller gets when all want more.
    pub share: u32,
    /// The priority of its requests, where it isn't that of the service.
    #[serde(default)]
    pub priority: Option<id::Class>,
}

/// A service, or several alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// How many services are alike; more than one get numbers behind their name.
    #[serde(default = "one")]
    pub copies: u32,
    /// Whether a request may run twice without harm.
    pub may_be_repeated: bool,
    /// The priority of its requests.
    pub priority: id::Class,
    /// Its backend servers.
    pub backend_servers: u32,
    /// Requests that a backend server runs at a time.
    pub slots: u32,
    /// Requests that a backend server bears at a time in a cold start.
    pub cold_slots: u32,
    /// Connections that a backend server accepts.
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    pub connect_ms: u64,
}

fn one() -> u32 {
    1
}

/// Bounds of the time that callers may allow for an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Smallest, in milliseconds.
    pub least_ms: u64,
    /// Largest, in milliseconds.
    pub most_ms: u64,
}

/// All answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// The revision; it only rises.
    pub revision: id::Revision,
    /// Who runs the system.
    pub organisation: String,
    /// What matters most.
    pub matters_most: Aim,
    /// The failure domains.
    pub domains: BTreeMap<id::Domain, Domain>,
    /// What operators have taken out of service.
    pub out_of_service: Out,
    /// The priorities, the first is served first.
    pub priorities: Vec<Priority>,
    /// The callers.
    pub callers: BTreeMap<id::Caller, Caller>,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// Bounds of the time that callers may allow.
    pub allowance: Allowance,
    /// Figures of the decisions under load that differ from the proven ones.
    #[serde(default)]
    pub policy: Policy,
}

/// The shape of answers.
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
    optional("copies", Shape::Whole(1, MOST_COPIES)),
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
    /// Parses and checks answers; `name` says in reports what was parsed.
    ///
    /// # Errors
    ///
    /// Reports all faults at once.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let document = Document::parse(name, text)?;
        let mut faults = document.faults(&SHAPE);
        faults.extend(draft::faults(&document.json()));
        document.ensure_no_faults(faults)?;
        document.value()
    }
}
