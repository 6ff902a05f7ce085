//! Writes whose answers are lost, and writers that come too late.

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

const UNKNOWN: StoreError = StoreError::Unavailable { verdict: Verdict::MayHaveRun };

/// Takes the oldest call of the first owner.
fn take_call(world: &mut World) -> (mustardcove_core::id::CallId, StoreOp) {
    world.owners[0].calls.pop_front().expect("a call is under way")
}

/// Guards against a job that is refused, or accepted twice, because the answer
/// to the write that accepted it was lost.
#[test]
fn write_took_effect() {
    let mut world = World::ready(1);
    let spec = spec("scan", "order-1", "album");
    let request = world.submit(&spec);
    let (call, op) = take_call(&mut world);
    world.call(&op).unwrap();
    world.event(0, ShardEvent::StoreReply { call, result: Err(UNKNOWN) });
    assert!(!world.is_answered(request));
    let segments = world.truth.segments;
    world.run(1000);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { repeated: false, .. }));
    assert_eq!(world.truth.accepted[&spec.id()], 1);
    // The binding is the only further segment: nothing was written twice.
    assert_eq!(world.truth.segments, segments + 1);
}

/// Guards against a job that is forgotten because the write that accepted it
/// never arrived.
#[test]
fn write_was_lost() {
    let mut world = World::ready(2);
    let spec = spec("scan", "order-1", "album");
    let request = world.submit(&spec);
    let (call, _) = take_call(&mut world);
    world.event(0, ShardEvent::StoreReply { call, result: Err(UNKNOWN) });
    world.run(1000);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { .. }));
}

/// Guards against a second effect when both the lost write and the one that
/// repeats it arrive.
#[test]
fn both_arrive() {
    let mut world = World::ready(3);
    let spec = spec("scan", "order-1", "album");
    let request = world.submit(&spec);
    let (call, late) = take_call(&mut world);
    world.event(0, ShardEvent::StoreReply { call, result: Err(UNKNOWN) });
    world.now = world.now.plus_ms(600);
    world.event(0, ShardEvent::Tick);
    world.answer_call(0);
    world.call(&late).unwrap();
    world.run(1000);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { .. }));
    assert_eq!(world.truth.accepted[&spec.id()], 1);
    assert!(!world.owners[0].fenced);
}

/// Guards against "not run" while a write may still take effect: the answer is
/// that the work may have run, at the caller's own deadline.
#[test]
fn deadline_while_unknown() {
    let mut world = World::ready(4);
    let mut spec = spec("scan", "order-1", "album");
    spec.deadline = Some(world.now.plus_ms(3000));
    let request = world.submit(&spec);
    let (call, _) = take_call(&mut world);
    (world.up, world.away) = (false, Verdict::MayHaveRun);
    world.event(0, ShardEvent::StoreReply { call, result: Err(UNKNOWN) });
    world.run(2900);
    assert!(!world.is_answered(request));
    world.run(200);
    let refusal = world.refusal(request);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert!(refusal.retry_at.is_some_and(|it| world.now < it));
}

/// Guards against an owner that goes on after another one has written: its
/// records are void and its callers are sent to the new owner.
#[test]
fn fenced_by_rival() {
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
    assert!(world.truth.state(spec.id()).is_none());
}

/// Guards against an owner that was away for so long that the segment at its
/// position was deleted: creating it again succeeds but must not count.
#[test]
fn deleted_position() {
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
    let position = world.truth.tail.next();
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
    assert!(world.truth.state(late.id()).is_none());

    // The segment that was written too late does not mislead a successor.
    world.crash(1);
    let third = world.add_owner();
    world.run(2000);
    assert!(world.owners[third].shard.is_ready());
    assert_eq!(world.truth.ledger.jobs().count(), 12);
    assert!(SegmentNumber(20) < world.truth.tail);
    assert!(world.store.keys(&log_prefix(SHARD)).len() < 15);
}
