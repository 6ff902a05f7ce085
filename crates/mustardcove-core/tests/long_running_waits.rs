//! The log lines and counts of long-running tasks that have no run.
//!
//! Guards against a task that waits for good beside running ones of its step
//! and leaves no trace of the reason.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::collections::BTreeMap;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::fleet::{
    id::{Incarnation, SubmissionId, Term},
    message::{EndKind, WorkerReport},
    planner::{DecisionKind, Planner, WorkerListing},
    poller::MAX_START_LEASE_MS,
    submission::StepSpec,
};
use planner_rig::{Rig, START};

fn long_running(count: u16, cpu: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu, &[]) }
}

/// Plans every 200 ms, and returns the new lines.
fn run(rig: &mut Rig, ms: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for _ in 0..ms / 200 {
        rig.advance(200);
        rig.poll_all();
        rig.planner.tick(rig.now);
        let decisions = rig.planner.take_actions().decisions;
        let waiting = decisions.into_iter().filter(|it| it.kind == DecisionKind::TaskWaiting);
        lines.extend(waiting.map(|it| it.inputs));
    }
    lines
}

#[test]
fn waits_beside_running() {
    let mut rig = Rig::new(manifest(3), &[("w0", 2_000), ("w1", 1_000)]);
    rig.submit(submission(1, vec![long_running(2, 1_500)], START));
    rig.plan();
    assert!(run(&mut rig, 2_800).is_empty(), "the wait has only begun");
    let lines = run(&mut rig, 3_000);
    assert_eq!(lines.len(), 1, "{lines:?}");
    for part in ["for=capacity", "nearest=w1 obstacle=no_capacity", "step_runs=1 of=2"] {
        assert!(lines[0].contains(part), "{lines:?}");
    }
    let counts = rig.planner.counts(rig.now);
    assert_eq!((counts.waiting_long_running, counts.waiting_beside_capacity), (1, 0));
    assert_eq!(rig.planner.long_running_waits(rig.now), lines);
}

#[test]
fn waits_beside_capacity() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    rig.submit(submission(1, vec![long_running(1, 500)], START));
    let starts = rig.plan();
    let (worker, _) = &starts[0];
    rig.workers.get_mut(worker).expect("a worker").running.clear();
    let replaced = WorkerReport::Replaced { incarnation: Some(Incarnation(1)) };
    rig.planner.report(worker, replaced, rig.now);
    let lines = run(&mut rig, 4_000);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("for=record") && lines[0].contains("obstacle=none"), "{lines:?}");
    assert_eq!(rig.planner.counts(rig.now).waiting_beside_capacity, 1);
    rig.store();
    for _ in 0..3 {
        rig.plan();
        rig.store();
    }
    run(&mut rig, 600);
    let counts = rig.planner.counts(rig.now);
    assert_eq!((counts.waiting_long_running, counts.waiting_beside_capacity), (0, 0));
    assert!(rig.planner.long_running_waits(rig.now).is_empty());
}

/// The line names the obstacle of a worker that is up: a dead one has all its
/// capacity free, and would hide what keeps the task from running.
#[test]
fn dead_worker() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000), ("w2", 9_000)]);
    rig.submit(submission(1, vec![long_running(2, 3_500)], START));
    rig.update_listings(|it| it.is_draining = it.worker.as_str() == "w2");
    rig.plan();
    rig.submit(submission(2, vec![long_running(1, 1_000)], START));
    let lines = run(&mut rig, 4_000);
    assert_eq!(lines.len(), 1, "{lines:?}");
    for part in ["for=capacity nearest=w0 obstacle=no_capacity", "with_capacity=-"] {
        assert!(lines[0].replace("run_at=- ", "").contains(part), "{lines:?}");
    }
}

/// The same for a worker that is silent, and for one that service discovery does
/// not list although it answers.
#[test]
fn silent_or_unlisted_worker() {
    for is_silent in [true, false] {
        let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000), ("w2", 9_000)]);
        let gone = rig.listings[2].worker.clone();
        if is_silent {
            rig.workers.remove(&gone);
            let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent };
            rig.planner.report(&gone, silent, rig.now);
        } else {
            rig.listings.pop();
            rig.planner.update_workers(rig.listings.clone(), true);
        }
        rig.submit(submission(1, vec![long_running(2, 3_500)], START));
        assert_eq!(rig.plan().len(), 2);
        rig.submit(submission(2, vec![long_running(1, 1_000)], START));
        let lines = run(&mut rig, 4_000);
        assert_eq!(lines.len(), 1, "silent: {is_silent}: {lines:?}");
        for part in ["for=capacity nearest=w0 obstacle=no_capacity", "with_capacity=-"] {
            assert!(lines[0].replace("run_at=- ", "").contains(part), "{lines:?}");
        }
    }
}

/// A suspected task whose record is stored waits for a worker that can be isolated,
/// not for its record, also while that of another submission cannot be stored.
#[test]
fn other_record_unstored() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 1_000)]);
    rig.submit(submission(1, vec![long_running(1, 2_000)], START));
    rig.submit(submission(2, vec![step(1, 500, &[])], START));
    for (worker, start) in rig.plan() {
        if start.task.step.submission == SubmissionId(2) {
            rig.end(&worker, start.task, EndKind::Failed);
        }
    }
    rig.crash(&rig.listings[0].worker.clone());
    let mut lines = Vec::new();
    for _ in 0..20 {
        rig.store_except(SubmissionId(2));
        lines.extend(run(&mut rig, 200));
    }
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("for=isolation"), "{lines:?}");
}

/// A placed task waits for the leases of its silent worker, not for capacity.
#[test]
fn waits_for_lease() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.submit(submission(1, vec![long_running(1, 500)], START));
    rig.plan();
    let worker = rig.listings[0].worker.clone();
    let silent = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
    rig.planner.report(&worker, silent, rig.now);
    for _ in 0..20 {
        rig.advance(200);
        rig.planner.tick(rig.now);
    }
    let rows = rig.planner.long_running_waits(rig.now);
    assert!(rows[0].contains("for=lease run_at=w0"), "{rows:?}");
    assert!(rows[0].contains("obstacle=silent"), "{rows:?}");
    // The line is of the fourth second after the start.
    let leases = format!("lease_left_ms={} silent_ms=3000", MAX_START_LEASE_MS - 3_000);
    assert!(rows[0].ends_with(&leases), "{rows:?}");
    let counts = rig.planner.counts(rig.now);
    assert_eq!((counts.silent_runs, counts.longest_silence_ms), (1, 4_000));
}

#[test]
fn lines_limited() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000)]);
    for id in 1..=10 {
        rig.submit(submission(id, vec![long_running(5, 1_500)], START));
    }
    run(&mut rig, 3_000);
    let mut lines_of: BTreeMap<String, usize> = BTreeMap::new();
    for line in run(&mut rig, 15_000) {
        let task = line.split(' ').next().unwrap_or_default().to_owned();
        *lines_of.entry(task).or_default() += 1;
    }
    let lines: usize = lines_of.values().sum();
    assert!((50..=60).contains(&lines), "4 lines a second: {lines}");
    assert_eq!(lines_of.len(), 50, "each task has its turn");
    assert_eq!(rig.planner.long_running_waits(rig.now).len(), 50);
}

/// A new leader waits for workers of the one before that never answer, or that
/// have another address now, no longer than until the leases there are over.
#[test]
fn waits_for_fence() {
    let fence_ms = 6_600;
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.planner = Planner::new(Term(2), 2, manifest(3), START.plus_ms(fence_ms));
    let recorded = [listing("w0", 4_000, Incarnation(1)), listing("w1", 4_000, Incarnation(1))];
    rig.planner.restore_workers(Some(recorded.to_vec()));
    let address = "127.0.0.1:2".parse().expect("an address");
    let moved = WorkerListing { address, incarnation: Incarnation(2), ..recorded[1].clone() };
    let odd = listing("w2", 4_000, Incarnation(3));
    rig.listings.extend([moved, odd]);
    rig.planner.update_workers(rig.listings.clone(), true);
    rig.planner.submit(submission(1, vec![long_running(1, 500)], START), false, START);
    let lines = run(&mut rig, fence_ms - 200);
    assert!(lines[0].contains("for=fence") && lines[0].contains("nearest=w0"), "{lines:?}");
    assert!(lines[0].ends_with("lease_left_ms=3400 unheard=2 last=w2 silent_ms=0"), "{lines:?}");
    assert_eq!(rig.planner.counts(rig.now).placed_runs, 0);
    run(&mut rig, 400);
    assert_eq!(rig.planner.counts(rig.now).placed_runs, 1);
}
