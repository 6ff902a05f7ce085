//! Client of the store over HTTP/JSON.

use std::time::Duration;

use http::StatusCode;
use mustardcove_core::{
    store::{MAX_VALUE_BYTES, StoreError, StoreOp, StoreReply, StoreResult},
    time::Timestamp,
    verdict::Verdict,
};

use super::client::{Answer, HttpClient, HttpLimits};
use crate::{clock::Clock, store::Store, wire};

/// Path of the store's calls.
pub const STORE_PATH: &str = "/v1/store";

/// A client of the platform's store.
///
/// Watches use separate connections, so that waiting watches never delay a
/// read or a write.
#[derive(Clone, Debug)]
pub struct HttpStore {
    calls: HttpClient,
    watches: HttpClient,
    uri: String,
}

impl HttpStore {
    /// Returns a client of the store at `address` (IP number and port).
    pub fn new(clock: Clock, address: &str, limits: HttpLimits) -> HttpStore {
        HttpStore {
            calls: HttpClient::new(clock, limits.clone()),
            watches: HttpClient::new(clock, limits),
            uri: format!("http://{address}{STORE_PATH}"),
        }
    }
}

impl Store for HttpStore {
    async fn call(&self, op: StoreOp) -> StoreResult {
        if let StoreOp::Put { value, .. } = &op
            && MAX_VALUE_BYTES < value.len()
        {
            return Err(StoreError::TooLarge);
        }
        let (client, wait) = match &op {
            StoreOp::Watch { wait_ms, .. } => (&self.watches, Duration::from_millis(*wait_ms)),
            _ => (&self.calls, Duration::ZERO),
        };
        let answer = client.post(&self.uri, wire::to_json(&op), Timestamp::MAX, wait).await;
        match answer {
            Ok(answer) => read_answer(&answer),
            Err(error) => Err(StoreError::Unavailable { verdict: error.verdict() }),
        }
    }
}

/// Returns the HTTP status with which the store reports an error.
pub fn status_of(error: &StoreError) -> StatusCode {
    match error {
        StoreError::Conflict { .. } => StatusCode::CONFLICT,
        StoreError::LeaseLost => StatusCode::NOT_FOUND,
        StoreError::Compacted { .. } => StatusCode::GONE,
        StoreError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn read_answer(answer: &Answer) -> StoreResult {
    // An unreadable answer does not say whether the call took effect.
    let unreadable = StoreError::Unavailable { verdict: Verdict::MayHaveRun };
    if answer.status == StatusCode::OK {
        return wire::from_json::<StoreReply>(&answer.body).map_err(|_| unreadable);
    }
    match wire::from_json::<StoreError>(&answer.body) {
        Ok(error) if status_of(&error) == answer.status => Err(error),
        Ok(_) | Err(_) => Err(unreadable),
    }
}
