//! Jobs between events: what each waits for, and what is done when it is due.

use super::{
    Shard, ShardAction,
    commit::{Effect, Origin},
    queue::Step,
    to_group,
};
use crate::{
    class::ClassKind,
    id::{AttemptNumber, GroupId, JobId, TaskId},
    job::{JobState, Outcome, Place},
    ledger::{Job, Record},
    message::{JobStatus, ShardToGroup},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
    worker::StopMode,
};

/// First and longest delay before a job is tried again after a failure, in
/// milliseconds. A worker that fails everything fails fast, and the group
/// needs a moment to notice.
const FAILURE_DELAY_MS: (u64, u64) = (250, 10_000);

/// How often a new owner lists bound attempts again to a group that gives no
/// sign of them.
const MAX_RELISTS: u32 = 3;

/// Returns why a job ended, for a person.
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
    /// Brings what is remembered of a job in line with its latest state.
    pub(super) fn sync_job(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return self.drop_soft(id, out) };
        if job.is_done() {
            return self.drop_soft(id, out);
        }
        let is_queued = matches!(job.state, JobState::Queued { .. });
        let on_worker = job.bound_worker().is_some();
        let is_service = self.is_service(job);
        let failures = job.failed_on.len();
        let first_since = (attempts(job) == AttemptNumber(0)).then_some(job.accepted_at);
        let is_new = self.queue.get(id).is_none();
        if is_new {
            let urgent = self.is_urgent(id);
            self.queue.insert(id, urgent, first_since.unwrap_or(self.now));
        }
        let step = self.queue.get(id).map(|it| it.step.clone());
        let is_held = matches!(step, Some(Step::Held { .. }));
        if is_service {
            self.queue.set_step(id, Step::Idle);
        } else if on_worker && !is_held {
            let resend_at = is_new.then(|| self.now.plus_ms(self.cfg.resend_ms));
            self.queue.set_step(id, Step::Held { resend_at, tries: 0, started_here: false });
        } else if is_queued && (is_held || step == Some(Step::Idle)) {
            self.requeue(id, first_since, failures);
        }
        self.schedule(id);
    }

    fn requeue(&mut self, id: JobId, first_since: Option<Timestamp>, failures: usize) {
        let urgent = self.is_urgent(id);
        self.queue.set_rank(id, urgent, first_since.unwrap_or(self.now));
        if let Some(soft) = self.queue.get_mut(id) {
            soft.delays = 0;
            soft.note = "waiting for a place";
        }
        let (first, most) = FAILURE_DELAY_MS;
        let step = match failures {
            0 => Step::Ready,
            _ => {
                let delay = self.backoff(first, most, failures as u32);
                Step::Delayed { until: self.now.plus_ms(delay), hold: true }
            }
        };
        self.queue.set_step(id, step);
    }

    /// Reports whether a job is a request that an entry process sends itself.
    pub(super) fn is_service(&self, job: &Job) -> bool {
        let class = self.agreement.as_ref().and_then(|it| it.classes.get(&job.spec.class));
        job.admitted.is_some() || class.is_some_and(|it| it.kind == ClassKind::Service)
    }

    /// Reports whether this owner sent the start of the current attempt.
    pub(super) fn was_started_here(&self, id: JobId) -> bool {
        let step = self.queue.get(id).map(|it| &it.step);
        matches!(step, Some(Step::Held { started_here: true, .. }))
    }

    fn is_urgent(&self, id: JobId) -> bool {
        let class = self.latest(id).map(|it| &it.spec.class);
        let agreement = self.agreement.as_ref();
        class.and_then(|it| agreement?.classes.get(it)).is_some_and(|it| it.urgent)
    }

    /// Applies a new agreement to the order of jobs and looks again at those
    /// that wait.
    pub(super) fn on_agreement(&mut self, agreement: std::sync::Arc<crate::agreement::Agreement>) {
        if self.agreement.as_ref().is_some_and(|it| agreement.revision < it.revision) {
            return;
        }
        self.agreement = Some(agreement);
        for id in self.queue.ids() {
            let Some(soft) = self.queue.get(id) else { continue };
            let (was_urgent, since) = (soft.urgent, soft.queued_since);
            let is_delayed = matches!(soft.step, Step::Delayed { .. });
            let urgent = self.is_urgent(id);
            if urgent != was_urgent {
                self.queue.set_rank(id, urgent, since);
            }
            if is_delayed {
                self.set_step(id, Step::Ready);
            }
        }
    }

    /// Changes a job's step and its deadline.
    pub(super) fn set_step(&mut self, id: JobId, step: Step) {
        self.queue.set_step(id, step);
        self.schedule(id);
    }

    /// Forgets what was remembered of a job and gives its reservation back.
    pub(super) fn drop_soft(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        self.timers.set(id, None);
        if let Some(Step::Asked { group, .. }) = self.queue.remove(id) {
            let attempt = self.latest(id).map_or(AttemptNumber(1), |it| attempts(it).next());
            to_group(&group, ShardToGroup::Release { task: TaskId { job: id, attempt } }, out);
        }
    }

    /// Gives back every reservation that was asked for and not yet bound.
    pub(super) fn release_asked(&mut self, out: &mut Vec<ShardAction>) {
        for id in self.queue.ids() {
            if let Some(Step::Asked { group, .. }) = self.queue.get(id).map(|it| it.step.clone()) {
                self.release(id, &group, out);
                self.set_step(id, Step::Ready);
            }
        }
    }

    fn release(&mut self, id: JobId, group: &GroupId, out: &mut Vec<ShardAction>) {
        if let Some(job) = self.latest(id) {
            let task = TaskId { job: id, attempt: attempts(job).next() };
            to_group(group, ShardToGroup::Release { task }, out);
        }
    }

    pub(super) fn schedule(&mut self, id: JobId) {
        let deadline = self.next_wake(id);
        self.timers.set(id, deadline);
    }

    fn next_wake(&self, id: JobId) -> Option<Timestamp> {
        let (job, soft) = (self.latest(id)?, self.queue.get(id)?);
        let own = job.spec.deadline.unwrap_or(Timestamp::MAX);
        match (&job.state, &soft.step) {
            (JobState::Done { .. }, _) => None,
            (JobState::Bound { place: Place::Upstream { deadline, .. }, .. }, _) => {
                Some(self.attempt_over_at(id, *deadline))
            }
            (JobState::Bound { .. }, Step::Held { resend_at, .. }) => *resend_at,
            (JobState::Bound { .. }, _) => None,
            (_, Step::Asked { until, .. }) | (_, Step::Delayed { until, .. }) => {
                Some(own.min(*until))
            }
            (_, Step::Ready) => job.spec.deadline,
            (_, Step::Idle | Step::Held { .. }) => {
                Some(job.accepted_at.plus_ms(self.cfg.retention_ms))
            }
        }
    }

    /// Handles every job whose deadline has passed.
    pub(super) fn wake_jobs(&mut self, out: &mut Vec<ShardAction>) {
        while let Some(id) = self.timers.pop_due(self.now) {
            self.wake_job(id, out);
        }
    }

    fn wake_job(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return };
        let Some(soft) = self.queue.get(id) else { return };
        match (&job.state, soft.step.clone()) {
            (JobState::Bound { place: Place::Upstream { .. }, .. }, _) => {
                self.end_service_attempt(id, out);
            }
            (JobState::Bound { .. }, _) => self.resend(id, out),
            (JobState::Queued { .. }, Step::Idle) => self.expire(id, out),
            (JobState::Queued { .. }, step) => {
                if job.spec.deadline.is_some_and(|it| it <= self.now) {
                    return self.expire(id, out);
                }
                if let Step::Asked { group, .. } = step {
                    self.release(id, &group, out);
                    self.refused_by(id, group, self.now.plus_ms(self.cfg.reserve_timeout_ms));
                }
                self.set_step(id, Step::Ready);
            }
            (JobState::Done { .. }, _) => {}
        }
    }

    pub(super) fn refused_by(&mut self, id: JobId, group: GroupId, until: Timestamp) {
        if let Some(soft) = self.queue.get_mut(id) {
            soft.refused_by.retain(|(it, _)| *it != group);
            soft.refused_by.push((group, until));
        }
    }

    /// Ends a queued job that its caller no longer waits for.
    fn expire(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return };
        let detail = "the deadline passed while the job waited for a place";
        let refusal = match attempts(job) {
            AttemptNumber(0) => Refusal::not_run(RefusalReason::DeadlineExceeded, detail),
            _ => Refusal::may_have_run(RefusalReason::DeadlineExceeded, detail),
        };
        self.finish(id, Outcome::Failed { refusal }, Vec::new(), Origin::Keep, out);
    }

    /// Ends a job.
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
        let Place::Worker { group, worker, epoch } = place.clone() else { return };
        let (spec, resume_from) = (latest.spec.as_ref().clone(), resume_from.clone());
        let start = ShardToGroup::Start { task, worker, epoch, spec, resume_from };
        to_group(&group, start, out);
        let is_first = !self.was_started_here(task.job);
        if is_first {
            self.hold(task.job, 0, true);
        }
    }

    /// Sets when a message about a bound attempt is repeated.
    pub(super) fn hold(&mut self, id: JobId, tries: u32, started_here: bool) {
        let (first, most) = (self.cfg.resend_ms, self.cfg.resend_max_ms);
        let delay = first.saturating_mul(1 << tries.min(16)).min(most);
        let resend_at = Some(self.now.plus_ms(delay));
        self.set_step(id, Step::Held { resend_at, tries: tries + 1, started_here });
    }

    /// Notes a sign of life of an attempt: its start need not be repeated.
    pub(super) fn confirm(&mut self, id: JobId) {
        let is_cancelling = self
            .latest(id)
            .is_some_and(|it| matches!(it.state, JobState::Bound { cancelling: true, .. }));
        if !is_cancelling {
            self.set_step(id, Step::Held { resend_at: None, tries: 0, started_here: true });
        }
    }

    /// Repeats the last message about a bound attempt.
    fn resend(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(Step::Held { tries, started_here, .. }) =
            self.queue.get(id).map(|it| it.step.clone())
        else {
            return;
        };
        let Some(job) = self.committed.get(id) else { return self.hold(id, tries, started_here) };
        let JobState::Bound { attempt, place, cancelling, .. } = &job.state else {
            return self.hold(id, tries, started_here);
        };
        let Place::Worker { group, worker, epoch } = place.clone() else { return };
        let (task, cancelling) = (TaskId { job: id, attempt: *attempt }, *cancelling);
        if cancelling {
            let mode = StopMode::Kill;
            to_group(&group, ShardToGroup::Stop { task, worker, mode }, out);
            return self.hold(id, tries, started_here);
        }
        // After a change of the group's owner only the whole list is safe: the
        // new owner may not know yet that the attempt is already running.
        if started_here && self.groups.epoch(&group).is_none_or(|it| it == epoch) {
            self.hold(id, tries, true);
            return self.start(task, out);
        }
        self.reconcile_again(&group);
        if tries < MAX_RELISTS {
            self.hold(id, tries, false);
        } else {
            self.set_step(id, Step::Held { resend_at: None, tries, started_here: false });
        }
    }

    /// Does what follows when records of a job became durable.
    pub(super) fn after_commit(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        if let Some(job) = self.committed.get(id)
            && let JobState::Done { forget_at, .. } = job.state
        {
            self.retention.insert((forget_at, id));
            self.notify_done(id, out);
        }
    }

    /// Forgets jobs whose retention is over.
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
