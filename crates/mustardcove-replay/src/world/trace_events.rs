//! Applies the events of the trace.

use mustardcove_core::node::NodeEvent;
use mustardcove_core::ownership::ProcessKind;

use super::{ProcessIndex, World, process::ProcessEvent, queue::Event};
use crate::defect::Defect;
use crate::trace::{
    ProcessAction, ProcessEvent as TraceProcessEvent, RackAction, RegionAction, RegionEvent,
    StoreAction, StoreEvent, TraceEvent, WorkerAction, WorkerEvent,
};

impl World {
    pub(super) fn trace_event(&mut self, index: usize, event: &TraceEvent) {
        match event {
            TraceEvent::Arrival(it) => self.arrival(it),
            TraceEvent::Stream(it) => self.schedule_stream(index, it),
            TraceEvent::Cancel(it) => self.cancel_jobs(it),
            TraceEvent::Load(it) => match &it.class {
                Some(class) => {
                    self.load_factors.insert(class.clone(), it.factor);
                }
                None => {
                    self.load_factors.clear();
                    self.default_load_factor = it.factor;
                }
            },
            TraceEvent::Report(it) => {
                self.fleet.cfg.sample_delay_ms = it.lag_ms;
                self.fleet.cfg.sample_noise = it.noise;
                self.fleet.cfg.sample_loss_permille = it.loss_permille;
            }
            TraceEvent::Worker(it) => self.worker_event(it),
            TraceEvent::Process(it) => self.process_trace_event(it),
            TraceEvent::Rack(it) => {
                for worker in self.fleet.workers_in_rack(&it.rack) {
                    self.set_worker_alive(worker, it.action == RackAction::Restored);
                }
            }
            TraceEvent::Store(it) => self.store_trace_event(it),
            TraceEvent::Region(it) => self.region_event(it),
            TraceEvent::Configuration(it) => self.change_agreement(it),
            TraceEvent::Operators(it) => self.race_operators(it),
        }
    }

    fn set_worker_alive(&mut self, worker: usize, alive: bool) {
        self.restart_worker(worker, alive);
        self.fleet.workers[worker].listed = alive;
        self.schedule_instance_list();
    }

    fn worker_event(&mut self, it: &WorkerEvent) {
        let Some(&worker) = self.fleet.by_id.get(&it.worker) else { return };
        match it.action {
            WorkerAction::Failure => self.set_worker_alive(worker, false),
            WorkerAction::Restart => self.set_worker_alive(worker, true),
            WorkerAction::Leaving => {
                self.fleet.workers[worker].leaving_since_us = Some(self.now_us);
                if self.defect == Some(Defect::SilentLeaving) {
                    return;
                }
                self.fleet.workers[worker].state.info.leaving = true;
                self.schedule_instance_list();
            }
            WorkerAction::FailsEverything => {
                self.fleet.workers[worker].state.fails_everything = true;
            }
            WorkerAction::Recovers => {
                let it = &mut self.fleet.workers[worker];
                it.state.fails_everything = false;
                it.state.info.leaving = false;
                it.leaving_since_us = None;
                self.schedule_instance_list();
            }
        }
    }

    /// Publishes a change of the instances in the instance list after its lag.
    fn schedule_instance_list(&mut self) {
        let at = self.now_us + self.trace.header.list_lag_ms * 1_000;
        self.queue.push(at, Event::InstanceListChanged);
    }

    pub(super) fn instance_list_changed(&mut self) {
        let listed = self.fleet.workers.iter().filter(|it| it.listed);
        self.instance_list = listed.map(|it| it.state.info.clone()).collect();
        self.instance_list_version += 1;
        for index in 0..self.processes.len() {
            if self.processes[index].alive && !self.processes[index].disconnected {
                let list = self.instance_list.clone();
                let event = ProcessEvent::Workers { version: self.instance_list_version, list };
                self.deliver_at(self.now_us + 1_000, index, event);
            }
        }
    }

    fn process_trace_event(&mut self, it: &TraceProcessEvent) {
        let Some(index) = self.processes.iter().position(|p| p.plan.name == it.process) else {
            return;
        };
        match it.action {
            ProcessAction::Kill => self.end_process(index),
            ProcessAction::Restart => {
                self.end_process(index);
                let plan = self.processes[index].plan.clone();
                let process = self.new_process(plan);
                self.by_id.remove(&self.processes[index].id);
                self.by_id.insert(process.id.clone(), index);
                self.processes[index] = process;
                self.start_process(index);
            }
            ProcessAction::Pause => self.processes[index].paused = true,
            ProcessAction::Resume => self.resume(index),
            ProcessAction::Stop => self.stop_process(index),
            ProcessAction::Cut => {
                self.processes[index].disconnected = true;
                self.fail_watches();
            }
            ProcessAction::Restored => {
                self.processes[index].disconnected = false;
                self.reconnected(index);
            }
        }
    }

    fn reconnected(&mut self, index: ProcessIndex) {
        self.processes[index].reachable_since_us = self.now_us;
        let list = ProcessEvent::Workers {
            version: self.instance_list_version,
            list: self.instance_list.clone(),
        };
        self.deliver_at(self.now_us, index, list);
        self.connect(index);
    }

    fn stop_process(&mut self, index: ProcessIndex) {
        if !self.processes[index].alive || self.processes[index].stopping_since_us.is_some() {
            return;
        }
        self.processes[index].stopping_since_us = Some(self.now_us);
        if self.defect == Some(Defect::IgnoredStop) {
            return;
        }
        match self.processes[index].plan.kind {
            ProcessKind::Scheduler => self.node_event(index, NodeEvent::Drain),
            ProcessKind::Entry => self.stop_entry(index),
        }
        self.schedule_tick(index);
    }

    /// Ends a process that has finished draining.
    pub(super) fn process_stopped(&mut self, index: ProcessIndex) {
        if let Some(since_us) = self.processes[index].stopping_since_us {
            let took_ms = (self.now_us - since_us) / 1_000;
            self.metrics.stop_ms = self.metrics.stop_ms.max(took_ms);
            self.metrics.stops += 1;
            let trace_ms = self.trace_ms();
            let name = self.processes[index].plan.name.clone();
            self.checks.check_process_stop(trace_ms, &name, took_ms);
        }
        self.end_process(index);
    }

    /// Checks P8 for stops that are still in progress at the end of the trace.
    pub(super) fn check_stops(&mut self) {
        let (trace_ms, now_us) = (self.trace_ms(), self.now_us);
        for it in self.processes.iter().filter(|it| it.alive) {
            if let Some(since_us) = it.stopping_since_us {
                let took_ms = (now_us - since_us) / 1_000;
                self.checks.check_process_stop(trace_ms, &it.plan.name, took_ms);
            }
        }
    }

    fn end_process(&mut self, index: ProcessIndex) {
        if !self.processes[index].alive {
            return;
        }
        self.processes[index].alive = false;
        self.remove_poller(index);
        self.break_connections(index);
        self.break_requests(index);
    }

    /// Tells entry processes that their connections to an ended process broke.
    fn break_requests(&mut self, index: ProcessIndex) {
        let id = self.processes[index].id.clone();
        for entry in 0..self.processes.len() {
            if self.processes[entry].alive
                && self.processes[entry].plan.kind == ProcessKind::Entry
                && !self.processes[entry].paused
            {
                self.fail_calls_to(entry, std::slice::from_ref(&id));
                self.schedule_tick(entry);
            }
        }
    }

    fn store_trace_event(&mut self, it: &StoreEvent) {
        match it.action {
            StoreAction::Outage => {
                self.store.outage = true;
                self.fail_watches();
            }
            StoreAction::Slow => self.store.delay_us = it.delay_ms * 1_000,
            StoreAction::LoseAnswers => self.store.lost_answer_permille = it.permille,
            StoreAction::Restored => {
                self.store.outage = false;
                self.store.delay_us = 0;
                self.store.lost_answer_permille = 0;
                self.schedule_expiry();
                for it in &mut self.processes {
                    it.reachable_since_us = self.now_us;
                }
            }
        }
    }

    fn region_event(&mut self, it: &RegionEvent) {
        let is_disconnected = it.action == RegionAction::Cut;
        self.net.set_disconnected(&it.region, is_disconnected);
        if is_disconnected {
            return self.fail_watches();
        }
        for index in 0..self.processes.len() {
            if self.processes[index].alive && self.processes[index].plan.region == it.region {
                self.reconnected(index);
            }
        }
    }
}
