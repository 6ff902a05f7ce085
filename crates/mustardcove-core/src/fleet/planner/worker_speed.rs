//! How fast workers are, from the progress of their runs.
//!
//! A worker that is several times slower than others answers its polls and
//! fails nothing. It shows only in the progress of what it runs, and delays
//! every step that has a task there, since a step ends with its slowest task.
//!
//! The progress of a run is compared with its estimate, corrected by what the
//! step's tasks took on other workers, or by what tasks of the pool take
//! compared with their estimates. A poll tells when it was asked for, not when
//! it was answered, so each comparison has two bounds: a run counts as slow by
//! the shortest time that its progress can have taken, and as sound by the
//! longest.
//!
//! A task may take several times as long as others of its step wherever it
//! runs, so one slow task proves nothing. A worker is judged slow if tasks of
//! several submissions are slow there while hardly any other is sound. The
//! judgement fades, so that the worker is tried again, and a sound run
//! shortens it. At most half of a pool is judged slow.
//!
//! Runs that are slow for other reasons are not compared: with a pace below
//! 100 %, beside too much other work, far from their data, in gangs, on cold
//! workers.

use super::{
    DecisionKind, Planner, circuit_breaker, placement, work::WorkerIndex, workers::Worker,
};
use crate::{
    fleet::{
        id::{RunNumber, StepKey, SubmissionId, TaskKey},
        submission::StepSpec,
    },
    time::Timestamp,
};

/// Factor from which a run is slow: above what errors of estimates and the
/// spread of durations within a step reach together.
const SLOW_FACTOR: f32 = 2.5;
/// Factor up to which a run is sound.
const SOUND_FACTOR: f32 = 2.0;
/// Largest error of an estimate, as a factor. What a step's tasks took on
/// other workers corrects it up to this bound, since those may be slow, too.
const MAX_ESTIMATE_ERROR: f32 = 1.9;
/// Factor that is allowed for the error of an estimate while too few tasks of
/// the step are done elsewhere: the square root of the largest error.
const UNCORRECTED_ALLOWANCE: f32 = 1.38;
/// Tasks of a step done on other workers from which they correct its estimate.
const MIN_SIBLINGS: usize = 2;
/// Most done tasks of a step that are remembered.
const MAX_SIBLINGS: usize = 9;
/// Change of a pool's factor with each task that is done there: its median
/// follows within some hundreds of tasks.
const POOL_FACTOR_STEP: f32 = 0.01;
/// Shortest estimate of tasks that are compared, in milliseconds: delays of
/// calls outweigh shorter ones.
const MIN_ESTIMATE_MS: u64 = 100;
/// Shortest time after which a run's progress is compared, in milliseconds.
const MIN_WINDOW_MS: u64 = 300;
/// Time that a run may take before it progresses, in milliseconds: the longest
/// restore of a checkpoint.
const MAX_RESTORE_MS: u64 = 600;
/// Time after which progress counts anew, in milliseconds, so that a run which
/// has been fast for long shows when its worker becomes slow.
const WINDOW_MS: u64 = 2_500;
/// Progress that a window covers at least, in percent, as it is reported in
/// whole percent.
const MIN_WINDOW_PERCENT: u8 = 10;
/// Submissions with slow tasks from which a worker is judged slow.
const MIN_SLOW_SUBMISSIONS: usize = 2;
/// Slow runs for each sound one above which a worker is judged slow.
const SLOW_PER_SOUND: usize = 4;
/// Time for which a slow run counts after the last poll that showed it, in
/// milliseconds: a slow worker gets few tasks.
const SLOW_MEMORY_MS: u64 = 10_000;
/// The same once a later run was sound: that of a slow run which goes on.
const SLOW_MEMORY_BESIDE_SOUND_MS: u64 = 1_000;
/// Time for which a sound run counts, in milliseconds: a worker that has become
/// slow shows no other.
const SOUND_MEMORY_MS: u64 = 1_500;
/// Most slow and most sound runs remembered for each worker.
const MAX_RUNS: usize = 8;
/// Largest slowness, so that the judgement fades in bounded time.
const MAX_SLOWNESS: f32 = 10.0;
/// Time in which the slowness of a worker halves without further proof, in
/// milliseconds: one that is six times slower is tried again after 12 s.
const HALF_LIFE_MS: f32 = 3_000.0;
/// Share of the slowness that remains after a sound run.
const REMAINS_AFTER_SOUND: f32 = 0.25;
/// Slowness below which a worker is treated like any other.
const MIN_SLOWNESS: f32 = 1.3;
/// Penalty of a worker by how much slower it is, for each factor of 1: above any
/// difference in free capacity for a worker that is newly judged slow, and below
/// it once the judgement has faded.
const SLOWNESS_PENALTY: f32 = 100_000.0;

/// The progress of a run since a point in time, on its poller's clock.
///
/// The percentage in an answer is of some time between its question and the
/// next one.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgressWindow {
    from_percent: u8,
    /// The earliest time of that percentage.
    earliest: Timestamp,
    /// The latest time of it; `None` until the next poll.
    latest: Option<Timestamp>,
    /// The last percentage listed.
    last_percent: u8,
    /// Whether it begins with the run.
    is_whole_run: bool,
}

/// Bounds on the time that a run would take as a whole, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DurationBounds {
    pub(super) at_least: f32,
    /// `None` if its progress does not bound it.
    pub(super) at_most: Option<f32>,
}

impl ProgressWindow {
    /// Returns the window of a run that begins without progress and whose start
    /// was answered at a time.
    pub(super) fn started(answered_at: Timestamp) -> ProgressWindow {
        ProgressWindow {
            from_percent: 0,
            earliest: answered_at,
            latest: Some(answered_at),
            last_percent: 0,
            is_whole_run: true,
        }
    }

    fn listed_first(percent: u8, asked_at: Timestamp) -> ProgressWindow {
        ProgressWindow {
            from_percent: percent,
            earliest: asked_at,
            latest: None,
            last_percent: percent,
            is_whole_run: false,
        }
    }

    /// Records that a poll which was asked for at `asked_at` has listed the run.
    /// Returns bounds on its duration once the window is long enough.
    pub(super) fn listed(
        window: &mut Option<ProgressWindow>,
        percent: u8,
        asked_at: Timestamp,
    ) -> Option<DurationBounds> {
        let Some(it) = window.as_mut().filter(|it| it.last_percent <= percent) else {
            *window = Some(ProgressWindow::listed_first(percent, asked_at));
            return None;
        };
        let latest = *it.latest.get_or_insert(asked_at);
        let shortest_ms = asked_at.ms_since(latest);
        let whole_ms = |ms: u64, percent: u8| ms as f32 * 100.0 / f32::from(percent);
        let bounds = (MIN_WINDOW_MS <= shortest_ms).then(|| DurationBounds {
            // The percentage is rounded down, and may be that of a later time.
            at_least: whole_ms(
                shortest_ms.saturating_sub(MAX_RESTORE_MS),
                percent - it.from_percent + 1,
            ),
            // The last percentage was that of an earlier time.
            at_most: (it.from_percent < it.last_percent).then(|| {
                whole_ms(asked_at.ms_since(it.earliest), it.last_percent - it.from_percent)
            }),
        });
        it.last_percent = percent;
        if WINDOW_MS <= shortest_ms && MIN_WINDOW_PERCENT <= percent - it.from_percent {
            *it = ProgressWindow::listed_first(percent, asked_at);
        }
        bounds
    }
}

impl DurationBounds {
    /// Returns whether a run may be slow, or its worker was seen to be. Most runs
    /// are sound, and those that are done tell enough of workers that are.
    pub(super) fn may_tell(&self, estimate_ms: u64, worker: &Worker) -> bool {
        estimate_ms as f32 <= self.at_least || !worker.speed.is_unsuspected()
    }
}

/// Factors by which tasks of a step took longer than estimated, as far as they
/// are done.
#[derive(Clone, Debug, Default)]
pub(super) struct StepDurations {
    done: Vec<(WorkerIndex, f32)>,
}

impl StepDurations {
    fn record(&mut self, worker: WorkerIndex, factor: f32) {
        if self.done.len() == MAX_SIBLINGS {
            self.done.remove(0);
        }
        self.done.push((worker, factor));
    }

    /// Returns the median factor on workers other than one, if enough are known.
    fn median_elsewhere(&self, worker: WorkerIndex) -> Option<f32> {
        let elsewhere = self.done.iter().filter(|it| it.0 != worker);
        let mut factors = [0.0; MAX_SIBLINGS];
        let mut count = 0;
        for (_, factor) in elsewhere {
            factors[count] = *factor;
            count += 1;
        }
        (MIN_SIBLINGS <= count).then(|| median(&mut factors[..count]))
    }
}

/// What runs show about the speed of their worker.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    task: TaskKey,
    /// Factor by which the run is slower than expected.
    factor: f32,
    at: Timestamp,
}

/// The recent evidence about a worker, and its slowness.
#[derive(Clone, Debug)]
pub(super) struct WorkerSpeed {
    slow: Vec<Evidence>,
    sound: Vec<Evidence>,
    /// Factor by which it is slower than others when last judged; 1 if it is
    /// not.
    slowness: f32,
    judged_at: Timestamp,
}

impl Default for WorkerSpeed {
    fn default() -> WorkerSpeed {
        WorkerSpeed {
            slow: Vec::new(),
            sound: Vec::new(),
            slowness: 1.0,
            judged_at: Timestamp::default(),
        }
    }
}

impl WorkerSpeed {
    /// Returns the factor by which the worker is slower than others; exactly 1
    /// if it is not judged slow.
    pub(super) fn slowness(&self, now: Timestamp) -> f32 {
        if self.slowness <= 1.0 {
            return 1.0;
        }
        let half_lives = now.ms_since(self.judged_at) as f32 / HALF_LIFE_MS;
        let slowness = 1.0 + (self.slowness - 1.0) * (-half_lives).exp2();
        if slowness < MIN_SLOWNESS { 1.0 } else { slowness }
    }

    /// Returns whether the worker is judged slow.
    pub(super) fn is_slow(&self, now: Timestamp) -> bool {
        1.0 < self.slowness(now)
    }

    /// Returns whether no recent run was slow.
    fn is_unsuspected(&self) -> bool {
        self.slow.is_empty() && self.slowness <= 1.0
    }

    /// Records a run that is slower than expected by a factor.
    fn record_slow(&mut self, task: TaskKey, factor: f32, now: Timestamp) {
        self.sound.retain(|it| it.task != task && now.ms_since(it.at) < SOUND_MEMORY_MS);
        record(&mut self.slow, Evidence { task, factor, at: now }, SLOW_MEMORY_MS);
        let mut submissions: Vec<SubmissionId> =
            self.slow.iter().map(|it| it.task.step.submission).collect();
        submissions.sort_unstable();
        submissions.dedup();
        if submissions.len() < MIN_SLOW_SUBMISSIONS
            || self.slow.len() <= self.sound.len() * SLOW_PER_SOUND
        {
            return;
        }
        let mut factors: Vec<f32> = self.slow.iter().map(|it| it.factor).collect();
        self.slowness = median(&mut factors).min(MAX_SLOWNESS);
        self.judged_at = now;
    }

    /// Records a sound run.
    fn record_sound(&mut self, task: TaskKey, now: Timestamp) {
        record(&mut self.sound, Evidence { task, factor: 1.0, at: now }, SOUND_MEMORY_MS);
        self.slow.retain(|it| it.task != task && now.ms_since(it.at) < SLOW_MEMORY_BESIDE_SOUND_MS);
        let slowness = self.slowness(now);
        self.slowness = 1.0 + (slowness - 1.0) * REMAINS_AFTER_SOUND;
        self.judged_at = now;
    }
}

/// Adds or renews what a run shows, and forgets what is older than a time.
fn record(evidence: &mut Vec<Evidence>, new: Evidence, memory_ms: u64) {
    evidence.retain(|it| it.task != new.task && new.at.ms_since(it.at) < memory_ms);
    if evidence.len() == MAX_RUNS {
        evidence.remove(0);
    }
    evidence.push(new);
}

/// Returns the lower median of values that are not empty.
fn median(values: &mut [f32]) -> f32 {
    values.sort_unstable_by(f32::total_cmp);
    values[(values.len() - 1) / 2]
}

/// Returns whether a slow worker may be given a task beside its finite work: it
/// does that much less in the same time, and the first task shows whether it
/// still is slow.
pub(super) fn may_take(worker: &Worker, spec: &StepSpec, slowness: f32) -> bool {
    if spec.is_long_running {
        return true;
    }
    let finite_cpu = worker.batch_used.cpu.0 + worker.best_effort_cpu;
    let cpu = (finite_cpu + spec.demand.cpu.0) as f32 * slowness;
    finite_cpu == 0 || cpu <= worker.listing.capacity.cpu.0 as f32
}

/// Returns whether the progress of a step's run on a worker tells how fast the
/// worker is.
pub(super) fn is_comparable(spec: &StepSpec, worker: &Worker, pace: u8) -> bool {
    let is_near = spec.data_rack.as_deref().is_none_or(|it| worker.has_label(it));
    !spec.is_long_running
        && !spec.is_gang
        && !spec.wants_same_rack
        && is_near
        && pace == 100
        && !worker.warmup.is_cold()
        && MIN_ESTIMATE_MS <= spec.estimate_ms
        && (!spec.is_best_effort || 0 <= placement::leftover_cpu(worker))
}

impl Planner {
    /// Judges the speed of a worker by a run that a poll has listed.
    pub(super) fn judge_progress(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        bounds: DurationBounds,
        now: Timestamp,
    ) {
        let Some((estimate_ms, factor)) = self.expectation(index, task.step) else { return };
        let expected_ms = estimate_ms as f32 * factor;
        let is_sound = bounds.at_most.is_some_and(|it| it <= expected_ms * SOUND_FACTOR);
        let factor = bounds.at_least / expected_ms;
        self.record_speed(index, task, factor, is_sound, now);
    }

    /// Judges the speed of a worker by a run that was done, and remembers what
    /// the task took.
    pub(super) fn judge_done(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        now: Timestamp,
    ) {
        let Some(current) = self.current_run(index, task, run) else { return };
        let Some(window) = current.window.filter(|it| it.is_whole_run) else { return };
        let longest_ms = now.ms_since(current.ordered_at) as f32;
        let shortest_ms = current.listed_at.map_or(0, |it| it.ms_since(window.earliest));
        let shortest_ms = shortest_ms.saturating_sub(MAX_RESTORE_MS) as f32;
        let Some(work) = self.work.get(&task.step.submission) else { return };
        let spec = &work.submission.steps[usize::from(task.step.step)];
        let worker = &self.workers[index];
        if !is_comparable(spec, worker, 100) {
            return;
        }
        let Some((estimate_ms, factor)) = self.expectation(index, task.step) else { return };
        let expected_ms = estimate_ms as f32 * factor;
        let is_sound = longest_ms <= expected_ms * SOUND_FACTOR;
        self.record_speed(index, task, shortest_ms / expected_ms, is_sound, now);

        let factor = longest_ms / estimate_ms as f32;
        let service = &self.workers[index].listing.service;
        match self.pool_factors.get_mut(service) {
            Some(it) if *it < factor => *it *= 1.0 + POOL_FACTOR_STEP,
            Some(it) => *it /= 1.0 + POOL_FACTOR_STEP,
            None => {
                self.pool_factors.insert(service.clone(), 1.0);
            }
        }
        let work = self.work.get_mut(&task.step.submission);
        let occurrence = work.and_then(|it| it.occurrence_mut(task.step.occurrence));
        if let Some(occurrence) = occurrence {
            occurrence.steps[usize::from(task.step.step)].durations.record(index, factor);
        }
    }

    /// Returns the estimated duration of a step's tasks, and the factor by which
    /// they are expected to take longer, as seen from a worker.
    pub(super) fn expectation(&self, index: WorkerIndex, key: StepKey) -> Option<(u64, f32)> {
        let work = self.work.get(&key.submission)?;
        let estimate_ms = work.submission.steps[usize::from(key.step)].estimate_ms;
        let step = &work.occurrence(key.occurrence)?.steps[usize::from(key.step)];
        let pool = self.pool_factors.get(&work.queue.service).copied().unwrap_or(1.0);
        let factor = match step.durations.median_elsewhere(index) {
            Some(it) => it.clamp(pool / MAX_ESTIMATE_ERROR, pool * MAX_ESTIMATE_ERROR),
            None => pool * UNCORRECTED_ALLOWANCE,
        };
        Some((estimate_ms, factor))
    }

    /// Returns the penalty of a slow worker for a task of a step. The time that
    /// the task is expected to take there counts against its SLO deadline.
    pub(super) fn slowness_penalty(&self, key: StepKey, slowness: f32, now: Timestamp) -> i64 {
        let penalty = ((slowness - 1.0) * SLOWNESS_PENALTY) as i64;
        let Some(work) = self.work.get(&key.submission) else { return penalty };
        let spec = &work.submission.steps[usize::from(key.step)];
        let Some(occurrence) = work.occurrence(key.occurrence) else { return penalty };
        let path_ms = occurrence.steps[usize::from(key.step)].critical_path_ms;
        let delay_ms = (spec.estimate_ms as f32 * (slowness - 1.0)) as u64;
        let is_late = |ms| occurrence.slo_deadline < now.plus_ms(ms);
        let makes_late =
            !spec.is_long_running && !is_late(path_ms) && is_late(path_ms.saturating_add(delay_ms));
        if makes_late { penalty + placement::MISFIT_PENALTY } else { penalty }
    }

    /// Returns whether one more worker of a pool may be judged slow. What is slow
    /// on most of the workers is the work, or they all are: then none is slower
    /// than the others, and their pool needs them.
    fn may_be_slow(&self, index: WorkerIndex, now: Timestamp) -> bool {
        let service = &self.workers[index].listing.service;
        let pool = self.workers.iter().filter(|it| it.is_up() && it.listing.service == *service);
        let (mut slow, mut workers) = (0, 0);
        for it in pool {
            workers += 1;
            slow += usize::from(it.speed.is_slow(now));
        }
        circuit_breaker::may_restrict(slow, workers)
    }

    fn record_speed(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        factor: f32,
        is_sound: bool,
        now: Timestamp,
    ) {
        let was_slow = self.workers[index].speed.is_slow(now);
        let is_slow_run = SLOW_FACTOR <= factor;
        if is_slow_run && !was_slow && !self.may_be_slow(index, now) {
            return;
        }
        let worker = &mut self.workers[index];
        if is_slow_run {
            worker.speed.record_slow(task, factor, now);
        } else if is_sound {
            worker.speed.record_sound(task, now);
        }
        let slowness = worker.speed.slowness(now);
        if was_slow == worker.speed.is_slow(now) {
            return;
        }
        worker.is_changed = true;
        let kind = if was_slow { DecisionKind::WorkerSound } else { DecisionKind::WorkerSlow };
        let (slow, sound) = (worker.speed.slow.len(), worker.speed.sound.len());
        let id = self.worker_id(index);
        self.log_decision(kind, Some(task.step.submission), Some(id), || {
            format!("slowness={slowness:.1} slow_runs={slow} sound_runs={sound} task={task}")
        });
    }
}
