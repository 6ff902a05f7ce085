//! Evicted and lost work resumes exactly once, from the newest checkpoint.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{group, spec, world::World};
use mustardcove_core::{
    id::TaskId,
    job::{Checkpoint, Evidence, JobSpec, Outcome},
    message::{GroupToShard, ShardRequest, ShardToGroup},
    shard::ShardEvent,
    verdict::{Refusal, RefusalReason, Verdict},
    worker::StopMode,
};

fn started(world: &mut World, class: &str) -> (JobSpec, TaskId) {
    let spec = spec(class, "order-1", "album");
    world.submit(&spec);
    world.run(1000);
    let task = world.fleet.running_task(spec.id()).expect("the job runs");
    (spec, task)
}

fn checkpoint(progress_permille: u16) -> Checkpoint {
    Checkpoint { token: format!("at-{progress_permille}"), progress_permille }
}

/// Guards against work that starts from the beginning, or twice, after an
/// eviction that is reported several times and out of order.
#[test]
fn eviction_repeated() {
    let mut world = World::ready(1);
    let (spec, first) = started(&mut world, "watcher");
    world.fleet.evict(first, 400);
    let report = world.fleet.outbox.back().unwrap().clone();
    world.run(1000);
    let second = world.fleet.running_task(spec.id()).expect("the job resumed");
    assert_eq!(second.attempt, first.attempt.next());
    assert_eq!(world.fleet.resumed[&second], Some(checkpoint(400)));
    let acknowledged = world.fleet.acknowledged;
    for _ in 0..3 {
        let (from, body) = report.clone();
        world.event(0, ShardEvent::Group { from, body });
    }
    world.run(1000);
    assert_eq!(world.fleet.running_task(spec.id()), Some(second));
    assert_eq!(world.fleet.acknowledged, acknowledged + 3);
}

/// Guards against progress that is lost with a worker, and against an older
/// checkpoint that overtakes a newer one.
#[test]
fn newest_checkpoint() {
    let mut world = World::ready(2);
    let (spec, first) = started(&mut world, "scan");
    let from = world.fleet.running[&first].0.clone();
    for progress in [300, 600, 500] {
        let body = GroupToShard::Checkpointed { task: first, checkpoint: checkpoint(progress) };
        world.event(0, ShardEvent::Group { from: from.clone(), body });
    }
    world.run(1000);
    world.crash(0);
    world.add_owner();
    world.run(1000);
    world.fleet.lose(first);
    world.run(1000);
    let second = world.fleet.running_task(spec.id()).expect("the job resumed");
    assert_eq!(world.fleet.resumed[&second], Some(checkpoint(600)));
}

/// Guards against work that must not be done twice being started again while
/// its worker is only unreachable.
#[test]
fn weak_evidence() {
    let mut world = World::ready(3);
    let (spec, task) = started(&mut world, "binding-run");
    let from = world.fleet.running[&task].0.clone();
    let lost = |evidence| GroupToShard::Lost { task, evidence };
    let body = lost(Evidence::LeaseExpired);
    world.event(0, ShardEvent::Group { from: from.clone(), body });
    world.run(2000);
    assert!(!world.truth.over.contains(&task));
    world.fleet.running.clear();
    world.event(0, ShardEvent::Group { from, body: lost(Evidence::InstanceGone) });
    world.run(1000);
    assert!(world.truth.over.contains(&task));
    assert!(world.fleet.running_task(spec.id()).is_some());
}

/// Guards against an attempt that is started a second time after the owner of
/// its group, the owner of its shard, or both have changed.
#[test]
fn both_owners_change() {
    let mut world = World::ready(4);
    let (spec, first) = started(&mut world, "watcher");
    for n in 0..2 {
        world.fleet.take_over(&group(n));
    }
    world.crash(0);
    world.add_owner();
    world.run(5000);
    assert_eq!(world.fleet.running_task(spec.id()), Some(first));
    world.fleet.lose(first);
    world.run(1000);
    let second = world.fleet.running_task(spec.id()).expect("the job resumed");
    assert_eq!(second.attempt, first.attempt.next());
}

/// Guards against tasks that nobody accounts for, and against stopping a task
/// that a newer owner of the shard may have started.
#[test]
fn unknown_task() {
    let mut world = World::ready(7);
    let (spec, first) = started(&mut world, "scan");
    let (from, worker) = world.fleet.running[&first].clone();
    world.fleet.evict(first, 100);
    world.run(1000);
    let unknown = |world: &mut World, task| {
        let body = GroupToShard::Unknown { task, worker: worker.clone() };
        world.event(0, ShardEvent::Group { from: from.clone(), body });
    };
    let is_stop = |body: &ShardToGroup, it: TaskId| matches!(body, ShardToGroup::Stop { task, mode: StopMode::Kill, .. } if *task == it);
    unknown(&mut world, first);
    assert!(world.to_fleet.iter().any(|(_, body)| is_stop(body, first)));
    assert!(world.fleet.running_task(spec.id()).is_some());

    let stranger = TaskId { job: doubles::spec("scan", "order-9", "album").id(), ..first };
    unknown(&mut world, stranger);
    assert!(!world.to_fleet.iter().any(|(_, body)| is_stop(body, stranger)));
    for _ in 0..20 {
        world.now = world.now.plus_ms(250);
        world.event(0, ShardEvent::Tick);
    }
    assert!(!world.to_fleet.iter().any(|(_, body)| is_stop(body, stranger)));
    while world.answer_call(0) {}
    assert!(world.to_fleet.iter().any(|(_, body)| is_stop(body, stranger)));
}

/// Guards against a log that stops for good because a worker's text makes a
/// segment larger than the store accepts.
#[test]
fn long_texts() {
    let mut world = World::ready(6);
    let (spec, first) = started(&mut world, "scan");
    let token = "x".repeat(2 << 20);
    let checkpoint = Some(Checkpoint { token, progress_permille: 500 });
    world.fleet.end(first, GroupToShard::Evicted { task: first, checkpoint });
    world.run(2000);
    let second = world.fleet.running_task(spec.id()).expect("the job resumed");
    let detail = "y".repeat(2 << 20);
    let (verdict, reason) = (Verdict::Ran, RefusalReason::UpstreamFailed);
    let refusal = Refusal { verdict, reason, detail, retry_at: None };
    let outcome = Outcome::Failed { refusal };
    world.fleet.end(second, GroupToShard::Finished { task: second, outcome });
    world.run(2000);
    assert!(world.fleet.running_task(spec.id()).is_some(), "the job was not tried again");
    assert!(world.fleet.ended.is_empty());
}

/// Guards against a cancelled job that is resumed after its eviction, and
/// against a queued one that is started after its cancellation.
#[test]
fn cancelled() {
    let mut world = World::ready(5);
    let (running, task) = started(&mut world, "scan");
    world.fleet.refuse = Some(mustardcove_core::message::ReserveRefusal::NoRoom);
    let queued = spec("scan", "order-2", "album");
    world.submit(&queued);
    world.run(1000);
    world.fleet.evict(task, 100);
    for job in [running.id(), queued.id()] {
        world.request(0, ShardRequest::Cancel { job, member: None });
    }
    world.run(2000);
    world.fleet.refuse = None;
    world.run(20_000);
    for job in [running.id(), queued.id()] {
        assert_eq!(world.outcome(job), Some(Outcome::Cancelled));
    }
    assert!(world.fleet.running.is_empty());
}
