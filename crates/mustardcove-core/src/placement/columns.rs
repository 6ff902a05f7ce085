//! Inputs of the placement scores as a structure of arrays.
//!
//! Each choice of a worker compares every view with its copy, which takes a
//! few instructions per worker, and computes all scores with vector
//! instructions. The copies only serve to find candidates: whether a worker
//! has room is checked on its view.

use crate::{
    placement::{PlacementRequest, WorkerIndex, WorkerView, spread::SpreadIndex},
    size::Resources,
};

use crate::placement::score::{
    ACCELERATOR_WEIGHT, FIT_WEIGHT, SPREAD_WEIGHT, STRANDING_WEIGHT, UNRELIABILITY_WEIGHT,
};

/// The values of a worker's view from which its columns were computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ViewCopy {
    committed: Resources,
    capacity: Resources,
    reliability: f64,
    accepting: bool,
}

/// Columns copied from the workers' views, and the scores of one choice.
#[derive(Clone, Debug, Default)]
pub(super) struct Columns {
    copies: Vec<Option<ViewCopy>>,
    committed_cpu: Vec<f32>,
    free_cpu: Vec<f32>,
    free_memory: Vec<f32>,
    free_accelerators: Vec<f32>,
    inverse_cpu: Vec<f32>,
    inverse_memory: Vec<f32>,
    inverse_accelerators: Vec<f32>,
    unreliability: Vec<f32>,
    /// Sum of the terms for unreliability and crowding for one request.
    penalties: Vec<f32>,
    scores: Vec<f32>,
}

/// Resources that a request needs, in the columns' units.
#[derive(Clone, Copy, Debug)]
pub(super) struct Needs {
    cpu: f32,
    memory: f32,
    accelerators: f32,
    accelerator_weight: f32,
}

impl Needs {
    pub(super) fn of(request: &PlacementRequest) -> Needs {
        let needs = request.resources;
        let blocked = needs.accelerators.0 == 0;
        Needs {
            cpu: needs.cpu.0 as f32,
            memory: needs.memory.0 as f32,
            accelerators: needs.accelerators.0 as f32,
            accelerator_weight: if blocked { ACCELERATOR_WEIGHT } else { FIT_WEIGHT },
        }
    }
}

impl Columns {
    /// Resizes the columns to a number of workers and discards all copies if
    /// the number has changed.
    pub(super) fn resize(&mut self, len: usize) {
        if self.copies.len() == len {
            return;
        }
        self.copies.clear();
        self.copies.resize(len, None);
        let columns = [
            &mut self.committed_cpu,
            &mut self.free_cpu,
            &mut self.free_memory,
            &mut self.free_accelerators,
            &mut self.inverse_cpu,
            &mut self.inverse_memory,
            &mut self.inverse_accelerators,
            &mut self.unreliability,
            &mut self.penalties,
            &mut self.scores,
        ];
        columns.into_iter().for_each(|it| it.resize(len, 0.0));
    }

    /// Updates the copies and calls `changed` for each worker whose view has
    /// changed.
    pub(super) fn update(
        &mut self,
        workers: &[WorkerView],
        spread: &SpreadIndex,
        mut changed: impl FnMut(WorkerIndex),
    ) {
        for (index, view) in workers.iter().enumerate() {
            let current = ViewCopy {
                committed: view.committed,
                capacity: view.capacity,
                reliability: view.reliability,
                accepting: view.accepting,
            };
            if self.copies[index] != Some(current) {
                self.copy(index, current);
                changed(index);
            }
            self.penalties[index] =
                self.unreliability[index] + SPREAD_WEIGHT * spread.crowding(index);
        }
    }

    #[cold]
    fn copy(&mut self, index: WorkerIndex, current: ViewCopy) {
        let ViewCopy { committed, capacity, reliability, accepting } = current;
        let free = capacity.saturating_sub(committed);
        let usable = |amount: f32| if accepting { amount } else { -1.0 };
        self.committed_cpu[index] = committed.cpu.0 as f32;
        self.free_cpu[index] = usable(free.cpu.0 as f32);
        self.free_memory[index] = usable(free.memory.0 as f32);
        self.free_accelerators[index] = usable(free.accelerators.0 as f32);
        self.inverse_cpu[index] = inverse(capacity.cpu.0);
        self.inverse_memory[index] = inverse(capacity.memory.0);
        self.inverse_accelerators[index] = inverse(u64::from(capacity.accelerators.0));
        self.unreliability[index] = UNRELIABILITY_WEIGHT * (1.0 - reliability as f32);
        self.copies[index] = Some(current);
    }

    /// Computes the scores of all workers from their predicted losses per load
    /// level.
    pub(super) fn score_all(&mut self, needs: Needs, losses: [&[f32]; 3]) {
        score_all(
            needs,
            &self.committed_cpu,
            &self.free_cpu,
            &self.free_memory,
            &self.free_accelerators,
            &self.inverse_cpu,
            &self.inverse_memory,
            &self.inverse_accelerators,
            &self.penalties,
            losses[0],
            losses[1],
            losses[2],
            &mut self.scores,
        );
    }

    /// Returns the computed score of a worker.
    #[inline]
    pub(super) fn score(&self, index: WorkerIndex) -> f32 {
        self.scores[index]
    }

    /// Replaces the loss in the computed score of a worker.
    pub(super) fn rescore(&mut self, index: WorkerIndex, needs: Needs, loss: f32) {
        self.scores[index] = score(
            needs,
            self.committed_cpu[index],
            self.free_cpu[index],
            self.free_memory[index],
            self.free_accelerators[index],
            self.inverse_cpu[index],
            self.inverse_memory[index],
            self.inverse_accelerators[index],
            self.penalties[index],
            [loss; 3],
        );
    }
}

/// Returns the score of one worker; infinity if it has no room.
#[inline(always)]
fn score(
    needs: Needs,
    committed_cpu: f32,
    free_cpu: f32,
    free_memory: f32,
    free_accelerators: f32,
    inverse_cpu: f32,
    inverse_memory: f32,
    inverse_accelerators: f32,
    penalties: f32,
    losses: [f32; 3],
) -> f32 {
    let left_cpu = free_cpu - needs.cpu;
    let left_memory = free_memory - needs.memory;
    let left_accelerators = free_accelerators - needs.accelerators;
    // The same comparisons as in `LoadLevel::of`, on the remaining capacity.
    let committed_after = committed_cpu + needs.cpu;
    let below_half = committed_after < left_cpu;
    let below_four_fifths = committed_after < 4.0 * left_cpu;
    let loss = if below_four_fifths { losses[1] } else { losses[2] };
    let loss = if below_half { losses[0] } else { loss };
    let cpu = left_cpu * inverse_cpu;
    let memory = left_memory * inverse_memory;
    let scarcest = if cpu < memory { cpu } else { memory };
    let sum = loss
        + penalties
        + FIT_WEIGHT * scarcest
        + STRANDING_WEIGHT * (cpu - memory).abs()
        + needs.accelerator_weight * left_accelerators * inverse_accelerators;
    let tightest = if left_cpu < left_memory { left_cpu } else { left_memory };
    let tightest = if tightest < left_accelerators { tightest } else { left_accelerators };
    if tightest < 0.0 { f32::INFINITY } else { sum }
}

/// Scores all workers.
///
/// The columns are separate arguments so that the compiler knows that they do
/// not alias the scores, and vectorizes the loop.
#[inline(never)]
fn score_all(
    needs: Needs,
    committed_cpu: &[f32],
    free_cpu: &[f32],
    free_memory: &[f32],
    free_accelerators: &[f32],
    inverse_cpu: &[f32],
    inverse_memory: &[f32],
    inverse_accelerators: &[f32],
    penalties: &[f32],
    low: &[f32],
    medium: &[f32],
    high: &[f32],
    scores: &mut [f32],
) {
    let len = scores.len();
    let (committed_cpu, free_cpu) = (&committed_cpu[..len], &free_cpu[..len]);
    let (free_memory, free_accelerators) = (&free_memory[..len], &free_accelerators[..len]);
    let (inverse_cpu, inverse_memory) = (&inverse_cpu[..len], &inverse_memory[..len]);
    let (inverse_accelerators, penalties) = (&inverse_accelerators[..len], &penalties[..len]);
    let (low, medium, high) = (&low[..len], &medium[..len], &high[..len]);
    for index in 0..len {
        scores[index] = score(
            needs,
            committed_cpu[index],
            free_cpu[index],
            free_memory[index],
            free_accelerators[index],
            inverse_cpu[index],
            inverse_memory[index],
            inverse_accelerators[index],
            penalties[index],
            [low[index], medium[index], high[index]],
        );
    }
}

/// Returns the reciprocal of a size; zero for a size of zero.
fn inverse(size: u64) -> f32 {
    if size == 0 { 0.0 } else { 1.0 / size as f32 }
}
