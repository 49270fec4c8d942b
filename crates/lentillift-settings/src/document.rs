//! A text of JSON with comments, parsed with the places of its fields.

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

/// A parsed text.
#[derive(Debug)]
pub struct Document<'a> {
    name: &'a str,
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`; `name` says in reports what was parsed.
    ///
    /// # Errors
    ///
    /// Reports the first place where the text is not JSON with comments.
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
                format!("more than {} nested brackets", depth::MOST),
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

    /// Whether the outermost value has a field of this name.
    pub fn has(&self, field: &str) -> bool {
        let root = self.root.as_object();
        root.is_some_and(|object| object.get(field).is_some())
    }

    /// All that differs from `shape`.
    pub fn faults(&self, shape: &Shape) -> Vec<Fault> {
        let mut faults = Vec::new();
        shape.check(&mut Vec::new(), &self.root, &mut faults);
        faults
    }

    /// The value without its comments.
    pub fn json(&self) -> serde_json::Value {
        self.root.clone().into()
    }

    /// Decodes the value if it has the right shape.
    ///
    /// # Errors
    ///
    /// Reports all that differs from `shape`.
    pub fn decode<T>(&self, shape: &Shape) -> Result<T>
    where
        T: DeserializeOwned,
    {
        self.ensure_no_faults(self.faults(shape))?;
        self.value()
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// Reports the first thing that the type does not take.
    pub fn value<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let value = serde_json::from_value(self.json());
        value.map_err(|e| {
            let fault = Fault::new(Vec::<String>::new(), e.to_string(), "a value of the type");
            self.report(vec![fault])
        })
    }

    /// Turns faults into a report, or none into success.
    ///
    /// # Errors
    ///
    /// Reports `faults` with their lines.
    pub fn ensure_no_faults(&self, faults: Vec<Fault>) -> Result<()> {
        match faults.is_empty() {
            true => Ok(()),
            false => Err(self.report(faults)),
        }
    }

    fn report(&self, faults: Vec<Fault>) -> Report {
        let lines = faults.into_iter().map(|fault| Line {
            line: self.line(&fault.path),
            fault,
        });
        let mut faults: Vec<Line> = lines.collect();
        faults.sort_by_key(|line| line.line);
        Report {
            file: self.name.to_owned(),
            faults,
        }
    }

    /// The line of the field at `path`, or of the innermost field around it that is there.
    fn line(&self, path: &[String]) -> usize {
        let mut value = &self.root;
        let mut start = value.start();
        for name in path {
            let next = match value {
                Value::Object(object) => {
                    let properties = object.properties.iter();
                    // The last of a field that stands twice is the one to take away.
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

fn line_at(text: &str, at: usize) -> usize {
    let before = text.as_bytes().iter().take(at);
    before.filter(|byte| **byte == b'\n').count() + 1
}
