//! Takeover: announces the epoch, lists the tasks that workers run, and
//! compares them with the attempts that the shards have bound.
//!
//! A worker that has listed its tasks under this epoch refuses all later calls
//! of earlier owners. A task that it neither lists nor has reported as ended
//! has therefore ended. Outcomes are collected after the listing and before
//! that conclusion, because a task may have ended while its report was not read
//! yet.

use std::collections::BTreeSet;

use super::{
    Group, GroupAction,
    calls::Call,
    capacity::Phase,
    config::{RELIST_INTERVAL_MS, TASK_LEASE_MS},
    task::{Lease, Task, TaskSpec, TaskState},
};
use crate::{
    class::{Class, ClassKind, Delivery},
    id::{ClassId, Incarnation, ShardId, TaskId, WorkerId},
    job::{EndEvidence, JobSpec},
    message::BoundTask,
    placement::PlacementPolicy,
    size::Resources,
    time::{MAX_CLOCK_ERROR_MS, Timestamp},
    worker::{StopMode, TaskStatus},
};

/// Returns the class that is assumed for tasks whose class was removed from
/// the agreement. Its tasks are never repeated and never evicted.
pub(super) fn strictest_class(id: &ClassId) -> Class {
    Class {
        id: id.clone(),
        kind: ClassKind::Batch,
        delivery: Delivery::AtMostOnce,
        service: None,
        urgent: false,
        evictable: false,
        resources: Resources::ZERO,
        expected_run_ms: 0,
        latency_target_ms: 0,
        weight: 1.0,
    }
}

impl<P: PlacementPolicy> Group<P> {
    /// Handles a worker's listing of its tasks under this owner's epoch.
    pub(super) fn on_announced(
        &mut self,
        call: &Call,
        incarnation: Incarnation,
        tasks: &[TaskStatus],
        out: &mut Vec<GroupAction>,
    ) {
        let Some(at) = self.fleet.position(&call.worker) else { return };
        if self.fleet.workers[at].incarnation.is_some_and(|it| incarnation < it) {
            // The answer was sent before the worker restarted, so it is out of
            // date.
            self.fleet.workers[at].phase = Phase::Announce;
            self.fleet.workers[at].call_at = self.now;
            return;
        }
        self.record_incarnation(at, incarnation, out);
        self.fleet.workers[at].announced = true;
        let mut listed = BTreeSet::new();
        for status in tasks {
            listed.insert(status.task);
            self.on_listed(call.sent_at, &call.worker, incarnation, status, out);
        }
        let missing = self.missing_tasks(at, call.sent_at, &listed);
        let worker = &mut self.fleet.workers[at];
        worker.phase = Phase::Collect { missing, listed_at: call.sent_at };
        worker.call_at = self.now;
    }

    /// Returns the tasks that a listing proves to be missing from a worker.
    fn missing_tasks(
        &mut self,
        at: usize,
        listed_at: Timestamp,
        listed: &BTreeSet<TaskId>,
    ) -> Vec<TaskId> {
        let unlisted: Vec<TaskId> = self.fleet.workers[at]
            .tasks
            .iter()
            .filter(|it| !listed.contains(it))
            .copied()
            .collect();
        let mut missing = Vec::new();
        for task in unlisted {
            let Some(it) = self.tasks.get_mut(&task) else { continue };
            let is_missing = match it.state {
                TaskState::Bound => {
                    // From now on only this owner can renew the lease.
                    let until = self.now.plus_ms(TASK_LEASE_MS);
                    it.lease = Lease { from: self.now, until };
                    true
                }
                // A delayed start has no effect once its lease has expired.
                TaskState::Starting => it.lease.until.plus_ms(MAX_CLOCK_ERROR_MS) <= listed_at,
                TaskState::Running => it.confirmed.is_some_and(|(_, when)| when <= listed_at),
                _ => false,
            };
            if is_missing {
                missing.push(task);
            } else if matches!(it.state, TaskState::Ended(_)) && it.charged {
                self.release_resources(task);
            }
        }
        missing
    }

    /// Handles one entry of a listing.
    fn on_listed(
        &mut self,
        listed_at: Timestamp,
        worker: &WorkerId,
        incarnation: Incarnation,
        status: &TaskStatus,
        out: &mut Vec<GroupAction>,
    ) {
        let task = status.task;
        if self.tombstones.get(&task).is_some_and(|ended_at| listed_at <= *ended_at) {
            return;
        }
        let lease = Lease { from: self.now, until: self.now.plus_ms(TASK_LEASE_MS) };
        match self.tasks.get_mut(&task) {
            Some(it) if it.worker != *worker && !it.is_reserved() => {
                // Only a fault outside of this group can place an attempt on
                // two workers.
                self.stats.misplaced += 1;
            }
            Some(it) if matches!(it.state, TaskState::Starting | TaskState::Running) => {
                self.confirm(task, incarnation, out);
            }
            Some(it) if matches!(it.state, TaskState::Ended(_)) => {
                let TaskState::Ended(ended) = &it.state else { return };
                if ended.at < listed_at {
                    // The attempt was reported as ended, so it must be
                    // stopped.
                    self.charge_listed(task, status);
                    self.kill_ended(task, worker, out);
                }
            }
            known => {
                let (claimed, stop) = known
                    .map_or((false, None), |it| (matches!(it.state, TaskState::Bound), it.stop));
                self.remove_task(task);
                let class = self.class_index(&status.class);
                let task_spec =
                    TaskSpec { member: status.member.clone(), class, resources: status.resources };
                let shard = task.job.shard(self.cfg.shards);
                let mut it = Task::new(worker.clone(), shard, Some(task_spec), TaskState::Bound);
                it.claimed = claimed;
                it.lease = lease;
                it.stop = stop;
                self.insert_task(task, it);
                self.charge_listed(task, status);
                self.set_resident(task, true);
                self.confirm(task, incarnation, out);
                if !claimed {
                    self.set_timer(task, Some(self.now));
                }
            }
        }
    }

    /// Charges a task that a worker lists.
    fn charge_listed(&mut self, task: TaskId, status: &TaskStatus) {
        let Some(it) = self.tasks.get(&task) else { return };
        let Some(task_spec) = &it.spec else { return };
        let run_ms = self.classes.get(task_spec.class).expected_run_ms;
        let view = self.running_task(task, it, status.started_at, run_ms, self.now);
        if let Some(view) = view {
            self.charge(task, view, true);
        }
    }

    /// Adds a task to the tables of the group and of its worker.
    pub(super) fn insert_task(&mut self, task: TaskId, it: Task) {
        let at = self.fleet.position_or_insert(self.now, &it.worker);
        self.fleet.workers[at].tasks.insert(task);
        self.tasks.insert(task, it);
    }

    /// Handles a shard's list of all attempts that it has bound in this group.
    pub(super) fn on_reconcile(
        &mut self,
        from: ShardId,
        bound: Vec<BoundTask>,
        out: &mut Vec<GroupAction>,
    ) {
        self.reconciled.insert(from);
        let ids: BTreeSet<TaskId> = bound.iter().map(|it| it.task).collect();
        for it in bound {
            self.on_bound(from, it, out);
        }
        let unclaimed = |(task, it): (&TaskId, &Task)| {
            let unclaimed = it.shard == from && it.is_running() && !ids.contains(task);
            unclaimed.then_some(*task)
        };
        let unclaimed: Vec<TaskId> = self.tasks.iter().filter_map(unclaimed).collect();
        for task in unclaimed {
            if let Some(it) = self.tasks.get_mut(&task) {
                it.claimed = false;
            }
            self.set_timer(task, Some(self.now));
        }
        self.recheck_waiting = true;
    }

    /// Handles the message of a shard that an attempt is bound to a worker.
    pub(super) fn on_bound(&mut self, from: ShardId, bound: BoundTask, out: &mut Vec<GroupAction>) {
        let task = bound.task;
        if self.epoch < bound.epoch {
            self.superseded = true;
            return;
        }
        if self.tombstones.contains_key(&task) {
            return;
        }
        let Some(it) = self.tasks.get_mut(&task) else {
            self.adopt(from, bound, out);
            return;
        };
        match it.state {
            TaskState::Reserved { .. }
                if bound.epoch == self.epoch && bound.worker == it.worker =>
            {
                self.start(bound, out);
            }
            TaskState::Held { .. } | TaskState::Reserved { .. } => {
                self.remove_task(task);
                self.adopt(from, bound, out);
            }
            TaskState::Starting | TaskState::Bound | TaskState::Running => {
                it.claimed = true;
                if bound.cancelling && it.stop.is_none() {
                    self.stop_task(task, StopMode::Kill, out);
                }
            }
            TaskState::Ended(_) => {
                it.claimed = true;
                self.set_timer(task, Some(self.now));
            }
        }
    }

    /// Handles a bound attempt that is not in this owner's tables.
    fn adopt(&mut self, from: ShardId, bound: BoundTask, out: &mut Vec<GroupAction>) {
        let BoundTask { task, worker, epoch, spec, cancelling, .. } = bound;
        if epoch == self.epoch {
            // Every attempt that this owner started stays in its tables until
            // its end is acknowledged, so this one was never started.
            let task_spec = self.task_spec_of(&spec);
            self.insert_task(task, Task::new(worker, from, Some(task_spec), TaskState::Bound));
            if let Some(it) = self.tasks.get_mut(&task) {
                it.claimed = true;
            }
            self.end_as_lost(task, EndEvidence::NeverSent, out);
            return;
        }
        self.add_bound(from, task, worker, Some(&spec), out);
        if cancelling && self.tasks.get(&task).is_some_and(Task::may_run) {
            self.stop_task(task, StopMode::Kill, out);
        }
    }

    /// Adds an attempt that was bound under an earlier epoch. It has ended if
    /// its worker was already listed under this epoch. Otherwise it holds its
    /// resources until the worker is listed or there is other evidence.
    pub(super) fn add_bound(
        &mut self,
        from: ShardId,
        task: TaskId,
        worker: WorkerId,
        spec: Option<&JobSpec>,
        out: &mut Vec<GroupAction>,
    ) {
        let task_spec = spec.map(|it| self.task_spec_of(it));
        let (known, announced) =
            self.fleet.get(&worker).map_or((false, false), |it| (it.known, it.announced));
        let mut it = Task::new(worker.clone(), from, task_spec, TaskState::Bound);
        it.claimed = true;
        if announced {
            it.lease = Lease { from: self.now, until: self.now.plus_ms(TASK_LEASE_MS) };
        }
        let run_ms = spec.map_or(0, |it| it.expected_run_ms);
        let view = self.running_task(task, &it, self.now, run_ms, Timestamp::MAX);
        self.insert_task(task, it);
        if let Some(it) = self.fleet.get_mut(&worker) {
            it.lease_check_at = Some(self.now);
        }
        if known {
            self.end_as_lost(task, EndEvidence::NotListed, out);
        } else if let Some(view) = view {
            self.charge(task, view, true);
        }
    }

    fn task_spec_of(&mut self, spec: &JobSpec) -> TaskSpec {
        let class = self.class_index(&spec.class);
        TaskSpec { member: spec.member.clone(), class, resources: spec.resources }
    }

    /// Records a worker's incarnation. A new incarnation runs none of the
    /// tasks that an earlier one confirmed, and has to be listed again.
    pub(super) fn record_incarnation(
        &mut self,
        at: usize,
        incarnation: Incarnation,
        out: &mut Vec<GroupAction>,
    ) {
        let worker = &mut self.fleet.workers[at];
        match worker.incarnation {
            Some(known) if incarnation <= known => return,
            known => worker.incarnation = Some(incarnation).or(known),
        }
        worker.last_sequence = 0;
        worker.unacknowledged.clear();
        worker.known = false;
        worker.phase = Phase::Announce;
        worker.call_at = self.now;
        let tasks: Vec<TaskId> = worker.tasks.iter().copied().collect();
        for task in tasks {
            let Some(it) = self.tasks.get(&task) else { continue };
            let lost = it.is_running() && it.confirmed.is_some_and(|(old, _)| old < incarnation);
            if lost {
                self.end_as_lost(task, EndEvidence::NewIncarnation, out);
            }
        }
        self.fleet.refresh_acceptance(at, &self.health);
    }

    /// Concludes a listing after the outcomes were collected.
    pub(super) fn conclude_listing(
        &mut self,
        at: usize,
        missing: Vec<TaskId>,
        listed_at: Timestamp,
        out: &mut Vec<GroupAction>,
    ) {
        // This listing also decides on attempts that a shard reported as bound
        // after it was read: had they been listed, they would be running now.
        let bound = |task: &&TaskId| {
            self.tasks.get(task).is_some_and(|it| matches!(it.state, TaskState::Bound))
        };
        let bound: Vec<TaskId> =
            self.fleet.workers[at].tasks.iter().filter(bound).copied().collect();
        for task in bound.into_iter().chain(missing) {
            let is_lost = self.tasks.get(&task).is_some_and(|it| match it.state {
                TaskState::Bound | TaskState::Starting => true,
                TaskState::Running => it.confirmed.is_some_and(|(_, when)| when <= listed_at),
                _ => false,
            });
            if is_lost {
                self.end_as_lost(task, EndEvidence::NotListed, out);
            }
        }
        let now = self.now;
        let starting = |task: &TaskId| {
            let it = self.tasks.get(task)?;
            matches!(it.state, TaskState::Starting).then_some(it.lease.until)
        };
        let worker = &self.fleet.workers[at];
        let relist_at = worker.tasks.iter().filter_map(starting).min().map(|lease_until| {
            let expired_at = lease_until.plus_ms(MAX_CLOCK_ERROR_MS);
            now.plus_ms(RELIST_INTERVAL_MS).min(expired_at.max(now.plus_ms(1)))
        });
        let worker = &mut self.fleet.workers[at];
        worker.known = true;
        worker.phase = Phase::Renew;
        worker.relist_at = relist_at;
        self.recheck_waiting = true;
        self.fleet.refresh_acceptance(at, &self.health);
    }
}
