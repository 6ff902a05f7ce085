//! Stored format of the answers to guarded requests.
//!
//! The shard owner stores one byte string per outcome. It holds the status and
//! content type in front of the body, so that a repeated request gets the same
//! answer and not only the same body.

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

use crate::upstream::Answer;

#[derive(Serialize, Deserialize)]
struct Head {
    status: u16,
    content_type: Option<String>,
}

/// Encodes an answer as a line of JSON followed by the body.
pub fn encode(answer: &Answer) -> Bytes {
    let content_type = answer.content_type.as_ref().and_then(|it| it.to_str().ok());
    let head =
        Head { status: answer.status.as_u16(), content_type: content_type.map(str::to_owned) };
    let head = serde_json::to_vec(&head).expect("the head has string keys only");
    let mut buf = BytesMut::with_capacity(head.len() + 1 + answer.body.len());
    buf.put_slice(&head);
    buf.put_u8(b'\n');
    buf.put_slice(&answer.body);
    buf.freeze()
}

/// Decodes a stored answer, or returns `None` if the bytes are not one.
pub fn decode(stored: &Bytes) -> Option<Answer> {
    let end = stored.iter().position(|it| *it == b'\n')?;
    let head: Head = serde_json::from_slice(&stored[..end]).ok()?;
    let status = StatusCode::from_u16(head.status).ok()?;
    let content_type = head.content_type.and_then(|it| HeaderValue::try_from(it).ok());
    Some(Answer { status, content_type, body: stored.slice(end + 1..) })
}
