//! Repeated use of an idempotency key.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{spec, world::World};
use mustardcove_core::{
    job::{JobState, Outcome},
    message::ShardResponse,
    shard::ShardConfig,
    verdict::{RefusalReason, Verdict},
};

fn is_repeated(answer: &ShardResponse) -> bool {
    matches!(answer, ShardResponse::Accepted { repeated: true, .. })
}

/// Guards against a second job, such as an album that is bound twice, for a
/// request that arrives before the first one is durable.
#[test]
fn before_durable() {
    let mut world = World::ready(1);
    let spec = spec("binding-run", "order-1", "album");
    let first = world.submit(&spec);
    let second = world.submit(&spec);
    assert!(!world.is_answered(second), "answered before the job was durable");
    world.run(1000);
    assert!(!is_repeated(world.answer(first)));
    assert!(is_repeated(world.answer(second)));
    assert_eq!(world.durable.accepted[&spec.id()], 1);
}

/// Guards against a caller that receives the answer to another body.
#[test]
fn other_body() {
    let mut world = World::ready(2);
    let first = world.submit(&spec("binding-run", "order-1", "album"));
    let early = world.submit(&spec("binding-run", "order-1", "other album"));
    world.run(1000);
    let late = world.submit(&spec("scan", "order-1", "album"));
    assert!(matches!(world.answer(first), ShardResponse::Accepted { .. }));
    for request in [early, late] {
        assert_eq!(world.refusal(request).reason, RefusalReason::KeyReused);
        assert_eq!(world.refusal(request).verdict, Verdict::NotRun);
    }
}

/// Guards against a changed result, or work that is done again, when the caller
/// repeats its request after the job has ended and the shard has a new owner.
#[test]
fn after_end() {
    let mut world = World::ready(3);
    let spec = spec("binding-run", "order-1", "album");
    world.submit(&spec);
    world.run(1000);
    world.groups.succeed(world.groups.running_task(spec.id()).unwrap());
    world.run(1000);
    world.crash(0);
    world.add_owner();
    world.run(1000);
    let again = world.submit(&spec);
    world.run(1000);
    let ShardResponse::Accepted { status, repeated: true } = world.answer(again) else {
        panic!("not repeated")
    };
    let JobState::Done { outcome, .. } = &status.state else { panic!("not done") };
    assert_eq!(*outcome, Outcome::Succeeded { result: b"result".to_vec().into() });
    assert_eq!(world.groups.running_task(spec.id()), None);
}

/// Guards against outcomes that a full shard forgets early, and against keys
/// that stay in use after their retention period.
#[test]
fn retention() {
    let cfg = ShardConfig { max_finished_jobs: 2, retention_ms: 60_000, ..ShardConfig::default() };
    let mut world = World::new(cfg, 4);
    world.add_owner();
    world.run(1000);
    for n in 0..2 {
        let spec = spec("scan", &format!("order-{n}"), "album");
        world.submit(&spec);
        world.run(1000);
        world.groups.succeed(world.groups.running_task(spec.id()).unwrap());
        world.run(1000);
    }
    let full = world.submit(&spec("scan", "order-2", "album"));
    assert_eq!(world.refusal(full).reason, RefusalReason::Overloaded);
    assert_eq!(world.refusal(full).verdict, Verdict::NotRun);
    let again = world.submit(&spec("scan", "order-0", "album"));
    assert!(is_repeated(world.answer(again)));
    world.run(60_000);
    assert_eq!(world.owners[0].shard.job_counts().done, 0);
    let later = world.submit(&spec("scan", "order-2", "album"));
    world.run(1000);
    assert!(matches!(world.answer(later), ShardResponse::Accepted { repeated: false, .. }));
}
