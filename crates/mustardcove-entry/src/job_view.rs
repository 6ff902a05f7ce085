//! Jobs as shown to callers.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use mustardcove_core::{
    id::{AttemptNumber, ClassId, IdempotencyKey, JobId},
    job::{JobState, Outcome},
    message::JobStatus,
    time::Timestamp,
    verdict::{RefusalReason, Verdict},
};
use serde::{Deserialize, Serialize};

use crate::stored_answer;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewState {
    /// It waits for placement.
    Queued,
    /// An attempt is bound to a worker or upstream and may be running.
    Running,
    /// It is being cancelled; the attempt may still be running.
    Cancelling,
    /// It completed and has a result.
    Succeeded,
    /// It ended without a result.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Why a job failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureView {
    /// Whether the work may have run.
    pub verdict: Verdict,
    /// The reason of the failure.
    pub reason: RefusalReason,
    /// Human-readable details.
    pub detail: String,
}

/// A job as shown to its member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job, as 32 hexadecimal digits.
    #[serde(with = "hex_id")]
    pub job: JobId,
    /// Its idempotency key.
    pub key: IdempotencyKey,
    /// Its class.
    pub class: ClassId,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// Its state.
    pub state: ViewState,
    /// Human-readable explanation of its state.
    pub detail: String,
    /// The latest attempt, if there was one.
    pub attempt: Option<AttemptNumber>,
    /// Progress at the latest checkpoint, in thousandths.
    pub progress_permille: Option<u16>,
    /// The result, if it is text.
    pub result: Option<String>,
    /// The result in base64, if it is not text.
    pub result_base64: Option<String>,
    /// Status of the stored answer, for a service request.
    pub answer_status: Option<u16>,
    /// Why it failed.
    pub failure: Option<FailureView>,
    /// Whether the submission repeated an earlier one with the same key. Present
    /// only in the answer to a submission.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeated: Option<bool>,
}

/// Serializes job identifiers as text, because most JSON clients lose digits of a
/// 128-bit number.
mod hex_id {
    use mustardcove_core::id::JobId;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(job: &JobId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(job)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<JobId, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// A listing of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The jobs, ordered by identifier.
    pub jobs: Vec<JobView>,
    /// The value of `after` for the next page, if there is one.
    pub next: Option<String>,
}

impl JobView {
    /// Returns the view of a job with its result.
    pub fn new(status: &JobStatus) -> JobView {
        let mut view = JobView::without_result(status);
        if let JobState::Done { outcome: Outcome::Succeeded { result }, .. } = &status.state {
            view.set_result(result);
        }
        view
    }

    /// Returns the view of a job for a listing.
    pub fn without_result(status: &JobStatus) -> JobView {
        let (state, attempt, checkpoint) = match &status.state {
            JobState::Queued { resume_from, attempts } => {
                let attempt = (attempts.0 != 0).then_some(*attempts);
                (ViewState::Queued, attempt, resume_from.as_ref())
            }
            JobState::Bound { attempt, resume_from, cancelling, .. } => {
                let state = if *cancelling { ViewState::Cancelling } else { ViewState::Running };
                (state, Some(*attempt), resume_from.as_ref())
            }
            JobState::Done { outcome, attempt, .. } => (view_state(outcome), *attempt, None),
        };
        JobView {
            job: status.job,
            key: status.key.clone(),
            class: status.class.clone(),
            accepted_at: status.accepted_at,
            state,
            detail: status.reason.clone(),
            attempt,
            progress_permille: checkpoint.map(|it| it.progress_permille),
            result: None,
            result_base64: None,
            answer_status: None,
            failure: failure_view(&status.state),
            repeated: None,
        }
    }

    fn set_result(&mut self, result: &Bytes) {
        let answer = stored_answer::decode(result);
        self.answer_status = answer.as_ref().map(|it| it.status.as_u16());
        let body = answer.map_or_else(|| result.clone(), |it| it.body);
        match std::str::from_utf8(&body) {
            Ok(text) => self.result = Some(text.to_owned()),
            Err(_) => self.result_base64 = Some(STANDARD.encode(&body)),
        }
    }
}

fn view_state(outcome: &Outcome) -> ViewState {
    match outcome {
        Outcome::Succeeded { .. } => ViewState::Succeeded,
        Outcome::Failed { .. } => ViewState::Failed,
        Outcome::Cancelled => ViewState::Cancelled,
    }
}

fn failure_view(state: &JobState) -> Option<FailureView> {
    let JobState::Done { outcome: Outcome::Failed { refusal }, .. } = state else { return None };
    Some(FailureView {
        verdict: refusal.verdict,
        reason: refusal.reason,
        detail: refusal.detail.clone(),
    })
}
