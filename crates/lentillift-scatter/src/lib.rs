//! Decides how a request reaches backend servers: which route, which replicas, when to hedge, how
//! far to trust the published state, and when to answer.
//!
//! This crate does no I/O, reads no clock and draws no random numbers: events and times go in, and
//! the next action comes out as an enum.

#![forbid(unsafe_code)]

pub mod budget;
pub mod caller;
pub mod catalog;
pub mod config;
pub mod core;
pub mod delay;
pub mod grace;
pub mod host;
pub mod ledger;
pub mod leg;
pub mod limit;
pub mod loss;
pub mod outcome;
pub mod plan;
pub mod quantile;
pub mod query;
pub mod record;
pub mod replica;
pub mod replica_table;
pub mod report;
pub mod server;
pub mod share;
pub mod source;
pub mod switch;
pub mod view;
