//! Results of sends and of whole requests.

use crate::branch::Merged;
use crate::exchange::Reply;
use lentillift_core::id;
use lentillift_scatter::outcome::Next;

/// Result of one send.
#[derive(Debug)]
pub struct SendResult {
    /// Reply or merged parts.
    pub content: Content,
}

/// Content of a send's result.
#[derive(Debug)]
pub enum Content {
    /// A reply of one backend server.
    Reply(Reply),
    /// Parts merged by another host.
    Merged(Merged),
}

impl SendResult {
    /// Signature of a single backend server's reply; none for merged parts.
    pub fn signature(&self) -> Option<&str> {
        match &self.content {
            Content::Reply(reply) => reply.signature.as_deref(),
            Content::Merged(_) => None,
        }
    }

    /// Signatures of all backend servers that contributed.
    pub fn signatures(&self) -> Vec<Box<str>> {
        match &self.content {
            Content::Reply(reply) => reply.signature.clone().into_iter().collect(),
            Content::Merged(merged) => merged.signatures.clone(),
        }
    }

    /// The records.
    pub fn records(&self) -> &[u8] {
        match &self.content {
            Content::Reply(reply) => reply.response.body(),
            Content::Merged(merged) => &merged.records,
        }
    }
}

/// Result of a request.
#[derive(Debug)]
pub struct RequestResult {
    /// The final decision of the query.
    pub next: Next,
    /// Results that form the answer, or the failure to forward.
    pub parts: Vec<SendResult>,
    /// Number of repeated sends.
    pub repeats: u32,
    /// Number of repeated sends that the budget did not allow.
    pub repeats_denied: u32,
    /// Services without a part in the answer.
    pub missing: Vec<id::Service>,
    /// Retries and failures of the request, for the log.
    pub notes: String,
}
