//! Calls to workers: which are in flight, their purpose, and when they count
//! as failed.

use super::{
    Group, GroupAction,
    capacity::{Phase, Worker},
    config::{CALL_TIMEOUT_MS, LATE_ANSWER_MS, PROBE_INTERVALS_MS, STOP_COLLECT_MS, TASK_LEASE_MS},
    task::Lease,
};
use crate::{
    id::{CallId, TaskId, WorkerId},
    placement::PlacementPolicy,
    time::{Timestamp, earliest},
    verdict::Verdict,
    worker::{WorkerError, WorkerOp, WorkerReply, WorkerResult},
};

/// The purpose of a call.
#[derive(Clone, Debug)]
pub(super) enum CallKind {
    /// Announces this owner's epoch and lists the tasks.
    Announce,
    /// Renews leases. `before` holds the leases as they were before it.
    Renew { before: Vec<(TaskId, Lease)>, until: Timestamp },
    /// Starts a task.
    Start { task: TaskId },
    /// Stops a task.
    Stop,
}

/// A call to a worker that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) worker: WorkerId,
    pub(super) kind: CallKind,
    pub(super) sent_at: Timestamp,
    /// Whether it has already been counted as failed.
    pub(super) timed_out: bool,
}

impl<P: PlacementPolicy> Group<P> {
    /// Sends a call to a worker.
    pub(super) fn call(
        &mut self,
        worker: &WorkerId,
        kind: CallKind,
        op: WorkerOp,
        not_after: Timestamp,
        out: &mut Vec<GroupAction>,
    ) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.call_queue.push_back((self.now.plus_ms(CALL_TIMEOUT_MS), call));
        let it = Call { worker: worker.clone(), kind, sent_at: self.now, timed_out: false };
        self.calls.insert(call, it);
        out.push(GroupAction::Worker { call, worker: worker.clone(), op, not_after });
        call
    }

    /// Counts calls that were not answered in time as failed.
    pub(super) fn expire_calls(&mut self, out: &mut Vec<GroupAction>) {
        while self.call_queue.front().is_some_and(|it| it.0 <= self.now) {
            let Some((_, call)) = self.call_queue.pop_front() else { break };
            let Some(it) = self.calls.get_mut(&call) else { continue };
            it.timed_out = true;
            let it = it.clone();
            self.late_queue.push_back((self.now.plus_ms(LATE_ANSWER_MS), call));
            let error = WorkerError::Unreachable { verdict: Verdict::MayHaveRun };
            self.on_result(call, &it, Err(error), out);
        }
        while self.late_queue.front().is_some_and(|it| it.0 <= self.now) {
            if let Some((_, call)) = self.late_queue.pop_front() {
                self.calls.remove(&call);
            }
        }
    }

    /// Handles the answer to a call.
    pub(super) fn on_worker_reply(
        &mut self,
        worker: &WorkerId,
        call: CallId,
        result: WorkerResult,
        out: &mut Vec<GroupAction>,
    ) {
        // Answers are matched by identifier. One that comes from a worker
        // other than the one called is not an answer.
        if self.calls.get(&call).is_none_or(|it| it.worker != *worker) {
            self.stats.stray_answers += 1;
            return;
        }
        let Some(it) = self.calls.remove(&call) else { return };
        if it.timed_out {
            self.on_late_result(&it, result, out);
        } else {
            self.on_result(call, &it, result, out);
        }
    }

    fn on_result(
        &mut self,
        id: CallId,
        call: &Call,
        result: WorkerResult,
        out: &mut Vec<GroupAction>,
    ) {
        if let CallKind::Start { .. } = call.kind {
            self.starts_in_flight -= 1;
        }
        self.record_contact(call, &result);
        let is_periodic =
            |kind: &CallKind| matches!(kind, CallKind::Announce | CallKind::Renew { .. });
        if is_periodic(&call.kind)
            && let Some(worker) = self.fleet.get_mut(&call.worker)
        {
            worker.call.take_if(|it| *it == id);
        }
        match (&call.kind, result) {
            (_, Err(WorkerError::StaleEpoch { current })) if self.epoch < current => {
                self.superseded = true;
                if let CallKind::Start { task } = call.kind {
                    self.on_start_refused(call, task, None, out);
                }
            }
            (CallKind::Start { task }, Ok(WorkerReply::Started { incarnation })) => {
                self.on_start_confirmed(call, *task, incarnation, out);
            }
            (CallKind::Start { task }, Err(WorkerError::Refused { detail })) => {
                self.on_start_refused(call, *task, Some(detail), out);
            }
            (CallKind::Start { task }, Err(error)) if is_not_run(&error) => {
                self.on_start_not_sent(*task, out);
            }
            (CallKind::Start { .. }, _) => self.schedule_relist(&call.worker, self.now),
            (CallKind::Announce, Ok(WorkerReply::Announced { incarnation, tasks })) => {
                self.on_announced(call, incarnation, &tasks, out);
            }
            (CallKind::Renew { .. }, Ok(WorkerReply::Renewed { unknown, report })) => {
                self.on_renewed(call, &unknown, &report, out);
            }
            (CallKind::Renew { before, until }, Err(error)) if is_not_run(&error) => {
                self.restore_leases(before, *until);
                self.schedule_probe(&call.worker);
            }
            (CallKind::Announce | CallKind::Renew { .. }, _) => self.schedule_probe(&call.worker),
            (CallKind::Stop, Ok(WorkerReply::Stopping)) => {
                let soon = self.now.plus_ms(STOP_COLLECT_MS);
                if let Some(worker) = self.fleet.get_mut(&call.worker) {
                    worker.call_at = worker.call_at.min(soon);
                }
            }
            (CallKind::Stop, _) => {}
        }
    }

    /// Handles an answer that arrived after its call was counted as failed.
    ///
    /// Starts, refusals and reports in it are still valid. A listing in it may
    /// be out of date and is ignored.
    fn on_late_result(&mut self, call: &Call, result: WorkerResult, out: &mut Vec<GroupAction>) {
        match (&call.kind, result) {
            (_, Err(WorkerError::StaleEpoch { current })) if self.epoch < current => {
                self.superseded = true;
                if let CallKind::Start { task } = call.kind {
                    self.on_start_refused(call, task, None, out);
                }
            }
            (CallKind::Start { task }, Ok(WorkerReply::Started { incarnation })) => {
                self.on_start_confirmed(call, *task, incarnation, out);
            }
            (CallKind::Start { task }, Err(WorkerError::Refused { detail })) => {
                self.on_start_refused(call, *task, Some(detail), out);
            }
            (CallKind::Start { task }, Err(error)) if is_not_run(&error) => {
                self.on_start_not_sent(*task, out);
            }
            (CallKind::Renew { .. }, Ok(WorkerReply::Renewed { report, .. })) => {
                self.on_report(&report, out);
            }
            _ => {}
        }
    }

    /// Records whether a worker answered a call.
    fn record_contact(&mut self, call: &Call, result: &WorkerResult) {
        let Some(at) = self.fleet.position(&call.worker) else { return };
        let worker = &mut self.fleet.workers[at];
        if let Err(WorkerError::Unreachable { .. }) = result {
            let since = call.sent_at.max(worker.last_answer_at);
            worker.unreachable_since.get_or_insert(since);
            worker.last_failure_at = self.now;
            worker.phase = Phase::Announce;
            worker.lease_check_at = Some(self.now);
        } else {
            worker.last_answer_at = self.now;
            self.recheck_waiting |= worker.unreachable_since.take().is_some();
        }
        self.fleet.refresh_acceptance(at, &self.health);
    }

    /// Schedules the next call to a worker that did not answer.
    fn schedule_probe(&mut self, worker: &WorkerId) {
        let now = self.now;
        let Some(worker) = self.fleet.get_mut(worker) else { return };
        let unreachable_ms = worker.unreachable_since.map_or(0, |it| now.ms_since(it));
        let [first, second, third] = PROBE_INTERVALS_MS;
        let interval = match unreachable_ms {
            0..15_000 => first,
            15_000..60_000 => second,
            _ => third,
        };
        worker.phase = Phase::Announce;
        worker.call_at = now.plus_ms(interval);
    }

    /// Schedules a listing of a worker that checks unconfirmed starts.
    pub(super) fn schedule_relist(&mut self, worker: &WorkerId, at: Timestamp) {
        if let Some(worker) = self.fleet.get_mut(worker) {
            worker.relist_at = earliest(worker.relist_at, Some(at));
        }
    }

    /// Returns when the next announcement or renewal of a worker is due.
    pub(super) fn call_due(&self, worker: &Worker) -> Option<Timestamp> {
        if worker.call.is_some() || self.superseded {
            return None;
        }
        Some(worker.relist_at.map_or(worker.call_at, |it| it.min(worker.call_at)))
    }

    /// Sends the announcements and renewals that are due.
    pub(super) fn call_workers(&mut self, out: &mut Vec<GroupAction>) {
        for at in 0..self.fleet.workers.len() {
            let worker = &self.fleet.workers[at];
            if self.call_due(worker).is_none_or(|due| self.now < due) {
                continue;
            }
            let relist = worker.relist_at.is_some_and(|it| it <= self.now);
            match worker.phase {
                Phase::Renew if !relist => self.renew(at, out),
                Phase::Collect { .. } => self.renew(at, out),
                Phase::Announce | Phase::Renew => self.announce(at, out),
            }
        }
    }

    fn announce(&mut self, at: usize, out: &mut Vec<GroupAction>) {
        let id = self.fleet.workers[at].id.clone();
        let op = WorkerOp::Announce { epoch: self.epoch };
        let call = self.call(&id, CallKind::Announce, op, self.now.plus_ms(CALL_TIMEOUT_MS), out);
        let worker = &mut self.fleet.workers[at];
        worker.call = Some(call);
        worker.relist_at = None;
    }

    fn renew(&mut self, at: usize, out: &mut Vec<GroupAction>) {
        let until = self.now.plus_ms(TASK_LEASE_MS);
        let worker = &self.fleet.workers[at];
        let id = worker.id.clone();
        let acknowledged = worker.acknowledged();
        let mut tasks = Vec::with_capacity(worker.tasks.len());
        let mut before = Vec::with_capacity(worker.tasks.len());
        for task in &worker.tasks {
            let Some(it) = self.tasks.get_mut(task) else { continue };
            // An unconfirmed start keeps its short lease.
            if it.is_running() {
                tasks.push(*task);
                before.push((*task, it.lease));
                it.lease = Lease { from: self.now, until: until.max(it.lease.until) };
            }
        }
        let op = WorkerOp::Renew { epoch: self.epoch, tasks, lease_until: until, acknowledged };
        let call = self.call(&id, CallKind::Renew { before, until }, op, until, out);
        let worker = &mut self.fleet.workers[at];
        worker.call = Some(call);
    }
}

fn is_not_run(error: &WorkerError) -> bool {
    matches!(error, WorkerError::Unreachable { verdict: Verdict::NotRun })
}
