//! Shapes that values must have, and the check that reports all that differs.
//!
//! A derived decoder stops at its first error, so whoever made five mistakes would be sent back
//! five times. A [`Shape`] is a constant that the check walks beside the parsed text instead.

use crate::fault::Fault;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use serde_json::Value as Json;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Longest name, in bytes.
const NAME: usize = 128;

/// What a value must look like.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// Anything; another check looks at it.
    Any,
    /// A name of a host, a service and so on.
    Name,
    /// A text that is not empty.
    Text,
    /// An IP address with a port.
    Address,
    /// True or false.
    Flag,
    /// A whole number within bounds.
    Whole(u64, u64),
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A list of values of one shape.
    List(&'static Shape),
    /// Values of one shape by name.
    Map(&'static Shape),
    /// Named fields.
    Record(&'static [Field]),
    /// Any part of what an example has, with values of the same kinds.
    Like(fn() -> Json),
}

/// A field of a record.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    name: &'static str,
    shape: Shape,
    required: bool,
}

/// A field that must be there.
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
    /// Appends all that makes `value` differ from the shape.
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
            (Self::Map(shape), Value::Object(object)) => map(shape, path, object, faults),
            (Self::Record(fields), Value::Object(object)) => record(fields, path, object, faults),
            (Self::Like(example), _) => like(&example(), path, value, faults),
            (Self::Whole(least, most), Value::NumberLit(number))
                if is_within(number.value, *least, *most) => {}
            (_, Value::StringLit(text)) if self.takes(&text.value) => {}
            _ => faults.push(Fault::new(path.clone(), found(value), self.right())),
        }
    }

    /// Whether a text fits the shape.
    fn takes(&self, text: &str) -> bool {
        match self {
            Self::Name => is_name(text),
            Self::Text => !text.trim().is_empty(),
            Self::Address => text.parse::<SocketAddr>().is_ok(),
            Self::Choice(words) => words.contains(&text),
            _ => false,
        }
    }

    /// What would be right, in words.
    fn right(&self) -> String {
        match self {
            Self::Any => "any value".to_owned(),
            Self::Name => NAME_RULE.to_owned(),
            Self::Text => "a text in quotes".to_owned(),
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

/// Names stand in paths of requests, in keys of values and in labels of series.
fn is_name(text: &str) -> bool {
    text.len() <= NAME
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | ':'))
}

fn is_within(number: &str, least: u64, most: u64) -> bool {
    let number = number.parse::<u64>();
    number.is_ok_and(|number| (least..=most).contains(&number))
}

fn map(shape: &Shape, path: &mut Vec<String>, object: &Object<'_>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        path.push(name.to_owned());
        if !is_name(name) {
            faults.push(Fault::new(path.clone(), quoted(name), NAME_RULE));
        }
        if !seen.insert(name) {
            faults.push(twice(path));
        }
        shape.check(path, &property.value, faults);
        path.pop();
    }
}

fn record(fields: &[Field], path: &mut Vec<String>, object: &Object<'_>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        path.push(name.to_owned());
        if !seen.insert(name) {
            faults.push(twice(path));
        }
        match fields.iter().find(|field| field.name == name) {
            Some(field) => field.shape.check(path, &property.value, faults),
            None => {
                let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                faults.push(unknown(path, &names));
            }
        }
        path.pop();
    }
    for field in fields {
        if field.required && !seen.contains(field.name) {
            path.push(field.name.to_owned());
            faults.push(Fault::new(path.clone(), "nothing", field.shape.right()));
            path.pop();
        }
    }
}

/// Compares with an example; where the example holds no value, anything goes.
fn like(example: &Json, path: &mut Vec<String>, value: &Value<'_>, faults: &mut Vec<Fault>) {
    let shape = match (example, value) {
        (Json::Object(fields), Value::Object(object)) if !fields.is_empty() => {
            for property in &object.properties {
                let name = property.name.as_str();
                path.push(name.to_owned());
                match fields.get(name) {
                    Some(field) => like(field, path, &property.value, faults),
                    None => {
                        let names: Vec<&str> = fields.keys().map(String::as_str).collect();
                        faults.push(unknown(path, &names));
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

fn unknown(path: &[String], names: &[&str]) -> Fault {
    let right = format!("one of the fields {}", names.join(", "));
    Fault::new(path.to_vec(), "an unknown field", right)
}

fn twice(path: &[String]) -> Fault {
    Fault::new(path.to_vec(), "the field twice", "each field once")
}

fn found(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => quoted(&text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::Object(_) => "named fields in { }".to_owned(),
        Value::Array(_) => "a list in [ ]".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// A text as it is shown in a fault.
pub fn quoted(text: &str) -> String {
    format!("{text:?}")
}
