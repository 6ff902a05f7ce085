//! Progress of unfinished jobs: what each one waits for, its timer, and what is
//! done when the timer is due.

use super::{
    Shard, ShardAction,
    commit::{Effect, Origin},
    queue::Step,
    send_to_group,
};
use crate::{
    class::ClassKind,
    id::{AttemptNumber, GroupId, JobId, TaskId},
    job::{AttemptLocation, JobState, Outcome},
    ledger::{Job, Record},
    message::{JobStatus, ShardToGroup},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
    worker::StopMode,
};

/// First and longest delay before a job is retried after a failure, in
/// milliseconds. A worker on which every task fails does so fast, and its group
/// needs some time to detect that.
const FAILURE_BACKOFF_MS: (u64, u64) = (250, 10_000);

/// How often a new owner lists a bound attempt again to a group that does not
/// confirm it.
const MAX_RECONCILE_RETRIES: u32 = 3;

/// Describes for callers and operators how a job ended.
pub(super) fn outcome_reason(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Succeeded { .. } => "finished".to_owned(),
        Outcome::Cancelled => "cancelled".to_owned(),
        Outcome::Failed { refusal } => refusal.to_string(),
    }
}

/// Returns the number of attempts that a job has had.
pub(super) fn attempts(job: &Job) -> AttemptNumber {
    match &job.state {
        JobState::Queued { attempts, .. } => *attempts,
        JobState::Bound { attempt, .. } => *attempt,
        JobState::Done { attempt, .. } => attempt.unwrap_or_default(),
    }
}

impl Shard {
    /// Updates the tracked state and the timer of a job to its latest state.
    pub(super) fn sync_job(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return self.untrack(id, out) };
        if job.is_done() {
            return self.untrack(id, out);
        }
        let is_queued = matches!(job.state, JobState::Queued { .. });
        let on_worker = job.bound_worker().is_some();
        let is_service = self.is_service(job);
        let failures = job.failed_on.len();
        let first_queued_at = (attempts(job) == AttemptNumber(0)).then_some(job.accepted_at);
        let is_new = self.queue.get(id).is_none();
        if is_new {
            let urgent = self.is_urgent(id);
            self.queue.insert(id, urgent, first_queued_at.unwrap_or(self.now));
        }
        let step = self.queue.get(id).map(|it| it.step.clone());
        let was_bound = matches!(step, Some(Step::Bound { .. }));
        if is_service {
            self.queue.set_step(id, Step::Idle);
        } else if on_worker && !was_bound {
            let resend_at = is_new.then(|| self.now.plus_ms(self.cfg.resend_ms));
            self.queue.set_step(id, Step::Bound { resend_at, tries: 0, started_here: false });
        } else if is_queued && (was_bound || step == Some(Step::Idle)) {
            self.requeue(id, first_queued_at, failures);
        }
        self.update_timer(id);
    }

    fn requeue(&mut self, id: JobId, first_queued_at: Option<Timestamp>, failures: usize) {
        let urgent = self.is_urgent(id);
        self.queue.set_rank(id, urgent, first_queued_at.unwrap_or(self.now));
        if let Some(tracked) = self.queue.get_mut(id) {
            tracked.delays = 0;
            tracked.wait_reason = "waiting for a place";
        }
        let (first, most) = FAILURE_BACKOFF_MS;
        let step = match failures {
            0 => Step::Ready,
            _ => {
                let delay = self.backoff(first, most, failures as u32);
                Step::Delayed { until: self.now.plus_ms(delay), fixed: true }
            }
        };
        self.queue.set_step(id, step);
    }

    /// Reports whether a job is a service request, which an entry process sends
    /// to an upstream.
    pub(super) fn is_service(&self, job: &Job) -> bool {
        let class = self.agreement.as_ref().and_then(|it| it.classes.get(&job.spec.class));
        job.admission_request.is_some() || class.is_some_and(|it| it.kind == ClassKind::Service)
    }

    /// Reports whether this owner sent the start of the current attempt.
    pub(super) fn was_started_here(&self, id: JobId) -> bool {
        let step = self.queue.get(id).map(|it| &it.step);
        matches!(step, Some(Step::Bound { started_here: true, .. }))
    }

    fn is_urgent(&self, id: JobId) -> bool {
        let class = self.latest(id).map(|it| &it.spec.class);
        let agreement = self.agreement.as_ref();
        class.and_then(|it| agreement?.classes.get(it)).is_some_and(|it| it.urgent)
    }

    /// Applies a new agreement: updates the rank of the jobs and makes delayed
    /// ones ready.
    pub(super) fn on_agreement(&mut self, agreement: std::sync::Arc<crate::agreement::Agreement>) {
        if self.agreement.as_ref().is_some_and(|it| agreement.revision < it.revision) {
            return;
        }
        self.agreement = Some(agreement);
        for id in self.queue.ids() {
            let Some(tracked) = self.queue.get(id) else { continue };
            let (was_urgent, since) = (tracked.urgent, tracked.queued_since);
            let is_delayed = matches!(tracked.step, Step::Delayed { .. });
            let urgent = self.is_urgent(id);
            if urgent != was_urgent {
                self.queue.set_rank(id, urgent, since);
            }
            if is_delayed {
                self.set_step(id, Step::Ready);
            }
        }
    }

    /// Changes a job's step and updates its timer.
    pub(super) fn set_step(&mut self, id: JobId, step: Step) {
        self.queue.set_step(id, step);
        self.update_timer(id);
    }

    /// Removes a job's tracked state and releases its reservation.
    pub(super) fn untrack(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        self.timers.set(id, None);
        if let Some(Step::Reserving { group, .. }) = self.queue.remove(id) {
            let attempt = self.latest(id).map_or(AttemptNumber(1), |it| attempts(it).next());
            send_to_group(&group, ShardToGroup::Release { task: TaskId { job: id, attempt } }, out);
        }
    }

    /// Releases every reservation that was requested and is not bound yet.
    pub(super) fn release_reservations(&mut self, out: &mut Vec<ShardAction>) {
        for id in self.queue.ids() {
            if let Some(Step::Reserving { group, .. }) =
                self.queue.get(id).map(|it| it.step.clone())
            {
                self.release(id, &group, out);
                self.set_step(id, Step::Ready);
            }
        }
    }

    fn release(&mut self, id: JobId, group: &GroupId, out: &mut Vec<ShardAction>) {
        if let Some(job) = self.latest(id) {
            let task = TaskId { job: id, attempt: attempts(job).next() };
            send_to_group(group, ShardToGroup::Release { task }, out);
        }
    }

    pub(super) fn update_timer(&mut self, id: JobId) {
        let deadline = self.timer_deadline(id);
        self.timers.set(id, deadline);
    }

    fn timer_deadline(&self, id: JobId) -> Option<Timestamp> {
        let (job, tracked) = (self.latest(id)?, self.queue.get(id)?);
        let own = job.spec.deadline.unwrap_or(Timestamp::MAX);
        match (&job.state, &tracked.step) {
            (JobState::Done { .. }, _) => None,
            (JobState::Bound { place: AttemptLocation::Upstream { deadline, .. }, .. }, _) => {
                Some(self.attempt_expires_at(id, *deadline))
            }
            (JobState::Bound { .. }, Step::Bound { resend_at, .. }) => *resend_at,
            (JobState::Bound { .. }, _) => None,
            (_, Step::Reserving { until, .. }) | (_, Step::Delayed { until, .. }) => {
                Some(own.min(*until))
            }
            (_, Step::Ready) => job.spec.deadline,
            (_, Step::Idle | Step::Bound { .. }) => {
                Some(job.accepted_at.plus_ms(self.cfg.retention_ms))
            }
        }
    }

    /// Handles every job whose timer is due.
    pub(super) fn wake_jobs(&mut self, out: &mut Vec<ShardAction>) {
        while let Some(id) = self.timers.pop_due(self.now) {
            self.wake_job(id, out);
        }
    }

    fn wake_job(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return };
        let Some(tracked) = self.queue.get(id) else { return };
        match (&job.state, tracked.step.clone()) {
            (JobState::Bound { place: AttemptLocation::Upstream { .. }, .. }, _) => {
                self.end_service_attempt(id, out);
            }
            (JobState::Bound { .. }, _) => self.resend(id, out),
            (JobState::Queued { .. }, Step::Idle) => self.expire(id, out),
            (JobState::Queued { .. }, step) => {
                if job.spec.deadline.is_some_and(|it| it <= self.now) {
                    return self.expire(id, out);
                }
                if let Step::Reserving { group, .. } = step {
                    self.release(id, &group, out);
                    self.note_refusal(id, group, self.now.plus_ms(self.cfg.reserve_timeout_ms));
                }
                self.set_step(id, Step::Ready);
            }
            (JobState::Done { .. }, _) => {}
        }
    }

    pub(super) fn note_refusal(&mut self, id: JobId, group: GroupId, until: Timestamp) {
        if let Some(tracked) = self.queue.get_mut(id) {
            tracked.refused_by.retain(|(it, _)| *it != group);
            tracked.refused_by.push((group, until));
        }
    }

    /// Ends a queued job whose deadline has passed, or a service request that was
    /// not sent again within the retention period.
    fn expire(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return };
        let detail = "the deadline passed while the job waited for a place";
        let refusal = match attempts(job) {
            AttemptNumber(0) => Refusal::not_run(RefusalReason::DeadlineExceeded, detail),
            _ => Refusal::may_have_run(RefusalReason::DeadlineExceeded, detail),
        };
        self.finish(id, Outcome::Failed { refusal }, Vec::new(), Origin::Keep, out);
    }

    /// Ends a job with an outcome.
    pub(super) fn finish(
        &mut self,
        id: JobId,
        outcome: Outcome,
        effects: Vec<Effect>,
        origin: Origin,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(job) = self.latest(id) else { return };
        let attempt = Some(attempts(job)).filter(|it| AttemptNumber(0) < *it);
        let forget_at = self.now.plus_ms(self.cfg.retention_ms);
        self.push(Record::Done { job: id, attempt, outcome, forget_at }, effects, origin, out);
    }

    /// Sends the start of an attempt that is durably bound.
    pub(super) fn start(&mut self, task: TaskId, out: &mut Vec<ShardAction>) {
        let Some(latest) = self.latest(task.job) else { return };
        if latest.bound_attempt() != Some(task.attempt) {
            return;
        }
        let JobState::Bound { place, resume_from, cancelling: false, .. } = &latest.state else {
            return;
        };
        let AttemptLocation::Worker { group, worker, epoch } = place.clone() else { return };
        let (spec, resume_from) = (latest.spec.as_ref().clone(), resume_from.clone());
        let start = ShardToGroup::Start { task, worker, epoch, spec, resume_from };
        send_to_group(&group, start, out);
        let is_first = !self.was_started_here(task.job);
        if is_first {
            self.schedule_resend(task.job, 0, true);
        }
    }

    /// Sets when the last message about a bound attempt is repeated, with
    /// exponential backoff over `tries`.
    pub(super) fn schedule_resend(&mut self, id: JobId, tries: u32, started_here: bool) {
        let (first, most) = (self.cfg.resend_ms, self.cfg.resend_max_ms);
        let delay = first.saturating_mul(1 << tries.min(16)).min(most);
        let resend_at = Some(self.now.plus_ms(delay));
        self.set_step(id, Step::Bound { resend_at, tries: tries + 1, started_here });
    }

    /// Records that an attempt was reported as running: its start need not be
    /// repeated.
    pub(super) fn mark_confirmed(&mut self, id: JobId) {
        let is_cancelling = self
            .latest(id)
            .is_some_and(|it| matches!(it.state, JobState::Bound { cancelling: true, .. }));
        if !is_cancelling {
            self.set_step(id, Step::Bound { resend_at: None, tries: 0, started_here: true });
        }
    }

    /// Repeats the last message about a bound attempt.
    fn resend(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(Step::Bound { tries, started_here, .. }) =
            self.queue.get(id).map(|it| it.step.clone())
        else {
            return;
        };
        let Some(job) = self.committed.get(id) else {
            return self.schedule_resend(id, tries, started_here);
        };
        let JobState::Bound { attempt, place, cancelling, .. } = &job.state else {
            return self.schedule_resend(id, tries, started_here);
        };
        let AttemptLocation::Worker { group, worker, epoch } = place.clone() else { return };
        let (task, cancelling) = (TaskId { job: id, attempt: *attempt }, *cancelling);
        if cancelling {
            let mode = StopMode::Kill;
            send_to_group(&group, ShardToGroup::Stop { task, worker, mode }, out);
            return self.schedule_resend(id, tries, started_here);
        }
        // After a change of the group's owner only the whole list is safe: the
        // new owner may not know yet that the attempt is already running.
        if started_here && self.groups.epoch(&group).is_none_or(|it| it == epoch) {
            self.schedule_resend(id, tries, true);
            return self.start(task, out);
        }
        self.reconcile_again(&group);
        if tries < MAX_RECONCILE_RETRIES {
            self.schedule_resend(id, tries, false);
        } else {
            self.set_step(id, Step::Bound { resend_at: None, tries, started_here: false });
        }
    }

    /// Handles a job whose records became durable: schedules the end of its
    /// retention and answers waiting queries if it has ended.
    pub(super) fn after_commit(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        if let Some(job) = self.committed.get(id)
            && let JobState::Done { forget_at, .. } = job.state
        {
            self.retention.insert((forget_at, id));
            self.notify_done(id, out);
        }
    }

    /// Removes jobs whose retention period has ended.
    pub(super) fn forget_old(&mut self) {
        while let Some((at, id)) = self.retention.first().copied() {
            if self.now < at {
                break;
            }
            self.retention.pop_first();
            let may = self.committed.get(id).is_some_and(|it| it.may_be_forgotten(self.now));
            if may && !self.overlay.contains_key(&id) {
                self.committed.forget(id);
            }
        }
    }

    pub(super) fn committed_status(&self, id: JobId) -> Option<JobStatus> {
        self.committed.get(id).map(|job| self.status(id, job))
    }
}
