//! Outages of the store that last an hour, and a slow store.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{spec, world::World};
use mustardcove_core::{
    message::{ShardRequest, ShardResponse},
    shard::ShardEvent,
    verdict::{RefusalReason, Verdict},
};

const HOUR_MS: u64 = 3600 * 1000;

/// Guards against callers that wait, or get another verdict than `NotRun`, when
/// nothing can be made durable.
#[test]
fn refused_at_once() {
    let mut world = World::ready(1);
    world.store_up = false;
    let first = world.submit(&spec("scan", "order-0", "album"));
    world.run(1000);
    for request in [first, world.submit(&spec("scan", "order-1", "album"))] {
        let refusal = world.refusal(request);
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
        assert!(refusal.retry_at.is_some_and(|it| world.now.minus_ms(1000) < it));
    }
    world.run(HOUR_MS);
    world.store_up = true;
    world.run(6000);
    assert_eq!(world.durable.ledger.len(), 0, "a refused job was accepted later");
    let after = world.submit(&spec("scan", "order-0", "album"));
    world.run(1000);
    assert!(matches!(world.answer(after), ShardResponse::Accepted { .. }));
}

/// Guards against a cancellation that was refused and takes effect later.
#[test]
fn cancel_refused() {
    let mut world = World::ready(2);
    let running = spec("scan", "order-1", "album");
    world.submit(&running);
    world.run(1000);
    world.store_up = false;
    let job = running.id();
    // This cancellation is part of an append that the store refuses.
    let first = world.request(0, ShardRequest::Cancel { job, member: None });
    world.run(100);
    let second = world.request(0, ShardRequest::Cancel { job, member: None });
    for request in [first, second] {
        assert_eq!(world.refusal(request).verdict, Verdict::NotRun);
    }
    world.store_up = true;
    world.run(10_000);
    assert!(world.groups.running_task(job).is_some());
    assert!(world.outcome(job).is_none());
}

/// Guards against ends of attempts that are lost during an outage, and against
/// a burst of appends, one per record, once the store answers again.
#[test]
fn records_merged_after_outage() {
    let mut world = World::ready(3);
    let specs: Vec<_> = (0..40).map(|n| spec("scan", &format!("order-{n}"), "album")).collect();
    specs.iter().for_each(|it| _ = world.submit(it));
    world.run(2000);
    assert_eq!(world.groups.running.len(), 40);
    world.store_up = false;
    for it in &specs {
        world.groups.succeed(world.groups.running_task(it.id()).unwrap());
    }
    world.run(HOUR_MS);
    assert_eq!(world.groups.ended.len(), 40, "acknowledged before durable");
    let segments = world.durable.segments;
    world.store_up = true;
    world.run(6000);
    assert_eq!(world.durable.segments, segments + 1);
    assert_eq!(world.owners[0].shard.job_counts().done, 40);
    assert!(world.groups.ended.is_empty());
}

/// Guards against a shard that calls an unavailable store at its usual rate.
#[test]
fn few_retries() {
    let mut world = World::ready(4);
    (world.store_up, world.outage_verdict) = (false, Verdict::MayHaveRun);
    world.submit(&spec("scan", "order-1", "album"));
    world.run(60_000);
    let calls = world.failed_calls;
    assert!((10..30).contains(&calls), "{calls} calls in a minute");
    world.run(HOUR_MS);
    world.store_up = true;
    let before = world.store.reads + world.store.writes;
    world.run(6000);
    let after = world.store.reads + world.store.writes - before;
    assert!(after < 10, "{after} calls once the store answers again");
    assert_eq!(world.durable.ledger.len(), 1);
}

/// Guards against callers that wait without bound behind an append that the
/// store neither confirms nor refuses.
#[test]
fn slow_store() {
    let mut world = World::ready(5);
    let first = world.submit(&spec("scan", "order-1", "album"));
    let queued = world.submit(&spec("scan", "order-2", "album"));
    let held = std::mem::take(&mut world.owners[0].calls);
    world.now = world.now.plus_ms(1000);
    world.event(0, ShardEvent::Tick);
    assert_eq!(world.refusal(queued).reason, RefusalReason::StoreUnavailable);
    assert_eq!(world.refusal(queued).verdict, Verdict::NotRun);
    assert!(!world.is_answered(first));
    // A repetition of the key belongs to the append that may still be written.
    let again = world.submit(&spec("scan", "order-1", "album"));
    assert!(!world.is_answered(again));
    world.owners[0].calls = held;
    world.run(1000);
    assert!(matches!(world.answer(first), ShardResponse::Accepted { repeated: false, .. }));
    assert!(matches!(world.answer(again), ShardResponse::Accepted { repeated: true, .. }));
}

/// Guards against queries that fail during an outage although the state they
/// ask for is durable.
#[test]
fn queries_during_outage() {
    let mut world = World::ready(6);
    let spec = spec("scan", "order-1", "album");
    world.submit(&spec);
    world.run(1000);
    world.store_up = false;
    world.run(HOUR_MS);
    assert_eq!(world.status(spec.id()).job, spec.id());
    let again = world.submit(&spec);
    assert!(matches!(world.answer(again), ShardResponse::Accepted { repeated: true, .. }));
}
