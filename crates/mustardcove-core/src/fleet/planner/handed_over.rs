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
    /// Takes back the starts that wait for a record: they were not ordered, so
    /// the successor must not take them for runs.
    pub fn prepare_hand_over(&mut self, now: Timestamp) {
        self.cancel_all_withheld(now);
    }

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
        let run = |(task, run, listings)| {
            let is_proven = PROVEN_LISTINGS <= listings;
            PlannedRun { task, run, is_proven }
        };
        let runs: Vec<PlannedRun> = self.planned_runs(index).into_iter().map(run).collect();
        // Other runs there are being stopped, or of a submission that is not
        // known.
        let is_known = worker.has_listed_all_ends
            && worker.unstored_ends.is_empty()
            && worker.allocations.len() == runs.len();
        let was_draining = worker.was_draining;
        is_known.then_some(WorkerPlan { incarnation, was_draining, runs })
    }

    /// Goes on with the runs that the predecessor has handed over. Has to be
    /// called after the workers and submissions were restored.
    pub fn place_handed_over(&mut self, now: Timestamp) {
        for index in 0..self.workers.len() {
            let id = &self.workers[index].listing.worker;
            let Some(plan) = self.earlier_leases.take_plan(id) else { continue };
            if !plan.runs.iter().all(|it| self.is_awaited(it)) {
                self.workers[index].forget_plan();
                continue;
            }
            for run in &plan.runs {
                self.place_run(index, run, now);
            }
            let id = self.worker_id(index);
            self.log_decision(DecisionKind::PlanTakenOver, None, Some(id), || {
                format!("runs={}", plan.runs.len())
            });
        }
        self.earlier_leases.drop_plans();
    }

    /// Returns whether the task of a handed over run waits for it here. If not, it
    /// was cancelled, or its occurrence is not due yet by the clock of this
    /// process, and the run goes on until its worker is reached.
    fn is_awaited(&self, planned: &PlannedRun) -> bool {
        let work = self.work.get(&planned.task.step.submission);
        work.and_then(|it| it.task(planned.task)).is_some_and(|it| it.is_waiting())
    }

    /// Places a run that an earlier leader ordered.
    fn place_run(&mut self, index: WorkerIndex, planned: &PlannedRun, now: Timestamp) {
        let PlannedRun { task, run, is_proven } = *planned;
        let Some(work) = self.work.get_mut(&task.step.submission) else { return };
        let Some(spec) = work.submission.steps.get(usize::from(task.step.step)).cloned() else {
            return;
        };
        let Some(slot) = work.task_mut(task) else { return };
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
    }
}
