//! Replay of a trace.

use crate::core::Core;
use crate::line::Head;
use crate::line::Line;
use crate::line::Part;
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

/// A decision of a replay.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// When it was made.
    pub at: Time,
    /// The effect.
    pub effect: Value,
}

/// What a replay came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// All decisions, in order.
    pub decisions: Vec<Decision>,
    /// The lines whose recorded effects were not those of the replay.
    pub differences: Vec<String>,
}

/// Replays a trace.
///
/// # Errors
///
/// Names the trace and the line that can't be read.
pub fn replay(name: &str, text: &str) -> Result<Outcome> {
    let fail = |number: usize, e: &dyn std::fmt::Display| {
        Error::new(Step::Decode, format!("{name} line {number}"), e)
    };
    let mut lines = text.lines();
    let head: Head =
        serde_json::from_str(lines.next().unwrap_or_default()).map_err(|e| fail(1, &e))?;
    if head.trace != VERSION {
        let detail = format!("found version {}, {VERSION} is right", head.trace);
        return Err(fail(1, &detail));
    }
    let mut parsed = Vec::new();
    for (at, line) in lines.enumerate() {
        let line: Line = serde_json::from_str(line).map_err(|e| fail(at + 2, &e))?;
        parsed.push(line);
    }
    let run = match head.part {
        Part::Entry => run::<Entry<StdRng>>,
        Part::Once => run::<Once<StdRng>>,
    };
    run(&head, &parsed).map_err(|(at, e)| fail(at + 2, &e))
}

fn run<C>(head: &Head, lines: &[Line]) -> std::result::Result<Outcome, (usize, String)>
where
    C: Core,
{
    let mut core = C::start(head);
    let mut names = Names::default();
    let mut outcome = Outcome::default();
    for (number, line) in lines.iter().enumerate() {
        while !head.ticks
            && let Some(due) = core.next_wake().filter(|due| *due <= line.at())
        {
            let effects = core.handle(due, C::tick());
            take(&mut outcome, &mut names, due, &effects);
        }
        let mut event = line.event.clone();
        names.number(&mut event);
        let event = serde_json::from_value(event).map_err(|e| (number, e.to_string()))?;
        let effects = core.handle(line.at(), event);
        let shown = take(&mut outcome, &mut names, line.at(), &effects);
        if let Some(recorded) = &line.effects
            && *recorded != shown
        {
            let difference = format!("line {}: {recorded:?} became {shown:?}", number + 2);
            outcome.differences.push(difference);
        }
    }
    Ok(outcome)
}

/// Adds effects, with names for numbers, to an outcome.
fn take<E>(outcome: &mut Outcome, names: &mut Names, at: Time, effects: &[E]) -> Vec<Value>
where
    E: serde::Serialize,
{
    let effects = effects
        .iter()
        .map(|e| serde_json::to_value(e).unwrap_or_default());
    let mut effects: Vec<Value> = effects.collect();
    names.learn(&effects);
    effects.iter_mut().for_each(|effect| names.name(effect));
    let decisions = effects
        .iter()
        .cloned()
        .map(|effect| Decision { at, effect });
    outcome.decisions.extend(decisions);
    effects
}

/// Whether `found` holds all that `wanted` states: an object may have more fields than are stated.
pub fn holds(wanted: &Value, found: &Value) -> bool {
    match (wanted, found) {
        (Value::Object(wanted), Value::Object(found)) => wanted
            .iter()
            .all(|(field, value)| found.get(field).is_some_and(|found| holds(value, found))),
        (Value::Array(wanted), Value::Array(found)) => {
            wanted.len() == found.len() && wanted.iter().zip(found).all(|(w, f)| holds(w, f))
        }
        _ => wanted == found,
    }
}
