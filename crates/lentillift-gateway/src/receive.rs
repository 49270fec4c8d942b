//! Receives the bodies of callers' requests.

use crate::body::Body;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It is larger than the configuration allows.
    TooLarge,
    /// The connection ended, or what came is malformed.
    CutOff,
    /// Its end did not come in time.
    Late,
}

impl Failure {
    /// Status of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::CutOff => StatusCode::BAD_REQUEST,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Reason for the log.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "body too large",
            Self::CutOff => "body cut off",
            Self::Late => "body too slow",
        }
    }
}

/// Receives a body of at most `limit` bytes to its end.
pub(crate) async fn receive(mut incoming: Incoming, limit: usize) -> Result<Bytes, Failure> {
    let mut body = Body::default();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| Failure::CutOff)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if body.len() + part.len() > limit {
            return Err(Failure::TooLarge);
        }
        body.push(part);
    }
    Ok(body.finish())
}
