//! The plan that a leader hands over, and what its successor makes of it.
//!
//! Guards against work that the successor starts beside a run of its
//! predecessor, or takes for running or for the cause of a crash although it is
//! not, because the plan is incomplete.

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
        handover::{Handover, LastPoller, PlannedRun, PollerId, WorkerHandover, WorkerPlan},
        id::{AssignmentNumber, Incarnation, RunNumber, SubmissionId, Term},
        message::{Order, WorkerReport},
        planner::Planner,
        poller::{MAX_ORPHAN_LEASE_MS, MAX_START_LEASE_MS},
        record,
        submission::{Schedule, StepSpec, Submission},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

/// Time between two plans, in milliseconds.
const PLAN_MS: u64 = 100;

fn long_running(count: u16, cpu: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu, &[]) }
}

fn silence(rig: &mut Rig, worker: &WorkerId) {
    rig.workers.remove(worker);
    let leases_expire_by = Some(rig.now.plus_ms(4_000));
    let report = WorkerReport::PollFailed { leases_expire_by, is_silent: true };
    rig.planner.report(worker, report, rig.now);
}

/// Lets the leader step down and another one take over, whose clock shows
/// `restored_at` when it restores the submissions.
fn succeed(rig: &mut Rig, submissions: &[Arc<Submission>], restored_at: Timestamp) {
    rig.planner.prepare_hand_over(rig.now);
    rig.store();
    let workers = rig.planner.hand_over(rig.now, |_| None);
    succeed_with(rig, workers, submissions, restored_at);
}

/// The same with what the successor finds in the record.
fn succeed_with(
    rig: &mut Rig,
    workers: Vec<WorkerHandover>,
    submissions: &[Arc<Submission>],
    restored_at: Timestamp,
) {
    let mut planner = Planner::new(Term(2), 2, manifest(3), rig.now.plus_ms(MAX_ORPHAN_LEASE_MS));
    planner.take_over(workers);
    planner.restore_workers(Some(rig.listings.clone()));
    for it in submissions {
        planner.restore(it.clone(), false, None, restored_at);
    }
    planner.place_handed_over(rig.now);
    rig.planner = planner;
}

fn starts(rig: &mut Rig, ms: u64) -> usize {
    let mut starts = 0;
    for _ in 0..ms / PLAN_MS {
        rig.advance(PLAN_MS);
        rig.poll_all();
        starts += rig.plan().len();
        rig.store();
    }
    starts
}

/// Work that waits starts at once, whatever worker does not answer; that of the
/// silent worker starts when its leases end.
#[test]
fn only_own_tasks_wait() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000), ("w1", 1_000)]);
    let submissions = [
        submission(1, vec![long_running(2, 800)], START),
        submission(2, vec![long_running(1, 900)], START),
    ];
    rig.submit(submissions[0].clone());
    assert_eq!(rig.plan().len(), 2);
    (0..3).for_each(|_| rig.poll_all());
    rig.submit(submissions[1].clone());
    assert!(rig.plan().is_empty(), "both workers are full");
    rig.add_workers(&[fleet_world::listing("w2", 2_000, Incarnation(1))]);
    let lost: WorkerId = "w0".parse().expect("a valid name");
    silence(&mut rig, &lost);
    let restored_at = rig.now;
    succeed(&mut rig, &submissions, restored_at);
    rig.planner.update_workers(rig.listings.clone(), true);
    assert_eq!(starts(&mut rig, 1_000), 1, "it waits for no worker");
    assert_eq!(starts(&mut rig, 2_000), 0, "the silent worker may go on");
    assert_eq!(starts(&mut rig, 3_000), 1, "its leases have ended");
}

/// The successor's clock is behind, so that an occurrence which has begun is not
/// due for it yet. Its run goes on where no poll reaches.
#[test]
fn occurrence_not_begun() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000), ("w1", 1_000)]);
    let schedule = Schedule { count: 1, first_at: START, interval_ms: 60_000 };
    let plain = submission(1, vec![step(1, 900, &[])], START);
    let scheduled = Arc::new(Submission { schedule: Some(schedule), ..(*plain).clone() });
    rig.submit(scheduled.clone());
    let (worker, _) = rig.plan().swap_remove(0);
    (0..3).for_each(|_| rig.poll_all());
    silence(&mut rig, &worker);
    let earlier = START.minus_ms(2_000);
    succeed(&mut rig, &[scheduled], earlier);
    rig.planner.update_workers(rig.listings.clone(), true);
    assert_eq!(starts(&mut rig, 3_500), 0, "the run may go on until the leases end");
    assert_eq!(starts(&mut rig, MAX_START_LEASE_MS - 1_500), 1);
}

/// Returns a rig in which a run of a submission is being stopped, as that was
/// cancelled, and a task waits for capacity; besides, the worker of the run.
fn stopping_rig(is_stored: bool) -> (Rig, Vec<Arc<Submission>>, WorkerId) {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000)]);
    let submissions = vec![
        submission(1, vec![step(1, 900, &[])], START),
        submission(2, vec![long_running(1, 900)], START),
    ];
    rig.submit(submissions[0].clone());
    let (worker, _) = rig.plan().swap_remove(0);
    (0..3).for_each(|_| rig.poll_all());
    rig.submit(submissions[1].clone());
    rig.planner.cancel(SubmissionId(1), rig.now);
    let orders = rig.planner.take_actions().orders;
    assert!(matches!(orders[..], [(_, Order::Stop { .. })]), "{orders:?}");
    if is_stored {
        rig.store();
    }
    (rig, submissions, worker)
}

fn is_polled(rig: &Rig, worker: &WorkerId) -> bool {
    rig.planner.workers_to_poll().any(|it| it.0.worker == *worker)
}

/// A run of a submission that has ended keeps no other work waiting, but its worker
/// is polled although service discovery lacks it.
#[test]
fn stopping_run() {
    let (mut rig, submissions, worker) = stopping_rig(true);
    rig.add_workers(&[fleet_world::listing("w1", 1_000, Incarnation(1))]);
    silence(&mut rig, &worker);
    let restored_at = rig.now;
    succeed(&mut rig, &submissions, restored_at);
    rig.planner.cancel(SubmissionId(1), rig.now);
    rig.listings.retain(|it| it.worker != worker);
    rig.planner.update_workers(rig.listings.clone(), true);
    assert!(is_polled(&rig, &worker), "it may still run something");
    assert_eq!(starts(&mut rig, 1_000), 1, "nothing else waits for it");
}

/// The successor may not find the end of the submission, and would start its tasks
/// again.
#[test]
fn end_not_stored() {
    let (rig, _, _) = stopping_rig(false);
    assert_eq!(rig.planner.hand_over(rig.now, |_| None).swap_remove(0).plan, None);
}

/// A submission was cancelled after the record was written.
#[test]
fn cancelled_meanwhile() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000)]);
    let it = submission(1, vec![step(1, 900, &[])], START);
    rig.submit(it.clone());
    let (worker, _) = rig.plan().swap_remove(0);
    (0..3).for_each(|_| rig.poll_all());
    rig.planner.prepare_hand_over(rig.now);
    rig.store();
    let workers = rig.planner.hand_over(rig.now, |_| None);
    for is_known in [true, false] {
        let expire_by = rig.now.plus_ms(MAX_ORPHAN_LEASE_MS);
        let mut planner = Planner::new(Term(2), 2, manifest(3), expire_by);
        planner.take_over(workers.clone());
        planner.restore_workers(Some(rig.listings.clone()));
        if is_known {
            planner.restore(it.clone(), false, None, rig.now);
            planner.cancel(SubmissionId(1), rig.now);
        }
        planner.place_handed_over(rig.now);
        rig.planner = planner;
        assert!(is_polled(&rig, &worker), "it may still run something");
    }
}

/// A worker that drained and left is no crash for the successor either.
#[test]
fn draining_worker() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000), ("w1", 1_000)]);
    let it = submission(1, vec![long_running(1, 900)], START);
    rig.submit(it.clone());
    let (worker, _) = rig.plan().swap_remove(0);
    rig.update_listings(|it| it.is_draining = it.worker == worker);
    let recorded: Vec<_> = rig.listings.clone();
    rig.listings.iter_mut().for_each(|it| it.is_draining = false);
    let restored_at = rig.now;
    succeed(&mut rig, &[it], restored_at);
    rig.listings = recorded;
    rig.listings.retain(|it| it.worker != worker);
    rig.planner.update_workers(rig.listings.clone(), true);
    silence(&mut rig, &worker);
    let replaced = WorkerReport::Replaced { incarnation: Some(Incarnation(1)) };
    rig.planner.report(&worker, replaced, rig.now);
    let counts = rig.planner.counts(rig.now);
    assert_eq!((counts.suspect_tasks, counts.worker_crashes), (0, 0));
}

/// Two workers of one address are handed over. Which of them is the later one is
/// not known, so that the silence of one is no proof of its end.
#[test]
fn same_address() {
    let mut rig = Rig::new(manifest(3), &[("w0", 1_000), ("w1", 1_000)]);
    let it = submission(1, vec![long_running(2, 900)], START);
    rig.submit(it.clone());
    assert_eq!(rig.plan().len(), 2);
    (0..3).for_each(|_| rig.poll_all());
    let address = rig.listings[0].address;
    rig.listings.iter_mut().for_each(|it| it.address = address);
    let restored_at = rig.now;
    succeed(&mut rig, &[it], restored_at);
    rig.planner.update_workers(rig.listings.clone(), true);
    for name in ["w0", "w1"] {
        silence(&mut rig, &name.parse().expect("a valid name"));
    }
    let counts = rig.planner.counts(rig.now);
    assert_eq!((counts.placed_runs, counts.worker_crashes), (2, 0));
}

fn poller(term: u64, process: &str, assignment: u64) -> PollerId {
    let process = process.parse().expect("a valid name");
    PollerId { term: Term(term), process, assignment: AssignmentNumber(assignment) }
}

/// Guards against an end of leases from a poller that was not the worker's last one,
/// which may have granted longer ones, and against a wait in full despite the last
/// one's.
#[test]
fn retired_pollers() {
    let last = poller(1, "p1", 3);
    let others = [poller(2, "p1", 3), poller(1, "p2", 3), poller(1, "p1", 2)];
    for id in others.iter().chain([&last]) {
        let mut rig = Rig::new(manifest(3), &[("w0", 1_000), ("w1", 1_000)]);
        let it = submission(1, vec![long_running(1, 900)], START);
        rig.submit(it.clone());
        let (worker, _) = rig.plan().swap_remove(0);
        starts(&mut rig, 4_000);
        let workers = rig.planner.hand_over(rig.now, |_| Some(last.clone()));
        rig.workers.remove(&worker);
        succeed_with(&mut rig, workers, &[it], START);
        rig.planner.update_workers(rig.listings.clone(), true);
        // Shorter than the wait in full by so much that the two differ.
        let lease_ms = (MAX_ORPHAN_LEASE_MS - 700) / PLAN_MS * PLAN_MS;
        let granted_until = rig.now.plus_ms(lease_ms);
        let counts = rig.planner.poller_retired(&worker, id, Some(granted_until));
        assert_eq!(counts, *id == last, "{id:?}");
        assert_eq!(starts(&mut rig, lease_ms), 0, "the lease has not ended");
        assert_eq!(starts(&mut rig, 500), usize::from(counts), "{id:?}");
        assert_eq!(starts(&mut rig, 2_000), usize::from(!counts), "{id:?}");
    }
}

/// Guards against a record of an earlier build that is not read, and against
/// pollers that are not.
#[test]
fn decoded_record() {
    let id = poller(7, "p1", 3);
    let poller = Some(LastPoller { id, other_leases_expire_by: START });
    let worker = "w0".parse().expect("a valid name");
    let plan = None;
    let workers =
        vec![WorkerHandover { worker, leases_expire_by: START, silent_since: None, plan, poller }];
    let mut handover = Handover { term: Term(7), written_at: START, workers };
    assert_eq!(Handover::decode(&handover.encode()).expect("a record"), handover);
    let earlier = record::encode(&handover);
    handover.workers[0].poller = None;
    assert_eq!(Handover::decode(&earlier).expect("a record"), handover);
}

/// A record that the store would not accept leaves out plans, not workers, and
/// those of silent workers last.
#[test]
fn large_record() {
    let worker = |i: u64| {
        let id = submission(i, vec![step(1_000, 1, &[])], START);
        let run =
            |it| PlannedRun { task: id.task(0, 0, it), run: RunNumber(it as u64), is_proven: true };
        WorkerHandover {
            worker: format!("w{i}").parse().expect("a valid name"),
            leases_expire_by: START,
            silent_since: i.is_multiple_of(10).then_some(START),
            plan: Some(WorkerPlan {
                incarnation: Incarnation(i),
                was_draining: false,
                has_stopping_runs: false,
                runs: (0..1_000).map(run).collect(),
            }),
            poller: None,
        }
    };
    let workers: Vec<WorkerHandover> = (1..=200).map(worker).collect();
    let mut handover = Handover { term: Term(7), written_at: START, workers };
    assert!(1 << 20 < handover.encode().len(), "more than the store accepts");
    handover.limit_size();
    assert!(handover.encode().len() < 512 << 10);
    assert_eq!(handover.workers.len(), 200);
    assert_eq!(handover.workers.iter().filter(|it| it.plan.is_some()).count(), 20);
}
