//! Schemas of JSON values, and the check that reports every difference from them.
//!
//! A derived decoder stops at its first error, so a text with five mistakes would need five attempts
//! to correct. A [`Shape`] is a constant schema that is compared with the whole parsed text instead.

use crate::fault::Fault;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use serde_json::Value as Json;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Longest name, in bytes; [`NAME_RULE`] states the same number.
const MAX_NAME_BYTES: usize = 128;

/// The schema of a value.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// Any value; another check validates it.
    Any,
    /// A name of a host, a service and so on: 1 to 128 ASCII letters, digits and `-._:`, the first a
    /// letter or digit.
    Name,
    /// A string that is not empty or blank.
    Text,
    /// An IP address with a port.
    Address,
    /// True or false.
    Flag,
    /// A whole number from a least to a most value, both included.
    Whole(u64, u64),
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// A list of values of one shape.
    List(&'static Shape),
    /// An object with names as keys and values of one shape.
    Map(&'static Shape),
    /// An object with the given fields and no others.
    Record(&'static [Field]),
    /// An object with any of the fields of an example, each of the same type as there.
    Like(fn() -> Json),
}

/// A field of a record.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    name: &'static str,
    shape: Shape,
    required: bool,
}

/// A field that must be present.
pub const fn required(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        shape,
        required: true,
    }
}

/// A field that may be left out.
pub const fn optional(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        shape,
        required: false,
    }
}

impl Shape {
    /// Appends every difference of `value` from the shape; `path` is the path of the value.
    pub fn check(&self, path: &mut Vec<String>, value: &Value<'_>, faults: &mut Vec<Fault>) {
        match (self, value) {
            (Self::Any, _) | (Self::Flag, Value::BooleanLit(_)) => {}
            (Self::List(shape), Value::Array(array)) => {
                for (at, element) in array.elements.iter().enumerate() {
                    path.push(at.to_string());
                    shape.check(path, element, faults);
                    path.pop();
                }
            }
            (Self::Map(shape), Value::Object(object)) => check_map(shape, path, object, faults),
            (Self::Record(fields), Value::Object(object)) => {
                check_record(fields, path, object, faults)
            }
            (Self::Like(example), _) => check_like(&example(), path, value, faults),
            (Self::Whole(least, most), Value::NumberLit(number))
                if is_within(number.value, *least, *most) => {}
            (_, Value::StringLit(text)) if self.matches_text(&text.value) => {}
            _ => faults.push(Fault::new(path.clone(), describe(value), self.expected())),
        }
    }

    /// Whether a string matches the shape.
    fn matches_text(&self, text: &str) -> bool {
        match self {
            Self::Name => is_name(text),
            Self::Text => !text.trim().is_empty(),
            Self::Address => text.parse::<SocketAddr>().is_ok(),
            Self::Choice(words) => words.contains(&text),
            _ => false,
        }
    }

    /// Description of the shape, for the expected part of a fault.
    fn expected(&self) -> String {
        match self {
            Self::Any => "any value".to_owned(),
            Self::Name => NAME_RULE.to_owned(),
            Self::Text => "a non-empty text in quotes".to_owned(),
            Self::Address => "an IP address with its port, like \"10.0.0.7:7070\"".to_owned(),
            Self::Flag => "true or false".to_owned(),
            Self::Whole(least, most) => format!("a whole number from {least} to {most}"),
            Self::Choice(words) => format!("one of \"{}\"", words.join("\", \"")),
            Self::List(_) => "a list in [ ]".to_owned(),
            Self::Map(_) | Self::Record(_) | Self::Like(_) => "named fields in { }".to_owned(),
        }
    }
}

const NAME_RULE: &str =
    "a name of 1 to 128 letters, digits and - . _ : that starts with a letter or digit";

/// Restricts names to characters that are safe in request paths, keys of published values and
/// labels of metrics.
fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | ':'))
}

fn is_within(number: &str, least: u64, most: u64) -> bool {
    let number = number.parse::<u64>();
    number.is_ok_and(|number| (least..=most).contains(&number))
}

fn check_map(shape: &Shape, path: &mut Vec<String>, object: &Object<'_>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        path.push(name.to_owned());
        if !is_name(name) {
            faults.push(Fault::new(path.clone(), quoted(name), NAME_RULE));
        }
        if !seen.insert(name) {
            faults.push(duplicate_field(path));
        }
        shape.check(path, &property.value, faults);
        path.pop();
    }
}

fn check_record(
    fields: &[Field],
    path: &mut Vec<String>,
    object: &Object<'_>,
    faults: &mut Vec<Fault>,
) {
    let mut seen = BTreeSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        path.push(name.to_owned());
        if !seen.insert(name) {
            faults.push(duplicate_field(path));
        }
        match fields.iter().find(|field| field.name == name) {
            Some(field) => field.shape.check(path, &property.value, faults),
            None => {
                let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                faults.push(unknown_field(path, &names));
            }
        }
        path.pop();
    }
    for field in fields {
        if field.required && !seen.contains(field.name) {
            path.push(field.name.to_owned());
            faults.push(Fault::new(path.clone(), "nothing", field.shape.expected()));
            path.pop();
        }
    }
}

/// Compares `value` with an example. Null, and the contents of empty objects and of lists in the
/// example, match anything.
fn check_like(example: &Json, path: &mut Vec<String>, value: &Value<'_>, faults: &mut Vec<Fault>) {
    let shape = match (example, value) {
        (Json::Object(fields), Value::Object(object)) if !fields.is_empty() => {
            for property in &object.properties {
                let name = property.name.as_str();
                path.push(name.to_owned());
                match fields.get(name) {
                    Some(field) => check_like(field, path, &property.value, faults),
                    None => {
                        let names: Vec<&str> = fields.keys().map(String::as_str).collect();
                        faults.push(unknown_field(path, &names));
                    }
                }
                path.pop();
            }
            return;
        }
        (Json::Object(_), _) => Shape::Map(&Shape::Any),
        (Json::Array(_), _) => Shape::List(&Shape::Any),
        (Json::Bool(_), _) => Shape::Flag,
        (Json::Number(_), _) => Shape::Whole(0, u32::MAX as u64),
        (Json::String(_), _) => Shape::Text,
        (Json::Null, _) => Shape::Any,
    };
    shape.check(path, value, faults);
}

fn unknown_field(path: &[String], names: &[&str]) -> Fault {
    let expected = format!("one of the fields {}", names.join(", "));
    Fault::new(path.to_vec(), "an unknown field", expected)
}

fn duplicate_field(path: &[String]) -> Fault {
    Fault::new(path.to_vec(), "a duplicate field", "each field once")
}

/// Description of a value, for the found part of a fault.
fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => quoted(&text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::Object(_) => "named fields in { }".to_owned(),
        Value::Array(_) => "a list in [ ]".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// A string as shown in a fault: in quotes, with escapes.
pub fn quoted(text: &str) -> String {
    format!("{text:?}")
}
