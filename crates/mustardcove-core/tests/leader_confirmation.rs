//! What a leader may permit and conclude, by when it was last confirmed.
//!
//! Guards against a leader that goes on after it was replaced because it dates
//! an answer too late, counts processes that do not obey it, or takes silence
//! for the end of work that its successor goes on with.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, silent_poller, step, submission};
use mustardcove_core::{
    fleet::{
        confirmation::{Confirmation, CoveredReports, MAX_STORELESS_MS, MAX_UNANIMOUS_MS},
        id::BootMillis,
        members::{MemberList, MemberState, Members},
        message::{EndKind, Order, WorkerReport},
        poller::{
            LEADER_SILENT_MS, LeasePermission, MAX_ORPHAN_LEASE_MS, MAX_START_LEASE_MS,
            start_deadline,
        },
    },
    id::{ProcessId, WorkerId},
    time::Timestamp,
};
use planner_rig::{Rig, START};

fn boot(time: Timestamp) -> BootMillis {
    BootMillis(time.0)
}

/// Returns the confirmation of a leader whose claim was sent at [`START`].
fn claimed() -> Confirmation {
    Confirmation::new(START, boot(START))
}

/// Returns whether half of the members have joined a successor.
fn is_joined_by_half(joined: usize, members: usize) -> bool {
    let process = |it: usize| format!("p{it}.1").parse::<ProcessId>().expect("a valid name");
    let mut known = Members::default();
    let list = (0..members).map(|it| (process(it), format!("p{it}")));
    known.stored(MemberList(list.collect()), 1);
    let has_joined = |it: &ProcessId| (0..joined).any(|i| process(i) == *it);
    known.is_joined_by_half(
        |it, _| {
            if has_joined(it) { MemberState::Joined } else { MemberState::Awaited }
        },
    )
}

fn worker(name: &str) -> WorkerId {
    name.parse().expect("a valid name")
}

/// Reports that a worker has fallen silent, with leases until a time.
fn silence(rig: &mut Rig, id: &WorkerId, leases_expire_by: Timestamp) {
    let leases_expire_by = Some(leases_expire_by);
    let report = WorkerReport::PollFailed { leases_expire_by, is_silent: true };
    rig.planner.report(id, report, rig.now);
}

/// A slow answer says nothing about the time after its question, nor does one
/// that is overtaken by another.
#[test]
fn dated_by_question() {
    let mut confirmation = claimed();
    let asked_at = START.plus_ms(1_000);
    confirmation.store_answered(asked_at, boot(asked_at));
    let handled_at = asked_at.plus_ms(900);
    assert_eq!(confirmation.sole_through(), asked_at);
    assert_eq!(confirmation.permitted_from(boot(handled_at)), asked_at);
    confirmation.store_answered(START.plus_ms(500), boot(START.plus_ms(500)));
    assert_eq!(confirmation.sole_through(), asked_at, "an earlier question is answered later");
}

/// Half of the processes may obey a successor, so they confirm nothing.
#[test]
fn strict_majority() {
    let heard_at = START.plus_ms(1_000);
    for processes in 1..=9usize {
        for obeying in 0..=processes {
            let mut confirmation = claimed();
            let heard = |it| (it < obeying).then_some(heard_at);
            confirmation.heard(
                [(0..processes).map(heard).collect()],
                Some(Timestamp::MAX),
                boot(heard_at),
            );
            let is_most = processes < 2 * obeying;
            let expected = if is_most { heard_at } else { START };
            let permitted_from = confirmation.permitted_from(boot(heard_at));
            assert_eq!(permitted_from, expected, "{obeying} of {processes} obey");
            let joined = processes - obeying;
            assert_ne!(is_joined_by_half(joined, processes), is_most, "{joined} have joined");
        }
    }
    assert_eq!(claimed().permitted_from(boot(heard_at)), START, "no process is registered");
}

/// The majority is as old as the oldest heartbeat that it takes.
#[test]
fn oldest_of_majority() {
    let mut confirmation = claimed();
    let heard = [900, 100, 500, 700].map(|it| Some(START.plus_ms(it)));
    confirmation.heard([heard.to_vec()], Some(Timestamp::MAX), boot(START));
    assert_eq!(confirmation.majority_through(), Some(START.plus_ms(500)));
    assert_eq!(confirmation.sole_through(), START.plus_ms(100));
    let heard = vec![Some(START.plus_ms(900)), Some(START.plus_ms(800)), None];
    confirmation.heard([heard], Some(Timestamp::MAX), boot(START));
    assert_eq!(confirmation.sole_through(), START, "one of them may lead or obey another");
    assert_eq!(confirmation.permitted_from(boot(START)), START.plus_ms(800));
}

/// Most processes suffice for a limited time only, after which a successor that
/// they have not joined takes the leases for expired.
#[test]
fn storeless_limit() {
    let mut confirmation = claimed();
    let last = START.plus_ms(MAX_STORELESS_MS - 1);
    confirmation.heard([vec![Some(last), Some(last), None]], Some(Timestamp::MAX), boot(last));
    assert_eq!(confirmation.permitted_from(boot(last)), last);
    assert_eq!(confirmation.permitted_from(boot(last.plus_ms(1))), START);
    let asked_at = START.plus_ms(5_000);
    confirmation.store_answered(asked_at, boot(asked_at));
    assert_eq!(confirmation.permitted_from(boot(last.plus_ms(1))), last);
    confirmation.heard([vec![Some(last); 3]], Some(Timestamp::MAX), boot(last));
    let later = boot(last.plus_ms(MAX_STORELESS_MS));
    assert_eq!(confirmation.permitted_from(later), last, "nobody obeys a successor");
    let heard_at = START.plus_ms(6_000 + MAX_UNANIMOUS_MS);
    confirmation.heard([vec![Some(heard_at); 3]], Some(Timestamp::MAX), boot(heard_at));
    assert_eq!(confirmation.sole_through(), asked_at, "a successor may not know any of them");
}

/// While a change of the members is open, a successor may find either list.
#[test]
fn both_lists() {
    let mut confirmation = claimed();
    let (earlier, later) = (START.plus_ms(100), START.plus_ms(900));
    let lists = [vec![Some(later), Some(earlier), None], vec![Some(later), Some(later), None]];
    confirmation.heard(lists, Some(Timestamp::MAX), boot(later));
    assert_eq!(confirmation.majority_through(), Some(earlier));
    let lists = [vec![Some(later); 3], vec![Some(later), None, None]];
    confirmation.heard(lists, Some(Timestamp::MAX), boot(later));
    assert_eq!(confirmation.majority_through(), None);
    assert_eq!(confirmation.sole_through(), START);
}

/// A suspended machine counts the time without the store.
#[test]
fn suspended_machine() {
    let mut confirmation = claimed();
    let heard = vec![Some(START.plus_ms(100)), Some(START.plus_ms(100)), None];
    confirmation.heard([heard], Some(Timestamp::MAX), boot(START));
    let resumed = boot(START).plus_ms(MAX_STORELESS_MS);
    assert_eq!(confirmation.permitted_from(resumed), START);
}

/// A report that was handled after the confirmation permits nothing: its leader
/// may have been replaced by then.
#[test]
fn covered_reports() {
    let mut reports = CoveredReports::default();
    let sent = BootMillis(7_000);
    reports.handled(sent, START);
    assert_eq!(reports.covered(), None, "nothing was confirmed yet");
    reports.handled(sent.plus_ms(400), START.plus_ms(400));
    reports.handled(sent.plus_ms(800), START.plus_ms(800));
    reports.confirm(START.plus_ms(799));
    assert_eq!(reports.covered(), Some(sent.plus_ms(400)));
    reports.confirm(START.plus_ms(100));
    assert_eq!(reports.covered(), Some(sent.plus_ms(400)), "confirmations do not go back");
    reports.confirm(START.plus_ms(800));
    assert_eq!(reports.covered(), Some(sent.plus_ms(800)));
    // A report that was under way for long permits less.
    reports.handled(sent, START.plus_ms(1_200));
    reports.confirm(START.plus_ms(1_200));
    assert_eq!(reports.covered(), Some(sent.plus_ms(800)));
}

/// Frequent reports neither displace those that a confirmation will cover nor
/// are kept without bound.
#[test]
fn many_reports() {
    let mut reports = CoveredReports::default();
    for ms in 0..3_000 {
        reports.handled(BootMillis(ms), START.plus_ms(ms));
    }
    reports.confirm(START.plus_ms(500));
    assert_eq!(reports.covered(), Some(BootMillis(500)));
}

/// A start that the confirmation does not cover is not sent.
#[test]
fn start_needs_permission() {
    let sent = boot(START);
    let covered = LeasePermission::new(Some(sent));
    let handled = Some(sent.plus_ms(LEADER_SILENT_MS - 100));
    let late = sent.plus_ms(LEADER_SILENT_MS - 50);
    let deadline = start_deadline(handled, covered, late);
    assert_eq!(deadline, Some(sent.plus_ms(LEADER_SILENT_MS)));
    assert_eq!(start_deadline(handled, covered, sent.plus_ms(LEADER_SILENT_MS)), None);
    assert_eq!(start_deadline(handled, LeasePermission::default(), late), None);
}

/// A leader that may have been replaced starts nothing, and goes on once it is
/// confirmed.
#[test]
fn unconfirmed_start() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.planner.set_confirmed(rig.now, false);
    rig.submit(submission(1, vec![step(2, 500, &[])], rig.now));
    for _ in 0..20 {
        rig.advance(100);
        rig.poll_all();
        assert!(rig.plan().is_empty(), "the leader may have been replaced");
    }
    rig.planner.set_confirmed(rig.now, true);
    assert_eq!(rig.plan().len(), 2);
}

/// A submission that another process may have told a successor starts only once
/// the leader is confirmed after it has learned of it.
#[test]
fn second_hand() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.planner.set_confirmed(rig.now, true);
    rig.advance(100);
    rig.planner.submit(submission(1, vec![step(1, 500, &[])], rig.now), false, rig.now);
    assert!(rig.plan().is_empty(), "a successor may have started it");
    rig.planner.set_confirmed(rig.now.minus_ms(1), true);
    assert!(rig.plan().is_empty(), "asked for before it was heard of");
    rig.planner.set_confirmed(rig.now, true);
    assert_eq!(rig.plan().len(), 1);
}

/// A worker that is silent to a leader that may have been replaced may run its
/// work under a successor.
#[test]
fn unconfirmed_silence() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    rig.submit(submission(1, vec![step(1, 500, &[])], rig.now));
    let starts = rig.plan();
    assert_eq!(starts.len(), 1);
    let (silent, cut_at) = (starts[0].0.clone(), rig.now);
    rig.planner.set_confirmed(cut_at, true);
    rig.advance(1_000);
    let expire_by = rig.now.plus_ms(4_000);
    silence(&mut rig, &silent, expire_by);
    let other = if silent == worker("w0") { worker("w1") } else { worker("w0") };
    for _ in 0..200 {
        rig.advance(100);
        rig.poll(&other, Vec::new());
        assert!(rig.plan().is_empty(), "its leases may have been extended");
        rig.store();
    }
    // Whoever led between may have extended them until just before.
    rig.planner.set_confirmed(expire_by, true);
    assert!(rig.plan().is_empty(), "the leases last a little longer");
    rig.planner.set_confirmed(rig.now, true);
    assert!(rig.plan().is_empty(), "a run that may have crashed its worker is recorded first");
    rig.store();
    let again = rig.plan();
    let started: Vec<&WorkerId> =
        rig.orders.iter().filter(|it| matches!(it.1, Order::Start(_))).map(|it| &it.0).collect();
    assert_eq!(started, [&silent, &other], "{again:?}");
}

/// The leases of earlier leaders have not expired for a leader that may have
/// been replaced, or that half of the processes have not joined.
#[test]
fn earlier_leases() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    let expire_by = START.plus_ms(MAX_ORPHAN_LEASE_MS);
    rig.planner.set_unfenced_leases_expire_by(expire_by.plus_ms(MAX_STORELESS_MS));
    rig.planner.set_confirmed(Timestamp::MAX, true);
    assert!(!rig.planner.are_earlier_leases_expired(expire_by));
    rig.planner.set_unfenced_leases_expire_by(expire_by);
    assert!(rig.planner.are_earlier_leases_expired(expire_by));
    rig.planner.set_confirmed(Timestamp(expire_by.0 - 1), true);
    assert!(!rig.planner.are_earlier_leases_expired(expire_by.plus_ms(60_000)));
    rig.planner.set_confirmed(expire_by, true);
    assert!(rig.planner.are_earlier_leases_expired(expire_by));
}

/// A start does not shorten the wait for the leases that a lost poller may have
/// granted on the same worker.
#[test]
fn start_after_orphan() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    let first = worker("w0");
    rig.submit(submission(1, vec![step(8, 1_000, &[])], rig.now));
    assert_eq!(rig.plan().len(), 8);
    let orphaned_until = rig.now.plus_ms(MAX_ORPHAN_LEASE_MS);
    rig.planner.poller_replaced(&first, silent_poller(), orphaned_until);
    // Otherwise a start would not shorten the wait.
    const { assert!(MAX_START_LEASE_MS < MAX_ORPHAN_LEASE_MS) }
    // Another poller reaches the worker, and the leader starts work there.
    rig.advance(200);
    let task = *rig.workers[&first].running.keys().next().expect("a run");
    rig.end(&first, task, EndKind::Done);
    rig.submit(submission(2, vec![step(1, 1_000, &[])], rig.now));
    let starts = rig.plan();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, first, "the start is on the worker of the lost poller");
    let expire_by = rig.now.plus_ms(100);
    silence(&mut rig, &first, expire_by);
    let second = worker("w1");
    let tasks: Vec<_> = rig.workers[&second].running.keys().copied().collect();
    for task in tasks {
        rig.end(&second, task, EndKind::Done);
    }
    while rig.now < orphaned_until {
        assert!(rig.plan().is_empty(), "the lost poller may have extended leases at {}", rig.now);
        rig.store();
        rig.advance(100);
        rig.poll(&second, Vec::new());
    }
    rig.advance(1_000);
    rig.poll(&second, Vec::new());
    rig.plan();
    rig.store();
    rig.plan();
    assert_eq!(rig.workers[&second].running.len(), 4, "its work starts again elsewhere");
}
