//! Workers, their tasks and their reports.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use mustardcove_core::{
    id::{AttemptNumber, GroupId, JobId, RackId, TaskId, WorkerId},
    job::Checkpoint,
    node::NodeCall,
    ownership::record::group_for_worker,
    size::Resources,
    time::Timestamp,
    verdict::Verdict,
    worker::{
        StopMode, TaskEvent, TaskStatus, WorkerError, WorkerInfo, WorkerOp, WorkerReply,
        WorkerResult,
    },
};
use mustardcove_platform::memory::{FleetConfig, RunHistory, worker_state::WorkerState};

use super::{
    ProcessIndex, WorkerPosition, World,
    net::Location,
    process::ProcessEvent,
    queue::Event,
    upstream::{ActiveRequest, UpstreamRequest},
};
use crate::{defect::Defect, plan, trace::Header};

/// Time after which connecting to a dead or unreachable worker fails, in
/// microseconds.
const CONNECT_TIMEOUT_US: u64 = 300_000;

/// Size of a call to a worker and of its answer, and of each event of a
/// report, in bytes.
const CALL_BYTES: u64 = 120;

/// A call on its way to a worker.
#[derive(Debug)]
pub(crate) struct WorkerCall {
    from: ProcessIndex,
    incarnation: u64,
    call: NodeCall,
    worker: WorkerPosition,
    op: WorkerOp,
}

/// A worker with its upstreams.
pub(crate) struct Worker {
    pub(crate) state: WorkerState,
    pub(crate) location: Location,
    pub(crate) group: GroupId,
    pub(crate) alive: bool,
    pub(crate) listed: bool,
    pub(crate) leaving_since_us: Option<u64>,
    timer_at: Option<u64>,
    /// Processes that receive this worker's reports, with the sequence number
    /// of the last report that each received.
    pollers: BTreeMap<ProcessIndex, u64>,
    running: BTreeSet<TaskId>,
    /// Requests that the upstreams are working on.
    pub(crate) active_requests: BTreeMap<u64, ActiveRequest>,
    /// Requests that wait for a slot at an upstream.
    pub(crate) queue: VecDeque<UpstreamRequest>,
    pub(crate) slots: u32,
}

/// The workers, with the history of what they ran.
pub(crate) struct Fleet {
    pub(crate) cfg: FleetConfig,
    pub(crate) workers: Vec<Worker>,
    pub(crate) by_id: HashMap<WorkerId, WorkerPosition>,
    pub(crate) run_history: RunHistory,
    pub(crate) next_active_request: u64,
}

impl Fleet {
    pub(crate) fn new(header: &Header, infos: &[WorkerInfo], now: Timestamp, seed: u64) -> Fleet {
        let cfg = plan::fleet_config(header, seed);
        let mut fleet = Fleet {
            workers: Vec::new(),
            by_id: HashMap::new(),
            run_history: RunHistory::default(),
            next_active_request: 0,
            cfg,
        };
        for (index, info) in infos.iter().enumerate() {
            let seed = seed.wrapping_add(index as u64 + 1);
            fleet.by_id.insert(info.id.clone(), index);
            let location =
                Location { region: info.region.clone(), domain: Some(info.domain.clone()) };
            fleet.workers.push(Worker {
                group: group_for_worker(info, header.slices),
                slots: info.upstreams.iter().map(|it| it.slots).sum(),
                state: WorkerState::new(now, info.clone(), &fleet.cfg, seed),
                location,
                alive: true,
                listed: true,
                leaving_since_us: None,
                timer_at: None,
                pollers: BTreeMap::new(),
                running: BTreeSet::new(),
                active_requests: BTreeMap::new(),
                queue: VecDeque::new(),
            });
        }
        fleet
    }

    /// Returns the workers of a rack.
    pub(crate) fn workers_in_rack(&self, rack: &RackId) -> Vec<WorkerPosition> {
        let workers = self.workers.iter().enumerate();
        workers.filter(|(_, it)| it.state.info.rack == *rack).map(|(index, _)| index).collect()
    }

    /// Returns how much of each running job is saved in a checkpoint, in
    /// thousandths.
    pub(crate) fn saved_progress(&self) -> HashMap<JobId, u16> {
        let tasks = self.workers.iter().flat_map(|it| it.state.tasks());
        let saved = |it: TaskStatus| it.checkpoint.map_or(0, |it| it.progress_permille);
        tasks.map(|it| (it.task.job, saved(it))).collect()
    }

    /// Returns the tasks that are running on workers.
    pub(crate) fn running(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.workers.iter().flat_map(|it| it.running.iter().copied())
    }
}

impl World {
    pub(super) fn worker_call(
        &mut self,
        from: ProcessIndex,
        call: NodeCall,
        worker: WorkerId,
        op: WorkerOp,
    ) {
        let position = self.fleet.by_id.get(&worker).copied();
        let source = &self.processes[from];
        let reachable = position.filter(|it| {
            let it = &self.fleet.workers[*it];
            it.alive && !source.disconnected && self.net.can_reach(&source.location, &it.location)
        });
        let Some(position) = reachable else {
            let result = Err(WorkerError::Unreachable { verdict: Verdict::NotRun });
            let event = ProcessEvent::WorkerReply { call, worker, result };
            return self.deliver_at(self.now_us + CONNECT_TIMEOUT_US, from, event);
        };
        let bytes = match &op {
            WorkerOp::Renew { tasks, .. } => CALL_BYTES + 20 * tasks.len() as u64,
            WorkerOp::Start { start, .. } => CALL_BYTES + start.payload.len() as u64,
            _ => CALL_BYTES,
        };
        if matches!(op, WorkerOp::Start { .. }) {
            self.check_new_work(position);
        }
        let source = &self.processes[from];
        let location = &self.fleet.workers[position].location;
        let at = self.net.send(self.now_us, &source.location, location, bytes);
        let call = WorkerCall { from, incarnation: source.incarnation, call, worker: position, op };
        self.queue.push(at, Event::WorkerCallArrived(Box::new(call)));
    }

    /// Checks P7 when work is sent to a worker.
    pub(super) fn check_new_work(&mut self, worker: WorkerPosition) {
        let Some(since_us) = self.fleet.workers[worker].leaving_since_us else { return };
        let after_ms = (self.now_us - since_us) / 1_000;
        self.metrics.leaving_ms = self.metrics.leaving_ms.max(after_ms);
        let trace_ms = self.trace_ms();
        let name = self.fleet.workers[worker].state.info.id.clone();
        self.checks.check_new_work_on_leaving(trace_ms, &name, after_ms);
    }

    pub(super) fn worker_call_arrived(&mut self, call: WorkerCall) {
        let WorkerCall { from, incarnation, call, worker, op } = call;
        if !self.fleet.workers[worker].alive {
            let id = self.fleet.workers[worker].state.info.id.clone();
            let result = Err(WorkerError::Unreachable { verdict: Verdict::MayHaveRun });
            let event = ProcessEvent::WorkerReply { call, worker: id, result };
            let at = self.now_us + CONNECT_TIMEOUT_US;
            return self
                .queue
                .push(at, Event::Deliver { to: from, incarnation, event: Box::new(event) });
        }
        self.advance_worker(worker);
        if let WorkerOp::Start { start, .. } = &op {
            // Advances that worker first, so that an attempt which has already
            // ended there does not count as an overlap.
            let on = self.fleet.run_history.running(start.task.job).map(|(_, on)| on.clone());
            if let Some(other) = on.and_then(|it| self.fleet.by_id.get(&it).copied()) {
                self.advance_worker(other);
            }
        }
        let result = self.apply_op(worker, op);
        self.after_worker_update(worker);
        self.reply_from_worker(from, incarnation, call, worker, result);
    }

    fn apply_op(&mut self, worker: WorkerPosition, op: WorkerOp) -> WorkerResult {
        let now = self.now();
        let trace_ms = self.trace_ms();
        let to_start = match &op {
            WorkerOp::Start { start, .. } => Some((start.task, start.resume_from.clone())),
            _ => None,
        };
        let to_stop = match &op {
            WorkerOp::Stop { task, mode: StopMode::Checkpoint, .. } => Some(*task),
            _ => None,
        };
        let Fleet { cfg, workers, run_history, .. } = &mut self.fleet;
        let was_running =
            to_start.as_ref().is_some_and(|it| workers[worker].running.contains(&it.0));
        let result = workers[worker].state.apply(now, cfg, op, run_history);
        if let Some((task, resume_from)) = to_start {
            let is_running = workers[worker].state.tasks().any(|it| it.task == task);
            if is_running && !was_running {
                self.inject_start_defect(worker, task);
                self.checks.attempt_started(trace_ms, task, resume_from.as_ref());
                self.task_started(task);
            }
        }
        if let (Some(task), Ok(WorkerReply::Stopping)) = (to_stop, &result) {
            let state = &self.fleet.workers[worker].state;
            let event = state.last_event().filter(|it| it.1 == task).map(|it| &it.2);
            self.checks.task_stopped(task, &state.info.id, event);
        }
        result
    }

    /// Applies the defects that concern a task that has just started.
    fn inject_start_defect(&mut self, worker: WorkerPosition, task: TaskId) {
        let now = self.now();
        let other = (worker + 1) % self.fleet.workers.len();
        match self.defect {
            Some(Defect::Overcommitted) => {
                self.fleet.workers[worker].state.info.capacity = Resources::ZERO;
            }
            Some(Defect::Doubled) => {
                let other = self.fleet.workers[other].state.info.id.clone();
                let task = TaskId { job: task.job, attempt: task.attempt.next() };
                self.fleet.run_history.record_start(now, task, &other);
            }
            Some(Defect::ForgottenCheckpoint) => {
                let id = self.fleet.workers[worker].state.info.id.clone();
                let earlier = TaskId { job: task.job, attempt: AttemptNumber(0) };
                let checkpoint = Checkpoint { token: "ms-1".to_owned(), progress_permille: 1 };
                let event = TaskEvent::Stopped { checkpoint: Some(checkpoint) };
                self.checks.task_stopped(earlier, &id, Some(&event));
            }
            _ => (),
        }
    }

    fn reply_from_worker(
        &mut self,
        to: ProcessIndex,
        incarnation: u64,
        call: NodeCall,
        worker: WorkerPosition,
        result: WorkerResult,
    ) {
        let source = &self.fleet.workers[worker];
        let target = &self.processes[to];
        let id = source.state.info.id.clone();
        if target.disconnected || !self.net.can_reach(&source.location, &target.location) {
            // The answer is lost; the timeout at the calling process ends the
            // call.
            return;
        }
        let at = self.net.send(self.now_us, &source.location, &target.location, CALL_BYTES);
        let event = ProcessEvent::WorkerReply { call, worker: id, result };
        self.queue.push(at, Event::Deliver { to, incarnation, event: Box::new(event) });
    }

    pub(super) fn worker_timer(&mut self, worker: WorkerPosition) {
        if self.fleet.workers[worker].timer_at != Some(self.now_us) {
            return;
        }
        self.fleet.workers[worker].timer_at = None;
        self.advance_worker(worker);
        self.after_worker_update(worker);
    }

    /// Advances a worker to the present time.
    pub(super) fn advance_worker(&mut self, worker: WorkerPosition) {
        let now = self.now();
        let Fleet { cfg, workers, run_history, .. } = &mut self.fleet;
        if workers[worker].alive {
            workers[worker].state.advance(now, cfg, run_history);
        }
        self.update_running_tasks(worker);
    }

    /// Updates the set of running tasks, handles those that ended, and checks
    /// P1.
    fn update_running_tasks(&mut self, worker: WorkerPosition) {
        let mut running = BTreeSet::new();
        let mut used = Resources::ZERO;
        let it = &mut self.fleet.workers[worker];
        for task in it.state.tasks() {
            used = used.saturating_add(task.resources);
            running.insert(task.task);
        }
        let ended: Vec<TaskId> = it.running.difference(&running).copied().collect();
        it.running = running;
        if !used.fits_in(it.state.info.capacity) {
            let detail = format!("{} runs more than it can hold", it.state.info.id);
            let trace_ms = self.trace_ms();
            self.checks.violation("P1", trace_ms, detail);
        }
        for task in ended {
            self.task_ended(task);
        }
    }

    /// Sends the reports that are due and schedules the worker's next event.
    pub(super) fn after_worker_update(&mut self, worker: WorkerPosition) {
        self.update_running_tasks(worker);
        self.send_reports(worker);
        let now_us = self.now_us;
        let Fleet { cfg, workers, .. } = &mut self.fleet;
        let it = &mut workers[worker];
        if !it.alive {
            return;
        }
        let Some(next) = it.state.next_event_at(cfg) else { return };
        let at = (next.0 * 1_000).max(now_us + 1_000);
        if it.timer_at.is_none_or(|timer_at| timer_at != at) {
            it.timer_at = Some(at);
            self.queue.push(at, Event::WorkerTimer(worker));
        }
    }

    fn send_reports(&mut self, worker: WorkerPosition) {
        let now = self.now();
        let pollers: Vec<(ProcessIndex, u64)> =
            self.fleet.workers[worker].pollers.iter().map(|(to, after)| (*to, *after)).collect();
        for (to, after) in pollers {
            let it = &mut self.fleet.workers[worker];
            let target = &self.processes[to];
            let can_reach =
                !target.disconnected && self.net.can_reach(&it.location, &target.location);
            if !it.alive || !can_reach || !target.alive || !it.state.has_updates(now, after) {
                continue;
            }
            let report = it.state.take_report(now, after);
            it.pollers.insert(to, report.sequence);
            let events: usize = report.events.len() + report.samples.len();
            let bytes = CALL_BYTES * (1 + events as u64);
            let at = self.net.send(self.now_us, &it.location, &target.location, bytes);
            self.deliver_at(at, to, ProcessEvent::Report(report));
        }
    }

    /// Starts or stops sending a process the reports of a group's workers.
    pub(super) fn set_report_polling(
        &mut self,
        process: ProcessIndex,
        group: &GroupId,
        enabled: bool,
    ) {
        for worker in 0..self.fleet.workers.len() {
            if self.fleet.workers[worker].group != *group {
                continue;
            }
            if enabled {
                self.fleet.workers[worker].pollers.insert(process, 0);
                self.send_reports(worker);
            } else {
                self.fleet.workers[worker].pollers.remove(&process);
            }
        }
    }

    pub(super) fn remove_poller(&mut self, process: ProcessIndex) {
        for it in &mut self.fleet.workers {
            it.pollers.remove(&process);
        }
    }

    /// Stops a worker, or starts a new incarnation of it without tasks.
    pub(super) fn restart_worker(&mut self, worker: WorkerPosition, alive: bool) {
        self.advance_worker(worker);
        let now = self.now();
        let Fleet { workers, run_history, .. } = &mut self.fleet;
        workers[worker].state.restart(now, run_history);
        workers[worker].alive = alive;
        workers[worker].timer_at = None;
        self.update_running_tasks(worker);
        self.reset_upstream(worker);
        let id = self.fleet.workers[worker].state.info.id.clone();
        self.checks.worker_restarted(&id);
    }
}
