//! Guards against a new leader that uses a worker again which has left, or is
//! about to: it is recorded and may still answer polls.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, Term},
        message::{Order, PollResult, WorkerReport},
        planner::{Planner, WorkerListing},
    },
    time::Timestamp,
};

const NOW: Timestamp = Timestamp(60_000);

/// Returns the workers that a new leader starts a task on. It restores three,
/// all of which answer polls, and service discovery lists `listed`.
fn used(listed: Vec<WorkerListing>, may_remove: bool) -> Vec<String> {
    let all: Vec<WorkerListing> =
        ["w0", "w1", "w2"].map(|it| listing(it, 4_000, Incarnation(1))).to_vec();
    let mut planner = Planner::new(Term(9), 2, manifest(3), NOW);
    planner.restore_workers(Some(all.clone()));
    planner.submit(submission(1, vec![step(12, 500, &[])], NOW), true, NOW);
    let mut used = Vec::new();
    let mut tick = |planner: &mut Planner| {
        for it in &all {
            let poll = PollResult {
                incarnation: Incarnation(1),
                leases_expire_by: NOW.plus_ms(4_000),
                responsive_since: NOW,
                asked_at: NOW,
                running: Vec::new(),
                ended: Vec::new(),
                may_lack_ends: false,
            };
            planner.report(&it.worker, WorkerReport::Polled(poll), NOW);
        }
        planner.tick(NOW);
        let starts = planner.take_actions().orders.into_iter();
        used.extend(
            starts.filter(|it| matches!(it.1, Order::Start(_))).map(|it| it.0.as_str().to_owned()),
        );
    };
    tick(&mut planner);
    planner.update_workers(listed, may_remove);
    tick(&mut planner);
    used.sort();
    used.dedup();
    used
}

#[test]
fn not_listed() {
    let listed = vec![listing("w0", 4_000, Incarnation(1))];
    for may_remove in [false, true] {
        assert_eq!(used(listed.clone(), may_remove), ["w0"]);
        assert_eq!(used(Vec::new(), may_remove), Vec::<String>::new());
    }
}

#[test]
fn draining() {
    let mut draining = listing("w1", 4_000, Incarnation(1));
    draining.is_draining = true;
    let listed = vec![draining, listing("w2", 4_000, Incarnation(1))];
    assert_eq!(used(listed, false), ["w2"]);
}
