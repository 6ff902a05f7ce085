//! Suspected tasks that start without isolation.
//!
//! Isolation protects other work from a task that may crash its worker. It is
//! bounded, so the more tasks are suspected, the longer the last of them would
//! wait, and nearly all are sound. A task against which there is little is
//! therefore started among others if no worker can be isolated for it now and
//! nothing runs of what it belongs to. A task that crashes its workers is thus
//! beside others in its second crash as in its first, and is isolated alone from
//! then on.

use std::collections::{BTreeMap, BTreeSet};

use super::{FailedSearches, MAX_SEARCHES, SEARCH_PAUSE_MS, Suspicion};
use crate::{
    fleet::{
        id::{SubmissionId, TaskKey},
        planner::{Planner, blocked, work::WorkerIndex},
    },
    time::Timestamp,
};

/// Most tasks that are started in one round, each of which scores all workers.
const MAX_STARTED: usize = 32;

impl Planner {
    /// Starts the suspected tasks that need not wait for isolation: of a
    /// submission one at a time, since users ask for a run of it only, but of a
    /// long-running step all.
    pub(in crate::fleet::planner) fn start_released(
        &mut self,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) {
        if self.suspects.tasks.is_empty() || schedulable.is_empty() {
            return;
        }
        let mut begun: BTreeSet<SubmissionId> = BTreeSet::new();
        let mut open_pools: BTreeMap<String, bool> = BTreeMap::new();
        let mut failed = FailedSearches::default();
        let (mut started, mut searches) = (0, 0);
        for task in self.waiting_suspects(now) {
            if started == MAX_STARTED || searches == MAX_SEARCHES {
                break;
            }
            let id = task.step.submission;
            if begun.contains(&id)
                || !self.is_released(task, now)
                || !self.is_pool_open(task, &mut open_pools)
                || self.is_ruled_out(task, &mut failed, now)
            {
                continue;
            }
            if self.start_among_others(task, schedulable, now) {
                started += 1;
                if !self.is_long_running(task) {
                    begun.insert(id);
                }
            } else {
                searches += 1;
                self.set_try_at(task, now.plus_ms(SEARCH_PAUSE_MS));
                self.search_failed(task, schedulable, false, &mut failed, now);
            }
        }
    }

    /// Returns whether a suspected task need not wait for isolation.
    fn is_released(&self, task: TaskKey, now: Timestamp) -> bool {
        self.is_idle(task, now) && self.suspicion(task).is_some_and(Suspicion::is_weak)
    }

    /// Returns whether users miss a run of what a task belongs to: its submission,
    /// or if it is long-running the task itself.
    pub(super) fn is_idle(&self, task: TaskKey, now: Timestamp) -> bool {
        let id = task.step.submission;
        self.waits.is_overdue(task, now)
            || (self.blocked.is_blocked(id, now)
                && self.work.get(&id).is_some_and(|it| !blocked::is_starting(it, now)))
    }

    /// Returns whether a task may start on its pool: best-effort work that is
    /// blocked only while the pool is mostly unreserved, which `open` remembers.
    fn is_pool_open(&self, task: TaskKey, open: &mut BTreeMap<String, bool>) -> bool {
        let Some(work) = self.work.get(&task.step.submission) else { return false };
        let service = &work.queue.service;
        let spec = &work.submission.steps[usize::from(task.step.step)];
        if spec.is_best_effort && !open.contains_key(service) {
            open.insert(service.clone(), self.may_start_starved(service));
        }
        !spec.is_best_effort || open[service]
    }

    fn is_long_running(&self, task: TaskKey) -> bool {
        let work = self.work.get(&task.step.submission);
        work.is_some_and(|it| it.submission.steps[usize::from(task.step.step)].is_long_running)
    }

    /// Starts a suspected task among others, preferably on a host that has not
    /// crashed. Returns whether it fits anywhere.
    fn start_among_others(
        &mut self,
        task: TaskKey,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> bool {
        let Some(work) = self.work.get(&task.step.submission) else { return false };
        let submission = work.submission.clone();
        let spec = &submission.steps[usize::from(task.step.step)];
        let Some(mut pending) = self.single_task(task, now) else { return false };
        pending.is_withheld = true;
        pending.is_released = true;
        let chosen = self.allocate_tasks(&mut pending, spec, schedulable, &[], now);
        if chosen.is_empty() {
            return false;
        }
        self.start(&submission, &pending, &chosen, now);
        true
    }
}
