//! Bytes that are nearly always text, shown as text where a person may read them.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

#[derive(Deserialize)]
#[serde(untagged)]
enum Shown {
    Text(String),
    Bytes(Vec<u8>),
}

/// Writes bytes as text, or as numbers where they are none.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<B, S>(bytes: &B, serializer: S) -> Result<S::Ok, S::Error>
where
    B: AsRef<[u8]>,
    S: Serializer,
{
    match std::str::from_utf8(bytes.as_ref()) {
        Ok(text) => text.serialize(serializer),
        Err(_) => bytes.as_ref().serialize(serializer),
    }
}

/// Reads what [`serialize`] has written.
///
/// # Errors
///
/// Those of the deserializer.
pub fn deserialize<'de, B, D>(deserializer: D) -> Result<B, D::Error>
where
    B: From<Vec<u8>>,
    D: Deserializer<'de>,
{
    Ok(match Shown::deserialize(deserializer)? {
        Shown::Text(text) => text.into_bytes().into(),
        Shown::Bytes(bytes) => bytes.into(),
    })
}
