//! Workers that are several times slower than others.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/uneven_fleet.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod uneven_fleet;

use fleet_world::{step, submission};
use mustardcove_core::fleet::{
    planner::DecisionKind,
    submission::{StepSpec, SubmissionState},
};
use rand::RngExt;
use uneven_fleet::{Condition, Fleet};

const CPU: u64 = 32_000;
const TASK_MS: u64 = 1_000;

fn batch(count: u16) -> StepSpec {
    StepSpec { estimate_ms: TASK_MS, ..step(count, 4_000, &[]) }
}

/// Submits steps at a rate for some time, with estimates off by up to 1.9.
/// Returns for how many of a hundred looks at a worker it was judged slow.
fn run(fleet: &mut Fleet, first: u64, seconds: u64, per_s: u64, spec: &StepSpec) -> f64 {
    let (mut slow, mut looks) = (0, 0);
    for i in 0..seconds * per_s {
        let error = 1.9f64.powf(fleet.rng.random_range(-1.0..1.0));
        let count = fleet.rng.random_range(5..15);
        let spec = StepSpec { count, ..spec.clone() };
        fleet.submit(submission(first + i, vec![spec], fleet.now), error);
        fleet.advance(1_000 / per_s / 10 * 10);
        slow += fleet.planner.counts(fleet.now).slow_workers;
        looks += fleet.workers.len();
    }
    slow as f64 * 100.0 / looks as f64
}

/// Guards against sound workers that get no work because some tasks take seven
/// times as long, durations differ and estimates are wrong.
#[test]
fn random_durations() {
    let mut judged = Vec::new();
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 60, CPU, 3);
        fleet.long_percent = 3;
        fleet.spread = 0.5..1.5;
        judged.push(run(&mut fleet, 1, 30, 20, &batch(10)));
    }
    assert!(judged.iter().all(|it| *it < 0.5), "{judged:?}");
}

/// Guards against a task that takes long wherever it runs and counts against its
/// worker, with all tasks of its submission there.
#[test]
fn one_slow_submission() {
    let mut fleet = Fleet::new(1, 2, CPU, 3);
    fleet.submit(submission(1, vec![batch(6)], fleet.now), 7.0);
    fleet.advance(6_000);
    assert_eq!(fleet.decided(DecisionKind::WorkerSlow), 0);
}

/// Guards against a worker that is judged slow because its runs begin with the
/// restore of a checkpoint, in which they show no progress.
#[test]
fn late_progress() {
    let mut fleet = Fleet::new(1, 2, CPU, 3);
    fleet.delay_ms = 600.0;
    run(&mut fleet, 1, 20, 2, &batch(4));
    assert_eq!(fleet.decided(DecisionKind::WorkerSlow), 0);
}

/// Guards against a fleet that is slow as a whole, or estimates that are all too
/// low, which is no worker's fault.
#[test]
fn slow_pool() {
    let mut fleet = Fleet::new(1, 30, CPU, 3);
    run(&mut fleet, 1, 10, 10, &batch(10));
    fleet.workers.iter_mut().for_each(|it| it.condition = Condition::Speed(0.25));
    run(&mut fleet, 1_000, 30, 3, &batch(10));
    let slow = run(&mut fleet, 2_000, 10, 3, &batch(10));
    assert!(slow < 20.0, "{slow} % of the workers are judged slow");
    fleet.advance(30_000);
    assert_eq!(fleet.count(SubmissionState::Completed), 100 + 90 + 30);
}

/// Guards against a tenth of the workers that is six times slower and gets as
/// many tasks as others, and against one that gets none ever after.
#[test]
fn few_tasks() {
    let mut fleet = Fleet::new(1, 60, CPU, 3);
    fleet.spread = 0.8..1.2;
    run(&mut fleet, 1, 5, 20, &batch(10));
    for worker in &mut fleet.workers[..6] {
        worker.condition = Condition::Speed(1.0 / 6.0);
    }
    run(&mut fleet, 1_000, 8, 20, &batch(10));
    let slow = fleet.planner.counts(fleet.now).slow_workers;
    fleet.workers.iter_mut().for_each(|it| it.starts = 0);
    run(&mut fleet, 2_000, 30, 20, &batch(10));
    let starts = |it: &[uneven_fleet::SimWorker]| {
        it.iter().map(|it| it.starts).sum::<u64>() as f64 / it.len() as f64
    };
    let (on_slow, on_others) = (starts(&fleet.workers[..6]), starts(&fleet.workers[6..]));
    assert!(5 <= slow, "{slow} of 6 are found");
    assert!(0.0 < on_slow && on_slow < 0.12 * on_others, "{on_slow} and {on_others}");
    for worker in &mut fleet.workers[..6] {
        worker.condition = Condition::Speed(1.0);
    }
    run(&mut fleet, 3_000, 25, 20, &batch(10));
    fleet.workers.iter_mut().for_each(|it| it.starts = 0);
    run(&mut fleet, 4_000, 20, 20, &batch(10));
    let (recovered, others) = (starts(&fleet.workers[..6]), starts(&fleet.workers[6..]));
    assert!(0.7 * others < recovered, "{recovered} and {others}");
}

/// Guards against steps that wait for their last task on a slow worker, against
/// moves that lose more than they save, and against runs that overlap.
#[test]
fn stragglers_move() {
    let late = |saves_progress: bool| {
        let mut fleet = Fleet::new(1, 30, CPU, 3);
        fleet.workers[0].condition = Condition::Speed(1.0 / 6.0);
        let spec = StepSpec { saves_progress, estimate_ms: 3_000, ..batch(10) };
        run(&mut fleet, 1, 20, 5, &spec);
        let overlaps = fleet.most_runs();
        assert!(overlaps <= 1, "{overlaps} runs of a task");
        fleet.advance(20_000);
        assert_eq!(fleet.count(SubmissionState::Completed), 100);
        fleet.planner.counts(fleet.now).straggler_moves
    };
    let moves = late(true);
    assert!((2..60).contains(&moves), "{moves} moves");
    assert_eq!(late(false), 0, "a run that saves nothing goes on");
}
