//! Answers from the owners of shards: jobs, admissions and stored outcomes.

use mustardcove_core::{
    id::JobId,
    job::{JobState, Outcome},
    message::{ShardRequest, ShardResponse},
    routing::{RouteChoice, RouteOutcome},
    verdict::{Refusal, RefusalReason, Verdict},
};

use super::{Stage, World};
use crate::world::{ProcessIndex, callers::CallerAnswer, shard_calls::ShardCall};

impl World {
    /// Handles the result of a call to the owner of a shard.
    pub(in crate::world) fn shard_call_ended(
        &mut self,
        index: ProcessIndex,
        call: ShardCall,
        result: Result<ShardResponse, Refusal>,
    ) {
        let id = call.caller_request;
        let Some(request) = self.entry(index).caller_requests.get(&id) else { return };
        match request.stage.clone() {
            Stage::Job => self.job_answered(index, id, result),
            Stage::Admitting(choice) => self.admission_answered(index, id, choice, result),
            Stage::StoringSuccess(body) => {
                self.end_caller_request(index, id, CallerAnswer::Served(body))
            }
            Stage::StoringFailure(refusal, overloaded) => {
                self.decide_retry(index, id, refusal, overloaded);
            }
            Stage::AwaitingEarlierRequest => self.earlier_request_answered(index, id, result),
            Stage::AwaitingUpstream | Stage::Sent { .. } | Stage::AwaitingRetry => (),
        }
    }

    fn job_answered(
        &mut self,
        index: ProcessIndex,
        id: u64,
        result: Result<ShardResponse, Refusal>,
    ) {
        match result {
            Ok(ShardResponse::Accepted { status, .. } | ShardResponse::Status { status }) => {
                self.check_status(index, id, status.job);
                self.end_caller_request(index, id, CallerAnswer::Accepted);
            }
            Ok(ShardResponse::Refused(refusal)) | Err(refusal) => {
                self.refuse_caller_request(index, id, refusal);
            }
            Ok(_) => (),
        }
    }

    /// Checks P4: an answer of a shard must be about the requested job.
    fn check_status(&mut self, index: ProcessIndex, id: u64, job: JobId) {
        let trace_ms = self.trace_ms();
        let requested = self.entry(index).caller_requests.get(&id).map(|it| it.spec.id());
        if requested != Some(job) {
            self.checks.violation("P4", trace_ms, format!("an answer is about job {job}"));
        }
    }

    fn admission_answered(
        &mut self,
        index: ProcessIndex,
        id: u64,
        choice: RouteChoice,
        result: Result<ShardResponse, Refusal>,
    ) {
        match result {
            Ok(ShardResponse::Admitted { task }) => {
                self.check_status(index, id, task.job);
                self.dispatch(index, id, choice, Some(task));
            }
            Ok(ShardResponse::Accepted { status, .. } | ShardResponse::Status { status }) => {
                self.check_status(index, id, status.job);
                self.end_route(index, id, choice, RouteOutcome::Abandoned);
                self.set_stage(index, id, Stage::AwaitingEarlierRequest);
                self.answer_from_state(index, id, &status.state);
            }
            Ok(ShardResponse::Refused(refusal)) | Err(refusal) => {
                self.end_route(index, id, choice, RouteOutcome::Abandoned);
                self.refuse_caller_request(index, id, refusal);
            }
            Ok(_) => self.end_route(index, id, choice, RouteOutcome::Abandoned),
        }
    }

    /// Answers with the outcome of an earlier request of the same key, or
    /// waits for it.
    fn answer_from_state(&mut self, index: ProcessIndex, id: u64, state: &JobState) {
        let Some(request) = self.entry(index).caller_requests.get(&id) else { return };
        let (deadline, spec) = (request.deadline, request.spec.clone());
        let outcome = match state {
            JobState::Done { outcome, .. } => outcome.clone(),
            _ => {
                let body = ShardRequest::Query {
                    job: spec.id(),
                    wait_until: Some(deadline.minus_ms(100)),
                    member: Some(spec.member.clone()),
                };
                let shard = spec.id().shard(self.trace.header.shards);
                self.call_shard(index, id, shard, body, deadline);
                return self.set_timer(index, id, deadline);
            }
        };
        match outcome {
            Outcome::Succeeded { result } => {
                self.end_caller_request(index, id, CallerAnswer::Served(result));
            }
            Outcome::Failed { refusal } => self.refuse_caller_request(index, id, refusal),
            Outcome::Cancelled => {
                let refusal = Refusal::not_run(RefusalReason::Cancelled, "cancelled");
                self.refuse_caller_request(index, id, refusal);
            }
        }
    }

    fn earlier_request_answered(
        &mut self,
        index: ProcessIndex,
        id: u64,
        result: Result<ShardResponse, Refusal>,
    ) {
        match result {
            Ok(ShardResponse::Status { status } | ShardResponse::Accepted { status, .. })
                if matches!(status.state, JobState::Done { .. }) =>
            {
                self.answer_from_state(index, id, &status.state);
            }
            Err(refusal) => {
                let refusal = Refusal { verdict: Verdict::MayHaveRun, ..refusal };
                self.refuse_caller_request(index, id, refusal);
            }
            _ => {
                let detail = "an earlier request with the same key is under way";
                let refusal = Refusal::may_have_run(RefusalReason::DeadlineExceeded, detail);
                self.refuse_caller_request(index, id, refusal);
            }
        }
    }
}
