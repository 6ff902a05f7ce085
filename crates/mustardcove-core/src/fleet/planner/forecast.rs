//! How much work of each kind a pool has, and how fast it completes it.
//!
//! Everything is derived from the plan's own state, a few times a second: the
//! work that waits for room, that has begun, and the processors that work uses.
//! Lost room shows in the latter. A new leader therefore knows the load after
//! its first rounds.
//!
//! A kind of work is overloaded while more of it waits for room than its runs
//! complete in a short time. Between the beginning and the end of an overload
//! the bounds differ, so that the order of work does not alternate.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    DecisionKind, Planner, placement,
    rank::{Overload, WaitingStep},
    work::{Task, Work},
    workers::{Worker, WorkloadKind},
    workload_kind,
};
use crate::{
    fleet::{id::SubmissionId, submission::StepSpec},
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
    /// Processors that its runs use, in millicores, which is the work that they
    /// complete in a millisecond.
    rate: u64,
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

/// The loads of all pools.
#[derive(Debug, Default)]
pub(super) struct Loads {
    /// Submissions that were not in a final state at the last measurement.
    active: BTreeSet<SubmissionId>,
    pools: BTreeMap<String, PoolLoads>,
    /// Whether the order of work stays as it is without overload.
    is_handling_disabled: bool,
    measure_at: Timestamp,
}

impl Default for KindLoad {
    fn default() -> KindLoad {
        KindLoad {
            waiting_work: 0,
            begun_waiting_work: 0,
            begun_work: 0,
            late_work: 0,
            stretch_percent: FIRST_STRETCH_PERCENT,
            rate: 0,
            is_overloaded: false,
            beyond_since: None,
        }
    }
}

impl KindLoad {
    fn begin_measurement(&mut self) {
        let KindLoad { stretch_percent, is_overloaded, beyond_since, .. } = *self;
        *self = KindLoad { stretch_percent, is_overloaded, beyond_since, ..KindLoad::default() };
    }

    /// Records how long a submission took from its begin.
    fn record_stretch(&mut self, percent: u64) {
        let percent = percent.clamp(MIN_STRETCH_PERCENT, MAX_STRETCH_PERCENT);
        let sum = self.stretch_percent * (STRETCH_SAMPLES - 1) + percent;
        self.stretch_percent = sum.div_ceil(STRETCH_SAMPLES);
    }

    /// Returns the time that the runs need for work, in milliseconds.
    fn duration_ms(&self, work: u64) -> u64 {
        work / self.rate.max(1)
    }

    /// Updates whether there is less room than work. Returns whether that has
    /// changed.
    fn update_overload(&mut self, now: Timestamp) -> bool {
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

    /// Adds what a worker's runs complete in a millisecond.
    fn add_worker(&mut self, worker: &Worker) {
        self.batch.rate += worker.batch_used.cpu.0;
        let best_effort =
            worker.allocations.values().filter(|it| it.kind == WorkloadKind::BestEffort);
        let used: u64 = best_effort.map(|it| it.cpu * u64::from(it.pace.min(100)) / 100).sum();
        let available = placement::leftover_cpu(worker) + worker.best_effort_cpu as i64;
        self.best_effort.rate += used.min(available.max(0) as u64);
    }
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
        let path_ms = work.submission.critical_paths_ms().into_iter().max().unwrap_or(0).max(1);
        let pool = self.pools.get_mut(&work.queue.service);
        let kind = work.submission.steps.first().map(workload_kind);
        if let Some(load) = pool.zip(kind).and_then(|(pool, kind)| pool.of_kind_mut(kind)) {
            load.record_stretch(now.ms_since(begun_at) * 100 / path_ms);
        }
    }
}

impl Planner {
    /// Sets whether overload changes the order of work, which it does unless this
    /// is set.
    pub fn set_overload_handling(&mut self, is_enabled: bool) {
        self.loads.is_handling_disabled = !is_enabled;
    }

    /// Measures the load of all pools after a placement round, so that what waits
    /// has found no room.
    pub(super) fn measure_loads(&mut self, now: Timestamp) {
        if now < self.loads.measure_at {
            return;
        }
        self.loads.measure_at = now.plus_ms(MEASURE_INTERVAL_MS);
        let mut pools = std::mem::take(&mut self.loads.pools);
        for pool in pools.values_mut() {
            pool.batch.begin_measurement();
            pool.best_effort.begin_measurement();
        }
        for worker in self.workers.iter().filter(|it| !it.is_silent) {
            let service = worker.listing.service.as_str();
            if !pools.contains_key(service) {
                pools.insert(service.to_owned(), PoolLoads::default());
            }
            if let Some(pool) = pools.get_mut(service) {
                pool.add_worker(worker);
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
                if load.update_overload(now) {
                    self.log_overload(service, name, load);
                }
                if load.is_overloaded {
                    let new = new.iter_mut().filter(|it| it.kind == kind);
                    for it in queue_new(load, new, now) {
                        if let Some(work) = self.work.get_mut(&it.step.key.submission) {
                            work.overload = it.overload;
                        }
                    }
                }
            }
        }
        self.loads.pools = pools;
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
        let Some(work) = self.work.get(&id).filter(|it| !it.state.is_final()) else { return false };
        let may_start = self.may_start_work(work, now);
        let mut overload = Overload { remaining_work: 0, has_turn: false, ..work.overload };
        let mut first = None;
        let Some(pool) = pools.get_mut(&work.queue.service) else { return true };
        for occurrence in &work.occurrences {
            for (i, spec) in work.submission.steps.iter().enumerate() {
                let kind = workload_kind(spec);
                let Some(load) = pool.of_kind_mut(kind) else { continue };
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
        if let Some((kind, step)) = first.and_then(|it| Some((it.0, self.waiting_step(it.1)?))) {
            let service = work.queue.service.clone();
            new.entry(service).or_default().push(NewWork { kind, step, overload });
        }
        if let Some(work) = self.work.get_mut(&id) {
            work.overload = overload;
        }
        true
    }

    fn log_overload(&mut self, service: &str, kind: &str, load: &KindLoad) {
        let decision = if load.is_overloaded {
            DecisionKind::OverloadBegan
        } else {
            DecisionKind::OverloadEnded
        };
        self.log_decision(decision, None, None, || {
            format!(
                "pool={service} kind={kind} wait_ms={} begun_wait_ms={} begun_ms={} \
                 rate_millicores={} stretch_percent={}",
                load.duration_ms(load.waiting_work),
                load.duration_ms(load.begun_waiting_work),
                load.duration_ms(load.begun_work),
                load.rate,
                load.stretch_percent,
            )
        });
    }
}

/// Forecasts how long each of the submissions of a kind that have not begun, in
/// their order, waits for room, and which late one may begin before the others.
/// One that cannot be on time takes no room from those behind it.
fn queue_new<'a>(
    load: &KindLoad,
    new: impl Iterator<Item = &'a mut NewWork>,
    now: Timestamp,
) -> Vec<&'a mut NewWork> {
    let mut ahead = load.begun_waiting_work;
    let mut new: Vec<&mut NewWork> = new.collect();
    for it in &mut new {
        it.overload.wait_ms = load.duration_ms(ahead);
        it.overload.stretch_percent = load.stretch_percent;
        if it.step.has_room_in_time(it.overload, now) {
            ahead = ahead.saturating_add(it.overload.remaining_work);
        }
    }
    if load.late_work < load.begun_work / 100 * LATE_PERCENT {
        let rank = |it: &NewWork| WaitingStep { overload: Some(it.overload), ..it.step }.rank(now);
        let late = new.iter_mut().filter(|it| rank(it).is_late());
        if let Some(first) = late.min_by_key(|it| rank(it)) {
            first.overload.has_turn = true;
        }
    }
    new
}
