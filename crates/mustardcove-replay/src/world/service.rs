//! Callers' requests at an entry process.
//!
//! The steps are those of the real entry process: limits; the choice of an
//! upstream; for guarded requests (all that are not idempotent) `Admit` before
//! the attempt and `Complete` after it; and retries within the member's
//! budget. A request that is given up gets its final answer at once.

mod guarded;

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
    jobs::CallerAnswer,
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
    Pooled,
    /// The owner of its shard was asked to bind it to an upstream.
    Admitting(RouteChoice),
    /// It was sent to an upstream.
    Sent { choice: RouteChoice, task: Option<TaskId>, sent_us: u64 },
    /// Its outcome is being stored before it is answered.
    Completing(Bytes),
    /// Its failed attempt is being stored before the next retry decision.
    Failing(Refusal, bool),
    /// It waits for the outcome of an earlier request with its key.
    Following,
    /// It waits for the time of its next attempt.
    Waiting,
}

/// A caller's request at an entry process.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
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
    pub(super) fn asked(&mut self, index: ProcessIndex, caller: usize) {
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
            return self.answer_caller(caller, CallerAnswer::Broken);
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
        let most = agreement.members.get(&spec.member).map_or(0, |it| it.max_requests);
        let part = it.share.part_of(most);
        if let Err(refusal) = it.shedder.try_begin(now, ShedClass::of(&class)) {
            return self.answer_caller(caller, CallerAnswer::Refused(refusal));
        }
        let member = it.members.get_mut(&spec.member);
        if !member.is_some_and(|it| it.limit.try_begin(part)) {
            it.shedder.end();
            let refusal = Refusal::not_run(RefusalReason::OverCap, "too many requests in flight")
                .with_retry_at(now.plus_ms(RETRY_MS));
            let refusal = Refusal { reason: RefusalReason::Overloaded, ..refusal };
            return self.answer_caller(caller, CallerAnswer::Refused(refusal));
        }
        it.next_ask += 1;
        let id = it.next_ask;
        let stage = if kind == ClassKind::Service { Stage::Pooled } else { Stage::Job };
        it.asks.insert(
            id,
            Ask {
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
            return self.acquire(index, id);
        }
        let shard = spec.id().shard(self.trace.header.shards);
        let body = if wants_cancel {
            ShardRequest::Cancel { job: spec.id(), member: Some(spec.member) }
        } else {
            ShardRequest::Submit { spec }
        };
        let deadline = now.plus_ms(30_000);
        self.shard_request(index, id, shard, body, deadline);
    }

    /// Answers the caller and removes its request.
    fn end_ask(&mut self, index: ProcessIndex, id: u64, answer: CallerAnswer) {
        let it = self.entry(index);
        let Some(ask) = it.asks.remove(&id) else { return };
        it.shedder.end();
        if let Some(member) = it.members.get_mut(&ask.spec.member) {
            member.limit.end();
        }
        for pool in it.pools.values_mut() {
            pool.waiting.retain(|it| *it != id);
        }
        it.calls.retain(|_, call| call.ask != id);
        self.answer_caller(ask.caller, answer);
    }

    fn refuse_ask(&mut self, index: ProcessIndex, id: u64, refusal: Refusal) {
        let now = self.now();
        let Some(ask) = self.entry(index).asks.get(&id) else { return };
        let verdict = worse(ask.verdict, refusal.verdict);
        let retry_at = refusal.retry_at.or(Some(now.plus_ms(RETRY_MS)));
        let refusal = Refusal { verdict, retry_at, ..refusal };
        self.end_ask(index, id, CallerAnswer::Refused(refusal));
    }

    fn set_stage(&mut self, index: ProcessIndex, id: u64, stage: Stage) {
        if let Some(ask) = self.entry(index).asks.get_mut(&id) {
            ask.stage = stage;
            ask.timer += 1;
        }
    }

    /// Sets a timer for the present stage of a request.
    fn set_timer(&mut self, index: ProcessIndex, id: u64, at: Timestamp) {
        let now = self.now();
        let Some(ask) = self.entry(index).asks.get(&id) else { return };
        let event = ProcessEvent::AskTimer { ask: id, timer: ask.timer };
        self.deliver_at(at.0.max(now.0 + 1) * 1_000, index, event);
    }

    /// Chooses an upstream for the next attempt, or waits for one.
    fn acquire(&mut self, index: ProcessIndex, id: u64) {
        let now = self.now();
        self.set_stage(index, id, Stage::Pooled);
        let it = self.entry(index);
        let Some(ask) = it.asks.get(&id) else { return };
        let (deadline, urgent) = (ask.deadline, ask.class.urgent);
        let Some(service) = ask.class.service.clone() else { return };
        if deadline <= now {
            let refusal = Refusal::not_run(RefusalReason::DeadlineExceeded, "no time is left");
            return self.refuse_ask(index, id, refusal);
        }
        let avoid = ask.avoid.clone();
        let Some(pool) = it.pools.get_mut(&service) else { return };
        if let Some(choice) = pool.router.choose(now, &avoid) {
            return self.chosen(index, id, &service, choice);
        }
        if urgent {
            pool.waiting.push_front(id);
        } else {
            pool.waiting.push_back(id);
        }
        self.set_timer(index, id, deadline);
    }

    /// Assigns waiting requests to upstreams that have room.
    pub(super) fn serve_waiting(&mut self, index: ProcessIndex, service: &ServiceId) {
        loop {
            let now = self.now();
            let it = self.entry(index);
            let Some(pool) = it.pools.get_mut(service) else { return };
            let Some(&id) = pool.waiting.front() else { return };
            let avoid = it.asks.get(&id).map(|it| it.avoid.clone()).unwrap_or_default();
            let Some(choice) = pool.router.choose(now, &avoid) else { return };
            pool.waiting.pop_front();
            self.chosen(index, id, service, choice);
        }
    }

    fn chosen(&mut self, index: ProcessIndex, id: u64, service: &ServiceId, choice: RouteChoice) {
        let now = self.now();
        let it = self.entry(index);
        let worker = it.pools.get(service).and_then(|it| it.router.worker(choice)).cloned();
        let (Some(worker), Some(ask)) = (worker, it.asks.get_mut(&id)) else { return };
        ask.attempts += 1;
        if ask.class.delivery == Delivery::Idempotent {
            return self.dispatch(index, id, choice, None);
        }
        let (spec, deadline) = (ask.spec.clone(), ask.deadline);
        let spec = JobSpec { deadline: Some(deadline), ..spec };
        self.set_stage(index, id, Stage::Admitting(choice));
        let shard = spec.id().shard(self.trace.header.shards);
        let body = ShardRequest::Admit { spec, upstream: worker, deadline };
        self.shard_request(index, id, shard, body, deadline);
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
        let born = self.processes[index].born;
        self.set_stage(index, id, Stage::Sent { choice, task, sent_us: now_us });
        let it = self.entry(index);
        let Some(ask) = it.asks.get(&id).cloned() else { return };
        let service = ask.class.service.clone();
        let pool = service.as_ref().and_then(|service| it.pools.get(service));
        let worker = pool.and_then(|it| it.router.worker(choice)).cloned();
        let worker = worker.and_then(|it| self.fleet.by_id.get(&it).copied());
        let Some(worker) = worker else {
            let refusal = Refusal::not_run(RefusalReason::NoUpstream, "the upstream left");
            return self.attempt_failed(index, id, refusal, false);
        };
        let deadline = match task {
            Some(_) => ask.deadline,
            None => attempt_deadline(&ask, now),
        };
        if self.processes[index].place.region != self.fleet.workers[worker].place.region {
            self.measures.remote_requests += 1;
        }
        self.upstream_send(UpstreamRequest {
            worker,
            from: index,
            born,
            ask: id,
            attempt: ask.attempts,
            caller: ask.caller,
            class: ask.class.id.clone(),
            task,
            run_ms: self.callers[ask.caller].work.run_ms,
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
        let service = it.asks.get(&id).and_then(|it| it.class.service.clone());
        let Some(service) = service else { return };
        if let Some(pool) = it.pools.get_mut(&service) {
            pool.router.end(now, choice, outcome);
        }
        self.serve_waiting(index, &service);
    }

    pub(super) fn upstream_answered(&mut self, index: ProcessIndex, answer: UpstreamAnswer) {
        let now_us = self.now_us;
        let it = self.entry(index);
        let Some(ask) = it.asks.get_mut(&answer.ask) else { return };
        // An answer to an earlier attempt is no longer used.
        if ask.attempts != answer.attempt {
            return;
        }
        let Stage::Sent { choice, task, sent_us } = ask.stage.clone() else { return };
        let took_us = now_us - sent_us;
        let id = answer.ask;
        match answer.end {
            UpstreamEnd::Answered(body) => {
                let member = ask.spec.member.clone();
                if let Some(member) = it.members.get_mut(&member) {
                    member.budget.on_success();
                }
                self.end_route(index, id, choice, RouteOutcome::Answered(took_us));
                match task {
                    None => self.end_ask(index, id, CallerAnswer::Served(body)),
                    Some(task) => self.complete(index, id, task, body),
                }
            }
            UpstreamEnd::Failed { verdict, overloaded, signal } => {
                ask.avoid.push(choice);
                let service = ask.class.service.clone();
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
        self.set_stage(index, id, Stage::Completing(body.clone()));
        let shard = task.job.shard(self.trace.header.shards);
        let outcome = Outcome::Succeeded { result: body };
        let request = ShardRequest::Complete { task, outcome };
        let until = now.plus_ms(COMPLETE_WAIT_MS);
        self.shard_request(index, id, shard, request, until);
        self.set_timer(index, id, until);
    }

    fn attempt_failed(&mut self, index: ProcessIndex, id: u64, refusal: Refusal, overloaded: bool) {
        let now = self.now();
        let Some(ask) = self.entry(index).asks.get(&id) else { return };
        let Stage::Sent { task: Some(task), .. } = ask.stage else {
            return self.decide_retry(index, id, refusal, overloaded);
        };
        // The owner of the shard must know that the attempt has ended, or that
        // it may still run, before another attempt can be bound.
        let shard = task.job.shard(self.trace.header.shards);
        let outcome = Outcome::Failed { refusal: refusal.clone() };
        self.set_stage(index, id, Stage::Failing(refusal, overloaded));
        let until = now.plus_ms(COMPLETE_WAIT_MS);
        self.shard_request(index, id, shard, ShardRequest::Complete { task, outcome }, until);
        self.set_timer(index, id, until);
    }

    fn decide_retry(&mut self, index: ProcessIndex, id: u64, refusal: Refusal, overloaded: bool) {
        let now = self.now();
        let it = self.entry(index);
        let Some(ask) = it.asks.get_mut(&id) else { return };
        ask.verdict = worse(ask.verdict, refusal.verdict);
        let (member, class) = (ask.spec.member.clone(), ask.class.clone());
        let expected_ms = class
            .service
            .as_ref()
            .and_then(|it_| it.pools.get(it_))
            .map_or(1, |it| (it.router.average_latency_us(Tier::Domain) / 1_000).max(1));
        let failed = FailedAttempt {
            delivery: class.delivery,
            verdict: ask.verdict,
            attempts: ask.attempts,
            overloaded,
            deadline: ask.deadline,
            expected_ms,
        };
        let Some(state) = it.members.get_mut(&member) else { return };
        match it.retry.decide(now, failed, &mut state.budget) {
            RetryDecision::RetryAt(at) => {
                self.measures.retries += 1;
                self.set_stage(index, id, Stage::Waiting);
                self.set_timer(index, id, at);
            }
            RetryDecision::GiveUp(reason) => {
                let again = reason != GiveUpReason::NotRepeatable && reason != GiveUpReason::Ran;
                let retry_at = again.then(|| now.plus_ms(RETRY_MS));
                self.refuse_ask(index, id, Refusal { retry_at, ..refusal });
            }
        }
    }

    pub(super) fn ask_timer(&mut self, index: ProcessIndex, id: u64, timer: u64) {
        if id == 0 {
            return self.retry_shard_call(index, RequestId(timer));
        }
        let now_us = self.now_us;
        let Some(ask) = self.entry(index).asks.get(&id) else { return };
        if ask.timer != timer {
            return;
        }
        let time_out = |verdict| {
            let detail = "no answer came in time".to_owned();
            let reason = RefusalReason::DeadlineExceeded;
            Refusal { verdict, reason, detail, retry_at: None }
        };
        match ask.stage.clone() {
            Stage::Pooled => {
                let refusal = Refusal::not_run(RefusalReason::NoUpstream, "no upstream had room");
                self.refuse_ask(index, id, refusal);
            }
            Stage::Admitting(choice) => {
                self.end_route(index, id, choice, RouteOutcome::Abandoned);
                self.refuse_ask(index, id, time_out(Verdict::MayHaveRun));
            }
            Stage::Sent { choice, sent_us, .. } => {
                if let Some(ask) = self.entry(index).asks.get_mut(&id) {
                    ask.avoid.push(choice);
                }
                let outcome = RouteOutcome::TimedOut(now_us - sent_us);
                self.end_route(index, id, choice, outcome);
                self.attempt_failed(index, id, time_out(Verdict::MayHaveRun), true);
            }
            Stage::Completing(body) => self.end_ask(index, id, CallerAnswer::Served(body)),
            Stage::Failing(refusal, overloaded) => {
                self.decide_retry(index, id, refusal, overloaded);
            }
            Stage::Following => self.refuse_ask(index, id, time_out(Verdict::MayHaveRun)),
            Stage::Waiting => self.acquire(index, id),
            Stage::Job => (),
        }
    }
}

/// Returns the deadline of an attempt, which leaves time for a retry if
/// possible.
fn attempt_deadline(ask: &Ask, now: Timestamp) -> Timestamp {
    let share_ms = now.ms_until(ask.deadline) / 2;
    let least_ms = MIN_ATTEMPT_MS.max(2 * ask.class.expected_run_ms);
    if mustardcove_core::retry::MAX_ATTEMPTS <= ask.attempts || share_ms < least_ms {
        return ask.deadline;
    }
    now.plus_ms(share_ms)
}

/// Returns the verdict on a request after one more failed attempt.
fn worse(before: Verdict, attempt: Verdict) -> Verdict {
    match (before, attempt) {
        (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
        (Verdict::NotRun, it) => it,
        (Verdict::MayHaveRun, _) => Verdict::MayHaveRun,
    }
}
