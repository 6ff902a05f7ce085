//! Service requests that must not be repeated freely.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{spec, world::World};
use mustardcove_core::{
    id::{RequestId, TaskId},
    job::{JobState, Outcome},
    message::{ShardRequest, ShardResponse},
    shard::ShardEvent,
    time::{MAX_CLOCK_ERROR_MS, Timestamp},
    verdict::{Refusal, RefusalReason, Verdict},
};

const REQUEST_TIMEOUT_MS: u64 = 4000;

fn admit(class: &str, deadline: Timestamp) -> ShardRequest {
    let upstream = "upstream-1".parse().unwrap();
    ShardRequest::Admit { spec: spec(class, "request-1", "body"), upstream, deadline }
}

/// Admits a request of `entry-0` whose deadline is in `REQUEST_TIMEOUT_MS`.
fn admitted(world: &mut World, class: &str) -> (RequestId, TaskId, Timestamp) {
    let deadline = world.now.plus_ms(REQUEST_TIMEOUT_MS);
    let request = world.request_from("entry-0", 0, admit(class, deadline));
    world.run(100);
    let ShardResponse::Admitted { task } = world.answer(request) else { panic!("not admitted") };
    (request, *task, deadline)
}

fn report_entry_ended(world: &mut World, n: usize) {
    world.event(n, ShardEvent::ProcessEnded("entry-0".parse().unwrap()));
}

/// Guards against a request that is sent before its attempt is durable, and
/// against an admission that needs more than one append.
#[test]
fn admitted_in_one_append() {
    let mut world = World::ready(1);
    let segments = world.durable.segments;
    let deadline = world.now.plus_ms(REQUEST_TIMEOUT_MS);
    let request = world.request(0, admit("booking", deadline));
    assert!(!world.is_answered(request));
    world.answer_call(0);
    assert!(matches!(world.answer(request), ShardResponse::Admitted { .. }));
    assert_eq!(world.durable.segments, segments + 1);
}

/// Guards against a second booking when the caller repeats the key while the
/// first attempt is bound, and against a repetition that never gets the outcome.
#[test]
fn repeated_while_bound() {
    let mut world = World::ready(2);
    let (_, task, deadline) = admitted(&mut world, "booking");
    let again = world.request_from("entry-1", 0, admit("booking", deadline));
    let ShardResponse::Accepted { status, repeated: true } = world.answer(again) else {
        panic!("not repeated: {:?}", world.answer(again))
    };
    assert!(matches!(status.state, JobState::Bound { .. }));
    let wait_until = Some(deadline);
    let query = ShardRequest::Query { job: task.job, wait_until, member: None };
    let query = world.request_from("entry-1", 0, query);
    let outcome = Outcome::Succeeded { result: b"coop 7".to_vec().into() };
    let complete = ShardRequest::Complete { task, outcome: outcome.clone() };
    let complete = world.request_from("entry-0", 0, complete);
    world.run(1000);
    assert_eq!(*world.answer(complete), ShardResponse::Completed);
    let ShardResponse::Status { status } = world.answer(query) else { panic!("no status") };
    let JobState::Done { outcome: stored, .. } = &status.state else { panic!("not done") };
    assert_eq!(*stored, outcome);
}

/// Guards against a request that its entry can never send because the answer to
/// its admission was lost together with the shard's owner.
#[test]
fn admission_answer_lost() {
    let mut world = World::ready(3);
    let (request, task, deadline) = admitted(&mut world, "booking");
    world.crash(0);
    let n = world.add_owner();
    world.run(1000);
    world.repeat("entry-0", request, n, admit("booking", deadline));
    assert_eq!(world.answers[&request][1], ShardResponse::Admitted { task });
}

/// Guards against a booking that is made twice because its entry ended.
#[test]
fn at_most_once_entry_lost() {
    let mut world = World::ready(4);
    let (_, task, deadline) = admitted(&mut world, "booking");
    report_entry_ended(&mut world, 0);
    world.run(300);
    let Some(Outcome::Failed { refusal }) = world.outcome(task.job) else { panic!("not ended") };
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    world.run(2 * REQUEST_TIMEOUT_MS);
    let deadline = deadline.plus_ms(10 * REQUEST_TIMEOUT_MS);
    let again = world.request_from("entry-1", 0, admit("booking", deadline));
    assert!(matches!(world.answer(again), ShardResponse::Accepted { repeated: true, .. }));
    assert_eq!(world.durable.admitted.len(), 1);
}

/// Guards against two attempts of an exclusive request at the same time: the
/// next attempt waits until the upstream has certainly stopped, and the caller
/// receives that time as the time to retry.
#[test]
fn exclusive_entry_lost() {
    let mut world = World::ready(5);
    let (_, first, deadline) = admitted(&mut world, "proof");
    report_entry_ended(&mut world, 0);
    let later = deadline.plus_ms(10 * REQUEST_TIMEOUT_MS);
    let early = world.request_from("entry-1", 0, admit("proof", later));
    let stopped_at = deadline.plus_ms(MAX_CLOCK_ERROR_MS);
    let refusal = world.refusal(early).clone();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(refusal.retry_at, Some(stopped_at.plus_ms(1)));
    world.run(stopped_at.ms_since(world.now));
    let too_early = world.request_from("entry-1", 0, admit("proof", later));
    assert_eq!(world.refusal(too_early).verdict, Verdict::MayHaveRun);
    world.run(1);
    let again = world.request_from("entry-1", 0, admit("proof", later));
    world.run(300);
    let ShardResponse::Admitted { task } = world.answer(again) else { panic!("not admitted") };
    assert_eq!(task.attempt, first.attempt.next());
    // The outcome of the first attempt is not accepted for the second one.
    let outcome = Outcome::Succeeded { result: b"late".to_vec().into() };
    let late = world.request(0, ShardRequest::Complete { task: first, outcome });
    assert_eq!(world.refusal(late).reason, RefusalReason::Conflict);
}

/// Guards against a request that stays bound when the end of its entry is never
/// reported, also across a change of the shard's owner.
#[test]
fn entry_loss_unreported() {
    for (class, ends) in [("booking", true), ("proof", false)] {
        let mut world = World::ready(6);
        let (_, task, _) = admitted(&mut world, class);
        world.crash(0);
        world.add_owner();
        world.run(REQUEST_TIMEOUT_MS + MAX_CLOCK_ERROR_MS + 3000);
        let state = world.status(task.job).state;
        assert_eq!(matches!(state, JobState::Done { .. }), ends, "{class} {state:?}");
        assert_eq!(matches!(state, JobState::Queued { .. }), !ends, "{class} {state:?}");
    }
}

/// Guards against a booking that ends although its upstream refused it, so that
/// it certainly did not run and may be attempted again.
#[test]
fn upstream_refused() {
    let mut world = World::ready(7);
    let (_, task, deadline) = admitted(&mut world, "booking");
    let refusal = Refusal::not_run(RefusalReason::UpstreamFailed, "connection refused");
    let outcome = Outcome::Failed { refusal };
    world.request_from("entry-0", 0, ShardRequest::Complete { task, outcome });
    world.run(1000);
    let again = world.request_from("entry-0", 0, admit("booking", deadline));
    world.run(1000);
    let ShardResponse::Admitted { task: second } = world.answer(again) else {
        panic!("not admitted")
    };
    assert_eq!(second.attempt, task.attempt.next());
}

/// Guards against an outcome that is lost because it was reported during a store
/// outage.
#[test]
fn outcome_during_outage() {
    let mut world = World::ready(8);
    let (_, task, _) = admitted(&mut world, "booking");
    world.run(1000);
    world.store_up = false;
    let outcome = Outcome::Succeeded { result: b"coop 7".to_vec().into() };
    let complete = ShardRequest::Complete { task, outcome: outcome.clone() };
    let complete = world.request_from("entry-0", 0, complete);
    world.run(20_000);
    assert!(!world.is_answered(complete));
    world.store_up = true;
    world.run(6000);
    assert_eq!(*world.answer(complete), ShardResponse::Completed);
    assert_eq!(world.outcome(task.job), Some(outcome));
}
