//! Jobs from submission to end, without store failures.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{bindery, spec, world::World};
use mustardcove_core::{
    job::{JobState, Outcome},
    message::{ShardRequest, ShardResponse},
    verdict::{RefusalReason, Verdict},
};

/// Guards against a job that is accepted and never runs, and against results
/// that are truncated or mixed up.
#[test]
fn runs_to_end() {
    let mut world = World::ready(1);
    let spec = spec("binding-run", "order-1", "album");
    let request = world.submit(&spec);
    world.run(1000);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { repeated: false, .. }));
    let task = world.groups.running_task(spec.id()).expect("the job runs");
    let n = world.serving().unwrap();
    let wait_until = Some(world.now.plus_ms(60_000));
    let query = ShardRequest::Query { job: spec.id(), wait_until, member: Some(bindery()) };
    let query = world.request(n, query);
    world.run(1000);
    assert!(!world.is_answered(query));
    world.groups.succeed(task);
    world.run(1000);
    let ShardResponse::Status { status } = world.answer(query) else { panic!("no status") };
    let JobState::Done { outcome: Outcome::Succeeded { result }, .. } = &status.state else {
        panic!("not finished: {status:?}")
    };
    assert_eq!(&result[..], b"result");
    assert!(world.groups.ended.is_empty(), "the end was not acknowledged");
}

/// Guards against an urgent start that needs a second append and so waits for
/// another commit interval.
#[test]
fn urgent_start() {
    let mut world = World::ready(2);
    let segments = world.durable.segments;
    let spec = spec("rush", "order-1", "album");
    world.submit(&spec);
    world.run(10);
    assert!(world.groups.running_task(spec.id()).is_some());
    assert_eq!(world.durable.segments - segments, 1);
}

/// Guards against an urgent job that is not accepted because the group that was
/// asked does not answer, and against not asking another one.
#[test]
fn urgent_accepted_without_answer() {
    let mut world = World::ready(4);
    let spec = spec("rush", "order-1", "album");
    let request = world.submit(&spec);
    world.to_groups.clear();
    assert!(!world.is_answered(request));
    world.run(60);
    assert!(matches!(world.answer(request), ShardResponse::Accepted { .. }));
    world.run(1500);
    assert!(world.groups.running_task(spec.id()).is_some(), "no other group was asked");
}

/// Guards against a failing job that is retried without bound, and against a
/// job that ends because of a single bad worker.
#[test]
fn failure_retried_elsewhere() {
    let mut world = World::ready(3);
    let spec = spec("scan", "order-1", "album");
    world.submit(&spec);
    for _ in 0..3 {
        assert_eq!(world.outcome_after(20_000, &spec), None);
        let task = world.groups.running_task(spec.id()).expect("the job is retried");
        world.groups.fail(task);
    }
    let Some(Outcome::Failed { refusal }) = world.outcome_after(20_000, &spec) else {
        panic!("the job did not end")
    };
    assert_eq!(refusal.reason, RefusalReason::UpstreamFailed);
    assert_eq!(refusal.verdict, Verdict::Ran);
    let job = world.durable.ledger.get(spec.id()).unwrap();
    assert!(matches!(job.state, JobState::Done { attempt: Some(it), .. } if it.0 == 3));
}

impl World {
    fn outcome_after(&mut self, ms: u64, spec: &mustardcove_core::job::JobSpec) -> Option<Outcome> {
        self.run(ms);
        self.outcome(spec.id())
    }
}
