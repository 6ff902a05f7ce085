//! Counters and latency histograms of a node.

use mustardcove_core::fleet::planner::PlanCounts;
use mustardcove_runtime::metrics::Metrics;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// Upper bounds of latency buckets, in milliseconds: narrow around the latency
/// objectives of urgent queues, and up to the longest time that callers wait.
const LATENCY_BUCKETS_MS: [f64; 11] =
    [1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 3_000.0];

/// The metric instruments of a node.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    /// The metrics that all kinds of processes have.
    pub base: Metrics,
    requests: Counter<u64>,
    request_ms: Histogram<f64>,
    explanations: Counter<u64>,
    store_faults: Counter<u64>,
    store_writes: Counter<u64>,
    admissions: Counter<u64>,
    polls: Counter<u64>,
    orders: Counter<u64>,
    leader_inputs_dropped: Counter<u64>,
    terms_began: Counter<u64>,
    terms_ended: Counter<u64>,
    waiting_steps: Gauge<u64>,
    blocked_submissions: Gauge<u64>,
    waiting_long_running: Gauge<u64>,
    waiting_beside_capacity: Gauge<u64>,
    placed_runs: Gauge<u64>,
    schedulable_workers: Gauge<u64>,
    suspect_tasks: Gauge<u64>,
    waiting_suspects: Gauge<u64>,
    oldest_suspect_ms: Gauge<u64>,
    isolated_workers: Gauge<u64>,
    worker_crashes: Gauge<u64>,
    scored_workers: Gauge<u64>,
    slow_workers: Gauge<u64>,
    straggler_moves: Gauge<u64>,
    copies: Gauge<u64>,
    interference_measurements: Gauge<u64>,
    interference_error_mean: Gauge<i64>,
    interference_error_rms: Gauge<u64>,
    over_target_ms: Gauge<u64>,
    silent_runs: Gauge<u64>,
    longest_silence_ms: Gauge<u64>,
    overloaded_kinds: Gauge<u64>,
    delayed_submissions: Gauge<u64>,
    forecast_error_ms: Gauge<u64>,
    evictions: Gauge<u64>,
    report_age_ms: Gauge<u64>,
    ignored_entries: Gauge<u64>,
    evacuated_domains: Gauge<u64>,
    evacuated_workers: Gauge<u64>,
    cold_workers: Gauge<u64>,
}

impl NodeMetrics {
    /// Returns the instruments, which record into `base`.
    pub fn new(base: Metrics) -> NodeMetrics {
        let meter = base.meter().clone();
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        NodeMetrics {
            requests: counter("caller_requests", "Callers' requests by method and status."),
            request_ms: meter
                .f64_histogram("caller_request_ms")
                .with_description("Time to answer callers, in milliseconds.")
                .with_boundaries(LATENCY_BUCKETS_MS.to_vec())
                .build(),
            explanations: counter(
                "explanations",
                "Questions of operators about submissions, by whether they got an explanation.",
            ),
            store_faults: counter("store_faults", "Store calls without a usable answer."),
            store_writes: counter("store_writes", "Writes for callers by how they ended."),
            admissions: counter(
                "admissions",
                "Submissions accepted, rejected for load, or returned, by reason.",
            ),
            polls: counter("worker_looks", "Looks at workers by result."),
            orders: counter("worker_orders", "Orders to workers by kind and outcome."),
            leader_inputs_dropped: counter(
                "leader_inputs_dropped",
                "Messages for the leader task that did not fit into its queue.",
            ),
            terms_began: counter(
                "terms_began",
                "Terms of this process, by whether all ends of earlier leases were known.",
            ),
            terms_ended: counter(
                "terms_ended",
                "Ended terms of this process, by what was handed over.",
            ),
            waiting_steps: gauge("waiting_steps", "Steps with tasks that wait, at the leader."),
            blocked_submissions: gauge(
                "blocked_submissions",
                "Submissions without a run although they could have one, at the leader.",
            ),
            waiting_long_running: gauge(
                "waiting_long_running",
                "Long-running tasks without a run for seconds, at the leader.",
            ),
            waiting_beside_capacity: gauge(
                "waiting_beside_capacity",
                "Long-running tasks without a run for seconds although capacity is free, at the leader.",
            ),
            placed_runs: gauge("placed_runs", "Runs that take capacity, at the leader."),
            schedulable_workers: gauge(
                "open_workers",
                "Workers that take new work, at the leader.",
            ),
            suspect_tasks: gauge(
                "suspect_tasks",
                "Tasks under which a worker crashed or may have crashed, at the leader.",
            ),
            waiting_suspects: gauge(
                "waiting_suspects",
                "Suspected tasks that wait for their next start, at the leader.",
            ),
            oldest_suspect_ms: gauge(
                "oldest_suspect_ms",
                "Longest wait of a suspected task, in milliseconds, at the leader.",
            ),
            isolated_workers: gauge(
                "isolated_workers",
                "Workers that are kept free of new starts for suspected tasks, at the leader.",
            ),
            worker_crashes: gauge(
                "worker_crashes",
                "Number of workers that crashed in this term, at the leader.",
            ),
            scored_workers: gauge(
                "scored_workers",
                "Number of times that a worker was scored for a task, at the leader.",
            ),
            slow_workers: gauge(
                "slow_workers",
                "Workers that are judged slower than others, at the leader.",
            ),
            straggler_moves: gauge(
                "straggler_moves",
                "Number of runs that were stopped on slow workers to go on elsewhere, at the leader.",
            ),
            copies: gauge(
                "copies",
                "Number of copies of runs on slow workers, by event: started, won or dropped, at \
                 the leader.",
            ),
            interference_measurements: gauge(
                "interference_measurements",
                "Number of latencies that were compared with the interference forecast, at the \
                 leader.",
            ),
            interference_error_mean: meter
                .i64_gauge("interference_error_mean_percent")
                .with_description(
                    "Mean error of the forecast utilisation factor of latency-critical tasks in \
                     the last half minute, in percent of 1, at the leader; positive if latencies \
                     are higher.",
                )
                .build(),
            interference_error_rms: gauge(
                "interference_error_rms_percent",
                "Root mean square of the same error, in percent of 1, at the leader.",
            ),
            over_target_ms: gauge(
                "over_target_ms",
                "Time that latency-critical tasks were over their target in this term, by cause, \
                 in milliseconds, at the leader.",
            ),
            silent_runs: gauge(
                "silent_runs",
                "Runs on silent workers, whose leases are awaited, at the leader.",
            ),
            longest_silence_ms: gauge(
                "longest_silence_ms",
                "How long the longest of these workers has been silent, at the leader, in \
                 milliseconds.",
            ),
            overloaded_kinds: gauge(
                "overloaded_kinds",
                "Kinds of work that find less room in their pool than they need, at the leader.",
            ),
            delayed_submissions: gauge(
                "delayed_submissions",
                "Submissions that have not begun and are forecast to be late, at the leader.",
            ),
            forecast_error_ms: gauge(
                "forecast_error_ms",
                "Average error of the forecast end by kind of work, in milliseconds, at the leader.",
            ),
            evictions: gauge(
                "overload_evictions",
                "Number of best-effort runs stopped for others in this term, at the leader.",
            ),
            report_age_ms: gauge(
                "leader_report_age_ms",
                "Age of the oldest report handled since the last heartbeat, at the leader.",
            ),
            ignored_entries: gauge(
                "ignored_entries",
                "Entries of service discovery that name no worker to use, at the leader.",
            ),
            evacuated_domains: gauge(
                "evacuated_domains",
                "Failure domains that operators evacuate, at the leader.",
            ),
            evacuated_workers: gauge(
                "evacuated_workers",
                "Listed workers in evacuated failure domains, at the leader.",
            ),
            cold_workers: gauge(
                "cold_workers",
                "Listed workers that are slow for a while and get work step by step, at the leader.",
            ),
            base,
        }
    }

    /// Counts a caller's request and records its latency in milliseconds.
    pub fn request(&self, method: &'static str, status: u16, ms: f64) {
        let labels = [KeyValue::new("method", method), KeyValue::new("status", i64::from(status))];
        self.requests.add(1, &labels);
        self.request_ms.record(ms, &labels[..1]);
    }

    /// Counts a question of an operator about a submission.
    pub fn explained(&self, is_explained: bool) {
        self.explanations.add(1, &[KeyValue::new("explained", is_explained)]);
    }

    /// Counts a store call without a usable answer.
    pub fn store_fault(&self) {
        self.store_faults.add(1, &[]);
    }

    /// Counts a write for a caller, or for another process.
    pub fn store_write(&self, end: &'static str) {
        self.store_writes.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts an admission decision.
    pub fn admission(&self, result: &'static str, why: &'static str) {
        let labels = [KeyValue::new("result", result), KeyValue::new("why", why)];
        self.admissions.add(1, &labels);
    }

    /// Counts a poll of a worker.
    pub fn poll(&self, is_answered: bool) {
        self.polls.add(1, &[KeyValue::new("answered", is_answered)]);
    }

    /// Counts an order to a worker.
    pub fn order(&self, kind: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.orders.add(1, &labels);
    }

    /// Counts a message for the leader task that did not fit into its queue.
    pub fn leader_input_dropped(&self) {
        self.leader_inputs_dropped.add(1, &[]);
    }

    /// Counts a term that this process has begun.
    pub fn term_began(&self, are_ends_known: bool) {
        self.terms_began.add(1, &[KeyValue::new("ends_known", are_ends_known)]);
    }

    /// Counts a term of this process that has ended.
    pub fn term_ended(&self, handover: &'static str) {
        self.terms_ended.add(1, &[KeyValue::new("handover", handover)]);
    }

    /// Sets the gauges that describe the plan.
    pub fn record_plan(&self, counts: PlanCounts) {
        self.waiting_steps.record(counts.waiting_steps as u64, &[]);
        self.blocked_submissions.record(counts.blocked_submissions as u64, &[]);
        self.waiting_long_running.record(counts.waiting_long_running as u64, &[]);
        self.waiting_beside_capacity.record(counts.waiting_beside_capacity as u64, &[]);
        self.placed_runs.record(counts.placed_runs as u64, &[]);
        self.schedulable_workers.record(counts.schedulable_workers as u64, &[]);
        self.suspect_tasks.record(counts.suspect_tasks as u64, &[]);
        self.waiting_suspects.record(counts.waiting_suspects as u64, &[]);
        self.oldest_suspect_ms.record(counts.oldest_suspect_ms, &[]);
        self.isolated_workers.record(counts.isolated_workers as u64, &[]);
        self.worker_crashes.record(counts.worker_crashes, &[]);
        self.scored_workers.record(counts.scored_workers, &[]);
        self.slow_workers.record(counts.slow_workers as u64, &[]);
        self.straggler_moves.record(counts.straggler_moves, &[]);
        let event = |it| [KeyValue::new("event", it)];
        self.copies.record(counts.copies.started, &event("started"));
        self.copies.record(counts.copies.won, &event("won"));
        self.copies.record(counts.copies.dropped, &event("dropped"));
        self.silent_runs.record(counts.silent_runs as u64, &[]);
        self.longest_silence_ms.record(counts.longest_silence_ms, &[]);
        let interference = counts.interference;
        self.interference_measurements.record(interference.measurements, &[]);
        self.interference_error_mean.record(interference.mean_percent, &[]);
        self.interference_error_rms.record(interference.root_mean_square_percent, &[]);
        for (cause, ms) in interference.over_target.iter() {
            self.over_target_ms.record(ms, &[KeyValue::new("cause", <&str>::from(cause))]);
        }
        self.evacuated_domains.record(counts.evacuated_domains as u64, &[]);
        self.evacuated_workers.record(counts.evacuated_workers as u64, &[]);
        self.cold_workers.record(counts.cold_workers as u64, &[]);
        self.overloaded_kinds.record(counts.load.overloaded as u64, &[]);
        self.delayed_submissions.record(counts.load.delayed as u64, &[]);
        let kind = |it| [KeyValue::new("kind", it)];
        self.forecast_error_ms.record(counts.load.batch_error_ms, &kind("batch"));
        self.forecast_error_ms.record(counts.load.best_effort_error_ms, &kind("best_effort"));
        self.evictions.record(counts.load.evictions, &[]);
    }

    /// Sets the age of the oldest report that the leader has handled lately, in
    /// milliseconds.
    pub fn record_report_age(&self, age_ms: u64) {
        self.report_age_ms.record(age_ms, &[]);
    }

    /// Sets the number of entries that name no worker to use.
    pub fn record_ignored_entries(&self, entries: usize) {
        self.ignored_entries.record(entries as u64, &[]);
    }
}
