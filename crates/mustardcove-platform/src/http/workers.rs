//! Client of the workers over HTTP/JSON.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use mustardcove_core::{
    time::Timestamp,
    verdict::Verdict,
    worker::{WorkerError, WorkerOp, WorkerReply, WorkerReport, WorkerResult},
};
use serde::{Deserialize, Serialize};

use super::client::{Answer, HttpClient, HttpLimits};
use crate::{
    clock::Clock,
    memory::fleet::REPORT_WAIT,
    wire::{self, BinaryFields},
    workers::Workers,
};

/// Path of calls to a worker.
pub const CALL_PATH: &str = "/v1/call";

/// Path of a worker's reports.
pub const REPORTS_PATH: &str = "/v1/reports";

/// The body of a request for reports.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ReportsQuery {
    /// Sequence number after which events are requested.
    pub after: u64,
}

/// A client of all workers.
///
/// An address is an IP number and port, with a path if several workers share
/// a port. Long polls for reports use separate connections, so that they never
/// delay a start or a renewal.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    calls: HttpClient,
    reports: HttpClient,
}

impl HttpWorkers {
    /// Returns a client without open connections.
    pub fn new(clock: Clock, limits: HttpLimits) -> HttpWorkers {
        HttpWorkers {
            calls: HttpClient::new(clock, limits.clone()),
            reports: HttpClient::new(clock, limits),
        }
    }
}

impl Workers for HttpWorkers {
    async fn call(&self, address: &str, op: WorkerOp, not_after: Timestamp) -> WorkerResult {
        let uri = format!("http://{address}{CALL_PATH}");
        let answer = self.calls.post(&uri, wire::to_json(&op), not_after, Duration::ZERO).await;
        match answer {
            Ok(answer) => read_answer::<WorkerReply>(&answer),
            Err(error) => Err(WorkerError::Unreachable { verdict: error.verdict() }),
        }
    }

    async fn reports(&self, address: &str, after: u64) -> Result<WorkerReport, WorkerError> {
        let uri = format!("http://{address}{REPORTS_PATH}");
        let body = Bytes::from(format!("{{\"after\":{after}}}"));
        match self.reports.post(&uri, body, Timestamp::MAX, REPORT_WAIT).await {
            Ok(answer) => read_answer::<WorkerReport>(&answer),
            Err(error) => Err(WorkerError::Unreachable { verdict: error.verdict() }),
        }
    }
}

/// Returns the HTTP status with which a worker reports an error.
pub fn status_of(error: &WorkerError) -> StatusCode {
    match error {
        WorkerError::StaleEpoch { .. } => StatusCode::CONFLICT,
        WorkerError::Refused { .. } => StatusCode::FORBIDDEN,
        WorkerError::Unreachable { .. } => StatusCode::BAD_GATEWAY,
    }
}

fn read_answer<T>(answer: &Answer) -> Result<T, WorkerError>
where
    T: serde::de::DeserializeOwned + BinaryFields,
{
    // An unreadable answer does not say whether the call took effect.
    let unreadable = WorkerError::Unreachable { verdict: Verdict::MayHaveRun };
    if answer.status == StatusCode::OK {
        return wire::from_json(&answer.body).map_err(|_| unreadable);
    }
    match wire::from_json::<WorkerError>(&answer.body) {
        Ok(error) if status_of(&error) == answer.status => Err(error),
        Ok(_) | Err(_) => Err(unreadable),
    }
}
