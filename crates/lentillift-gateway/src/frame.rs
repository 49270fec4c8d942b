//! Messages between hosts: `bincode` in frames with a length, in the bodies of `h2` streams.

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

/// Largest message, in bytes: everything that is published for 4,600 backend servers takes two.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A body that is made while it is sent.
///
/// It is dropped as soon as the peer gives up on the stream, and with it all that it works on.
pub type Body = StreamBody<LocalBoxStream<'static, std::result::Result<Frame<Bytes>, Infallible>>>;

/// A body of these messages.
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

/// Encodes a message without a length.
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

/// Encodes a message with its length before it.
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

/// Decodes a message without a length.
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

/// Messages of type `T` from a peer.
#[derive(Debug)]
pub struct Reader<T> {
    peer: String,
    body: Incoming,
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
    /// When the first bytes of the message that is being read came.
    message_began: Option<Instant>,
    last: MessageSize,
    kind: PhantomData<T>,
}

/// How large a message was.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageSize {
    /// Its length, in bytes.
    pub bytes: usize,
    /// Time from its first bytes to its last.
    pub took: Duration,
}

impl<T> Reader<T>
where
    T: Decode<()>,
{
    /// Reads messages of `peer`.
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

    /// How large the last message was.
    pub fn last(&self) -> MessageSize {
        self.last
    }

    /// Whether a message has begun and is not complete.
    pub fn is_mid_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whom the messages come from.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// The next message, unless nothing at all comes for `silence`.
    ///
    /// A message that is still coming is waited for: over a busy link it takes longer than the silence
    /// after which a peer is given up, and whoever left in the middle would ask another for the whole.
    /// How long a message may take altogether is the caller's to decide.
    ///
    /// # Errors
    ///
    /// When nothing comes in time, the stream ends, or the message is malformed.
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

    /// The message that the buffer begins with, if all of it is there.
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

    /// Tells a peer that said nothing from one that stopped in the middle of a message.
    fn silence_error(&self) -> Error {
        match self.buffer.len() {
            0 => self.fail("nothing came in time"),
            bytes => self.fail(format!("stopped after {bytes} bytes of a message")),
        }
    }
}
