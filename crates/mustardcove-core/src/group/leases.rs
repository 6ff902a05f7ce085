//! Renewal of task leases, and the evidence that a lease has passed.

use super::{
    Group, GroupAction,
    calls::Call,
    capacity::{Phase, Worker},
    config::{IDLE_CALL_INTERVAL_MS, RENEW_INTERVAL_MS, TASK_LEASE_MS},
    task::{Lease, Task},
};
use crate::{
    class::Delivery,
    id::TaskId,
    job::Evidence,
    placement::PlacementPolicy,
    time::{MAX_CLOCK_ERROR_MS, Timestamp, earliest},
    worker::WorkerReport,
};

impl<P: PlacementPolicy> Group<P> {
    /// Takes the answer to a renewal.
    pub(super) fn on_renewed(
        &mut self,
        call: &Call,
        unknown: &[TaskId],
        report: &WorkerReport,
        out: &mut Vec<GroupAction>,
    ) {
        self.on_report(report, out);
        let Some(at) = self.fleet.position(&call.worker) else { return };
        let worker = &mut self.fleet.workers[at];
        if worker.incarnation != Some(report.incarnation) || worker.phase == Phase::Announce {
            worker.phase = Phase::Announce;
            worker.call_at = self.now;
            return;
        }
        let busy = !worker.tasks.is_empty() || !worker.pending.is_empty();
        let interval = if busy { RENEW_INTERVAL_MS } else { IDLE_CALL_INTERVAL_MS };
        worker.call_at = call.sent_at.plus_ms(interval).max(self.now.plus_ms(1));
        let phase = std::mem::replace(&mut worker.phase, Phase::Renew);
        for task in unknown {
            let gone = self.tasks.get(task).is_some_and(|it| {
                let confirmed = it.confirmed.is_some_and(|(_, when)| when <= call.sent_at);
                it.worker == call.worker && it.is_running() && confirmed
            });
            if gone {
                self.lose(*task, Evidence::NotListed, out);
            }
        }
        if let Phase::Collect { missing, listed_at } = phase {
            self.conclude_listing(at, missing, listed_at, out);
        }
    }

    /// Undoes a renewal that never reached the worker.
    pub(super) fn restore_leases(&mut self, before: &[(TaskId, Lease)], until: Timestamp) {
        for (task, lease) in before {
            if let Some(it) = self.tasks.get_mut(task)
                && it.lease.until == until
            {
                it.lease = *lease;
            }
        }
    }

    /// Examines whether leases on unreachable workers have passed.
    ///
    /// The claim must hold: after its deadline a successor may have renewed.
    pub(super) fn check_evidence(&mut self, out: &mut Vec<GroupAction>) {
        if !self.claim_is_valid() {
            return;
        }
        for at in 0..self.fleet.workers.len() {
            let worker = &mut self.fleet.workers[at];
            if worker.evidence_at.is_none_or(|it| self.now < it) {
                continue;
            }
            worker.evidence_at = None;
            let tasks: Vec<TaskId> = worker.tasks.iter().copied().collect();
            let absent = worker.absent_since.is_some();
            let mut next = None;
            for task in tasks {
                let worker = &self.fleet.workers[at];
                let Some(it) = self.tasks.get(&task) else { continue };
                let Some((due, silent_until)) = self.lease_evidence_at(worker, it) else {
                    continue;
                };
                if self.now < due {
                    next = earliest(next, Some(due));
                } else if silent_until <= worker.last_failure_at {
                    let evidence =
                        if absent { Evidence::InstanceGone } else { Evidence::LeaseExpired };
                    self.lose(task, evidence, out);
                }
                // Otherwise the next failed call leads here again.
            }
            self.fleet.workers[at].evidence_at = next;
        }
    }

    /// Returns when the passing of a task's lease becomes evidence, and the
    /// time up to which calls to its worker must have failed.
    fn lease_evidence_at(&self, worker: &Worker, it: &Task) -> Option<(Timestamp, Timestamp)> {
        if !it.may_run() {
            return None;
        }
        let silent_since = worker.unreachable_since?;
        if !worker.announced {
            // An earlier owner that is cut off from the store may still renew,
            // so only the instance list tells that no lease is left.
            let gone_since = silent_since.max(worker.absent_since?);
            let until = gone_since.plus_ms(TASK_LEASE_MS);
            return Some((until.plus_ms(MAX_CLOCK_ERROR_MS), until));
        }
        let class = it.terms.as_ref().map(|terms| self.classes.get(terms.class));
        let at_most_once = class.is_none_or(|it| it.delivery == Delivery::AtMostOnce);
        if at_most_once && worker.absent_since.is_none() {
            return None;
        }
        let length_ms = it.lease.until.ms_since(it.lease.from);
        let until = it.lease.until.max(silent_since.plus_ms(length_ms));
        Some((until.plus_ms(MAX_CLOCK_ERROR_MS), until))
    }
}
