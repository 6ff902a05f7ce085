//! Renewal of task leases, and detection of expired leases.

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
    job::EndEvidence,
    placement::PlacementPolicy,
    time::{MAX_CLOCK_ERROR_MS, Timestamp, earliest},
    worker::WorkerReport,
};

impl<P: PlacementPolicy> Group<P> {
    /// Handles the answer to a renewal.
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
        let busy = !worker.tasks.is_empty() || !worker.unacknowledged.is_empty();
        let interval = if busy { RENEW_INTERVAL_MS } else { IDLE_CALL_INTERVAL_MS };
        worker.call_at = call.sent_at.plus_ms(interval).max(self.now.plus_ms(1));
        let phase = std::mem::replace(&mut worker.phase, Phase::Renew);
        for task in unknown {
            let is_lost = self.tasks.get(task).is_some_and(|it| {
                let confirmed = it.confirmed.is_some_and(|(_, when)| when <= call.sent_at);
                it.worker == call.worker && it.is_running() && confirmed
            });
            if is_lost {
                self.end_as_lost(*task, EndEvidence::NotListed, out);
            }
        }
        if let Phase::Collect { missing, listed_at } = phase {
            self.conclude_listing(at, missing, listed_at, out);
        }
    }

    /// Restores the leases from before a renewal that never reached the
    /// worker.
    pub(super) fn restore_leases(&mut self, before: &[(TaskId, Lease)], until: Timestamp) {
        for (task, lease) in before {
            if let Some(it) = self.tasks.get_mut(task)
                && it.lease.until == until
            {
                it.lease = *lease;
            }
        }
    }

    /// Ends attempts on unreachable workers whose leases have expired.
    ///
    /// This requires a valid claim: after the claim's deadline a successor may
    /// have renewed the leases.
    pub(super) fn check_leases(&mut self, out: &mut Vec<GroupAction>) {
        if !self.claim_is_valid() {
            return;
        }
        for at in 0..self.fleet.workers.len() {
            let worker = &mut self.fleet.workers[at];
            if worker.lease_check_at.is_none_or(|it| self.now < it) {
                continue;
            }
            worker.lease_check_at = None;
            let tasks: Vec<TaskId> = worker.tasks.iter().copied().collect();
            let absent = worker.absent_since.is_some();
            let mut next = None;
            for task in tasks {
                let worker = &self.fleet.workers[at];
                let Some(it) = self.tasks.get(&task) else { continue };
                let Some((due, failing_until)) = self.lease_expiry(worker, it) else {
                    continue;
                };
                if self.now < due {
                    next = earliest(next, Some(due));
                } else if failing_until <= worker.last_failure_at {
                    let evidence =
                        if absent { EndEvidence::InstanceGone } else { EndEvidence::LeaseExpired };
                    self.end_as_lost(task, evidence, out);
                }
                // Otherwise the next failed call schedules another check.
            }
            self.fleet.workers[at].lease_check_at = next;
        }
    }

    /// Returns when the expiry of a task's lease proves that the attempt has
    /// ended, and the time until which calls to its worker must have kept
    /// failing.
    fn lease_expiry(&self, worker: &Worker, it: &Task) -> Option<(Timestamp, Timestamp)> {
        if !it.may_run() {
            return None;
        }
        let unreachable_since = worker.unreachable_since?;
        if !worker.announced {
            // An earlier owner that has lost the store may still be renewing,
            // so only absence from the instance list proves that no lease is
            // left.
            let out_of_contact_since = unreachable_since.max(worker.absent_since?);
            let until = out_of_contact_since.plus_ms(TASK_LEASE_MS);
            return Some((until.plus_ms(MAX_CLOCK_ERROR_MS), until));
        }
        let class = it.spec.as_ref().map(|spec| self.classes.get(spec.class));
        let at_most_once = class.is_none_or(|it| it.delivery == Delivery::AtMostOnce);
        if at_most_once && worker.absent_since.is_none() {
            return None;
        }
        let length_ms = it.lease.until.ms_since(it.lease.from);
        let until = it.lease.until.max(unreachable_since.plus_ms(length_ms));
        Some((until.plus_ms(MAX_CLOCK_ERROR_MS), until))
    }
}
