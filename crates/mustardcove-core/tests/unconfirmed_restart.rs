//! Guards against a leader that may have been replaced and takes a worker's
//! restart for the end of work that is done.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::message::{Order, StartOrder, WorkerReport},
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::Rig;

/// Time for which an unconfirmed leader is watched, in milliseconds.
const UNCONFIRMED_MS: u64 = 10_000;
/// Shortest time of a restart, in milliseconds. A confirmation from within that
/// time before the loss covers it.
const MIN_RESTART_MS: u64 = 400;

/// Returns a rig with one task of a submission, and its start.
fn started() -> (Rig, WorkerId, StartOrder) {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000), ("w2", 4_000)]);
    rig.submit(submission(1, vec![step(1, 500, &[])], rig.now));
    let (worker, start) = rig.plan().pop().expect("a start");
    (rig, worker, start)
}

/// Returns a rig with one task that two polls have listed, and its worker. The
/// leader was confirmed before, and not since.
fn listed() -> (Rig, WorkerId) {
    let (mut rig, worker, _) = started();
    for _ in 0..2 {
        rig.advance(100);
        rig.poll_all();
    }
    rig.planner.set_confirmed(rig.now, true);
    rig.advance(MIN_RESTART_MS + 100);
    (rig, worker)
}

/// Has a worker answer as its second incarnation, in which nothing runs.
fn restart(rig: &mut Rig, worker: &WorkerId) {
    rig.workers.get_mut(worker).expect("a worker").running.clear();
    rig.restart(worker, 2, &[]);
}

/// Polls the worker that did not restart, and plans.
fn go_on(rig: &mut Rig, restarted: &WorkerId) -> Vec<(WorkerId, StartOrder)> {
    let others: Vec<WorkerId> = rig.workers.keys().filter(|it| *it != restarted).cloned().collect();
    others.iter().for_each(|it| rig.poll(it, Vec::new()));
    rig.store();
    rig.plan()
}

/// Checks that the task starts once the leader is confirmed from `lost_at` on,
/// and not before.
fn starts_from(rig: &mut Rig, restarted: &WorkerId, lost_at: Timestamp) {
    for _ in 0..UNCONFIRMED_MS / 100 {
        assert!(go_on(rig, restarted).is_empty(), "a successor may have acknowledged its end");
        rig.advance(100);
    }
    // A suspected task starts in the round after its next run was stored.
    let started = |rig: &mut Rig| -> usize { (0..3).map(|_| go_on(rig, restarted).len()).sum() };
    let covering = lost_at.minus_ms(MIN_RESTART_MS);
    rig.planner.set_confirmed(covering.minus_ms(1), true);
    assert_eq!(started(rig), 0, "asked for before the end of the worker's incarnation was known");
    rig.planner.set_confirmed(covering, true);
    assert_eq!(started(rig), 1);
}

/// The worker answers as another incarnation.
#[test]
fn new_incarnation() {
    let (mut rig, worker) = listed();
    restart(&mut rig, &worker);
    let lost_at = rig.now;
    starts_from(&mut rig, &worker, lost_at);
}

/// Another worker answers at the address.
#[test]
fn replaced_worker() {
    let (mut rig, worker) = listed();
    rig.crash(&worker);
    let lost_at = rig.now;
    starts_from(&mut rig, &worker, lost_at);
}

/// The earlier incarnation may have carried out a start that no poll listed.
#[test]
fn unlisted_start() {
    let (mut rig, worker, start) = started();
    rig.planner.set_confirmed(rig.now, true);
    rig.advance(MIN_RESTART_MS + 100);
    restart(&mut rig, &worker);
    let lost_at = rig.now;
    let is_stop = |it: &(WorkerId, Order)| matches!(it.1, Order::Stop { .. });
    while !rig.orders.iter().any(is_stop) {
        rig.advance(100);
        rig.restart(&worker, 2, &[]);
        assert!(go_on(&mut rig, &worker).is_empty());
    }
    let (task, run) = (start.task, start.run);
    let report = WorkerReport::Stop { task, run, is_confirmed: true, answered_at: rig.now };
    rig.planner.report(&worker, report, rig.now);
    for _ in 0..3 {
        rig.advance(100);
        rig.restart(&worker, 2, &[]);
    }
    starts_from(&mut rig, &worker, lost_at);
}

/// The task is adopted on another worker, which restarts, too, before the leader
/// is confirmed.
#[test]
fn second_restart() {
    let (mut rig, worker, start) = started();
    rig.planner.set_confirmed(rig.now, true);
    rig.poll_all();
    rig.advance(MIN_RESTART_MS + 100);
    rig.crash(&worker);
    let first_at = rig.now;
    let other = rig.workers.keys().next().expect("a worker").clone();
    for _ in 0..2 {
        rig.advance(100);
        rig.restart(&other, 1, std::slice::from_ref(&start));
    }
    rig.advance(MIN_RESTART_MS + 100);
    restart(&mut rig, &other);
    let lost_at = rig.now;
    rig.planner.set_confirmed(first_at, true);
    starts_from(&mut rig, &other, lost_at);
}

/// The crash is proven however old the confirmation is.
#[test]
fn crash_proven() {
    let (mut rig, worker, _) = started();
    rig.planner.set_confirmed(rig.now, true);
    rig.advance(MIN_RESTART_MS + 100);
    rig.crash(&worker);
    assert_eq!(rig.planner.counts(rig.now).worker_crashes, 1);
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, 1);
    let lost_at = rig.now;
    starts_from(&mut rig, &worker, lost_at);
}

/// A planner that is told of no other leader does not wait.
#[test]
fn never_told() {
    let (mut rig, worker) = listed();
    rig.planner.set_confirmed(Timestamp::MAX, true);
    restart(&mut rig, &worker);
    assert_eq!(go_on(&mut rig, &worker).len(), 1);
}
