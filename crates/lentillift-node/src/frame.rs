//! Frames: batches of messages behind a length prefix (32-bit, big-endian).

use crate::message::Message;
use crate::wire;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Size of the length prefix, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Size above which a batch is split into several frames, in bytes.
///
/// Half the limit, because the decoder counts the memory that it allocates against
/// [`MAX_FRAME_BYTES`], which may be more than the bytes that it reads.
const SPLIT_BYTES: usize = MAX_FRAME_BYTES / 2;

/// Encodes messages as one frame, or as several if one would be too large.
///
/// Without the split, a batch of 256 large messages would make a frame that the peer refuses; the
/// link would close and every request on it would be lost.
///
/// # Errors
///
/// If a single message is too large.
pub fn encode(messages: Vec<Message>) -> Result<Bytes, String> {
    let messages: Vec<wire::Message> = messages.into_iter().map(Into::into).collect();
    let mut frames = BytesMut::new();
    encode_into(&mut frames, &messages)?;
    Ok(frames.freeze())
}

fn encode_into(frames: &mut BytesMut, messages: &[wire::Message]) -> Result<(), String> {
    let config = bincode::config::standard();
    let body = bincode::encode_to_vec(messages, config).map_err(|e| e.to_string())?;
    if body.len() > SPLIT_BYTES && messages.len() > 1 {
        let (first, second) = messages.split_at(messages.len() / 2);
        encode_into(frames, first)?;
        return encode_into(frames, second);
    }
    if body.len() > SPLIT_BYTES {
        return Err(format!(
            "message of {} bytes, at most {SPLIT_BYTES}",
            body.len()
        ));
    }
    frames.reserve(LENGTH_PREFIX_BYTES + body.len());
    frames.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frames.extend_from_slice(&body);
    Ok(())
}

/// Removes the first frame from `buffer` and decodes it; `None` if the frame is incomplete.
///
/// # Errors
///
/// If the peer sent a frame that is too large or malformed.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Vec<Message>>, String> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(format!(
            "frame of {length} bytes, at most {MAX_FRAME_BYTES}"
        ));
    }
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_BYTES);
    let body = buffer.split_to(length);
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (messages, used): (Vec<wire::Message>, usize) =
        bincode::decode_from_slice(&body, config).map_err(|e| e.to_string())?;
    if used != length {
        return Err(format!("{} bytes after the last message", length - used));
    }
    let messages = messages.into_iter().map(Message::try_from);
    messages.collect::<Result<_, _>>().map(Some)
}
