//! Steps that no worker of the pool can ever hold.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::fleet::{id::Incarnation, message::EndKind, submission::StepSpec};
use planner_rig::Rig;

const CPU: u64 = 8_000;

/// Guards against steps too large for any worker, or with a label that none has,
/// which are tried again with each change of a worker, and against those that
/// are not tried once such a worker is added.
#[test]
fn tried_once() {
    let mut rig = Rig::new(manifest(3), &[("w0", CPU), ("w1", CPU)]);
    let labelled = StepSpec { requirement: Some("gpu".to_owned()), ..step(1, 100, &[]) };
    let best_effort = StepSpec { is_best_effort: true, ..labelled.clone() };
    rig.submit(submission(1, vec![step(3, CPU + 1, &[])], rig.now));
    rig.submit(submission(2, vec![labelled], rig.now));
    rig.submit(submission(3, vec![best_effort], rig.now));
    assert_eq!(rig.plan().len(), 0);
    let before = rig.planner.counts(rig.now).scored_workers;
    rig.submit(submission(4, vec![step(1, CPU, &[])], rig.now));
    for _ in 0..50 {
        rig.advance(100);
        rig.poll_all();
        for (worker, start) in rig.plan() {
            rig.end(&worker, start.task, EndKind::Failed);
        }
    }
    let scored = rig.planner.counts(rig.now).scored_workers - before;
    // Three blocked submissions are explained each second, on two workers; the
    // rest are those of the fourth submission, which uses up its attempts.
    assert!(scored <= 5 * 3 * 2 + 16, "{scored} scored");
    let mut added = listing("w2", 2 * CPU, Incarnation(1));
    added.labels.push("gpu".to_owned());
    rig.add_workers(&[added]);
    rig.advance(100);
    assert_eq!(rig.plan().len(), 3, "one large task and the labelled ones");
}
