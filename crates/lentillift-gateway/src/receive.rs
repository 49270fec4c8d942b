//! Receives the bodies of callers' requests.

use crate::body_memory::Reservation;
use crate::upload::NoMemory;
use crate::upload::Upload;
use crate::upload::Uploads;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use std::time::Duration;

/// Time for which the rest of a refused body is read. A connection that is closed before that is
/// reset, and its caller may lose the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It is larger than the configuration allows.
    TooLarge,
    /// The connection ended, or what came is malformed.
    CutOff,
    /// Its end did not come in time.
    Late,
    /// The host has no memory for it.
    NoMemory,
    /// Its connection is closed for a newcomer.
    NoPlace,
}

impl From<NoMemory> for Failure {
    fn from(NoMemory: NoMemory) -> Self {
        Self::NoMemory
    }
}

impl Failure {
    /// Reason for the log.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "body too large",
            Self::CutOff => "body cut off",
            Self::Late => "body too slow",
            Self::NoMemory => "no memory for the body",
            Self::NoPlace => "no place for the connection",
        }
    }
}

/// Receives a body of at most `limit` bytes to its end, within `timeout`.
pub(crate) async fn receive(
    uploads: &Uploads,
    mut incoming: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<(Bytes, Reservation), Failure> {
    if incoming.is_end_stream() {
        return Ok((Bytes::new(), uploads.reservation()));
    }
    let received = read_to_end(uploads, &mut incoming, limit);
    let received = tokio::time::timeout(timeout, received).await;
    let received = received.unwrap_or(Err(Failure::Late));
    if matches!(received, Err(Failure::NoMemory)) {
        discard(incoming).await;
    }
    received
}

async fn read_to_end(
    uploads: &Uploads,
    incoming: &mut Incoming,
    limit: usize,
) -> Result<(Bytes, Reservation), Failure> {
    let upload = uploads.begin();
    let received = tokio::select! {
        biased;
        received = read_frames(&upload, incoming, limit) => received,
        () = upload.given_up() => Err(Failure::NoMemory),
    };
    received?;
    Ok(upload.finish()?)
}

async fn read_frames(
    upload: &Upload<'_>,
    incoming: &mut Incoming,
    limit: usize,
) -> Result<(), Failure> {
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| Failure::CutOff)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if upload.len() + part.len() > limit {
            return Err(Failure::TooLarge);
        }
        upload.push(part)?;
    }
    Ok(())
}

/// Reads the rest of a body without keeping it.
async fn discard(mut incoming: Incoming) {
    let rest = async { while let Some(Ok(_)) = incoming.frame().await {} };
    // What does not come in time ends with the connection.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}
