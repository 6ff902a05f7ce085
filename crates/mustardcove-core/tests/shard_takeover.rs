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

fn busy(cfg: ShardConfig, jobs: usize) -> World {
    let mut world = World::new(cfg, 1);
    world.add_owner();
    world.run(1000);
    for n in 0..jobs {
        world.submit(&spec("scan", &format!("order-{n}"), &"album ".repeat(1000)));
        world.run(600);
    }
    world
}

fn small() -> ShardConfig {
    ShardConfig { snapshot_segments: 8, snapshot_interval_ms: 500, ..ShardConfig::default() }
}

/// Guards against a successor that misses jobs, reads the whole history, or
/// reads so fast that all successors together overload the store.
#[test]
fn reads_snapshot() {
    let mut world = busy(small(), 60);
    world.run(60_000);
    assert!(world.store.keys(&snapshot_prefix(SHARD)).len() == 1);
    let expected = world.truth.ledger.clone();
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
    assert_eq!(world.truth.ledger.len(), expected.len());
    assert_eq!(world.owners[n].shard.job_counts().bound, 60);
}

/// Guards against a log that grows for ever, against deletions in bursts, and
/// against segments that go so early that a late write could take their place.
#[test]
fn deletes_old() {
    let mut world = busy(small(), 60);
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
    let mut world = busy(ShardConfig::default(), 3);
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

/// Guards against a planned stop that loses what was queued, or after which the
/// old owner still answers.
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
    assert!(world.fleet.running_task(order.id()).is_some());
}

/// Guards against a group that is told nothing, or too early, about what is
/// bound in it when either side has a new owner.
#[test]
fn reconciles() {
    let mut world = busy(ShardConfig::default(), 4);
    let listed = |world: &World| -> usize {
        let bound = world.to_fleet.iter().map(|(_, body)| match body {
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
        world.fleet.take_over(&group(it));
        world.deliver_to_shard(n);
    }
    assert_eq!(listed(&world), 0, "listed before an append proved the ownership");
    // The first request began an append at once; the second waits for the next.
    assert!(world.answer_call(n));
    world.now = world.now.plus_ms(250);
    world.event(n, ShardEvent::Tick);
    assert!(world.answer_call(n));
    assert_eq!(listed(&world), 4);
}

/// Guards against an attempt that is started again by a group's new owner
/// because it is listed while its end waits to be durable.
#[test]
fn ended_not_listed() {
    let mut world = busy(ShardConfig::default(), 1);
    let task = *world.fleet.running.keys().next().unwrap();
    let from = world.fleet.running[&task].0.clone();
    world.fleet.take_over(&from);
    world.deliver_to_shard(0);
    assert_eq!(world.owners[0].calls.len(), 1, "an append proves the ownership");
    world.fleet.evict(task, 100);
    world.deliver_to_shard(0);
    world.answer_call(0);
    let lists: Vec<_> = world.to_fleet.iter().filter(|(to, _)| *to == from).collect();
    let is_empty =
        |body: &ShardToGroup| matches!(body, ShardToGroup::Reconcile { bound } if bound.is_empty());
    assert!(lists.iter().any(|(_, body)| is_empty(body)), "{lists:?}");
}

/// Returns whether the owner's next call writes the second part of a snapshot
/// that is not its first.
fn writes_second_part(world: &World) -> bool {
    let Some((_, StoreOp::Put { key, .. })) = world.owners[0].calls.front() else { return false };
    let is_later = 2 <= world.store.keys(&snapshot_prefix(SHARD)).len();
    key.starts_with(&snapshot_prefix(SHARD)) && key.ends_with("/0001") && is_later
}

/// Guards against a history that is lost between two owners: the old one
/// completes a snapshot and deletes the one before, while the new one deletes
/// the parts that it saw of the unfinished snapshot.
#[test]
fn snapshot_in_two_hands() {
    // Old segments go soon, so that nothing but the snapshots has the history.
    let (delete_after_ms, delete_interval_ms, verify_after_ms) = (2000, 20, 100);
    let cfg = ShardConfig { delete_after_ms, delete_interval_ms, verify_after_ms, ..small() };
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
        while world.deliver_to_fleet() {}
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
    // The part stays on its way until the successor has read the snapshots.
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
    assert_eq!(world.owners[n].shard.job_counts().bound, world.truth.ledger.len());
}

/// Guards against an old owner that takes no notice of an attempt that it
/// never bound, or acknowledges its end.
#[test]
fn attempt_of_successor() {
    let mut world = busy(ShardConfig::default(), 1);
    let first = *world.fleet.running.keys().next().unwrap();
    world.owners[0].alive = false;
    world.add_owner();
    world.run(1000);
    world.fleet.lose(first);
    world.run(1000);
    let second = *world.fleet.running.keys().next().unwrap();
    assert_ne!(first, second);
    world.fleet.succeed(second);
    world.owners[0].alive = true;
    world.deliver_to_shard(0);
    assert!(world.answer_call(0), "no call was made to check the ownership");
    assert!(world.owners[0].fenced);
    world.run(1500);
    assert!(world.truth.over.contains(&second));
    assert!(world.fleet.ended.is_empty());
}

/// Guards against an old owner that goes on answering because it has nothing
/// to append.
#[test]
fn idle_owner_notices() {
    let mut world = busy(ShardConfig::default(), 1);
    world.add_owner();
    world.run(11_000);
    assert!(world.owners[0].fenced);
    assert!(world.owners[1].shard.is_ready());
}
