//! Message framing: a four-byte big-endian length, followed by the bincode
//! encoding of the message.

use bincode::config::{Configuration, Limit};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use mustardcove_core::message::PeerMessage;

use super::error::{PeerError, PeerErrorKind};

/// Size of the length prefix.
pub const LENGTH_BYTES: usize = 4;

/// Most memory that decoding one message may allocate, in bytes.
const DECODE_LIMIT: usize = 64 << 20;

type Config =
    Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<DECODE_LIMIT>>;

fn config() -> Config {
    bincode::config::standard().with_limit()
}

/// Encodes a message, including its length prefix.
///
/// # Errors
///
/// Returns an error if the message exceeds `max_bytes`.
pub fn encode(message: &PeerMessage, max_bytes: usize) -> Result<Bytes, PeerError> {
    let mut buf = BytesMut::with_capacity(256);
    buf.put_u32(0);
    let mut writer = buf.writer();
    let written = bincode::serde::encode_into_std_write(message, &mut writer, config());
    let length = written.map_err(|it| PeerError::new(PeerErrorKind::Protocol, it.to_string()))?;
    if max_bytes < length {
        let detail = format!("message of {length} bytes exceeds the limit of {max_bytes}");
        return Err(PeerError::new(PeerErrorKind::TooLarge, detail));
    }
    let mut buf = writer.into_inner();
    let length = u32::try_from(length).expect("the limit fits the length field");
    buf[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(buf.freeze())
}

/// Reassembles messages from the chunks of a stream.
#[derive(Debug)]
pub struct Decoder {
    buf: BytesMut,
    max_bytes: usize,
}

impl Decoder {
    /// Returns a decoder that refuses messages larger than `max_bytes`.
    pub fn new(max_bytes: usize) -> Decoder {
        Decoder { buf: BytesMut::new(), max_bytes }
    }

    /// Adds a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Reports whether the buffer is empty, so that the stream may end here
    /// without cutting a message.
    pub fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the length exceeds the limit, or if the frame does
    /// not hold exactly one message. The stream must not be used any further.
    pub fn next_message(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        let Some(length) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if self.max_bytes < length {
            let detail = format!("length of {length} bytes exceeds {}", self.max_bytes);
            return Err(PeerError::new(PeerErrorKind::Protocol, detail));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let bytes = self.buf.split_to(length);
        let (message, read) = bincode::serde::decode_from_slice(&bytes, config())
            .map_err(|it| PeerError::new(PeerErrorKind::Protocol, it.to_string()))?;
        if read != length {
            let detail = format!("message of {read} bytes in a frame of {length}");
            return Err(PeerError::new(PeerErrorKind::Protocol, detail));
        }
        Ok(Some(message))
    }
}
