//! Cache of the losses that interference is predicted to cause per worker.
//!
//! The time that a task of a class would lose on a worker, and cause others to
//! lose, depends only on the worker's residents, its load level and the
//! slowdown table. The losses of all classes are therefore computed together
//! when the residents or the table change, and a choice of a worker reads one
//! value per worker. Computing the losses for every worker on every choice
//! took ten times as long as the bound on a choice allows.

use crate::{
    class::{ClassIndex, ClassTable},
    interference::{LOAD_LEVELS, LoadLevel, SlowdownTable},
    placement::{WorkerView, is_latency_critical},
    size::Resources,
};

/// Least number of processors with which a task is weighted.
const MIN_CORES: f32 = 0.1;

/// Least number of processors with which a slot of a latency-critical class is
/// weighted: a late answer costs its caller more than the processor time of
/// the request.
const MIN_CRITICAL_CORES: f32 = 1.0;

/// Marks a loss that has not been computed. It is below every other loss, so
/// that the worker becomes a candidate and the loss is computed.
const NOT_COMPUTED: f32 = -1.0e9;

/// How a loss of a class is weighted.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClassWeight {
    /// Weight of a task: that of its class times its processors.
    weight: f32,
    /// Whether a loss is added latency; otherwise it is missing progress.
    latency_critical: bool,
}

impl ClassWeight {
    fn of(classes: &ClassTable, index: ClassIndex) -> ClassWeight {
        let class = classes.get(index);
        let latency_critical = is_latency_critical(classes, index);
        let min_cores = if latency_critical { MIN_CRITICAL_CORES } else { MIN_CORES };
        let cores = (class.resources.cpu.0 as f32 / 1000.0).max(min_cores);
        ClassWeight { weight: class.weight as f32 * cores, latency_critical }
    }
}

/// Inputs from which the losses of one worker were computed, as far as every
/// choice checks them.
#[derive(Clone, Copy, Debug, Default)]
struct LossInputs {
    committed: Resources,
    /// Generation of the slowdown table per level; zero if not computed.
    generations: [u32; LOAD_LEVELS],
}

/// Losses by worker, load level and class.
#[derive(Clone, Debug, Default)]
pub(super) struct LossCache {
    classes: usize,
    weights: Vec<ClassWeight>,
    inputs_per_worker: Vec<LossInputs>,
    /// Losses by class, level and worker, so that one choice reads contiguous
    /// memory.
    losses: Vec<f32>,
    /// The residents of each worker from which the losses were computed.
    residents: Vec<Vec<(ClassIndex, u16)>>,
    /// Sum of the weighted slowdowns of each worker's residents, per level.
    totals: Vec<[f32; LOAD_LEVELS]>,
    /// Scratch buffer: logarithm of the slowdown per class.
    log_slowdowns: Vec<f32>,
    /// Scratch buffer: loss per class.
    row: Vec<f32>,
    generation: u32,
}

impl LossCache {
    /// Prepares the cache for a set of workers and classes and a generation of
    /// the slowdown table; allocates only if one of the sets has grown.
    pub(super) fn prepare(&mut self, classes: &ClassTable, workers: usize, generation: u32) {
        self.generation = generation.max(1);
        let weights = (0..classes.len()).map(|it| ClassWeight::of(classes, ClassIndex(it as u16)));
        let unchanged = self.classes == classes.len()
            && self.inputs_per_worker.len() == workers
            && weights.clone().eq(self.weights.iter().copied());
        if unchanged {
            return;
        }
        self.classes = classes.len();
        self.weights.clear();
        self.weights.extend(weights);
        self.log_slowdowns.resize(self.classes, 0.0);
        self.row.resize(self.classes, 0.0);
        self.inputs_per_worker.clear();
        self.inputs_per_worker.resize(workers, LossInputs::default());
        self.residents.iter_mut().for_each(Vec::clear);
        self.residents.resize(workers, Vec::new());
        self.totals.resize(workers, [0.0; LOAD_LEVELS]);
        self.losses.clear();
        self.losses.resize(workers * LOAD_LEVELS * self.classes, NOT_COMPUTED);
    }

    /// Returns the weighted progress of a task of a class per unit of time if
    /// nothing slows it down.
    pub(super) fn uncontended_progress(&self, class: ClassIndex) -> f32 {
        self.weights[class.as_usize()].weight
    }

    /// Returns the weighted time lost per unit of time if a task of a class is
    /// added and brings the worker to a load level.
    ///
    /// The loss may come from an older generation of the table. It is
    /// [`NOT_COMPUTED`] if it is missing.
    pub(super) fn loss(&self, worker: usize, level: LoadLevel, class: ClassIndex) -> f32 {
        self.losses[self.position(class.as_usize(), level, worker)]
    }

    /// Returns the losses of a class at a load level on all workers.
    pub(super) fn column(&self, class: ClassIndex, level: LoadLevel) -> &[f32] {
        let start = self.position(class.as_usize(), level, 0);
        &self.losses[start..start + self.inputs_per_worker.len()]
    }

    /// Discards the losses of a worker whose committed capacity has changed.
    pub(super) fn invalidate(&mut self, worker: usize) {
        self.inputs_per_worker[worker].generations = [0; LOAD_LEVELS];
        let workers = self.inputs_per_worker.len();
        self.losses.iter_mut().skip(worker).step_by(workers).for_each(|it| *it = NOT_COMPUTED);
    }

    /// Reports whether the losses of a worker at a load level are computed.
    pub(super) fn is_computed(&self, worker: usize, level: LoadLevel) -> bool {
        self.inputs_per_worker[worker].generations[level.as_usize()] != 0
    }

    /// Reports whether the losses of a worker at a load level were computed
    /// from the current table and residents.
    pub(super) fn is_up_to_date(&self, worker: usize, view: &WorkerView, level: LoadLevel) -> bool {
        let inputs = &self.inputs_per_worker[worker];
        inputs.generations[level.as_usize()] == self.generation
            && inputs.committed == view.committed
            && self.residents[worker] == view.residents
    }

    /// Computes the losses of a worker at a load level.
    pub(super) fn recompute(
        &mut self,
        table: &SlowdownTable,
        worker: usize,
        view: &WorkerView,
        level: LoadLevel,
    ) {
        let inputs = &mut self.inputs_per_worker[worker];
        let residents = &mut self.residents[worker];
        if inputs.committed != view.committed || *residents != view.residents {
            inputs.committed = view.committed;
            residents.clear();
            residents.extend_from_slice(&view.residents);
            self.invalidate(worker);
        }
        let current = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
        self.compute(table, worker, current);
        if current != level {
            self.compute(table, worker, level);
            // Reaching another load level changes the slowdown of every
            // resident.
            let totals = self.totals[worker];
            let added = totals[level.as_usize()] - totals[current.as_usize()];
            for class in 0..self.classes {
                let position = self.position(class, level, worker);
                self.losses[position] += added.max(0.0);
            }
        }
    }

    /// Computes the losses of all classes at a load level, as if the worker
    /// were at that level already.
    fn compute(&mut self, table: &SlowdownTable, worker: usize, level: LoadLevel) {
        let classes = self.classes;
        let losses = &mut self.row[..classes];
        let log_slowdowns = &mut self.log_slowdowns[..classes];
        log_slowdowns.fill(0.0);
        for &(class, count) in &self.residents[worker] {
            let count = f32::from(count);
            let contribution = &table.log_row(level, class)[..classes];
            log_slowdowns.iter_mut().zip(contribution).for_each(|(sum, it)| *sum += count * it);
        }
        for ((loss, log), class) in losses.iter_mut().zip(&*log_slowdowns).zip(&self.weights) {
            let slowdown = log.exp();
            let lost = if class.latency_critical { slowdown - 1.0 } else { 1.0 - 1.0 / slowdown };
            *loss = class.weight * lost;
        }
        let mut total = 0.0;
        for &(victim, count) in &self.residents[worker] {
            let class = self.weights[victim.as_usize()];
            let own = table.log_row(level, victim)[victim.as_usize()];
            let slowdown = (log_slowdowns[victim.as_usize()] - own).exp();
            let weight = f32::from(count) * class.weight;
            let excesses = &table.excess_row(level, victim)[..classes];
            if class.latency_critical {
                let weighted = weight * slowdown;
                total += weighted;
                losses.iter_mut().zip(excesses).for_each(|(sum, it)| *sum += weighted * it);
            } else {
                let progress = weight / slowdown;
                total -= progress;
                let terms = losses.iter_mut().zip(excesses);
                terms.for_each(|(sum, it)| *sum += progress * it / (1.0 + it));
            }
        }
        for class in 0..classes {
            let position = self.position(class, level, worker);
            self.losses[position] = self.row[class];
        }
        self.totals[worker][level.as_usize()] = total;
        self.inputs_per_worker[worker].generations[level.as_usize()] = self.generation;
    }

    fn position(&self, class: usize, level: LoadLevel, worker: usize) -> usize {
        (class * LOAD_LEVELS + level.as_usize()) * self.inputs_per_worker.len() + worker
    }
}
