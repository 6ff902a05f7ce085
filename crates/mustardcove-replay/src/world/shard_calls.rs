//! Calls of entry processes to the owners of shards.
//!
//! They follow the rules of the real entry process: the owner is found by
//! rank, hints to another owner are followed, and the wait for a new owner is
//! bounded.

use mustardcove_core::{
    id::{ProcessId, RequestId, ShardId},
    message::{PeerMessage, ShardRequest, ShardResponse},
    ownership::{ProcessKind, SessionRecord, rank::preferred_shard_owner},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};

use super::{
    ProcessIndex, World,
    entry::Entry,
    process::{ProcessEvent, encoded_len},
};

/// Longest time that a call waits for a new owner, in milliseconds.
const OWNER_WAIT_MS: u64 = 4_000;

/// Delay after which a caller may try again when no owner was found, in
/// milliseconds.
const OWNER_RETRY_MS: u64 = 1_000;

/// Maximum number of hints that are followed in a row without a wait.
const MAX_HINTS: u32 = 4;

/// First and longest wait before the owner is looked up again, in
/// milliseconds.
const OWNER_LOOKUP_BACKOFF_MS: (u64, u64) = (20, 400);

/// Time after which a connection to a process that has ended is refused, in
/// microseconds.
const CONNECTION_REFUSED_US: u64 = 1_000;

/// A call to the owner of a shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardCall {
    pub(crate) caller_request: u64,
    shard: ShardId,
    pub(crate) body: ShardRequest,
    deadline: Timestamp,
    hint: Option<ProcessId>,
    hints_followed: u32,
    waiting_since: Option<Timestamp>,
    wait_ms: u64,
    verdict: Verdict,
    target: Option<ProcessId>,
    /// Number of attempts so far. It is meant to keep a late failure of one
    /// attempt from ending the next, but nothing checks it.
    pub(crate) attempts: u64,
}

impl Entry {
    fn target(&self, shard: ShardId, hint: Option<&ProcessId>) -> Option<ProcessId> {
        let schedulers = || self.sessions.iter().filter(|it| it.kind == ProcessKind::Scheduler);
        let live_scheduler = |id: &ProcessId| schedulers().find(|it| it.process == *id).cloned();
        let hinted = hint.and_then(live_scheduler);
        let known = || self.owners.get(&shard).and_then(live_scheduler);
        let ranked =
            || preferred_shard_owner(shard, schedulers().filter(|it| !it.draining)).cloned();
        let found: Option<SessionRecord> = hinted.or_else(known).or_else(ranked);
        found.map(|it| it.process)
    }
}

impl World {
    /// Calls the owner of a shard on behalf of a caller's request.
    pub(super) fn call_shard(
        &mut self,
        index: ProcessIndex,
        caller_request: u64,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) {
        let it = self.entry(index);
        it.next_request = it.next_request.next();
        let request = it.next_request;
        let call = ShardCall {
            caller_request,
            shard,
            body,
            deadline,
            hint: None,
            hints_followed: 0,
            waiting_since: None,
            wait_ms: OWNER_LOOKUP_BACKOFF_MS.0,
            verdict: Verdict::NotRun,
            target: None,
            attempts: 0,
        };
        it.calls.insert(request, call);
        self.try_shard_call(index, request);
    }

    fn try_shard_call(&mut self, index: ProcessIndex, request: RequestId) {
        let it = self.entry(index);
        let Some(call) = it.calls.get(&request) else { return };
        let (shard, hint) = (call.shard, call.hint.clone());
        let target = it.target(shard, hint.as_ref());
        let Some(call) = it.calls.get_mut(&request) else { return };
        call.hint = None;
        call.target = target.clone();
        call.attempts += 1;
        let body = call.body.clone();
        let Some(target) = target else { return self.wait_for_owner(index, request) };
        let Some(&to) = self.by_id.get(&target) else {
            return self.wait_for_owner(index, request);
        };
        let from = self.processes[index].id.clone();
        let is_remote = self.processes[index].location.region != self.processes[to].location.region;
        let message = PeerMessage::Request { shard, request, body };
        let bytes = if is_remote { encoded_len(&message) } else { 0 };
        let event = ProcessEvent::Peer { from, message };
        let has_ended = !self.processes[to].alive;
        if !self.send_to_process(index, to, bytes, event) && has_ended {
            let event = ProcessEvent::RequestFailed { request, verdict: Verdict::NotRun };
            self.deliver_at(self.now_us + CONNECTION_REFUSED_US, index, event);
        }
    }

    /// Schedules another lookup of the owner, or gives up.
    fn wait_for_owner(&mut self, index: ProcessIndex, request: RequestId) {
        let now = self.now();
        let it = self.entry(index);
        let Some(call) = it.calls.get_mut(&request) else { return };
        call.hints_followed = 0;
        call.target = None;
        let since = *call.waiting_since.get_or_insert(now);
        let give_up_at = since.plus_ms(OWNER_WAIT_MS).min(call.deadline);
        if give_up_at <= now {
            let refusal = no_owner(call, now);
            let Some(call) = it.calls.remove(&request) else { return };
            return self.shard_call_ended(index, call, Err(refusal));
        }
        let until = now.plus_ms(call.wait_ms).min(give_up_at);
        call.wait_ms = (call.wait_ms * 2).min(OWNER_LOOKUP_BACKOFF_MS.1);
        // Zero stands for no caller's request: the timer is that of the shard
        // call.
        let event = ProcessEvent::CallerRequestTimer { caller_request: 0, timer: request.0 };
        self.deliver_at(until.0.max(now.0 + 1) * 1_000, index, event);
    }

    /// Retries a call that waits for an owner.
    pub(super) fn retry_shard_call(&mut self, index: ProcessIndex, request: RequestId) {
        let is_waiting =
            self.entry(index).calls.get(&request).is_some_and(|it| it.target.is_none());
        if is_waiting {
            self.try_shard_call(index, request);
        }
    }

    pub(super) fn shard_answered(
        &mut self,
        index: ProcessIndex,
        request: RequestId,
        body: ShardResponse,
    ) {
        let it = self.entry(index);
        let Some(call) = it.calls.get_mut(&request) else { return };
        if let ShardResponse::NotOwner { hint } = body {
            let last_target = call.target.clone();
            let hint = hint.filter(|it| Some(it) != last_target.as_ref());
            it.owners.remove(&call.shard);
            if hint.is_some() && call.hints_followed < MAX_HINTS {
                call.hints_followed += 1;
                call.hint = hint;
                return self.try_shard_call(index, request);
            }
            return self.wait_for_owner(index, request);
        }
        if let Some(target) = call.target.clone() {
            it.owners.insert(call.shard, target);
        }
        let Some(call) = it.calls.remove(&request) else { return };
        self.shard_call_ended(index, call, Ok(body));
    }

    pub(super) fn shard_call_failed(
        &mut self,
        index: ProcessIndex,
        request: RequestId,
        verdict: Verdict,
    ) {
        let it = self.entry(index);
        let Some(call) = it.calls.get_mut(&request) else { return };
        it.owners.remove(&call.shard);
        if verdict != Verdict::NotRun {
            call.verdict = Verdict::MayHaveRun;
        }
        self.wait_for_owner(index, request);
    }

    /// Fails the calls whose targets are processes without a session.
    pub(super) fn fail_calls_to(&mut self, index: ProcessIndex, ended: &[ProcessId]) {
        let calls = self.entry(index).calls.iter();
        let is_affected = |it: &ShardCall| it.target.as_ref().is_some_and(|it| ended.contains(it));
        let affected = calls.filter(|(_, it)| is_affected(it));
        let affected: Vec<RequestId> = affected.map(|(request, _)| *request).collect();
        for request in affected {
            self.shard_call_failed(index, request, Verdict::MayHaveRun);
        }
    }
}

fn no_owner(call: &ShardCall, now: Timestamp) -> Refusal {
    let reason =
        if call.deadline <= now { RefusalReason::DeadlineExceeded } else { RefusalReason::NoOwner };
    let detail = format!("shard {} has no owner that answers", call.shard);
    Refusal { verdict: call.verdict, reason, detail, retry_at: Some(now.plus_ms(OWNER_RETRY_MS)) }
}
