//! Deserialisation of JSON with comments.

use crate::document::Document;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use serde::de::DeserializeOwned;

/// Parses JSON with comments into `T`; `name` is the name of the text in errors.
///
/// # Errors
///
/// Returns a [`Step::Decode`] error with the first fault: the line of invalid JSON, or the error of
/// the deserialisation.
pub fn parse<T>(name: &str, text: &str) -> Result<T>
where
    T: DeserializeOwned,
{
    let document = Document::parse(name, text);
    let value = document.and_then(|document| document.deserialize());
    value.map_err(|e| Error::new(Step::Decode, name, e))
}
