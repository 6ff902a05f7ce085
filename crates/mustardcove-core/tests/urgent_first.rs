//! Reservations: urgent before other work, reasons and times of refusals.
//!
//! Guards against urgent work that is overtaken by work that asked later, and
//! against refusals that do not say when to come back.

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

use solo_group::{Solo, cores, task};
use worker_double::worker_info;

fn solo(workers: usize, cores: u64) -> Solo {
    let infos = (0..workers).map(|n| worker_info(&format!("w{n}"), cores, 2)).collect();
    Solo::new(infos, 100)
}

fn refusal(answer: &GroupToShard) -> Option<ReserveRefusal> {
    match answer {
        GroupToShard::ReserveRefused { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn urgent_displaces_and_is_not_overtaken() {
    let mut solo = solo(1, 5);
    solo.run(1, "scan", cores(2));
    solo.run(2, "scan", cores(2));
    assert_eq!(refusal(&solo.reserve_allotted(3, "rush", cores(2))), Some(ReserveRefusal::NoRoom));
    // At most one call for the member's allotment a second.
    solo.advance(1_500);
    assert!(solo.sent.iter().any(|it| matches!(it, GroupToShard::Evicted { .. })));
    let later = solo.reserve(4, "scan", cores(2));
    assert!(refusal(&later).is_some(), "the place is kept for the urgent request");
    let urgent = solo.reserve(3, "rush", cores(2));
    assert!(matches!(urgent, GroupToShard::Reserved { .. }), "{urgent:?}");
}

#[test]
fn freed_capacity_collects_for_urgent() {
    let mut solo = solo(2, 5);
    let long: Vec<_> = (1..5).map(|job| solo.run(job, "binding", cores(2))).collect();
    assert_eq!(refusal(&solo.reserve_allotted(9, "rush", cores(4))), Some(ReserveRefusal::NoRoom));
    // The tasks end one by one, and other work asks in between.
    for (job, worker) in (1..5).zip(&long) {
        let at = solo.workers.iter().position(|it| it.id() == *worker).unwrap();
        let result = bytes::Bytes::new();
        let event = mustardcove_core::worker::TaskEvent::Succeeded { result };
        solo.workers[at].end(task(job), event);
        solo.advance(1_500);
        solo.shard(ShardToGroup::Acknowledge { task: task(job) });
        if let GroupToShard::Reserved { .. } = solo.reserve(9, "rush", cores(4)) {
            assert!(job <= 3, "the urgent request got the first worker that became free");
            return;
        }
        solo.reserve(20 + job, "scan", cores(2));
    }
    panic!("the urgent request was overtaken");
}

#[test]
fn refusals_carry_reason_and_time() {
    let mut solo = solo(1, 5);
    let far = Resources::new(64_000, 1_024, 0);
    let cases = [
        (solo.reserve(1, "scan", far), ReserveRefusal::NeverFits),
        (solo.reserve(2, "scan", cores(2)), ReserveRefusal::OverAllotment),
    ];
    for (answer, want) in cases {
        let GroupToShard::ReserveRefused { reason, retry_at, .. } = answer else {
            panic!("granted: {answer:?}")
        };
        assert_eq!(reason, want);
        assert!(solo.now < retry_at);
    }
    solo.run(3, "scan", cores(4));
    assert_eq!(refusal(&solo.reserve(4, "scan", cores(2))), Some(ReserveRefusal::NoRoom));
    solo.event(GroupEvent::ClaimDeadline(solo.now));
    assert!(!solo.group.is_ready());
    assert_eq!(refusal(&solo.reserve(5, "scan", cores(1))), Some(ReserveRefusal::NotReady));
}

#[test]
fn reservation_ends_at_its_deadline() {
    let mut solo = solo(1, 5);
    let GroupToShard::Reserved { worker, deadline, .. } =
        solo.reserve_allotted(1, "scan", cores(4))
    else {
        panic!("not reserved")
    };
    let again = solo.reserve(1, "scan", cores(4));
    assert!(matches!(again, GroupToShard::Reserved { deadline: it, .. } if it == deadline));
    solo.advance(deadline.ms_since(solo.now));
    assert!(solo.group.dump(1).workers[0].committed.is_zero());
    solo.sent.clear();
    solo.start(1, &worker, "scan", cores(4));
    let lost = solo.sent.iter().any(|it| matches!(it, GroupToShard::Lost { .. }));
    assert!(lost && solo.workers[0].tasks.is_empty(), "an expired reservation is not started");
}

#[test]
fn nothing_starts_after_the_claim() {
    let mut solo = solo(1, 5);
    let GroupToShard::Reserved { worker, .. } = solo.reserve_allotted(1, "scan", cores(1)) else {
        panic!("not reserved")
    };
    solo.event(GroupEvent::ClaimDeadline(solo.now));
    solo.calls.clear();
    solo.sent.clear();
    solo.start(1, &worker, "scan", cores(1));
    let start = |it: &(_, WorkerOp)| matches!(it.1, WorkerOp::Start { .. });
    assert!(!solo.calls.iter().any(start), "a start was sent after the claim's deadline");
    assert!(solo.sent.iter().any(|it| matches!(it, GroupToShard::Lost { .. })));
}

#[test]
fn start_is_not_repeated_after_its_end() {
    let mut solo = solo(1, 5);
    let worker = solo.run(1, "binding", cores(1));
    let result = bytes::Bytes::new();
    let event = mustardcove_core::worker::TaskEvent::Succeeded { result };
    solo.workers[0].end(task(1), event);
    solo.advance(2_000);
    solo.shard(ShardToGroup::Acknowledge { task: task(1) });
    solo.advance(2_000);
    // Late repetitions of the messages that led to the start.
    assert!(refusal(&solo.reserve(1, "binding", cores(1))).is_some());
    solo.start(1, &worker, "binding", cores(1));
    assert_eq!(solo.workers[0].started.len(), 1);
}

#[test]
fn release_waits_for_starts() {
    let mut solo = solo(1, 5);
    solo.run(1, "scan", cores(1));
    solo.reserve_allotted(2, "scan", cores(1));
    solo.event(GroupEvent::Release);
    assert!(!solo.group.is_ready());
    assert_eq!(solo.group.next_deadline(), None, "nothing is left to do");
    let dump = solo.group.dump(10);
    assert_eq!(dump.task_count, 1, "the running task is left to the successor");
    assert!(Timestamp(0) < solo.now && !solo.workers[0].tasks.is_empty());
}
