//! Reading of request bodies within limits of size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header::CONTENT_LENGTH};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::refusal::ApiRefusal;

/// Largest body that is copied, in bytes; a larger one fills its buffers, so that
/// a copy would save little.
const MAX_COPIED_BYTES: usize = 4096;

/// Reads a body of at most `max_bytes` within `timeout`.
///
/// # Errors
///
/// Returns a refusal with verdict `NotRun` if the body is too large, arrives too
/// slowly or ends early.
pub async fn read_body(
    headers: &HeaderMap,
    body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ApiRefusal> {
    // A declared length above the limit is refused before the body is read.
    let declared = headers.get(CONTENT_LENGTH).and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
    if declared.is_some_and(|it| (max_bytes as u64) < it) {
        return Err(too_large(max_bytes));
    }
    let read = Limited::new(body, max_bytes).collect();
    let Ok(read) = tokio::time::timeout(timeout, read).await else {
        let detail = format!("the body did not arrive within {} ms", timeout.as_millis());
        return Err(ApiRefusal::invalid(StatusCode::REQUEST_TIMEOUT, detail));
    };
    match read {
        Ok(body) => Ok(detached_copy(body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large(max_bytes)),
        Err(_) => {
            let detail = "the body ended before its declared length or is malformed";
            Err(ApiRefusal::invalid(StatusCode::BAD_REQUEST, detail))
        }
    }
}

/// Copies a small body, so that it does not keep the connection's whole read
/// buffer alive while the request waits.
fn detached_copy(body: Bytes) -> Bytes {
    if body.len() <= MAX_COPIED_BYTES { Bytes::copy_from_slice(&body) } else { body }
}

fn too_large(max_bytes: usize) -> ApiRefusal {
    let detail = format!("the body exceeds {max_bytes} bytes");
    ApiRefusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, detail)
}
