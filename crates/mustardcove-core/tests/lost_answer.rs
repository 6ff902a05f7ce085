//! Writes whose answers are lost, and writes that arrive late.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{
    spec,
    world::{SHARD, World},
};
use mustardcove_core::{
    id::SegmentNumber,
    ledger::{log_key, log_prefix},
    message::ShardResponse,
    shard::{ShardConfig, ShardEvent},
    store::{StoreError, StoreOp},
    verdict::{RefusalReason, Verdict},
};

const OUTCOME_UNKNOWN: StoreError = StoreError::Unavailable { verdict: Verdict::MayHaveRun };

/// Removes the oldest call of the first owner and returns it.
fn take_call(world: &mut World) -> (mustardcove_core::id::CallId, StoreOp) {
    world.owners[0].calls.pop_front().expect("a call is in flight")
}

/// Guards against a job that is refused or accepted twice because the answer to
/// the write that accepted it was lost.
#[test]
fn write_took_effect() {
    let mut world = World::ready(1);
    let spec = spec("scan", "order-1", "album");
    let request = world.submit(&spec);
    let (call, op) = take_call(&mut world);
    world.call(&op).unwrap();
    world.event(0, ShardEvent::StoreReply { call, result: Err(OUTCOME_UNKNOWN) });
    assert!(!world.is_answered(request));
    let segments = world.durable.segments;
    world.run(1000);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { repeated: false, .. }));
    assert_eq!(world.durable.accepted[&spec.id()], 1);
    // The binding is the only further segment: nothing was written twice.
    assert_eq!(world.durable.segments, segments + 1);
}

/// Guards against a job that is lost because the write that accepted it never
/// took effect.
#[test]
fn write_was_lost() {
    let mut world = World::ready(2);
    let spec = spec("scan", "order-1", "album");
    let request = world.submit(&spec);
    let (call, _) = take_call(&mut world);
    world.event(0, ShardEvent::StoreReply { call, result: Err(OUTCOME_UNKNOWN) });
    world.run(1000);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { .. }));
}

/// Guards against accepting a job twice when both a write with an unknown
/// outcome and its repetition arrive.
#[test]
fn lost_and_repeated_write() {
    let mut world = World::ready(3);
    let spec = spec("scan", "order-1", "album");
    let request = world.submit(&spec);
    let (call, late) = take_call(&mut world);
    world.event(0, ShardEvent::StoreReply { call, result: Err(OUTCOME_UNKNOWN) });
    world.now = world.now.plus_ms(600);
    world.event(0, ShardEvent::Tick);
    world.answer_call(0);
    world.call(&late).unwrap();
    world.run(1000);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { .. }));
    assert_eq!(world.durable.accepted[&spec.id()], 1);
    assert!(!world.owners[0].fenced);
}

/// Guards against the verdict `NotRun` while a write may still take effect: at
/// the caller's deadline the answer is that the work may have run.
#[test]
fn deadline_while_unknown() {
    let mut world = World::ready(4);
    let mut spec = spec("scan", "order-1", "album");
    spec.deadline = Some(world.now.plus_ms(3000));
    let request = world.submit(&spec);
    let (call, _) = take_call(&mut world);
    (world.store_up, world.outage_verdict) = (false, Verdict::MayHaveRun);
    world.event(0, ShardEvent::StoreReply { call, result: Err(OUTCOME_UNKNOWN) });
    world.run(2900);
    assert!(!world.is_answered(request));
    world.run(200);
    let refusal = world.refusal(request);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert!(refusal.retry_at.is_some_and(|it| world.now < it));
}

/// Guards against an owner that continues after another process has written to
/// the log: its records do not count and its callers are redirected.
#[test]
fn fenced_by_new_owner() {
    let mut world = World::ready(5);
    let spec = spec("scan", "order-1", "album");
    let request = world.submit(&spec);
    let held = std::mem::take(&mut world.owners[0].calls);
    world.add_owner();
    world.run(900);
    assert!(world.owners[1].shard.is_ready());
    world.owners[0].calls = held;
    world.run(1000);
    assert!(world.owners[0].fenced);
    let successor = Some(world.owners[1].process.clone());
    assert_eq!(*world.answer(request), ShardResponse::NotOwner { hint: successor });
    assert!(world.durable.state(spec.id()).is_none());
}

/// Guards against an owner that was paused for so long that the segment at its
/// position was deleted: its late write succeeds but must not count.
#[test]
fn segment_deleted_before_write() {
    let cfg = ShardConfig {
        snapshot_segments: 4,
        snapshot_interval_ms: 500,
        delete_interval_ms: 100,
        ..ShardConfig::default()
    };
    let mut world = World::new(cfg, 6);
    world.add_owner();
    world.run(1000);
    let late = spec("scan", "late", "album");
    let request = world.submit(&late);
    let position = world.durable.tail.next();
    let held = std::mem::take(&mut world.owners[0].calls);
    world.owners[0].alive = false;
    world.add_owner();
    world.run(1000);
    for n in 0..12 {
        world.submit(&spec("scan", &format!("order-{n}"), "album"));
        world.run(2000);
    }
    world.run(700_000);
    let key = log_key(SHARD, position);
    assert_eq!(world.store.value(&key), None, "the segment was not deleted");
    world.owners[0].alive = true;
    world.owners[0].calls = held;
    assert!(world.answer_call(0));
    assert!(world.store.value(&key).is_some(), "the late write did not take effect");
    world.run(1000);
    assert!(world.owners[0].fenced);
    assert_eq!(world.refusal(request).verdict, Verdict::MayHaveRun);
    assert!(world.durable.state(late.id()).is_none());

    // A successor ignores the segment that was written too late.
    world.crash(1);
    let third = world.add_owner();
    world.run(2000);
    assert!(world.owners[third].shard.is_ready());
    assert_eq!(world.durable.ledger.jobs().count(), 12);
    assert!(SegmentNumber(20) < world.durable.tail);
    assert!(world.store.keys(&log_prefix(SHARD)).len() < 15);
}
