//! When best-effort work that has had no run for too long is started.
//!
//! Guards against a share of capacity in use that leaves out workers which are
//! free. Users count all workers, and accept 3 s without a run while less than
//! half of the capacity is reserved.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, SubmissionId},
        message::{EndKind, WorkerReport},
        planner::WorkerListing,
        submission::StepSpec,
    },
    id::WorkerId,
};
use planner_rig::Rig;

const CPU: u64 = 32_000;
const WORKERS: usize = 20;
/// Workers that other work fills: 45 % of them.
const FULL: u16 = 9;
const MAX_IDLE_MS: u64 = 3_000;
const STEP_MS: u64 = 100;
/// Time between two polls of a worker, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;
/// Id of the work that fills workers, and of that which leaves no processor
/// time over on the others.
const FILLING: u64 = 900;
const BEST_EFFORT: u64 = 901;
/// Id of the submission that waits.
const STARVED: u64 = 1;
/// Id of a submission whose tasks may have crashed a worker, or that fail.
const OTHER: u64 = 2;

fn on_each(count: u16, cpu: u64) -> StepSpec {
    let estimate_ms = 10_000_000;
    StepSpec { max_per_worker: Some(1), estimate_ms, ..step(count, cpu, &[]) }
}

fn best_effort(count: u16) -> StepSpec {
    StepSpec { is_best_effort: true, ..on_each(count, CPU) }
}

fn add_workers(rig: &mut Rig, prefix: &str, count: usize) {
    let names = (0..count).map(|it| format!("{prefix}{it:02}"));
    let added: Vec<WorkerListing> = names.map(|it| listing(&it, CPU, Incarnation(1))).collect();
    rig.listings.extend_from_slice(&added);
    rig.workers.extend(added.iter().map(|it| (it.worker.clone(), Default::default())));
    rig.planner.update_workers(rig.listings.clone(), true);
    rig.poll_all();
}

/// Returns a pool of which 45 % is reserved, and of which nothing is left over
/// for best-effort work.
fn busy_rig() -> Rig {
    let mut rig = Rig::new(manifest(3), &[]);
    add_workers(&mut rig, "w", WORKERS);
    rig.submit(submission(FILLING, vec![on_each(FULL, CPU)], rig.now));
    assert_eq!(rig.plan().len(), usize::from(FULL));
    let rest = WORKERS as u16 - FULL;
    rig.submit(submission(BEST_EFFORT, vec![best_effort(rest)], rig.now));
    assert_eq!(rig.plan().len(), usize::from(rest));
    for _ in 0..30 {
        advance(&mut rig, |_| false);
    }
    rig
}

/// Advances time; runs of submissions of which `fails` is true fail.
fn advance(rig: &mut Rig, fails: impl Fn(SubmissionId) -> bool) {
    rig.store();
    rig.advance(STEP_MS);
    let percent = (rig.now.0 / 200 % 97) as u8;
    for (task, worker) in rig.running() {
        if fails(task.step.submission) {
            rig.end(&worker, task, EndKind::Failed);
        } else {
            rig.set_measurement(&worker, task, 1_000, percent);
        }
    }
    let workers: Vec<WorkerId> = rig.workers.keys().cloned().collect();
    for (i, worker) in workers.iter().enumerate() {
        if (rig.now.0 / STEP_MS + i as u64).is_multiple_of(POLL_INTERVAL_MS / STEP_MS) {
            rig.poll(worker, Vec::new());
        }
    }
    rig.plan();
}

/// Returns how long a new best-effort submission has no run.
fn idle_ms(rig: &mut Rig, fails: impl Fn(SubmissionId) -> bool) -> u64 {
    let since = rig.now;
    rig.submit(submission(STARVED, vec![best_effort(1)], rig.now));
    while rig.now.ms_since(since) < 20_000 {
        advance(rig, &fails);
        if rig.running().keys().any(|it| it.step.submission == SubmissionId(STARVED)) {
            break;
        }
    }
    rig.now.ms_since(since)
}

/// Nothing keeps the other workers from new work.
#[test]
fn no_precaution() {
    let mut rig = busy_rig();
    let idle_ms = idle_ms(&mut rig, |_| false);
    assert!(idle_ms < MAX_IDLE_MS, "no run for {idle_ms} ms");
}

/// A third of the pool is isolated for suspected tasks.
#[test]
fn workers_isolated() {
    let mut rig = busy_rig();
    // It takes them all, so that they are suspected together.
    let ids: Vec<WorkerId> = rig.workers.keys().cloned().collect();
    rig.update_listings(|it| it.is_draining = ids.contains(&it.worker));
    add_workers(&mut rig, "c", 1);
    rig.submit(submission(
        OTHER,
        vec![StepSpec { estimate_ms: 10_000_000, ..step(150, 200, &[]) }],
        rig.now,
    ));
    assert_eq!(rig.plan().len(), 150);
    rig.update_listings(|it| it.is_draining = false);
    let crashed: WorkerId = "c00".parse().expect("a valid name");
    rig.workers.remove(&crashed);
    rig.listings.retain(|it| it.worker != crashed);
    let report = WorkerReport::Replaced { incarnation: Some(Incarnation(1)) };
    rig.planner.report(&crashed, report, rig.now);
    rig.planner.update_workers(rig.listings.clone(), true);
    for _ in 0..3 {
        advance(&mut rig, |_| false);
    }
    let idle_ms = idle_ms(&mut rig, |_| false);
    assert!(idle_ms < MAX_IDLE_MS, "no run for {idle_ms} ms");
}

/// Half of the pool is suspended or on probation, since a long-running task
/// fails on each worker.
#[test]
fn workers_suspended() {
    let mut rig = busy_rig();
    let failing = StepSpec { is_long_running: true, ..step(40, 500, &[]) };
    rig.submit(submission(OTHER, vec![failing], rig.now));
    let fails = |it| it == SubmissionId(OTHER);
    for _ in 0..100 {
        advance(&mut rig, fails);
    }
    let idle_ms = idle_ms(&mut rig, fails);
    assert!(idle_ms < MAX_IDLE_MS, "no run for {idle_ms} ms");
}
