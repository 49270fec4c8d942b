//! Parsing of requests from callers.

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

/// Header with the time allowance of a request, in milliseconds.
pub const ALLOWANCE: &str = "x-allowance-ms";

/// Header with the minimum share of the data that an answer must cover, from 0 to 1.
pub const LEAST_COVERAGE: &str = "x-least-coverage";

/// Header with the id of an action, under which it runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum number of hits in an answer when the query sets no `limit`.
const DEFAULT_LIMIT: usize = 10;

/// Largest `limit` that a query may set.
const MAX_LIMIT: usize = 1000;

/// A parsed request.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    /// A search over the shards of a service.
    Query(SearchRequest),
    /// A request for a new id, under which an action runs at most once.
    Issue {
        /// Service on which the action will run.
        service: id::Service,
        /// Caller that will send the action.
        caller: id::Caller,
    },
    /// An action, which runs at most once under its id.
    Action(ActionRequest),
}

/// Why a request was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteError {
    /// The path matches no route.
    NoRoute,
    /// The method is not POST, the only one that the routes accept.
    Method,
    /// A header or the body is missing or malformed.
    Refused(Refusal),
}

/// The fields of a query's body. Only `limit` is read here; the backend servers interpret the rest.
type Body<'a> = HashMap<Cow<'a, str>, &'a RawValue>;

/// Parses a request.
///
/// # Errors
///
/// States what was found and what was expected.
pub fn route(request: &Request<Bytes>) -> Result<Route, RouteError> {
    let path = request.uri().path();
    let Some((service, verb)) = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.split_once('/'))
    else {
        return Err(RouteError::NoRoute);
    };
    if !matches!(verb, "query" | "ids" | "action") {
        return Err(RouteError::NoRoute);
    }
    if request.method() != Method::POST {
        return Err(RouteError::Method);
    }
    match verb {
        "query" => query(service, request).map(Route::Query),
        "action" => action(service, request).map(Route::Action),
        _ => issue(service, request),
    }
    .map_err(RouteError::Refused)
}

fn query(service: &str, request: &Request<Bytes>) -> Result<SearchRequest, Refusal> {
    let headers = request.headers();
    let body: Body<'_> = serde_json::from_slice(request.body()).map_err(malformed)?;
    let limit = match body.get("limit") {
        Some(limit) => serde_json::from_str(limit.get())
            .map_err(|e| malformed(format!("limit: found {limit}: {e}")))?,
        None => DEFAULT_LIMIT,
    };
    if limit > MAX_LIMIT {
        return Err(malformed(format!(
            "limit: found {limit}, at most {MAX_LIMIT} is right"
        )));
    }
    let least_coverage: f64 = optional_header(headers, LEAST_COVERAGE)?.unwrap_or(0.0);
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
        key: required_header(headers, IDEMPOTENCY_KEY)?,
        body: request.body().as_ref().into(),
    })
}

fn caller(headers: &HeaderMap) -> Result<id::Caller, Refusal> {
    let name: String = required_header(headers, CALLER)?;
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
    optional_header(headers, ALLOWANCE)?
        .map(Duration::from_millis)
        .ok_or_else(missing)
}

fn required_header<T>(headers: &HeaderMap, name: &str) -> Result<T, Refusal>
where
    T: FromStr,
{
    optional_header(headers, name)?.ok_or_else(|| malformed(format!("{name}: missing")))
}

fn optional_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal>
where
    T: FromStr,
{
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // Choosing one of several values would be a guess, and could mistake one caller for another.
    let extra = values.count();
    if extra > 0 {
        return Err(malformed(format!("{name}: found {} values", extra + 1)));
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
