//! Groups as seen from a shard, and the choice of the one to ask.
//!
//! Two groups with room are sampled and the roomier one is asked. Always
//! asking the roomiest would send the work of all shards to one group until
//! its next summary. What was asked for is subtracted from the shard's copy of
//! a summary for the same reason.

use std::collections::BTreeMap;

use rand::RngExt;

use super::{Shard, ShardAction, queue::Step, to_group};
use crate::{
    id::{Epoch, GroupId, JobId, TaskId},
    job::{JobState, Place},
    ledger::Job,
    message::{BoundTask, GroupSummary, ReserveRequest, ShardToGroup},
    size::Resources,
    time::Timestamp,
};

/// Delayed jobs that a summary with free capacity wakes.
const WOKEN_BY_SUMMARY: usize = 64;

/// First and longest delay of a job for which no group has room, in
/// milliseconds.
const DELAY_MS: (u64, u64) = (1000, 8000);

#[derive(Debug)]
pub(super) struct KnownGroup {
    pub(super) summary: GroupSummary,
    free: Resources,
}

#[derive(Debug, Default)]
pub(super) struct Groups {
    pub(super) known: BTreeMap<GroupId, KnownGroup>,
    /// The epoch under which each group was last told what is bound, and when.
    reconciled: BTreeMap<GroupId, (Epoch, Timestamp)>,
}

impl Groups {
    pub(super) fn names(&self) -> impl Iterator<Item = &GroupId> {
        self.known.keys()
    }

    pub(super) fn epoch(&self, group: &GroupId) -> Option<Epoch> {
        self.known.get(group).map(|it| it.summary.epoch)
    }

    /// Reports whether a worker of any known group could hold the size; true
    /// if no group is known.
    pub(super) fn could_hold(&self, size: Resources) -> bool {
        let fits = |it: &KnownGroup| size.fits_in(it.summary.largest_worker);
        self.known.is_empty() || self.known.values().any(fits)
    }

    fn has_room(&self, group: &GroupId, size: Resources) -> bool {
        let fits = |it: &KnownGroup| {
            0 < it.summary.workers && size.fits_in(it.summary.largest_free) && size.fits_in(it.free)
        };
        self.known.get(group).is_some_and(fits)
    }
}

/// Returns how often `size` fits into `free`, in thousandths.
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
        let has_room = !known.free.is_zero();
        self.groups.known.insert(group.clone(), known);
        if !self.is_ready() {
            return;
        }
        let told = self.groups.reconciled.get(&group).map(|(epoch, _)| *epoch);
        if told.is_none_or(|it| it < epoch) {
            self.reconcile_when_proven(group.clone());
        }
        if has_room {
            for id in self.queue.woken_by_room(WOKEN_BY_SUMMARY) {
                if self.latest(id).is_some_and(|it| self.groups.has_room(&group, it.spec.resources))
                {
                    self.set_step(id, Step::Ready);
                }
            }
        }
    }

    /// Tells a group every attempt that is durably bound in it. Attempts whose
    /// end waits to be durable are left out, so that none is started again.
    pub(super) fn reconcile(&mut self, group: &GroupId, out: &mut Vec<ShardAction>) {
        let jobs = self.committed.jobs();
        let bound = jobs.filter_map(|(id, job)| self.bound_task(group, id, job)).collect();
        let epoch = self.groups.epoch(group).unwrap_or_default();
        self.groups.reconciled.insert(group.clone(), (epoch, self.now));
        to_group(group, ShardToGroup::Reconcile { bound }, out);
    }

    /// Tells a group what is bound in it, unless it was told a moment ago.
    pub(super) fn reconcile_again(&mut self, group: &GroupId) {
        let told = self.groups.reconciled.get(group).map(|(_, at)| *at);
        if told.is_none_or(|at| self.cfg.resend_ms / 2 <= self.now.ms_since(at)) {
            self.reconcile_when_proven(group.clone());
        }
    }

    fn bound_task(&self, wanted: &GroupId, id: JobId, job: &Job) -> Option<BoundTask> {
        let JobState::Bound { attempt, place, resume_from, cancelling } = &job.state else {
            return None;
        };
        let Place::Worker { group, worker, epoch } = place else { return None };
        let is_over = self.latest(id)?.bound_attempt() != Some(*attempt);
        if group != wanted || is_over {
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

    /// Asks groups for places, urgent work first, while the store could make
    /// the result durable.
    pub(super) fn place_jobs(&mut self, out: &mut Vec<ShardAction>) {
        if self.is_store_down() || self.groups.known.is_empty() || self.agreement.is_none() {
            return;
        }
        while let Some(id) = self.queue.next_ready(self.cfg.reserve_window) {
            self.place(id, out);
        }
    }

    fn place(&mut self, id: JobId, out: &mut Vec<ShardAction>) {
        let Some(job) = self.latest(id) else { return self.drop_soft(id, out) };
        let JobState::Queued { attempts, .. } = job.state else {
            return self.set_step(id, Step::Idle);
        };
        let spec = std::sync::Arc::clone(&job.spec);
        let (failed_attempts, avoid) = (job.failed_workers() as u32, avoid_list(job));
        let class = self.agreement.as_ref().and_then(|it| it.classes.get(&spec.class));
        let Some(urgent) = class.map(|it| it.urgent) else {
            return self.delay(id, true, "the class is not in the agreement in force");
        };
        let Some(group) = self.choose_group(id, spec.resources, urgent) else {
            let was_refused = self.queue.get(id).is_some_and(|it| !it.refused_by.is_empty());
            let note = match self.groups.could_hold(spec.resources) {
                false => "no worker of any known group could hold the job",
                // The reason that the last group gave says more.
                true if was_refused => self.queue.note(id),
                true => "no group has room",
            };
            self.delay(id, false, note);
            if urgent {
                self.wait_for_refusal(id);
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
            avoid,
            failed_attempts,
            queued_since,
        };
        if let Some(known) = self.groups.known.get_mut(&group) {
            known.free = known.free.saturating_sub(spec.resources);
        }
        to_group(&group, ShardToGroup::Reserve(reserve), out);
        let until = self.now.plus_ms(self.cfg.reserve_timeout_ms);
        self.set_step(id, Step::Asked { group, until });
        if urgent {
            self.hold_for_place(id);
        }
    }

    /// Lets a job wait before groups are asked again.
    pub(super) fn delay(&mut self, id: JobId, hold: bool, note: &'static str) {
        let Some(soft) = self.queue.get_mut(id) else { return };
        soft.note = note;
        let delays = soft.delays;
        soft.delays = delays.saturating_add(1);
        let delay = self.backoff(DELAY_MS.0, DELAY_MS.1, delays);
        let until = self.now.plus_ms(delay);
        self.set_step(id, Step::Delayed { until, hold });
    }

    /// Lets a delayed job ask again as soon as a group that refused it may be
    /// asked again. Urgent work has less time than the shortest delay.
    fn wait_for_refusal(&mut self, id: JobId) {
        let Some(soft) = self.queue.get(id) else { return };
        let again_at = soft.refused_by.iter().map(|(_, until)| *until).min();
        if let (Some(again_at), Step::Delayed { until, hold }) = (again_at, &soft.step)
            && again_at < *until
        {
            let hold = *hold;
            self.set_step(id, Step::Delayed { until: again_at, hold });
        }
    }

    /// Samples two groups that may take the size and returns the roomier one.
    fn choose_group(&mut self, id: JobId, size: Resources, urgent: bool) -> Option<GroupId> {
        let now = self.now;
        if let Some(soft) = self.queue.get_mut(id) {
            soft.refused_by.retain(|(_, until)| now < *until);
        }
        let refused = self.queue.get(id).map_or(&[][..], |it| &it.refused_by);
        let may_ask = |it: &&KnownGroup| {
            0 < it.summary.workers && refused.iter().all(|(group, _)| *group != it.summary.group)
        };
        let has_room =
            |it: &&KnownGroup| size.fits_in(it.summary.largest_free) && size.fits_in(it.free);
        let known = || self.groups.known.values().filter(may_ask);
        let mut found: Vec<&KnownGroup> = known().filter(has_room).collect();
        if found.is_empty() && urgent {
            // Urgent work may displace other work where there is no room.
            found = known().filter(|it| size.fits_in(it.summary.largest_worker)).collect();
        }
        if found.is_empty() {
            return None;
        }
        let first = self.rng.random_range(0..found.len());
        let step = if 1 < found.len() { self.rng.random_range(1..found.len()) } else { 0 };
        let second = (first + step) % found.len();
        let better =
            [found[first], found[second]].into_iter().max_by_key(|it| headroom(it.free, size))?;
        Some(better.summary.group.clone())
    }
}

fn avoid_list(job: &Job) -> Vec<crate::id::WorkerId> {
    let mut avoid = job.failed_on.clone();
    avoid.sort();
    avoid.dedup();
    avoid
}
