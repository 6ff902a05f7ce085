//! Records of progress that cannot be stored, beside others that can.
//!
//! Guards against ends that are not acknowledged, and final states that are not
//! shown, because the record of another submission is not stored; and against an
//! end that is acknowledged before its own submission's record is.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, SubmissionId, TaskKey},
        message::{EndKind, Order},
        submission::SubmissionState::{Completed, Running},
    },
    id::WorkerId,
};
use planner_rig::{Rig, START};

/// A submission whose record is not stored.
const STUCK: SubmissionId = SubmissionId(1);
const OTHER: SubmissionId = SubmissionId(2);
const TASK_CPU: u64 = 2_000;

/// Starts a task of each submission on workers with capacity for some of them;
/// returns the worker and the task of each.
fn started(workers: &[(&str, u64)]) -> (Rig, [(WorkerId, TaskKey); 2]) {
    let mut rig = Rig::new(manifest(3), workers);
    let runs = [STUCK, OTHER].map(|id| {
        rig.submit(submission(id.0, vec![step(1, TASK_CPU, &[])], START));
        let starts = rig.plan();
        assert_eq!(starts.len(), 1);
        (starts[0].0.clone(), starts[0].1.task)
    });
    rig.store();
    (rig, runs)
}

/// Returns through which end a worker was told last that ends are acknowledged.
fn acknowledged(rig: &mut Rig, worker: &WorkerId) -> Option<EndNumber> {
    rig.plan();
    let through = |it: &(WorkerId, Order)| match &it.1 {
        Order::AcknowledgeEnds { through, .. } if it.0 == *worker => Some(*through),
        _ => None,
    };
    rig.orders.iter().rev().find_map(through)
}

/// The end and the final state of the other submission do not wait.
#[test]
fn on_other_worker() {
    let (mut rig, [(stuck_on, stuck), (other_on, other)]) =
        started(&[("w0", TASK_CPU), ("w1", TASK_CPU)]);
    assert_ne!(stuck_on, other_on);
    rig.end(&stuck_on, stuck, EndKind::Done);
    rig.end(&other_on, other, EndKind::Done);
    for _ in 0..3 {
        rig.store_except(STUCK);
        assert_eq!(acknowledged(&mut rig, &other_on), Some(EndNumber(1)));
        assert_eq!(rig.states[&OTHER], Completed);
        assert_eq!(acknowledged(&mut rig, &stuck_on), None, "its change is not stored");
        assert_ne!(rig.states[&STUCK], Completed);
        assert!(rig.planner.published_states().contains(&(STUCK, Running)));
    }
    rig.store();
    assert_eq!(acknowledged(&mut rig, &stuck_on), Some(EndNumber(1)));
    assert_eq!(rig.states[&STUCK], Completed);
}

/// Ends of one worker are acknowledged in order, whatever is stored first.
#[test]
fn on_same_worker() {
    for is_stuck_first in [true, false] {
        let (mut rig, [(worker, stuck), (_, other)]) = started(&[("w0", 2 * TASK_CPU)]);
        let ends = if is_stuck_first { [stuck, other] } else { [other, stuck] };
        for task in ends {
            rig.end(&worker, task, EndKind::Done);
        }
        rig.store_except(STUCK);
        let expected = (!is_stuck_first).then_some(EndNumber(1));
        assert_eq!(acknowledged(&mut rig, &worker), expected);
        assert_eq!(rig.states[&OTHER], Completed);
        rig.store();
        assert_eq!(acknowledged(&mut rig, &worker), Some(EndNumber(2)));
    }
}

/// A record that was taken before an end does not hold it.
#[test]
fn ended_during_write() {
    let mut rig = Rig::new(manifest(3), &[("w0", 2 * TASK_CPU)]);
    rig.submit(submission(STUCK.0, vec![step(2, TASK_CPU, &[])], START));
    let starts = rig.plan();
    let (worker, first) = (starts[0].0.clone(), starts[0].1.task);
    let second = starts[1].1.task;
    rig.end(&worker, first, EndKind::Done);
    let (change, records) = rig.planner.take_progress();
    rig.end(&worker, second, EndKind::Done);
    for (id, _, revision) in records {
        rig.planner.record_stored(id, revision + 1, change);
    }
    rig.planner.acknowledge_stored();
    assert_eq!(acknowledged(&mut rig, &worker), Some(EndNumber(1)));
    assert_ne!(rig.states.get(&STUCK), Some(&Completed));
    rig.store();
    assert_eq!(acknowledged(&mut rig, &worker), Some(EndNumber(2)));
    assert_eq!(rig.states[&STUCK], Completed);
}

/// An end that changes nothing waits for what changed its submission before,
/// and for no other submission.
#[test]
fn nothing_changed() {
    let (mut rig, [(stuck_on, stuck), (other_on, other)]) =
        started(&[("w0", TASK_CPU), ("w1", TASK_CPU)]);
    for id in [STUCK, OTHER] {
        rig.planner.cancel(id, rig.now);
    }
    rig.end(&stuck_on, stuck, EndKind::Stopped);
    rig.end(&other_on, other, EndKind::Stopped);
    rig.planner.acknowledge_stored();
    assert_eq!(acknowledged(&mut rig, &other_on), None);
    rig.store_except(STUCK);
    assert_eq!(acknowledged(&mut rig, &other_on), Some(EndNumber(1)));
    assert_eq!(acknowledged(&mut rig, &stuck_on), None);
}

/// The end of a suspected task, which clears its run, waits for the record of
/// that although the end itself changes nothing.
#[test]
fn suspect_cleared() {
    let mut rig = Rig::new(manifest(3), &[("w0", TASK_CPU), ("w1", TASK_CPU)]);
    rig.submit(submission(STUCK.0, vec![step(1, TASK_CPU, &[])], START));
    let (crashed, _) = rig.plan().remove(0);
    rig.crash(&crashed);
    let next_start = |rig: &mut Rig| {
        rig.store();
        rig.plan().pop()
    };
    let (worker, start) = (0..4).find_map(|_| next_start(&mut rig)).expect("a start");
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 1);
    rig.end(&worker, start.task, EndKind::LeaseExpired);
    rig.planner.acknowledge_stored();
    assert_eq!(acknowledged(&mut rig, &worker), None, "that it is cleared is not stored");
    rig.store();
    assert_eq!(acknowledged(&mut rig, &worker), Some(EndNumber(1)));
}
