//! Making sense of what callers send.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_entry::answer::SearchRequest;
use lentillift_once::submit::ActionRequest;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

/// Header with the caller's name.
pub const CALLER: &str = "x-caller";

/// Header with the time allowance, in milliseconds.
pub const ALLOWANCE: &str = "x-allowance-ms";

/// Header with the least share of the data that the caller accepts, from 0 to 1.
pub const LEAST_COVERAGE: &str = "x-least-coverage";

/// Header with the id of a request that may run at most once.
pub const KEY: &str = "idempotency-key";

/// Hits that an answer holds when the query does not say.
const DEFAULT_LIMIT: usize = 10;

/// Hits that a query may ask for.
const MOST_HITS: usize = 1000;

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    /// A query.
    Query(SearchRequest),
    /// An id for a request that may run at most once.
    Issue {
        /// The service that the id is for.
        service: id::Service,
        /// The caller.
        caller: id::Caller,
    },
    /// A request that may run at most once.
    Action(ActionRequest),
}

/// Why a request was not understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// There is no such route.
    NoRoute,
    /// The route takes POST only.
    Method,
    /// The request is malformed.
    Refused(Refusal),
}

/// The fields of a query's body; all but `limit` are the backend servers' own.
type Body<'a> = HashMap<Cow<'a, str>, &'a RawValue>;

/// Parses a request.
///
/// # Errors
///
/// Says what was found and what would be right.
pub fn route(request: &Request<Bytes>) -> Result<Route, Fault> {
    let path = request.uri().path();
    let Some((service, verb)) = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.split_once('/'))
    else {
        return Err(Fault::NoRoute);
    };
    if !matches!(verb, "query" | "ids" | "action") {
        return Err(Fault::NoRoute);
    }
    if request.method() != Method::POST {
        return Err(Fault::Method);
    }
    match verb {
        "query" => query(service, request).map(Route::Query),
        "action" => action(service, request).map(Route::Action),
        _ => issue(service, request),
    }
    .map_err(Fault::Refused)
}

fn query(service: &str, request: &Request<Bytes>) -> Result<SearchRequest, Refusal> {
    let headers = request.headers();
    let body: Body<'_> = serde_json::from_slice(request.body()).map_err(malformed)?;
    let limit = match body.get("limit") {
        Some(limit) => serde_json::from_str(limit.get())
            .map_err(|e| malformed(format!("limit: found {limit}: {e}")))?,
        None => DEFAULT_LIMIT,
    };
    if limit > MOST_HITS {
        return Err(malformed(format!(
            "limit: found {limit}, at most {MOST_HITS} is right"
        )));
    }
    let least_coverage: f64 = optional(headers, LEAST_COVERAGE)?.unwrap_or(0.0);
    if !(0.0..=1.0).contains(&least_coverage) {
        return Err(malformed(format!(
            "{LEAST_COVERAGE}: found {least_coverage}, from 0 to 1 is right"
        )));
    }
    Ok(SearchRequest {
        service: service.into(),
        caller: caller(headers)?,
        allowance: allowance(headers)?,
        limit,
        least_coverage,
        body: request.body().as_ref().into(),
    })
}

fn issue(service: &str, request: &Request<Bytes>) -> Result<Route, Refusal> {
    Ok(Route::Issue {
        service: service.into(),
        caller: caller(request.headers())?,
    })
}

fn action(service: &str, request: &Request<Bytes>) -> Result<ActionRequest, Refusal> {
    let headers = request.headers();
    serde_json::from_slice::<IgnoredAny>(request.body()).map_err(malformed)?;
    Ok(ActionRequest {
        service: service.into(),
        caller: caller(headers)?,
        allowance: allowance(headers)?,
        key: required(headers, KEY)?,
        body: request.body().as_ref().into(),
    })
}

fn caller(headers: &HeaderMap) -> Result<id::Caller, Refusal> {
    let name: String = required(headers, CALLER)?;
    if name.is_empty() {
        return Err(malformed(format!("{CALLER}: missing")));
    }
    Ok(name.into())
}

fn allowance(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let missing = || {
        let detail = format!("{ALLOWANCE}: missing, a number of milliseconds is right");
        Refusal::new(Cause::Allowance, detail)
    };
    optional(headers, ALLOWANCE)?
        .map(Duration::from_millis)
        .ok_or_else(missing)
}

fn required<T>(headers: &HeaderMap, name: &str) -> Result<T, Refusal>
where
    T: FromStr,
{
    optional(headers, name)?.ok_or_else(|| malformed(format!("{name}: missing")))
}

fn optional<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal>
where
    T: FromStr,
{
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // Which of two values counts would be a guess, and callers would be mixed up.
    let more = values.count();
    if more > 0 {
        return Err(malformed(format!("{name}: found {} values", more + 1)));
    }
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(parsed) => Ok(Some(parsed)),
        None => Err(malformed(format!("{name}: found {value:?}"))),
    }
}

fn malformed(detail: impl ToString) -> Refusal {
    Refusal::new(Cause::Malformed, detail.to_string())
}
