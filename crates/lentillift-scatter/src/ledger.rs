//! The budgets of repeated sends of all services, on one host.
//!
//! A scarce budget goes first to sends that decide whether there is an answer at all. Suppose half
//! of the backend servers reject most requests, each search lacks a few shards, and there is a
//! repeat for one shard in four. Spent first come, first served, half of the searches lack one
//! shard too many and fail, while others are more complete than they need to be.
//!
//! The reserve for this is kept over all services together. Kept per service, where many hosts
//! share a service and a host has three repeats in ten seconds, it would hold back two of them:
//! only one search in eight could ask again for a late part.

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

/// Fraction of the budgets that may be spent on making answers more complete; the rest is reserved
/// for answers that would fail. Under normal conditions repeats use a quarter of the budgets.
const MAX_PART_FRACTION: f64 = 0.5;

/// The budget of one service.
#[derive(Debug)]
struct Account {
    budget: Budget,
    /// Decides which hosts get the remainder of the fixed number; differs between services.
    remainder_offset: u64,
}

/// The budgets of repeated sends of all services, on one host.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: HashMap<id::Service, Account>,
    /// Sends to all services together, for the reserve.
    total: Budget,
}

impl Account {
    fn new(service: &str) -> Self {
        Self {
            budget: Budget::default(),
            remainder_offset: rendezvous::weight("budget", service),
        }
    }

    /// Returns this host's share of the fixed number, zero in the first window of the process.
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

    /// Counts the first send of a request to a service.
    pub fn earn(&mut self, options: &Options, service: &id::Service, now: Time) {
        self.account(service).budget.earn(options, now);
        self.total.earn(options, now);
    }

    /// Takes a repeated send from the budget of the service; false if it is exhausted, or if
    /// `purpose` is a part and only the reserve is left.
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

    /// Whether repeats have used less than the fraction of all budgets that may go into parts.
    fn allows_part(&mut self, options: &Options, share: &Share, now: Time) -> bool {
        let extra = match share.is_settled(now, options.window) {
            true => f64::from(options.extra) / f64::from(share.place().hosts.max(1)),
            false => 0.0,
        };
        let extra = extra * self.accounts.len() as f64;
        let allowed = self.total.allowed(options, extra, now) * MAX_PART_FRACTION;
        self.total.repeats(options, now) + 1.0 <= allowed
    }

    /// Returns a repeated send that never reached a backend server to the budget.
    pub fn refund(&mut self, options: &Options, service: &id::Service, now: Time) {
        self.account(service).budget.refund(options, now);
        self.total.refund(options, now);
    }

    /// Returns the repeated sends that all budgets together still allow.
    pub fn left(&mut self, options: &Options, share: &Share, now: Time) -> f64 {
        let accounts = self.accounts.values_mut();
        let left = accounts.map(|account| {
            let extra = account.extra(options, share, now);
            account.budget.left(options, extra, now)
        });
        left.sum()
    }

    /// Drops the budgets of all services except those that `keeps` accepts.
    pub fn retain<F>(&mut self, keeps: F)
    where
        F: Fn(&id::Service) -> bool,
    {
        self.accounts.retain(|service, _| keeps(service));
    }
}
