//! Reading JSON with comments.

use crate::depth;
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
    depth::check(text).map_err(|e| Error::new(Step::Decode, name, e))?;
    let options = jsonc_parser::ParseOptions::default();
    let value = jsonc_parser::parse_to_serde_value(text, &options)
        .map_err(|e| Error::new(Step::Decode, name, e))?
        .ok_or_else(|| Error::new(Step::Decode, name, "the text holds no value"))?;
    serde_json::from_value(value).map_err(|e| Error::new(Step::Decode, name, e))
}
