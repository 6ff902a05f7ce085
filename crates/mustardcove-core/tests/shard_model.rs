//! Compares a shard, without store failures, to the reference ledger.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{spec, world::World};
use mustardcove_core::{
    id::TaskId,
    job::{Checkpoint, JobState, Outcome},
    message::{ShardRequest, ShardResponse},
    naive::{NaiveAnswer, NaiveLedger, NaiveState},
    verdict::{Refusal, RefusalReason, Verdict},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

#[derive(Clone, Debug)]
enum Op {
    Submit { key: u8, body: u8 },
    Succeed { key: u8 },
    Fail { key: u8 },
    Evict { key: u8, progress: u16 },
    Lose { key: u8 },
    Cancel { key: u8 },
}

fn op() -> impl Strategy<Value = Op> {
    let key = 0u8..5;
    prop_oneof![
        3 => (key.clone(), 0u8..5).prop_map(|(key, body)| Op::Submit { key, body: body / 4 }),
        1 => key.clone().prop_map(|key| Op::Succeed { key }),
        2 => key.clone().prop_map(|key| Op::Fail { key }),
        2 => (key.clone(), 0u16..1000).prop_map(|(key, progress)| Op::Evict { key, progress }),
        1 => key.clone().prop_map(|key| Op::Lose { key }),
        1 => key.prop_map(|key| Op::Cancel { key }),
    ]
}

fn submission(key: u8, body: u8) -> mustardcove_core::job::JobSpec {
    spec("scan", &format!("order-{key}"), &format!("album-{body}"))
}

fn submit(world: &mut World, naive: &mut NaiveLedger, key: u8, body: u8) {
    let spec = submission(key, body);
    let request = world.submit(&spec);
    world.run(500);
    let expected = naive.submit(&spec);
    let answer = match world.answer(request) {
        ShardResponse::Accepted { repeated: false, .. } => NaiveAnswer::Accepted,
        ShardResponse::Accepted { repeated: true, .. } => NaiveAnswer::Repeated,
        ShardResponse::Refused(it) if it.reason == RefusalReason::KeyReused => {
            NaiveAnswer::KeyReused
        }
        other => panic!("unexpected answer {other:?}"),
    };
    assert_eq!(answer, expected);
}

fn end(world: &mut World, naive: &mut NaiveLedger, task: TaskId, op: &Op) {
    let worker = world.groups.running[&task].1.clone();
    match op {
        Op::Succeed { .. } => {
            world.groups.succeed(task);
            naive.succeed(task, Outcome::Succeeded { result: b"result".to_vec().into() });
        }
        Op::Fail { .. } => {
            world.groups.fail(task);
            let (reason, detail) = (RefusalReason::UpstreamFailed, "exit code 1".to_owned());
            let refusal = Refusal { verdict: Verdict::Ran, reason, detail, retry_at: None };
            naive.fail(task, worker, refusal, 3);
        }
        Op::Evict { progress, .. } => {
            world.groups.evict(task, *progress);
            let (token, progress_permille) = (format!("at-{progress}"), *progress);
            naive.interrupt(task, Some(Checkpoint { token, progress_permille }));
        }
        _ => {
            world.groups.lose(task);
            naive.interrupt(task, None);
        }
    }
}

fn apply(world: &mut World, naive: &mut NaiveLedger, op: &Op) {
    match op {
        Op::Submit { key, body } => submit(world, naive, *key, *body),
        Op::Cancel { key } => {
            let job = submission(*key, 0).id();
            world.request(0, ShardRequest::Cancel { job, member: None });
            naive.cancel(job);
            if let Some(task) = world.groups.running_task(job) {
                naive.interrupt(task, None);
            }
        }
        Op::Succeed { key } | Op::Fail { key } | Op::Evict { key, .. } | Op::Lose { key } => {
            let job = submission(*key, 0).id();
            if let Some(task) = world.groups.running_task(job) {
                end(world, naive, task, op);
            }
        }
    }
    // Longer than the longest backoff after failures.
    world.run(11_000);
    let waiting: Vec<_> = naive.jobs().iter().map(|it| it.spec.id()).collect();
    waiting.into_iter().for_each(|job| _ = naive.start(job));
}

fn compare(world: &World, naive: &NaiveLedger) {
    assert_eq!(world.durable.ledger.len(), naive.jobs().len());
    for expected in naive.jobs() {
        let job = world.durable.ledger.get(expected.spec.id()).expect("the job is known");
        assert_eq!(job.spec.digest, expected.spec.digest);
        match (&job.state, &expected.state) {
            (
                JobState::Bound { attempt, resume_from, cancelling, .. },
                NaiveState::Running { cancelling: expected_cancelling },
            ) => {
                assert_eq!(*attempt, expected.attempts);
                assert_eq!(*resume_from, expected.resume_from);
                assert_eq!(cancelling, expected_cancelling);
                assert_eq!(job.failed_on, expected.failed_on);
            }
            (JobState::Done { outcome, .. }, NaiveState::Done(expected)) => {
                assert_eq!(outcome, expected);
            }
            (state, expected) => panic!("{state:?} is not {expected:?}"),
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 120,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against any difference from the reference in the states of a job,
    /// also when another process takes the shard over in between.
    #[test]
    fn same_as_naive(ops in prop::collection::vec(op(), 1..40), crash_at in 0usize..40) {
        let mut world = World::ready(9);
        let mut naive = NaiveLedger::new();
        for (i, op) in ops.iter().enumerate() {
            if i == crash_at {
                world.crash(0);
                world.add_owner();
                world.owners.swap(0, 1);
                world.run(1000);
            }
            apply(&mut world, &mut naive, op);
            compare(&world, &naive);
        }
    }
}
