//! The log lines and the count of submissions that have no run although one of
//! their steps is ready.
//!
//! Guards against work that waits and leaves no trace of the reason: without
//! these lines, workers that reject a task, a start that is never confirmed
//! and a wait for earlier leases look the same.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::fleet::{
    id::SubmissionId,
    message::EndKind,
    planner::{Decision, DecisionKind},
    submission::StepSpec,
};
use planner_rig::{Rig, START};

fn blocked(rig: &mut Rig) -> Vec<Decision> {
    rig.planner.tick(rig.now);
    let decisions = rig.planner.take_actions().decisions;
    decisions.into_iter().filter(|it| it.kind == DecisionKind::SubmissionBlocked).collect()
}

#[test]
fn obstacles_counted() {
    let mut rig = Rig::new(manifest(3), &[("w0", 2_000), ("w1", 1_000)]);
    rig.submit(submission(1, vec![step(1, 1_500, &[])], START));
    rig.plan();
    rig.submit(submission(2, vec![step(1, 1_500, &[])], START));
    assert_eq!(blocked(&mut rig).len(), 0, "the wait has only begun");
    let mut reports = Vec::new();
    for _ in 0..16 {
        rig.advance(200);
        rig.poll_all();
        reports.extend(blocked(&mut rig));
    }
    assert_eq!(reports.len(), 2, "one line a second: {reports:?}");
    let inputs = &reports[0].inputs;
    assert!(inputs.contains("waiting=1") && inputs.contains("no_capacity=2"), "{inputs}");
    assert_eq!(rig.planner.counts(rig.now).blocked_submissions, 1);
}

#[test]
fn lines_limited() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000)]);
    for id in 1..=50 {
        rig.submit(submission(id, vec![step(1, 1_500, &[])], START));
    }
    blocked(&mut rig);
    rig.advance(1_000);
    rig.poll_all();
    assert_eq!(blocked(&mut rig).len(), 3);
    assert_eq!(rig.planner.counts(rig.now).blocked_submissions, 50);
}

#[test]
fn running_not_blocked() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000)]);
    let long_running = StepSpec { is_long_running: true, ..step(4, 500, &[]) };
    rig.submit(submission(1, vec![long_running], START));
    rig.plan();
    for _ in 0..4 {
        rig.advance(1_000);
        rig.poll_all();
        assert_eq!(blocked(&mut rig).len(), 0, "two tasks run while two wait");
    }
}

/// A suspected task whose record is stored waits for a worker that can be isolated
/// for it. The line named the record as long as that of another submission could
/// not be stored.
#[test]
fn other_record_unstored() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 1_000)]);
    rig.submit(submission(1, vec![step(1, 2_000, &[])], START));
    rig.submit(submission(2, vec![step(1, 500, &[])], START));
    for (worker, start) in rig.plan() {
        if start.task.step.submission == SubmissionId(2) {
            rig.end(&worker, start.task, EndKind::Failed);
        }
    }
    rig.crash(&rig.listings[0].worker.clone());
    let mut reports = Vec::new();
    for _ in 0..16 {
        rig.store_except(SubmissionId(2));
        rig.advance(200);
        rig.poll_all();
        reports.extend(blocked(&mut rig));
    }
    let is_suspect = |it: &&Decision| it.submission == Some(SubmissionId(1));
    let lines: Vec<&str> = reports.iter().filter(is_suspect).map(|it| it.inputs.as_str()).collect();
    assert!(!lines.is_empty(), "{reports:?}");
    for line in lines {
        assert!(line.contains("suspected_unclaimed=1"), "{line}");
    }
}
