//! Frames: many messages at once, with their length in front.

use crate::message::Message;
use crate::wire;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Largest frame, in bytes.
pub const LIMIT: usize = 8 * 1024 * 1024;

/// Length of the number that stands in front of a frame.
const HEAD: usize = 4;

/// Encodes messages as one frame.
///
/// # Errors
///
/// When the frame would be larger than [`LIMIT`].
pub fn encode(messages: Vec<Message>) -> Result<Bytes, String> {
    let messages: Vec<wire::Message> = messages.into_iter().map(Into::into).collect();
    let config = bincode::config::standard();
    let body = bincode::encode_to_vec(messages, config).map_err(|e| e.to_string())?;
    if body.len() > LIMIT {
        return Err(format!("frame of {} bytes, at most {LIMIT}", body.len()));
    }
    let mut frame = BytesMut::with_capacity(HEAD + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame.freeze())
}

/// Takes the first frame off `buffer`, if it is there as a whole.
///
/// # Errors
///
/// When the peer sent a frame that is too large or malformed.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Vec<Message>>, String> {
    let Some(head) = buffer.first_chunk::<HEAD>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > LIMIT {
        return Err(format!("frame of {length} bytes, at most {LIMIT}"));
    }
    if buffer.len() < HEAD + length {
        return Ok(None);
    }
    buffer.advance(HEAD);
    let body = buffer.split_to(length);
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (messages, used): (Vec<wire::Message>, usize) =
        bincode::decode_from_slice(&body, config).map_err(|e| e.to_string())?;
    if used != length {
        return Err(format!("{} bytes after the last message", length - used));
    }
    let messages = messages.into_iter().map(Message::try_from);
    messages.collect::<Result<_, _>>().map(Some)
}
