//! What is refused at submission, and who may see a job.

#[path = "support/doubles.rs"]
mod doubles;

use bytes::Bytes;
use doubles::{WORKER, bindery, spec, world::World};
use mustardcove_core::{
    id::{MemberId, RequestId},
    job::{JobSpec, MAX_PAYLOAD_BYTES},
    message::{ShardRequest, ShardResponse},
    shard::{Shard, ShardAction, ShardConfig, ShardEvent},
    size::Resources,
    time::Timestamp,
    verdict::{RefusalReason, Verdict},
};

fn refused(world: &mut World, spec: &JobSpec) -> RefusalReason {
    let request = world.submit(spec);
    assert_eq!(world.refusal(request).verdict, Verdict::NotRun);
    world.refusal(request).reason
}

/// Guards against accepting work that can never run or that the agreement does
/// not allow.
#[test]
fn refusals() {
    let mut world = World::ready(1);
    world.run(5000);
    let good = spec("scan", "order-1", "album");
    let with = |change: &dyn Fn(&mut JobSpec)| {
        let mut spec = good.clone();
        change(&mut spec);
        spec
    };
    let now = world.now;
    let cases = [
        (with(&|it| it.member = "stranger".parse().unwrap()), RefusalReason::Forbidden),
        (with(&|it| it.class = "unknown".parse().unwrap()), RefusalReason::Forbidden),
        (with(&|it| it.class = "booking".parse().unwrap()), RefusalReason::Invalid),
        (with(&|it| it.deadline = Some(now)), RefusalReason::DeadlineExceeded),
        (
            with(&|it| it.payload = Bytes::from(vec![0; MAX_PAYLOAD_BYTES + 1])),
            RefusalReason::TooLarge,
        ),
        (with(&|it| it.resources = Resources::new(64_001, 1, 0)), RefusalReason::OverCap),
        (with(&|it| it.resources = WORKER.saturating_mul(2)), RefusalReason::NeverRunnable),
    ];
    for (spec, reason) in cases {
        assert_eq!(refused(&mut world, &spec), reason);
    }
    assert_eq!(world.durable.ledger.len(), 0);
}

/// Guards against ignoring the size and the run time that the class gives by
/// default.
#[test]
fn class_defaults() {
    let mut world = World::ready(2);
    let mut spec = spec("scan", "order-1", "album");
    (spec.resources, spec.expected_run_ms) = (Resources::ZERO, 0);
    world.submit(&spec);
    world.run(1000);
    let job = world.durable.ledger.get(spec.id()).unwrap();
    assert_eq!(job.spec.resources, Resources::new(1000, 1024, 0));
    assert_eq!(job.spec.expected_run_ms, 60_000);
}

/// Guards against a job that stays queued for ever after its deadline, when its
/// caller no longer waits for it.
#[test]
fn queued_past_deadline() {
    let mut world = World::ready(3);
    world.groups.refuse = Some(mustardcove_core::message::ReserveRefusal::NoRoom);
    let mut spec = spec("scan", "order-1", "album");
    spec.deadline = Some(world.now.plus_ms(5000));
    world.submit(&spec);
    world.run(6000);
    let Some(mustardcove_core::job::Outcome::Failed { refusal }) = world.outcome(spec.id()) else {
        panic!("the job is still queued")
    };
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
}

/// Guards against a member that learns of another member's jobs: every answer
/// must be the same as for a job that does not exist.
#[test]
fn other_member() {
    let mut world = World::ready(4);
    let spec = spec("scan", "order-1", "album");
    world.submit(&spec);
    world.run(1000);
    let other: Option<MemberId> = Some("coops".parse().unwrap());
    let ask = |world: &mut World, job, member: &Option<MemberId>| -> [RequestId; 2] {
        let wait_until = Some(world.now.plus_ms(1000));
        let query = ShardRequest::Query { job, wait_until, member: member.clone() };
        let cancel = ShardRequest::Cancel { job, member: member.clone() };
        [world.request(0, query), world.request(0, cancel)]
    };
    let missing = doubles::spec("scan", "no-such-order", "album").id();
    let foreign = ask(&mut world, spec.id(), &other);
    let absent = ask(&mut world, missing, &other);
    for (foreign, absent) in foreign.into_iter().zip(absent) {
        assert_eq!(world.answer(foreign), world.answer(absent));
        assert_eq!(world.refusal(foreign).reason, RefusalReason::NotFound);
    }
    let list =
        |member| ShardRequest::List { member, start_after: None, limit: 10, include_done: true };
    for (member, count) in [(other, 0), (Some(bindery()), 1), (None, 1)] {
        let request = world.request(0, list(member));
        let ShardResponse::Jobs { jobs, more: false } = world.answer(request) else {
            panic!("not a whole list")
        };
        assert_eq!(jobs.len(), count);
    }
}

/// Guards against pages of a list that overlap or omit jobs.
#[test]
fn list_pages() {
    let mut world = World::ready(5);
    for n in 0..25 {
        world.submit(&spec("scan", &format!("order-{n}"), "album"));
    }
    world.run(2000);
    let (mut start_after, mut seen) = (None, Vec::new());
    loop {
        let member = Some(bindery());
        let list = ShardRequest::List { member, start_after, limit: 10, include_done: false };
        let request = world.request(0, list);
        let ShardResponse::Jobs { jobs, more } = world.answer(request) else { panic!("no list") };
        seen.extend(jobs.iter().map(|it| it.job));
        start_after = jobs.last().map(|it| it.job);
        if !more {
            break;
        }
    }
    let expected: Vec<_> = world.durable.ledger.jobs().map(|(id, _)| id).collect();
    assert_eq!(seen, expected);
}

/// Guards against a shard that handles jobs of another shard.
#[test]
fn other_shard() {
    let spec = spec("scan", "order-1", "album");
    let owner = spec.id().shard(16);
    let other = mustardcove_core::id::ShardId((owner.0 + 1) % 16);
    let process: mustardcove_core::id::ProcessId = "sched-0".parse().unwrap();
    let cfg = ShardConfig::default();
    let mut shard = Shard::new(other, 16, process.clone(), cfg, 1, Timestamp(1));
    let mut out = Vec::new();
    let (request, body) = (RequestId(1), ShardRequest::Submit { spec });
    shard.handle(Timestamp(1), ShardEvent::Request { from: process, request, body }, &mut out);
    let [ShardAction::Respond { body, .. }] = &out[..] else { panic!("{out:?}") };
    assert_eq!(*body, ShardResponse::NotOwner { hint: None });
}
