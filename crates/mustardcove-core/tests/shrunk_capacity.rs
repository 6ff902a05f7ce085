//! Workers whose capacity changes while they run.
//!
//! Guards against starts that exceed the capacity of a worker that does not
//! refuse them: because a smaller capacity takes effect late, or because runs
//! there are not counted.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::sync::Arc;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, RunNumber},
        manifest::Manifest,
        message::EndKind,
        planner::WorkerListing,
        roster::{Roster, RosterSegment},
    },
    id::WorkerId,
    size::Resources,
};
use planner_rig::{Rig, START};

const FLEET: [(&str, u64); 1] = [("w0", 4_000)];

fn set_cpu(rig: &mut Rig, cpu: u64) {
    rig.update_listings(|it| it.capacity = Resources::new(cpu, 1 << 20, 0));
}

/// A start that no poll has shown yet takes its part of what is left.
#[test]
fn start_in_flight_counts() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 1_500, &[])], START));
    assert_eq!(rig.plan().len(), 1);
    set_cpu(&mut rig, 2_000);
    rig.submit(submission(2, vec![step(1, 1_000, &[])], START));
    assert!(rig.plan().is_empty(), "500 millicores are left");
    set_cpu(&mut rig, 4_000);
    assert_eq!(rig.plan().len(), 1, "it has grown again");
}

/// A run that is being stopped takes its part until its end is listed.
#[test]
fn stopping_run_counts() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 3_000, &[])], START));
    let (worker, start) = rig.plan().remove(0);
    rig.planner.cancel(start.task.step.submission, rig.now);
    rig.submit(submission(2, vec![step(1, 2_000, &[])], START));
    rig.planner.tick(rig.now);
    let orders = rig.planner.take_actions().orders;
    assert_eq!(orders.len(), 1, "the stop alone: {orders:?}");
    rig.end(&worker, start.task, EndKind::Stopped);
    assert_eq!(rig.plan().len(), 1);
}

fn recorded(roster: &mut Roster, listing: &WorkerListing) {
    roster.update(vec![listing.clone()]);
    let write = roster.changes().remove(0);
    roster.stored(write, 5);
}

/// A change of the capacity takes effect at once, and needs no write to the
/// store.
#[test]
fn capacity_not_recorded() {
    let mut roster = Roster::default();
    let large = listing("w0", 4_000, Incarnation(1));
    recorded(&mut roster, &large);
    let small = listing("w0", 1_000, Incarnation(1));
    assert_eq!(roster.update(vec![small.clone()]), vec![small.clone()]);
    assert!(roster.changes().is_empty());
    let mut next = Roster::default();
    next.restore(0, RosterSegment { workers: vec![large] }, 5);
    assert_eq!(next.update(vec![small.clone()]), vec![small], "for the next leader, too");
}

/// Returns a manifest whose only pool has workers that start whatever they are
/// told to, or refuse what exceeds their capacity.
fn pool(rejects_overload: bool) -> Arc<Manifest> {
    let mut manifest = Manifest::clone(&manifest(3));
    manifest.services[0].rejects_overload = rejects_overload;
    Arc::new(manifest)
}

/// A run whose submission the plan does not know yet takes an unknown part of
/// the worker, which gets nothing more until the submission has been read.
#[test]
fn unknown_run_counts() {
    for rejects_overload in [false, true] {
        let mut rig = Rig::new(pool(rejects_overload), &FLEET);
        let unknown = submission(1, vec![step(1, 3_000, &[])], START);
        let task = unknown.task(0, 0, 0);
        let running = &mut rig.workers.get_mut(&worker()).expect("a worker").running;
        running.insert(task, (RunNumber(1), 0, 0));
        rig.poll_all();
        rig.submit(submission(2, vec![step(1, 2_000, &[])], START));
        // A worker that refuses what it cannot take may be asked.
        assert_eq!(rig.plan().len(), usize::from(rejects_overload));
        assert_eq!(rig.lookups, [unknown.id]);
        rig.planner.submit(unknown, false, rig.now);
        rig.poll_all();
        assert!(rig.plan().is_empty(), "it has no capacity for both");
        if !rejects_overload {
            rig.end(&worker(), task, EndKind::Done);
            assert_eq!(rig.plan().len(), 1);
        }
    }
}

fn worker() -> WorkerId {
    "w0".parse().expect("a valid name")
}

/// A leader that has lost the store, while others reach it, no longer learns
/// that a capacity has shrunk.
#[test]
fn stale_entries() {
    for rejects_overload in [false, true] {
        let mut rig = Rig::new(pool(rejects_overload), &FLEET);
        rig.planner.set_entries_stale(true);
        rig.submit(submission(1, vec![step(1, 1_000, &[])], START));
        assert_eq!(rig.plan().len(), usize::from(rejects_overload));
        rig.planner.set_entries_stale(false);
        assert_eq!(rig.plan().len(), usize::from(!rejects_overload));
    }
}

/// A start that waits for its record is not ordered after the capacity has
/// shrunk below it.
#[test]
fn start_dropped_after_shrink() {
    let mut rig = Rig::new(manifest(3), &FLEET);
    rig.submit(submission(1, vec![step(1, 1_500, &[])], START));
    rig.plan();
    rig.poll_all();
    rig.restart(&worker(), 2, &[]);
    rig.update_listings(|it| it.incarnation = Incarnation(2));
    // The task may have crashed the worker, so its next run is recorded first.
    rig.store();
    assert!(rig.plan().is_empty());
    assert_eq!(rig.planner.counts(rig.now).placed_runs, 1);
    set_cpu(&mut rig, 1_000);
    rig.store();
    assert!(rig.plan().is_empty(), "it does not fit any more");
    assert_eq!(rig.planner.counts(rig.now).placed_runs, 0);
}
