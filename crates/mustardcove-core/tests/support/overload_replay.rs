//! Replays a load of finite submissions on simulated workers, whose best-effort
//! runs share the processor time that batch runs leave over.

use std::{collections::BTreeMap, sync::Arc};

use mustardcove_core::{
    fleet::{
        id::{SubmissionId, TaskKey},
        manifest::{Manifest, Queue},
        message::{EndKind, Order},
        planner::Decision,
        submission::{StepSpec, Submission, SubmissionState},
    },
    size::Resources,
    time::Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{fleet_world, planner_rig::Rig};

/// Simulated time between two plans, in milliseconds.
pub(crate) const TICK_MS: u64 = 100;
/// Processors of a worker, in millicores.
pub(crate) const WORKER_CPU: u64 = 64_000;
/// Processors and estimated duration of a best-effort task.
pub(crate) const TASK_CPU: u64 = 3_500;
pub(crate) const TASK_MS: u64 = 2_700;
/// Time that a run needs to resume from a checkpoint, in milliseconds.
const RESTORE_MS: u64 = 300;
/// Time up to which a late submission is worth something, as a multiple of the
/// time that its SLO deadline allows.
const WORTHLESS_FACTOR: u64 = 3;

/// A submission as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) tasks: usize,
    pub(crate) due_at: Timestamp,
    pub(crate) slo_deadline: Timestamp,
    pub(crate) done_at: Option<Timestamp>,
}

impl Caller {
    /// Returns the share of its value that it got.
    pub(crate) fn value(&self) -> f64 {
        let allowed_ms = self.slo_deadline.ms_since(self.due_at);
        match self.done_at {
            Some(at) if at <= self.slo_deadline => 1.0,
            Some(at) if at <= self.due_at.plus_ms(allowed_ms * WORTHLESS_FACTOR) => 0.15,
            _ => 0.0,
        }
    }

    pub(crate) fn is_served(&self) -> bool {
        0.0 < self.value()
    }
}

/// What a task has done, in milliseconds at full speed.
#[derive(Clone, Copy, Debug)]
struct TaskState {
    needed_ms: u64,
    done_ms: u64,
    restore_ms: u64,
}

pub(crate) struct Replay {
    pub(crate) rig: Rig,
    pub(crate) callers: BTreeMap<SubmissionId, Caller>,
    /// Each start, in order.
    pub(crate) starts: Vec<(Timestamp, TaskKey)>,
    pub(crate) decisions: Vec<(Timestamp, Decision)>,
    tasks: BTreeMap<TaskKey, TaskState>,
    paces: BTreeMap<TaskKey, u8>,
    specs: BTreeMap<SubmissionId, Arc<Submission>>,
    rng: ChaCha8Rng,
}

fn queue(priority: u8) -> Queue {
    let (stretch, delay_budget_ms) = if priority == 0 { (1.5, 400) } else { (2.0, 1_000) };
    let (name, prefix) = (format!("queue-{priority}"), format!("/{priority}/"));
    Queue { name, prefix, priority, stretch, delay_budget_ms, ..fleet_world::queue(4) }
}

/// Returns how long a task takes, in percent of its estimate: the same whatever
/// the order of work.
fn actual_percent(task: TaskKey) -> u64 {
    let TaskKey { step, index } = task;
    let seed = (step.submission.0 << 32) + (u64::from(step.step) << 16) + u64::from(index);
    ChaCha8Rng::seed_from_u64(seed).random_range(60..170)
}

/// Returns a best-effort step that saves its progress.
pub(crate) fn best_effort(tasks: u16, estimate_ms: u64, after: &[u16]) -> StepSpec {
    StepSpec {
        count: tasks,
        demand: Resources::new(TASK_CPU, 64, 0),
        estimate_ms,
        after: after.to_vec(),
        saves_progress: true,
        is_best_effort: true,
        ..StepSpec::default()
    }
}

impl Replay {
    pub(crate) fn new(workers: usize, seed: u64) -> Replay {
        let names: Vec<String> = (0..workers).map(|it| format!("w{it}")).collect();
        let workers: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), WORKER_CPU)).collect();
        let queues = vec![queue(0), queue(2)];
        let manifest = Manifest { queues, ..(*fleet_world::manifest(4)).clone() };
        Replay {
            rig: Rig::new(Arc::new(manifest), &workers),
            callers: BTreeMap::new(),
            starts: Vec::new(),
            decisions: Vec::new(),
            tasks: BTreeMap::new(),
            paces: BTreeMap::new(),
            specs: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Submits best-effort work of two steps of `tasks` tasks each.
    pub(crate) fn submit(&mut self, tasks: u16) -> SubmissionId {
        let steps = vec![best_effort(tasks, TASK_MS, &[]), best_effort(tasks, TASK_MS, &[0])];
        self.submit_steps(2, steps, 0)
    }

    /// Submits steps that were due `age_ms` ago.
    pub(crate) fn submit_steps(
        &mut self,
        priority: u8,
        steps: Vec<StepSpec>,
        age_ms: u64,
    ) -> SubmissionId {
        let due_at = self.rig.now.minus_ms(age_ms);
        let id = SubmissionId(1 + self.callers.len() as u64);
        let submission = Submission {
            queue: queue(priority),
            ..(*fleet_world::submission(id.0, steps, due_at)).clone()
        };
        let submission = Arc::new(submission);
        let path = submission.critical_paths_ms().into_iter().max().unwrap_or(0);
        let queue = &submission.queue;
        let allowed_ms = (path as f64 * queue.stretch) as u64 + queue.delay_budget_ms;
        let caller = Caller {
            tasks: submission.steps.iter().map(|it| usize::from(it.count)).sum(),
            due_at,
            slo_deadline: due_at.plus_ms(allowed_ms),
            done_at: None,
        };
        self.callers.insert(id, caller);
        self.specs.insert(id, submission.clone());
        self.rig.submit(submission);
        id
    }

    /// Returns a random size around `mean`: a tenth of the submissions have four
    /// times as many tasks as the others.
    pub(crate) fn size(&mut self, mean: u16) -> u16 {
        if self.rng.random_bool(0.1) { mean * 3 } else { mean * 3 / 4 }
    }

    /// Returns a number of arrivals in this tick.
    pub(crate) fn arrivals(&mut self, per_s: f64) -> u32 {
        let expected = per_s * TICK_MS as f64 / 1_000.0;
        expected as u32 + u32::from(self.rng.random_bool(expected.fract()))
    }

    pub(crate) fn tick(&mut self) {
        self.rig.advance(TICK_MS);
        self.work();
        if (self.rig.now.0 / TICK_MS).is_multiple_of(3) {
            self.rig.poll_all();
        }
        self.rig.store();
        let starts = self.rig.plan();
        let now = self.rig.now;
        self.decisions.extend(self.rig.decisions.drain(..).map(|it| (now, it)));
        for (_, start) in starts {
            self.starts.push((self.rig.now, start.task));
            let spec = &self.specs[&start.task.step.submission].steps;
            let estimate_ms = spec[usize::from(start.task.step.step)].estimate_ms;
            let saves_progress = spec[usize::from(start.task.step.step)].saves_progress;
            let needed_ms = estimate_ms * actual_percent(start.task) / 100;
            let new = TaskState { needed_ms, done_ms: 0, restore_ms: 0 };
            let task = self.tasks.entry(start.task).or_insert(new);
            task.done_ms = if saves_progress { task.done_ms } else { 0 };
            task.restore_ms = if 0 < task.done_ms { RESTORE_MS } else { 0 };
            self.paces.insert(start.task, 100);
        }
        for (_, order) in std::mem::take(&mut self.rig.orders) {
            if let Order::Pace { task, percent, .. } = order {
                self.paces.insert(task, percent);
            }
        }
        let now = self.rig.now;
        for (id, state) in std::mem::take(&mut self.rig.states) {
            if state == SubmissionState::Completed
                && let Some(it) = self.callers.get_mut(&id)
            {
                it.done_at.get_or_insert(now);
            }
        }
    }

    /// Lets all runs work for a tick.
    fn work(&mut self) {
        let running: Vec<_> = (self.rig.workers.iter())
            .map(|(id, it)| (id.clone(), it.running.keys().copied().collect::<Vec<TaskKey>>()))
            .collect();
        for (worker, tasks) in running {
            let step =
                |it: &TaskKey| &self.specs[&it.step.submission].steps[usize::from(it.step.step)];
            let cpu_of = |is_best_effort: bool| -> u64 {
                let of_kind = tasks.iter().filter(|it| step(it).is_best_effort == is_best_effort);
                of_kind.map(|it| step(it).demand.cpu.0 * u64::from(self.paces[it]) / 100).sum()
            };
            let left = WORKER_CPU.saturating_sub(cpu_of(false));
            let share = (left as f64 / cpu_of(true).max(1) as f64).min(1.0);
            let speeds: Vec<(TaskKey, f64)> = tasks
                .iter()
                .map(|it| (*it, if step(it).is_best_effort { share } else { 1.0 }))
                .collect();
            for (task, speed) in speeds {
                let pace = f64::from(self.paces[&task]) / 100.0;
                let state = self.tasks.get_mut(&task).expect("a started task");
                let worked_ms = (TICK_MS as f64 * speed * pace) as u64;
                let restored_ms = worked_ms.min(state.restore_ms);
                state.restore_ms -= restored_ms;
                state.done_ms += worked_ms - restored_ms;
                if state.needed_ms <= state.done_ms {
                    self.rig.end(&worker, task, EndKind::Done);
                } else {
                    let percent = (state.done_ms * 100 / state.needed_ms) as u8;
                    self.rig.set_measurement(&worker, task, 1_000, percent);
                }
            }
        }
    }
}
