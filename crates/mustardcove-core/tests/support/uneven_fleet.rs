//! Workers of different speed around a planner, in virtual time, whose polls
//! are answered when a run ends or after a while.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, RunNumber, SubmissionId, TaskKey, Term},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, StartOutcome, WorkerReport},
        planner::{Decision, DecisionKind, Planner},
        submission::{StepSpec, Submission, SubmissionState},
    },
    id::WorkerId,
    time::Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet_world::{listing, manifest};

pub(crate) const START: Timestamp = Timestamp(100_000);
const STEP_MS: u64 = 10;
const POLL_HOLD_MS: u64 = 800;
const MIN_POLL_MS: u64 = 220;
const STOP_MS: u64 = 300;
const RESTORE_MS: f64 = 400.0;

/// What a worker does with its runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Condition {
    /// Works at a fraction of the usual speed.
    Speed(f64),
    /// Fails every run.
    Failing,
    /// Fails every run and is sound by turns of this length, in milliseconds.
    Flapping(u64),
}

struct SimRun {
    run: RunNumber,
    work_ms: f64,
    done_ms: f64,
    fails_at: Option<Timestamp>,
    stops_at: Option<Timestamp>,
    saves_progress: bool,
}

impl SimRun {
    fn percent(&self) -> u8 {
        (self.done_ms / self.work_ms * 100.0).clamp(0.0, 100.0) as u8
    }

    fn checkpoint(&self) -> Option<String> {
        self.saves_progress.then(|| self.percent().to_string())
    }
}

pub(crate) struct SimWorker {
    pub(crate) id: WorkerId,
    pub(crate) condition: Condition,
    running: BTreeMap<TaskKey, SimRun>,
    ended: Vec<EndedRun>,
    ends: u64,
    asked_at: Timestamp,
    pub(crate) starts: u64,
    pub(crate) failures: u64,
}

impl SimWorker {
    fn is_failing(&self, now: Timestamp) -> bool {
        match self.condition {
            Condition::Speed(_) => false,
            Condition::Failing => true,
            Condition::Flapping(ms) => now.0 / ms % 2 == 1,
        }
    }

    fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(run) = self.running.remove(&task) else { return };
        self.ends += 1;
        self.failures += u64::from(kind == EndKind::Failed);
        let number = EndNumber(self.ends);
        let checkpoint = run.checkpoint();
        self.ended.push(EndedRun { number, task, run: run.run, kind, checkpoint });
    }

    fn advance(&mut self, now: Timestamp) {
        let is_failing = self.is_failing(now);
        let speed = match self.condition {
            Condition::Speed(it) => it,
            Condition::Failing | Condition::Flapping(_) => 1.0,
        };
        let mut ends = Vec::new();
        for (task, run) in &mut self.running {
            run.done_ms += STEP_MS as f64 * speed;
            if is_failing {
                run.fails_at.get_or_insert(now.plus_ms(50));
            }
            if run.stops_at.is_some_and(|it| it <= now) {
                ends.push((*task, EndKind::Stopped));
            } else if run.fails_at.is_some_and(|it| it <= now) {
                ends.push((*task, EndKind::Failed));
            } else if run.work_ms <= run.done_ms {
                ends.push((*task, EndKind::Done));
            }
        }
        for (task, kind) in ends {
            self.end(task, kind);
        }
    }

    fn answer(&mut self, now: Timestamp) -> Option<PollResult> {
        let held_ms = now.ms_since(self.asked_at);
        if held_ms < POLL_HOLD_MS && (self.ended.is_empty() || held_ms < MIN_POLL_MS) {
            return None;
        }
        let running = self.running.iter().map(|(task, it)| RunningTask {
            task: *task,
            run: it.run,
            checkpoint: it.checkpoint(),
            percent: it.percent(),
            measurement: 1_000,
        });
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: now.plus_ms(4_000),
            responsive_since: START,
            asked_at: self.asked_at,
            running: running.collect(),
            ended: std::mem::take(&mut self.ended),
            may_lack_ends: false,
        };
        self.asked_at = now;
        Some(poll)
    }
}

pub(crate) struct Fleet {
    pub(crate) planner: Planner,
    pub(crate) now: Timestamp,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) workers: Vec<SimWorker>,
    pub(crate) states: BTreeMap<SubmissionId, SubmissionState>,
    pub(crate) completed_at: BTreeMap<SubmissionId, Timestamp>,
    pub(crate) decisions: Vec<Decision>,
    /// Real durations as a share of the estimate, by submission.
    errors: BTreeMap<SubmissionId, f64>,
    specs: BTreeMap<SubmissionId, Vec<StepSpec>>,
    /// Share of the tasks that take 7 times as long, in percent.
    pub(crate) long_percent: u32,
    /// Time before a run without a checkpoint progresses, in milliseconds.
    pub(crate) delay_ms: f64,
    /// Durations within a step are between these factors.
    pub(crate) spread: std::ops::Range<f64>,
    revision: u64,
    lengths: BTreeMap<TaskKey, f64>,
}

impl Fleet {
    pub(crate) fn new(seed: u64, workers: usize, cpu: u64, attempts: u32) -> Fleet {
        let listings: Vec<_> =
            (0..workers).map(|it| listing(&format!("w{it:03}"), cpu, Incarnation(1))).collect();
        let mut planner = Planner::new(Term(1), 1, manifest(attempts), START);
        planner.update_workers(listings.clone(), true);
        let worker = |(i, id): (usize, WorkerId)| SimWorker {
            id,
            condition: Condition::Speed(1.0),
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            asked_at: START.minus_ms(POLL_HOLD_MS - (i as u64 * 37) % POLL_HOLD_MS),
            starts: 0,
            failures: 0,
        };
        Fleet {
            planner,
            now: START,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers: listings.into_iter().map(|it| it.worker).enumerate().map(worker).collect(),
            states: BTreeMap::new(),
            completed_at: BTreeMap::new(),
            decisions: Vec::new(),
            errors: BTreeMap::new(),
            specs: BTreeMap::new(),
            long_percent: 0,
            delay_ms: 0.0,
            spread: 1.0..1.01,
            revision: 0,
            lengths: BTreeMap::new(),
        }
    }

    /// Submits work whose tasks take `error` times as long as estimated.
    pub(crate) fn submit(&mut self, submission: Arc<Submission>, error: f64) {
        self.errors.insert(submission.id, error);
        self.specs.insert(submission.id, submission.steps.clone());
        self.planner.submit(submission, true, self.now);
    }

    fn work_ms(&mut self, task: TaskKey) -> f64 {
        let id = task.step.submission;
        let estimate_ms = self.specs[&id][usize::from(task.step.step)].estimate_ms as f64;
        let error = self.errors[&id];
        let rng = &mut self.rng;
        let (long_percent, spread) = (self.long_percent, self.spread.clone());
        let length = *self.lengths.entry(task).or_insert_with(|| {
            let is_long = rng.random_range(0..100) < long_percent;
            rng.random_range(spread) * if is_long { 7.0 } else { 1.0 }
        });
        estimate_ms * error * length
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now = self.now.plus_ms(STEP_MS);
            for worker in &mut self.workers {
                worker.advance(self.now);
                if let Some(poll) = worker.answer(self.now) {
                    self.planner.report(&worker.id, WorkerReport::Polled(poll), self.now);
                }
            }
            self.plan();
        }
    }

    fn plan(&mut self) {
        let now = self.now;
        self.planner.tick(now);
        let (change, records) = self.planner.take_progress();
        for (id, ..) in records {
            self.revision += 1;
            self.planner.record_stored(id, self.revision, change);
        }
        self.planner.acknowledge_stored();
        let actions = self.planner.take_actions();
        for (id, state) in actions.states {
            self.states.insert(id, state);
            if state == SubmissionState::Completed {
                self.completed_at.insert(id, now);
            }
        }
        self.decisions.extend(actions.decisions);
        for (id, order) in actions.orders {
            let index = self.workers.iter().position(|it| it.id == id).expect("a worker");
            match order {
                Order::Start(start) => {
                    let (task, run) = (start.task, start.run);
                    let work_ms = self.work_ms(task);
                    let spec = &self.specs[&task.step.submission][usize::from(task.step.step)];
                    let saves_progress = spec.saves_progress;
                    let resumed = start.checkpoint.map(|it| it.parse().expect("a percentage"));
                    let done_ms =
                        resumed.map_or(-self.delay_ms, |it: f64| it / 100.0 * work_ms - RESTORE_MS);
                    let worker = &mut self.workers[index];
                    worker.starts += 1;
                    let run_state = SimRun {
                        run,
                        work_ms,
                        done_ms,
                        fails_at: None,
                        stops_at: None,
                        saves_progress,
                    };
                    worker.running.insert(task, run_state);
                    let outcome = StartOutcome::Started;
                    let report = WorkerReport::Start { task, run, outcome, answered_at: now };
                    self.planner.report(&id, report, now);
                }
                Order::Stop { task, run } => {
                    let running = &mut self.workers[index].running;
                    if let Some(it) = running.get_mut(&task).filter(|it| it.run == run) {
                        it.stops_at.get_or_insert(now.plus_ms(STOP_MS));
                    }
                    let report =
                        WorkerReport::Stop { task, run, is_confirmed: true, answered_at: now };
                    self.planner.report(&id, report, now);
                }
                Order::Pace { .. } | Order::AcknowledgeEnds { .. } => {}
            }
        }
    }

    pub(crate) fn decided(&self, kind: DecisionKind) -> usize {
        self.decisions.iter().filter(|it| it.kind == kind).count()
    }

    pub(crate) fn count(&self, state: SubmissionState) -> usize {
        self.states.values().filter(|it| **it == state).count()
    }

    /// Returns the number of runs on a worker.
    pub(crate) fn running(&self, worker: usize) -> usize {
        self.workers[worker].running.len()
    }

    /// Returns the most runs that any task has at a time.
    pub(crate) fn most_runs(&self) -> usize {
        let mut runs: BTreeMap<TaskKey, usize> = BTreeMap::new();
        for task in self.workers.iter().flat_map(|it| it.running.keys()) {
            *runs.entry(*task).or_default() += 1;
        }
        runs.into_values().max().unwrap_or(0)
    }
}
