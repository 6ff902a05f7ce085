//! Reservations: priority of urgent requests, and refusals.
//!
//! Guards against urgent requests that are overtaken by later ones, and
//! against refusals without a retry time.

use mustardcove_core::{
    group::GroupEvent,
    message::{GroupToShard, ReserveRefusal, ShardToGroup},
    size::Resources,
    time::Timestamp,
    worker::WorkerOp,
};

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/solo_group.rs"]
mod solo_group;
#[path = "support/worker_double.rs"]
mod worker_double;

use solo_group::{GroupHarness, cores, task};
use worker_double::worker_info;

fn harness(workers: usize, cores: u64) -> GroupHarness {
    let infos = (0..workers).map(|n| worker_info(&format!("w{n}"), cores, 2)).collect();
    GroupHarness::new(infos, 100)
}

fn refusal(answer: &GroupToShard) -> Option<ReserveRefusal> {
    match answer {
        GroupToShard::ReserveRefused { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Guards against an urgent request that evicts nothing, or that loses the
/// freed capacity to a later request.
#[test]
fn urgent_request_evicts_and_is_not_overtaken() {
    let mut harness = harness(1, 5);
    harness.run(1, "scan", cores(2));
    harness.run(2, "scan", cores(2));
    assert_eq!(
        refusal(&harness.reserve_allotted(3, "rush", cores(2))),
        Some(ReserveRefusal::NoRoom)
    );
    // The group changes a member's allotment at most once a second.
    harness.advance(1_500);
    assert!(harness.sent.iter().any(|it| matches!(it, GroupToShard::Evicted { .. })));
    let later = harness.reserve(4, "scan", cores(2));
    assert!(refusal(&later).is_some(), "the capacity must be kept for the urgent request");
    let urgent = harness.reserve(3, "rush", cores(2));
    assert!(matches!(urgent, GroupToShard::Reserved { .. }), "{urgent:?}");
}

/// Guards against a large urgent request that never finds room because later,
/// smaller ones take what becomes free.
#[test]
fn freed_capacity_is_kept_for_urgent() {
    let mut harness = harness(2, 5);
    let long: Vec<_> = (1..5).map(|job| harness.run(job, "binding", cores(2))).collect();
    assert_eq!(
        refusal(&harness.reserve_allotted(9, "rush", cores(4))),
        Some(ReserveRefusal::NoRoom)
    );
    // The tasks end one by one, and other requests arrive in between.
    for (job, worker) in (1..5).zip(&long) {
        let at = harness.workers.iter().position(|it| it.id() == *worker).unwrap();
        let result = bytes::Bytes::new();
        let event = mustardcove_core::worker::TaskEvent::Succeeded { result };
        harness.workers[at].end(task(job), event);
        harness.advance(1_500);
        harness.shard(ShardToGroup::Acknowledge { task: task(job) });
        if let GroupToShard::Reserved { .. } = harness.reserve(9, "rush", cores(4)) {
            assert!(job <= 3, "the urgent request must get the first worker with enough capacity");
            return;
        }
        harness.reserve(20 + job, "scan", cores(2));
    }
    panic!("the urgent request was overtaken");
}

/// Guards against refusals with a wrong reason or a retry time in the past.
#[test]
fn refusals_carry_reason_and_retry_time() {
    let mut harness = harness(1, 5);
    let oversized = Resources::new(64_000, 1_024, 0);
    let cases = [
        (harness.reserve(1, "scan", oversized), ReserveRefusal::NeverFits),
        (harness.reserve(2, "scan", cores(2)), ReserveRefusal::OverAllotment),
    ];
    for (answer, want) in cases {
        let GroupToShard::ReserveRefused { reason, retry_at, .. } = answer else {
            panic!("granted: {answer:?}")
        };
        assert_eq!(reason, want);
        assert!(harness.now < retry_at);
    }
    harness.run(3, "scan", cores(4));
    assert_eq!(refusal(&harness.reserve(4, "scan", cores(2))), Some(ReserveRefusal::NoRoom));
    harness.event(GroupEvent::ClaimDeadline(harness.now));
    assert!(!harness.group.is_ready());
    assert_eq!(refusal(&harness.reserve(5, "scan", cores(1))), Some(ReserveRefusal::NotReady));
}

/// Guards against capacity that stays reserved without a start, and against a
/// start from an expired reservation.
#[test]
fn reservation_expires_at_its_deadline() {
    let mut harness = harness(1, 5);
    let GroupToShard::Reserved { worker, deadline, .. } =
        harness.reserve_allotted(1, "scan", cores(4))
    else {
        panic!("not reserved")
    };
    let again = harness.reserve(1, "scan", cores(4));
    assert!(matches!(again, GroupToShard::Reserved { deadline: it, .. } if it == deadline));
    harness.advance(deadline.ms_since(harness.now));
    assert!(harness.group.dump(1).workers[0].committed.is_zero());
    harness.sent.clear();
    harness.start(1, &worker, "scan", cores(4));
    let lost = harness.sent.iter().any(|it| matches!(it, GroupToShard::Lost { .. }));
    assert!(lost && harness.workers[0].tasks.is_empty(), "an expired reservation was started");
}

/// Guards against a start after the claim's deadline, when a successor may
/// already place work.
#[test]
fn nothing_starts_after_claim_deadline() {
    let mut harness = harness(1, 5);
    let GroupToShard::Reserved { worker, .. } = harness.reserve_allotted(1, "scan", cores(1))
    else {
        panic!("not reserved")
    };
    harness.event(GroupEvent::ClaimDeadline(harness.now));
    harness.calls.clear();
    harness.sent.clear();
    harness.start(1, &worker, "scan", cores(1));
    let start = |it: &(_, WorkerOp)| matches!(it.1, WorkerOp::Start { .. });
    assert!(!harness.calls.iter().any(start), "a start was sent after the claim's deadline");
    assert!(harness.sent.iter().any(|it| matches!(it, GroupToShard::Lost { .. })));
}

/// Guards against late duplicates of messages that start an ended attempt
/// again.
#[test]
fn ended_attempt_is_not_started_again() {
    let mut harness = harness(1, 5);
    let worker = harness.run(1, "binding", cores(1));
    let result = bytes::Bytes::new();
    let event = mustardcove_core::worker::TaskEvent::Succeeded { result };
    harness.workers[0].end(task(1), event);
    harness.advance(2_000);
    harness.shard(ShardToGroup::Acknowledge { task: task(1) });
    harness.advance(2_000);
    // Late duplicates of the messages that led to the start.
    assert!(refusal(&harness.reserve(1, "binding", cores(1))).is_some());
    harness.start(1, &worker, "binding", cores(1));
    assert_eq!(harness.workers[0].started.len(), 1);
}

/// Guards against a released group that stops its running tasks or keeps
/// running timers.
#[test]
fn release_leaves_running_tasks() {
    let mut harness = harness(1, 5);
    harness.run(1, "scan", cores(1));
    harness.reserve_allotted(2, "scan", cores(1));
    harness.event(GroupEvent::Release);
    assert!(!harness.group.is_ready());
    assert_eq!(harness.group.next_deadline(), None, "a released group must have no deadline");
    let dump = harness.group.dump(10);
    assert_eq!(dump.task_count, 1, "the running task must be left to the next owner");
    assert!(Timestamp(0) < harness.now && !harness.workers[0].tasks.is_empty());
}
