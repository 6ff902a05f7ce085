//! Refusals as HTTP answers.
//!
//! Refusals from all layers have the same JSON format, so that a caller can
//! decide in one place whether to retry.

use axum::response::{IntoResponse, Response};
use http::{
    HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use mustardcove_core::{
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use serde::{Deserialize, Serialize};

use crate::request_id::RequestTag;

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Whether the work may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Human-readable details.
    pub detail: String,
    /// When a retry may succeed, in milliseconds since the Unix epoch.
    pub retry_at: Option<Timestamp>,
    /// The identifier of the request, as in the header `x-request-id`.
    pub request_id: String,
}

/// A refusal with its HTTP status.
#[derive(Clone, Debug)]
pub struct ApiRefusal {
    refusal: Refusal,
    status: StatusCode,
}

impl ApiRefusal {
    /// Returns a refusal with a status other than the default one of its reason.
    pub fn with_status(refusal: Refusal, status: StatusCode) -> ApiRefusal {
        ApiRefusal { refusal, status }
    }

    /// Returns a refusal of a malformed request.
    pub fn invalid(status: StatusCode, detail: impl Into<String>) -> ApiRefusal {
        let reason = match status {
            StatusCode::PAYLOAD_TOO_LARGE => RefusalReason::TooLarge,
            StatusCode::NOT_FOUND => RefusalReason::NotFound,
            _ => RefusalReason::Invalid,
        };
        ApiRefusal { refusal: Refusal::not_run(reason, detail), status }
    }

    /// Returns the refusal itself.
    pub fn refusal(&self) -> &Refusal {
        &self.refusal
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the answer to the request with the given tag.
    pub fn into_response_for(self, tag: &RequestTag, now: Timestamp) -> Response {
        let body = RefusalBody {
            verdict: self.refusal.verdict,
            reason: self.refusal.reason,
            detail: self.refusal.detail,
            retry_at: self.refusal.retry_at,
            request_id: tag.as_str().to_owned(),
        };
        let json = serde_json::to_vec(&body).expect("the body has string keys only");
        let mut resp = (self.status, json).into_response();
        let headers = resp.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_at) = body.retry_at {
            // The header holds whole seconds. Rounding up ensures that it is not
            // earlier than `retry_at`.
            let seconds = now.ms_until(retry_at).div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        resp
    }
}

impl From<Refusal> for ApiRefusal {
    fn from(refusal: Refusal) -> ApiRefusal {
        let status = default_status(refusal.reason);
        ApiRefusal { refusal, status }
    }
}

/// Returns the default status of a reason.
pub fn default_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Invalid => StatusCode::BAD_REQUEST,
        RefusalReason::Forbidden => StatusCode::FORBIDDEN,
        RefusalReason::KeyReused | RefusalReason::NeverRunnable => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::OverCap => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Overloaded
        | RefusalReason::StoreUnavailable
        | RefusalReason::NoOwner
        | RefusalReason::NoUpstream
        | RefusalReason::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::NotFound => StatusCode::NOT_FOUND,
        RefusalReason::UpstreamFailed => StatusCode::BAD_GATEWAY,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::Conflict | RefusalReason::Cancelled => StatusCode::CONFLICT,
        RefusalReason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
