//! Best-fit placement without regard to interference, as a baseline.

use bytes::Bytes;

use crate::{
    class::{ClassIndex, ClassTable},
    eviction::CapacityPlan,
    placement::{
        EvictionChoice, PlacementPolicy, PlacementRequest, RunningTask, WorkerIndex, WorkerView,
        score::{has_room, is_avoided, share},
    },
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

/// Places each task on the worker that is left with the least free capacity,
/// and evicts the newest evictable task that makes room for urgent work.
#[derive(Clone, Debug, Default)]
pub struct BestFitPolicy {}

impl BestFitPolicy {
    /// Returns the policy.
    pub fn new() -> BestFitPolicy {
        BestFitPolicy::default()
    }
}

/// Returns the share of a worker's scarcest resource that stays free.
fn leftover(view: &WorkerView, needs: Resources) -> f32 {
    let left = view.free().saturating_sub(needs);
    let cpu = share(left.cpu.0, view.capacity.cpu.0);
    let memory = share(left.memory.0, view.capacity.memory.0);
    cpu.min(memory)
}

fn is_evictable(now: Timestamp, classes: &ClassTable, task: &RunningTask) -> bool {
    classes.get(task.class).evictable && !task.stopping && task.immune_until <= now
}

impl PlacementPolicy for BestFitPolicy {
    fn choose(
        &mut self,
        _now: Timestamp,
        _classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        let mut best = None;
        let mut best_key = (true, f32::INFINITY);
        for (index, view) in workers.iter().enumerate() {
            if !has_room(view, request) {
                continue;
            }
            let key = (is_avoided(view, request), leftover(view, request.resources));
            if best.is_none() || key < best_key {
                best_key = key;
                best = Some(index);
            }
        }
        best
    }

    fn observe(
        &mut self,
        _now: Timestamp,
        _classes: &ClassTable,
        _sample: &UsageSample,
        _residents: &[(ClassIndex, u16)],
        _capacity: Resources,
    ) {
    }

    fn choose_evictions(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        let mut choices: Vec<EvictionChoice> = Vec::new();
        let mut capacity = CapacityPlan::new(workers);
        for request in waiting.iter().filter(|it| it.urgent) {
            if capacity.try_reserve(request).is_some() {
                continue;
            }
            let candidates = workers.iter().enumerate().filter(|(_, it)| it.accepting);
            let tasks =
                candidates.flat_map(|(index, view)| view.tasks.iter().map(move |t| (index, t)));
            let newest = tasks
                .filter(|(_, task)| is_evictable(now, classes, task))
                .filter(|(_, task)| choices.iter().all(|it| it.task != task.task))
                .filter(|&(index, task)| {
                    request.resources.fits_in(capacity.free(index).saturating_add(task.resources))
                })
                .max_by_key(|(_, task)| (task.started_at, task.task));
            if let Some((worker, task)) = newest {
                capacity.release(worker, task.resources);
                capacity.reserve(worker, request.resources);
                choices.push(EvictionChoice { worker, task: task.task, for_urgent: true });
            }
        }
        choices
    }

    fn export(&self) -> Bytes {
        Bytes::new()
    }

    fn import(&mut self, _now: Timestamp, _table: &Bytes) {}
}
