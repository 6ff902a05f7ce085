//! Messages of group owners: reservations and the ends of attempts.
//!
//! Messages may be repeated, reordered, or meant for another owner of this
//! shard. The end of the current attempt is recorded, and acknowledged once it
//! is durable. An end that is already durable is acknowledged at once: the log
//! never reverts it, whichever process owns the shard now. A message about an
//! unknown job is answered only after an append has proven that this process
//! still owns the shard, because a newer owner may know the job.

use super::{
    Shard, ShardAction,
    commit::{Effect, Origin},
    jobs::attempts,
    proof::DeferredMessage,
    queue::Step,
    send_to_group,
};
use crate::{
    class::Delivery,
    id::{Epoch, GroupId, TaskId, WorkerId},
    job::{AttemptLocation, Checkpoint, EndEvidence, JobState, MAX_RESULT_BYTES, Outcome},
    ledger::{Job, Record},
    message::{GroupToShard, ReserveRefusal, ShardToGroup},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
    worker::StopMode,
};

/// How long a group is not asked again for a job that is too large for all of
/// its workers, in milliseconds.
const NEVER_FITS_RETRY_MS: u64 = 60_000;

/// Longest failure detail and longest checkpoint token that are stored, in
/// bytes. Workers choose both, and a segment must not exceed the size limit of
/// the store.
const MAX_TEXT_BYTES: usize = 4096;

/// What this owner knows about an attempt that a message names.
enum AttemptStatus {
    /// It is the current attempt and bound in the sending group.
    Current,
    /// Its end is durable.
    Ended,
    /// Its end is not durable yet, or the message does not apply.
    Ignore,
    /// The job is unknown.
    Unknown,
    /// It is newer than the last attempt that this owner knows: another process
    /// has taken the shard over.
    Newer,
}

impl Shard {
    pub(super) fn on_group(
        &mut self,
        from: GroupId,
        body: GroupToShard,
        out: &mut Vec<ShardAction>,
    ) {
        if !self.is_ready() {
            return;
        }
        match body {
            GroupToShard::Reserved { task, worker, epoch, deadline } => {
                self.on_reserved(from, task, worker, epoch, deadline, out);
            }
            GroupToShard::ReserveRefused { task, reason, retry_at } => {
                self.on_reserve_refused(from, task, reason, retry_at);
            }
            GroupToShard::Started { task } => {
                if let AttemptStatus::Current = self.attempt_status(&from, task) {
                    self.mark_confirmed(task.job);
                }
            }
            GroupToShard::Checkpointed { task, checkpoint } => {
                if let AttemptStatus::Current = self.attempt_status(&from, task) {
                    self.mark_confirmed(task.job);
                    if fits_in_segment(&checkpoint) {
                        self.push_checkpoint(task, checkpoint);
                    }
                }
            }
            GroupToShard::Finished { task, outcome } => {
                if self.ends_current(&from, task, out) {
                    self.on_finished(from, task, outcome, out);
                }
            }
            GroupToShard::Evicted { task, checkpoint } => {
                if self.ends_current(&from, task, out) {
                    self.on_evicted(from, task, checkpoint, out);
                }
            }
            GroupToShard::Lost { task, evidence } => {
                if self.ends_current(&from, task, out) {
                    self.on_lost(from, task, evidence, out);
                }
            }
            GroupToShard::Unclaimed { task, worker } => {
                self.on_unclaimed_task(from, task, worker, out)
            }
            GroupToShard::OwnerChanged { .. } => self.reconcile_when_proven(from),
        }
    }

    fn attempt_status(&self, from: &GroupId, task: TaskId) -> AttemptStatus {
        let latest = self.latest(task.job);
        if let Some(JobState::Bound { attempt, place, .. }) = latest.map(|it| &it.state)
            && *attempt == task.attempt
        {
            return match place {
                AttemptLocation::Worker { group, .. } if group == from => AttemptStatus::Current,
                _ => AttemptStatus::Ignore,
            };
        }
        match (self.committed.get(task.job), latest) {
            (None, None) => AttemptStatus::Unknown,
            (None, Some(_)) => AttemptStatus::Ignore,
            (Some(job), _) if job.is_done() => AttemptStatus::Ended,
            (Some(job), _) if job.bound_attempt() == Some(task.attempt) => AttemptStatus::Ignore,
            (Some(job), _) if task.attempt <= attempts(job) => AttemptStatus::Ended,
            (Some(_), _) => AttemptStatus::Newer,
        }
    }

    /// Reports whether the message ends the current attempt. Otherwise handles
    /// the message, which needs no record.
    fn ends_current(&mut self, from: &GroupId, task: TaskId, out: &mut Vec<ShardAction>) -> bool {
        match self.attempt_status(from, task) {
            AttemptStatus::Current => return true,
            AttemptStatus::Ended => send_to_group(from, ShardToGroup::Acknowledge { task }, out),
            AttemptStatus::Unknown => {
                self.send_when_proven(DeferredMessage::Acknowledge { group: from.clone(), task })
            }
            AttemptStatus::Newer => self.check_ownership(),
            AttemptStatus::Ignore => {}
        }
        false
    }

    fn on_reserved(
        &mut self,
        from: GroupId,
        task: TaskId,
        worker: WorkerId,
        epoch: Epoch,
        deadline: Timestamp,
        out: &mut Vec<ShardAction>,
    ) {
        self.end_append_delay();
        let latest = self.latest(task.job);
        if latest.is_some_and(|it| is_bound_in(it, &from, task)) {
            return;
        }
        let step = self.queue.get(task.job).map(|it| &it.step);
        let was_asked = matches!(step, Some(Step::Reserving { group, .. }) if *group == from);
        let is_next = latest.is_some_and(|it| {
            matches!(it.state, JobState::Queued { .. }) && attempts(it).next() == task.attempt
        });
        if !was_asked || !is_next || deadline <= self.now || self.is_store_down() {
            send_to_group(&from, ShardToGroup::Release { task }, out);
            if was_asked && is_next {
                let until = self.now.plus_ms(self.cfg.reserve_timeout_ms);
                self.note_refusal(task.job, from, until);
                self.set_step(task.job, Step::Ready);
            }
            return;
        }
        let place = AttemptLocation::Worker { group: from, worker, epoch };
        let record = Record::Bound { task, place, request: None };
        self.push(record, vec![Effect::Start { task }], Origin::Reservation, out);
    }

    fn on_reserve_refused(
        &mut self,
        from: GroupId,
        task: TaskId,
        reason: ReserveRefusal,
        retry_at: Timestamp,
    ) {
        self.end_append_delay();
        let Some(tracked) = self.queue.get_mut(task.job) else { return };
        if !matches!(&tracked.step, Step::Reserving { group, .. } if *group == from) {
            return;
        }
        tracked.wait_reason = match reason {
            ReserveRefusal::NoRoom => "no worker of the group asked last has room",
            ReserveRefusal::NeverFits => "no worker of the group asked last could hold the job",
            ReserveRefusal::OverAllotment => "the member's allotment is used up",
            ReserveRefusal::NotReady => "the group asked last is not ready",
        };
        let until = match reason {
            ReserveRefusal::NeverFits => self.now.plus_ms(NEVER_FITS_RETRY_MS),
            // A retry time in the past must not cause a request loop between
            // the shard and the group.
            _ => retry_at.max(self.now.plus_ms(self.cfg.commit_interval_ms)),
        };
        self.note_refusal(task.job, from, until);
        self.set_step(task.job, Step::Ready);
    }

    fn on_finished(
        &mut self,
        from: GroupId,
        task: TaskId,
        outcome: Outcome,
        out: &mut Vec<ShardAction>,
    ) {
        match outcome {
            Outcome::Succeeded { result } if MAX_RESULT_BYTES < result.len() => {
                let outcome = result_too_large(result.len());
                self.end_job(from, task, outcome, out);
            }
            Outcome::Succeeded { .. } => self.end_job(from, task, outcome, out),
            Outcome::Cancelled => self.on_evicted(from, task, None, out),
            Outcome::Failed { refusal } => self.on_failed(from, task, refusal, out),
        }
    }

    fn on_failed(
        &mut self,
        from: GroupId,
        task: TaskId,
        refusal: Refusal,
        out: &mut Vec<ShardAction>,
    ) {
        let refusal = truncate_detail(refusal);
        if refusal.verdict == Verdict::NotRun {
            return self.on_lost(from, task, EndEvidence::RefusedByWorker, out);
        }
        let Some(job) = self.latest(task.job) else { return };
        let mut failed = job.clone();
        failed.failed_on.extend(job.bound_worker().cloned());
        let is_final = matches!(refusal.reason, RefusalReason::TooLarge | RefusalReason::Invalid)
            || self.cfg.max_failed_workers <= failed.failed_workers()
            || self.cfg.max_failures <= failed.failed_on.len();
        if is_final {
            return self.end_job(from, task, Outcome::Failed { refusal }, out);
        }
        let record = Record::Failed { task, refusal };
        self.end_attempt(from, record, task, out);
    }

    fn on_evicted(
        &mut self,
        from: GroupId,
        task: TaskId,
        checkpoint: Option<Checkpoint>,
        out: &mut Vec<ShardAction>,
    ) {
        let checkpoint = checkpoint.filter(fits_in_segment);
        self.end_attempt(from, Record::Evicted { task, checkpoint }, task, out);
    }

    fn on_lost(
        &mut self,
        from: GroupId,
        task: TaskId,
        evidence: EndEvidence,
        out: &mut Vec<ShardAction>,
    ) {
        // An expired lease is not sufficient evidence for work that must not run
        // twice; the group reports again when the instance list confirms the
        // loss.
        if evidence == EndEvidence::LeaseExpired
            && self.delivery(task.job) == Some(Delivery::AtMostOnce)
        {
            return;
        }
        self.end_attempt(from, Record::Lost { task, evidence }, task, out);
    }

    /// Records the end of the current attempt. The job is queued again, or ends
    /// if it is being cancelled.
    fn end_attempt(
        &mut self,
        from: GroupId,
        record: Record,
        task: TaskId,
        out: &mut Vec<ShardAction>,
    ) {
        let is_cancelling = self
            .latest(task.job)
            .is_some_and(|it| matches!(it.state, JobState::Bound { cancelling: true, .. }));
        if is_cancelling {
            return self.end_job(from, task, Outcome::Cancelled, out);
        }
        self.push(record, vec![acknowledgement(from, task)], Origin::Keep, out);
    }

    fn end_job(
        &mut self,
        from: GroupId,
        task: TaskId,
        outcome: Outcome,
        out: &mut Vec<ShardAction>,
    ) {
        let effects = vec![acknowledgement(from, task)];
        self.finish(task.job, outcome, effects, Origin::Keep, out);
    }

    fn on_unclaimed_task(
        &mut self,
        from: GroupId,
        task: TaskId,
        worker: WorkerId,
        out: &mut Vec<ShardAction>,
    ) {
        let mode = StopMode::Kill;
        match self.attempt_status(&from, task) {
            AttemptStatus::Current => self.reconcile_when_proven(from),
            AttemptStatus::Ended => {
                send_to_group(&from, ShardToGroup::Stop { task, worker, mode }, out)
            }
            AttemptStatus::Unknown => {
                self.send_when_proven(DeferredMessage::Stop { group: from, task, worker })
            }
            AttemptStatus::Newer => self.check_ownership(),
            AttemptStatus::Ignore => {}
        }
    }

    pub(super) fn delivery(&self, id: crate::id::JobId) -> Option<Delivery> {
        let class = &self.latest(id)?.spec.class;
        Some(self.agreement.as_ref()?.classes.get(class)?.delivery)
    }
}

/// Truncates the detail of a failure to `MAX_TEXT_BYTES`.
pub(super) fn truncate_detail(mut refusal: Refusal) -> Refusal {
    let end = refusal.detail.floor_char_boundary(MAX_TEXT_BYTES);
    refusal.detail.truncate(end);
    refusal
}

fn fits_in_segment(checkpoint: &Checkpoint) -> bool {
    checkpoint.token.len() <= MAX_TEXT_BYTES
}

fn acknowledgement(group: GroupId, task: TaskId) -> Effect {
    Effect::SendToGroup { group, body: Box::new(ShardToGroup::Acknowledge { task }) }
}

fn is_bound_in(job: &Job, wanted: &GroupId, task: TaskId) -> bool {
    matches!(
        &job.state,
        JobState::Bound { attempt, place: AttemptLocation::Worker { group, .. }, .. }
            if *attempt == task.attempt && group == wanted
    )
}

/// Returns the outcome of work whose result is too large to be stored.
pub(super) fn result_too_large(len: usize) -> Outcome {
    let detail = format!("the result has {len} bytes; at most {MAX_RESULT_BYTES} are stored");
    let mut refusal = Refusal::may_have_run(RefusalReason::TooLarge, detail);
    refusal.verdict = Verdict::Ran;
    Outcome::Failed { refusal }
}
