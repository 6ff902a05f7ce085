//! Evictions and moves between workers.
//!
//! Guards against stopping a watcher before capacity is held for it elsewhere,
//! against evictable tasks left on a leaving worker, and against usage that
//! never falls to a lowered cap.

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
use solo_group::{GroupHarness, cores, task};
use worker_double::worker_info;

fn publish_workers(harness: &mut GroupHarness) {
    let infos: Vec<_> = harness.workers.iter().map(|it| it.info.clone()).collect();
    harness.event(GroupEvent::Workers(infos.into()));
}

fn evicted(harness: &GroupHarness, job: u128) -> bool {
    harness.sent.iter().any(|it| {
        matches!(it, GroupToShard::Evicted { task: it, checkpoint }
        if *it == task(job) && checkpoint.is_some())
    })
}

/// Guards against evictable tasks that are lost with a leaving worker, and
/// against new tasks on it.
#[test]
fn leaving_worker_is_drained() {
    let mut harness =
        GroupHarness::new(vec![worker_info("w0", 5, 2), worker_info("w1", 5, 2)], 100);
    harness.run(1, "scan", cores(1));
    harness.run(2, "binding", cores(1));
    harness.workers[0].info.leaving = true;
    harness.sent.clear();
    publish_workers(&mut harness);
    harness.advance(3_000);
    assert!(evicted(&harness, 1), "evictable tasks must be checkpointed and stopped");
    let left: Vec<TaskId> = harness.workers[0].tasks.keys().copied().collect();
    assert_eq!(left, [task(2)], "tasks that are not evictable must stay");
    let worker = harness.run(3, "scan", cores(1));
    assert_eq!(worker.as_str(), "w1", "a leaving worker must get no new tasks");
}

/// Guards against a watcher that is stopped without capacity elsewhere, or
/// whose new capacity is taken by other work before its next attempt.
#[test]
fn watcher_moves_only_to_held_capacity() {
    let mut harness =
        GroupHarness::new(vec![worker_info("w0", 5, 2), worker_info("w1", 5, 2)], 100);
    harness.run(1, "watch", cores(3));
    harness.run(2, "binding", cores(3));
    harness.workers[0].info.leaving = true;
    harness.sent.clear();
    publish_workers(&mut harness);
    harness.advance(10_000);
    assert!(harness.workers[0].tasks.contains_key(&task(1)), "evicted without capacity elsewhere");
    let result = bytes::Bytes::new();
    let done = mustardcove_core::worker::TaskEvent::Succeeded { result };
    harness.workers[1].end(task(2), done);
    harness.advance(4_000);
    assert!(evicted(&harness, 1));
    harness.shard(ShardToGroup::Acknowledge { task: task(1) });
    // The capacity is held until the shard requests it for the next attempt.
    harness.reserve(3, "scan", cores(4));
    harness.sent.clear();
    harness.shard(ShardToGroup::Reserve(ReserveRequest {
        task: TaskId { attempt: AttemptNumber(2), ..task(1) },
        member: "m0".parse().unwrap(),
        class: "watch".parse().unwrap(),
        resources: cores(3),
        expected_run_ms: 0,
        urgent: false,
        avoid_workers: Vec::new(),
        failed_attempts: 0,
        queued_since: harness.now,
    }));
    let reserved = |it: &GroupToShard| matches!(it, GroupToShard::Reserved { worker, .. } if worker.as_str() == "w1");
    assert!(harness.sent.iter().any(reserved), "{:?}", harness.sent);
}

/// Guards against a lowered cap that never takes effect, and against evicting
/// the tasks that lose the most work.
#[test]
fn lower_cap_evicts_latest_evictable_tasks() {
    let mut harness = GroupHarness::new(vec![worker_info("w0", 9, 2)], 6);
    harness.run(1, "binding", cores(2));
    harness.run(2, "scan", cores(2));
    harness.run(3, "scan", cores(2));
    harness.sent.clear();
    harness.event(GroupEvent::Agreement(Arc::new(agreement(2, &[4]))));
    harness.advance(5_000);
    assert!(
        evicted(&harness, 3) && !evicted(&harness, 2),
        "the latest start must be evicted first"
    );
    let record = harness.store.quota(&"m0".parse().unwrap()).unwrap();
    assert_eq!(record.cap, cores(4), "the lower cap is in force");
    assert!(record.allotted().fits_in(record.cap));
}

/// Guards against capacity that is released while a stopped task may still
/// run.
#[test]
fn stopped_task_holds_capacity_until_reported() {
    let mut harness = GroupHarness::new(vec![worker_info("w0", 5, 2)], 100);
    let worker = harness.run(1, "scan", cores(1));
    harness.workers[0].tasks.get_mut(&task(1)).unwrap();
    let mode = mustardcove_core::worker::StopMode::Kill;
    harness.calls.clear();
    harness.shard(ShardToGroup::Stop { task: task(1), worker, mode });
    let stops = harness.calls.iter().filter(|it| matches!(it.1, WorkerOp::Stop { .. }));
    assert_eq!(stops.count(), 1);
    assert_eq!(
        harness.group.dump(1).workers[0].committed,
        cores(1),
        "must be held until the report"
    );
    harness.advance(2_000);
    assert!(harness.group.dump(1).workers[0].committed.is_zero());
}
