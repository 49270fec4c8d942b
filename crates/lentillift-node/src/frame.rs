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

/// Size above which messages go into more than one frame, in bytes.
///
/// The reader counts what it allocates against [`LIMIT`], which may be more than what it reads.
const FULL: usize = LIMIT / 2;

/// Encodes messages as one frame, or as several where one would be too large.
///
/// Without the split 256 large messages that happen to be sent at once would make a frame that the
/// peer refuses; the link would end and every request on it would be lost.
///
/// # Errors
///
/// When a single message is too large.
pub fn encode(messages: Vec<Message>) -> Result<Bytes, String> {
    let messages: Vec<wire::Message> = messages.into_iter().map(Into::into).collect();
    let mut frames = BytesMut::new();
    put(&mut frames, &messages)?;
    Ok(frames.freeze())
}

fn put(frames: &mut BytesMut, messages: &[wire::Message]) -> Result<(), String> {
    let config = bincode::config::standard();
    let body = bincode::encode_to_vec(messages, config).map_err(|e| e.to_string())?;
    if body.len() > FULL && messages.len() > 1 {
        let (first, second) = messages.split_at(messages.len() / 2);
        put(frames, first)?;
        return put(frames, second);
    }
    if body.len() > FULL {
        return Err(format!("message of {} bytes, at most {FULL}", body.len()));
    }
    frames.reserve(HEAD + body.len());
    frames.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frames.extend_from_slice(&body);
    Ok(())
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
