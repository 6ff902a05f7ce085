//! Predicted losses per worker, kept between choices.
//!
//! What a task of a class would lose and make others lose on a worker depends
//! only on the worker's residents, its load level and the slowdown table. The
//! losses of all classes are therefore computed together, when a worker's
//! residents have changed or the table has, and a choice reads one figure per
//! worker. Computing them anew for every worker of every choice took ten times
//! as long as the bound allows.

use crate::{
    class::{ClassIndex, ClassTable},
    interference::{LOAD_LEVELS, LoadLevel, SlowdownTable},
    placement::{WorkerView, is_latency_critical},
    size::Resources,
};

/// Processors that a task counts for at least.
const MIN_CORES: f32 = 0.1;

/// Processors that a slot of a latency-critical class counts for at least: a
/// late answer costs its caller more than the processor time of the request.
const MIN_CRITICAL_CORES: f32 = 1.0;

/// A loss that has not been computed. It is below every other, so that the
/// worker becomes a candidate and the loss is computed.
const UNKNOWN: f32 = -1.0e9;

/// What a class counts for.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClassWeight {
    /// Weight of a task: that of its class times its processors.
    weight: f32,
    /// Whether latency counts; otherwise progress does.
    critical: bool,
}

impl ClassWeight {
    fn of(classes: &ClassTable, index: ClassIndex) -> ClassWeight {
        let class = classes.get(index);
        let critical = is_latency_critical(classes, index);
        let least = if critical { MIN_CRITICAL_CORES } else { MIN_CORES };
        let cores = (class.resources.cpu.0 as f32 / 1000.0).max(least);
        ClassWeight { weight: class.weight as f32 * cores, critical }
    }
}

/// What the losses of one worker were computed from, as far as every choice
/// reads it.
#[derive(Clone, Copy, Debug, Default)]
struct Basis {
    committed: Resources,
    /// Generation of the table per level; zero if not computed.
    generations: [u32; LOAD_LEVELS],
}

/// Losses by worker, load level and class.
#[derive(Clone, Debug, Default)]
pub(super) struct LossCache {
    classes: usize,
    weights: Vec<ClassWeight>,
    bases: Vec<Basis>,
    /// Losses by class, level and worker, so that what one choice reads lies
    /// together.
    losses: Vec<f32>,
    /// The residents of each worker that the losses were computed from.
    residents: Vec<Vec<(ClassIndex, u16)>>,
    /// Sum over each worker's residents of their weighted slowdowns, per level.
    totals: Vec<[f32; LOAD_LEVELS]>,
    /// Logarithm of the slowdown per class, while a row is computed.
    logs: Vec<f32>,
    /// Loss per class, while a row is computed.
    row: Vec<f32>,
    generation: u32,
}

impl LossCache {
    /// Prepares for workers, classes and a table; allocates only when there are
    /// more of them than before.
    pub(super) fn prepare(&mut self, classes: &ClassTable, workers: usize, generation: u32) {
        self.generation = generation.max(1);
        let weights = (0..classes.len()).map(|it| ClassWeight::of(classes, ClassIndex(it as u16)));
        let same = self.classes == classes.len()
            && self.bases.len() == workers
            && weights.clone().eq(self.weights.iter().copied());
        if same {
            return;
        }
        self.classes = classes.len();
        self.weights.clear();
        self.weights.extend(weights);
        self.logs.resize(self.classes, 0.0);
        self.row.resize(self.classes, 0.0);
        self.bases.clear();
        self.bases.resize(workers, Basis::default());
        self.residents.iter_mut().for_each(Vec::clear);
        self.residents.resize(workers, Vec::new());
        self.totals.resize(workers, [0.0; LOAD_LEVELS]);
        self.losses.clear();
        self.losses.resize(workers * LOAD_LEVELS * self.classes, UNKNOWN);
    }

    /// Returns what a task of a class gets done per time passed if nothing
    /// slows it down.
    pub(super) fn worth(&self, class: ClassIndex) -> f32 {
        self.weights[class.as_usize()].weight
    }

    /// Returns the weighted time lost per time passed if a task of a class is
    /// added and brings the worker to a load level.
    ///
    /// The figure may rest on an older generation of the table. It is
    /// [`UNKNOWN`] if it has not been computed.
    pub(super) fn loss(&self, worker: usize, level: LoadLevel, class: ClassIndex) -> f32 {
        self.losses[self.position(class.as_usize(), level, worker)]
    }

    /// Returns the losses on all workers.
    pub(super) fn column(&self, class: ClassIndex, level: LoadLevel) -> &[f32] {
        let start = self.position(class.as_usize(), level, 0);
        &self.losses[start..start + self.bases.len()]
    }

    /// Forgets the figures of a worker whose commitments have changed.
    pub(super) fn forget(&mut self, worker: usize) {
        self.bases[worker].generations = [0; LOAD_LEVELS];
        let workers = self.bases.len();
        self.losses.iter_mut().skip(worker).step_by(workers).for_each(|it| *it = UNKNOWN);
    }

    /// Reports whether a figure has been computed.
    pub(super) fn is_known(&self, worker: usize, level: LoadLevel) -> bool {
        self.bases[worker].generations[level.as_usize()] != 0
    }

    /// Reports whether a figure rests on the present table and residents.
    pub(super) fn is_current(&self, worker: usize, view: &WorkerView, level: LoadLevel) -> bool {
        let basis = &self.bases[worker];
        basis.generations[level.as_usize()] == self.generation
            && basis.committed == view.committed
            && self.residents[worker] == view.residents
    }

    /// Computes the figures of a worker at a load level.
    pub(super) fn renew(
        &mut self,
        table: &SlowdownTable,
        worker: usize,
        view: &WorkerView,
        level: LoadLevel,
    ) {
        let basis = &mut self.bases[worker];
        let residents = &mut self.residents[worker];
        if basis.committed != view.committed || *residents != view.residents {
            basis.committed = view.committed;
            residents.clear();
            residents.extend_from_slice(&view.residents);
            self.forget(worker);
        }
        let present = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
        self.compute(table, worker, present);
        if present != level {
            self.compute(table, worker, level);
            // Every resident feels it when the worker reaches another level.
            let totals = self.totals[worker];
            let more = totals[level.as_usize()] - totals[present.as_usize()];
            for class in 0..self.classes {
                let position = self.position(class, level, worker);
                self.losses[position] += more.max(0.0);
            }
        }
    }

    /// Computes the losses of all classes at a load level, as if the worker
    /// were at that level already.
    fn compute(&mut self, table: &SlowdownTable, worker: usize, level: LoadLevel) {
        let classes = self.classes;
        let losses = &mut self.row[..classes];
        let logs = &mut self.logs[..classes];
        logs.fill(0.0);
        for &(class, count) in &self.residents[worker] {
            let count = f32::from(count);
            let caused = &table.log_row(level, class)[..classes];
            logs.iter_mut().zip(caused).for_each(|(sum, it)| *sum += count * it);
        }
        for ((loss, log), class) in losses.iter_mut().zip(&*logs).zip(&self.weights) {
            let slowdown = log.exp();
            let lost = if class.critical { slowdown - 1.0 } else { 1.0 - 1.0 / slowdown };
            *loss = class.weight * lost;
        }
        let mut total = 0.0;
        for &(victim, count) in &self.residents[worker] {
            let class = self.weights[victim.as_usize()];
            let own = table.log_row(level, victim)[victim.as_usize()];
            let slowdown = (logs[victim.as_usize()] - own).exp();
            let weight = f32::from(count) * class.weight;
            let excesses = &table.excess_row(level, victim)[..classes];
            if class.critical {
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
        self.bases[worker].generations[level.as_usize()] = self.generation;
    }

    fn position(&self, class: usize, level: LoadLevel, worker: usize) -> usize {
        (class * LOAD_LEVELS + level.as_usize()) * self.bases.len() + worker
    }
}
