//! Runs that make no progress.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::fleet::{message::Order, planner::DecisionKind, submission::StepSpec};
use planner_rig::Rig;

/// Time between two polls, in milliseconds.
const POLL_MS: u64 = 250;
/// Time without progress after which any short task is given up, in
/// milliseconds.
const STALLED_MS: u64 = 2_750;

/// What the planner did while the workers answered polls and carried out no
/// order.
#[derive(Default)]
struct Reaction {
    stops: usize,
    suspended: usize,
}

fn watch(rig: &mut Rig, ms: u64) -> Reaction {
    let mut reaction = Reaction::default();
    for _ in 0..ms / POLL_MS {
        rig.advance(POLL_MS);
        rig.poll_all();
        rig.planner.tick(rig.now);
        let actions = rig.planner.take_actions();
        let stops = actions.orders.iter().filter(|it| matches!(it.1, Order::Stop { .. }));
        reaction.stops += stops.count();
        let kinds = actions.decisions.iter().map(|it| it.kind);
        reaction.suspended += kinds.filter(|it| *it == DecisionKind::WorkerSuspended).count();
    }
    reaction
}

/// Guards against a worker that is suspended because of one stalled run: each
/// poll that listed it until its stop had taken effect counted as one more.
#[test]
fn stall_counted_once() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    rig.submit(submission(1, vec![step(1, 1_000, &[])], rig.now));
    assert_eq!(rig.plan().len(), 1);
    let reaction = watch(&mut rig, STALLED_MS + 4 * POLL_MS);
    assert!(1 <= reaction.stops, "the stalled run is stopped");
    assert_eq!(reaction.suspended, 0, "one stall suspends no worker");
    assert_eq!(rig.planner.counts(rig.now).schedulable_workers, 2);
}

/// Guards against a long task that never ends: at one percent in 4 s it was
/// taken for stalled and started again every 2.5 s.
#[test]
fn long_task() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    let long = StepSpec { estimate_ms: 400_000, ..step(1, 1_000, &[]) };
    rig.submit(submission(1, vec![long], rig.now));
    let (worker, start) = rig.plan().remove(0);
    for percent in 1..10 {
        let reaction = watch(&mut rig, 4_000);
        assert_eq!(reaction.stops, 0, "stopped at {percent} percent");
        rig.set_measurement(&worker, start.task, 1_000, percent);
    }
    let reaction = watch(&mut rig, 30_000);
    assert!(1 <= reaction.stops, "it is stopped once it does stall");
}

/// Guards against workers that are suspended because of gangs that wait for a
/// missing member: that is not the fault of those where the others wait.
#[test]
fn waiting_gang() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000), ("w2", 4_000)]);
    let gang = StepSpec { is_gang: true, max_per_worker: Some(1), ..step(3, 1_000, &[]) };
    rig.submit(submission(1, vec![gang.clone()], rig.now));
    rig.submit(submission(2, vec![gang], rig.now));
    assert_eq!(rig.plan().len(), 6);
    let reaction = watch(&mut rig, STALLED_MS + POLL_MS);
    assert!(1 <= reaction.stops, "the waiting members are stopped");
    assert_eq!(reaction.suspended, 0);
}
