//! Identifiers of callers' requests.
//!
//! A caller may name its request; the name is repeated in the answer and in
//! log lines. Matching of upstreams' answers never relies on it, because two
//! callers may use the same name: [`RequestTag::attempt_id`] is made from the
//! process and a counter.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use http::HeaderMap;
use mustardcove_core::id::ProcessId;
use mustardcove_platform::upstream::REQUEST_ID;

/// Longest name that a caller may give to a request, in bytes.
const MAX_CALLER_ID_BYTES: usize = 128;

/// Identifiers of one request.
#[derive(Clone, Debug)]
pub struct RequestTag {
    name: Arc<str>,
    unique: Arc<str>,
}

impl RequestTag {
    /// Returns the name that the caller sees.
    pub fn as_str(&self) -> &str {
        &self.name
    }

    /// Returns the identifier of an attempt, unique in the deployment.
    pub fn attempt_id(&self, attempt: u32) -> String {
        format!("{}.{attempt}", self.unique)
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
        let unique: Arc<str> = format!("{}-{number:x}", self.process).into();
        let named = headers.get(REQUEST_ID).and_then(|it| it.to_str().ok());
        let named = named.filter(|it| !it.is_empty() && it.len() <= MAX_CALLER_ID_BYTES);
        let named = named.filter(|it| it.bytes().all(|b| b.is_ascii_graphic()));
        let name = named.map_or_else(|| Arc::clone(&unique), Arc::from);
        RequestTag { name, unique }
    }
}
