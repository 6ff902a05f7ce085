//! How long a long-running task waits at most beside free capacity.
//!
//! Guards against a task that could run and does not: users accept 3 s of calm,
//! however full the pool is, and for each task by itself.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::fleet::{id::SubmissionId, message::EndKind, submission::StepSpec};
use planner_rig::{Rig, START};

/// Longest wait that users accept, in milliseconds.
const MAX_WAIT_MS: u64 = 3_000;
/// Suspensions in a row of which the last one is the longest.
const LONGEST_SUSPENSION: u32 = 3;
const CPU: u64 = 8_000;
const FILLING: SubmissionId = SubmissionId(1);
const NEW: u64 = 90;

fn long_running(count: u16, cpu: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu, &[]) }
}

/// Returns a rig of which all workers but the last few are full of long-running
/// tasks.
fn nearly_full_rig(workers: u16, free: u16) -> Rig {
    let names: Vec<String> = (0..workers).map(|it| format!("w{it}")).collect();
    let workers_of: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), CPU)).collect();
    let mut rig = Rig::new(manifest(100), &workers_of);
    rig.submit(submission(FILLING.0, vec![long_running(workers - free, CPU)], START));
    assert_eq!(rig.plan().len(), usize::from(workers - free));
    rig
}

/// Plans every 100 ms, and returns after how long a submission has as many runs
/// as given, in milliseconds.
fn wait_for_runs(rig: &mut Rig, id: u64, runs: usize) -> u64 {
    for ms in (0..60_000).step_by(100) {
        let running = rig.running();
        if running.keys().filter(|it| it.step.submission.0 == id).count() == runs {
            return ms;
        }
        rig.advance(100);
        rig.poll_all();
        rig.plan();
    }
    u64::MAX
}

/// Fails tasks on the only worker with capacity until it has just been suspended
/// for the longest time.
fn suspend_free_worker(rig: &mut Rig) {
    rig.submit(submission(2, vec![step(40, 1_000, &[])], START));
    let mut suspensions = 0;
    while suspensions < LONGEST_SUSPENSION && rig.now < START.plus_ms(60_000) {
        rig.advance(100);
        rig.poll_all();
        // Whatever starts after a suspension fails and begins the next one.
        let starts = rig.plan();
        suspensions += u32::from(!starts.is_empty());
        for (worker, start) in starts {
            rig.end(&worker, start.task, EndKind::Failed);
        }
    }
    assert_eq!(suspensions, LONGEST_SUSPENSION);
    rig.planner.cancel(SubmissionId(2), rig.now);
    rig.plan();
}

/// The only worker with capacity has failed runs until a moment ago.
#[test]
fn suspended_worker() {
    let mut rig = nearly_full_rig(8, 1);
    suspend_free_worker(&mut rig);
    rig.submit(submission(NEW, vec![long_running(1, 1_000)], rig.now));
    let waited_ms = wait_for_runs(&mut rig, NEW, 1);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms} ms");
}

/// The same for all tasks of a step: each of them is to run.
#[test]
fn suspended_step() {
    let mut rig = nearly_full_rig(8, 1);
    suspend_free_worker(&mut rig);
    rig.submit(submission(NEW, vec![long_running(6, 1_000)], rig.now));
    let waited_ms = wait_for_runs(&mut rig, NEW, 6);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms} ms");
}

/// The only workers with capacity are reserved for larger batch tasks that still
/// do not fit.
#[test]
fn reserved_workers() {
    let mut rig = nearly_full_rig(10, 2);
    rig.submit(submission(2, vec![step(4, 3_000, &[])], rig.now));
    assert_eq!(rig.plan().len(), 4);
    let batch = StepSpec { estimate_ms: 20_000, ..step(2, 7_000, &[]) };
    rig.submit(submission(3, vec![batch], rig.now));
    rig.plan();
    rig.submit(submission(NEW, vec![long_running(2, 500)], rig.now));
    let waited_ms = wait_for_runs(&mut rig, NEW, 2);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms} ms");
}
