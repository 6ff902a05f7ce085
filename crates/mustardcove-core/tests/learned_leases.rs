//! What a leader makes of the ends of leases that its displaced predecessor tells.
//!
//! Guards against work that starts beside a run of the predecessor, because an end is
//! taken for earlier than it is, and against waits that a message makes longer.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::sync::Arc;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        handover::{KnownLeases, LastPoller, PollerId},
        id::{AssignmentNumber, Term},
        message::WorkerReport,
        planner::Planner,
        poller::MAX_ORPHAN_LEASE_MS,
        submission::{StepSpec, Submission},
    },
    id::WorkerId,
    time::ClockShift,
};
use planner_rig::{Rig, START};

/// Time between two plans, in milliseconds.
const PLAN_MS: u64 = 50;
/// Time that is left of the leases when the next leader claims, in milliseconds.
const LEFT_MS: u64 = 2_000;
/// Margin that is added to the end of leases, and one plan, in milliseconds.
const MARGIN_MS: u64 = 200 + PLAN_MS;

/// A leader that follows one which was displaced, and what that knew.
struct Successor {
    rig: Rig,
    lost: WorkerId,
    known: Vec<KnownLeases>,
}

fn poller_id(assignment: u64) -> PollerId {
    let process = "p.1".parse().expect("a valid name");
    PollerId { term: Term(1), process, assignment: AssignmentNumber(assignment) }
}

/// Lets the worker of a long-running task be lost, which the leader notices if
/// `is_silent`, and another leader claim beside it.
fn displace(is_silent: bool) -> Successor {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000), ("w1", 1_000)]);
    let long_running = StepSpec { is_long_running: true, ..step(1, 900, &[]) };
    let submission: Arc<Submission> = submission(1, vec![long_running], START);
    rig.submit(submission.clone());
    let (lost, _) = rig.plan().swap_remove(0);
    (0..3).for_each(|_| rig.poll_all());
    // The lease of the start, which no poll confirms.
    rig.advance(6_000);
    rig.poll_all();
    rig.workers.remove(&lost);
    let leases_expire_by = Some(rig.now.plus_ms(LEFT_MS));
    rig.planner.report(&lost, WorkerReport::PollFailed { leases_expire_by, is_silent }, rig.now);
    let known = rig.planner.displaced(rig.now, |_| Some(poller_id(4)));
    let mut planner = Planner::new(Term(2), 2, manifest(3), rig.now.plus_ms(MAX_ORPHAN_LEASE_MS));
    planner.restore_workers(Some(rig.listings.clone()));
    planner.restore(submission, false, None, rig.now);
    planner.place_handed_over(rig.now);
    planner.update_workers(rig.listings.clone(), true);
    rig.planner = planner;
    Successor { rig, lost, known }
}

impl Successor {
    /// Delivers the message `late_ms` after it was sent.
    fn learn(&mut self, known: Vec<KnownLeases>, late_ms: u64) -> usize {
        let shift = ClockShift::new(self.rig.now, self.rig.now.plus_ms(late_ms));
        let known = known.into_iter().map(|it| it.to_local(shift)).collect();
        self.rig.planner.learn_leases(known)
    }

    /// Returns after how many milliseconds the task starts.
    fn starts_after(&mut self) -> u64 {
        let began = self.rig.now;
        while self.rig.now.ms_since(began) < 2 * MAX_ORPHAN_LEASE_MS {
            self.rig.advance(PLAN_MS);
            self.rig.poll_all();
            if !self.rig.plan().is_empty() {
                return self.rig.now.ms_since(began);
            }
            self.rig.store();
        }
        panic!("the task does not start");
    }
}

fn assert_waited(ms: u64, expected_ms: u64) {
    assert!((expected_ms..=expected_ms + MARGIN_MS).contains(&ms), "{ms}, not {expected_ms} ms");
}

/// The end that the predecessor knew counts from its message, in any order with
/// others that are late or repeat it.
#[test]
fn late_and_twice() {
    for delays_ms in [&[0][..], &[0, 0], &[10_000, 0], &[0, 10_000], &[300, 0, 900]] {
        let mut successor = displace(true);
        for late_ms in delays_ms {
            successor.learn(successor.known.clone(), *late_ms);
        }
        assert_waited(successor.starts_after(), LEFT_MS);
    }
}

/// A message that is 10 s late makes no wait longer than without one.
#[test]
fn never_later() {
    let without_ms = displace(true).starts_after();
    assert_waited(without_ms, MAX_ORPHAN_LEASE_MS);
    let mut successor = displace(true);
    assert_eq!(successor.learn(successor.known.clone(), 10_000), 0, "nothing is earlier");
    assert_eq!(successor.starts_after(), without_ms);
}

/// The poller of a worker that still answered the predecessor goes on extending
/// leases. Its report may arrive before the message that names it.
#[test]
fn poller_reports() {
    for is_first in [true, false] {
        for (assignment, expected_ms) in [(4, LEFT_MS + 700), (3, MAX_ORPHAN_LEASE_MS)] {
            let mut successor = displace(false);
            let known = successor.known.clone();
            if !is_first {
                successor.learn(known.clone(), 0);
            }
            let expire_by = Some(successor.rig.now.plus_ms(LEFT_MS + 700));
            let poller = poller_id(assignment);
            successor.rig.planner.poller_retired(&successor.lost, &poller, expire_by);
            if is_first {
                successor.learn(known, 0);
            }
            assert_waited(successor.starts_after(), expected_ms);
        }
    }
}

/// Leases that others than the last poller granted outlast its own.
#[test]
fn other_pollers() {
    let mut successor = displace(false);
    let other_leases_expire_by = successor.rig.now.plus_ms(4_400);
    for it in &mut successor.known {
        it.poller = Some(LastPoller { id: poller_id(4), other_leases_expire_by });
    }
    successor.learn(successor.known.clone(), 0);
    successor.rig.planner.poller_retired(&successor.lost, &poller_id(4), None);
    assert_waited(successor.starts_after(), 4_400);
}

/// What another worker has taken the place of may run on at another address.
#[test]
fn replaced_worker() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000), ("w1", 1_000)]);
    rig.poll_all();
    let replaced: WorkerId = "w0".parse().expect("a valid name");
    rig.planner.report(&replaced, WorkerReport::Replaced { incarnation: None }, rig.now);
    let known = rig.planner.displaced(rig.now, |_| None);
    let workers: Vec<&str> = known.iter().map(|it| it.worker.as_str()).collect();
    assert_eq!(workers, ["w1"]);
}
