//! How long suspected tasks wait for news of silent workers.
//!
//! Guards against waits that begin anew: with the silence of another worker, of
//! which there is news already.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{id::Incarnation, message::WorkerReport, submission::StepSpec},
    id::WorkerId,
};
use planner_rig::Rig;

/// Time for which the outcome of a run on a silent worker is awaited, in
/// milliseconds.
const OPEN_WAIT_MS: u64 = 8_000;
/// Longest time without a run after the loss of a worker, in milliseconds.
const MAX_AWAY_MS: u64 = 9_000;
/// Time between two plans, in milliseconds.
const PLAN_MS: u64 = 100;

fn id(worker: &str) -> WorkerId {
    worker.parse().expect("a valid name")
}

/// A worker falls silent for good, and the next one crashes under the task and is
/// replaced: that was no reason to wait for longer for the first.
#[test]
fn other_silence() {
    let mut rig = Rig::new(manifest(3), &[("w1", 4_000)]);
    let lasting = StepSpec { is_long_running: true, ..step(1, 2_000, &[]) };
    rig.submit(submission(1, vec![lasting], rig.now));
    assert_eq!(rig.plan().len(), 1);
    let silent_at = rig.now;
    rig.workers.remove(&id("w1"));
    let leases_expire_by = Some(rig.now.plus_ms(4_000));
    let silent = WorkerReport::PollFailed { leases_expire_by, is_silent: true };
    rig.planner.report(&id("w1"), silent, rig.now);
    rig.add_workers(&[listing("w2", 4_000, Incarnation(1))]);
    let mut starts = Vec::new();
    while rig.now < silent_at.plus_ms(20_000) && starts.len() < 2 {
        rig.advance(PLAN_MS);
        rig.poll_all();
        for (worker, _) in rig.plan() {
            starts.push(rig.now);
            if worker == id("w2") {
                rig.crash(&worker);
                rig.add_workers(&[listing("w3", 4_000, Incarnation(1))]);
            }
        }
        rig.store();
    }
    let [second, third] = starts[..] else { panic!("no start: {starts:?}") };
    let away_ms = third.ms_since(silent_at);
    assert!(away_ms <= MAX_AWAY_MS, "second start at {second}: {away_ms} ms");
    assert!(OPEN_WAIT_MS <= away_ms, "the first worker may come back: {away_ms} ms");
}
