//! Messages between hosts: `bincode`, with a length prefix, in the bodies of HTTP/2 streams.

use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use std::convert::Infallible;
use std::marker::PhantomData;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest message, in bytes. The complete published state of 4,600 backend servers takes two MiB.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A streamed body.
///
/// It is dropped, with everything that it owns, as soon as the peer resets the stream.
pub type Body = StreamBody<LocalBoxStream<'static, std::result::Result<Frame<Bytes>, Infallible>>>;

/// Makes a body that streams encoded messages.
pub fn body<S>(messages: S) -> Body
where
    S: Stream<Item = Bytes> + 'static,
{
    StreamBody::new(messages.map(|bytes| Ok(Frame::data(bytes))).boxed_local())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// Encodes a message without a length prefix.
///
/// # Errors
///
/// When it can't be encoded.
pub fn encode<T>(message: &T, peer: &str) -> Result<Bytes>
where
    T: Encode,
{
    let bytes = bincode::encode_to_vec(message, bincode::config::standard());
    bytes
        .map(Bytes::from)
        .map_err(|e| Error::new(Step::Write, peer, e))
}

/// Encodes a message with a length prefix.
///
/// # Errors
///
/// When it can't be encoded, or is too large.
pub fn frame<T>(message: &T, peer: &str) -> Result<Bytes>
where
    T: Encode,
{
    let mut framed = BytesMut::new();
    let encoded = codec().encode(encode(message, peer)?, &mut framed);
    encoded.map_err(|e| Error::new(Step::Write, peer, e))?;
    Ok(framed.freeze())
}

/// Decodes a message without a length prefix.
///
/// # Errors
///
/// When it is malformed.
pub fn decode<T>(bytes: &[u8], peer: &str) -> Result<T>
where
    T: Decode<()>,
{
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let decoded = bincode::decode_from_slice(bytes, config);
    let (message, _) = decoded.map_err(|e| Error::new(Step::Decode, peer, e))?;
    Ok(message)
}

/// Reads messages of type `T` from a peer's body.
#[derive(Debug)]
pub struct Reader<T> {
    peer: String,
    body: Incoming,
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
    /// When the first bytes of the current message arrived; none between messages.
    message_began: Option<Instant>,
    last: MessageSize,
    kind: PhantomData<T>,
}

/// Size and transfer time of a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageSize {
    /// Encoded length, in bytes.
    pub bytes: usize,
    /// Time from its first bytes to its last.
    pub took: Duration,
}

impl<T> Reader<T>
where
    T: Decode<()>,
{
    /// Creates a reader of the messages in `body`; `peer` names the sender in errors.
    pub fn new(peer: &str, body: Incoming) -> Self {
        Self {
            peer: peer.to_owned(),
            body,
            buffer: BytesMut::new(),
            codec: codec(),
            message_began: None,
            last: MessageSize::default(),
            kind: PhantomData,
        }
    }

    /// Size and transfer time of the last message.
    pub fn last(&self) -> MessageSize {
        self.last
    }

    /// Whether part of a message has arrived and the rest has not.
    pub fn is_mid_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Name of the sender.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Reads the next message; fails if no data arrives for `silence`.
    ///
    /// A message that is still arriving is read to its end: over a busy link it takes longer than
    /// the silence after which a peer is given up, and a follower that disconnected midway would
    /// request the whole message again elsewhere. The caller bounds the total time of a message.
    ///
    /// # Errors
    ///
    /// When no data arrives in time, the stream ends, or the message is malformed.
    pub async fn next(&mut self, silence: Duration) -> Result<T> {
        loop {
            if let Some(message) = self.decode_buffered()? {
                return Ok(message);
            }
            let part = tokio::time::timeout(silence, self.body.frame()).await;
            let part = part.map_err(|_| self.silence_error())?;
            let part = part.ok_or_else(|| self.fail("ended"))?;
            let part = part.map_err(|e| self.fail(e))?;
            if let Ok(data) = part.into_data() {
                self.message_began.get_or_insert_with(Instant::now);
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Decodes the message at the start of the buffer, if it is complete.
    fn decode_buffered(&mut self) -> Result<Option<T>> {
        let bytes = self.codec.decode(&mut self.buffer);
        let Some(bytes) = bytes.map_err(|e| self.fail(e))? else {
            return Ok(None);
        };
        let began = self.message_began.take();
        self.last = MessageSize {
            bytes: bytes.len(),
            took: began.map_or(Duration::ZERO, |began| began.elapsed()),
        };
        decode(&bytes, &self.peer).map(Some)
    }

    fn fail(&self, cause: impl ToString) -> Error {
        Error::new(Step::Read, &self.peer, cause)
    }

    /// Distinguishes a peer that sent nothing from one that stopped within a message.
    fn silence_error(&self) -> Error {
        match self.buffer.len() {
            0 => self.fail("nothing came in time"),
            bytes => self.fail(format!("stopped after {bytes} bytes of a message")),
        }
    }
}
