//! How much work of each kind a pool has, and when it will be done.
//!
//! Everything is derived from the plan's own state, a few times a second: the
//! work that waits for room or has begun, and the processors that its runs use.
//! While runs use all there are, the work that was completed in the last seconds
//! counts in their place: it also shows by how much estimates are wrong and how
//! much work is slowed down. Lost room shows in both. A new leader therefore
//! knows the load after its first rounds.
//!
//! A submission is forecast to end once the work ahead of it has left room for it
//! and its critical path has passed, stretched as those of the last submissions
//! were. See `docs/design/overload.md`.
//!
//! A kind of work is overloaded while more of it waits for room than its runs
//! complete in a short time. Between the beginning and the end of an overload
//! the bounds differ, so that the order of work does not alternate.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    DecisionKind, Planner, placement,
    rank::{Overload, Rank, WaitingStep},
    work::{Task, Work},
    workers::{Worker, WorkloadKind},
    workload_kind,
};
use crate::{
    fleet::{
        id::SubmissionId,
        overload::{LoadReport, PoolLoad, WorkAmount},
        submission::{StepSpec, SubmissionState},
    },
    size::Millicores,
    time::Timestamp,
};

/// Time between two measurements, in milliseconds. Each goes through all
/// unfinished submissions.
const MEASURE_INTERVAL_MS: u64 = 200;
/// Work that waits from which a kind is overloaded, as the time that its runs
/// need for it, in milliseconds: a tenth of the time to spare of most
/// best-effort submissions.
const BEGIN_WAIT_MS: u64 = 500;
/// Time for which that much has to wait, in milliseconds: a submission that has
/// just arrived waits for one round in any case.
const BEGIN_AFTER_MS: u64 = 400;
/// Work that waits below which the overload ends, in milliseconds as above.
const END_WAIT_MS: u64 = 100;
/// Time for which that little has to wait, in milliseconds.
const END_AFTER_MS: u64 = 1_000;

/// Share of the room that late submissions which are new may take, in percent:
/// small, as each takes room from one that would be on time.
const LATE_PERCENT: u64 = 15;
/// Part of the completed work of a measurement interval in the smoothed rate, as
/// a divisor: about the last 5 s, as progress is reported in steps.
const RATE_SAMPLES: u64 = 25;
/// Bounds of the completed work in percent of the processors in use, so that a
/// few measurements without progress do not stop all new work.
const MIN_RATE_PERCENT: u64 = 30;
const MAX_RATE_PERCENT: u64 = 150;
/// Time between two lines in the log about an overload that goes on, in
/// milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;
/// Stretch of a submission before any has ended, in percent of its critical
/// path, and the bounds of what is measured. A step takes as long as its slowest
/// task, and estimates are low by up to half.
const FIRST_STRETCH_PERCENT: u64 = 130;
const MIN_STRETCH_PERCENT: u64 = 100;
const MAX_STRETCH_PERCENT: u64 = 250;
/// Weight of one submission in the measured stretch, as a divisor.
const STRETCH_SAMPLES: u64 = 16;

/// A waiting step of a submission that has not begun.
#[derive(Clone, Copy, Debug)]
struct NewWork {
    kind: WorkloadKind,
    step: WaitingStep,
    overload: Overload,
}

/// The load of one kind of work in a pool, as of the last measurement. Work is
/// in millicore-milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct KindLoad {
    /// Work that could run at once if there were room.
    waiting_work: u64,
    /// The part of it that belongs to submissions that have begun.
    begun_waiting_work: u64,
    /// All that remains of submissions that have begun.
    begun_work: u64,
    /// The part of it that belongs to late ones.
    late_work: u64,
    /// See [`Overload::stretch_percent`].
    stretch_percent: u64,
    /// All that remains of submissions that have not begun and are worth
    /// something.
    new_work: u64,
    /// Processors that its runs use, in millicores.
    used_cpu: u64,
    /// Processors of the largest task that a worker would take, in millicores. What is
    /// left of several workers is no room for a task.
    free_cpu: u64,
    /// Work completed between the last two measurements, by the progress of runs.
    completed: u64,
    /// Work completed in a millisecond, smoothed; 0 without overload.
    completed_rate: u64,
    /// Submissions that have not begun and will miss their SLO deadline.
    delayed: usize,
    /// Average error of the forecast end, in milliseconds.
    forecast_error_ms: u64,
    logged_at: Timestamp,
    is_overloaded: bool,
    /// Since when the measurements have been beyond the bound at which
    /// `is_overloaded` changes.
    beyond_since: Option<Timestamp>,
}

/// The loads of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolLoads {
    batch: KindLoad,
    best_effort: KindLoad,
}

/// Which kinds of work there are.
#[derive(Clone, Copy, Debug, Default)]
struct Kinds {
    has_batch: bool,
    has_best_effort: bool,
}

/// The loads of all pools.
#[derive(Clone, Debug, Default)]
pub(super) struct Loads {
    /// Submissions that were not in a final state at the last measurement.
    active: BTreeSet<SubmissionId>,
    pools: BTreeMap<String, PoolLoads>,
    /// Whether the order of work stays as it is without overload.
    is_handling_disabled: bool,
    /// Number of best-effort runs that were stopped for others.
    pub(super) evictions: u64,
    /// The kinds of work that submissions of each priority in a pool have had.
    priorities: BTreeMap<(String, u8), Kinds>,
    pub(super) measure_at: Timestamp,
}

impl Default for KindLoad {
    fn default() -> KindLoad {
        KindLoad {
            waiting_work: 0,
            begun_waiting_work: 0,
            begun_work: 0,
            late_work: 0,
            new_work: 0,
            used_cpu: 0,
            free_cpu: 0,
            completed: 0,
            completed_rate: 0,
            delayed: 0,
            forecast_error_ms: 0,
            logged_at: Timestamp::default(),
            stretch_percent: FIRST_STRETCH_PERCENT,
            is_overloaded: false,
            beyond_since: None,
        }
    }
}

impl KindLoad {
    fn begin_measurement(&mut self) {
        *self = KindLoad {
            completed_rate: self.completed_rate,
            stretch_percent: self.stretch_percent,
            forecast_error_ms: self.forecast_error_ms,
            logged_at: self.logged_at,
            is_overloaded: self.is_overloaded,
            beyond_since: self.beyond_since,
            ..KindLoad::default()
        };
    }

    /// Returns the work that its runs complete in a millisecond.
    fn rate(&self) -> u64 {
        if !self.is_overloaded {
            return self.used_cpu;
        }
        let bound = |percent: u64| self.used_cpu * percent / 100;
        self.completed_rate.clamp(bound(MIN_RATE_PERCENT), bound(MAX_RATE_PERCENT))
    }

    /// Records how long a submission took from its begin, and by how much the
    /// forecast was wrong.
    fn record_end(&mut self, path_ms: u64, took_ms: u64) {
        let forecast_ms = path_ms.saturating_mul(self.stretch_percent) / 100;
        self.forecast_error_ms = smoothed(self.forecast_error_ms, forecast_ms.abs_diff(took_ms));
        let percent = took_ms.saturating_mul(100) / path_ms.max(1);
        let percent = percent.clamp(MIN_STRETCH_PERCENT, MAX_STRETCH_PERCENT);
        self.stretch_percent = smoothed(self.stretch_percent, percent);
    }

    /// Returns the time that the runs need for work, in milliseconds.
    fn duration_ms(&self, work: u64) -> u64 {
        work / self.rate().max(1)
    }

    /// Updates whether there is less room than work. Returns whether that has
    /// changed.
    fn update_overload(&mut self, now: Timestamp) -> bool {
        let sum = self.completed_rate * (RATE_SAMPLES - 1) + self.completed / MEASURE_INTERVAL_MS;
        self.completed_rate = sum / RATE_SAMPLES;
        let wait_ms = self.duration_ms(self.waiting_work);
        let (is_beyond, after_ms) = if self.is_overloaded {
            (wait_ms < END_WAIT_MS, END_AFTER_MS)
        } else {
            (BEGIN_WAIT_MS <= wait_ms, BEGIN_AFTER_MS)
        };
        if !is_beyond {
            self.beyond_since = None;
            return false;
        }
        let since = *self.beyond_since.get_or_insert(now);
        let is_change = after_ms <= now.ms_since(since);
        if is_change {
            self.is_overloaded = !self.is_overloaded;
            self.beyond_since = None;
            self.completed_rate = self.used_cpu;
        }
        is_change
    }
}

impl PoolLoads {
    fn of_kind(&self, kind: WorkloadKind) -> Option<&KindLoad> {
        match kind {
            WorkloadKind::Batch => Some(&self.batch),
            WorkloadKind::BestEffort => Some(&self.best_effort),
            WorkloadKind::LatencyCritical => None,
        }
    }

    fn of_kind_mut(&mut self, kind: WorkloadKind) -> Option<&mut KindLoad> {
        match kind {
            WorkloadKind::Batch => Some(&mut self.batch),
            WorkloadKind::BestEffort => Some(&mut self.best_effort),
            WorkloadKind::LatencyCritical => None,
        }
    }

    /// Adds the processors of a worker.
    fn add_worker(&mut self, worker: &Worker, best_effort_room: u64, is_schedulable: bool) {
        self.batch.used_cpu += worker.batch_used.cpu.0;
        let best_effort =
            worker.allocations.values().filter(|it| it.kind == WorkloadKind::BestEffort);
        let used: u64 = best_effort.map(|it| it.cpu * u64::from(it.pace.min(100)) / 100).sum();
        let leftover = placement::leftover_cpu(worker);
        let available = leftover + worker.best_effort_cpu as i64;
        self.best_effort.used_cpu += used.min(available.max(0) as u64);
        if is_schedulable {
            self.batch.free_cpu = self.batch.free_cpu.max(worker.free().cpu.0);
            self.best_effort.free_cpu = self.best_effort.free_cpu.max(best_effort_room);
        }
    }
}

/// Adds a value to an average over the last [`STRETCH_SAMPLES`].
fn smoothed(average: u64, value: u64) -> u64 {
    (average * (STRETCH_SAMPLES - 1) + value).div_ceil(STRETCH_SAMPLES)
}

impl Loads {
    /// Adds a submission that may have work to do.
    pub(super) fn add(&mut self, id: SubmissionId) {
        self.active.insert(id);
    }

    /// Returns what the rank of a step depends on under overload; `None` without
    /// overload.
    pub(super) fn overload(&self, work: &Work, spec: &StepSpec) -> Option<Overload> {
        let load = self.pools.get(&work.queue.service)?.of_kind(workload_kind(spec))?;
        (load.is_overloaded && !self.is_handling_disabled).then_some(work.overload)
    }

    /// Records that a submission has completed.
    pub(super) fn completed(&mut self, work: &Work, now: Timestamp) {
        let Some(begun_at) = work.begun_at.filter(|_| work.submission.schedule.is_none()) else {
            return;
        };
        let path_ms = work.submission.critical_paths_ms().into_iter().max().unwrap_or(0);
        let pool = self.pools.get_mut(&work.queue.service);
        let kind = work.submission.steps.first().map(workload_kind);
        if let Some(load) = pool.zip(kind).and_then(|(pool, kind)| pool.of_kind_mut(kind)) {
            load.record_end(path_ms, now.ms_since(begun_at));
        }
    }

    /// Returns counts for the metrics, over all pools.
    pub(super) fn counts(&self) -> LoadCounts {
        let loads = || self.pools.values().flat_map(|it| [&it.batch, &it.best_effort]);
        LoadCounts {
            overloaded: loads().filter(|it| it.is_overloaded).count(),
            delayed: loads().map(|it| it.delayed).sum(),
            batch_error_ms: self.max_error_ms(WorkloadKind::Batch),
            best_effort_error_ms: self.max_error_ms(WorkloadKind::BestEffort),
            evictions: self.evictions,
        }
    }

    fn max_error_ms(&self, kind: WorkloadKind) -> u64 {
        let loads = self.pools.values().filter_map(|it| it.of_kind(kind));
        loads.map(|it| it.forecast_error_ms).max().unwrap_or(0)
    }

    /// Returns whether best-effort work of a pool finds less room than it needs.
    pub(super) fn is_best_effort_overloaded(&self, service: &str) -> bool {
        let load = self.pools.get(service).map(|it| &it.best_effort);
        load.is_some_and(|it| it.is_overloaded) && !self.is_handling_disabled
    }
}

/// What the load of the pools has caused, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Kinds of work that find less room than they need, in all pools.
    pub overloaded: usize,
    /// Submissions that have not begun and are forecast to miss their SLO
    /// deadline.
    pub delayed: usize,
    /// Average error of the forecast end of batch submissions, in milliseconds.
    pub batch_error_ms: u64,
    /// The same for best-effort submissions.
    pub best_effort_error_ms: u64,
    /// Number of best-effort runs so far that were stopped for others.
    pub evictions: u64,
}

impl Planner {
    /// Sets whether overload changes the order of work, which it does unless this
    /// is set.
    pub fn set_overload_handling(&mut self, is_enabled: bool) {
        self.loads.is_handling_disabled = !is_enabled;
    }

    /// Returns the load of each pool and priority.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        let of_queue = |(service, priority): (&str, u8)| {
            let loads = self.loads.pools.get(service).copied().unwrap_or_default();
            let key = (service.to_owned(), priority);
            let unknown = Kinds { has_batch: true, has_best_effort: true };
            let kinds = self.loads.priorities.get(&key).copied().unwrap_or(unknown);
            let batch = kinds.has_batch.then_some(&loads.batch);
            let best_effort = kinds.has_best_effort.then_some(&loads.best_effort);
            let of_kinds = || batch.into_iter().chain(best_effort);
            let wait_ms =
                |it: &KindLoad| it.duration_ms(it.begun_waiting_work.saturating_add(it.new_work));
            let wait_ms = of_kinds().filter(|it| it.is_overloaded).map(wait_ms).max();
            PoolLoad {
                service: service.to_owned(),
                priority,
                wait_until: now.plus_ms(wait_ms.unwrap_or(0)),
                is_overloaded: of_kinds().any(|it| it.is_overloaded),
                free_millicores: Millicores(of_kinds().map(|it| it.free_cpu).min().unwrap_or(0)),
                rate_millicores: Millicores(of_kinds().map(KindLoad::rate).min().unwrap_or(0)),
                promised: WorkAmount::default(),
            }
        };
        let queues = self.manifest.queues.iter().map(|it| (it.service.as_str(), it.priority));
        let queues: BTreeSet<(&str, u8)> = queues.collect();
        LoadReport { pools: queues.into_iter().map(of_queue).collect() }
    }

    /// Returns when a submission in the plan is forecast to end; `None` if it has
    /// ended, waits for no room or never ends by itself.
    pub fn forecast_end(&self, id: SubmissionId, now: Timestamp) -> Option<Timestamp> {
        let work = self.work.get(&id).filter(|it| !it.state.is_final())?;
        let pool = self.loads.pools.get(&work.queue.service)?;
        let steps = work.occurrences.iter().flat_map(|it| work.submission.step_keys(it.number));
        let ends = steps.filter_map(|key| {
            let step = self.rank_inputs(key)?;
            let spec = &work.submission.steps[usize::from(key.step)];
            let occurrence = work.occurrence(key.occurrence)?;
            let load = pool.of_kind(workload_kind(spec))?;
            let is_open = 0 < occurrence.steps[usize::from(key.step)].unfinished;
            let waits = !work.is_begun && load.is_overloaded;
            let wait_ms = if waits { work.overload.wait_ms } else { 0 };
            let path_ms = step.critical_path_ms.saturating_mul(load.stretch_percent) / 100;
            is_open.then(|| now.plus_ms(wait_ms).plus_ms(path_ms))
        });
        ends.max()
    }

    /// Measures the load of all pools after a placement round, so that what waits
    /// has found no room. Returns whether a measurement was due.
    pub(super) fn measure_loads(&mut self, now: Timestamp) -> bool {
        if now < self.loads.measure_at {
            return false;
        }
        self.loads.measure_at = now.plus_ms(MEASURE_INTERVAL_MS);
        let mut pools = std::mem::take(&mut self.loads.pools);
        for pool in pools.values_mut() {
            pool.batch.begin_measurement();
            pool.best_effort.begin_measurement();
        }
        for index in (0..self.workers.len()).filter(|it| !self.workers[*it].is_silent) {
            let worker = &self.workers[index];
            let service = worker.listing.service.as_str();
            if !pools.contains_key(service) {
                pools.insert(service.to_owned(), PoolLoads::default());
            }
            let is_schedulable = self.obstacle(index, now).is_none();
            let room = placement::best_effort_room(worker, &self.interference);
            if let Some(pool) = pools.get_mut(service) {
                pool.add_worker(worker, room, is_schedulable);
            }
        }
        let mut new: BTreeMap<String, Vec<NewWork>> = BTreeMap::new();
        let mut active = std::mem::take(&mut self.loads.active);
        active.retain(|id| self.measure_submission(*id, &mut pools, &mut new, now));
        self.loads.active = active;
        for (service, pool) in &mut pools {
            let mut new = new.remove(service).unwrap_or_default();
            new.sort_by_key(|it| (it.step.priority, it.step.slo_deadline, it.step.key));
            for (kind, name) in
                [(WorkloadKind::Batch, "batch"), (WorkloadKind::BestEffort, "best_effort")]
            {
                let Some(load) = pool.of_kind_mut(kind) else { continue };
                let has_changed = load.update_overload(now);
                if load.is_overloaded {
                    let new = new.iter_mut().filter(|it| it.kind == kind);
                    for it in queue_new(load, new, now) {
                        if let Some(work) = self.work.get_mut(&it.step.key.submission) {
                            work.overload = it.overload;
                        }
                    }
                }
                let is_due = load.is_overloaded && LOG_INTERVAL_MS <= now.ms_since(load.logged_at);
                if has_changed || is_due {
                    load.logged_at = now;
                    self.log_overload(service, name, load, has_changed);
                }
            }
        }
        self.loads.pools = pools;
        true
    }

    /// Adds a submission to the load of its pool. Returns whether it has work to
    /// do.
    fn measure_submission(
        &mut self,
        id: SubmissionId,
        pools: &mut BTreeMap<String, PoolLoads>,
        new: &mut BTreeMap<String, Vec<NewWork>>,
        now: Timestamp,
    ) -> bool {
        let Some(work) = self.work.get(&id) else { return false };
        let Some(pool) = pools.get_mut(&work.queue.service) else { return true };
        let mut completed = work.overload.remaining_work;
        let kind = work.submission.steps.first().map(workload_kind);
        if work.state.is_final() {
            let completed = if work.state == SubmissionState::Completed { completed } else { 0 };
            if let Some(load) = kind.and_then(|it| pool.of_kind_mut(it)) {
                load.completed = load.completed.saturating_add(completed);
            }
            return false;
        }
        let may_start = self.may_start_work(work, now);
        let mut overload = Overload { remaining_work: 0, has_turn: false, ..work.overload };
        let mut first = None;
        let key = (work.queue.service.clone(), work.queue.priority);
        let kinds = self.loads.priorities.entry(key).or_default();
        for occurrence in &work.occurrences {
            for (i, spec) in work.submission.steps.iter().enumerate() {
                let kind = workload_kind(spec);
                let Some(load) = pool.of_kind_mut(kind) else { continue };
                kinds.has_batch |= kind == WorkloadKind::Batch;
                kinds.has_best_effort |= kind == WorkloadKind::BestEffort;
                let remaining = occurrence.remaining_work(i, spec);
                overload.remaining_work = overload.remaining_work.saturating_add(remaining);
                let step = &occurrence.steps[i];
                if work.is_begun {
                    load.begun_work = load.begun_work.saturating_add(remaining);
                    if occurrence.slo_deadline < now {
                        load.late_work = load.late_work.saturating_add(remaining);
                    }
                }
                if !step.is_ready || !may_start {
                    continue;
                }
                let is_waiting = |it: &&Task| it.is_waiting() && it.not_before <= now;
                let waiting = step.tasks.iter().filter(is_waiting);
                let percent: u64 = waiting.map(|it| u64::from(it.remaining_percent())).sum();
                if percent == 0 {
                    continue;
                }
                let waiting_work = spec.task_work().saturating_mul(percent) / 100;
                load.waiting_work = load.waiting_work.saturating_add(waiting_work);
                if work.is_begun {
                    load.begun_waiting_work = load.begun_waiting_work.saturating_add(waiting_work);
                } else {
                    let key = work.submission.task(occurrence.number, i, 0).step;
                    first = first.or(Some((kind, key)));
                }
            }
        }
        completed = completed.saturating_sub(overload.remaining_work);
        if let Some(load) = kind.and_then(|it| pool.of_kind_mut(it)) {
            load.completed = load.completed.saturating_add(completed);
        }
        if let Some((kind, step)) = first.and_then(|it| Some((it.0, self.waiting_step(it.1)?))) {
            let service = work.queue.service.clone();
            new.entry(service).or_default().push(NewWork { kind, step, overload });
        }
        if let Some(work) = self.work.get_mut(&id) {
            work.overload = overload;
        }
        true
    }

    fn log_overload(&mut self, service: &str, kind: &str, load: &KindLoad, has_changed: bool) {
        let decision = match (has_changed, load.is_overloaded) {
            (true, true) => DecisionKind::OverloadBegan,
            (true, false) => DecisionKind::OverloadEnded,
            (false, _) => DecisionKind::Overloaded,
        };
        let evictions = self.loads.evictions;
        self.log_decision(decision, None, None, || {
            format!(
                "pool={service} kind={kind} wait_ms={} begun_wait_ms={} begun_ms={} late_ms={} \
                 new_ms={} delayed={} rate_millicores={} stretch_percent={} forecast_error_ms={} \
                 evictions={evictions}",
                load.duration_ms(load.waiting_work),
                load.duration_ms(load.begun_waiting_work),
                load.duration_ms(load.begun_work),
                load.duration_ms(load.late_work),
                load.duration_ms(load.new_work),
                load.delayed,
                load.rate(),
                load.stretch_percent,
                load.forecast_error_ms,
            )
        });
    }
}

/// Forecasts how long each of the submissions of a kind that have not begun, in
/// their order, waits for room, and which late one may begin before the others.
/// One that cannot be on time takes no room from those behind it.
fn queue_new<'a>(
    load: &mut KindLoad,
    new: impl Iterator<Item = &'a mut NewWork>,
    now: Timestamp,
) -> Vec<&'a mut NewWork> {
    let mut ahead = load.begun_waiting_work;
    let mut new: Vec<&mut NewWork> = new.collect();
    let mut late: Option<(Rank, usize)> = None;
    for (i, it) in new.iter_mut().enumerate() {
        it.overload.wait_ms = load.duration_ms(ahead);
        it.overload.stretch_percent = load.stretch_percent;
        let rank = WaitingStep { overload: Some(it.overload), ..it.step }.rank(now);
        if rank.is_worthwhile() {
            load.new_work = load.new_work.saturating_add(it.overload.remaining_work);
        }
        if rank.is_on_time() {
            ahead = ahead.saturating_add(it.overload.remaining_work);
        } else {
            load.delayed += 1;
        }
        if rank.is_worthwhile() && !rank.is_on_time() {
            late = Some(late.map_or((rank, i), |first| first.min((rank, i))));
        }
    }
    if let Some((_, i)) = late.filter(|_| load.late_work < load.begun_work / 100 * LATE_PERCENT) {
        new[i].overload.has_turn = true;
    }
    new
}
