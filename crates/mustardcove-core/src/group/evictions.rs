//! Evictions: those chosen by the policy, those required by a lowered cap, and
//! those that move tasks off workers that are leaving.
//!
//! Every eviction takes a checkpoint and stops the task. It is reported only
//! after the worker has reported the task as stopped. A watcher is stopped
//! only once capacity for its next attempt is held on another worker.

use super::{
    Group, GroupAction,
    config::EVICTION_INTERVAL_MS,
    task::{Task, TaskState},
};
use crate::{
    class::ClassKind,
    id::{AttemptNumber, MemberId, TaskId},
    placement::{PlacementPolicy, PlacementRequest},
    size::Resources,
    time::Timestamp,
    worker::StopMode,
};

/// Time for which capacity is held for a watcher that is being moved, in
/// milliseconds. It covers the checkpoint, the stop and the shard's
/// write.
const MOVE_HOLD_MS: u64 = 20_000;

/// Time for which the capacity is held after the current attempt ended, in
/// milliseconds. The shard requests it as soon as it has recorded the end.
const ENDED_HOLD_MS: u64 = 5_000;

impl<P: PlacementPolicy> Group<P> {
    /// Runs an eviction round if one is due.
    pub(super) fn run_evictions(&mut self, out: &mut Vec<GroupAction>) {
        if self.evict_at.is_none_or(|it| self.now < it) {
            return;
        }
        self.evict_at = Some(self.now.plus_ms(EVICTION_INTERVAL_MS));
        if !self.is_ready() {
            return;
        }
        self.drain_leaving_workers(out);
        self.evict_excess(out);
        let mut waiting: Vec<PlacementRequest> =
            self.waiting.iter().map(|it| it.request.clone()).collect();
        // Evicting for a request that exceeds its member's allotment would not
        // let it start.
        waiting.retain(|it| self.quotas.fits(&it.member, it.resources));
        waiting.sort_by_key(|it| (!it.urgent, it.queued_since));
        let choices =
            self.policy.choose_evictions(self.now, &self.classes, &self.fleet.views, &waiting);
        for choice in choices {
            if self.is_evictable(choice.task, self.now) {
                self.evict(choice.task, out);
            } else if !self.is_class_evictable(choice.task) {
                self.stats.policy_errors += 1;
            }
        }
    }

    fn is_class_evictable(&self, task: TaskId) -> bool {
        let spec = self.tasks.get(&task).and_then(|it| it.spec.as_ref());
        spec.is_some_and(|it| self.classes.get(it.class).evictable)
    }

    /// Reports whether a task may be evicted now. A policy cannot know whether
    /// its start was confirmed or a shard claims it, so a choice that is
    /// rejected here is not an error of the policy.
    fn is_evictable(&self, task: TaskId, now: Timestamp) -> bool {
        let Some(it) = self.tasks.get(&task) else { return false };
        let Some(spec) = &it.spec else { return false };
        let view = self
            .fleet
            .position(&it.worker)
            .and_then(|at| self.fleet.views[at].tasks.iter().find(|it| it.task == task));
        it.is_running()
            && it.claimed
            && it.stop.is_none()
            && self.classes.get(spec.class).evictable
            && view.is_some_and(|it| it.immune_until <= now)
    }

    /// Starts the eviction of a task and reports whether it did. A watcher
    /// first needs capacity on another worker.
    fn evict(&mut self, task: TaskId, out: &mut Vec<GroupAction>) -> bool {
        let Some(spec) = self.tasks.get(&task).and_then(|it| it.spec.clone()) else {
            return false;
        };
        let kind = self.classes.get(spec.class).kind;
        if kind == ClassKind::Watcher && !self.hold_on_other_worker(task) {
            return false;
        }
        self.stats.evictions += 1;
        self.stop_task(task, StopMode::Checkpoint, out);
        true
    }

    /// Holds capacity on another worker for the next attempt of a task. It is
    /// charged to the member's allotment only once the current attempt has
    /// ended, because the two attempts never run at the same time.
    fn hold_on_other_worker(&mut self, task: TaskId) -> bool {
        let Some(it) = self.tasks.get(&task) else { return false };
        let Some(spec) = it.spec.clone() else { return false };
        let worker = it.worker.clone();
        let next = next_attempt(task);
        if self.tasks.contains_key(&next) {
            return false;
        }
        let Some(from) = self.fleet.position(&worker) else { return false };
        let request = PlacementRequest {
            task: next,
            class: spec.class,
            member: spec.member,
            resources: spec.resources,
            expected_run_ms: self.classes.get(spec.class).expected_run_ms,
            urgent: false,
            avoid_workers: vec![worker],
            queued_since: self.now,
        };
        let accepting = std::mem::replace(&mut self.fleet.views[from].accepting, false);
        let choice = self.choose(&request);
        self.fleet.views[from].accepting = accepting;
        let Some(at) = choice.filter(|it| *it != from) else { return false };
        let until = self.now.plus_ms(MOVE_HOLD_MS);
        self.place(at, &request, TaskState::Held { until }, false);
        true
    }

    /// Charges the capacity held for the next attempt to the allotment that
    /// the ended attempt has released, or releases the capacity if there will
    /// be no next attempt.
    pub(super) fn finish_move(&mut self, task: TaskId, finished: bool) {
        let next = next_attempt(task);
        let held = |it: &Task| matches!(it.state, TaskState::Held { .. }) && !it.allotted;
        if !self.tasks.get(&next).is_some_and(held) {
            return;
        }
        if finished {
            self.remove_task(next);
            return;
        }
        self.charge_allotment(next);
        let until = self.now.plus_ms(ENDED_HOLD_MS);
        if let Some(it) = self.tasks.get_mut(&next) {
            it.state = TaskState::Held { until };
        }
        self.set_timer(next, Some(until));
    }

    /// Reports whether a held attempt is the target of a move: the attempt
    /// before it is still being stopped.
    pub(super) fn is_move_target(&self, next: TaskId) -> bool {
        let attempt = AttemptNumber(next.attempt.0.saturating_sub(1));
        let before = self.tasks.get(&TaskId { job: next.job, attempt });
        before.is_some_and(|it| it.may_run() && it.stop.is_some())
    }

    /// Extends the hold of a move target, because the stop that was sent
    /// cannot be undone.
    pub(super) fn extend_hold(&mut self, next: TaskId) {
        self.set_timer(next, Some(self.now.plus_ms(ENDED_HOLD_MS)));
    }

    /// Evicts the evictable tasks of workers that are leaving.
    fn drain_leaving_workers(&mut self, out: &mut Vec<GroupAction>) {
        let leaving = self.fleet.workers.iter().filter(|it| it.leaving);
        let tasks: Vec<TaskId> = leaving.flat_map(|it| it.tasks.iter().copied()).collect();
        for task in tasks {
            // Immunity only limits how often a task is moved. A task on a
            // leaving worker would be lost.
            if self.is_evictable(task, Timestamp::MAX) {
                self.evict(task, out);
            }
        }
    }

    /// Evicts tasks of members whose usage exceeds a lowered cap, where the
    /// agreement allows it. The most recently started tasks are evicted first,
    /// because they lose the least work.
    fn evict_excess(&mut self, out: &mut Vec<GroupAction>) {
        for (member, excess) in self.quotas.evictable_excess() {
            let mut candidates = self.excess_candidates(&member);
            candidates.sort_by_key(|(started_at, task, _)| (std::cmp::Reverse(*started_at), *task));
            let stopping = self.stopping_resources(&member);
            let mut left = excess.saturating_sub(stopping);
            for (_, task, resources) in candidates {
                if left.is_zero() {
                    break;
                }
                if self.evict(task, out) {
                    left = left.saturating_sub(resources);
                }
            }
        }
    }

    fn excess_candidates(&self, member: &MemberId) -> Vec<(Timestamp, TaskId, Resources)> {
        let tasks = self.fleet.views.iter().flat_map(|it| &it.tasks);
        let of_member = tasks.filter(|it| it.member == *member && !it.stopping);
        // A watcher evicted to meet a cap would find no allotment to run again
        // and stay stopped for a long time.
        let batch = of_member.filter(|it| self.classes.get(it.class).kind == ClassKind::Batch);
        let evictable = batch.filter(|it| self.is_evictable(it.task, Timestamp::MAX));
        evictable.map(|it| (it.started_at, it.task, it.resources)).collect()
    }

    fn stopping_resources(&self, member: &MemberId) -> Resources {
        let tasks = self.fleet.views.iter().flat_map(|it| &it.tasks);
        let stopping = tasks.filter(|it| it.member == *member && it.stopping);
        stopping.fold(Resources::ZERO, |sum, it| sum.saturating_add(it.resources))
    }
}

fn next_attempt(task: TaskId) -> TaskId {
    TaskId { job: task.job, attempt: AttemptNumber(task.attempt.0.saturating_add(1)) }
}
