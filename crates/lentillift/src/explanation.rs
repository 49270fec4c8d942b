//! Explains the result of one request from the structured logs of several processes.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Default time before the start of a request from which state changes are shown, in seconds.
///
/// An update reaches every host in well under a second, and a lost origin is given up within two.
pub const DEFAULT_LOOKBACK_S: f64 = 5.0;

/// Events that log a change in the state of a process and belong to no request.
const STATE_EVENTS: [&str; 11] = [
    "age",
    "config",
    "origin",
    "backend",
    "evacuation",
    "host",
    "ready",
    "stall",
    "start",
    "stop",
    "reload",
];

/// Fields with names of backend servers, services and hosts.
const NAME_FIELDS: [&str; 4] = ["backend", "service", "missing", "host"];

/// Fields that the text does not repeat as `key=value`.
const OMITTED_FIELDS: [&str; 6] = ["timestamp", "level", "message", "event", "id", "host"];

/// A log line that is an event.
#[derive(Debug, Clone)]
struct Line {
    /// Timestamp as logged, which sorts as text.
    time: String,
    /// Time since midnight, in seconds.
    seconds: f64,
    /// Index of its log.
    log: usize,
    fields: Map<String, Value>,
}

impl Line {
    fn event(&self) -> &str {
        self.fields
            .get("event")
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn is_about(&self, id: &str) -> bool {
        self.fields.get("id").and_then(Value::as_str) == Some(id)
    }

    /// Names of backend servers, hosts and services in its fields.
    fn names(&self) -> impl Iterator<Item = &str> {
        let values = NAME_FIELDS
            .iter()
            .filter_map(|key| self.fields.get(*key)?.as_str());
        values.flat_map(str::split_whitespace)
    }
}

/// Log lines that explain the result of one request, in order of time.
#[derive(Debug)]
pub struct Explanation {
    id: String,
    logs: Vec<String>,
    lines: Vec<Line>,
    /// Number of lines that could not be parsed: from other programs, or cut off.
    unparsed: usize,
}

impl Explanation {
    /// Finds the lines about request `id` in `logs` (name and text of each), and the state changes on
    /// the same hosts from `lookback_s` seconds before its start to its last line.
    pub fn find(id: &str, lookback_s: f64, logs: &[(&str, String)]) -> Self {
        let mut all = Vec::new();
        let mut unparsed = 0;
        for (number, (_, text)) in logs.iter().enumerate() {
            for line in text.lines().filter(|line| !line.trim().is_empty()) {
                match parse(number, line) {
                    Some(line) => all.push(line),
                    None => unparsed += 1,
                }
            }
        }
        let about: Vec<&Line> = all.iter().filter(|line| line.is_about(id)).collect();
        let first = about
            .iter()
            .map(|line| start(line))
            .fold(f64::MAX, f64::min);
        let last = about.iter().map(|line| line.seconds).fold(0.0, f64::max);
        let involved: BTreeSet<&str> = about.iter().flat_map(|line| line.names()).collect();
        let own_logs: BTreeSet<usize> = about.iter().map(|line| line.log).collect();
        let is_state_change = |line: &&Line| {
            let in_time = line.seconds >= first - lookback_s && line.seconds <= last;
            let known = STATE_EVENTS.contains(&line.event()) && own_logs.contains(&line.log);
            let concerns = line.event() != "backend" || line.names().any(|n| involved.contains(n));
            in_time && known && concerns
        };
        let mut lines: Vec<Line> = all
            .iter()
            .filter(|line| line.is_about(id) || is_state_change(line))
            .cloned()
            .collect();
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        Self {
            id: id.to_owned(),
            logs: logs.iter().map(|(name, _)| (*name).to_owned()).collect(),
            lines,
            unparsed,
        }
    }

    /// Whether no line was found.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Renders the lines as text, those about the request marked with `*`, and the verdict.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            let about = if line.is_about(&self.id) { "*" } else { " " };
            let _ = write!(text, "{about} {} {}", line.time, self.logs[line.log]);
            let _ = write!(text, " {}", line.event());
            if let Some(message) = line.fields.get("message").and_then(Value::as_str) {
                let _ = write!(text, ": {message}");
            }
            for (key, value) in &line.fields {
                let omitted = OMITTED_FIELDS.contains(&key.as_str());
                let empty = value.as_str() == Some("");
                if !omitted && !empty {
                    let _ = write!(text, " {key}={value}");
                }
            }
            text.push('\n');
        }
        match self.is_empty() {
            true => {
                let _ = writeln!(
                    text,
                    "no line about {}: it was served as usual and not sampled, or these are not the \
                     logs of the hosts that handled it",
                    self.id
                );
            }
            false => {
                let _ = writeln!(text, "{}", self.verdict());
            }
        }
        if self.unparsed > 0 {
            let _ = writeln!(text, "{} lines could not be read", self.unparsed);
        }
        text
    }

    /// Renders the lines and the verdict as JSON.
    pub fn to_json(&self) -> Value {
        let lines = self.lines.iter().map(|line| {
            let mut fields = line.fields.clone();
            fields.insert("log".to_owned(), json!(self.logs[line.log]));
            Value::Object(fields)
        });
        json!({
            "id": self.id,
            "lines": lines.collect::<Vec<_>>(),
            "unread": self.unparsed,
            "verdict": self.verdict(),
        })
    }

    /// Why the request was late, failed or was refused, in one sentence.
    pub fn verdict(&self) -> String {
        let about = self.lines.iter().filter(|line| line.is_about(&self.id));
        let about: Vec<&Line> = about.collect();
        if let Some(abandoned) = about.iter().find(|line| line.event() == "abandoned") {
            let after_ms = abandoned
                .fields
                .get("after_ms")
                .and_then(Value::as_u64)
                .unwrap_or_default();
            return match abandoned.fields.get("stage").and_then(Value::as_str) {
                Some("Serving") => format!("cause: its caller left after {after_ms} ms"),
                _ => {
                    format!(
                        "cause: its host ended {after_ms} ms after it arrived, with it unanswered"
                    )
                }
            };
        }
        let Some(end) = about.iter().rev().find(|line| line.event() == "request") else {
            return "cause: no log line says how it ended: its host terminated before it answered"
                .to_owned();
        };
        let text = |key: &str| {
            end.fields
                .get(key)
                .and_then(Value::as_str)
                .unwrap_or_default()
        };
        let number = |key: &str| {
            end.fields
                .get(key)
                .and_then(Value::as_u64)
                .unwrap_or_default()
        };
        if end.fields.get("ending") == Some(&Value::Bool(true)) {
            return format!(
                "cause: its host ended {} ms after it arrived, and answered {} before",
                number("took_ms"),
                number("status")
            );
        }
        let sends = text("notes").matches("; ").count();
        let late = end.fields.get("late") == Some(&Value::Bool(true));
        match text("outcome") {
            "turned away" => {
                let lost = self
                    .lines
                    .iter()
                    .filter(|line| line.event() == "origin")
                    .count();
                format!(
                    "cause: {}; lost or changed origins shortly before: {lost}",
                    text("why")
                )
            }
            "refused" => format!(
                "cause: nobody could serve it ({sends} sends turned away or unreachable); it did not run"
            ),
            "quarantined" => format!(
                "cause: backend servers ended under requests with its content, fingerprint {}; it did not run",
                text("fingerprint")
            ),
            "failed" | "timeout" => format!(
                "cause: {sends} events on the way, {} repeats made, {} not allowed by the budget",
                number("repeats"),
                number("unpaid")
            ),
            outcome if outcome == "partial" || late => format!(
                "cause: waited for {}; {} repeats made, {} not allowed by the budget",
                match text("missing") {
                    "" => "its slowest shard".to_owned(),
                    missing => format!("shards {missing}"),
                },
                number("repeats"),
                number("unpaid")
            ),
            _ => "served within its objective".to_owned(),
        }
    }
}

/// Start of a line's request in seconds since midnight, by the duration in the line if it has one.
fn start(line: &Line) -> f64 {
    let took = line.fields.get("took_ms").and_then(Value::as_f64);
    line.seconds - took.unwrap_or(0.0) / 1000.0
}

/// Parses one line; a prefix before the JSON object, as log collectors add it, is skipped.
fn parse(log: usize, text: &str) -> Option<Line> {
    let text = &text[text.find('{')?..];
    let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
        return None;
    };
    let time = fields.get("timestamp")?.as_str()?.to_owned();
    let seconds = seconds(&time)?;
    Some(Line {
        time,
        seconds,
        log,
        fields,
    })
}

/// Seconds since midnight of a timestamp such as `2026-04-18T18:12:11.008375Z`.
fn seconds(time: &str) -> Option<f64> {
    let (_, clock) = time.split_once('T')?;
    let mut parts = clock.trim_end_matches('Z').split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}
