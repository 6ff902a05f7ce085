//! Callers: clients that submit jobs and service requests, and the answers
//! that they receive.

use bytes::Bytes;
use mustardcove_core::{
    class::{Class, ClassKind, Delivery},
    id::{ClassId, IdempotencyKey, JobId, MemberId, TaskId},
    job::{BodyDigest, JobSpec, Outcome},
    ownership::ProcessKind,
    size::Resources,
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use mustardcove_platform::memory::WorkSpec;
use rand::RngExt;

use super::{ProcessIndex, World, process::ProcessEvent, process::Role, queue::Event};
use crate::{
    defect::Defect,
    trace::{Arrival, CancelEvent, Stream},
};

/// Delay before a caller repeats a request, unless the answer gave a time, in
/// milliseconds.
const CALLER_RETRY_MS: u64 = 1_000;

/// Maximum number of times that the caller of a service repeats a request
/// after a lost connection.
const MAX_RECONNECTS: u32 = 3;

/// What a caller submits.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) member: MemberId,
    pub(crate) class: ClassId,
    pub(crate) key: IdempotencyKey,
    size: Resources,
    pub(crate) run_ms: u64,
    declared_run_ms: u64,
    checkpoint_ms: u64,
    deadline_ms: u64,
    answer_bytes: usize,
}

/// State of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerState {
    /// The caller waits for an answer, or to send the request again.
    Pending,
    /// The job was accepted.
    Accepted,
    /// The job or request succeeded.
    Succeeded,
    /// The job or request failed, or was refused for good.
    Refused(Verdict),
    /// The job was cancelled.
    Cancelled,
}

/// An answer to a caller.
#[derive(Debug)]
pub(crate) enum CallerAnswer {
    Accepted,
    Served(Bytes),
    Refused(Refusal),
    /// The connection was lost.
    ConnectionLost,
}

/// A client that submits one job or makes one service request.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) work: Work,
    pub(crate) kind: ClassKind,
    pub(crate) delivery: Delivery,
    pub(crate) urgent: bool,
    pub(crate) job: JobId,
    pub(crate) state: CallerState,
    pub(crate) arrived_us: u64,
    pub(crate) answered_us: Option<u64>,
    pub(crate) first_start_us: Option<u64>,
    pub(crate) stopped_us: Option<u64>,
    pub(crate) is_running: bool,
    /// Time since which no attempt has been running, if none is.
    pub(crate) idle_since_us: u64,
    pub(crate) accepted: bool,
    pub(crate) wants_cancel: bool,
    reconnects: u32,
    requests_sent: u64,
    /// Whether every answer so far said that the request did not run.
    all_not_run: bool,
    /// Number of times that an upstream started to work on the request.
    pub(crate) service_starts: u32,
    pub(crate) entry: Option<ProcessIndex>,
}

impl Caller {
    /// Returns the complete answer that this caller should receive.
    pub(crate) fn expected_answer(&self) -> Bytes {
        let mut body = self.work.key.as_str().as_bytes().to_vec();
        body.resize(body.len().max(self.work.answer_bytes), b'.');
        body.into()
    }

    /// Reports whether the caller was told that its request never ran, and has
    /// no request in flight.
    pub(crate) fn was_refused_as_not_run(&self) -> bool {
        self.all_not_run && matches!(self.state, CallerState::Refused(Verdict::NotRun))
    }

    /// Returns the specification that the caller submits.
    pub(crate) fn spec(&self) -> JobSpec {
        let work = WorkSpec {
            work_ms: self.work.run_ms,
            checkpoint_every_ms: self.work.checkpoint_ms,
            result: self.work.key.to_string(),
            result_bytes: self.work.answer_bytes,
            fails: false,
        };
        let payload = match self.kind {
            ClassKind::Service => Bytes::from(self.work.key.to_string()),
            ClassKind::Batch | ClassKind::Watcher => work.to_payload(),
        };
        JobSpec {
            member: self.work.member.clone(),
            key: self.work.key.clone(),
            class: self.work.class.clone(),
            resources: self.work.size,
            expected_run_ms: self.work.declared_run_ms,
            deadline: None,
            digest: BodyDigest::of(&self.work.class, &payload),
            payload,
        }
    }

    /// Returns the time after which the answer is of no use.
    pub(crate) fn deadline(&self) -> Timestamp {
        match self.work.deadline_ms {
            0 => Timestamp(self.arrived_us / 1_000).plus_ms(60_000),
            ms => Timestamp(self.arrived_us / 1_000).plus_ms(ms),
        }
    }
}

impl World {
    fn class(&self, id: &ClassId) -> Option<Class> {
        self.trace.header.classes.iter().find(|it| it.id == *id).cloned()
    }

    pub(super) fn arrival(&mut self, it: &Arrival) {
        self.add_caller(Work {
            member: it.member.clone(),
            class: it.class.clone(),
            key: it.key.clone(),
            size: it.size,
            run_ms: it.run_ms,
            declared_run_ms: it.declared_run_ms,
            checkpoint_ms: it.checkpoint_ms,
            deadline_ms: it.deadline_ms,
            answer_bytes: it.answer_bytes,
        });
    }

    /// Handles an arrival of a stream and schedules the next one.
    pub(super) fn stream_arrival(&mut self, index: usize, it: &Stream) {
        let run_ms = self.rng.random_range(it.run_ms[0]..=it.run_ms[1]);
        let number = self.callers.len();
        self.add_caller(Work {
            member: it.member.clone(),
            class: it.class.clone(),
            key: format!("{}-{number}", it.key).parse().expect("a valid key"),
            size: it.size,
            run_ms,
            declared_run_ms: it.declared_run_ms,
            checkpoint_ms: it.checkpoint_ms,
            deadline_ms: it.deadline_ms,
            answer_bytes: it.answer_bytes,
        });
        self.schedule_stream(index, it);
    }

    pub(super) fn schedule_stream(&mut self, index: usize, it: &Stream) {
        let load_factors =
            self.load_factors.get(&it.class).copied().unwrap_or(self.default_load_factor);
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap_us = -draw.ln() * 1_000_000.0 / (it.per_s * load_factors);
        let at = self.now_us + gap_us as u64;
        if at < self.trace_time_us(it.to_ms) {
            self.queue.push(at, Event::StreamArrival(index));
        }
    }

    fn add_caller(&mut self, work: Work) {
        let Some(class) = self.class(&work.class) else { return };
        let job = JobId::new(&work.member, &work.key);
        let caller = Caller {
            kind: class.kind,
            delivery: class.delivery,
            urgent: class.urgent,
            job,
            state: CallerState::Pending,
            arrived_us: self.now_us,
            answered_us: None,
            first_start_us: None,
            stopped_us: None,
            is_running: false,
            idle_since_us: self.now_us,
            accepted: false,
            wants_cancel: false,
            reconnects: 0,
            requests_sent: 0,
            all_not_run: true,
            service_starts: 0,
            entry: None,
            work,
        };
        let index = self.callers.len();
        self.checks.add_caller(job, index, &caller);
        self.callers.push(caller);
        self.send_caller_request(index);
    }

    /// Sends a caller's request to the next entry process that is ready.
    pub(super) fn send_caller_request(&mut self, caller: usize) {
        let entries = (0..self.processes.len()).filter(|it| {
            let it = &self.processes[*it];
            let is_ready = matches!(&it.role, Role::Entry(entry) if entry.is_ready());
            it.alive && !it.disconnected && is_ready && it.stopping_since_us.is_none()
        });
        let entries: Vec<ProcessIndex> = entries.collect();
        if entries.is_empty() {
            let at = self.now_us + CALLER_RETRY_MS * 1_000;
            return self.queue.push(at, Event::CallerSends(caller));
        }
        self.next_entry += 1;
        let to = entries[self.next_entry % entries.len()];
        let it = &mut self.callers[caller];
        it.requests_sent += 1;
        it.entry = Some(to);
        let at = self.now_us + self.net.client_us();
        self.deliver_at(at, to, ProcessEvent::CallerRequest(caller));
    }

    /// Sends an answer to a caller.
    pub(super) fn answer_caller(&mut self, caller: usize, answer: CallerAnswer) {
        let at = self.now_us + self.net.client_us();
        let answer = Box::new(answer);
        self.queue.push(at, Event::CallerAnswered { caller, answer });
    }

    /// Breaks the connections of callers to a process that has ended.
    pub(super) fn break_connections(&mut self, process: ProcessIndex) {
        if self.processes[process].plan.kind != ProcessKind::Entry {
            return;
        }
        for caller in 0..self.callers.len() {
            let it = &self.callers[caller];
            let is_waiting = it.state == CallerState::Pending || it.wants_cancel;
            if it.entry == Some(process) && is_waiting {
                self.answer_caller(caller, CallerAnswer::ConnectionLost);
            }
        }
    }

    pub(super) fn caller_answered(&mut self, caller: usize, answer: CallerAnswer) {
        let now_us = self.now_us;
        let trace_ms = self.trace_ms();
        let it = &mut self.callers[caller];
        it.entry = None;
        if it.state != CallerState::Pending {
            return self.cancel_answered(caller, answer);
        }
        match answer {
            CallerAnswer::Accepted => {
                it.accepted = true;
                it.state = CallerState::Accepted;
                it.answered_us = Some(now_us);
            }
            CallerAnswer::Served(_) if self.defect == Some(Defect::FalseRefusal) => {
                let refusal = Refusal::not_run(RefusalReason::Invalid, "refused on purpose");
                self.caller_refused(caller, refusal);
            }
            CallerAnswer::Served(body) => {
                it.state = CallerState::Succeeded;
                it.answered_us = Some(now_us);
                if body != it.expected_answer() {
                    let detail = format!("{} got an answer that is not its own", it.work.key);
                    self.checks.violation("P4", trace_ms, detail);
                }
                self.metrics.record_latency(&it.work.class, now_us - it.arrived_us);
            }
            CallerAnswer::Refused(refusal) => self.caller_refused(caller, refusal),
            CallerAnswer::ConnectionLost => {
                it.all_not_run = false;
                it.reconnects += 1;
                let may_retry = it.kind != ClassKind::Service || it.reconnects <= MAX_RECONNECTS;
                if may_retry {
                    self.send_caller_request(caller);
                } else {
                    it.state = CallerState::Refused(Verdict::MayHaveRun);
                }
            }
        }
    }

    /// Handles an answer to a cancellation, which is repeated until it is
    /// accepted.
    fn cancel_answered(&mut self, caller: usize, answer: CallerAnswer) {
        let it = &self.callers[caller];
        if !it.wants_cancel || it.state != CallerState::Accepted {
            return;
        }
        let default_us = self.now_us + CALLER_RETRY_MS * 1_000;
        let at = match answer {
            CallerAnswer::Refused(refusal) => refusal.retry_at.map(|it| it.0 * 1_000),
            CallerAnswer::ConnectionLost => None,
            CallerAnswer::Accepted | CallerAnswer::Served(_) => return,
        };
        let at = at.unwrap_or(default_us).max(self.now_us + 1_000);
        self.queue.push(at, Event::CallerSends(caller));
    }

    fn caller_refused(&mut self, caller: usize, refusal: Refusal) {
        let now_us = self.now_us;
        let it = &mut self.callers[caller];
        it.all_not_run &= refusal.verdict == Verdict::NotRun;
        let is_final = matches!(
            refusal.reason,
            RefusalReason::Invalid
                | RefusalReason::Forbidden
                | RefusalReason::KeyReused
                | RefusalReason::NeverRunnable
                | RefusalReason::OverCap
                | RefusalReason::TooLarge
                | RefusalReason::Cancelled
        );
        if it.kind != ClassKind::Service && !is_final {
            // Jobs are submitted again with the same key until they are
            // accepted.
            let at = refusal.retry_at.map_or(now_us + CALLER_RETRY_MS * 1_000, |it| it.0 * 1_000);
            return self.queue.push(at.max(now_us + 1_000), Event::CallerSends(caller));
        }
        it.state = CallerState::Refused(refusal.verdict);
        it.answered_us = Some(now_us);
        let (class, key, service_starts) =
            (it.work.class.clone(), it.work.key.clone(), it.service_starts);
        let (was_refused_as_not_run, job) = (it.was_refused_as_not_run(), it.job);
        self.metrics.record_refusal(&class, &refusal);
        let trace_ms = self.trace_ms();
        if was_refused_as_not_run
            && (service_starts != 0 || self.checks.has_run(&self.fleet.run_history, job))
        {
            let detail = format!("{key} was refused as not run and had run: {refusal}");
            self.checks.violation("P5", trace_ms, detail);
        }
    }

    pub(super) fn cancel_jobs(&mut self, it: &CancelEvent) {
        let mut remaining = it.count;
        for caller in 0..self.callers.len() {
            let is_accepted = matches!(self.callers[caller].state, CallerState::Accepted);
            let matches = self.callers[caller].work.key.as_str().starts_with(it.key.as_str());
            if remaining == 0 || !is_accepted || !matches || self.callers[caller].wants_cancel {
                continue;
            }
            remaining -= 1;
            self.callers[caller].wants_cancel = true;
            self.callers[caller].stopped_us = None;
            self.send_caller_request(caller);
        }
    }

    /// Records that an attempt started on a worker.
    pub(super) fn task_started(&mut self, task: TaskId) {
        let now_us = self.now_us;
        let Some(caller) = self.checks.caller_of(task.job) else { return };
        let it = &mut self.callers[caller];
        it.is_running = true;
        if it.first_start_us.is_none() {
            it.first_start_us = Some(now_us);
            if it.urgent {
                self.metrics.record_urgent_start((now_us - it.arrived_us) / 1_000);
            }
        }
        if let Some(stopped_us) = it.stopped_us.take()
            && it.kind == ClassKind::Watcher
        {
            self.metrics.record_watcher_absence((now_us - stopped_us) / 1_000);
        }
        if it.was_refused_as_not_run() {
            let detail = format!("{} was refused as not run and runs now", it.work.key);
            let trace_ms = self.trace_ms();
            self.checks.violation("P5", trace_ms, detail);
        }
    }

    /// Records that an attempt is no longer running on a worker.
    pub(super) fn task_ended(&mut self, task: TaskId) {
        let now_us = self.now_us;
        let trace_ms = self.trace_ms();
        let Some(caller) = self.checks.caller_of(task.job) else { return };
        let it = &mut self.callers[caller];
        it.is_running = false;
        it.idle_since_us = now_us;
        self.checks.run_ended(trace_ms, task.job, &self.fleet.run_history);
        if !it.wants_cancel && it.state == CallerState::Accepted {
            it.stopped_us = Some(now_us);
        }
    }

    /// Records the outcome of a job once it is durable.
    pub(super) fn job_ended(&mut self, job: JobId, outcome: &Outcome) {
        let Some(caller) = self.checks.caller_of(job) else { return };
        let trace_ms = self.trace_ms();
        let it = &mut self.callers[caller];
        if it.kind == ClassKind::Service {
            return;
        }
        it.stopped_us = None;
        match outcome {
            Outcome::Succeeded { result } => {
                if *result != it.expected_answer() {
                    let detail = format!("{} has a result that is not its own", it.work.key);
                    self.checks.violation("P4", trace_ms, detail);
                }
                it.state = CallerState::Succeeded;
                self.metrics.record_job_success(&it.work.class, it.work.run_ms);
            }
            Outcome::Failed { refusal } => {
                it.state = CallerState::Refused(refusal.verdict);
                self.metrics.record_refusal(&it.work.class, refusal);
            }
            Outcome::Cancelled => {
                it.state = CallerState::Cancelled;
            }
        }
    }
}
