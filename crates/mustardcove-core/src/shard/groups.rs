//! Groups as known to a shard, and the choice of the group that is asked for a
//! reservation.
//!
//! Two groups with enough free capacity are sampled, and the one with more
//! headroom is asked. Always asking the group with the most headroom would send
//! the work of all shards to one group until its next summary. For the same
//! reason, requested capacity is subtracted from the shard's copy of the
//! summary.

use std::collections::BTreeMap;

use rand::RngExt;

use super::{Shard, ShardAction, queue::Step, send_to_group};
use crate::{
    id::{Epoch, GroupId, JobId, TaskId},
    job::{AttemptLocation, JobState},
    ledger::Job,
    message::{BoundTask, GroupSummary, ReserveRequest, ShardToGroup},
    size::Resources,
    time::Timestamp,
};

/// Most delayed jobs that one summary with free capacity makes ready.
const MAX_WOKEN_PER_SUMMARY: usize = 64;

/// First and longest delay of a job for which no group has enough capacity, in
/// milliseconds.
const PLACEMENT_BACKOFF_MS: (u64, u64) = (1000, 8000);

#[derive(Debug)]
pub(super) struct KnownGroup {
    pub(super) summary: GroupSummary,
    /// Free capacity of the summary, less what was requested since.
    free: Resources,
}

#[derive(Debug, Default)]
pub(super) struct Groups {
    pub(super) known: BTreeMap<GroupId, KnownGroup>,
    /// The epoch under which each group was last sent the attempts that are
    /// bound in it, and when.
    reconciled: BTreeMap<GroupId, (Epoch, Timestamp)>,
}

impl Groups {
    pub(super) fn ids(&self) -> impl Iterator<Item = &GroupId> {
        self.known.keys()
    }

    pub(super) fn epoch(&self, group: &GroupId) -> Option<Epoch> {
        self.known.get(group).map(|it| it.summary.epoch)
    }

    /// Reports whether a worker of any known group is large enough for the size,
    /// free or not; true if no group is known.
    pub(super) fn could_fit(&self, size: Resources) -> bool {
        let fits = |it: &KnownGroup| size.fits_in(it.summary.largest_worker);
        self.known.is_empty() || self.known.values().any(fits)
    }

    fn has_capacity(&self, group: &GroupId, size: Resources) -> bool {
        let fits = |it: &KnownGroup| {
            0 < it.summary.workers && size.fits_in(it.summary.largest_free) && size.fits_in(it.free)
        };
        self.known.get(group).is_some_and(fits)
    }
}

/// Returns how many times `size` fits into `free`, in thousandths.
fn headroom(free: Resources, size: Resources) -> u64 {
    let times = |free: u64, size: u64| match size {
        0 => u64::MAX,
        _ => free.saturating_mul(1000) / size,
    };
    times(free.cpu.0, size.cpu.0)
        .min(times(free.memory.0, size.memory.0))
        .min(times(u64::from(free.accelerators.0), u64::from(size.accelerators.0)))
}

impl Shard {
    pub(super) fn on_summary(&mut self, summary: GroupSummary) {
        let group = summary.group.clone();
        if let Some(known) = self.groups.known.get(&group) {
            let (old, new) = (&known.summary, &summary);
            if (new.epoch, new.made_at) < (old.epoch, old.made_at) {
                return;
            }
        }
        let epoch = summary.epoch;
        let known = KnownGroup { free: summary.free, summary };
        let has_capacity = !known.free.is_zero();
        self.groups.known.insert(group.clone(), known);
        if !self.is_ready() {
            return;
        }
        let last_reconciled = self.groups.reconciled.get(&group).map(|(epoch, _)| *epoch);
        if last_reconciled.is_none_or(|it| it < epoch) {
            self.reconcile_when_proven(group.clone());
        }
        if has_capacity {
            for id in self.queue.delayed_for_capacity(MAX_WOKEN_PER_SUMMARY) {
                if self
                    .latest(id)
                    .is_some_and(|it| self.groups.has_capacity(&group, it.spec.resources))
                {
                    self.set_step(id, Step::Ready);
                }
            }
        }
    }

    /// Sends a group every attempt that is durably bound in it. Attempts whose
    /// end is not durable yet are left out, so that the group does not start
    /// them again.
    pub(super) fn reconcile(&mut self, group: &GroupId, out: &mut Vec<ShardAction>) {
        let jobs = self.committed.jobs();
        let bound = jobs.filter_map(|(id, job)| self.bound_task(group, id, job)).collect();
        let epoch = self.groups.epoch(group).unwrap_or_default();
        self.groups.reconciled.insert(group.clone(), (epoch, self.now));
        send_to_group(group, ShardToGroup::Reconcile { bound }, out);
    }

    /// Sends a group the attempts that are bound in it, unless they were sent
    /// less than half of `resend_ms` ago.
    pub(super) fn reconcile_again(&mut self, group: &GroupId) {
        let last_reconciled = self.groups.reconciled.get(group).map(|(_, at)| *at);
        if last_reconciled.is_none_or(|at| self.cfg.resend_ms / 2 <= self.now.ms_since(at)) {
            self.reconcile_when_proven(group.clone());
        }
    }

    fn bound_task(&self, wanted: &GroupId, id: JobId, job: &Job) -> Option<BoundTask> {
        let JobState::Bound { attempt, place, resume_from, cancelling } = &job.state else {
            return None;
        };
        let AttemptLocation::Worker { group, worker, epoch } = place else { return None };
        let has_ended = self.latest(id)?.bound_attempt() != Some(*attempt);
        if group != wanted || has_ended {
            return None;
        }
        Some(BoundTask {
            task: TaskId { job: id, attempt: *attempt },
            worker: worker.clone(),
            epoch: *epoch,
            spec: job.spec.as_ref().clone(),
            resume_from: resume_from.clone(),
            cancelling: *cancelling,
        })
    }

    /// Requests reservations for the ready jobs, urgent ones first. Nothing is
    /// requested during a store outage, because no binding could become durable.
    pub(super) fn place_jobs(&mut self, out: &mut Vec<ShardAction>) {
        if self.is_store_down() || self.groups.known.is_empty() || self.agreement.is_none() {
            return;
        }
        while let Some(id) = self.queue.next_ready(self.cfg.max_open_reservations) {
            self.place(id, out);
        }
    }

    fn place(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return self.untrack(id, out) };
        let JobState::Queued { attempts, .. } = job.state else {
            return self.set_step(id, Step::Idle);
        };
        let spec = std::sync::Arc::clone(&job.spec);
        let (failed_attempts, avoid) = (job.failed_workers() as u32, workers_to_avoid(job));
        let class = self.agreement.as_ref().and_then(|it| it.classes.get(&spec.class));
        let Some(urgent) = class.map(|it| it.urgent) else {
            return self.delay(id, true, "the class is not in the agreement in force");
        };
        let Some(group) = self.choose_group(id, spec.resources, urgent) else {
            let was_refused = self.queue.get(id).is_some_and(|it| !it.refused_by.is_empty());
            let wait_reason = match self.groups.could_fit(spec.resources) {
                false => "no worker of any known group could hold the job",
                // The last group's reason is more specific.
                true if was_refused => self.queue.wait_reason(id),
                true => "no group has room",
            };
            self.delay(id, false, wait_reason);
            if urgent {
                self.retry_when_refusal_expires(id);
            }
            return;
        };
        let queued_since = self.queue.get(id).map_or(self.now, |it| it.queued_since);
        let reserve = ReserveRequest {
            task: TaskId { job: id, attempt: attempts.next() },
            member: spec.member.clone(),
            class: spec.class.clone(),
            resources: spec.resources,
            expected_run_ms: spec.expected_run_ms,
            urgent,
            avoid_workers: avoid,
            failed_attempts,
            queued_since,
        };
        if let Some(known) = self.groups.known.get_mut(&group) {
            known.free = known.free.saturating_sub(spec.resources);
        }
        send_to_group(&group, ShardToGroup::Reserve(reserve), out);
        let until = self.now.plus_ms(self.cfg.reserve_timeout_ms);
        self.set_step(id, Step::Reserving { group, until });
        if urgent {
            self.delay_append_for_placement(id);
        }
    }

    /// Delays a job before groups are asked again. A `fixed` delay is not
    /// shortened when a group reports free capacity.
    pub(super) fn delay(&mut self, id: JobId, fixed: bool, wait_reason: &'static str) {
        let Some(tracked) = self.queue.get_mut(id) else { return };
        tracked.wait_reason = wait_reason;
        let delays = tracked.delays;
        tracked.delays = delays.saturating_add(1);
        let delay = self.backoff(PLACEMENT_BACKOFF_MS.0, PLACEMENT_BACKOFF_MS.1, delays);
        let until = self.now.plus_ms(delay);
        self.set_step(id, Step::Delayed { until, fixed });
    }

    /// Shortens the delay of a job to the earliest time at which a group that
    /// refused it may be asked again: the shortest delay is too long for urgent
    /// work.
    fn retry_when_refusal_expires(&mut self, id: JobId) {
        let Some(tracked) = self.queue.get(id) else { return };
        let retry_at = tracked.refused_by.iter().map(|(_, until)| *until).min();
        if let (Some(retry_at), Step::Delayed { until, fixed }) = (retry_at, &tracked.step)
            && retry_at < *until
        {
            let fixed = *fixed;
            self.set_step(id, Step::Delayed { until: retry_at, fixed });
        }
    }

    /// Samples two groups that may have capacity for the size and returns the
    /// one with more headroom.
    fn choose_group(&mut self, id: JobId, size: Resources, urgent: bool) -> Option<GroupId> {
        let now = self.now;
        if let Some(tracked) = self.queue.get_mut(id) {
            tracked.refused_by.retain(|(_, until)| now < *until);
        }
        let refused = self.queue.get(id).map_or(&[][..], |it| &it.refused_by);
        let may_ask = |it: &&KnownGroup| {
            0 < it.summary.workers && refused.iter().all(|(group, _)| *group != it.summary.group)
        };
        let has_capacity =
            |it: &&KnownGroup| size.fits_in(it.summary.largest_free) && size.fits_in(it.free);
        let known = || self.groups.known.values().filter(may_ask);
        let mut candidates: Vec<&KnownGroup> = known().filter(has_capacity).collect();
        if candidates.is_empty() && urgent {
            // Urgent work may evict other work where no capacity is free.
            candidates = known().filter(|it| size.fits_in(it.summary.largest_worker)).collect();
        }
        if candidates.is_empty() {
            return None;
        }
        let first = self.rng.random_range(0..candidates.len());
        let step =
            if 1 < candidates.len() { self.rng.random_range(1..candidates.len()) } else { 0 };
        let second = (first + step) % candidates.len();
        let better = [candidates[first], candidates[second]]
            .into_iter()
            .max_by_key(|it| headroom(it.free, size))?;
        Some(better.summary.group.clone())
    }
}

fn workers_to_avoid(job: &Job) -> Vec<crate::id::WorkerId> {
    let mut avoid = job.failed_on.clone();
    avoid.sort();
    avoid.dedup();
    avoid
}
