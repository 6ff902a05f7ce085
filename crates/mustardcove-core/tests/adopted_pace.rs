//! The pace of best-effort runs that a new leader adopts.
//!
//! Guards against a run that an earlier leader slowed down or halted and that
//! stays so for good: the new leader took its pace for 100 %, changed nothing,
//! and took a halted run for a stalled one, for which it blamed the worker.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{RunNumber, StepKey, SubmissionId, TaskKey},
        message::{Order, StartOrder},
        submission::StepSpec,
    },
    id::WorkerId,
};
use planner_rig::{Rig, START};

fn first_run(submission: SubmissionId) -> StartOrder {
    let step = StepKey { submission, occurrence: 0, step: 0 };
    StartOrder {
        task: TaskKey { step, index: 0 },
        run: RunNumber(1),
        payload: "text".into(),
        checkpoint: None,
        ticket: None,
    }
}

fn orders(rig: &mut Rig) -> Vec<Order> {
    rig.planner.tick(rig.now);
    rig.planner.take_actions().orders.into_iter().map(|it| it.1).collect()
}

#[test]
fn pace_restored() {
    let mut rig = Rig::new(manifest(3), &[("w0", 32_000)]);
    let worker: WorkerId = "w0".parse().expect("a valid name");
    let best_effort = StepSpec { is_best_effort: true, ..step(1, 3_500, &[]) };
    rig.submit(submission(1, vec![best_effort], START));
    let run = first_run(SubmissionId(1));
    let mut paces = Vec::new();
    for _ in 0..10 {
        rig.advance(200);
        // The run is halted: its percentage does not move.
        rig.restart(&worker, 1, std::slice::from_ref(&run));
        for order in orders(&mut rig) {
            match order {
                Order::Pace { task, percent, .. } if task == run.task => paces.push(percent),
                other => panic!("unexpected order {other:?}"),
            }
        }
    }
    assert_eq!(paces, [100], "one order sets the pace");
}
