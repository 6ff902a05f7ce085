//! The results of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use mustardcove_core::{
    class::ClassKind,
    id::ClassId,
    job::JobState,
    verdict::{Refusal, Verdict},
};
use serde::Serialize;

use crate::{
    checks::{Checks, Violation},
    policy::PolicyKind,
    trace::{Header, Metric},
    world::{Caller, CallerState, Fleet, Net, Store},
};

/// The results of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Requests or jobs that arrived.
    pub arrived: u64,
    /// Requests answered or jobs that succeeded.
    pub succeeded: u64,
    /// Refusals with verdict `NotRun`.
    pub refused_not_run: u64,
    /// Refusals with any other verdict.
    pub refused_other: u64,
    /// Median latency of answers, in milliseconds; zero for jobs.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answers, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of answers, in milliseconds.
    pub p999_ms: f64,
    /// Requests answered or jobs that succeeded, per minute.
    pub per_min: f64,
    /// Work that was finished or saved in a checkpoint, in seconds of run
    /// time.
    pub work_s: f64,
    /// Number of tasks evicted.
    pub evictions: u64,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the trace.
    pub trace: String,
    /// The placement policy of the run.
    pub policy: PolicyKind,
    /// Seed of the run's random choices.
    pub seed: u64,
    /// Results by class.
    pub classes: BTreeMap<ClassId, ClassReport>,
    /// Violations by property; empty if there are none.
    pub violations: BTreeMap<String, u64>,
    /// The first violations, with details.
    pub described: Vec<Violation>,
    /// Longest time from the arrival to the start of urgent work, in
    /// milliseconds.
    pub urgent_start_ms: u64,
    /// 99th percentile of the same time, in milliseconds.
    pub urgent_start_p99_ms: u64,
    /// Number of urgent jobs that started.
    pub urgent_starts: u64,
    /// Longest time for which a watcher was not running, in milliseconds.
    pub watcher_absence_ms: u64,
    /// Longest time until a revision was in force everywhere, in milliseconds.
    pub configuration_ms: u64,
    /// Changes that operators made, and changes that were refused.
    pub changes: (u64, u64),
    /// Longest time for which a leaving upstream still got new work, in
    /// milliseconds.
    pub leaving_ms: u64,
    /// Longest planned stop, in milliseconds.
    pub stop_ms: u64,
    /// Number of planned stops that ended.
    pub stops: u64,
    /// Number of reads and of writes at the store.
    pub store_calls: (u64, u64),
    /// Highest rates of reads and of writes over ten seconds, per second.
    pub store_peak_per_s: (f64, f64),
    /// Greatest number of watches that waited at the same time.
    pub waiting_watches: usize,
    /// Writes by the first segment of their keys; `lease` for calls on leases.
    pub store_writes_by_kind: BTreeMap<String, u64>,
    /// Bytes sent between regions.
    pub remote_bytes: u64,
    /// Service requests sent between regions.
    pub remote_requests: u64,
    /// Retries of service requests.
    pub retries: u64,
    /// Number of tasks that were running at the end of the trace.
    pub running_at_end: usize,
}

impl Report {
    /// Returns the value of a metric of a single run.
    pub fn value(&self, metric: Metric, class: Option<&ClassId>) -> Option<f64> {
        let class = class.and_then(|it| self.classes.get(it));
        Some(match metric {
            Metric::Violations => self.violations.values().sum::<u64>() as f64,
            Metric::P99Ms => class?.p99_ms,
            Metric::ThroughputPerMin => class?.per_min,
            Metric::Evictions => class?.evictions as f64,
            Metric::UrgentStartMs => self.urgent_start_ms as f64,
            Metric::WatcherAbsenceMs => self.watcher_absence_ms as f64,
            Metric::ConfigurationMs => self.configuration_ms as f64,
            Metric::LeavingMs => self.leaving_ms as f64,
            Metric::StopMs => self.stop_ms as f64,
            Metric::StoreWritesPerS => self.store_peak_per_s.1,
            Metric::StoreReadsPerS => self.store_peak_per_s.0,
            Metric::ThroughputRatio | Metric::EvictionsRatio | Metric::GapClosed => return None,
        })
    }
}

/// Metrics collected during a run.
#[derive(Debug)]
pub(crate) struct RunMetrics {
    latencies: BTreeMap<ClassId, Histogram<u64>>,
    classes: BTreeMap<ClassId, ClassReport>,
    urgent_start_times_ms: Histogram<u64>,
    minutes: f64,
    pub(crate) watcher_absence_ms: u64,
    pub(crate) configuration_ms: u64,
    pub(crate) changes: u64,
    pub(crate) changes_refused: u64,
    pub(crate) leaving_ms: u64,
    pub(crate) stop_ms: u64,
    pub(crate) stops: u64,
    pub(crate) remote_requests: u64,
    pub(crate) retries: u64,
}

/// Greatest latency that a histogram holds, in microseconds; longer ones are
/// recorded as this value. The start times, which are in milliseconds, have
/// the same limit as a number.
const MAX_LATENCY_US: u64 = 3_600_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("three digits are supported")
}

impl RunMetrics {
    pub(crate) fn new(header: &Header) -> RunMetrics {
        let classes = header.classes.iter().map(|it| (it.id.clone(), ClassReport::default()));
        RunMetrics {
            latencies: BTreeMap::new(),
            classes: classes.collect(),
            urgent_start_times_ms: histogram(),
            minutes: header.duration_ms as f64 / 60_000.0,
            watcher_absence_ms: 0,
            configuration_ms: 0,
            changes: 0,
            changes_refused: 0,
            leaving_ms: 0,
            stop_ms: 0,
            stops: 0,
            remote_requests: 0,
            retries: 0,
        }
    }

    fn class(&mut self, class: &ClassId) -> &mut ClassReport {
        self.classes.entry(class.clone()).or_default()
    }

    /// Records the latency of an answer.
    pub(crate) fn record_latency(&mut self, class: &ClassId, us: u64) {
        self.class(class).succeeded += 1;
        let latencies = self.latencies.entry(class.clone()).or_insert_with(histogram);
        latencies.saturating_record(us);
    }

    pub(crate) fn record_refusal(&mut self, class: &ClassId, refusal: &Refusal) {
        let class = self.class(class);
        match refusal.verdict {
            Verdict::NotRun => class.refused_not_run += 1,
            Verdict::Ran | Verdict::MayHaveRun => class.refused_other += 1,
        }
    }

    pub(crate) fn record_job_success(&mut self, class: &ClassId, run_ms: u64) {
        let class = self.class(class);
        class.succeeded += 1;
        class.work_s += run_ms as f64 / 1_000.0;
    }

    pub(crate) fn record_urgent_start(&mut self, ms: u64) {
        self.urgent_start_times_ms.saturating_record(ms);
    }

    pub(crate) fn record_watcher_absence(&mut self, ms: u64) {
        self.watcher_absence_ms = self.watcher_absence_ms.max(ms);
    }

    /// Adds what is known only at the end of the run, and returns the report.
    pub(crate) fn finish(
        mut self,
        run: (String, PolicyKind, u64),
        store: &Store,
        net: &Net,
        callers: &[Caller],
        checks: &Checks,
        fleet: &Fleet,
    ) -> Report {
        let saved_permille = fleet.saved_progress();
        for caller in callers {
            let is_unfinished =
                caller.state == CallerState::Accepted && caller.kind == ClassKind::Batch;
            let run_ms = caller.work.run_ms as f64;
            let class = self.class(&caller.work.class);
            class.arrived += 1;
            if is_unfinished {
                let permille = match checks.state_of(caller.job) {
                    Some(JobState::Queued { resume_from: Some(it), .. }) => it.progress_permille,
                    _ => saved_permille.get(&caller.job).copied().unwrap_or_default(),
                };
                class.work_s += run_ms / 1_000.0 * f64::from(permille) / 1_000.0;
            }
        }
        for (class, count) in &checks.evictions {
            self.class(class).evictions = *count;
        }
        let minutes = self.minutes;
        for (id, class) in &mut self.classes {
            class.per_min = class.succeeded as f64 / minutes;
            if let Some(it) = self.latencies.get(id) {
                let ms = |quantile| it.value_at_quantile(quantile) as f64 / 1_000.0;
                (class.p50_ms, class.p99_ms, class.p999_ms) = (ms(0.5), ms(0.99), ms(0.999));
            }
        }
        let counters = store.state.counters;
        Report {
            trace: run.0,
            policy: run.1,
            seed: run.2,
            classes: self.classes,
            violations: checks.violation_counts.clone(),
            described: checks.violations.clone(),
            urgent_start_ms: self.urgent_start_times_ms.max(),
            urgent_start_p99_ms: self.urgent_start_times_ms.value_at_quantile(0.99),
            urgent_starts: self.urgent_start_times_ms.len(),
            watcher_absence_ms: self.watcher_absence_ms,
            configuration_ms: self.configuration_ms,
            changes: (self.changes, self.changes_refused),
            leaving_ms: self.leaving_ms,
            stop_ms: self.stop_ms,
            stops: self.stops,
            store_calls: (counters.reads, counters.writes),
            store_peak_per_s: store.peak_rates(),
            waiting_watches: store.max_waiting_watches,
            store_writes_by_kind: store.writes_by_kind.clone(),
            remote_bytes: net.remote_bytes,
            remote_requests: self.remote_requests,
            retries: self.retries,
            running_at_end: fleet.running().count(),
        }
    }
}
