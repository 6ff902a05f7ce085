//! Starts and stops of tasks, and the end of attempts.

use super::{
    Group, GroupAction,
    calls::{Call, CallKind},
    config::{
        CALL_TIMEOUT_MS, CONFIRM_RENEW_MS, MAX_OUTCOME_REPEAT_MS, MAX_UNCLAIMED_REPEATS,
        OUTCOME_REPEAT_MS, START_LEASE_MS, STOP_REPEAT_MS, UNCLAIMED_REPEAT_MS,
    },
    task::{Ended, Lease, Stop, Task, TaskState},
};
use crate::{
    class::ClassKind,
    id::{Incarnation, ShardId, TaskId, WorkerId},
    job::EndEvidence,
    message::{BoundTask, GroupToShard},
    placement::{PlacementPolicy, RunningTask},
    time::Timestamp,
    worker::{StopMode, TaskStart, WorkerOp},
};

impl<P: PlacementPolicy> Group<P> {
    /// Sends the start of a reserved task, or reports at once that it was
    /// never sent.
    pub(super) fn start(&mut self, bound: BoundTask, out: &mut Vec<GroupAction>) {
        let task = bound.task;
        let usable = self.fleet.get(&bound.worker).is_some_and(|it| it.is_usable());
        if !self.claim_is_valid() || !usable || bound.cancelling {
            self.end_as_lost(task, EndEvidence::NeverSent, out);
            return;
        }
        let lease = Lease { from: self.now, until: self.now.plus_ms(START_LEASE_MS) };
        let not_after = self.claim_deadline.min(self.now.plus_ms(CALL_TIMEOUT_MS));
        let immune_until = match bound.resume_from {
            Some(_) => self.now.plus_ms(self.cfg.immune_ms),
            None => self.now,
        };
        let start = TaskStart {
            task,
            member: bound.spec.member,
            class: bound.spec.class,
            resources: bound.spec.resources,
            payload: bound.spec.payload,
            resume_from: bound.resume_from,
        };
        let Some(it) = self.tasks.get_mut(&task) else { return };
        it.state = TaskState::Starting;
        it.claimed = true;
        it.lease = lease;
        // Only the reserved resources were charged, so the task may use no
        // more.
        let resources = it.spec.as_ref().map_or(start.resources, |it| it.resources);
        let start = TaskStart { resources, ..start };
        self.set_timer(task, None);
        if let Some(at) = self.fleet.position(&bound.worker) {
            let now = self.now;
            if let Some(it) = self.fleet.committed_mut(at, &task) {
                let run_ms = it.expected_end.ms_since(it.started_at);
                it.started_at = now;
                it.checkpoint_at = now;
                it.expected_end = now.plus_ms(run_ms);
                it.immune_until = immune_until;
            }
        }
        self.set_resident(task, true);
        self.stats.starts += 1;
        self.starts_in_flight += 1;
        let op = WorkerOp::Start { epoch: self.epoch, start, lease_until: lease.until };
        self.call(&bound.worker, CallKind::Start { task }, op, not_after, out);
    }

    /// Handles the confirmation of a start by a worker.
    pub(super) fn on_start_confirmed(
        &mut self,
        call: &Call,
        task: TaskId,
        incarnation: Incarnation,
        out: &mut Vec<GroupAction>,
    ) {
        let Some(at) = self.fleet.position(&call.worker) else { return };
        let is_old = self.fleet.workers[at].incarnation.is_some_and(|it| incarnation < it);
        self.record_incarnation(at, incarnation, out);
        if !self.is_starting(task) {
            return;
        }
        if is_old {
            self.end_as_lost(task, EndEvidence::NewIncarnation, out);
            return;
        }
        self.confirm(task, incarnation, out);
        let soon = self.now.plus_ms(CONFIRM_RENEW_MS);
        let worker = &mut self.fleet.workers[at];
        worker.call_at = worker.call_at.min(soon);
    }

    /// Records that a worker runs a task.
    pub(super) fn confirm(
        &mut self,
        task: TaskId,
        incarnation: Incarnation,
        out: &mut Vec<GroupAction>,
    ) {
        let now = self.now;
        let Some(it) = self.tasks.get_mut(&task) else { return };
        let was_running = it.is_running();
        it.state = TaskState::Running;
        it.confirmed.get_or_insert((incarnation, now));
        let (shard, stopping) = (it.shard, it.stop.is_some());
        if !was_running {
            self.send(shard, GroupToShard::Started { task }, out);
        }
        if stopping {
            self.set_timer(task, Some(now));
        }
    }

    /// Handles the refusal of a start by a worker.
    pub(super) fn on_start_refused(
        &mut self,
        call: &Call,
        task: TaskId,
        detail: Option<String>,
        out: &mut Vec<GroupAction>,
    ) {
        if !self.is_starting(task) {
            return;
        }
        if detail.is_some() {
            self.record_failure(&call.worker.clone(), task);
        }
        self.end_as_lost(task, EndEvidence::RefusedByWorker, out);
    }

    /// Handles a start of which no byte reached the worker.
    pub(super) fn on_start_not_sent(&mut self, task: TaskId, out: &mut Vec<GroupAction>) {
        if self.is_starting(task) {
            self.end_as_lost(task, EndEvidence::NeverSent, out);
        }
    }

    fn is_starting(&self, task: TaskId) -> bool {
        self.tasks.get(&task).is_some_and(|it| matches!(it.state, TaskState::Starting))
    }

    /// Handles a shard's request to stop an attempt.
    pub(super) fn on_stop(
        &mut self,
        from: ShardId,
        task: TaskId,
        worker: WorkerId,
        mode: StopMode,
        out: &mut Vec<GroupAction>,
    ) {
        let Some(it) = self.tasks.get_mut(&task) else {
            if self.tombstones.contains_key(&task) {
                return;
            }
            let known = self.fleet.get(&worker).is_some_and(|it| it.known);
            self.add_bound(from, task, worker, None, out);
            if !known {
                self.stop_task(task, mode, out);
            }
            return;
        };
        match it.state {
            TaskState::Held { .. } => self.remove_task(task),
            TaskState::Reserved { .. } => self.end_as_lost(task, EndEvidence::NeverSent, out),
            TaskState::Ended(_) => self.set_timer(task, Some(self.now)),
            TaskState::Starting | TaskState::Bound | TaskState::Running => {
                self.stop_task(task, mode, out);
            }
        }
    }

    /// Stops a task. The stop is repeated until the worker reports the end.
    pub(super) fn stop_task(&mut self, task: TaskId, mode: StopMode, out: &mut Vec<GroupAction>) {
        let Some(it) = self.tasks.get_mut(&task) else { return };
        let mode = match it.stop {
            Some(Stop { mode: StopMode::Kill, .. }) => StopMode::Kill,
            _ => mode,
        };
        it.stop = Some(Stop { mode, next_at: self.now });
        if let Some(at) = self.fleet.position(&it.worker)
            && let Some(it) = self.fleet.committed_mut(at, &task)
        {
            it.stopping = true;
        }
        self.repeat_stop(task, out);
    }

    /// Kills a task that a worker still lists although it was reported as
    /// ended.
    pub(super) fn kill_ended(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        out: &mut Vec<GroupAction>,
    ) {
        self.stats.killed_after_end += 1;
        let op = WorkerOp::Stop { epoch: self.epoch, task, mode: StopMode::Kill };
        self.call(worker, CallKind::Stop, op, self.now.plus_ms(STOP_REPEAT_MS), out);
    }

    fn repeat_stop(&mut self, task: TaskId, out: &mut Vec<GroupAction>) {
        let Some(it) = self.tasks.get_mut(&task) else { return };
        let Some(stop) = &mut it.stop else { return };
        stop.next_at = self.now.plus_ms(STOP_REPEAT_MS);
        let (mode, next_at) = (stop.mode, stop.next_at);
        let worker = it.worker.clone();
        let running = it.is_running();
        let reachable = self.fleet.get(&worker).is_some_and(|it| it.unreachable_since.is_none());
        self.set_timer(task, Some(next_at));
        if running && reachable && !self.superseded {
            let op = WorkerOp::Stop { epoch: self.epoch, task, mode };
            self.call(&worker, CallKind::Stop, op, next_at, out);
        }
    }

    /// Ends an attempt without a result, on the given evidence.
    pub(super) fn end_as_lost(
        &mut self,
        task: TaskId,
        evidence: EndEvidence,
        out: &mut Vec<GroupAction>,
    ) {
        self.stats.count_lost(evidence);
        self.end_task(task, GroupToShard::Lost { task, evidence }, out);
    }

    /// Ends an attempt: its resources are released, and the report is repeated
    /// until its shard acknowledges it.
    pub(super) fn end_task(
        &mut self,
        task: TaskId,
        report: GroupToShard,
        out: &mut Vec<GroupAction>,
    ) {
        self.release_resources(task);
        let now = self.now;
        let Some(it) = self.tasks.get_mut(&task) else { return };
        let ended = Ended { report: report.clone(), at: now, repeats: 0 };
        it.state = TaskState::Ended(Box::new(ended));
        it.stop = None;
        let (shard, worker) = (it.shard, it.worker.clone());
        self.health.clear_probe(&worker, &task);
        self.finish_move(task, matches!(report, GroupToShard::Finished { .. }));
        self.send(shard, report, out);
        self.set_timer(task, Some(now.plus_ms(OUTCOME_REPEAT_MS)));
    }

    /// Handles the message of a shard that an outcome is durable.
    pub(super) fn on_acknowledge(&mut self, task: TaskId) {
        let Some(it) = self.tasks.get(&task) else { return };
        if matches!(it.state, TaskState::Ended(_)) {
            self.remove_ended(task);
        }
    }

    fn remove_ended(&mut self, task: TaskId) {
        if let Some(it) = self.tasks.get(&task)
            && let Some(worker) = self.fleet.get_mut(&it.worker)
        {
            worker.unacknowledged.retain(|_, it| *it != task);
        }
        self.add_tombstone(task);
        self.remove_task(task);
    }

    /// Handles the timers of tasks that are due.
    pub(super) fn run_task_timers(&mut self, out: &mut Vec<GroupAction>) {
        while let Some((at, task)) = self.timers.first().copied() {
            if self.now < at {
                break;
            }
            self.set_timer(task, None);
            self.on_timer(task, out);
        }
    }

    fn on_timer(&mut self, task: TaskId, out: &mut Vec<GroupAction>) {
        let Some(it) = self.tasks.get(&task) else { return };
        match it.state {
            TaskState::Held { .. } if self.is_move_target(task) => self.extend_hold(task),
            TaskState::Held { .. } | TaskState::Reserved { .. } => {
                self.stats.reservations_expired += 1;
                self.remove_task(task);
            }
            TaskState::Ended(_) => self.repeat_report(task, out),
            _ if it.stop.is_some_and(|it| it.next_at <= self.now) => self.repeat_stop(task, out),
            TaskState::Running if !it.claimed && self.reconciled.contains(&it.shard) => {
                let (shard, worker) = (it.shard, it.worker.clone());
                self.send(shard, GroupToShard::Unclaimed { task, worker }, out);
                self.set_timer(task, Some(self.now.plus_ms(UNCLAIMED_REPEAT_MS)));
            }
            _ => {}
        }
    }

    fn repeat_report(&mut self, task: TaskId, out: &mut Vec<GroupAction>) {
        let Some(it) = self.tasks.get_mut(&task) else { return };
        let TaskState::Ended(ended) = &mut it.state else { return };
        ended.repeats += 1;
        let (shard, claimed, repeats) = (it.shard, it.claimed, ended.repeats);
        let report = ended.report.clone();
        if !claimed && MAX_UNCLAIMED_REPEATS < repeats && self.reconciled.contains(&shard) {
            self.remove_ended(task);
            return;
        }
        self.send(shard, report, out);
        let delay = (OUTCOME_REPEAT_MS << repeats.min(8)).min(MAX_OUTCOME_REPEAT_MS);
        self.set_timer(task, Some(self.now.plus_ms(delay)));
    }

    /// Charges a task to its worker and, if `allot` is set, to its member's
    /// allotment.
    pub(super) fn charge(&mut self, task: TaskId, running: RunningTask, allot: bool) {
        let now = self.now;
        let Some(it) = self.tasks.get_mut(&task) else { return };
        if it.charged {
            return;
        }
        it.charged = true;
        it.allotted = allot;
        let at = self.fleet.position_or_insert(now, &it.worker);
        if allot {
            self.quotas.charge(now, &running.member, running.resources);
        }
        self.fleet.commit(at, running);
    }

    /// Releases everything that a task holds.
    pub(super) fn release_resources(&mut self, task: TaskId) {
        self.set_resident(task, false);
        let Some(it) = self.tasks.get_mut(&task) else { return };
        if !std::mem::take(&mut it.charged) {
            return;
        }
        let allotted = std::mem::take(&mut it.allotted);
        if let Some(at) = self.fleet.position(&it.worker) {
            self.fleet.release(at, &task);
        }
        if let Some(spec) = it.spec.as_ref().filter(|_| allotted) {
            self.quotas.release(self.now, &spec.member, spec.resources);
        }
        self.recheck_waiting = true;
    }

    /// Records whether a task is a resident of its worker from now on.
    pub(super) fn set_resident(&mut self, task: TaskId, present: bool) {
        let Some(it) = self.tasks.get_mut(&task) else { return };
        let Some(spec) = &it.spec else { return };
        if it.resident == present {
            return;
        }
        it.resident = present;
        if let Some(at) = self.fleet.position(&it.worker) {
            self.fleet.set_resident(self.now, at, spec.class, present);
        }
    }

    /// Returns the entry of a task in its worker's view. The task need not be
    /// running yet.
    pub(super) fn running_task(
        &self,
        task: TaskId,
        it: &Task,
        started_at: Timestamp,
        expected_run_ms: u64,
        immune_until: Timestamp,
    ) -> Option<RunningTask> {
        let spec = it.spec.as_ref()?;
        let long_running = self.classes.get(spec.class).kind == ClassKind::Watcher;
        Some(RunningTask {
            task,
            class: spec.class,
            member: spec.member.clone(),
            resources: spec.resources,
            started_at,
            checkpoint_at: started_at,
            expected_end: if long_running {
                Timestamp::MAX
            } else {
                started_at.plus_ms(expected_run_ms)
            },
            immune_until,
            stopping: it.stop.is_some(),
        })
    }
}
