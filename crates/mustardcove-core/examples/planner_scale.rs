//! Measures what one start costs the planner, by size of the fleet.
//!
//! Simulated workers run latency-critical tasks that take most of the
//! capacity, short batch tasks, and best-effort tasks beside them, in
//! proportion to the size of the fleet. Only the time spent in the planner
//! counts. See `docs/CAPACITY.md`.
//!
//!     cargo run --release -p mustardcove-core --example planner_scale -- 350 1100 3000

#![allow(clippy::print_stdout, reason = "the table is the output of the program")]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, ManifestVersion, RunNumber, SubmissionId, TaskKey, Term},
        manifest::{Manifest, Queue, Service},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, StartOutcome, WorkerReport},
        planner::{Planner, WorkerListing},
        submission::{StepSpec, Submission},
    },
    id::WorkerId,
    size::Resources,
    time::Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "press";
const WORKER_MILLICORES: u64 = 32_000;
const WORKER_MEMORY_MIB: u64 = 125_000;
/// Simulated time, in milliseconds; the first part is not measured.
const RUN_MS: u64 = 12_000;
const WARM_UP_MS: u64 = 6_000;
/// Time between two plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 10;
/// Submissions in each second for 1,000 workers.
const BATCH_PER_S: f64 = 22.0;
const BEST_EFFORT_PER_S: f64 = 18.0;
/// Latency-critical submissions that run from the start, for 1,000 workers.
const LONG_RUNNING: f64 = 180.0;
const LONG_RUNNING_IMAGES: u64 = 16;
const BEST_EFFORT_IMAGES: u64 = 30;
/// Longest time for which a worker holds a poll, in milliseconds.
const POLL_WAIT_MS: u64 = 800;
const MIN_POLL_INTERVAL_MS: u64 = 220;

struct SimRun {
    run: RunNumber,
    /// Its beginning and end, unless it runs until it is stopped.
    work: Option<(Timestamp, Timestamp)>,
    measurement: u32,
}

struct SimWorker {
    id: WorkerId,
    running: BTreeMap<TaskKey, SimRun>,
    ended: Vec<EndedRun>,
    ends: u64,
    next_poll_at: Timestamp,
    has_new_end: bool,
}

struct Costs {
    total: Duration,
    reports: Duration,
    ticks: Duration,
    longest_tick: Duration,
    starts: u64,
    ends: u64,
    stops: u64,
}

struct Simulation {
    now: Timestamp,
    rng: ChaCha8Rng,
    planner: Planner,
    workers: Vec<SimWorker>,
    index: BTreeMap<WorkerId, usize>,
    durations: BTreeMap<SubmissionId, Option<u64>>,
    next_id: u64,
}

fn queue(priority: u8) -> Queue {
    Queue {
        name: format!("queue-{priority}"),
        host: "callers.example".to_owned(),
        prefix: format!("/{priority}/"),
        service: SERVICE.to_owned(),
        priority,
        attempts: 4,
        stretch: 2.0,
        delay_budget_ms: 1_000,
        needs_ticket: false,
    }
}

fn listing(index: usize) -> WorkerListing {
    WorkerListing {
        worker: format!("w{index}").parse().expect("a valid name"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: format!("d{}", index % 6).parse().expect("a valid name"),
        capacity: Resources::new(WORKER_MILLICORES, WORKER_MEMORY_MIB, 0),
        labels: vec![format!("kind-{}", index % 3), format!("r{}", index / 20)],
        is_draining: false,
        incarnation: Incarnation(1),
        host: None,
    }
}

impl Simulation {
    fn new(workers: usize) -> Simulation {
        let now = Timestamp(100_000);
        let manifest = Manifest {
            version: ManifestVersion(1),
            queues: vec![queue(0), queue(2)],
            services: vec![Service {
                name: SERVICE.to_owned(),
                rejects_overload: true,
                is_standby: false,
            }],
            limits: Default::default(),
        };
        let mut planner = Planner::new(Term(1), 1, Arc::new(manifest), now);
        let listings: Vec<WorkerListing> = (0..workers).map(listing).collect();
        planner.update_workers(listings.clone(), true);
        let workers: Vec<SimWorker> = listings
            .into_iter()
            .map(|it| SimWorker {
                id: it.worker,
                running: BTreeMap::new(),
                ended: Vec::new(),
                ends: 0,
                next_poll_at: now,
                has_new_end: false,
            })
            .collect();
        let index = workers.iter().enumerate().map(|(i, it)| (it.id.clone(), i)).collect();
        Simulation {
            now,
            rng: ChaCha8Rng::seed_from_u64(1),
            planner,
            workers,
            index,
            durations: BTreeMap::new(),
            next_id: 1,
        }
    }

    fn submit(&mut self, steps: Vec<StepSpec>, duration_ms: Option<u64>, priority: u8) {
        let id = SubmissionId(self.next_id);
        self.next_id += 1;
        self.durations.insert(id, duration_ms);
        let submission = Submission {
            id,
            queue: queue(priority),
            payload: "payload".into(),
            steps,
            schedule: None,
            accepted_at: self.now,
            manifest: Default::default(),
        };
        self.planner.submit(Arc::new(submission), true, self.now);
    }

    fn submit_long_running(&mut self) {
        let image = format!("serving-{}", self.rng.random_range(0..LONG_RUNNING_IMAGES));
        let spec = StepSpec {
            count: 24,
            demand: Resources::new(self.rng.random_range(4_800..8_000), 13_000, 0),
            estimate_ms: 400,
            is_long_running: true,
            image: Some(image.into()),
            tail_target_ms: Some(150),
            max_unavailable: 2,
            ..StepSpec::default()
        };
        self.submit(vec![spec], None, 0);
    }

    fn submit_batch(&mut self) {
        let spec = StepSpec {
            count: self.rng.random_range(6..20),
            demand: Resources::new(self.rng.random_range(3_500..9_000), 13_000, 0),
            estimate_ms: 640,
            ..StepSpec::default()
        };
        self.submit(vec![spec], Some(640), 0);
    }

    fn submit_best_effort(&mut self) {
        let image = format!("filling-{}", self.rng.random_range(0..BEST_EFFORT_IMAGES));
        let step = |after: Vec<u16>, count: u16, cpu: u64| StepSpec {
            count,
            demand: Resources::new(cpu, 6_400, 0),
            estimate_ms: 2_700,
            after,
            is_best_effort: true,
            saves_progress: true,
            image: Some(image.clone().into()),
            ..StepSpec::default()
        };
        let cpu = self.rng.random_range(2_500..4_500);
        let steps = vec![step(Vec::new(), 40, cpu), step(vec![0], 40, cpu)];
        self.submit(steps, Some(2_700), 2);
    }

    fn advance_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let now = self.now;
        let due = worker.running.iter().filter(|it| it.1.work.is_some_and(|work| work.1 <= now));
        let due: Vec<TaskKey> = due.map(|it| *it.0).collect();
        for task in due {
            Self::end(worker, task, EndKind::Done);
        }
    }

    fn end(worker: &mut SimWorker, task: TaskKey, kind: EndKind) {
        let Some(run) = worker.running.remove(&task) else { return };
        worker.ends += 1;
        let number = EndNumber(worker.ends);
        worker.ended.push(EndedRun { number, task, run: run.run, kind, checkpoint: None });
        worker.has_new_end = true;
    }

    fn poll(&mut self, index: usize, costs: &mut Costs) {
        let worker = &mut self.workers[index];
        let rng = &mut self.rng;
        let running = worker.running.iter().map(|(task, it)| RunningTask {
            task: *task,
            run: it.run,
            checkpoint: it.work.map(|_| "00000bb87a21d94b".to_owned()),
            percent: it.work.map_or(100, |(begin, end)| {
                (self.now.ms_since(begin) * 100 / end.ms_since(begin).max(1)).min(100) as u8
            }),
            measurement: it.measurement * rng.random_range(80..120) / 100,
        });
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: self.now.plus_ms(4_300),
            responsive_since: Timestamp(100_000),
            asked_at: self.now,
            running: running.collect(),
            ended: std::mem::take(&mut worker.ended),
            may_lack_ends: false,
        };
        worker.has_new_end = false;
        worker.next_poll_at = self.now.plus_ms(POLL_WAIT_MS);
        costs.ends += poll.ended.len() as u64;
        let began = Instant::now();
        self.planner.report(&worker.id, WorkerReport::Polled(poll), self.now);
        costs.reports += began.elapsed();
    }

    fn plan(&mut self, costs: &mut Costs) {
        let began = Instant::now();
        self.planner.tick(self.now);
        let tick = began.elapsed();
        costs.ticks += tick;
        costs.longest_tick = costs.longest_tick.max(tick);
        let (change, records) = self.planner.take_progress();
        for (id, ..) in &records {
            self.planner.record_stored(*id, change, change);
        }
        self.planner.acknowledge_stored();
        for (id, order) in self.planner.take_actions().orders {
            let worker = &mut self.workers[self.index[&id]];
            match order {
                Order::Start(start) => {
                    costs.starts += 1;
                    let (task, run) = (start.task, start.run);
                    let duration = self.durations[&task.step.submission];
                    let work = duration.map(|it| {
                        (self.now, self.now.plus_ms(self.rng.random_range(it / 2..it * 3 / 2)))
                    });
                    let measurement = if work.is_some() { 3_000 } else { 60 };
                    worker.running.insert(task, SimRun { run, work, measurement });
                    let outcome = StartOutcome::Started;
                    let report = WorkerReport::Start { task, run, outcome, answered_at: self.now };
                    let began = Instant::now();
                    self.planner.report(&id, report, self.now);
                    costs.reports += began.elapsed();
                }
                Order::Stop { task, run } => {
                    costs.stops += 1;
                    if worker.running.get(&task).is_some_and(|it| it.run == run) {
                        Self::end(worker, task, EndKind::Stopped);
                    }
                    let report =
                        WorkerReport::Stop { task, run, is_confirmed: true, answered_at: self.now };
                    self.planner.report(&id, report, self.now);
                }
                Order::Pace { .. } | Order::AcknowledgeEnds { .. } => {}
            }
        }
    }

    fn run(&mut self, load: f64) -> Costs {
        let fleet = self.workers.len() as f64 / 1_000.0;
        for _ in 0..(LONG_RUNNING * fleet) as usize {
            self.submit_long_running();
        }
        let mut costs = Costs {
            total: Duration::ZERO,
            reports: Duration::ZERO,
            ticks: Duration::ZERO,
            longest_tick: Duration::ZERO,
            starts: 0,
            ends: 0,
            stops: 0,
        };
        let (mut batch, mut best_effort) = (0.0, 0.0);
        let begin = self.now;
        while self.now < begin.plus_ms(RUN_MS) {
            let is_warm = begin.plus_ms(WARM_UP_MS) <= self.now;
            if !is_warm {
                costs.reports = Duration::ZERO;
                costs.ticks = Duration::ZERO;
                costs.longest_tick = Duration::ZERO;
                (costs.starts, costs.ends, costs.stops) = (0, 0, 0);
            }
            let seconds = PLAN_INTERVAL_MS as f64 / 1_000.0;
            batch += BATCH_PER_S * fleet * load * seconds;
            best_effort += BEST_EFFORT_PER_S * fleet * load * seconds;
            while 1.0 <= batch {
                batch -= 1.0;
                self.submit_batch();
            }
            while 1.0 <= best_effort {
                best_effort -= 1.0;
                self.submit_best_effort();
            }
            for index in 0..self.workers.len() {
                self.advance_worker(index);
                let worker = &self.workers[index];
                let earliest = worker.next_poll_at.minus_ms(POLL_WAIT_MS - MIN_POLL_INTERVAL_MS);
                let is_due =
                    worker.next_poll_at <= self.now || (worker.has_new_end && earliest <= self.now);
                if is_due {
                    self.poll(index, &mut costs);
                }
            }
            self.plan(&mut costs);
            self.now = self.now.plus_ms(PLAN_INTERVAL_MS);
        }
        costs.total = costs.reports + costs.ticks;
        costs
    }
}

fn main() {
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    let load = match args.iter().position(|it| it == "--load") {
        Some(at) => args.drain(at..).nth(1).and_then(|it| it.parse().ok()).unwrap_or(1.0),
        None => 1.0,
    };
    let sizes: Vec<usize> = args.iter().filter_map(|it| it.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![50, 350, 1_100, 3_000] } else { sizes };
    println!(
        "{:>8} {:>9} {:>9} {:>9} {:>11} {:>9} {:>9} {:>10} {:>11}",
        "workers",
        "starts/s",
        "ends/s",
        "stops/s",
        "us a start",
        "core",
        "reports",
        "ticks",
        "longest ms"
    );
    let seconds = (RUN_MS - WARM_UP_MS) as f64 / 1_000.0;
    for workers in sizes {
        let costs = Simulation::new(workers).run(load);
        println!(
            "{:>8} {:>9.0} {:>9.0} {:>9.0} {:>11.1} {:>9.3} {:>9.3} {:>10.3} {:>11.1}",
            workers,
            costs.starts as f64 / seconds,
            costs.ends as f64 / seconds,
            costs.stops as f64 / seconds,
            costs.total.as_secs_f64() * 1e6 / (costs.starts.max(1)) as f64,
            costs.total.as_secs_f64() / seconds,
            costs.reports.as_secs_f64() / seconds,
            costs.ticks.as_secs_f64() / seconds,
            costs.longest_tick.as_secs_f64() * 1e3,
        );
    }
}
