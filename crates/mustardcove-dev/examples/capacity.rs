//! Measures the cost of scheduling for a deployment at several sizes: processor
//! time, calls to the store and to workers, bytes and memory.
//!
//! One node owns all shards and groups and runs in virtual time against a
//! simulated store and simulated workers, so the figures are those of the whole
//! system; `docs/CAPACITY.md` divides them among the processes. The processor
//! time is that of the state machines without that of the simulation.
//!
//!     cargo run --release -p mustardcove-dev --example capacity

use std::{
    collections::{BTreeMap, BinaryHeap, HashMap},
    io::Write as _,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardcove_core::{
    agreement::{Agreement, Member, SchemaVersion},
    class::{Class, ClassKind, Delivery},
    group::GroupConfig,
    id::{MemberId, ProcessId, RequestId, Revision, WorkerId},
    job::{BodyDigest, JobSpec},
    message::{PeerMessage, ShardRequest, ShardResponse},
    node::{Node, NodeAction, NodeCall, NodeConfig, NodeEvent},
    ownership::{ProcessKind, SessionRecord, record::encode_record},
    shard::ShardConfig,
    size::Resources,
    store::{StoreOp, StoreReply, StoreRevision},
    time::Timestamp,
    worker::{WorkerInfo, WorkerOp},
};
use mustardcove_platform::memory::{
    FleetConfig, RunHistory, StoreState, WorkSpec, worker_state::WorkerState,
};
use mustardcove_runtime::peer::frame;
use mustardcove_sched::policy::LearnedPolicyFactory;

/// Time until a call to the store or to a worker is answered, in milliseconds.
const CALL_LATENCY_MS: u64 = 3;

/// Number of members of the agreement.
const MEMBERS: usize = 23;

/// Number of failure domains.
const DOMAINS: usize = 5;

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;

/// Largest number of workers in a group.
const MAX_WORKERS_PER_GROUP: usize = 64;

/// Duration of the measured phase, in milliseconds.
const MEASURED_MS: u64 = 30_000;

/// One size of the deployment.
#[derive(Clone, Copy, Debug)]
struct Size {
    workers: usize,
    tasks: usize,
    starts_per_second: u64,
}

/// The present size, two intermediate ones and the size expected in two years.
const SIZES: [Size; 4] = [
    Size { workers: 48, tasks: 700, starts_per_second: 13 },
    Size { workers: 190, tasks: 2_700, starts_per_second: 52 },
    Size { workers: 375, tasks: 5_400, starts_per_second: 105 },
    Size { workers: 750, tasks: 10_800, starts_per_second: 210 },
];

/// Totals of the measured phase.
#[derive(Clone, Debug, Default)]
struct Counts {
    handling_time: Duration,
    events: u64,
    store_writes: u64,
    store_reads: u64,
    store_bytes: u64,
    worker_calls: u64,
    worker_bytes: u64,
    accepted: u64,
}

/// Input to the node that a queue entry schedules.
enum Input {
    Event(Box<NodeEvent>),
    Submit(u64),
}

struct QueueEntry {
    at: Timestamp,
    sequence: u64,
    input: Input,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &QueueEntry) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &QueueEntry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &QueueEntry) -> std::cmp::Ordering {
        // Reversed, because the heap returns the largest entry first and the
        // earliest one is needed.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A watch on the store that is not answered yet.
struct PendingWatch {
    call: NodeCall,
    prefix: String,
    after: StoreRevision,
    until: Timestamp,
}

/// A node, its simulated surroundings and the virtual time.
struct Simulation {
    now: Timestamp,
    node: Node<LearnedPolicyFactory>,
    store: StoreState,
    config: FleetConfig,
    workers: HashMap<WorkerId, WorkerState>,
    acknowledged: HashMap<WorkerId, u64>,
    runs: RunHistory,
    queue: BinaryHeap<QueueEntry>,
    watches: Vec<PendingWatch>,
    sequence: u64,
    counts: Counts,
    submitted: u64,
}

fn agreement() -> Agreement {
    let class = |name: &str, kind, resources, urgent| Class {
        id: name.parse().expect("valid name"),
        kind,
        delivery: Delivery::Exclusive,
        service: None,
        urgent,
        evictable: false,
        resources,
        expected_run_ms: 2_000,
        latency_target_ms: 0,
        weight: 1.0,
    };
    let classes = [
        class("run", ClassKind::Batch, Resources::new(1_000, 1_024, 0), false),
        class("urgent-run", ClassKind::Batch, Resources::new(1_000, 1_024, 0), true),
        class("watch", ClassKind::Watcher, Resources::new(1_000, 1_024, 0), true),
    ];
    let member = |number: usize| Member {
        id: member_id(number),
        schema: SchemaVersion::V2,
        cap: Resources::new(10_000_000, 10_000_000, 1_000),
        max_requests: 1_000,
        classes: classes.iter().map(|it| it.id.clone()).collect(),
        token_digests: Vec::new(),
        evict_over_cap: false,
    };
    Agreement {
        revision: Revision(1),
        members: (0..MEMBERS).map(member).map(|it| (it.id.clone(), it)).collect(),
        classes: classes.iter().map(|it| (it.id.clone(), it.clone())).collect(),
        services: BTreeMap::new(),
    }
}

fn member_id(number: usize) -> MemberId {
    format!("team-{number:02}").parse().expect("valid name")
}

fn worker(number: usize) -> WorkerInfo {
    let domain = number % DOMAINS;
    let rack = number / DOMAINS / WORKERS_PER_RACK;
    WorkerInfo {
        id: format!("worker-{number:04}").parse().expect("valid name"),
        address: String::new(),
        region: format!("region-{}", domain / 3).parse().expect("valid name"),
        domain: format!("domain-{domain}").parse().expect("valid name"),
        rack: format!("rack-{domain}-{rack}").parse().expect("valid name"),
        capacity: Resources::new(32_000, 125 * 1_024, 2),
        leaving: false,
        upstreams: Vec::new(),
    }
}

impl Simulation {
    fn new(size: Size) -> Simulation {
        let now = Timestamp(1_800_000_000_000);
        let record = SessionRecord {
            process: "sched-0".parse().expect("valid name"),
            kind: ProcessKind::Scheduler,
            peer_address: "127.0.0.1:1".to_owned(),
            admin_address: "127.0.0.1:2".to_owned(),
            region: "region-0".parse().expect("valid name"),
            domain: "domain-0".parse().expect("valid name"),
            draining: false,
        };
        let per_domain = size.workers.div_ceil(DOMAINS);
        let cfg = NodeConfig {
            record,
            shards: 16,
            groups_per_domain: per_domain.div_ceil(MAX_WORKERS_PER_GROUP) as u16,
            shard: ShardConfig::default(),
            group: GroupConfig::default(),
            seed: 1,
        };
        let config = FleetConfig { sample_delay_ms: 500, ..FleetConfig::default() };
        let infos: Vec<WorkerInfo> = (0..size.workers).map(worker).collect();
        let workers = infos.iter().enumerate().map(|(number, info)| {
            let state = WorkerState::new(now, info.clone(), &config, number as u64);
            (info.id.clone(), state)
        });
        let mut simulation = Simulation {
            now,
            node: Node::new(cfg, LearnedPolicyFactory),
            store: StoreState::default(),
            workers: workers.collect(),
            config,
            acknowledged: HashMap::new(),
            runs: RunHistory::default(),
            queue: BinaryHeap::new(),
            watches: Vec::new(),
            sequence: 0,
            counts: Counts::default(),
            submitted: 0,
        };
        simulation.schedule(0, Input::Event(Box::new(NodeEvent::Agreement(Arc::new(agreement())))));
        simulation.schedule(0, Input::Event(Box::new(NodeEvent::Workers(infos.into()))));
        simulation
    }

    /// Schedules an entry `after_ms` milliseconds from now.
    fn schedule(&mut self, after_ms: u64, input: Input) {
        self.sequence += 1;
        let at = self.now.plus_ms(after_ms);
        self.queue.push(QueueEntry { at, sequence: self.sequence, input });
    }

    /// Advances the virtual time by `ms` milliseconds.
    fn run_ms(&mut self, ms: u64) {
        let until = self.now.plus_ms(ms);
        loop {
            let event_at = self.queue.peek().map_or(until, |it| it.at);
            let tick_at = self.node.next_deadline().unwrap_or(until);
            let next = event_at.min(tick_at).min(until).max(self.now);
            self.now = next;
            if until <= next {
                return;
            }
            if event_at <= next {
                let entry = self.queue.pop().expect("the queue has an entry");
                match entry.input {
                    Input::Event(event) => self.handle(*event),
                    Input::Submit(work_ms) => self.submit(work_ms),
                }
            } else {
                self.handle(NodeEvent::Tick);
            }
        }
    }

    fn handle(&mut self, event: NodeEvent) {
        let mut actions = Vec::new();
        let began = Instant::now();
        self.node.handle(self.now, event, &mut actions);
        self.counts.handling_time += began.elapsed();
        self.counts.events += 1;
        for action in actions {
            match action {
                NodeAction::Store { call, op } => self.call_store(call, op),
                NodeAction::Worker { call, worker, op, .. } => {
                    self.call_worker(call, &worker, op);
                }
                NodeAction::Peer { message, .. } => {
                    if let PeerMessage::Response { body: ShardResponse::Accepted { .. }, .. } =
                        message
                    {
                        self.counts.accepted += 1;
                    }
                }
                NodeAction::Changed(_) => (),
            }
        }
    }

    fn call_store(&mut self, call: NodeCall, op: StoreOp) {
        if op.is_write() {
            self.counts.store_writes += 1;
        } else {
            self.counts.store_reads += 1;
        }
        self.counts.store_bytes += encode_record(&op).len() as u64;
        if let StoreOp::Watch { prefix, after, wait_ms } = op {
            let until = self.now.plus_ms(wait_ms);
            self.watches.push(PendingWatch { call, prefix, after, until });
        } else {
            let result = self.store.apply(self.now, &op);
            self.schedule(
                CALL_LATENCY_MS,
                Input::Event(Box::new(NodeEvent::StoreReply { call, result })),
            );
        }
        self.answer_watches();
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let (prefix, after) = (watch.prefix.clone(), watch.after);
            let result = self.store.apply(self.now, &StoreOp::Watch { prefix, after, wait_ms: 0 });
            let is_unchanged = match &result {
                Ok(StoreReply::Changes { events, .. }) => events.is_empty(),
                _ => false,
            };
            if is_unchanged && self.now < watch.until {
                self.watches.push(watch);
            } else {
                let event = NodeEvent::StoreReply { call: watch.call, result };
                self.schedule(CALL_LATENCY_MS, Input::Event(Box::new(event)));
            }
        }
    }

    fn call_worker(&mut self, call: NodeCall, id: &WorkerId, op: WorkerOp) {
        self.counts.worker_calls += 1;
        self.counts.worker_bytes += encode_record(&op).len() as u64;
        if let WorkerOp::Renew { acknowledged, .. } = &op {
            self.acknowledged.insert(id.clone(), *acknowledged);
        }
        let state = self.workers.get_mut(id).expect("only listed workers are called");
        state.advance(self.now, &self.config, &mut self.runs);
        let result = state.apply(self.now, &self.config, op, &mut self.runs);
        self.counts.worker_bytes += encode_record(&result).len() as u64;
        let worker = id.clone();
        self.schedule(
            CALL_LATENCY_MS,
            Input::Event(Box::new(NodeEvent::WorkerReply { call, worker, result })),
        );
    }

    /// Delivers the reports for which the scheduler process polls workers.
    fn poll_reports(&mut self) {
        let mut reports = Vec::new();
        for (id, state) in &mut self.workers {
            state.advance(self.now, &self.config, &mut self.runs);
            let after = self.acknowledged.get(id).copied().unwrap_or_default();
            if state.has_updates(self.now, after) {
                reports.push(state.take_report(self.now, after));
            }
        }
        for report in reports {
            self.counts.worker_bytes += encode_record(&report).len() as u64;
            self.schedule(1, Input::Event(Box::new(NodeEvent::Report(report))));
        }
    }

    /// Submits a job that runs for `work_ms`, or a watcher if that is zero.
    fn submit(&mut self, work_ms: u64) {
        self.submitted += 1;
        let class = if work_ms == 0 { "watch" } else { "run" };
        let class = class.parse().expect("valid name");
        let payload = WorkSpec { work_ms, ..WorkSpec::default() }.to_payload();
        let spec = JobSpec {
            member: member_id(self.submitted as usize % MEMBERS),
            key: format!("key-{}", self.submitted).parse().expect("valid name"),
            digest: BodyDigest::of(&class, &payload),
            class,
            resources: Resources::new(1_000, 1_024, 0),
            expected_run_ms: work_ms.max(1),
            deadline: None,
            payload,
        };
        let from: ProcessId = "entry-0".parse().expect("valid name");
        let request = RequestId(self.submitted);
        let body = ShardRequest::Submit { spec: spec.clone() };
        let message = PeerMessage::Request { shard: spec.id().shard(16), request, body };
        self.handle(NodeEvent::Peer { from, message });
    }
}

/// Returns the resident memory of this process, in kibibytes.
fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// Interval at which reports are delivered in the measured phase, in
/// milliseconds.
const STEP_MS: u64 = 250;

fn measure(size: Size) -> Vec<String> {
    let mut simulation = Simulation::new(size);
    simulation.run_ms(4_000);
    let mut submitted_tasks = 0;
    while submitted_tasks < size.tasks {
        let batch = (size.tasks - submitted_tasks).min(size.workers);
        for _ in 0..batch {
            simulation.schedule(1, Input::Submit(0));
        }
        submitted_tasks += batch;
        simulation.run_ms(1_000);
        simulation.poll_reports();
    }
    simulation.run_ms(5_000);
    simulation.counts = Counts::default();
    let submitted = simulation.submitted;
    for _ in 0..MEASURED_MS / STEP_MS {
        for index in 0..size.starts_per_second * STEP_MS / 1_000 {
            simulation.schedule(index, Input::Submit(1_000));
        }
        simulation.run_ms(STEP_MS);
        simulation.poll_reports();
    }
    let counts = simulation.counts.clone();
    let seconds = MEASURED_MS as f64 / 1e3;
    let summary = simulation.node.groups().map(|(_, it)| it.summary()).next();
    let summary = summary.map(PeerMessage::Summary);
    let summary_bytes =
        summary.and_then(|it| frame::encode(&it, 1 << 20).ok()).map_or(0, |it| it.len());
    vec![
        size.workers.to_string(),
        size.tasks.to_string(),
        format!("{:.0}", (simulation.submitted - submitted) as f64 / seconds),
        format!("{:.0}", counts.accepted as f64 / seconds),
        format!("{:.2}", counts.handling_time.as_secs_f64() * 100.0 / seconds),
        format!("{:.1}", counts.handling_time.as_secs_f64() * 1e6 / counts.events.max(1) as f64),
        format!("{:.1}", counts.store_writes as f64 / seconds),
        format!("{:.1}", counts.store_reads as f64 / seconds),
        format!("{:.1}", counts.store_bytes as f64 / seconds / 1e3),
        format!("{:.0}", counts.worker_calls as f64 / seconds),
        format!("{:.0}", counts.worker_bytes as f64 / seconds / 1e3),
        summary_bytes.to_string(),
        format!("{:.1}", resident_kib() as f64 / 1024.0),
        simulation.runs.overlaps.len().to_string(),
    ]
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(
        out,
        "| workers | tasks | starts/s asked | accepted/s | core % | us/event | store writes/s \
         | store reads/s | store kB/s | worker calls/s | worker kB/s | summary B \
         | resident MiB (whole process) | overlaps |"
    )?;
    writeln!(out, "|{}", "---|".repeat(14))?;
    for size in SIZES {
        writeln!(out, "| {} |", measure(size).join(" | "))?;
        out.flush()?;
    }
    Ok(())
}
