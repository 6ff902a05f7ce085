//! Evicted or lost work resumes exactly once, from the newest checkpoint.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{group, spec, world::World};
use mustardcove_core::{
    id::TaskId,
    job::{Checkpoint, EndEvidence, JobSpec, Outcome},
    message::{GroupToShard, ShardRequest, ShardToGroup},
    shard::ShardEvent,
    verdict::{Refusal, RefusalReason, Verdict},
    worker::StopMode,
};

fn started(world: &mut World, class: &str) -> (JobSpec, TaskId) {
    let spec = spec(class, "order-1", "album");
    world.submit(&spec);
    world.run(1000);
    let task = world.groups.running_task(spec.id()).expect("the job runs");
    (spec, task)
}

fn checkpoint(progress_permille: u16) -> Checkpoint {
    Checkpoint { token: format!("at-{progress_permille}"), progress_permille }
}

/// Guards against work that restarts from the beginning, or twice, after an
/// eviction that is reported repeatedly and late.
#[test]
fn eviction_repeated() {
    let mut world = World::ready(1);
    let (spec, first) = started(&mut world, "watcher");
    world.groups.evict(first, 400);
    let report = world.groups.outbox.back().unwrap().clone();
    world.run(1000);
    let second = world.groups.running_task(spec.id()).expect("the job resumed");
    assert_eq!(second.attempt, first.attempt.next());
    assert_eq!(world.groups.resumed[&second], Some(checkpoint(400)));
    let acknowledged = world.groups.acknowledged;
    for _ in 0..3 {
        let (from, body) = report.clone();
        world.event(0, ShardEvent::FromGroup { from, body });
    }
    world.run(1000);
    assert_eq!(world.groups.running_task(spec.id()), Some(second));
    assert_eq!(world.groups.acknowledged, acknowledged + 3);
}

/// Guards against progress that is lost with a worker, and against an older
/// checkpoint that arrives late and replaces a newer one.
#[test]
fn newest_checkpoint() {
    let mut world = World::ready(2);
    let (spec, first) = started(&mut world, "scan");
    let from = world.groups.running[&first].0.clone();
    for progress in [300, 600, 500] {
        let body = GroupToShard::Checkpointed { task: first, checkpoint: checkpoint(progress) };
        world.event(0, ShardEvent::FromGroup { from: from.clone(), body });
    }
    world.run(1000);
    world.crash(0);
    world.add_owner();
    world.run(1000);
    world.groups.lose(first);
    world.run(1000);
    let second = world.groups.running_task(spec.id()).expect("the job resumed");
    assert_eq!(world.groups.resumed[&second], Some(checkpoint(600)));
}

/// Guards against starting at-most-once work again while its worker is only
/// unreachable.
#[test]
fn expired_lease_not_enough() {
    let mut world = World::ready(3);
    let (spec, task) = started(&mut world, "binding-run");
    let from = world.groups.running[&task].0.clone();
    let lost = |evidence| GroupToShard::Lost { task, evidence };
    let body = lost(EndEvidence::LeaseExpired);
    world.event(0, ShardEvent::FromGroup { from: from.clone(), body });
    world.run(2000);
    assert!(!world.durable.ended.contains(&task));
    world.groups.running.clear();
    world.event(0, ShardEvent::FromGroup { from, body: lost(EndEvidence::InstanceGone) });
    world.run(1000);
    assert!(world.durable.ended.contains(&task));
    assert!(world.groups.running_task(spec.id()).is_some());
}

/// Guards against an attempt that is started a second time after the owners of
/// its group and of its shard have both changed.
#[test]
fn both_owners_change() {
    let mut world = World::ready(4);
    let (spec, first) = started(&mut world, "watcher");
    for n in 0..2 {
        world.groups.take_over(&group(n));
    }
    world.crash(0);
    world.add_owner();
    world.run(5000);
    assert_eq!(world.groups.running_task(spec.id()), Some(first));
    world.groups.lose(first);
    world.run(1000);
    let second = world.groups.running_task(spec.id()).expect("the job resumed");
    assert_eq!(second.attempt, first.attempt.next());
}

/// Guards against tasks that keep running although no shard knows them, and
/// against stopping a task that a newer owner of the shard may have started.
#[test]
fn unclaimed_task() {
    let mut world = World::ready(7);
    let (spec, first) = started(&mut world, "scan");
    let (from, worker) = world.groups.running[&first].clone();
    world.groups.evict(first, 100);
    world.run(1000);
    let unknown = |world: &mut World, task| {
        let body = GroupToShard::Unclaimed { task, worker: worker.clone() };
        world.event(0, ShardEvent::FromGroup { from: from.clone(), body });
    };
    let is_stop = |body: &ShardToGroup, it: TaskId| matches!(body, ShardToGroup::Stop { task, mode: StopMode::Kill, .. } if *task == it);
    unknown(&mut world, first);
    assert!(world.to_groups.iter().any(|(_, body)| is_stop(body, first)));
    assert!(world.groups.running_task(spec.id()).is_some());

    let unknown_job = TaskId { job: doubles::spec("scan", "order-9", "album").id(), ..first };
    unknown(&mut world, unknown_job);
    assert!(!world.to_groups.iter().any(|(_, body)| is_stop(body, unknown_job)));
    for _ in 0..20 {
        world.now = world.now.plus_ms(250);
        world.event(0, ShardEvent::Tick);
    }
    assert!(!world.to_groups.iter().any(|(_, body)| is_stop(body, unknown_job)));
    while world.answer_call(0) {}
    assert!(world.to_groups.iter().any(|(_, body)| is_stop(body, unknown_job)));
}

/// Guards against a log that is blocked for good because a worker's text makes a
/// segment larger than the store accepts.
#[test]
fn oversized_worker_texts() {
    let mut world = World::ready(6);
    let (spec, first) = started(&mut world, "scan");
    let token = "x".repeat(2 << 20);
    let checkpoint = Some(Checkpoint { token, progress_permille: 500 });
    world.groups.end(first, GroupToShard::Evicted { task: first, checkpoint });
    world.run(2000);
    let second = world.groups.running_task(spec.id()).expect("the job resumed");
    let detail = "y".repeat(2 << 20);
    let (verdict, reason) = (Verdict::Ran, RefusalReason::UpstreamFailed);
    let refusal = Refusal { verdict, reason, detail, retry_at: None };
    let outcome = Outcome::Failed { refusal };
    world.groups.end(second, GroupToShard::Finished { task: second, outcome });
    world.run(2000);
    assert!(world.groups.running_task(spec.id()).is_some(), "the job was not retried");
    assert!(world.groups.ended.is_empty());
}

/// Guards against a cancelled job that is resumed after its eviction, and
/// against a queued one that is started after its cancellation.
#[test]
fn cancelled() {
    let mut world = World::ready(5);
    let (running, task) = started(&mut world, "scan");
    world.groups.refuse = Some(mustardcove_core::message::ReserveRefusal::NoRoom);
    let queued = spec("scan", "order-2", "album");
    world.submit(&queued);
    world.run(1000);
    world.groups.evict(task, 100);
    for job in [running.id(), queued.id()] {
        world.request(0, ShardRequest::Cancel { job, member: None });
    }
    world.run(2000);
    world.groups.refuse = None;
    world.run(20_000);
    for job in [running.id(), queued.id()] {
        assert_eq!(world.outcome(job), Some(Outcome::Cancelled));
    }
    assert!(world.groups.running.is_empty());
}
