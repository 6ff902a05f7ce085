//! The plan that goes from a leader that steps down to its successor; see
//! [`handover`](crate::fleet::handover).

use super::{
    DecisionKind, Planner, pace,
    suspects::PROVEN_LISTINGS,
    work::{Phase, Run, WorkerIndex},
    workers::{Worker, WorkloadKind},
};
use crate::{
    fleet::{
        handover::{PlannedRun, WorkerHandover, WorkerPlan},
        poller::MAX_ORPHAN_LEASE_MS,
    },
    time::Timestamp,
};

impl Planner {
    /// Returns what a successor has to know of the recorded workers, if this
    /// leader orders nothing and confirms no worker any more.
    pub fn hand_over(&self, now: Timestamp) -> Vec<WorkerHandover> {
        let hand_over = |(index, it): (WorkerIndex, &Worker)| WorkerHandover {
            worker: it.listing.worker.clone(),
            leases_expire_by: self.leases_end(it, now),
            silent_since: it.silent_since.filter(|_| it.is_silent),
            plan: self.known_plan(index),
        };
        let recorded = self.workers.iter().enumerate().filter(|it| it.1.is_recorded);
        recorded.map(hand_over).collect()
    }

    /// Returns the time by which every lease has expired on a worker that this
    /// leader or an earlier one granted.
    fn leases_end(&self, worker: &Worker, now: Timestamp) -> Timestamp {
        if worker.replaced_at.is_some() {
            now
        } else if worker.responsive_since.is_some() {
            // Its poller goes on until its permission ends.
            now.plus_ms(MAX_ORPHAN_LEASE_MS)
        } else if worker.incarnation.is_some() {
            worker.runs_expire_by()
        } else {
            self.earlier_leases_end(worker)
        }
    }

    /// Returns everything that may run on a worker; `None` if that is not known,
    /// or depends on what is not stored.
    fn known_plan(&self, index: WorkerIndex) -> Option<WorkerPlan> {
        let worker = &self.workers[index];
        let incarnation = worker.incarnation.filter(|_| worker.replaced_at.is_none())?;
        let is_known = worker.has_listed_all_ends
            && worker.unstored_ends.is_empty()
            && worker.unknown_runs == 0;
        let run = |(task, run, listings)| {
            let is_proven = PROVEN_LISTINGS <= listings;
            PlannedRun { task, run, is_proven }
        };
        let runs = || self.planned_runs(index).into_iter().map(run).collect();
        is_known.then(|| WorkerPlan { incarnation, runs: runs() })
    }

    /// Goes on with the runs that the predecessor has handed over. Has to be
    /// called after the workers and submissions were restored.
    pub fn place_handed_over(&mut self, now: Timestamp) {
        for index in 0..self.workers.len() {
            let id = &self.workers[index].listing.worker;
            let Some(plan) = self.earlier_leases.worker(id).and_then(|it| it.plan.clone()) else {
                continue;
            };
            let runs = plan.runs.iter();
            let placed = runs.filter(|it| self.place_run(index, it, now)).count();
            if 0 < placed {
                let id = self.worker_id(index);
                self.log_decision(DecisionKind::PlanTakenOver, None, Some(id), || {
                    format!("runs={placed} of={}", plan.runs.len())
                });
            }
        }
    }

    /// Places a run that an earlier leader ordered; returns whether its task
    /// waits for it. A run of a task that is done, or that was cancelled, is
    /// stopped once it is listed.
    fn place_run(&mut self, index: WorkerIndex, planned: &PlannedRun, now: Timestamp) -> bool {
        let PlannedRun { task, run, is_proven } = *planned;
        let Some(work) = self.work.get_mut(&task.step.submission) else { return false };
        let Some(spec) = work.submission.steps.get(usize::from(task.step.step)).cloned() else {
            return false;
        };
        let Some(slot) = work.task_mut(task).filter(|it| it.is_waiting()) else { return false };
        slot.last_run = slot.last_run.max(run);
        // Every poll of this term is asked for after the order.
        let confirmed_at = Some(Timestamp::default());
        let run_state = Run { confirmed_at, was_listed: true, ..Run::new(index, run, now) };
        slot.phase = Phase::Placed(run_state);
        work.is_begun = true;
        let mut allocation = self.allocation_for(&spec, run);
        if allocation.kind == WorkloadKind::BestEffort {
            // The predecessor may have slowed it down.
            allocation.pace = pace::UNKNOWN_PACE;
            allocation.pace_set_at = now;
        }
        if is_proven {
            allocation.listings = PROVEN_LISTINGS;
            self.submission_started(task.step.submission);
        }
        self.workers[index].allocate(task, allocation);
        true
    }
}
