//! Free capacity of workers while evictions are being planned.

use crate::{
    eviction::stopping_capacity,
    id::TaskId,
    placement::{PlacementRequest, RunningTask, WorkerIndex, WorkerView},
    size::Resources,
};

/// Free capacity per worker, planned evictions and reservations included.
///
/// Capacity of tasks that are being stopped counts as free, so that a slow stop
/// does not cause further evictions for the same request.
#[derive(Clone, Debug)]
pub struct CapacityPlan {
    free: Vec<Resources>,
    accepting: Vec<bool>,
    evicted: Vec<TaskId>,
}

impl CapacityPlan {
    /// Returns a plan without evictions or reservations.
    pub fn new(workers: &[WorkerView]) -> CapacityPlan {
        CapacityPlan {
            free: workers
                .iter()
                .map(|it| it.free().saturating_add(stopping_capacity(it)))
                .collect(),
            accepting: workers.iter().map(|it| it.accepting).collect(),
            evicted: Vec::new(),
        }
    }

    /// Returns the free capacity of a worker.
    pub fn free(&self, worker: WorkerIndex) -> Resources {
        self.free[worker]
    }

    /// Reserves capacity for a request and returns the worker, or `None` if no
    /// worker has room.
    pub fn try_reserve(&mut self, request: &PlacementRequest) -> Option<WorkerIndex> {
        let needs = request.resources;
        let fitting = (0..self.free.len())
            .filter(|&index| self.accepting[index] && needs.fits_in(self.free[index]));
        let tightest = fitting.min_by_key(|&index| self.free[index].cpu)?;
        self.reserve(tightest, needs);
        Some(tightest)
    }

    /// Reserves capacity of a worker.
    pub fn reserve(&mut self, worker: WorkerIndex, resources: Resources) {
        self.free[worker] = self.free[worker].saturating_sub(resources);
    }

    /// Releases capacity of a worker.
    pub fn release(&mut self, worker: WorkerIndex, resources: Resources) {
        self.free[worker] = self.free[worker].saturating_add(resources);
    }

    /// Releases the capacity of a task and marks the task as evicted.
    pub(super) fn release_evicted(&mut self, worker: WorkerIndex, task: &RunningTask) {
        self.release(worker, task.resources);
        self.evicted.push(task.task);
    }

    /// Reports whether the eviction of a task is planned.
    pub(super) fn is_evicted(&self, task: TaskId) -> bool {
        self.evicted.contains(&task)
    }

    /// Returns another worker that has room now, without waiting for any stop.
    pub(super) fn other_worker_with_room(
        &self,
        workers: &[WorkerView],
        excluded: WorkerIndex,
        needs: Resources,
    ) -> Option<WorkerIndex> {
        (0..workers.len()).find(|&index| {
            let free = workers[index].free().min(self.free[index]);
            index != excluded && self.accepting[index] && needs.fits_in(free)
        })
    }
}
