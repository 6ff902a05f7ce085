//! What the scores of all workers are computed from, in columns.
//!
//! A choice compares each worker's view with what was copied from it, which
//! takes a few instructions, and computes all scores by vector instructions.
//! Copies are used to find candidates only: whether a worker has room is
//! checked on its view.

use crate::{
    placement::{PlacementRequest, WorkerIndex, WorkerView, spread::SpreadIndex},
    size::Resources,
};

use crate::placement::score::{
    ACCELERATOR_WEIGHT, DISTRUST_WEIGHT, FIT_WEIGHT, SPREAD_WEIGHT, STRANDING_WEIGHT,
};

/// What the columns of a worker were copied from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Copied {
    committed: Resources,
    capacity: Resources,
    trust: f64,
    accepting: bool,
}

/// Copies of the workers' views, and the scores of one choice.
#[derive(Clone, Debug, Default)]
pub(super) struct Columns {
    copied: Vec<Option<Copied>>,
    committed_cpu: Vec<f32>,
    free_cpu: Vec<f32>,
    free_memory: Vec<f32>,
    free_accelerators: Vec<f32>,
    per_cpu: Vec<f32>,
    per_memory: Vec<f32>,
    per_accelerator: Vec<f32>,
    distrust: Vec<f32>,
    /// Distrust and crowding for one request.
    others: Vec<f32>,
    scores: Vec<f32>,
}

/// What a request needs, in the columns' units.
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
    /// Makes room for a number of workers and forgets them if it has changed.
    pub(super) fn resize(&mut self, len: usize) {
        if self.copied.len() == len {
            return;
        }
        self.copied.clear();
        self.copied.resize(len, None);
        let columns = [
            &mut self.committed_cpu,
            &mut self.free_cpu,
            &mut self.free_memory,
            &mut self.free_accelerators,
            &mut self.per_cpu,
            &mut self.per_memory,
            &mut self.per_accelerator,
            &mut self.distrust,
            &mut self.others,
            &mut self.scores,
        ];
        columns.into_iter().for_each(|it| it.resize(len, 0.0));
    }

    /// Brings the copies up to date and calls `changed` for each worker whose
    /// view has changed.
    pub(super) fn follow(
        &mut self,
        workers: &[WorkerView],
        spread: &SpreadIndex,
        mut changed: impl FnMut(WorkerIndex),
    ) {
        for (index, view) in workers.iter().enumerate() {
            let present = Copied {
                committed: view.committed,
                capacity: view.capacity,
                trust: view.trust,
                accepting: view.accepting,
            };
            if self.copied[index] != Some(present) {
                self.copy(index, present);
                changed(index);
            }
            self.others[index] = self.distrust[index] + SPREAD_WEIGHT * spread.crowding(index);
        }
    }

    #[cold]
    fn copy(&mut self, index: WorkerIndex, present: Copied) {
        let Copied { committed, capacity, trust, accepting } = present;
        let free = capacity.saturating_sub(committed);
        let open = |amount: f32| if accepting { amount } else { -1.0 };
        self.committed_cpu[index] = committed.cpu.0 as f32;
        self.free_cpu[index] = open(free.cpu.0 as f32);
        self.free_memory[index] = open(free.memory.0 as f32);
        self.free_accelerators[index] = open(free.accelerators.0 as f32);
        self.per_cpu[index] = inverse(capacity.cpu.0);
        self.per_memory[index] = inverse(capacity.memory.0);
        self.per_accelerator[index] = inverse(u64::from(capacity.accelerators.0));
        self.distrust[index] = DISTRUST_WEIGHT * (1.0 - trust as f32);
        self.copied[index] = Some(present);
    }

    /// Computes the scores of all workers from their losses per load level.
    pub(super) fn score_all(&mut self, needs: Needs, losses: [&[f32]; 3]) {
        score_all(
            needs,
            &self.committed_cpu,
            &self.free_cpu,
            &self.free_memory,
            &self.free_accelerators,
            &self.per_cpu,
            &self.per_memory,
            &self.per_accelerator,
            &self.others,
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
            self.per_cpu[index],
            self.per_memory[index],
            self.per_accelerator[index],
            self.others[index],
            [loss; 3],
        );
    }
}

/// Returns the score of one worker; infinite if it has no room.
#[inline(always)]
fn score(
    needs: Needs,
    committed_cpu: f32,
    free_cpu: f32,
    free_memory: f32,
    free_accelerators: f32,
    per_cpu: f32,
    per_memory: f32,
    per_accelerator: f32,
    others: f32,
    losses: [f32; 3],
) -> f32 {
    let left_cpu = free_cpu - needs.cpu;
    let left_memory = free_memory - needs.memory;
    let left_accelerators = free_accelerators - needs.accelerators;
    // The same comparisons as in `LoadLevel::of`, on what is left.
    let with = committed_cpu + needs.cpu;
    let below_half = with < left_cpu;
    let below_four_fifths = with < 4.0 * left_cpu;
    let loss = if below_four_fifths { losses[1] } else { losses[2] };
    let loss = if below_half { losses[0] } else { loss };
    let cpu = left_cpu * per_cpu;
    let memory = left_memory * per_memory;
    let scarcest = if cpu < memory { cpu } else { memory };
    let sum = loss
        + others
        + FIT_WEIGHT * scarcest
        + STRANDING_WEIGHT * (cpu - memory).abs()
        + needs.accelerator_weight * left_accelerators * per_accelerator;
    let tightest = if left_cpu < left_memory { left_cpu } else { left_memory };
    let tightest = if tightest < left_accelerators { tightest } else { left_accelerators };
    if tightest < 0.0 { f32::INFINITY } else { sum }
}

/// Scores all workers. The columns are separate arguments because the compiler
/// then knows that the scores do not overlap them, and uses vectors.
#[inline(never)]
fn score_all(
    needs: Needs,
    committed_cpu: &[f32],
    free_cpu: &[f32],
    free_memory: &[f32],
    free_accelerators: &[f32],
    per_cpu: &[f32],
    per_memory: &[f32],
    per_accelerator: &[f32],
    others: &[f32],
    low: &[f32],
    medium: &[f32],
    high: &[f32],
    scores: &mut [f32],
) {
    let len = scores.len();
    let (committed_cpu, free_cpu) = (&committed_cpu[..len], &free_cpu[..len]);
    let (free_memory, free_accelerators) = (&free_memory[..len], &free_accelerators[..len]);
    let (per_cpu, per_memory) = (&per_cpu[..len], &per_memory[..len]);
    let (per_accelerator, others) = (&per_accelerator[..len], &others[..len]);
    let (low, medium, high) = (&low[..len], &medium[..len], &high[..len]);
    for index in 0..len {
        scores[index] = score(
            needs,
            committed_cpu[index],
            free_cpu[index],
            free_memory[index],
            free_accelerators[index],
            per_cpu[index],
            per_memory[index],
            per_accelerator[index],
            others[index],
            [low[index], medium[index], high[index]],
        );
    }
}

/// Returns one over a size; zero if there is none.
fn inverse(size: u64) -> f32 {
    if size == 0 { 0.0 } else { 1.0 / size as f32 }
}
