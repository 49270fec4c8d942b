//! Revision of answers in place, with all comments and the layout kept.

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

/// What is taken out of service or brought back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// A failure domain.
    Domain,
    /// A host.
    Host,
}

impl Unit {
    fn list(self) -> &'static str {
        match self {
            Self::Domain => "domains",
            Self::Host => "hosts",
        }
    }
}

/// Which way it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Out of service.
    Out,
    /// Back into service.
    In,
}

/// Revised answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revised {
    /// The text with its comments.
    pub text: String,
    /// The answers in it.
    pub answers: Answers,
    /// Whether anything changed; what is out already stays out at the same revision.
    pub changed: bool,
}

/// Takes `unit` `name` out of service or brings it back, and raises the revision.
///
/// # Errors
///
/// Reports all faults of the answers, before and after.
pub fn update_out_of_service(
    file: &str,
    text: &str,
    unit: Unit,
    direction: Direction,
    name: &str,
) -> Result<Revised> {
    let answers = Answers::parse(file, text)?;
    if unit == Unit::Domain && !answers.domains.contains_key(name) {
        let right = review::one_of(answers.domains.keys());
        return Err(report(file, Fault::new(["domains"], quoted(name), right)));
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
    let text = edit(text, unit, direction, name, answers.revision + 1);
    let text = text.ok_or_else(|| {
        let fault = Fault::new(["out_of_service"], "a text that can't be edited", "lists");
        report(file, fault)
    })?;
    let answers = Answers::parse(file, &text)?;
    Ok(Revised {
        text,
        answers,
        changed: true,
    })
}

fn edit(text: &str, unit: Unit, direction: Direction, name: &str, revision: u64) -> Option<String> {
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
        Direction::In => remove(&list, name),
    }
    Some(root.to_string())
}

fn remove(list: &CstArray, name: &str) {
    for element in list.elements() {
        let text = element.as_string_lit();
        let text = text.and_then(|text| text.decoded_value().ok());
        if text.as_deref() == Some(name) {
            element.remove();
        }
    }
}

fn report(file: &str, fault: Fault) -> Report {
    Report {
        file: file.to_owned(),
        faults: vec![Line { line: 1, fault }],
    }
}
