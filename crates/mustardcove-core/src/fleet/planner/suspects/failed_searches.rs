//! What the searches of a round that found no worker show about other tasks.
//!
//! A search looks at each worker, so there are few in a round. When hundreds of
//! suspected tasks fit on no worker, a search for each of them would keep those
//! waiting that fit. A failed search therefore answers for all tasks for which
//! capacity is too scarce as well, and for those that need at least as much of
//! the same. Within a round, capacity is only taken, so the answer holds until
//! its end.

use std::{collections::BTreeSet, sync::Arc};

use super::super::{
    Planner,
    choice::PendingTasks,
    placement,
    work::{Work, WorkerIndex},
};
use crate::{
    fleet::{
        id::{StepKey, TaskKey},
        submission::{StepSpec, Submission},
    },
    size::Resources,
    time::Timestamp,
};

/// Most different capacities that are compared with the demand of a task.
const MAX_ROOMS: usize = 32;

/// The searches of a round that found no worker.
#[derive(Debug, Default)]
pub(super) struct FailedSearches {
    searches: Vec<FailedSearch>,
    /// Steps whose tasks find no worker.
    steps: BTreeSet<StepKey>,
}

/// A search that found no worker.
#[derive(Debug)]
struct FailedSearch {
    submission: Arc<Submission>,
    step: u16,
    service: String,
    needs_ticket: bool,
    is_starved: bool,
    may_use_suspended: bool,
    /// The capacities of the eligible workers that a task could use; `None` if
    /// they differ too much.
    rooms: Option<Vec<Resources>>,
}

impl FailedSearch {
    fn spec(&self) -> &StepSpec {
        &self.submission.steps[usize::from(self.step)]
    }

    /// Returns whether no worker has capacity for a task.
    fn lacks_room(&self, spec: &StepSpec) -> bool {
        let needed = spec.allocation();
        let has_room = |it: &Vec<Resources>| it.iter().any(|it| needed.fits_in(*it));
        self.rooms.as_ref().is_some_and(|it| !has_room(it))
    }

    /// Returns whether a task finds no worker, since it needs at least as much of
    /// the same and may use no more workers.
    fn is_harder(&self, pending: &PendingTasks, spec: &StepSpec) -> bool {
        let failed = self.spec();
        // A ticket and a limit for each worker belong to one step.
        let is_general = failed.max_per_worker.is_none() && !self.needs_ticket;
        let may_use_more = (pending.is_starved && !self.is_starved)
            || (pending.may_use_suspended && !self.may_use_suspended);
        // Only best-effort work is kept from a worker by its image.
        let is_same_kind = failed.is_best_effort == spec.is_best_effort
            && (!spec.is_best_effort || failed.image == spec.image);
        is_general && is_same_kind && !may_use_more && failed.demand.fits_in(spec.demand)
    }

    fn rules_out(&self, work: &Work, pending: &PendingTasks, spec: &StepSpec) -> bool {
        self.service == work.queue.service
            && self.spec().requirement == spec.requirement
            && (self.lacks_room(spec) || self.is_harder(pending, spec))
    }
}

impl Planner {
    /// Returns whether the failed searches of this round show that a suspected
    /// task finds no worker.
    pub(super) fn is_ruled_out(
        &self,
        task: TaskKey,
        failed: &mut FailedSearches,
        now: Timestamp,
    ) -> bool {
        if failed.searches.is_empty() {
            return false;
        }
        if failed.steps.contains(&task.step) {
            return true;
        }
        let Some(work) = self.work.get(&task.step.submission) else { return false };
        let Some(pending) = self.single_task(task, now) else { return false };
        let spec = &work.submission.steps[usize::from(task.step.step)];
        let is_ruled_out = failed.searches.iter().any(|it| it.rules_out(work, &pending, spec));
        if is_ruled_out {
            failed.steps.insert(task.step);
        }
        is_ruled_out
    }

    /// Records that no worker was found for a suspected task; `may_wait` is
    /// whether it could have waited for the end of batch work.
    pub(super) fn search_failed(
        &self,
        task: TaskKey,
        usable: &[WorkerIndex],
        may_wait: bool,
        failed: &mut FailedSearches,
        now: Timestamp,
    ) {
        let Some(work) = self.work.get(&task.step.submission) else { return };
        let Some(pending) = self.single_task(task, now) else { return };
        let step = task.step.step;
        let spec = &work.submission.steps[usize::from(step)];
        let mut rooms: Vec<Resources> = Vec::new();
        for index in usable.iter().filter(|it| !self.suspects.is_isolated(**it)) {
            let worker = &self.workers[*index];
            if MAX_ROOMS < rooms.len() {
                break;
            }
            if !placement::is_eligible(worker, spec, &work.queue.service) {
                continue;
            }
            let room =
                if may_wait { placement::capacity_after_batch(worker) } else { worker.free() };
            if !rooms.iter().any(|it| room.fits_in(*it)) {
                rooms.retain(|it| !it.fits_in(room));
                rooms.push(room);
            }
        }
        failed.steps.insert(task.step);
        failed.searches.push(FailedSearch {
            submission: work.submission.clone(),
            step,
            service: work.queue.service.clone(),
            needs_ticket: pending.needs_ticket,
            is_starved: pending.is_starved,
            may_use_suspended: pending.may_use_suspended,
            rooms: (rooms.len() <= MAX_ROOMS).then_some(rooms),
        });
    }
}
