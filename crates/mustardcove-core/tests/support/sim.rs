//! A small simulation of one group of workers under a placement policy.
//!
//! Batch tasks of several classes share 48 workers with a service. Time goes in
//! steps of a second. Measurements are noisy, late, sometimes missing and
//! sometimes wrong by far.

#![allow(dead_code)]

use std::fmt;

use mustardcove_core::{
    class::{ClassIndex, ClassKind, ClassTable},
    interference::{LoadLevel, SlowdownTable},
    placement::{
        BestFitPolicy, LearnedPolicy, OraclePolicy, PlacementPolicy, PlacementRequest, WorkerView,
    },
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet;

pub(crate) const WORKERS: usize = 48;
const SLOTS: i32 = 8;
const SAMPLE_INTERVAL: u64 = 5;
const NOISE: f64 = 0.15;
const GROSS_ERROR_SHARE: f64 = 0.05;
const MISSING_SHARE: f64 = 0.1;

/// Name, processors, memory, run time in seconds, and share of arrivals.
const BATCH: [(&str, u64, u64, u64, f64); 6] = [
    ("binding", 4000, 12, 480, 0.10),
    ("scan", 2000, 8, 1200, 0.08),
    ("thumbnail", 1000, 2, 60, 0.40),
    ("transcode", 4000, 8, 180, 0.12),
    ("index", 2000, 16, 300, 0.12),
    ("report", 1000, 4, 120, 0.18),
];

/// Excess at the medium level, by victim and aggressor; the service is first.
const EXCESS: [[f64; 7]; 7] = [
    [0.000, 0.010, 0.005, 0.010, 0.150, 0.100, 0.005],
    [0.002, 0.010, 0.010, 0.005, 0.060, 0.040, 0.005],
    [0.002, 0.010, 0.030, 0.005, 0.010, 0.080, 0.005],
    [0.002, 0.010, 0.005, 0.005, 0.050, 0.020, 0.005],
    [0.002, 0.020, 0.010, 0.005, 0.120, 0.080, 0.005],
    [0.002, 0.010, 0.060, 0.005, 0.080, 0.100, 0.005],
    [0.001, 0.005, 0.005, 0.005, 0.020, 0.010, 0.005],
];

const LEVEL_FACTORS: [f64; 3] = [0.4, 1.0, 1.6];

/// What a run of the simulation showed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Figures {
    /// Latency of the service relative to running alone, 99th percentile.
    pub(crate) p99: f64,
    /// Batch work done, in processor seconds of running alone.
    pub(crate) work: f64,
}

pub(crate) fn classes() -> ClassTable {
    let mut classes = vec![fleet::class("proof", ClassKind::Service, 500, 1024)];
    classes[0].expected_run_ms = 100;
    classes[0].latency_target_ms = 200;
    for (name, cpu, memory, seconds, _) in BATCH {
        let mut class = fleet::class(name, ClassKind::Batch, cpu, memory * 1024);
        class.expected_run_ms = seconds * 1000;
        classes.push(class);
    }
    fleet::table(&classes)
}

pub(crate) fn truth() -> SlowdownTable {
    SlowdownTable::from_fn(EXCESS.len(), |level, victim, aggressor| {
        EXCESS[victim.as_usize()][aggressor.as_usize()] * LEVEL_FACTORS[level.as_usize()]
    })
}

pub(crate) fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// A measurement with noise and now and then a gross error.
pub(crate) fn measured(rng: &mut ChaCha8Rng, slowdown: f64) -> f64 {
    let gross = if rng.random_bool(GROSS_ERROR_SHARE) { rng.random_range(3.0..20.0) } else { 1.0 };
    slowdown * (NOISE * normal(rng)).exp() * gross
}

/// A measurement on its way, with the residents when it was taken.
struct Late {
    arrives: u64,
    sample: UsageSample,
    residents: Vec<(ClassIndex, u16)>,
    capacity: Resources,
}

struct Sim {
    rng: ChaCha8Rng,
    /// Kept apart, so that every policy is given the same tasks.
    arrivals: ChaCha8Rng,
    classes: ClassTable,
    truth: SlowdownTable,
    workers: Vec<WorkerView>,
    /// Work left per task in the order of each worker's tasks, in seconds.
    left: Vec<Vec<f64>>,
    /// What waits for a place, with its true run time in seconds.
    queue: Vec<(PlacementRequest, f64)>,
    late: Vec<Late>,
    next: u64,
}

impl Sim {
    fn new(seed: u64) -> Sim {
        let capacity = Resources::new(28_000, 117 * 1024, 0);
        let mut workers: Vec<_> = (0..WORKERS).map(|it| fleet::worker(it, capacity)).collect();
        workers.iter_mut().for_each(|it| fleet::add_residents(it, ClassIndex(0), SLOTS));
        Sim {
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrivals: ChaCha8Rng::seed_from_u64(!seed),
            classes: classes(),
            truth: truth(),
            workers,
            left: vec![Vec::new(); WORKERS],
            queue: Vec::new(),
            late: Vec::new(),
            next: 0,
        }
    }

    fn arrive(&mut self, now: Timestamp) {
        let mut point = self.arrivals.random::<f64>();
        let index = BATCH.iter().position(|it| {
            point -= it.4;
            point < 0.0
        });
        let class = ClassIndex(1 + index.unwrap_or(0) as u16);
        let of_class = self.classes.get(class);
        let mut request = fleet::request(self.next, class, of_class.resources);
        request.queued_since = now;
        request.expected_run_ms = of_class.expected_run_ms;
        let seconds = of_class.expected_run_ms as f64 / 1000.0;
        let seconds = seconds * (0.3 * normal(&mut self.arrivals)).exp();
        self.queue.push((request, seconds));
        self.next += 1;
    }

    fn place(&mut self, now: Timestamp, policy: &mut impl PlacementPolicy) {
        let (workers, left) = (&mut self.workers, &mut self.left);
        self.queue.retain(|(request, seconds)| {
            let Some(index) = policy.choose(now, &self.classes, request, workers) else {
                return true;
            };
            fleet::start(&mut workers[index], now, request);
            left[index].push(*seconds);
            false
        });
    }

    fn slowdown(&self, view: &WorkerView, class: ClassIndex) -> f64 {
        let level = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
        self.truth.slowdown(level, class, &view.residents)
    }

    /// Lets every task run for a second; returns the work done.
    fn run(&mut self) -> f64 {
        let mut work = 0.0;
        for index in 0..self.workers.len() {
            for position in (0..self.workers[index].tasks.len()).rev() {
                let task = &self.workers[index].tasks[position];
                let progress = 1.0 / self.slowdown(&self.workers[index], task.class);
                work += progress * task.resources.cpu.0 as f64 / 1000.0;
                self.left[index][position] -= progress;
            }
        }
        for (view, left) in self.workers.iter_mut().zip(&mut self.left) {
            for position in (0..left.len()).rev() {
                if left[position] <= 0.0 {
                    left.swap_remove(position);
                    fleet::end(view, position);
                }
            }
        }
        work
    }

    fn measure(&mut self, step: u64, now: Timestamp) {
        for index in 0..self.workers.len() {
            let tasks = self.workers[index].tasks.iter().map(|it| (it.class, Some(it.task)));
            let measured_classes: Vec<_> =
                [(ClassIndex(0), None)].into_iter().chain(tasks).collect();
            for (class, task) in measured_classes {
                if self.rng.random_bool(MISSING_SHARE) {
                    continue;
                }
                let slowdown = self.slowdown(&self.workers[index], class);
                let view = &self.workers[index];
                let sample = UsageSample {
                    worker: view.id.clone(),
                    taken_at: now,
                    class: self.classes.get(class).id.clone(),
                    task,
                    slowdown: measured(&mut self.rng, slowdown),
                    used: Resources::ZERO,
                };
                self.late.push(Late {
                    arrives: step + self.rng.random_range(1..10),
                    sample,
                    residents: view.residents.clone(),
                    capacity: view.capacity,
                });
            }
        }
    }

    fn deliver(&mut self, step: u64, now: Timestamp, policy: &mut impl PlacementPolicy) {
        let classes = &self.classes;
        self.late.retain(|it| {
            if it.arrives <= step {
                policy.observe(now, classes, &it.sample, &it.residents, it.capacity);
            }
            step < it.arrives
        });
    }
}

/// Runs the simulation for a warm-up and then a number of measured steps.
///
/// `load` is the number of tasks that arrive in a second, or `None` if there is
/// always more work than room.
pub(crate) fn run(
    policy: &mut impl PlacementPolicy,
    seed: u64,
    load: Option<f64>,
    (warm_up, steps): (u64, u64),
) -> Figures {
    let mut sim = Sim::new(seed);
    let mut latencies = Vec::new();
    let mut work = 0.0;
    for step in 0..warm_up + steps {
        let now = fleet::START.plus_ms(step * 1000);
        match load {
            Some(load) => {
                let arrivals =
                    load.floor() as usize + usize::from(sim.arrivals.random_bool(load.fract()));
                (0..arrivals).for_each(|_| sim.arrive(now));
            }
            None => {
                while sim.queue.len() < 40 {
                    sim.arrive(now);
                }
            }
        }
        sim.deliver(step, now, policy);
        sim.place(now, policy);
        policy.evictions(now, &sim.classes, &sim.workers, &[]);
        if warm_up <= step {
            for index in 0..WORKERS {
                let slowdown = sim.slowdown(&sim.workers[index], ClassIndex(0));
                latencies.push(slowdown * (0.25 * normal(&mut sim.rng)).exp());
            }
        }
        if step % SAMPLE_INTERVAL == 0 {
            sim.measure(step, now);
        }
        let done = sim.run();
        work += if warm_up <= step { done } else { 0.0 };
    }
    latencies.sort_by(f64::total_cmp);
    Figures { p99: latencies[latencies.len() * 99 / 100], work }
}

/// The policies' figures side by side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    naive: Figures,
    learned: Figures,
    oracle: Figures,
}

impl Comparison {
    pub(crate) fn run(seed: u64, load: Option<f64>, steps: (u64, u64)) -> Comparison {
        Comparison {
            naive: run(&mut BestFitPolicy::new(), seed, load, steps),
            learned: run(&mut LearnedPolicy::new(seed), seed, load, steps),
            oracle: run(&mut OraclePolicy::new(truth()), seed, load, steps),
        }
    }

    /// Returns the share of the distance from naive to oracle that is closed.
    pub(crate) fn closed(&self) -> f64 {
        (self.naive.p99 - self.learned.p99) / (self.naive.p99 - self.oracle.p99)
    }

    /// Returns the batch work done under learned placement relative to naive.
    pub(crate) fn relative_work(&self) -> f64 {
        self.learned.work / self.naive.work
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Comparison { naive, learned, oracle } = self;
        write!(f, "p99 {:.3}, {:.3}, {:.3}; ", naive.p99, learned.p99, oracle.p99)?;
        write!(f, "work {:.3}, {:.3}; ", self.relative_work(), oracle.work / naive.work)?;
        write!(f, "closed {:.0}%", 100.0 * self.closed())
    }
}
