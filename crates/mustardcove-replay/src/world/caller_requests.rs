//! Callers' requests at an entry process.
//!
//! The steps are those of the real entry process: limits; the choice of an
//! upstream; for guarded requests (all that are not idempotent) `Admit` before
//! the attempt and `Complete` after it; and retries within the member's
//! budget. A request that is given up gets its final answer at once.

mod shard_answers;

use bytes::Bytes;
use mustardcove_core::{
    class::{Class, ClassKind, Delivery},
    id::{RequestId, ServiceId, TaskId},
    job::{JobSpec, Outcome},
    limit::ShedClass,
    membership::MembershipEvent,
    message::ShardRequest,
    retry::{FailedAttempt, GiveUpReason, RetryDecision},
    routing::{RouteChoice, RouteOutcome, Tier},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};

use crate::defect::Defect;

use super::{
    ProcessIndex, World,
    callers::CallerAnswer,
    process::ProcessEvent,
    upstream::{UpstreamAnswer, UpstreamEnd, UpstreamRequest},
};

/// Delay after which a caller may try again, in milliseconds.
const RETRY_MS: u64 = 500;

/// Shortest time for an attempt when some of the remaining time is reserved
/// for a retry, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 200;

/// Longest time that an answer is held back until its outcome is stored, in
/// milliseconds.
const COMPLETE_WAIT_MS: u64 = 1_000;

/// Stage of a caller's request.
#[derive(Clone, Debug)]
enum Stage {
    /// A job or its cancellation was sent to the owner of its shard.
    Job,
    /// It waits for an upstream with a free slot.
    AwaitingUpstream,
    /// The owner of its shard was asked to bind it to an upstream.
    Admitting(RouteChoice),
    /// It was sent to an upstream.
    Sent { choice: RouteChoice, task: Option<TaskId>, sent_us: u64 },
    /// Its outcome is being stored before it is answered.
    StoringSuccess(Bytes),
    /// Its failed attempt is being stored before the next retry decision.
    StoringFailure(Refusal, bool),
    /// It waits for the outcome of an earlier request with its key.
    AwaitingEarlierRequest,
    /// It waits for the time of its next attempt.
    AwaitingRetry,
}

/// A caller's request at an entry process.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    caller: usize,
    class: Class,
    spec: JobSpec,
    deadline: Timestamp,
    attempts: u32,
    avoid: Vec<RouteChoice>,
    verdict: Verdict,
    stage: Stage,
    timer: u64,
}

impl World {
    /// Handles a request of a caller.
    pub(super) fn caller_request_received(&mut self, index: ProcessIndex, caller: usize) {
        let now = self.now();
        let (spec, deadline, kind, wants_cancel) = {
            let it = &self.callers[caller];
            (it.spec(), it.deadline(), it.kind, it.wants_cancel)
        };
        if kind != ClassKind::Service && self.defect == Some(Defect::ForgottenJob) {
            return self.answer_caller(caller, CallerAnswer::Accepted);
        }
        let it = self.entry(index);
        let Some(agreement) = it.agreement.clone() else {
            return self.answer_caller(caller, CallerAnswer::ConnectionLost);
        };
        if it.draining {
            let refusal = Refusal::not_run(RefusalReason::ShuttingDown, "the process is stopping");
            let refusal = refusal.with_retry_at(now.plus_ms(RETRY_MS));
            return self.answer_caller(caller, CallerAnswer::Refused(refusal));
        }
        let Some(class) = agreement.class_for(&spec.member, &spec.class).cloned() else {
            let refusal = Refusal::not_run(RefusalReason::Forbidden, "not in the agreement");
            return self.answer_caller(caller, CallerAnswer::Refused(refusal));
        };
        let max_requests = agreement.members.get(&spec.member).map_or(0, |it| it.max_requests);
        let share = it.share.part_of(max_requests);
        if let Err(refusal) = it.shedder.try_begin(now, ShedClass::of(&class)) {
            return self.answer_caller(caller, CallerAnswer::Refused(refusal));
        }
        let member = it.members.get_mut(&spec.member);
        if !member.is_some_and(|it| it.limit.try_begin(share)) {
            it.shedder.end();
            let refusal = Refusal::not_run(RefusalReason::OverCap, "too many requests in flight")
                .with_retry_at(now.plus_ms(RETRY_MS));
            let refusal = Refusal { reason: RefusalReason::Overloaded, ..refusal };
            return self.answer_caller(caller, CallerAnswer::Refused(refusal));
        }
        it.next_caller_request += 1;
        let id = it.next_caller_request;
        let stage = if kind == ClassKind::Service { Stage::AwaitingUpstream } else { Stage::Job };
        it.caller_requests.insert(
            id,
            CallerRequest {
                caller,
                class,
                spec: spec.clone(),
                deadline,
                attempts: 0,
                avoid: Vec::new(),
                verdict: Verdict::NotRun,
                stage,
                timer: 0,
            },
        );
        if kind == ClassKind::Service {
            return self.choose_upstream(index, id);
        }
        let shard = spec.id().shard(self.trace.header.shards);
        let body = if wants_cancel {
            ShardRequest::Cancel { job: spec.id(), member: Some(spec.member) }
        } else {
            ShardRequest::Submit { spec }
        };
        let deadline = now.plus_ms(30_000);
        self.call_shard(index, id, shard, body, deadline);
    }

    /// Answers the caller and removes its request.
    fn end_caller_request(&mut self, index: ProcessIndex, id: u64, answer: CallerAnswer) {
        let it = self.entry(index);
        let Some(request) = it.caller_requests.remove(&id) else { return };
        it.shedder.end();
        if let Some(member) = it.members.get_mut(&request.spec.member) {
            member.limit.end();
        }
        for pool in it.pools.values_mut() {
            pool.waiting.retain(|it| *it != id);
        }
        it.calls.retain(|_, call| call.caller_request != id);
        self.answer_caller(request.caller, answer);
    }

    fn refuse_caller_request(&mut self, index: ProcessIndex, id: u64, refusal: Refusal) {
        let now = self.now();
        let Some(request) = self.entry(index).caller_requests.get(&id) else { return };
        let verdict = combine_verdicts(request.verdict, refusal.verdict);
        let retry_at = refusal.retry_at.or(Some(now.plus_ms(RETRY_MS)));
        let refusal = Refusal { verdict, retry_at, ..refusal };
        self.end_caller_request(index, id, CallerAnswer::Refused(refusal));
    }

    fn set_stage(&mut self, index: ProcessIndex, id: u64, stage: Stage) {
        if let Some(request) = self.entry(index).caller_requests.get_mut(&id) {
            request.stage = stage;
            request.timer += 1;
        }
    }

    /// Sets a timer for the present stage of a request.
    fn set_timer(&mut self, index: ProcessIndex, id: u64, at: Timestamp) {
        let now = self.now();
        let Some(request) = self.entry(index).caller_requests.get(&id) else { return };
        let event = ProcessEvent::CallerRequestTimer { caller_request: id, timer: request.timer };
        self.deliver_at(at.0.max(now.0 + 1) * 1_000, index, event);
    }

    /// Chooses an upstream for the next attempt, or waits for one.
    fn choose_upstream(&mut self, index: ProcessIndex, id: u64) {
        let now = self.now();
        self.set_stage(index, id, Stage::AwaitingUpstream);
        let it = self.entry(index);
        let Some(request) = it.caller_requests.get(&id) else { return };
        let (deadline, urgent) = (request.deadline, request.class.urgent);
        let Some(service) = request.class.service.clone() else { return };
        if deadline <= now {
            let refusal = Refusal::not_run(RefusalReason::DeadlineExceeded, "no time is left");
            return self.refuse_caller_request(index, id, refusal);
        }
        let avoid = request.avoid.clone();
        let Some(pool) = it.pools.get_mut(&service) else { return };
        if let Some(choice) = pool.router.choose(now, &avoid) {
            return self.upstream_chosen(index, id, &service, choice);
        }
        if urgent {
            pool.waiting.push_front(id);
        } else {
            pool.waiting.push_back(id);
        }
        self.set_timer(index, id, deadline);
    }

    /// Assigns waiting requests to upstreams that have room.
    pub(super) fn dispatch_waiting(&mut self, index: ProcessIndex, service: &ServiceId) {
        loop {
            let now = self.now();
            let it = self.entry(index);
            let Some(pool) = it.pools.get_mut(service) else { return };
            let Some(&id) = pool.waiting.front() else { return };
            let avoid = it.caller_requests.get(&id).map(|it| it.avoid.clone()).unwrap_or_default();
            let Some(choice) = pool.router.choose(now, &avoid) else { return };
            pool.waiting.pop_front();
            self.upstream_chosen(index, id, service, choice);
        }
    }

    fn upstream_chosen(
        &mut self,
        index: ProcessIndex,
        id: u64,
        service: &ServiceId,
        choice: RouteChoice,
    ) {
        let now = self.now();
        let it = self.entry(index);
        let worker = it.pools.get(service).and_then(|it| it.router.worker(choice)).cloned();
        let (Some(worker), Some(request)) = (worker, it.caller_requests.get_mut(&id)) else {
            return;
        };
        request.attempts += 1;
        if request.class.delivery == Delivery::Idempotent {
            return self.dispatch(index, id, choice, None);
        }
        let (spec, deadline) = (request.spec.clone(), request.deadline);
        let spec = JobSpec { deadline: Some(deadline), ..spec };
        self.set_stage(index, id, Stage::Admitting(choice));
        let shard = spec.id().shard(self.trace.header.shards);
        let body = ShardRequest::Admit { spec, upstream: worker, deadline };
        self.call_shard(index, id, shard, body, deadline);
        self.set_timer(index, id, deadline.max(now.plus_ms(1)));
    }

    fn dispatch(
        &mut self,
        index: ProcessIndex,
        id: u64,
        choice: RouteChoice,
        task: Option<TaskId>,
    ) {
        let now = self.now();
        let now_us = self.now_us;
        let incarnation = self.processes[index].incarnation;
        self.set_stage(index, id, Stage::Sent { choice, task, sent_us: now_us });
        let it = self.entry(index);
        let Some(request) = it.caller_requests.get(&id).cloned() else { return };
        let service = request.class.service.clone();
        let pool = service.as_ref().and_then(|service| it.pools.get(service));
        let worker = pool.and_then(|it| it.router.worker(choice)).cloned();
        let worker = worker.and_then(|it| self.fleet.by_id.get(&it).copied());
        let Some(worker) = worker else {
            let refusal = Refusal::not_run(RefusalReason::NoUpstream, "the upstream left");
            return self.attempt_failed(index, id, refusal, false);
        };
        let deadline = match task {
            Some(_) => request.deadline,
            None => attempt_deadline(&request, now),
        };
        if self.processes[index].location.region != self.fleet.workers[worker].location.region {
            self.metrics.remote_requests += 1;
        }
        self.upstream_send(UpstreamRequest {
            worker,
            from: index,
            incarnation,
            caller_request: id,
            attempt: request.attempts,
            caller: request.caller,
            class: request.class.id.clone(),
            task,
            run_ms: self.callers[request.caller].work.run_ms,
            deadline,
        });
        self.set_timer(index, id, deadline);
    }

    /// Reports the end of an attempt to the router.
    fn end_route(
        &mut self,
        index: ProcessIndex,
        id: u64,
        choice: RouteChoice,
        outcome: RouteOutcome,
    ) {
        let now = self.now();
        let it = self.entry(index);
        let service = it.caller_requests.get(&id).and_then(|it| it.class.service.clone());
        let Some(service) = service else { return };
        if let Some(pool) = it.pools.get_mut(&service) {
            pool.router.end(now, choice, outcome);
        }
        self.dispatch_waiting(index, &service);
    }

    pub(super) fn upstream_answered(&mut self, index: ProcessIndex, answer: UpstreamAnswer) {
        let now_us = self.now_us;
        let it = self.entry(index);
        let Some(request) = it.caller_requests.get_mut(&answer.caller_request) else { return };
        // An answer to an earlier attempt is no longer used.
        if request.attempts != answer.attempt {
            return;
        }
        let Stage::Sent { choice, task, sent_us } = request.stage.clone() else { return };
        let took_us = now_us - sent_us;
        let id = answer.caller_request;
        match answer.end {
            UpstreamEnd::Answered(body) => {
                let member = request.spec.member.clone();
                if let Some(member) = it.members.get_mut(&member) {
                    member.budget.on_success();
                }
                self.end_route(index, id, choice, RouteOutcome::Answered(took_us));
                match task {
                    None => self.end_caller_request(index, id, CallerAnswer::Served(body)),
                    Some(task) => self.complete(index, id, task, body),
                }
            }
            UpstreamEnd::Failed { verdict, overloaded, signal } => {
                request.avoid.push(choice);
                let service = request.class.service.clone();
                let worker = service
                    .as_ref()
                    .and_then(|service| it.pools.get(service)?.router.worker(choice).cloned());
                if let (Some(signal), Some(worker)) = (signal, worker) {
                    let event = MembershipEvent::Signal { worker, signal };
                    self.membership_event(index, service.as_ref(), event);
                }
                let outcome =
                    if overloaded { RouteOutcome::TimedOut(took_us) } else { RouteOutcome::Failed };
                self.end_route(index, id, choice, outcome);
                let detail = "the attempt failed at the upstream".to_owned();
                let reason = RefusalReason::UpstreamFailed;
                let refusal = Refusal { verdict, reason, detail, retry_at: None };
                self.attempt_failed(index, id, refusal, overloaded);
            }
        }
    }

    fn complete(&mut self, index: ProcessIndex, id: u64, task: TaskId, body: Bytes) {
        let now = self.now();
        self.set_stage(index, id, Stage::StoringSuccess(body.clone()));
        let shard = task.job.shard(self.trace.header.shards);
        let outcome = Outcome::Succeeded { result: body };
        let request = ShardRequest::Complete { task, outcome };
        let until = now.plus_ms(COMPLETE_WAIT_MS);
        self.call_shard(index, id, shard, request, until);
        self.set_timer(index, id, until);
    }

    fn attempt_failed(&mut self, index: ProcessIndex, id: u64, refusal: Refusal, overloaded: bool) {
        let now = self.now();
        let Some(request) = self.entry(index).caller_requests.get(&id) else { return };
        let Stage::Sent { task: Some(task), .. } = request.stage else {
            return self.decide_retry(index, id, refusal, overloaded);
        };
        // The owner of the shard must know that the attempt has ended, or that
        // it may still run, before another attempt can be bound.
        let shard = task.job.shard(self.trace.header.shards);
        let outcome = Outcome::Failed { refusal: refusal.clone() };
        self.set_stage(index, id, Stage::StoringFailure(refusal, overloaded));
        let until = now.plus_ms(COMPLETE_WAIT_MS);
        self.call_shard(index, id, shard, ShardRequest::Complete { task, outcome }, until);
        self.set_timer(index, id, until);
    }

    fn decide_retry(&mut self, index: ProcessIndex, id: u64, refusal: Refusal, overloaded: bool) {
        let now = self.now();
        let it = self.entry(index);
        let Some(request) = it.caller_requests.get_mut(&id) else { return };
        request.verdict = combine_verdicts(request.verdict, refusal.verdict);
        let (member, class) = (request.spec.member.clone(), request.class.clone());
        let expected_ms = class
            .service
            .as_ref()
            .and_then(|service| it.pools.get(service))
            .map_or(1, |it| (it.router.average_latency_us(Tier::Domain) / 1_000).max(1));
        let failed = FailedAttempt {
            delivery: class.delivery,
            verdict: request.verdict,
            attempts: request.attempts,
            overloaded,
            deadline: request.deadline,
            expected_ms,
        };
        let Some(state) = it.members.get_mut(&member) else { return };
        match it.retry.decide(now, failed, &mut state.budget) {
            RetryDecision::RetryAt(at) => {
                self.metrics.retries += 1;
                self.set_stage(index, id, Stage::AwaitingRetry);
                self.set_timer(index, id, at);
            }
            RetryDecision::GiveUp(reason) => {
                let may_retry =
                    reason != GiveUpReason::NotRepeatable && reason != GiveUpReason::Ran;
                let retry_at = may_retry.then(|| now.plus_ms(RETRY_MS));
                self.refuse_caller_request(index, id, Refusal { retry_at, ..refusal });
            }
        }
    }

    pub(super) fn caller_request_timer(&mut self, index: ProcessIndex, id: u64, timer: u64) {
        if id == 0 {
            return self.retry_shard_call(index, RequestId(timer));
        }
        let now_us = self.now_us;
        let Some(request) = self.entry(index).caller_requests.get(&id) else { return };
        if request.timer != timer {
            return;
        }
        let time_out = |verdict| {
            let detail = "no answer came in time".to_owned();
            let reason = RefusalReason::DeadlineExceeded;
            Refusal { verdict, reason, detail, retry_at: None }
        };
        match request.stage.clone() {
            Stage::AwaitingUpstream => {
                let refusal = Refusal::not_run(RefusalReason::NoUpstream, "no upstream had room");
                self.refuse_caller_request(index, id, refusal);
            }
            Stage::Admitting(choice) => {
                self.end_route(index, id, choice, RouteOutcome::Abandoned);
                self.refuse_caller_request(index, id, time_out(Verdict::MayHaveRun));
            }
            Stage::Sent { choice, sent_us, .. } => {
                if let Some(request) = self.entry(index).caller_requests.get_mut(&id) {
                    request.avoid.push(choice);
                }
                let outcome = RouteOutcome::TimedOut(now_us - sent_us);
                self.end_route(index, id, choice, outcome);
                self.attempt_failed(index, id, time_out(Verdict::MayHaveRun), true);
            }
            Stage::StoringSuccess(body) => {
                self.end_caller_request(index, id, CallerAnswer::Served(body))
            }
            Stage::StoringFailure(refusal, overloaded) => {
                self.decide_retry(index, id, refusal, overloaded);
            }
            Stage::AwaitingEarlierRequest => {
                self.refuse_caller_request(index, id, time_out(Verdict::MayHaveRun))
            }
            Stage::AwaitingRetry => self.choose_upstream(index, id),
            Stage::Job => (),
        }
    }
}

/// Returns the deadline of an attempt, which leaves time for a retry if
/// possible.
fn attempt_deadline(request: &CallerRequest, now: Timestamp) -> Timestamp {
    let half_ms = now.ms_until(request.deadline) / 2;
    let min_attempt_ms = MIN_ATTEMPT_MS.max(2 * request.class.expected_run_ms);
    if mustardcove_core::retry::MAX_ATTEMPTS <= request.attempts || half_ms < min_attempt_ms {
        return request.deadline;
    }
    now.plus_ms(half_ms)
}

/// Returns the verdict on a request after one more failed attempt.
fn combine_verdicts(before: Verdict, attempt: Verdict) -> Verdict {
    match (before, attempt) {
        (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
        (Verdict::NotRun, it) => it,
        (Verdict::MayHaveRun, _) => Verdict::MayHaveRun,
    }
}
