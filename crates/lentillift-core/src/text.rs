//! Serialises bytes that are usually UTF-8 as a string, so that people can read them.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// The two serialised forms: a string, or a list of byte values.
#[derive(Deserialize)]
#[serde(untagged)]
enum TextOrBytes {
    Text(String),
    Bytes(Vec<u8>),
}

/// Serialises valid UTF-8 as a string and any other bytes as a list of numbers.
///
/// # Errors
///
/// Returns errors of the serializer.
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

/// Deserialises either form that [`serialize`] writes.
///
/// # Errors
///
/// Returns errors of the deserializer.
pub fn deserialize<'de, B, D>(deserializer: D) -> Result<B, D::Error>
where
    B: From<Vec<u8>>,
    D: Deserializer<'de>,
{
    Ok(match TextOrBytes::deserialize(deserializer)? {
        TextOrBytes::Text(text) => text.into_bytes().into(),
        TextOrBytes::Bytes(bytes) => bytes.into(),
    })
}
