//! The number of submissions that wait for their first start.
//!
//! Guards against submissions that count as begun although no worker has
//! started a task of them: callers are told that fewer wait than do.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::fleet::{
    message::{Order, StartOrder, StartOutcome, WorkerReport},
    submission::SubmissionState,
};
use planner_rig::{Rig, START};

const FLEET: [(&str, u64); 1] = [("w0", 4_000)];

fn pending(rig: &Rig) -> u32 {
    rig.planner.pending().iter().map(|it| it.2).sum()
}

/// Orders the start of a submission, without an answer yet.
fn ordered() -> (Rig, StartOrder) {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    rig.planner.tick(rig.now);
    let actions = rig.planner.take_actions();
    rig.states.extend(actions.states);
    let Some((_, Order::Start(start))) = actions.orders.into_iter().next() else {
        panic!("no start")
    };
    (rig, start)
}

fn answer(rig: &mut Rig, start: &StartOrder, outcome: StartOutcome) {
    let report =
        WorkerReport::Start { task: start.task, run: start.run, outcome, answered_at: rig.now };
    rig.planner.report(&"w0".parse().expect("a valid name"), report, rig.now);
    rig.states.extend(rig.planner.take_actions().states);
}

#[test]
fn refused_start_waits() {
    for outcome in [StartOutcome::NotRun, StartOutcome::NoRoom, StartOutcome::MayHaveRun] {
        let (mut rig, start) = ordered();
        assert_eq!(pending(&rig), 1, "no worker has answered");
        answer(&mut rig, &start, outcome);
        assert_eq!(pending(&rig), 1, "{outcome}");
        let state = rig.states[&start.task.step.submission];
        assert_eq!(state, SubmissionState::Queued, "{outcome}");
    }
}

#[test]
fn started_once_known() {
    let (mut rig, start) = ordered();
    answer(&mut rig, &start, StartOutcome::Started);
    assert_eq!(pending(&rig), 0);
    assert_eq!(rig.states[&start.task.step.submission], SubmissionState::Running);

    // The answer was lost, and a poll lists the run.
    let (mut rig, start) = ordered();
    let worker = "w0".parse().expect("a valid name");
    let running = &mut rig.workers.get_mut(&worker).expect("a worker").running;
    running.insert(start.task, (start.run, 0, 0));
    rig.poll_all();
    assert_eq!(pending(&rig), 0);
}
