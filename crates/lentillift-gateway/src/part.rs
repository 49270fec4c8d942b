//! What sends brought, and how a request ended.

use crate::branch::Merged;
use crate::exchange::Reply;
use lentillift_core::id;
use lentillift_scatter::outcome::Next;

/// What one send brought.
#[derive(Debug)]
pub struct SendResult {
    /// What it brought.
    pub content: Content,
}

/// What one send brought.
#[derive(Debug)]
pub enum Content {
    /// A backend server's reply.
    Reply(Reply),
    /// Parts that another host merged.
    Merged(Merged),
}

impl SendResult {
    /// The signature of a single backend server's reply.
    pub fn signature(&self) -> Option<&str> {
        match &self.content {
            Content::Reply(reply) => reply.signature.as_deref(),
            Content::Merged(_) => None,
        }
    }

    /// The signatures of all that it brought.
    pub fn signatures(&self) -> Vec<Box<str>> {
        match &self.content {
            Content::Reply(reply) => reply.signature.clone().into_iter().collect(),
            Content::Merged(merged) => merged.signatures.clone(),
        }
    }

    /// Its records.
    pub fn records(&self) -> &[u8] {
        match &self.content {
            Content::Reply(reply) => reply.response.body(),
            Content::Merged(merged) => &merged.records,
        }
    }
}

/// How a request ended.
#[derive(Debug)]
pub struct RequestResult {
    /// What to do.
    pub next: Next,
    /// What the sends brought that the answer is made of, or the failure to pass on.
    pub parts: Vec<SendResult>,
    /// Sends that were made as repeats.
    pub repeats: u32,
    /// Repeats that the budget did not allow.
    pub unpaid: u32,
    /// Services whose part is missing.
    pub missing: Vec<id::Service>,
    /// What happened to it, for the log.
    pub notes: String,
}
