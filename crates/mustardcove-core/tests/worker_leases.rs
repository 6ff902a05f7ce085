//! What the leader is told of leases at a worker, and what it makes of that.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation},
        message::WorkerReport,
        poller::{
            ACK_VALID_MS, LEASE_MS, MAX_ORPHAN_LEASE_MS, MAX_START_LEASE_MS, MIN_POLL_INTERVAL_MS,
            WorkerPoller,
        },
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

fn expires_by(report: WorkerReport) -> Option<Timestamp> {
    match report {
        WorkerReport::PollFailed { leases_expire_by, .. } => leases_expire_by,
        other => panic!("not a missed look: {other:?}"),
    }
}

/// Returns the calls of a process whose worker answered with runs.
fn confirmed_calls() -> WorkerPoller {
    let mut calls = WorkerPoller::default();
    let answered = calls.poll_answered(Incarnation(1), 0, true, START);
    calls.confirm(Some(answered.responsive_since));
    calls
}

/// Guards against a lease whose end moves on with every failed look: what runs
/// on a lost worker was then never started again.
#[test]
fn silence_moves_nothing() {
    let mut calls = confirmed_calls();
    calls.next_poll(true, START);
    let first = expires_by(calls.poll_failed());
    calls.next_poll(true, START.plus_ms(5_000));
    let later = expires_by(calls.poll_failed());
    assert_eq!(first, later);
    assert!(first.is_some_and(|it| START.plus_ms(LEASE_MS) <= it));
}

/// A caller that granted nothing says nothing about the end of leases that
/// others granted.
#[test]
fn nothing_granted() {
    let mut calls = WorkerPoller::default();
    calls.next_poll(true, START);
    assert_eq!(expires_by(calls.poll_failed()), None);
}

/// Guards against taking a lease that another process granted for one that is
/// over: what it covers was started a second time.
#[test]
fn foreign_leases() {
    let mut calls = WorkerPoller::default();
    calls.next_poll(true, START);
    let answered = calls.poll_answered(Incarnation(1), 700, true, START);
    assert!(START.plus_ms(LEASE_MS) <= answered.leases_expire_by);
}

/// Guards against a lease that the leader cannot know of: a caller that is
/// lost after its worker answered again, or a new one, grants none before its
/// report has arrived.
#[test]
fn grants_confirmed() {
    let mut calls = WorkerPoller::default();
    let first = calls.poll_answered(Incarnation(1), 0, true, START);
    assert_eq!(calls.next_poll(true, START).lease_until, None);
    calls.confirm(Some(first.responsive_since));
    assert!(calls.next_poll(true, START).lease_until.is_some());
    calls.poll_failed();
    calls.poll_failed();
    let later = START.plus_ms(3_000);
    let second = calls.poll_answered(Incarnation(1), 3_000, true, later);
    assert_eq!(calls.next_poll(true, later).lease_until, None);
    calls.confirm(Some(second.responsive_since));
    assert!(calls.next_poll(true, later).lease_until.is_some());
}

/// Starts a task that lasts on the only worker, and lets it answer once.
fn lasting_task() -> (Rig, WorkerId) {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 100)]);
    let mut lasting = step(1, 500, &[]);
    lasting.is_long_running = true;
    rig.submit(submission(1, vec![lasting], START));
    let worker = rig.plan()[0].0.clone();
    rig.pass(1_000);
    rig.look_all();
    (rig, worker)
}

fn missed(leases_expire_by: Option<Timestamp>) -> WorkerReport {
    WorkerReport::PollFailed { leases_expire_by, is_silent: true }
}

/// Returns how long the planner lets a run on a silent worker stand.
fn given_up_after_ms(rig: &mut Rig) -> u64 {
    let since = rig.now;
    rig.list(|it| it.capacity = mustardcove_core::size::Resources::new(4_000, 1 << 20, 0));
    while rig.plan().is_empty() {
        rig.pass(50);
        let awake: WorkerId = "w1".parse().expect("a valid name");
        rig.look(&awake, Vec::new());
        assert!(rig.now.ms_since(since) < 60_000, "the run is never given up");
    }
    rig.now.ms_since(since)
}

/// Guards against a silent worker whose leases end later with each change of
/// the process that calls it: tasks that last stayed away for over 10 s.
#[test]
fn callers_lost() {
    let (mut rig, worker) = lasting_task();
    let expires_by = rig.now.plus_ms(LEASE_MS);
    rig.planner.report(&worker, missed(Some(expires_by)), rig.now);
    let began = rig.now;
    for _ in 0..3 {
        rig.pass(1_000);
        let lost_over_by = rig.now.plus_ms(MAX_ORPHAN_LEASE_MS);
        rig.planner.poller_lost([&worker], lost_over_by);
        rig.planner.report(&worker, missed(None), rig.now);
        rig.planner.tick(rig.now);
    }
    given_up_after_ms(&mut rig);
    let away_ms = rig.now.ms_since(began);
    assert!(away_ms <= MAX_START_LEASE_MS, "given up after {away_ms} ms");
}

/// Guards against giving up a run whose lease a lost caller may have
/// lengthened after its last report.
#[test]
fn caller_lost_unheard() {
    let (mut rig, worker) = lasting_task();
    let lost_over_by = rig.now.plus_ms(MAX_ORPHAN_LEASE_MS);
    rig.planner.poller_lost([&worker], lost_over_by);
    rig.planner.report(&worker, missed(None), rig.now);
    let after_ms = given_up_after_ms(&mut rig);
    assert!(MAX_ORPHAN_LEASE_MS <= after_ms, "given up after {after_ms} ms");
}

/// Guards against an end of the lease that does not cover a look which takes
/// effect and whose answer is lost: its failure is noticed only after the old
/// lease would have ended.
#[test]
fn lost_answer() {
    let mut calls = confirmed_calls();
    let mut now = START.plus_ms(MIN_POLL_INTERVAL_MS);
    calls.next_poll(true, now);
    for _ in 0..2 {
        now = now.plus_ms(1_200);
        calls.poll_failed();
        calls.next_poll(true, now);
    }
    let answered = calls.poll_answered(Incarnation(1), now.ms_since(START), true, now);
    calls.confirm(Some(answered.responsive_since));
    let told = answered.leases_expire_by;
    now = now.plus_ms(MIN_POLL_INTERVAL_MS);
    let next = calls.next_poll(true, now);
    // The worker's clock shows milliseconds since START and is exact.
    let granted = START.plus_ms(next.lease_until.expect("a lease is granted"));
    assert!(granted <= told, "granted until {granted}, told {told}");
}

/// A worker that does not answer gets no longer lease.
#[test]
fn no_grant_unheard() {
    let mut calls = confirmed_calls();
    calls.poll_failed();
    assert_eq!(calls.next_poll(true, START.plus_ms(500)).lease_until, None);
}

/// A caller that has not heard of its leader lengthens no lease.
#[test]
fn leader_unheard() {
    let mut calls = confirmed_calls();
    assert_eq!(calls.next_poll(false, START.plus_ms(500)).lease_until, None);
}

/// Guards against ends of a worker's next life that are forgotten unseen: their
/// numbers begin again, so the last number of this life covers them.
#[test]
fn forget_fresh() {
    let mut calls = confirmed_calls();
    calls.acknowledge_ends(Incarnation(1), EndNumber(7));
    assert_eq!(calls.next_poll(true, START).acknowledge_through, EndNumber(7));
    let stale = START.plus_ms(ACK_VALID_MS);
    assert_eq!(calls.next_poll(true, stale).acknowledge_through, EndNumber(0));
    calls.poll_answered(Incarnation(1), 1_000, true, stale);
    assert_eq!(calls.next_poll(true, stale).acknowledge_through, EndNumber(7));
    calls.poll_failed();
    assert_eq!(calls.next_poll(true, stale).acknowledge_through, EndNumber(0));
}
