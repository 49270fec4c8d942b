//! Rendering of answers and refusals as HTTP responses.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use lentillift_core::coverage::Coverage;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_entry::answer::Answer;
use lentillift_http::listener::json;
use lentillift_once::submit::ActionResponse;
use serde::Serialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::time::Duration;

/// Header with the share of the data that an answer covers, from 0 to 1.
pub const COVERAGE: &str = "x-coverage";

/// Header that says whether an answer covers all shards: `true` or `false`.
pub const COMPLETE: &str = "x-complete";

/// Header with the number of missing shards for each reason, such as `deadline=2,cold=1`.
pub const MISSING: &str = "x-missing";

/// Header that says whether a request ran: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";

#[derive(Serialize)]
struct Body<'a> {
    snapshot: id::Snapshot,
    /// Whether no shard is missing. Distinguishes "no such notice" from "not all was searched".
    complete: bool,
    share: f64,
    coverage: &'a Coverage,
    hits: Vec<&'a RawValue>,
}

#[derive(Serialize)]
struct Problem<'a> {
    outcome: Outcome,
    cause: Cause,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Renders the answer to a query.
pub fn answer(answer: &Answer) -> Response<Bytes> {
    let coverage = &answer.coverage;
    let hits = answer.hits.iter();
    let body = Body {
        snapshot: answer.snapshot,
        complete: coverage.is_full(),
        share: coverage.share(),
        coverage,
        hits: hits
            .filter_map(|hit| serde_json::from_str(&hit.json).ok())
            .collect(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = json(StatusCode::OK, body);
    insert_header(&mut response, COVERAGE, &coverage.to_string());
    insert_header(&mut response, COMPLETE, &coverage.is_full().to_string());
    insert_header(&mut response, MISSING, &missing_by_reason(coverage));
    insert_header(&mut response, "x-snapshot", &answer.snapshot.to_string());
    insert_header(&mut response, OUTCOME, "done");
    response
}

/// Formats the number of missing shards for each reason; empty if none is missing.
fn missing_by_reason(coverage: &Coverage) -> String {
    let mut reasons = BTreeMap::<_, u32>::new();
    for missing in &coverage.missing {
        *reasons.entry(missing.reason).or_default() += 1;
    }
    let reasons = reasons.into_iter();
    let reasons = reasons.map(|(reason, count)| format!("{reason}={count}"));
    reasons.collect::<Vec<_>>().join(",")
}

/// Renders a refusal, with the status that its cause maps to.
pub fn refusal(refusal: &Refusal) -> Response<Bytes> {
    let outcome = refusal.outcome;
    let problem = Problem {
        outcome,
        cause: refusal.cause,
        detail: &refusal.detail,
        retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = json(status(refusal.cause), body);
    insert_header(&mut response, OUTCOME, outcome_name(outcome));
    insert_retry_after(&mut response, refusal.retry_after);
    response
}

fn insert_retry_after(response: &mut Response<Bytes>, after: Option<Duration>) {
    if let Some(after) = after {
        let seconds = after.as_secs_f64().ceil().max(1.0);
        insert_header(response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
}

/// Renders a newly issued id, under which an action runs at most once.
pub fn issued(key: &str) -> Response<Bytes> {
    let body = serde_json::json!({ "id": key }).to_string();
    json(StatusCode::OK, body.into_bytes())
}

/// Renders the outcome of an action.
pub fn action(action: ActionResponse) -> Response<Bytes> {
    let status = match (action.outcome, action.cause) {
        (Outcome::Done, _) => StatusCode::OK,
        (Outcome::NotRun, Some(cause)) => status(cause),
        (Outcome::NotRun, None) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = json(status, action.body);
    insert_header(&mut response, OUTCOME, outcome_name(action.outcome));
    insert_retry_after(&mut response, action.retry_after);
    response
}

fn status(cause: Cause) -> StatusCode {
    match cause {
        Cause::UnknownService => StatusCode::NOT_FOUND,
        Cause::UnknownCaller => StatusCode::FORBIDDEN,
        Cause::Malformed | Cause::Allowance => StatusCode::BAD_REQUEST,
        Cause::Overload => StatusCode::TOO_MANY_REQUESTS,
        Cause::Closed => StatusCode::GONE,
        Cause::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
        Cause::Stale
        | Cause::Leaving
        | Cause::NoSnapshot
        | Cause::Coverage
        | Cause::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

fn insert_header(response: &mut Response<Bytes>, name: &str, value: &str) {
    let name = http::HeaderName::try_from(name);
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}
