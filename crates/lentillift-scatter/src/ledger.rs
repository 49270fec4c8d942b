//! The budgets of all services of one host.
//!
//! When budgets are scarce they go first to what decides whether there is an answer at all. Pattern:
//! half of the backend servers turn most requests away, each search lacks a few shards, and there is
//! a repeat for one shard in four. Spent on whichever came first, half of the searches lack one shard
//! too many and fail, while others are complete that need not be.
//!
//! What is kept back for that is kept of all services together. Of each alone, where many hosts share
//! a service a host has three repeats in ten seconds and would keep two of them: one search in eight
//! could ask again for a late part.

use crate::budget::Budget;
use crate::budget::Options;
use crate::share::Share;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::rendezvous;
use std::collections::HashMap;

/// What a repeated send is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Without it there may be no answer.
    Answer,
    /// It makes an answer more complete.
    Part,
}

/// Part of the budgets that may go into making answers more complete; the rest is kept for answers
/// that would fail. On calm days repeats take a quarter of the budgets.
const MAX_PART_FRACTION: f64 = 0.5;

/// The budget of one service.
#[derive(Debug)]
struct Account {
    budget: Budget,
    /// Decides which hosts get what can't be divided of the fixed number; another for each service.
    remainder_offset: u64,
}

/// The budgets of all services of one host.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: HashMap<id::Service, Account>,
    /// All of them together.
    total: Budget,
}

impl Account {
    fn new(service: &str) -> Self {
        Self {
            budget: Budget::default(),
            remainder_offset: rendezvous::weight("budget", service),
        }
    }

    /// This host's part of the fixed number.
    fn extra(&self, options: &Options, share: &Share, now: Time) -> f64 {
        match share.is_settled(now, options.window) {
            true => share.part(options.extra, self.remainder_offset, now).into(),
            false => 0.0,
        }
    }
}

impl Ledger {
    fn account(&mut self, service: &id::Service) -> &mut Account {
        let create = || Account::new(service);
        self.accounts.entry(service.clone()).or_insert_with(create)
    }

    /// Notes the first send of a request for a service.
    pub fn earn(&mut self, options: &Options, service: &id::Service, now: Time) {
        self.account(service).budget.earn(options, now);
        self.total.earn(options, now);
    }

    /// Pays for a repeated send, if the budget of the service allows, and for a part also what may go
    /// into parts.
    pub fn spend(
        &mut self,
        options: &Options,
        share: &Share,
        service: &id::Service,
        now: Time,
        purpose: Purpose,
    ) -> bool {
        if purpose == Purpose::Part && !self.allows_part(options, share, now) {
            return false;
        }
        let account = self.account(service);
        let extra = account.extra(options, share, now);
        let paid = account.budget.spend(options, extra, now);
        if paid {
            self.total.note(options, now);
        }
        paid
    }

    /// Whether less than their part of all budgets went into repeats.
    fn allows_part(&mut self, options: &Options, share: &Share, now: Time) -> bool {
        let extra = match share.is_settled(now, options.window) {
            true => f64::from(options.extra) / f64::from(share.place().hosts.max(1)),
            false => 0.0,
        };
        let extra = extra * self.accounts.len() as f64;
        let allowed = self.total.allowed(options, extra, now) * MAX_PART_FRACTION;
        self.total.repeats(options, now) + 1.0 <= allowed
    }

    /// Takes back a repeated send that never reached a backend server.
    pub fn refund(&mut self, options: &Options, service: &id::Service, now: Time) {
        self.account(service).budget.refund(options, now);
        self.total.refund(options, now);
    }

    /// What all of them still allow together.
    pub fn left(&mut self, options: &Options, share: &Share, now: Time) -> f64 {
        let accounts = self.accounts.values_mut();
        let left = accounts.map(|account| {
            let extra = account.extra(options, share, now);
            account.budget.left(options, extra, now)
        });
        left.sum()
    }

    /// Forgets the budgets of all services but those that `keeps` names.
    pub fn retain<F>(&mut self, keeps: F)
    where
        F: Fn(&id::Service) -> bool,
    {
        self.accounts.retain(|service, _| keeps(service));
    }
}
