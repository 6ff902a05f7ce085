//! A simulation of one group of workers under a placement policy.
//!
//! Batch tasks of several classes share 48 workers with a service. Time
//! advances in steps of a second. Measurements are noisy and late; some are
//! missing, and some are gross errors.

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

/// Slots of the service on each worker.
const SLOTS: i32 = 8;

/// Seconds between two samples of each class or task.
const SAMPLE_INTERVAL: u64 = 5;

/// Standard deviation of the logarithm of a measured slowdown.
const NOISE: f64 = 0.15;

const GROSS_ERROR_SHARE: f64 = 0.05;
const MISSING_SHARE: f64 = 0.1;

/// Name, millicores, memory in GiB, run time in seconds, and share of arrivals
/// of each batch class.
const BATCH: [(&str, u64, u64, u64, f64); 6] = [
    ("binding", 4000, 12, 480, 0.10),
    ("scan", 2000, 8, 1200, 0.08),
    ("thumbnail", 1000, 2, 60, 0.40),
    ("transcode", 4000, 8, 180, 0.12),
    ("index", 2000, 16, 300, 0.12),
    ("report", 1000, 4, 120, 0.18),
];

/// Excess slowdown at the medium load level, by victim and aggressor. The
/// service is the first class.
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

/// Results of a run of the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunResult {
    /// 99th percentile of the latency of the service relative to running alone.
    pub(crate) p99: f64,
    /// Completed batch work, in processor seconds of running alone.
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

/// Returns a slowdown with measurement noise and, in some cases, a gross error.
pub(crate) fn with_measurement_noise(rng: &mut ChaCha8Rng, slowdown: f64) -> f64 {
    let gross = if rng.random_bool(GROSS_ERROR_SHARE) { rng.random_range(3.0..20.0) } else { 1.0 };
    slowdown * (NOISE * normal(rng)).exp() * gross
}

/// A sample in transit, with the residents of the worker when it was taken.
struct SampleInTransit {
    arrival_step: u64,
    sample: UsageSample,
    residents: Vec<(ClassIndex, u16)>,
    capacity: Resources,
}

struct Sim {
    rng: ChaCha8Rng,
    /// Separate from `rng`, so that every policy is given the same tasks.
    arrivals: ChaCha8Rng,
    classes: ClassTable,
    truth: SlowdownTable,
    workers: Vec<WorkerView>,
    /// Remaining work of each task, in seconds, by worker and in the order of
    /// the worker's tasks.
    remaining: Vec<Vec<f64>>,
    /// Tasks that wait for a worker, with their true run times in seconds.
    queue: Vec<(PlacementRequest, f64)>,
    in_transit: Vec<SampleInTransit>,
    next_task: u64,
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
            remaining: vec![Vec::new(); WORKERS],
            queue: Vec::new(),
            in_transit: Vec::new(),
            next_task: 0,
        }
    }

    fn queue_arrival(&mut self, now: Timestamp) {
        let mut point = self.arrivals.random::<f64>();
        let index = BATCH.iter().position(|it| {
            point -= it.4;
            point < 0.0
        });
        let class = ClassIndex(1 + index.unwrap_or(0) as u16);
        let of_class = self.classes.get(class);
        let mut request = fleet::request(self.next_task, class, of_class.resources);
        request.queued_since = now;
        request.expected_run_ms = of_class.expected_run_ms;
        let seconds = of_class.expected_run_ms as f64 / 1000.0;
        let seconds = seconds * (0.3 * normal(&mut self.arrivals)).exp();
        self.queue.push((request, seconds));
        self.next_task += 1;
    }

    fn place_queued(&mut self, now: Timestamp, policy: &mut impl PlacementPolicy) {
        let (workers, remaining) = (&mut self.workers, &mut self.remaining);
        self.queue.retain(|(request, seconds)| {
            let Some(index) = policy.choose(now, &self.classes, request, workers) else {
                return true;
            };
            fleet::start(&mut workers[index], now, request);
            remaining[index].push(*seconds);
            false
        });
    }

    fn slowdown(&self, view: &WorkerView, class: ClassIndex) -> f64 {
        let level = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
        self.truth.slowdown(level, class, &view.residents)
    }

    /// Runs every task for a second and returns the completed batch work, in
    /// processor seconds.
    fn run(&mut self) -> f64 {
        let mut work = 0.0;
        for index in 0..self.workers.len() {
            for position in (0..self.workers[index].tasks.len()).rev() {
                let task = &self.workers[index].tasks[position];
                let progress = 1.0 / self.slowdown(&self.workers[index], task.class);
                work += progress * task.resources.cpu.0 as f64 / 1000.0;
                self.remaining[index][position] -= progress;
            }
        }
        for (view, remaining) in self.workers.iter_mut().zip(&mut self.remaining) {
            for position in (0..remaining.len()).rev() {
                if remaining[position] <= 0.0 {
                    remaining.swap_remove(position);
                    fleet::end(view, position);
                }
            }
        }
        work
    }

    fn take_samples(&mut self, step: u64, now: Timestamp) {
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
                    slowdown: with_measurement_noise(&mut self.rng, slowdown),
                    used: Resources::ZERO,
                };
                self.in_transit.push(SampleInTransit {
                    arrival_step: step + self.rng.random_range(1..10),
                    sample,
                    residents: view.residents.clone(),
                    capacity: view.capacity,
                });
            }
        }
    }

    fn deliver_samples(&mut self, step: u64, now: Timestamp, policy: &mut impl PlacementPolicy) {
        let classes = &self.classes;
        self.in_transit.retain(|it| {
            if it.arrival_step <= step {
                policy.observe(now, classes, &it.sample, &it.residents, it.capacity);
            }
            step < it.arrival_step
        });
    }
}

/// Runs the simulation for a warm-up and then a number of measured steps.
///
/// `load` is the mean number of tasks that arrive per second; `None` keeps more
/// tasks queued than the workers can hold.
pub(crate) fn run(
    policy: &mut impl PlacementPolicy,
    seed: u64,
    load: Option<f64>,
    (warm_up, steps): (u64, u64),
) -> RunResult {
    let mut sim = Sim::new(seed);
    let mut latencies = Vec::new();
    let mut work = 0.0;
    for step in 0..warm_up + steps {
        let now = fleet::START.plus_ms(step * 1000);
        match load {
            Some(load) => {
                let arrivals =
                    load.floor() as usize + usize::from(sim.arrivals.random_bool(load.fract()));
                (0..arrivals).for_each(|_| sim.queue_arrival(now));
            }
            None => {
                while sim.queue.len() < 40 {
                    sim.queue_arrival(now);
                }
            }
        }
        sim.deliver_samples(step, now, policy);
        sim.place_queued(now, policy);
        policy.choose_evictions(now, &sim.classes, &sim.workers, &[]);
        if warm_up <= step {
            for index in 0..WORKERS {
                let slowdown = sim.slowdown(&sim.workers[index], ClassIndex(0));
                latencies.push(slowdown * (0.25 * normal(&mut sim.rng)).exp());
            }
        }
        if step % SAMPLE_INTERVAL == 0 {
            sim.take_samples(step, now);
        }
        let done = sim.run();
        work += if warm_up <= step { done } else { 0.0 };
    }
    latencies.sort_by(f64::total_cmp);
    RunResult { p99: latencies[latencies.len() * 99 / 100], work }
}

/// Results of the naive, learned and oracle policies for the same arrivals.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    naive: RunResult,
    learned: RunResult,
    oracle: RunResult,
}

impl Comparison {
    pub(crate) fn run(seed: u64, load: Option<f64>, steps: (u64, u64)) -> Comparison {
        Comparison {
            naive: run(&mut BestFitPolicy::new(), seed, load, steps),
            learned: run(&mut LearnedPolicy::new(seed), seed, load, steps),
            oracle: run(&mut OraclePolicy::new(truth()), seed, load, steps),
        }
    }

    /// Returns the share of the p99 gap between naive and oracle placement that
    /// learned placement closes.
    pub(crate) fn gap_closed(&self) -> f64 {
        (self.naive.p99 - self.learned.p99) / (self.naive.p99 - self.oracle.p99)
    }

    /// Returns the batch work completed under learned placement relative to
    /// naive placement.
    pub(crate) fn relative_work(&self) -> f64 {
        self.learned.work / self.naive.work
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Comparison { naive, learned, oracle } = self;
        write!(f, "p99 {:.3}, {:.3}, {:.3}; ", naive.p99, learned.p99, oracle.p99)?;
        write!(f, "work {:.3}, {:.3}; ", self.relative_work(), oracle.work / naive.work)?;
        write!(f, "closed {:.0}%", 100.0 * self.gap_closed())
    }
}
