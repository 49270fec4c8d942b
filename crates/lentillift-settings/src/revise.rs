//! Edits the text of answers in place; comments and layout stay.

use crate::answers::Answers;
use crate::fault::Fault;
use crate::fault::Line;
use crate::fault::Report;
use crate::fault::Result;
use crate::review;
use crate::shape::quoted;
use jsonc_parser::ParseOptions;
use jsonc_parser::cst::CstArray;
use jsonc_parser::cst::CstInputValue;
use jsonc_parser::cst::CstObject;
use jsonc_parser::cst::CstRootNode;

/// What operators take out of service and bring back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// A failure domain.
    Domain,
    /// A host.
    Host,
}

impl Unit {
    /// Name of the list under `out_of_service`.
    fn list(self) -> &'static str {
        match self {
            Self::Domain => "domains",
            Self::Host => "hosts",
        }
    }
}

/// Whether a unit is taken out of service or brought back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Out of service.
    Out,
    /// Back into service.
    In,
}

/// Answers after an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revised {
    /// The edited text, comments included.
    pub text: String,
    /// The answers parsed from the edited text.
    pub answers: Answers,
    /// Whether anything changed. If the unit was in the requested state already, the text and the
    /// revision stay as they are.
    pub changed: bool,
}

/// Takes the unit `name` out of service or brings it back, and increases the revision by one.
///
/// `file` is the name of the text in reports.
///
/// # Errors
///
/// Reports all faults of the answers, before or after the edit, and an unknown failure domain.
pub fn update_out_of_service(
    file: &str,
    text: &str,
    unit: Unit,
    direction: Direction,
    name: &str,
) -> Result<Revised> {
    let answers = Answers::parse(file, text)?;
    if unit == Unit::Domain && !answers.domains.contains_key(name) {
        let expected = review::one_of(answers.domains.keys());
        return Err(single_fault(
            file,
            Fault::new(["domains"], quoted(name), expected),
        ));
    }
    let out = match unit {
        Unit::Domain => answers.out_of_service.domains.contains(name),
        Unit::Host => answers.out_of_service.hosts.contains(name),
    };
    if out == (direction == Direction::Out) {
        return Ok(Revised {
            text: text.to_owned(),
            answers,
            changed: false,
        });
    }
    let text = edit_text(text, unit, direction, name, answers.revision + 1);
    let text = text.ok_or_else(|| {
        let fault = Fault::new(["out_of_service"], "a text that can't be edited", "lists");
        single_fault(file, fault)
    })?;
    let answers = Answers::parse(file, &text)?;
    Ok(Revised {
        text,
        answers,
        changed: true,
    })
}

/// Edits the list and the revision; none if the text does not have the expected structure.
fn edit_text(
    text: &str,
    unit: Unit,
    direction: Direction,
    name: &str,
    revision: u64,
) -> Option<String> {
    let root = CstRootNode::parse(text, &ParseOptions::default()).ok()?;
    let object: CstObject = root.object_value()?;
    let number = CstInputValue::Number(revision.to_string());
    object.get("revision")?.set_value(number);
    let list = object.object_value("out_of_service")?;
    let list = list.array_value(unit.list())?;
    match direction {
        Direction::Out => {
            list.append(CstInputValue::String(name.to_owned()));
        }
        Direction::In => remove_name(&list, name),
    }
    Some(root.to_string())
}

fn remove_name(list: &CstArray, name: &str) {
    for element in list.elements() {
        let text = element.as_string_lit();
        let text = text.and_then(|text| text.decoded_value().ok());
        if text.as_deref() == Some(name) {
            element.remove();
        }
    }
}

/// A report of one fault, for line 1.
fn single_fault(file: &str, fault: Fault) -> Report {
    Report {
        file: file.to_owned(),
        faults: vec![Line { line: 1, fault }],
    }
}
