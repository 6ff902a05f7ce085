//! Simulations of best-effort work beside latency-critical tasks.
//!
//! The simulated utilisation of a latency-critical task is its load times one
//! plus the excess of its neighbours, and its tail is the tail on an idle
//! worker divided by the unused fraction of its time.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{collections::BTreeMap, sync::Arc};

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{RunNumber, SubmissionId, TaskKey},
        message::{EndKind, Order},
        record::LearnedInterference,
        submission::StepSpec,
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

const CPU: u64 = 32_000;
const WORKERS: [(&str, u64); 6] =
    [("w0", CPU), ("w1", CPU), ("w2", CPU), ("w3", CPU), ("w4", CPU), ("w5", CPU)];
/// Tail on an idle worker and target of the tail, in milliseconds.
const IDLE_TAIL_MS: f64 = 25.0;
const TAIL_TARGET_MS: u32 = 150;
const BEST_EFFORT_MS: u64 = 2_000;
/// Period of the load, in ticks of 200 ms.
const LOAD_PERIOD_TICKS: f64 = 100.0;

fn long_running(image: &str) -> StepSpec {
    StepSpec {
        is_long_running: true,
        image: Some(Arc::from(image)),
        tail_target_ms: Some(TAIL_TARGET_MS),
        ..step(9, 6_000, &[])
    }
}

fn best_effort(image: &str) -> StepSpec {
    StepSpec {
        is_best_effort: true,
        saves_progress: true,
        image: Some(Arc::from(image)),
        estimate_ms: BEST_EFFORT_MS,
        ..step(4, 3_500, &[])
    }
}

fn pressure(latency_critical: u64, best_effort: u64) -> f64 {
    // Latency-critical submissions with even ids are sensitive; best-effort
    // ones with odd ids put a high pressure on them.
    if latency_critical.is_multiple_of(2) && !best_effort.is_multiple_of(2) { 5.0 } else { 0.3 }
}

/// The outcome of a simulation.
struct Outcome {
    /// Longest time that a task was over its target without a break, in
    /// milliseconds.
    longest_over_ms: u64,
    best_effort_done: usize,
}

/// Simulates best-effort tasks beside latency-critical ones, whose load swings
/// by half around its mean as the users' load does.
fn simulate(seconds: u64, mean_load: f64, best_effort_ms: u64, paces_arrive: bool) -> Outcome {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    rig.submit(submission(100, vec![long_running("sensitive")], START));
    rig.submit(submission(101, vec![long_running("robust")], START));
    rig.plan();
    let mut pace: BTreeMap<(TaskKey, RunNumber), f64> = BTreeMap::new();
    let mut worked: BTreeMap<(TaskKey, WorkerId), f64> = BTreeMap::new();
    let mut over_since: BTreeMap<TaskKey, Timestamp> = BTreeMap::new();
    let (mut longest, mut done, mut next) = (0, 0, 0);
    for tick in 0..seconds * 5 {
        rig.advance(200);
        let phase = |id: SubmissionId| tick as f64 / LOAD_PERIOD_TICKS + id.0 as f64 / 3.0;
        let load = |id| mean_load * (1.0 + 0.5 * (phase(id) * std::f64::consts::TAU).sin());
        if tick.is_multiple_of(4) {
            let image = ["gentle", "harsh"][next as usize % 2];
            rig.submit(submission(next, vec![best_effort(image)], rig.now));
            next += 1;
        }
        let running = rig.running();
        let is_best_effort_task = |it: &TaskKey| it.step.submission < SubmissionId(100);
        let paces: BTreeMap<TaskKey, f64> = pace.iter().map(|(key, it)| (key.0, *it)).collect();
        let share = |it: &TaskKey| 3_500.0 / CPU as f64 * paces.get(it).copied().unwrap_or(1.0);
        for (task, worker) in &running {
            if is_best_effort_task(task) {
                let progress = worked.entry((*task, worker.clone())).or_default();
                *progress += 200.0 * paces.get(task).copied().unwrap_or(1.0);
                let percent = (*progress * 100.0 / best_effort_ms as f64).min(99.0) as u8;
                rig.set_measurement(worker, *task, (share(task) * CPU as f64) as u32, percent);
                continue;
            }
            let beside = running.iter().filter(|it| it.1 == worker && is_best_effort_task(it.0));
            let excess: f64 = beside
                .map(|it| pressure(task.step.submission.0, it.0.step.submission.0) * share(it.0))
                .sum();
            let tail = IDLE_TAIL_MS / (1.0 - load(task.step.submission) * (1.0 + excess)).max(0.01);
            if f64::from(TAIL_TARGET_MS) <= tail {
                let since = *over_since.entry(*task).or_insert(rig.now);
                longest = longest.max(rig.now.ms_since(since));
            } else {
                over_since.remove(task);
            }
            rig.set_measurement(worker, *task, tail as u32, 100);
        }
        for (task, worker) in running {
            let key = (task, worker.clone());
            if worked.get(&key).is_some_and(|it| best_effort_ms as f64 <= *it) {
                rig.end(&worker, task, EndKind::Done);
                done += 1;
            }
        }
        rig.poll_all();
        rig.plan();
        for (_, order) in std::mem::take(&mut rig.orders) {
            if let Order::Pace { task, run, percent } = order
                && paces_arrive
            {
                pace.insert((task, run), f64::from(percent) / 100.0);
            }
        }
    }
    Outcome { longest_over_ms: longest, best_effort_done: done }
}

/// Guards against latency-critical tasks that stay over their target because
/// of best-effort neighbours: users accept 4 s at most.
#[test]
fn overload_ends() {
    for load in [0.3, 0.48, 0.55] {
        let outcome = simulate(30, load, BEST_EFFORT_MS, true);
        assert!(
            outcome.longest_over_ms < 4_000,
            "over the target for {} ms at load {load}",
            outcome.longest_over_ms
        );
    }
}

/// Guards against best-effort work that is starved although there is capacity
/// for it: at a moderate load, half of what is submitted has to be done.
#[test]
fn best_effort_progress() {
    let outcome = simulate(30, 0.4, BEST_EFFORT_MS, true);
    // Four tasks every 800 ms.
    let submitted = 30 * 1_000 / 800 * 4;
    assert!(
        submitted / 2 <= outcome.best_effort_done,
        "{} of {submitted}",
        outcome.best_effort_done
    );
}

/// Guards against a new leader that slows down latency-critical tasks to learn
/// again what the one before had learned.
#[test]
fn learned_interference_restored() {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    let learned = LearnedInterference {
        images: vec![("s".into(), Some(33.0)), ("f".into(), None)],
        pressures: vec![(0, 1, 4.5)],
    };
    rig.planner.restore_learned_interference(&learned);
    assert_eq!(rig.planner.learned_interference(), learned);
    let unknown = LearnedInterference { images: Vec::new(), pressures: vec![(3, 9, 1.0)] };
    rig.planner.restore_learned_interference(&unknown);
    assert_eq!(
        rig.planner.learned_interference(),
        learned,
        "a record that names no image changes nothing"
    );
}

/// Guards against tasks that stay over their target because changes of pace
/// are lost on their way or do not suffice (hunt of khuudas-sched-grown, mix
/// 194343938272).
#[test]
fn lost_paces() {
    for load in [0.3, 0.48, 0.55] {
        let outcome = simulate(30, load, 4 * BEST_EFFORT_MS, false);
        assert!(
            outcome.longest_over_ms < 4_000,
            "over the target for {} ms at load {load}",
            outcome.longest_over_ms
        );
    }
}

/// Guards against images that spread over all workers before the next one
/// arrives: best-effort tasks were then rejected nearly everywhere.
#[test]
fn images_separated() {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    for (id, image) in ["a", "b", "c"].into_iter().enumerate() {
        let latency_critical = StepSpec { count: 8, ..long_running(image) };
        rig.submit(submission(id as u64, vec![latency_critical], START));
        rig.plan();
    }
    let mut images: BTreeMap<WorkerId, Vec<SubmissionId>> = BTreeMap::new();
    for (task, worker) in rig.running() {
        images.entry(worker).or_default().push(task.step.submission);
    }
    let is_mixed = |it: &&Vec<SubmissionId>| it.iter().any(|id| *id != it[0]);
    assert_eq!(images.values().map(Vec::len).sum::<usize>(), 24);
    assert_eq!(images.values().filter(is_mixed).count(), 0, "{images:?}");
}
