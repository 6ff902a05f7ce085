//! Evictions and moves.
//!
//! Guards against a watcher that is stopped without a place to go, against
//! work left on a worker that leaves, and against a lower cap that is never
//! reached.

use std::sync::Arc;

use mustardcove_core::{
    group::GroupEvent,
    id::{AttemptNumber, TaskId},
    message::{GroupToShard, ReserveRequest, ShardToGroup},
    worker::WorkerOp,
};

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/solo_group.rs"]
mod solo_group;
#[path = "support/worker_double.rs"]
mod worker_double;

use group_doubles::agreement;
use solo_group::{Solo, cores, task};
use worker_double::worker_info;

fn publish(solo: &mut Solo) {
    let infos: Vec<_> = solo.workers.iter().map(|it| it.info.clone()).collect();
    solo.event(GroupEvent::Workers(infos.into()));
}

fn evicted(solo: &Solo, job: u128) -> bool {
    solo.sent.iter().any(|it| {
        matches!(it, GroupToShard::Evicted { task: it, checkpoint }
        if *it == task(job) && checkpoint.is_some())
    })
}

#[test]
fn leaving_worker_is_emptied() {
    let mut solo = Solo::new(vec![worker_info("w0", 5, 2), worker_info("w1", 5, 2)], 100);
    solo.run(1, "scan", cores(1));
    solo.run(2, "binding", cores(1));
    solo.workers[0].info.leaving = true;
    solo.sent.clear();
    publish(&mut solo);
    solo.advance(3_000);
    assert!(evicted(&solo, 1), "evictable work is checkpointed and moved");
    let left: Vec<TaskId> = solo.workers[0].tasks.keys().copied().collect();
    assert_eq!(left, [task(2)], "work that is never evicted stays");
    let worker = solo.run(3, "scan", cores(1));
    assert_eq!(worker.as_str(), "w1", "a leaving worker gets nothing new");
}

#[test]
fn watcher_moves_only_to_a_reserved_place() {
    let mut solo = Solo::new(vec![worker_info("w0", 5, 2), worker_info("w1", 5, 2)], 100);
    solo.run(1, "watch", cores(3));
    solo.run(2, "binding", cores(3));
    solo.workers[0].info.leaving = true;
    solo.sent.clear();
    publish(&mut solo);
    solo.advance(10_000);
    assert!(solo.workers[0].tasks.contains_key(&task(1)), "no place elsewhere, no eviction");
    let result = bytes::Bytes::new();
    let done = mustardcove_core::worker::TaskEvent::Succeeded { result };
    solo.workers[1].end(task(2), done);
    solo.advance(4_000);
    assert!(evicted(&solo, 1));
    solo.shard(ShardToGroup::Acknowledge { task: task(1) });
    // The place is kept until its shard asks for the next attempt.
    solo.reserve(3, "scan", cores(4));
    solo.sent.clear();
    solo.shard(ShardToGroup::Reserve(ReserveRequest {
        task: TaskId { attempt: AttemptNumber(2), ..task(1) },
        member: "m0".parse().unwrap(),
        class: "watch".parse().unwrap(),
        resources: cores(3),
        expected_run_ms: 0,
        urgent: false,
        avoid: Vec::new(),
        failed_attempts: 0,
        queued_since: solo.now,
    }));
    let reserved = |it: &GroupToShard| matches!(it, GroupToShard::Reserved { worker, .. } if worker.as_str() == "w1");
    assert!(solo.sent.iter().any(reserved), "{:?}", solo.sent);
}

#[test]
fn lower_cap_evicts_what_may_go() {
    let mut solo = Solo::new(vec![worker_info("w0", 9, 2)], 6);
    solo.run(1, "binding", cores(2));
    solo.run(2, "scan", cores(2));
    solo.run(3, "scan", cores(2));
    solo.sent.clear();
    solo.event(GroupEvent::Agreement(Arc::new(agreement(2, &[4]))));
    solo.advance(5_000);
    assert!(evicted(&solo, 3) && !evicted(&solo, 2), "the latest start goes first");
    let record = solo.store.quota(&"m0".parse().unwrap()).unwrap();
    assert_eq!(record.cap, cores(4), "the lower cap is in force");
    assert!(record.allotted().fits_in(record.cap));
}

#[test]
fn stop_is_repeated_until_the_worker_says_so() {
    let mut solo = Solo::new(vec![worker_info("w0", 5, 2)], 100);
    let worker = solo.run(1, "scan", cores(1));
    solo.workers[0].tasks.get_mut(&task(1)).unwrap();
    let mode = mustardcove_core::worker::StopMode::Kill;
    solo.calls.clear();
    solo.shard(ShardToGroup::Stop { task: task(1), worker, mode });
    let stops = solo.calls.iter().filter(|it| matches!(it.1, WorkerOp::Stop { .. }));
    assert_eq!(stops.count(), 1);
    assert_eq!(solo.group.dump(1).workers[0].committed, cores(1), "held until the report");
    solo.advance(2_000);
    assert!(solo.group.dump(1).workers[0].committed.is_zero());
}
