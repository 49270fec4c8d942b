//! Replay of a trace in virtual time.

use crate::core::Core;
use crate::line::CoreKind;
use crate::line::Head;
use crate::line::Line;
use crate::line::VERSION;
use crate::names::Names;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::time::Time;
use lentillift_entry::core::Entry;
use lentillift_once::core::Once;
use rand::rngs::StdRng;
use serde_json::Value;

/// One effect that a core returned during a replay.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Time of the event or tick that led to it, since the process started.
    pub at: Time,
    /// The effect as JSON, with names in place of generated ids.
    pub effect: Value,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct Outcome {
    /// All decisions, in the order in which they were made.
    pub decisions: Vec<Decision>,
    /// A description of each line whose recorded effects differ from those of the replay.
    pub differences: Vec<String>,
}

/// Replays the trace in `text`; `name` identifies it in errors.
///
/// # Errors
///
/// Names the trace and the line that can't be parsed.
pub fn replay(name: &str, text: &str) -> Result<Outcome> {
    let fail = |number: usize, e: &dyn std::fmt::Display| {
        Error::new(Step::Decode, format!("{name} line {number}"), e)
    };
    let mut lines = text.lines();
    let head: Head =
        serde_json::from_str(lines.next().unwrap_or_default()).map_err(|e| fail(1, &e))?;
    if head.trace != VERSION {
        let detail = format!("found version {}, expected {VERSION}", head.trace);
        return Err(fail(1, &detail));
    }
    let mut parsed = Vec::new();
    for (index, line) in lines.enumerate() {
        let line: Line = serde_json::from_str(line).map_err(|e| fail(index + 2, &e))?;
        parsed.push(line);
    }
    let run = match head.part {
        CoreKind::Entry => run::<Entry<StdRng>>,
        CoreKind::Once => run::<Once<StdRng>>,
    };
    run(&head, &parsed).map_err(|(index, e)| fail(index + 2, &e))
}

/// Feeds the lines of a trace to a new core. An error has the index of its line in `lines`.
fn run<C>(head: &Head, lines: &[Line]) -> std::result::Result<Outcome, (usize, String)>
where
    C: Core,
{
    let mut core = C::start(head);
    let mut names = Names::default();
    let mut outcome = Outcome::default();
    for (index, line) in lines.iter().enumerate() {
        while !head.ticks
            && let Some(due) = core.next_wake().filter(|due| *due <= line.at())
        {
            let effects = core.handle(due, C::tick());
            append_effects(&mut outcome, &mut names, due, &effects);
        }
        let mut event = line.event.clone();
        names.replace_names(&mut event);
        let event = serde_json::from_value(event).map_err(|e| (index, e.to_string()))?;
        let effects = core.handle(line.at(), event);
        let replayed = append_effects(&mut outcome, &mut names, line.at(), &effects);
        if let Some(recorded) = &line.effects
            && *recorded != replayed
        {
            let difference = format!(
                "line {}: recorded {recorded:?}, replayed {replayed:?}",
                index + 2
            );
            outcome.differences.push(difference);
        }
    }
    Ok(outcome)
}

/// Adds effects, with names in place of generated ids, to an outcome and returns them.
fn append_effects<E>(
    outcome: &mut Outcome,
    names: &mut Names,
    at: Time,
    effects: &[E],
) -> Vec<Value>
where
    E: serde::Serialize,
{
    let effects = effects
        .iter()
        .map(|e| serde_json::to_value(e).unwrap_or_default());
    let mut effects: Vec<Value> = effects.collect();
    names.register(&effects);
    effects
        .iter_mut()
        .for_each(|effect| names.replace_ids(effect));
    let decisions = effects
        .iter()
        .cloned()
        .map(|effect| Decision { at, effect });
    outcome.decisions.extend(decisions);
    effects
}

/// Whether `found` includes everything in `expected`. An object may have more fields than expected;
/// arrays must have the same length.
pub fn includes(expected: &Value, found: &Value) -> bool {
    match (expected, found) {
        (Value::Object(expected), Value::Object(found)) => expected
            .iter()
            .all(|(field, value)| found.get(field).is_some_and(|found| includes(value, found))),
        (Value::Array(expected), Value::Array(found)) => {
            expected.len() == found.len() && expected.iter().zip(found).all(|(e, f)| includes(e, f))
        }
        _ => expected == found,
    }
}
