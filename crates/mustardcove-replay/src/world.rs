//! A deployment in virtual time.
//!
//! The world drives the state machines of the core and of the platform's
//! in-memory implementation from one queue of events. Messages take the
//! latencies of the trace and, between regions, the time on the link; the
//! store and the workers answer after their own service times. The processor
//! time of the scheduler itself is not modelled.

mod caller_requests;
mod callers;
mod entry;
mod fleet;
mod net;
mod operators;
mod process;
mod queue;
mod shard_calls;
mod store;
mod trace_events;
mod upstream;

use std::{collections::HashMap, sync::Arc};

use mustardcove_core::{
    id::{ClassId, ProcessId},
    time::Timestamp,
    worker::WorkerInfo,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::{
    operators::Operator,
    process::Process,
    queue::{Event, Queue},
};
use crate::{
    checks::Checks,
    defect::Defect,
    plan,
    policy::{AnyPolicyFactory, PolicyKind},
    report::{Report, RunMetrics},
    trace::{Trace, TraceEvent},
};

pub(crate) use self::{
    callers::{Caller, CallerState},
    fleet::Fleet,
    net::Net,
    operators::PendingRevision,
    store::Store,
};

/// Virtual wall-clock time at which a run starts, in milliseconds.
const START_MS: u64 = 1_000_000_000;

/// Time before the start of the trace in which the processes start and divide
/// the work among them, in milliseconds.
const WARM_UP_MS: u64 = 15_000;

/// Index of a process in the world.
pub(crate) type ProcessIndex = usize;

/// Index of a worker in the world.
pub(crate) type WorkerPosition = usize;

/// A deployment in virtual time.
pub(crate) struct World {
    pub(crate) trace: Arc<Trace>,
    factory: AnyPolicyFactory,
    seed: u64,
    defect: Option<Defect>,
    now_us: u64,
    queue: Queue,
    net: Net,
    store: Store,
    pub(crate) fleet: Fleet,
    processes: Vec<Process>,
    by_id: HashMap<ProcessId, ProcessIndex>,
    pub(crate) callers: Vec<Caller>,
    operators: Vec<Operator>,
    instance_list: Arc<[WorkerInfo]>,
    instance_list_version: u64,
    load_factors: HashMap<ClassId, f64>,
    default_load_factor: f64,
    next_entry: usize,
    last_incarnation: u64,
    rng: ChaCha8Rng,
    pub(crate) checks: Checks,
    pub(crate) metrics: RunMetrics,
}

impl World {
    /// Returns a world whose processes are about to start.
    pub(crate) fn new(
        trace: Arc<Trace>,
        policy: PolicyKind,
        seed: u64,
        defect: Option<Defect>,
    ) -> World {
        let header = &trace.header;
        let infos = plan::workers(header);
        let factory =
            AnyPolicyFactory { kind: policy, true_slowdowns: plan::true_slowdowns(header) };
        let mut world = World {
            factory,
            seed,
            defect,
            now_us: START_MS * 1_000,
            queue: Queue::default(),
            net: Net::new(header),
            store: Store::new(header, seed),
            fleet: Fleet::new(header, &infos, Timestamp(START_MS), seed),
            processes: Vec::new(),
            by_id: HashMap::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            instance_list: infos.into(),
            instance_list_version: 1,
            load_factors: HashMap::new(),
            default_load_factor: 1.0,
            next_entry: 0,
            last_incarnation: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            checks: Checks::new(header),
            metrics: RunMetrics::new(header),
            trace,
        };
        world.start_deployment();
        world
    }

    fn start_deployment(&mut self) {
        let trace = Arc::clone(&self.trace);
        self.write_initial_agreement();
        for plan in plan::processes(&trace.header) {
            self.add_process(plan);
        }
        for (index, event) in trace.events.iter().enumerate() {
            let at = self.trace_time_us(event.at_ms());
            self.queue.push(at, Event::Trace(index));
        }
    }

    /// Converts a time in the trace to virtual time, in microseconds.
    fn trace_time_us(&self, at_ms: u64) -> u64 {
        (START_MS + WARM_UP_MS + at_ms) * 1_000
    }

    /// Returns the time in the trace, in milliseconds; negative during the
    /// warm-up.
    pub(crate) fn trace_ms(&self) -> i64 {
        (self.now_us / 1_000) as i64 - (START_MS + WARM_UP_MS) as i64
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now_us / 1_000)
    }

    /// Runs until the end of the trace.
    pub(crate) fn run(mut self) -> Report {
        let end = self.trace_time_us(self.trace.header.duration_ms);
        while let Some((at, event)) = self.queue.pop_before(end) {
            self.now_us = at;
            self.handle(event);
            let trace_ms = self.trace_ms();
            self.checks.check_run_history(trace_ms, &self.fleet.run_history);
        }
        self.now_us = end;
        self.finish()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Trace(index) => {
                let trace = Arc::clone(&self.trace);
                self.trace_event(index, &trace.events[index]);
            }
            Event::StreamArrival(index) => {
                let trace = Arc::clone(&self.trace);
                if let TraceEvent::Stream(stream) = &trace.events[index] {
                    self.stream_arrival(index, stream);
                }
            }
            Event::Deliver { to, incarnation, event } => self.deliver(to, incarnation, *event),
            Event::StoreCallArrived(call) => self.store_call_arrived(*call),
            Event::StoreLeaseExpiry => self.store_lease_expiry(),
            Event::WatchTimeout(id) => self.watch_timeout(id),
            Event::WorkerCallArrived(call) => self.worker_call_arrived(*call),
            Event::WorkerTimer(worker) => self.worker_timer(worker),
            Event::UpstreamRequestArrived(request) => self.upstream_request_arrived(*request),
            Event::UpstreamRequestEnded { worker, request } => {
                self.upstream_request_ended(worker, request)
            }
            Event::ProbeArrived { worker, from } => self.probe_arrived(worker, from),
            Event::InstanceListChanged => self.instance_list_changed(),
            Event::CallerSends(caller) => self.send_caller_request(caller),
            Event::CallerAnswered { caller, answer } => self.caller_answered(caller, *answer),
            Event::OperatorReply { operator, result } => self.operator_reply(operator, result),
            Event::CheckRevisions => self.check_revisions(),
        }
    }

    fn finish(mut self) -> Report {
        for worker in 0..self.fleet.workers.len() {
            self.advance_worker(worker);
        }
        self.check_stops();
        let trace_ms = self.trace_ms();
        let now = self.now();
        self.checks.finish(trace_ms, now, &self.callers, &self.fleet);
        let run = (self.trace.header.name.clone(), self.factory.kind, self.seed);
        let (store, net, callers) = (&self.store, &self.net, &self.callers);
        self.metrics.finish(run, store, net, callers, &self.checks, &self.fleet)
    }
}
