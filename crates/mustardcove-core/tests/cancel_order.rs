//! Cancellations that the planner learns of before their submissions.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::fleet::{id::SubmissionId, submission::SubmissionState};
use planner_rig::{Rig, START};

/// Guards against a cancelled submission that runs because its cancellation
/// came first, as in a reading of all records in the order of their keys.
#[test]
fn cancelled_before_planned() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    let id = SubmissionId(1);
    rig.planner.cancel(id, START);
    rig.submit(submission(id.0, vec![step(2, 500, &[])], START));
    rig.submit(submission(2, vec![step(1, 500, &[])], START));
    let starts = rig.plan();
    assert!(starts.iter().all(|it| it.1.task.step.submission != id), "a cancelled task starts");
    assert_eq!(starts.len(), 1, "the other submission runs");
    assert_eq!(rig.states[&id], SubmissionState::Cancelled);
}
