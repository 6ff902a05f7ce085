//! Service requests that must not be repeated freely.
//!
//! An entry process sends the request to an upstream itself, under an attempt
//! that is durable in the shard. The upstream stops at the request's deadline,
//! so an attempt whose outcome is never reported has ended once the deadline
//! plus the clock error has passed. An exclusive request may then be attempted
//! again; an at-most-once request ends, and its caller is told that it may have
//! run.

use std::sync::Arc;

use super::{
    Shard, ShardAction,
    commit::{Effect, Origin},
    jobs::attempts,
    requests::{Caller, key_reused},
    tasks::{result_too_large, truncate_detail},
    validate::Dispatch,
};
use crate::{
    class::Delivery,
    id::{JobId, ProcessId, TaskId, WorkerId},
    job::{AttemptLocation, EndEvidence, JobSpec, JobState, MAX_RESULT_BYTES, Outcome},
    ledger::Record,
    time::{MAX_CLOCK_ERROR_MS, Timestamp},
    verdict::{Refusal, RefusalReason, Verdict},
};

/// Most ended processes whose identifiers are kept.
const MAX_ENDED_PROCESSES: usize = 1024;

/// Time after which the end of an attempt is checked again while no agreement,
/// and so no class, is known, in milliseconds.
const UNKNOWN_CLASS_RETRY_MS: u64 = 1000;

impl Shard {
    pub(super) fn admit(
        &mut self,
        caller: Caller,
        mut spec: JobSpec,
        upstream: WorkerId,
        deadline: Timestamp,
        out: &mut Vec<ShardAction>,
    ) {
        let id = spec.id();
        if let Some(job) = self.retained(id) {
            if job.spec.digest != spec.digest {
                return self.refuse(&caller, key_reused(), out);
            }
            return self.admit_repeated(caller, id, upstream, deadline, out);
        }
        let valid =
            self.validate(&mut spec, Dispatch::Upstream).and_then(|()| self.check_capacity());
        if let Err(refusal) = valid {
            return self.refuse(&caller, refusal, out);
        }
        if deadline <= self.now {
            return self.refuse(&caller, deadline_passed(), out);
        }
        let record = Record::Accepted { spec: Arc::new(spec), at: self.now };
        self.push(record, Vec::new(), Origin::Request, out);
        self.bind_upstream(caller, id, upstream, deadline, out);
    }

    fn bind_upstream(
        &mut self,
        caller: Caller,
        id: JobId,
        upstream: WorkerId,
        deadline: Timestamp,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(attempt) = self.latest(id).map(|it| attempts(it).next()) else { return };
        let task = TaskId { job: id, attempt };
        let answer_by = self.answer_deadline(Some(deadline));
        let answer = self.open_answer(&caller.from, caller.request, answer_by);
        let place = AttemptLocation::Upstream { upstream, entry: caller.from, deadline };
        let record = Record::Bound { task, place, request: Some(caller.request) };
        self.push(record, vec![Effect::Admitted { id: answer, task }], Origin::Request, out);
    }

    /// Handles a request whose key was used before with the same body.
    fn admit_repeated(
        &mut self,
        caller: Caller,
        id: JobId,
        upstream: WorkerId,
        deadline: Timestamp,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(job) = self.latest(id) else { return };
        let (attempt, admission_request) = (attempts(job), job.admission_request);
        let (old_entry, expires_at) = match &job.state {
            JobState::Done { .. } => return self.repeat_acceptance(caller, id, None, out),
            JobState::Queued { .. } => {
                return self.admit_next_attempt(caller, id, upstream, deadline, out);
            }
            JobState::Bound { place: AttemptLocation::Worker { .. }, .. } => {
                return self.repeat_acceptance(caller, id, None, out);
            }
            JobState::Bound {
                place: AttemptLocation::Upstream { entry, deadline, .. }, ..
            } => (entry.clone(), deadline.plus_ms(MAX_CLOCK_ERROR_MS)),
        };
        let task = TaskId { job: id, attempt };
        if old_entry == caller.from && admission_request == Some(caller.request) {
            // The request that the attempt was admitted for: its answer was lost.
            let answer_by = self.answer_deadline(Some(deadline));
            let answer = self.open_answer(&caller.from, caller.request, answer_by);
            return self.attach(id, Effect::Admitted { id: answer, task }, out);
        }
        let is_exclusive = self.delivery(id).is_some_and(|it| it != Delivery::AtMostOnce);
        if is_exclusive && expires_at < self.now {
            let record = Record::Lost { task, evidence: EndEvidence::RequestDeadline };
            self.push(record, Vec::new(), Origin::Keep, out);
            return self.admit_next_attempt(caller, id, upstream, deadline, out);
        }
        if is_exclusive && self.has_entry_ended(id, &old_entry) {
            let detail = "an earlier attempt may still run at its upstream";
            let refusal = Refusal::may_have_run(RefusalReason::UpstreamFailed, detail)
                .with_retry_at(expires_at.plus_ms(1));
            return self.refuse(&caller, refusal, out);
        }
        self.repeat_acceptance(caller, id, None, out);
    }

    /// Binds another attempt of a request whose earlier attempts have ended.
    fn admit_next_attempt(
        &mut self,
        caller: Caller,
        id: JobId,
        upstream: WorkerId,
        deadline: Timestamp,
        out: &mut Vec<ShardAction>,
    ) {
        let is_service = self.latest(id).is_some_and(|it| self.is_service(it));
        if !is_service {
            return self.repeat_acceptance(caller, id, None, out);
        }
        if deadline <= self.now {
            return self.refuse(&caller, deadline_passed(), out);
        }
        if self.is_store_down() {
            let refusal = self.store_unavailable();
            return self.refuse(&caller, refusal, out);
        }
        self.bind_upstream(caller, id, upstream, deadline, out);
    }

    fn has_entry_ended(&self, id: JobId, entry: &ProcessId) -> bool {
        self.ended_processes.contains(entry) || self.queue.get(id).is_some_and(|it| it.entry_ended)
    }

    pub(super) fn complete(
        &mut self,
        caller: Caller,
        task: TaskId,
        outcome: Outcome,
        out: &mut Vec<ShardAction>,
    ) {
        let id = task.job;
        let is_current = self.latest(id).is_some_and(|it| {
            let on_upstream = it.bound_worker().is_none();
            it.bound_attempt() == Some(task.attempt) && on_upstream
        });
        let deadline = self.answer_deadline(None);
        if !is_current {
            let was_ended = self.latest(id).is_some_and(|it| {
                matches!(&it.state, JobState::Done { attempt, .. } if *attempt == Some(task.attempt))
            });
            if was_ended {
                let answer = self.open_answer(&caller.from, caller.request, deadline);
                return self.attach(id, Effect::Completed { id: answer }, out);
            }
            let detail = "the attempt is not the current one; its outcome is not stored";
            let refusal = Refusal::may_have_run(RefusalReason::Conflict, detail);
            return self.refuse(&caller, refusal, out);
        }
        let is_cancelling = self
            .latest(id)
            .is_some_and(|it| matches!(it.state, JobState::Bound { cancelling: true, .. }));
        let answer = self.open_answer(&caller.from, caller.request, deadline);
        let effects = vec![Effect::Completed { id: answer }];
        match outcome {
            Outcome::Succeeded { result } if MAX_RESULT_BYTES < result.len() => {
                self.finish(id, result_too_large(result.len()), effects, Origin::Keep, out);
            }
            Outcome::Failed { refusal } if refusal.verdict == Verdict::NotRun => {
                if is_cancelling {
                    return self.finish(id, Outcome::Cancelled, effects, Origin::Keep, out);
                }
                let record = Record::Lost { task, evidence: EndEvidence::NeverSent };
                self.push(record, effects, Origin::Keep, out);
            }
            Outcome::Failed { refusal }
                if refusal.verdict == Verdict::MayHaveRun && self.may_repeat(id) =>
            {
                // The attempt may still run until its deadline.
                if let Some(tracked) = self.queue.get_mut(id) {
                    tracked.entry_ended = true;
                }
                self.update_timer(id);
                self.attach(id, Effect::Completed { id: answer }, out);
            }
            Outcome::Failed { refusal } => {
                let outcome = Outcome::Failed { refusal: truncate_detail(refusal) };
                self.finish(id, outcome, effects, Origin::Keep, out);
            }
            outcome => self.finish(id, outcome, effects, Origin::Keep, out),
        }
    }

    fn may_repeat(&self, id: JobId) -> bool {
        self.delivery(id).is_some_and(|it| it != Delivery::AtMostOnce)
    }

    pub(super) fn on_process_ended(&mut self, process: ProcessId, out: &mut Vec<ShardAction>) {
        if MAX_ENDED_PROCESSES <= self.ended_processes.len() {
            self.ended_processes.pop_front();
        }
        self.ended_processes.push_back(process.clone());
        self.end_attempts_of(&process, out);
    }

    /// Ends the at-most-once requests that an ended process has sent, because
    /// their outcome will not be reported; updates the timers of the others.
    pub(super) fn end_attempts_of(&mut self, process: &ProcessId, out: &mut Vec<ShardAction>) {
        for id in self.queue.ids() {
            let entry = self.latest(id).and_then(|it| match &it.state {
                JobState::Bound { place: AttemptLocation::Upstream { entry, .. }, .. } => {
                    Some(entry)
                }
                _ => None,
            });
            if entry != Some(process) {
                continue;
            }
            if let Some(tracked) = self.queue.get_mut(id) {
                tracked.entry_ended = true;
            }
            if self.is_ready() && self.delivery(id) == Some(Delivery::AtMostOnce) {
                self.end_as_may_have_run(id, out);
            } else {
                self.update_timer(id);
            }
        }
    }

    /// Returns when an attempt at an upstream is assumed to have ended.
    pub(super) fn attempt_expires_at(&self, id: JobId, deadline: Timestamp) -> Timestamp {
        let expires_at = deadline.plus_ms(MAX_CLOCK_ERROR_MS + 1);
        let has_ended = self.queue.get(id).is_some_and(|it| it.entry_ended);
        let at =
            if has_ended { expires_at } else { expires_at.plus_ms(self.cfg.complete_grace_ms) };
        match self.delivery(id) {
            Some(_) => at,
            None if self.agreement.is_some() => at,
            None => at.max(self.now.plus_ms(UNKNOWN_CLASS_RETRY_MS)),
        }
    }

    /// Ends an attempt whose upstream has stopped working on it.
    pub(super) fn end_service_attempt(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return };
        let JobState::Bound { attempt, place, cancelling, .. } = &job.state else { return };
        let AttemptLocation::Upstream { deadline, .. } = place else { return };
        let (attempt, cancelling) = (*attempt, *cancelling);
        if self.now < self.attempt_expires_at(id, *deadline) {
            return self.update_timer(id);
        }
        if cancelling || !self.may_repeat(id) {
            return self.end_as_may_have_run(id, out);
        }
        let task = TaskId { job: id, attempt };
        let record = Record::Lost { task, evidence: EndEvidence::RequestDeadline };
        self.push(record, Vec::new(), Origin::Keep, out);
    }

    fn end_as_may_have_run(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let detail = "the outcome was never reported; the request may have been carried out";
        let refusal = Refusal::may_have_run(RefusalReason::UpstreamFailed, detail);
        self.finish(id, Outcome::Failed { refusal }, Vec::new(), Origin::Keep, out);
    }
}

fn deadline_passed() -> Refusal {
    let detail = "the deadline had passed when the request arrived";
    Refusal::not_run(RefusalReason::DeadlineExceeded, detail)
}
