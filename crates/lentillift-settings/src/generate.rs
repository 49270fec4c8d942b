//! Generation of a configuration from answers.

use crate::answers::Aim;
use crate::answers::Answers;
use crate::answers::Service;
use crate::config;
use crate::config::Config;
use crate::config::Kind;
use crate::fault::Fault;
use crate::policy::Policy;
use crate::review;
use lentillift_core::id;
use serde::Serialize;
use std::collections::BTreeMap;

/// Something that was decided for the operators, with the reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// What it is about.
    pub about: String,
    /// What was decided.
    pub decided: String,
    /// Why.
    pub why: String,
}

/// A generated configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Generated {
    /// The configuration.
    pub config: Config,
    /// What was decided and why.
    pub decisions: Vec<Decision>,
}

/// Generates a configuration from checked answers.
///
/// # Errors
///
/// Returns what makes the result unfit, such as two services of one name.
pub fn generate(answers: &Answers) -> Result<Generated, Vec<Fault>> {
    let mut faults = Vec::new();
    let config = Config {
        revision: answers.revision,
        domains: answers.domains.keys().cloned().collect(),
        regions: regions(answers),
        domains_out: answers.out_of_service.domains.clone(),
        hosts_out: answers.out_of_service.hosts.clone(),
        classes: classes(answers),
        callers: callers(answers),
        services: services(answers, &mut faults),
        least_allowance_ms: answers.allowance.least_ms,
        most_allowance_ms: answers.allowance.most_ms,
        policy: policy(answers),
    };
    faults.extend(review::config(&config));
    match faults.is_empty() {
        true => Ok(Generated {
            decisions: decisions(answers),
            config,
        }),
        false => Err(faults),
    }
}

/// Part of an answer's time that a request may spend in a queue, as a divisor.
///
/// With coverage first, a request may wait half of its time, since a shard that was waited for is
/// better than one that is missing; the other half is left to run, and to ask a second replica.
/// With latency first it may wait a quarter: a queue longer than that means overload, and whoever
/// is refused early can still turn elsewhere.
fn queue_part(aim: Aim) -> u64 {
    match aim {
        Aim::Coverage => 2,
        Aim::Latency => 4,
    }
}

fn regions(answers: &Answers) -> BTreeMap<id::Domain, id::Region> {
    let domains = answers.domains.iter();
    domains
        .map(|(name, domain)| (name.clone(), domain.region.clone()))
        .collect()
}

/// Figures under load as answered, with the callers that have a priority of their own.
fn policy(answers: &Answers) -> Policy {
    let mut policy = answers.policy.clone();
    for (name, caller) in &answers.callers {
        if let Some(priority) = &caller.priority {
            policy.classes.insert(name.clone(), priority.clone());
        }
    }
    policy
}

fn classes(answers: &Answers) -> BTreeMap<id::Class, config::Class> {
    let part = queue_part(answers.matters_most);
    let ranked = answers.priorities.iter().zip(0_u8..);
    let classes = ranked.map(|(priority, rank)| {
        let queue_ms = priority.answer_within_ms.div_ceil(part);
        (priority.name.clone(), config::Class { rank, queue_ms })
    });
    classes.collect()
}

fn callers(answers: &Answers) -> BTreeMap<id::Caller, config::Caller> {
    let callers = answers.callers.iter();
    let weighted = callers.map(|(name, caller)| {
        let weight = caller.share;
        (name.clone(), config::Caller { weight })
    });
    weighted.collect()
}

fn services(answers: &Answers, faults: &mut Vec<Fault>) -> BTreeMap<id::Service, config::Service> {
    let mut services = BTreeMap::new();
    for (name, service) in &answers.services {
        for copy in names(name, service.copies) {
            if services.insert(copy.clone(), one(service)).is_some() {
                let found = format!("{copy} by copies of two entries");
                let path = ["services", name];
                faults.push(Fault::new(
                    path,
                    found,
                    "a name of its own for each service",
                ));
            }
        }
    }
    services
}

/// Names of the services that one entry stands for.
pub fn names(name: &str, copies: u32) -> Vec<id::Service> {
    if copies == 1 {
        return vec![name.into()];
    }
    let width = copies.to_string().len();
    let numbered = (1..=copies).map(|number| format!("{name}-{number:0width$}").into());
    numbered.collect()
}

fn one(service: &Service) -> config::Service {
    config::Service {
        kind: match service.may_be_repeated {
            true => Kind::Search,
            false => Kind::Action,
        },
        class: service.priority.clone(),
        slots: service.slots,
        connections: service.connections,
        cold_slots: service.cold_slots,
        connect_ms: service.connect_ms,
    }
}

fn decisions(answers: &Answers) -> Vec<Decision> {
    let mut decisions = Vec::new();
    let mut decide = |about: String, decided: String, why: &str| {
        decisions.push(Decision {
            about,
            decided,
            why: why.to_owned(),
        });
    };
    let why = match answers.matters_most {
        Aim::Coverage => "coverage matters most: a shard that is waited for is better than none",
        Aim::Latency => "latency matters most: a long queue is overload, and is refused early",
    };
    let part = queue_part(answers.matters_most);
    for (rank, priority) in answers.priorities.iter().enumerate() {
        let queue = priority.answer_within_ms.div_ceil(part);
        decide(
            format!("priority {}", priority.name),
            format!("rank {rank}, at most {queue} ms in a queue"),
            why,
        );
    }
    for (name, service) in &answers.services {
        decide(
            format!("service {name}{}", copies(service)),
            format!(
                "{}; {} backend servers of {} slots run {} requests at a time",
                kind(service),
                service.backend_servers,
                service.slots,
                u64::from(service.backend_servers) * u64::from(service.slots)
            ),
            reason(service),
        );
    }
    for (name, caller) in &answers.callers {
        if let Some(priority) = &caller.priority {
            decide(
                format!("caller {name}"),
                format!("its requests have the priority {priority} at every service"),
                "the answers give the caller a priority of its own",
            );
        }
    }
    if answers.policy != Policy::default() {
        decide(
            "policy".to_owned(),
            "figures under load differ from the proven ones".to_owned(),
            "the answers have a section policy",
        );
    }
    for domain in &answers.out_of_service.domains {
        decide(
            format!("failure domain {domain}"),
            "gets no new work".to_owned(),
            "it is in out_of_service.domains",
        );
    }
    for host in &answers.out_of_service.hosts {
        decide(
            format!("host {host}"),
            "gets no new work".to_owned(),
            "it is in out_of_service.hosts",
        );
    }
    decisions
}

fn copies(service: &Service) -> String {
    match service.copies {
        1 => String::new(),
        copies => format!(" ({copies} alike)"),
    }
}

fn kind(service: &Service) -> &'static str {
    match service.may_be_repeated {
        true => "search",
        false => "action",
    }
}

fn reason(service: &Service) -> &'static str {
    match (service.may_be_repeated, service.backend_servers) {
        (true, 1) => "may be repeated; with one backend server, losing it loses its shards",
        (true, _) => "may be repeated: each query goes to every shard, and may be sent again",
        (false, _) => "may not be repeated: each request runs on one backend server, at most once",
    }
}
