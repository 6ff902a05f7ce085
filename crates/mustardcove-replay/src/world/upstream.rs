//! Upstreams of services, and the requests that entry processes send to them.
//!
//! An upstream works on a request until it is done or the deadline of the
//! request passes, even if the process that sent the request has ended.

use bytes::Bytes;
use mustardcove_core::{
    id::{ClassId, TaskId},
    membership::ConnectionSignal,
    time::Timestamp,
    verdict::Verdict,
};

use super::{ProcessIndex, WorkerPosition, World, process::ProcessEvent, queue::Event};
use crate::defect::Defect;

/// Size of a request and of an answer without their bodies, in bytes.
const REQUEST_BYTES: u64 = 400;

/// Time after which connecting to an unreachable upstream fails, in
/// microseconds.
const CONNECT_TIMEOUT_US: u64 = 300_000;

/// A request on its way to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) worker: WorkerPosition,
    pub(crate) from: ProcessIndex,
    pub(crate) incarnation: u64,
    pub(crate) caller_request: u64,
    pub(crate) attempt: u32,
    pub(crate) caller: usize,
    pub(crate) class: ClassId,
    pub(crate) task: Option<TaskId>,
    pub(crate) run_ms: u64,
    pub(crate) deadline: Timestamp,
}

/// A request that an upstream works on.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    request: UpstreamRequest,
    will_complete: bool,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Debug)]
pub(crate) enum UpstreamEnd {
    Answered(Bytes),
    Failed { verdict: Verdict, overloaded: bool, signal: Option<ConnectionSignal> },
}

/// An answer of an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) caller_request: u64,
    pub(crate) attempt: u32,
    pub(crate) end: UpstreamEnd,
}

impl World {
    /// Sends a request from an entry process to an upstream.
    pub(super) fn upstream_send(&mut self, request: UpstreamRequest) {
        let (source, target) = (&self.processes[request.from], &self.fleet.workers[request.worker]);
        if !target.alive
            || source.disconnected
            || !self.net.can_reach(&source.location, &target.location)
        {
            let signal = Some(ConnectionSignal::Refused);
            let end = UpstreamEnd::Failed { verdict: Verdict::NotRun, overloaded: false, signal };
            let delay_us = if target.alive { CONNECT_TIMEOUT_US } else { 1_000 };
            let event = answer(&request, end);
            return self.deliver_at(self.now_us + delay_us, request.from, event);
        }
        self.check_new_work(request.worker);
        let (source, target) = (&self.processes[request.from], &self.fleet.workers[request.worker]);
        let at = self.net.send(self.now_us, &source.location, &target.location, REQUEST_BYTES);
        self.queue.push(at, Event::UpstreamRequestArrived(Box::new(request)));
    }

    pub(super) fn upstream_request_arrived(&mut self, request: UpstreamRequest) {
        let it = &self.fleet.workers[request.worker];
        if !it.alive {
            let signal = Some(ConnectionSignal::Reset);
            return self.fail_request(&request, Verdict::MayHaveRun, signal);
        }
        if it.state.info.leaving {
            let signal = Some(ConnectionSignal::Draining);
            return self.fail_request(&request, Verdict::NotRun, signal);
        }
        if it.slots as usize <= it.active_requests.len() {
            self.fleet.workers[request.worker].queue.push_back(request);
            return;
        }
        self.start_request(request);
    }

    fn fail_request(
        &mut self,
        request: &UpstreamRequest,
        verdict: Verdict,
        signal: Option<ConnectionSignal>,
    ) {
        let end = UpstreamEnd::Failed { verdict, overloaded: false, signal };
        self.send_answer(request, end);
    }

    fn send_answer(&mut self, request: &UpstreamRequest, end: UpstreamEnd) {
        let source = &self.fleet.workers[request.worker].location;
        let target = &self.processes[request.from];
        if target.disconnected || !self.net.can_reach(source, &target.location) {
            return;
        }
        let bytes = match &end {
            UpstreamEnd::Answered(body) => REQUEST_BYTES + body.len() as u64,
            UpstreamEnd::Failed { .. } => REQUEST_BYTES,
        };
        let at = self.net.send(self.now_us, source, &target.location, bytes);
        let (to, incarnation) = (request.from, request.incarnation);
        let event = answer(request, end);
        self.queue.push(at, Event::Deliver { to, incarnation, event: Box::new(event) });
    }

    fn start_request(&mut self, request: UpstreamRequest) {
        let now = self.now();
        let worker = request.worker;
        if request.deadline <= now {
            return self.fail_request(&request, Verdict::NotRun, None);
        }
        self.advance_worker(worker);
        let trace_ms = self.trace_ms();
        let caller = &mut self.callers[request.caller];
        caller.service_starts += 1;
        if caller.was_refused_as_not_run() {
            let detail = format!("{} was refused as not run and runs now", caller.work.key);
            self.checks.violation("P5", trace_ms, detail);
        }
        let fleet = &mut self.fleet;
        let it = &mut fleet.workers[worker];
        *it.state.serving.entry(request.class.clone()).or_default() += 1;
        if let Some(task) = request.task {
            fleet.run_history.record_start(now, task, &it.state.info.id);
        }
        let slowdown = it.state.slowdown(&fleet.cfg, &request.class);
        let service_us = (request.run_ms as f64 * 1_000.0 * slowdown) as u64;
        let ends_us = self.now_us + service_us;
        let deadline_us = request.deadline.0 * 1_000;
        fleet.next_active_request += 1;
        let id = fleet.next_active_request;
        let will_complete = ends_us < deadline_us;
        it.active_requests.insert(id, ActiveRequest { request, will_complete });
        self.queue
            .push(ends_us.min(deadline_us), Event::UpstreamRequestEnded { worker, request: id });
        self.after_worker_update(worker);
    }

    pub(super) fn upstream_request_ended(&mut self, worker: WorkerPosition, request: u64) {
        let Some(it) = self.fleet.workers[worker].active_requests.remove(&request) else { return };
        self.advance_worker(worker);
        self.end_request(worker, &it);
        let end = if it.will_complete {
            let is_swapped = self.defect == Some(Defect::SwappedAnswers);
            let caller = it.request.caller.saturating_sub(usize::from(is_swapped));
            UpstreamEnd::Answered(self.callers[caller].expected_answer())
        } else {
            UpstreamEnd::Failed { verdict: Verdict::MayHaveRun, overloaded: true, signal: None }
        };
        self.send_answer(&it.request, end);
        self.after_worker_update(worker);
        if let Some(next) = self.fleet.workers[worker].queue.pop_front() {
            self.start_request(next);
        }
    }

    fn end_request(&mut self, worker: WorkerPosition, it: &ActiveRequest) {
        let fleet = &mut self.fleet;
        let state = &mut fleet.workers[worker].state;
        if let Some(task) = it.request.task {
            fleet.run_history.record_end(task, &state.info.id, it.will_complete);
            if self.defect == Some(Defect::Repeated) {
                let task = TaskId { job: task.job, attempt: task.attempt.next() };
                fleet.run_history.record_end(task, &state.info.id, it.will_complete);
            }
        }
        if let Some(count) = state.serving.get_mut(&it.request.class) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                state.serving.remove(&it.request.class);
            }
        }
    }

    /// Fails every request at a worker that has stopped.
    pub(super) fn reset_upstream(&mut self, worker: WorkerPosition) {
        let active_requests = std::mem::take(&mut self.fleet.workers[worker].active_requests);
        let queue = std::mem::take(&mut self.fleet.workers[worker].queue);
        for mut it in active_requests.into_values() {
            it.will_complete = false;
            self.end_request(worker, &it);
            self.fail_request(&it.request, Verdict::MayHaveRun, Some(ConnectionSignal::Reset));
        }
        for request in queue {
            self.fail_request(&request, Verdict::MayHaveRun, Some(ConnectionSignal::Reset));
        }
    }

    pub(super) fn probe_arrived(&mut self, worker: WorkerPosition, from: (ProcessIndex, u64)) {
        let (to, incarnation) = from;
        let it = &self.fleet.workers[worker];
        let target = &self.processes[to];
        if !it.alive || target.disconnected || !self.net.can_reach(&it.location, &target.location) {
            return;
        }
        let event =
            ProcessEvent::Probed { worker: it.state.info.id.clone(), ok: !it.state.info.leaving };
        let at = self.net.send(self.now_us, &it.location, &target.location, 100);
        self.queue.push(at, Event::Deliver { to, incarnation, event: Box::new(event) });
    }
}

fn answer(request: &UpstreamRequest, end: UpstreamEnd) -> ProcessEvent {
    let (caller_request, attempt) = (request.caller_request, request.attempt);
    ProcessEvent::Upstream(Box::new(UpstreamAnswer { caller_request, attempt, end }))
}
