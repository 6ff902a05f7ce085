//! Identifiers of callers' requests.
//!
//! A caller may choose an identifier for its request, which is repeated in the
//! answer and in log lines. Two callers may choose the same one, so upstreams'
//! answers are matched by [`RequestTag::attempt_id`] instead, which is made from
//! the process and a counter.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use http::HeaderMap;
use mustardcove_core::id::ProcessId;
use mustardcove_platform::upstream::REQUEST_ID_HEADER;

/// Longest identifier that a caller may choose, in bytes.
const MAX_CALLER_ID_BYTES: usize = 128;

/// Identifiers of one request.
#[derive(Clone, Debug)]
pub struct RequestTag {
    public_id: Arc<str>,
    unique_id: Arc<str>,
}

impl RequestTag {
    /// Returns the identifier that the caller sees.
    pub fn as_str(&self) -> &str {
        &self.public_id
    }

    /// Returns the identifier of an attempt, which is unique in the deployment.
    pub fn attempt_id(&self, attempt: u32) -> String {
        format!("{}.{attempt}", self.unique_id)
    }
}

/// Source of request tags of one process.
#[derive(Debug)]
pub struct RequestTags {
    process: ProcessId,
    next: AtomicU64,
}

impl RequestTags {
    /// Returns a source for the process.
    pub fn new(process: ProcessId) -> RequestTags {
        RequestTags { process, next: AtomicU64::new(1) }
    }

    /// Returns the tag of a new request with the given headers.
    pub fn tag(&self, headers: &HeaderMap) -> RequestTag {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let unique_id: Arc<str> = format!("{}-{number:x}", self.process).into();
        let chosen = headers.get(REQUEST_ID_HEADER).and_then(|it| it.to_str().ok());
        let chosen = chosen.filter(|it| !it.is_empty() && it.len() <= MAX_CALLER_ID_BYTES);
        let chosen = chosen.filter(|it| it.bytes().all(|b| b.is_ascii_graphic()));
        let public_id = chosen.map_or_else(|| Arc::clone(&unique_id), Arc::from);
        RequestTag { public_id, unique_id }
    }
}
