//! The first sends of a request, and the parts common to all sends.

use super::Branch;
use super::Query;
use crate::config::Kind;
use crate::core::Choice;
use crate::core::Core;
use crate::host::Bucket;
use crate::leg::Attempt;
use crate::leg::Target;
use crate::outcome::Send;
use crate::server::Server;
use crate::switch::Mechanism;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Minimum number of shards for a branch; with fewer, its reply is no smaller than theirs.
const MIN_BRANCH_LEGS: usize = 3;

/// Maximum fraction of the objective that is allowed for the round trip to another host.
///
/// Together with [`max_hedge_fraction`](crate::core::Options::max_hedge_fraction) before it, this
/// leaves two fifths of the objective for another replica's reply.
const MAX_ROUND_TRIP_FRACTION: f64 = 0.25;

impl Query {
    /// Chooses a replica for each leg; none where no replica is usable or this host declines the leg.
    pub(super) fn choices(&self, core: &mut Core, now: Time) -> Vec<Option<Choice>> {
        let typical = core.reply_times(&self.plan.route).typical;
        let view = &self.plan.view;
        let domain = self.plan.local_only.then(|| core.domain.clone());
        let is_local = |server: &Server| domain.as_ref().is_none_or(|d| server.entry.domain == *d);
        let declines = core.options.switches.is_on(Mechanism::Declining);
        let legs = self.legs.iter();
        legs.map(|leg| {
            if !self.has_limits(&leg.service) {
                return None;
            }
            let choice = core.choose(view, &leg.service, typical, now, is_local)?;
            // The host that sent this branch can go elsewhere at once, without a repeat. If the
            // request went to a server that is permanently slow, each would need a repeat, and the
            // budget of that shard would be exhausted within a second.
            let replica = core.replicas.get(&choice.server.entry.id);
            let slow = replica.is_slow(now) && declines;
            let declined = self.plan.local_only && (slow || replica.is_backed_off(now));
            (!declined).then_some(choice)
        })
        .collect()
    }

    /// Whether the limits of a service are known, as far as a branch needs them.
    ///
    /// The host that sent the branch may have a newer configuration, with services that this one
    /// lacks. Without limits, their cold servers would get more requests than they can take. That
    /// host has the limits and can ask the servers directly.
    pub(super) fn has_limits(&self, service: &id::Service) -> bool {
        !self.plan.local_only || self.plan.view.config.services.contains_key(service)
    }

    /// Makes the first sends: branches for many legs at once, direct sends for the others.
    pub(super) fn first_sends(
        &mut self,
        core: &mut Core,
        choices: Vec<Option<Choice>>,
        now: Time,
    ) -> Vec<Send> {
        let uses_branches = self.plan.branches && self.legs.len() > 1 && core.may_use_branches(now);
        let mut groups = match uses_branches {
            true => self.groups(core, &choices, now),
            false => Vec::new(),
        };
        groups.retain(|group| group.legs.len() >= MIN_BRANCH_LEGS);
        let grouped: Vec<usize> = groups.iter().flat_map(|g| g.legs.clone()).collect();
        let mut sends = Vec::new();
        for group in groups {
            sends.push(self.send_branch(core, group, now));
        }
        for (leg, choice) in choices.into_iter().enumerate() {
            if let Some(choice) = choice
                && !grouped.contains(&leg)
            {
                sends.push(self.send_direct(core, leg, choice.server, now, false));
            }
        }
        sends
    }

    /// Groups legs into branches.
    fn groups(&self, core: &Core, choices: &[Option<Choice>], now: Time) -> Vec<Branch> {
        let reachable = (0..self.legs.len()).filter(|leg| choices[*leg].is_some());
        let (local, remote) = reachable.partition(|leg| {
            let mut servers = self.servers(core, *leg);
            servers.any(|server| server.entry.domain == core.domain)
        });
        let mut groups = self.remote_groups(core, remote, now);
        groups.extend(self.local_groups(core, local, now));
        groups
    }

    /// Iterates over the leg's backend servers that take work.
    fn servers<'a>(&self, core: &'a Core, leg: usize) -> impl Iterator<Item = &'a Arc<Server>> {
        let service = &self.legs[leg].service;
        let usable = core.view.as_ref().and_then(|view| {
            let servers = view.servers.get(service)?.iter();
            Some(servers.filter(|server| {
                let is_evacuated = view.evacuated.contains(&server.entry.domain);
                !is_evacuated && server.last_resort_until.is_none()
            }))
        });
        usable.into_iter().flatten()
    }

    /// Groups legs with a local replica, if they are too many for one host, by the hosts that share
    /// them.
    fn local_groups(&self, core: &Core, legs: Vec<usize>, now: Time) -> Vec<Branch> {
        let buckets = legs.len().div_ceil(core.options.max_direct.max(1));
        if buckets < 2 || !core.options.switches.is_on(Mechanism::Owners) {
            return Vec::new();
        }
        let mut parts: BTreeMap<Bucket, Vec<usize>> = BTreeMap::new();
        for leg in legs {
            let bucket = Bucket::of(&self.legs[leg].service, buckets);
            parts.entry(bucket).or_default().push(leg);
        }
        let domain = &core.domain;
        let parts = parts.into_iter().filter_map(|(bucket, legs)| {
            let host = core.hosts.owner(domain, &core.name, bucket, now)?;
            Some(Branch::new(host, domain, legs))
        });
        parts.collect()
    }

    /// Groups legs without a replica in this failure domain by the hosts to ask for them.
    ///
    /// Uses as few hosts as possible: with replicas in two other failure domains either will do,
    /// and one reply for all legs is smaller than two.
    fn remote_groups(&self, core: &Core, mut rest: Vec<usize>, now: Time) -> Vec<Branch> {
        let mut groups = Vec::new();
        while !rest.is_empty() {
            let mut legs_by_domain: BTreeMap<&id::Domain, Vec<usize>> = BTreeMap::new();
            for leg in &rest {
                let domains: BTreeSet<&id::Domain> = self
                    .servers(core, *leg)
                    .map(|server| &server.entry.domain)
                    .collect();
                for domain in domains {
                    legs_by_domain.entry(domain).or_default().push(*leg);
                }
            }
            let hosts = legs_by_domain.into_iter().filter_map(|(domain, legs)| {
                let host = core.hosts.choose(domain, now)?;
                Some(Branch::new(host, domain, legs))
            });
            let best = hosts.max_by_key(|group| {
                (
                    group.legs.len(),
                    std::cmp::Reverse(core.hosts.last_used(&group.host)),
                )
            });
            let Some(mut group) = best else {
                break;
            };
            group
                .legs
                .truncate(core.options.max_direct.max(MIN_BRANCH_LEGS));
            rest.retain(|leg| !group.legs.contains(leg));
            groups.push(group);
        }
        groups
    }

    /// Sends to a backend server.
    pub(super) fn send_direct(
        &mut self,
        core: &mut Core,
        leg: usize,
        server: Arc<Server>,
        now: Time,
        repeat: bool,
    ) -> Send {
        let send_id = core.next_send_id();
        core.sent(send_id, &server, now);
        self.earn(core, leg, now);
        self.repeats += u32::from(repeat);
        let hedge_at = self.hedge_delay(core).map(|delay| now + delay);
        let target = Target::Server(server);
        let state = &mut self.legs[leg];
        state.arrivals += 1;
        state.in_flight.push(Attempt {
            send_id,
            target: target.clone(),
            sent: now,
            repeat,
            canary: false,
        });
        state.hedge_at = hedge_at;
        Send {
            id: send_id,
            target,
            legs: vec![leg],
            timeout: self.send_timeout(core, now),
            first_update_after: Duration::ZERO,
            repeat,
            canary: false,
            has_reply: self.has_reply(),
        }
    }

    /// Counts a leg's request towards the budget, once, on the host that serves the caller.
    fn earn(&mut self, core: &mut Core, leg: usize, now: Time) {
        if self.plan.local_only {
            return;
        }
        let state = &mut self.legs[leg];
        if !std::mem::replace(&mut state.is_counted, true) {
            let service = state.service.clone();
            core.earn(&service, now);
        }
    }

    /// Sends a branch to another host.
    fn send_branch(&mut self, core: &mut Core, mut branch: Branch, now: Time) -> Send {
        let send_id = core.next_send_id();
        core.hosts.sent(&branch.host, now);
        let target = Target::Host {
            host: branch.host.clone(),
            domain: branch.domain.clone(),
        };
        let hedge_delay = self.hedge_delay(core).unwrap_or_default();
        let max_delay = self.plan.route.objective.mul_f64(MAX_ROUND_TRIP_FRACTION);
        let reply_delay = core.hosts.reply_delay().min(max_delay);
        for leg in &branch.legs {
            self.earn(core, *leg, now);
            let state = &mut self.legs[*leg];
            state.arrivals += 1;
            state.in_flight.push(Attempt {
                send_id,
                target: target.clone(),
                sent: now,
                repeat: false,
                canary: false,
            });
            state.hedge_at = Some(now + hedge_delay + reply_delay);
        }
        branch.first_update_due = now + hedge_delay;
        let legs = branch.legs.clone();
        self.branches.insert(send_id, branch);
        Send {
            id: send_id,
            target,
            legs,
            timeout: self.send_timeout(core, now),
            first_update_after: hedge_delay,
            repeat: false,
            canary: false,
            has_reply: self.has_reply(),
        }
    }

    /// Returns the timeout of a send: the time left, and for a shard no more than is useful.
    fn send_timeout(&self, core: &Core, now: Time) -> Duration {
        let left = self.plan.deadline.saturating_sub(now);
        if self.legs.len() < 2 {
            return left;
        }
        let useful =
            self.plan.arrived + self.plan.route.objective * core.options.shard_timeout_objectives;
        match useful.saturating_sub(now) {
            useful if useful < self.plan.route.objective / 2 => left,
            useful => left.min(useful),
        }
    }

    /// Returns the time after which another replica is tried; none if no other may be.
    pub(super) fn hedge_delay(&self, core: &mut Core) -> Option<Duration> {
        if self.plan.route.kind == Kind::Once || self.plan.local_only {
            return None;
        }
        let times = core.reply_times(&self.plan.route);
        let max_delay = self
            .plan
            .route
            .objective
            .mul_f64(core.options.max_hedge_fraction);
        let min_delay = times.typical.mul_f64(1.3);
        Some(times.hedge_delay.min(max_delay).max(min_delay))
    }
}
