//! JSON with comments, parsed together with the positions of its fields.

use crate::depth;
use crate::fault::Fault;
use crate::fault::Line;
use crate::fault::Report;
use crate::fault::Result;
use crate::shape::Shape;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

/// A parsed text whose faults are reported with their line numbers.
#[derive(Debug)]
pub struct Document<'a> {
    name: &'a str,
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`; `name` is the name of the text in reports.
    ///
    /// # Errors
    ///
    /// Reports the first line where the text is not JSON with comments, or where brackets are nested
    /// deeper than [`depth::MAX_LEVELS`].
    pub fn parse(name: &'a str, text: &'a str) -> Result<Self> {
        let report = |line, found: String| Report {
            file: name.to_owned(),
            faults: vec![Line {
                line,
                fault: Fault::new(Vec::<String>::new(), found, "JSON with comments"),
            }],
        };
        if let Some(at) = depth::exceeded(text) {
            return Err(report(
                line_at(text, at),
                format!("more than {} nested brackets", depth::MAX_LEVELS),
            ));
        }
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            ..ParseOptions::default()
        };
        let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options);
        let parsed = parsed.map_err(|e| report(e.line_display(), e.kind().to_string()))?;
        let root = parsed
            .value
            .ok_or_else(|| report(1, "no value".to_owned()))?;
        Ok(Self { name, text, root })
    }

    /// Whether the outermost value is an object with a field of this name.
    pub fn has_field(&self, field: &str) -> bool {
        let root = self.root.as_object();
        root.is_some_and(|object| object.get(field).is_some())
    }

    /// Returns every difference from `shape`.
    pub fn faults(&self, shape: &Shape) -> Vec<Fault> {
        let mut faults = Vec::new();
        shape.check(&mut Vec::new(), &self.root, &mut faults);
        faults
    }

    /// Converts the value to JSON, without its comments.
    pub fn json(&self) -> serde_json::Value {
        self.root.clone().into()
    }

    /// Checks the value against `shape` and deserialises it.
    ///
    /// # Errors
    ///
    /// Reports every difference from `shape`, or the first error of the deserialisation.
    pub fn decode<T>(&self, shape: &Shape) -> Result<T>
    where
        T: DeserializeOwned,
    {
        self.ensure_no_faults(self.faults(shape))?;
        self.deserialize()
    }

    /// Deserialises the value without a check of its shape.
    ///
    /// # Errors
    ///
    /// Reports the first error of the deserialisation, at the line where the value starts.
    pub fn deserialize<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let value = serde_json::from_value(self.json());
        value.map_err(|e| {
            let fault = Fault::new(Vec::<String>::new(), e.to_string(), "a value of the type");
            self.report(vec![fault])
        })
    }

    /// Succeeds if `faults` is empty.
    ///
    /// # Errors
    ///
    /// Reports `faults`, sorted by line.
    pub fn ensure_no_faults(&self, faults: Vec<Fault>) -> Result<()> {
        match faults.is_empty() {
            true => Ok(()),
            false => Err(self.report(faults)),
        }
    }

    fn report(&self, faults: Vec<Fault>) -> Report {
        let lines = faults.into_iter().map(|fault| Line {
            line: self.line_of(&fault.path),
            fault,
        });
        let mut faults: Vec<Line> = lines.collect();
        faults.sort_by_key(|line| line.line);
        Report {
            file: self.name.to_owned(),
            faults,
        }
    }

    /// Line of the field at `path`, or of the innermost enclosing field that exists.
    fn line_of(&self, path: &[String]) -> usize {
        let mut value = &self.root;
        let mut start = value.start();
        for name in path {
            let next = match value {
                Value::Object(object) => {
                    let properties = object.properties.iter();
                    // Of a duplicate field, the last one is the one to remove.
                    properties
                        .rev()
                        .find(|property| property.name.as_str() == name)
                        .map(|property| (property.start(), &property.value))
                }
                Value::Array(array) => {
                    let at = name.parse::<usize>().ok();
                    at.and_then(|at| array.elements.get(at))
                        .map(|element| (element.start(), element))
                }
                _ => None,
            };
            let Some((at, inner)) = next else { break };
            start = at;
            value = inner;
        }
        line_at(self.text, start)
    }
}

/// Number of the line that contains the byte offset `at`; the first is 1.
fn line_at(text: &str, at: usize) -> usize {
    let before = text.as_bytes().iter().take(at);
    before.filter(|byte| **byte == b'\n').count() + 1
}
