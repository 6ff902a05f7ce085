//! Evictions: those that the policy chooses, those that a lower cap needs, and
//! the moves away from workers that leave.
//!
//! Every eviction is a checkpoint and a stop, and is reported only when the
//! worker says that the task stopped. A watcher is stopped only when a place
//! for its next attempt is held on another worker.

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

/// How long a place for a moving watcher is held, in milliseconds. It covers
/// the checkpoint, the stop and the record of the shard.
const MOVE_HOLD_MS: u64 = 20_000;

/// How long the place is held after the present attempt ended, in
/// milliseconds; its shard asks for it as soon as the end is recorded.
const SETTLE_MS: u64 = 5_000;

impl<P: PlacementPolicy> Group<P> {
    /// Evicts what has to go.
    pub(super) fn run_evictions(&mut self, out: &mut Vec<GroupAction>) {
        if self.evict_at.is_none_or(|it| self.now < it) {
            return;
        }
        self.evict_at = Some(self.now.plus_ms(EVICTION_INTERVAL_MS));
        if !self.is_ready() {
            return;
        }
        self.leave_workers(out);
        self.evict_excess(out);
        let mut waiting: Vec<PlacementRequest> =
            self.waiting.iter().map(|it| it.request.clone()).collect();
        // An eviction for a request that its allotment forbids is in vain.
        waiting.retain(|it| self.quotas.fits(&it.member, it.resources));
        waiting.sort_by_key(|it| (!it.urgent, it.queued_since));
        let choices = self.policy.evictions(self.now, &self.classes, &self.fleet.views, &waiting);
        for choice in choices {
            if self.is_evictable(choice.task, self.now) {
                self.evict(choice.task, out);
            } else if !self.is_class_evictable(choice.task) {
                self.stats.policy_errors += 1;
            }
        }
    }

    fn is_class_evictable(&self, task: TaskId) -> bool {
        let terms = self.tasks.get(&task).and_then(|it| it.terms.as_ref());
        terms.is_some_and(|it| self.classes.get(it.class).evictable)
    }

    /// Reports whether a task may be evicted. A policy cannot know whether a
    /// start was confirmed or a shard claims the task, so a choice that fails
    /// here is no error of the policy.
    fn is_evictable(&self, task: TaskId, now: Timestamp) -> bool {
        let Some(it) = self.tasks.get(&task) else { return false };
        let Some(terms) = &it.terms else { return false };
        let view = self
            .fleet
            .position(&it.worker)
            .and_then(|at| self.fleet.views[at].tasks.iter().find(|it| it.task == task));
        it.is_running()
            && it.claimed
            && it.stop.is_none()
            && self.classes.get(terms.class).evictable
            && view.is_some_and(|it| it.immune_until <= now)
    }

    /// Begins an eviction; a watcher first needs a place elsewhere.
    fn evict(&mut self, task: TaskId, out: &mut Vec<GroupAction>) -> bool {
        let Some(terms) = self.tasks.get(&task).and_then(|it| it.terms.clone()) else {
            return false;
        };
        let kind = self.classes.get(terms.class).kind;
        if kind == ClassKind::Watcher && !self.hold_elsewhere(task) {
            return false;
        }
        self.stats.evictions += 1;
        self.stop_task(task, StopMode::Checkpoint, out);
        true
    }

    /// Holds a place on another worker for the next attempt of a task. The
    /// place counts against the member's allotment only once the present
    /// attempt has ended, because the two never run together.
    fn hold_elsewhere(&mut self, task: TaskId) -> bool {
        let Some(it) = self.tasks.get(&task) else { return false };
        let Some(terms) = it.terms.clone() else { return false };
        let worker = it.worker.clone();
        let next = next_attempt(task);
        if self.tasks.contains_key(&next) {
            return false;
        }
        let Some(from) = self.fleet.position(&worker) else { return false };
        let request = PlacementRequest {
            task: next,
            class: terms.class,
            member: terms.member,
            resources: terms.resources,
            expected_run_ms: self.classes.get(terms.class).expected_run_ms,
            urgent: false,
            avoid: vec![worker],
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

    /// Lets the place held for the next attempt take over the allotment of an
    /// attempt that ended, or gives it up if there will be no next attempt.
    pub(super) fn settle_move(&mut self, task: TaskId, finished: bool) {
        let next = next_attempt(task);
        let held = |it: &Task| matches!(it.state, TaskState::Held { .. }) && !it.allotted;
        if !self.tasks.get(&next).is_some_and(held) {
            return;
        }
        if finished {
            self.remove_task(next);
            return;
        }
        self.allot(next);
        let until = self.now.plus_ms(SETTLE_MS);
        if let Some(it) = self.tasks.get_mut(&next) {
            it.state = TaskState::Held { until };
        }
        self.set_timer(next, Some(until));
    }

    /// Reports whether the attempt before a held one is still being stopped.
    pub(super) fn is_moving_here(&self, next: TaskId) -> bool {
        let attempt = AttemptNumber(next.attempt.0.saturating_sub(1));
        let before = self.tasks.get(&TaskId { job: next.job, attempt });
        before.is_some_and(|it| it.may_run() && it.stop.is_some())
    }

    /// Holds a place longer; the stop that needs it cannot be taken back.
    pub(super) fn extend_hold(&mut self, next: TaskId) {
        self.set_timer(next, Some(self.now.plus_ms(SETTLE_MS)));
    }

    /// Moves evictable tasks away from workers that leave.
    fn leave_workers(&mut self, out: &mut Vec<GroupAction>) {
        let leaving = self.fleet.workers.iter().filter(|it| it.leaving);
        let tasks: Vec<TaskId> = leaving.flat_map(|it| it.tasks.iter().copied()).collect();
        for task in tasks {
            // Immunity protects against repeated moves, not from the loss of
            // the worker.
            if self.is_evictable(task, Timestamp::MAX) {
                self.evict(task, out);
            }
        }
    }

    /// Evicts work of members that hold more than a lower cap leaves them,
    /// where the agreement allows it. The latest starts go first: they lose
    /// the least.
    fn evict_excess(&mut self, out: &mut Vec<GroupAction>) {
        for (member, excess) in self.quotas.excess() {
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
        // Stopping a watcher to get under a cap would end it for long.
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
