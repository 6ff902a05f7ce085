//! Recovery, handover, snapshots and the deletion of old segments.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{
    group, spec,
    world::{SHARD, World},
};
use mustardcove_core::{
    ledger::{log_key, log_prefix, snapshot_prefix},
    message::{ShardRequest, ShardResponse, ShardToGroup},
    shard::{ShardConfig, ShardEvent},
    store::StoreOp,
};

fn world_with_jobs(cfg: ShardConfig, jobs: usize) -> World {
    let mut world = World::new(cfg, 1);
    world.add_owner();
    world.run(1000);
    for n in 0..jobs {
        world.submit(&spec("scan", &format!("order-{n}"), &"album ".repeat(1000)));
        world.run(600);
    }
    world
}

fn small_limits() -> ShardConfig {
    ShardConfig { snapshot_segments: 8, snapshot_interval_ms: 500, ..ShardConfig::default() }
}

/// Guards against a successor that misses jobs, reads the whole history, or
/// reads so fast that several recovering shards overload the store.
#[test]
fn reads_snapshot() {
    let mut world = world_with_jobs(small_limits(), 60);
    world.run(60_000);
    assert!(world.store.keys(&snapshot_prefix(SHARD)).len() == 1);
    let expected = world.durable.ledger.clone();
    let reads = world.store.reads;
    world.crash(0);
    let n = world.add_owner();
    let from = world.now;
    while !world.owners[n].shard.is_ready() {
        world.run(10);
    }
    let (calls, took) = (world.store.reads - reads, world.now.ms_since(from));
    assert!(calls <= 3, "{calls} reads");
    assert!((calls - 1) * 25 <= took, "{calls} reads in {took} ms");
    assert!(took < 1000, "took {took} ms");
    assert_eq!(world.durable.ledger.len(), expected.len());
    assert_eq!(world.owners[n].shard.job_counts().bound, 60);
}

/// Guards against a log that grows without bound, against bursts of deletions,
/// and against segments that are deleted so early that a late write could
/// create them again.
#[test]
fn deletes_old() {
    let mut world = world_with_jobs(small_limits(), 60);
    let before = world.store.keys(&log_prefix(SHARD)).len();
    assert!(100 < before);
    world.run(540_000);
    assert!(before <= world.store.keys(&log_prefix(SHARD)).len(), "deleted too early");
    world.run(50_000);
    let writes = world.store.writes;
    world.run(30_000);
    assert!(world.store.writes - writes <= 31, "more than one deletion a second");
    world.run(300_000);
    let left = world.store.keys(&log_prefix(SHARD)).len();
    assert!(left <= 12, "{left} segments are left");
}

/// Guards against a successor that serves although part of the history is
/// missing.
#[test]
fn gap_in_log() {
    let mut world = world_with_jobs(ShardConfig::default(), 3);
    world.crash(0);
    let key = log_key(SHARD, mustardcove_core::id::SegmentNumber(3));
    let expect = mustardcove_core::store::Expect::Any;
    let value = world.store.value(&key).unwrap();
    world.store.call(&StoreOp::Delete { key: key.clone(), expect }).unwrap();
    let n = world.add_owner();
    world.run(20_000);
    assert!(!world.owners[n].shard.is_ready());
    let dump = world.owners[n].shard.dump(10);
    assert!(0 < dump.recovery_restarts);
    assert!(dump.log.last_error.contains("segment 3 is missing"), "{}", dump.log.last_error);
    let body = ShardRequest::Submit { spec: spec("scan", "order-0", "album") };
    let request = world.request(n, body);
    assert!(matches!(world.answer(request), ShardResponse::NotOwner { .. }));
    let put = StoreOp::Put { key, value, expect, lease: None };
    world.store.call(&put).unwrap();
    world.run(10_000);
    assert!(world.owners[n].shard.is_ready());
}

/// Guards against a handover that loses queued records, or after which the old
/// owner still answers.
#[test]
fn handover() {
    let mut world = World::ready(2);
    let order = spec("scan", "order-1", "album");
    let first = world.submit(&order);
    let to: mustardcove_core::id::ProcessId = "sched-1".parse().unwrap();
    world.event(0, ShardEvent::HandOver { to: to.clone() });
    let body = ShardRequest::Submit { spec: spec("scan", "order-2", "album") };
    let second = world.request(0, body);
    assert_eq!(*world.answer(second), ShardResponse::NotOwner { hint: Some(to.clone()) });
    world.run(600);
    assert!(world.owners[0].handed_over);
    assert!(matches!(world.answer(first), ShardResponse::Accepted { .. }));
    let n = world.add_owner();
    world.run(1000);
    assert!(world.owners[n].shard.is_ready());
    assert!(world.groups.running_task(order.id()).is_some());
}

/// Guards against a group that does not receive the list of its bound attempts,
/// or receives it before ownership is proven, when the shard or the group has
/// a new owner.
#[test]
fn reconciles() {
    let mut world = world_with_jobs(ShardConfig::default(), 4);
    let listed = |world: &World| -> usize {
        let bound = world.to_groups.iter().map(|(_, body)| match body {
            ShardToGroup::Reconcile { bound } => bound.len(),
            _ => 0,
        });
        bound.sum()
    };
    world.crash(0);
    let n = world.add_owner();
    while !world.owners[n].shard.is_ready() {
        world.now = world.now.plus_ms(10);
        world.event(n, ShardEvent::Tick);
        world.answer_call(n);
    }
    assert_eq!(listed(&world), 4);
    world.run(1000);
    for it in 0..2 {
        world.groups.take_over(&group(it));
        world.deliver_to_shard(n);
    }
    assert_eq!(listed(&world), 0, "listed before an append proved ownership");
    // The first group's request begins an append at once; the second one waits
    // for the next append.
    assert!(world.answer_call(n));
    world.now = world.now.plus_ms(250);
    world.event(n, ShardEvent::Tick);
    assert!(world.answer_call(n));
    assert_eq!(listed(&world), 4);
}

/// Guards against an attempt that a group's new owner starts again because it
/// is listed while its end is not durable yet.
#[test]
fn ended_not_listed() {
    let mut world = world_with_jobs(ShardConfig::default(), 1);
    let task = *world.groups.running.keys().next().unwrap();
    let from = world.groups.running[&task].0.clone();
    world.groups.take_over(&from);
    world.deliver_to_shard(0);
    assert_eq!(world.owners[0].calls.len(), 1, "an append proves ownership");
    world.groups.evict(task, 100);
    world.deliver_to_shard(0);
    world.answer_call(0);
    let lists: Vec<_> = world.to_groups.iter().filter(|(to, _)| *to == from).collect();
    let is_empty =
        |body: &ShardToGroup| matches!(body, ShardToGroup::Reconcile { bound } if bound.is_empty());
    assert!(lists.iter().any(|(_, body)| is_empty(body)), "{lists:?}");
}

/// Reports whether the first owner's next call writes the second part of a
/// snapshot other than its first snapshot.
fn writes_second_part(world: &World) -> bool {
    let Some((_, StoreOp::Put { key, .. })) = world.owners[0].calls.front() else { return false };
    let is_later = 2 <= world.store.keys(&snapshot_prefix(SHARD)).len();
    key.starts_with(&snapshot_prefix(SHARD)) && key.ends_with("/0001") && is_later
}

/// Guards against the loss of all snapshots between two owners: the old owner
/// completes a snapshot and deletes the previous one, while the new owner
/// deletes the parts of the unfinished snapshot that it found.
#[test]
fn unfinished_snapshot_of_old_owner() {
    // Old segments are deleted early, so that only the snapshots hold the
    // history.
    let (delete_after_ms, delete_interval_ms, verify_after_ms) = (2000, 20, 100);
    let cfg =
        ShardConfig { delete_after_ms, delete_interval_ms, verify_after_ms, ..small_limits() };
    let mut world = World::new(cfg, 1);
    world.add_owner();
    world.run(1000);
    let mut jobs = 0;
    let body = "x".repeat(60 << 10);
    let step = |world: &mut World| {
        while world.answer_call(0) {
            if writes_second_part(world) {
                return;
            }
        }
        while world.deliver_to_groups() {}
        while world.deliver_to_shard(0) {}
        world.now = world.now.plus_ms(250);
        world.event(0, ShardEvent::Tick);
    };
    while !writes_second_part(&world) {
        if jobs < 60 {
            world.submit(&spec("scan", &format!("order-{jobs}"), &body));
            jobs += 1;
        }
        step(&mut world);
    }
    // The write of the part is delayed until the successor has read the
    // snapshots.
    let held = world.owners[0].calls.pop_front().unwrap();
    for _ in 0..8 {
        step(&mut world);
    }
    assert!(world.owners[0].calls.is_empty());
    world.owners[0].alive = false;
    (world.cfg.snapshot_segments, world.cfg.snapshot_bytes) = (u64::MAX, usize::MAX);
    world.add_owner();
    world.run(1000);
    assert!(world.owners[1].shard.is_ready());
    let old: Vec<_> = world.store.keys(&snapshot_prefix(SHARD));
    world.owners[0].alive = true;
    world.owners[0].calls.push_back(held);
    world.answer_call(0);
    world.run(5000);
    assert!(old.iter().any(|it| world.store.value(it).is_none()), "nothing was deleted");
    assert_eq!(world.store.value(&log_key(SHARD, mustardcove_core::id::SegmentNumber(1))), None);
    world.crash(0);
    world.crash(1);
    let n = world.add_owner();
    world.run(5000);
    assert!(world.owners[n].shard.is_ready());
    assert_eq!(world.owners[n].shard.job_counts().bound, world.durable.ledger.len());
}

/// Guards against an old owner that ignores the end of an attempt that its
/// successor bound, or acknowledges it, instead of checking its ownership.
#[test]
fn attempt_of_successor() {
    let mut world = world_with_jobs(ShardConfig::default(), 1);
    let first = *world.groups.running.keys().next().unwrap();
    world.owners[0].alive = false;
    world.add_owner();
    world.run(1000);
    world.groups.lose(first);
    world.run(1000);
    let second = *world.groups.running.keys().next().unwrap();
    assert_ne!(first, second);
    world.groups.succeed(second);
    world.owners[0].alive = true;
    world.deliver_to_shard(0);
    assert!(world.answer_call(0), "no call was made to check ownership");
    assert!(world.owners[0].fenced);
    world.run(1500);
    assert!(world.durable.ended.contains(&second));
    assert!(world.groups.ended.is_empty());
}

/// Guards against an old owner that keeps answering because it has nothing to
/// append and so never learns that it was replaced.
#[test]
fn idle_owner_fenced() {
    let mut world = world_with_jobs(ShardConfig::default(), 1);
    world.add_owner();
    world.run(11_000);
    assert!(world.owners[0].fenced);
    assert!(world.owners[1].shard.is_ready());
}
