//! Ends of runs whose submission the planner does not contain yet, as after a
//! change of the leader while the store's watch is late.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, RunNumber, SubmissionId},
        message::{EndKind, EndedRun, Order},
        submission::SubmissionState,
    },
    id::WorkerId,
};
use planner_rig::{Rig, START};

const FLEET: [(&str, u64); 2] = [("w0", 4_000), ("w1", 4_000)];
const ID: SubmissionId = SubmissionId(1);

fn worker() -> WorkerId {
    "w0".parse().unwrap()
}

/// Returns an end of the only task of submission [`ID`] that a worker lists.
fn end(number: u64, kind: EndKind) -> EndedRun {
    let task = submission(ID.0, vec![step(1, 500, &[])], START).task(0, 0, 0);
    EndedRun { number: EndNumber(number), task, run: RunNumber(number), kind, checkpoint: None }
}

fn plan_submission(rig: &mut Rig) {
    let submission = submission(ID.0, vec![step(1, 500, &[])], START);
    rig.planner.submit(submission, false, rig.now);
}

/// Ends another submission, so that progress is stored and ends may be
/// acknowledged.
fn store_other_progress(rig: &mut Rig, id: u64) {
    rig.submit(submission(id, vec![step(1, 500, &[])], START));
    rig.planner.cancel(SubmissionId(id), rig.now);
    rig.store();
    rig.plan();
}

fn acknowledged(rig: &Rig) -> Option<EndNumber> {
    let acknowledged = |it: &(WorkerId, Order)| match it.1 {
        Order::AcknowledgeEnds { through, .. } => Some(through),
        _ => None,
    };
    rig.orders.iter().filter_map(acknowledged).max()
}

/// Guards against a task that starts again after it was done, because its end
/// was dropped and acknowledged before its submission was planned.
#[test]
fn done_before_planned() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.poll(&worker(), vec![end(1, EndKind::Done)]);
    rig.plan();
    assert_eq!(rig.lookups, [ID], "the submission is looked up");
    store_other_progress(&mut rig, 2);
    assert_eq!(acknowledged(&rig), None, "the end has had no effect yet");
    plan_submission(&mut rig);
    assert!(rig.plan().is_empty(), "the task starts again");
    rig.store();
    rig.plan();
    assert_eq!(rig.states[&ID], SubmissionState::Completed);
    assert_eq!(acknowledged(&rig), Some(EndNumber(1)));
}

/// Guards against more attempts than the queue allows, because failures were
/// dropped before their submission was planned.
#[test]
fn failed_before_planned() {
    let mut rig = Rig::new(manifest(2), &FLEET);
    rig.poll(&worker(), vec![end(1, EndKind::Failed)]);
    rig.poll(&worker(), vec![end(1, EndKind::Failed), end(2, EndKind::Failed)]);
    rig.plan();
    plan_submission(&mut rig);
    assert!(rig.plan().is_empty(), "a third attempt starts");
    rig.store();
    rig.plan();
    assert_eq!(rig.states[&ID], SubmissionState::Failed);
}

/// Guards against ends that are listed for ever, because one before them
/// belongs to a submission that does not exist.
#[test]
fn end_without_submission() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.poll(&worker(), vec![end(1, EndKind::Done)]);
    rig.plan();
    rig.planner.submission_not_found(ID, rig.now);
    store_other_progress(&mut rig, 2);
    assert_eq!(acknowledged(&rig), Some(EndNumber(1)));
    rig.poll(&worker(), vec![end(1, EndKind::Done), end(2, EndKind::Done)]);
    rig.plan();
    assert_eq!(rig.lookups, [ID, ID], "it is looked up for each end");
}
