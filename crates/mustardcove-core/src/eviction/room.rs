//! Capacity as it will be when the stops under way are over.

use crate::{
    eviction::stopping,
    id::TaskId,
    placement::{PlacementRequest, RunningTask, WorkerIndex, WorkerView},
    size::Resources,
};

/// Free capacity per worker while evictions are being planned.
///
/// Capacity of tasks that are being stopped counts as free, so that a stop that
/// takes its time is not followed by further evictions for the same request.
#[derive(Clone, Debug)]
pub struct RoomPlan {
    free: Vec<Resources>,
    accepting: Vec<bool>,
    leaving: Vec<TaskId>,
}

impl RoomPlan {
    /// Returns the capacity that the workers will have.
    pub fn new(workers: &[WorkerView]) -> RoomPlan {
        RoomPlan {
            free: workers.iter().map(|it| it.free().saturating_add(stopping(it))).collect(),
            accepting: workers.iter().map(|it| it.accepting).collect(),
            leaving: Vec::new(),
        }
    }

    /// Returns what is free on a worker.
    pub fn free(&self, worker: WorkerIndex) -> Resources {
        self.free[worker]
    }

    /// Sets room aside for a request, and returns the worker; `None` if there
    /// is no room.
    pub fn take(&mut self, request: &PlacementRequest) -> Option<WorkerIndex> {
        let needs = request.resources;
        let fitting = (0..self.free.len())
            .filter(|&index| self.accepting[index] && needs.fits_in(self.free[index]));
        let tightest = fitting.min_by_key(|&index| self.free[index].cpu)?;
        self.charge(tightest, needs);
        Some(tightest)
    }

    /// Sets capacity of a worker aside.
    pub fn charge(&mut self, worker: WorkerIndex, resources: Resources) {
        self.free[worker] = self.free[worker].saturating_sub(resources);
    }

    /// Counts capacity of a worker as free.
    pub fn release(&mut self, worker: WorkerIndex, resources: Resources) {
        self.free[worker] = self.free[worker].saturating_add(resources);
    }

    /// Counts the capacity of a task as free and the task as gone.
    pub(super) fn leave(&mut self, worker: WorkerIndex, task: &RunningTask) {
        self.release(worker, task.resources);
        self.leaving.push(task.task);
    }

    /// Reports whether a task was planned to go.
    pub(super) fn is_leaving(&self, task: TaskId) -> bool {
        self.leaving.contains(&task)
    }

    /// Returns another worker that has room already, without any stop.
    pub(super) fn elsewhere(
        &self,
        workers: &[WorkerView],
        than: WorkerIndex,
        needs: Resources,
    ) -> Option<WorkerIndex> {
        (0..workers.len()).find(|&index| {
            let free = workers[index].free().min(self.free[index]);
            index != than && self.accepting[index] && needs.fits_in(free)
        })
    }
}
