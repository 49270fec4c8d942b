//! Reading JSON with comments.

use crate::document::Document;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use serde::de::DeserializeOwned;

/// Parses JSON with comments; `name` says in errors what was parsed.
///
/// # Errors
///
/// Names the line and the field where the text is not what `T` asks for.
pub fn parse<T>(name: &str, text: &str) -> Result<T>
where
    T: DeserializeOwned,
{
    let document = Document::parse(name, text);
    let value = document.and_then(|document| document.value());
    value.map_err(|e| Error::new(Step::Decode, name, e))
}
