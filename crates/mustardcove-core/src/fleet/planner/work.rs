//! Submissions as tracked by the planner.
//!
//! Occurrences begin in the order of their numbers, a limited number at a time.
//! The record of a submission says how many have begun, and is written a moment
//! later, so an earlier leader may have begun more than the record shows; the
//! clock of a new leader may be behind, too. A worker that reports a run or an end
//! of an occurrence which has not begun here proves that it has begun: it is then
//! held ahead of the others, so that the report counts like any other. It keeps
//! its place once it is done, until all before it have begun.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    earlier_leases::EarlierLeases,
    rank::Overload,
    suspects::Suspicion,
    worker_speed::{ProgressWindow, StepDurations},
};
use crate::{
    fleet::{
        id::{ManifestVersion, RunNumber, TaskKey},
        manifest::Queue,
        record::{OccurrenceProgress, ProgressRecord, TaskProgress},
        submission::{MAX_TASKS, StepSpec, Submission, SubmissionState},
    },
    time::Timestamp,
};

/// Index of a worker in the planner's table.
pub(super) type WorkerIndex = usize;

/// Most occurrences of a submission that have begun and are not done.
const MAX_BEGUN_OCCURRENCES: usize = 1_024;
/// Most bytes of all checkpoints in a progress record, so that the store accepts
/// the record. Runs without one begin anew.
const MAX_CHECKPOINT_BYTES: usize = 256 << 10;

/// A submission and the state of its tasks.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) submission: Arc<Submission>,
    /// The queue as described by the newest manifest that contains it, of those
    /// that this leader and the process that accepted it know.
    pub(super) queue: Queue,
    pub(super) state: SubmissionState,
    /// Occurrences that have begun and are not done, and those from
    /// `next_occurrence` on that an earlier leader has begun.
    pub(super) occurrences: Vec<Occurrence>,
    /// All occurrences below this number have begun.
    pub(super) next_occurrence: u32,
    /// Whether a task was placed by its rank. Runs of starved submissions do
    /// not count, so that these do not precede work that can be on time.
    pub(super) is_begun: bool,
    /// Whether no earlier leader can have started a task of it.
    pub(super) is_known_unstarted: bool,
    /// Revision of the progress record, 0 while there is none.
    pub(super) progress_revision: u64,
    /// The number of its last change.
    pub(super) last_change: u64,
    /// The last change of the plan up to which its own are stored.
    pub(super) stored_change: u64,
    /// Whether its record could not be stored when that was last tried.
    pub(super) is_record_failing: bool,
    /// When the planner first learned of it.
    pub(super) known_since: Timestamp,
    /// When the first task was placed by its rank in this term.
    pub(super) begun_at: Option<Timestamp>,
    /// What determines its order under overload.
    pub(super) overload: Overload,
}

/// One occurrence of a submission: one execution of all its steps.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) number: u32,
    pub(super) steps: Vec<Step>,
    pub(super) due_at: Timestamp,
    pub(super) slo_deadline: Timestamp,
}

/// A step of an occurrence.
#[derive(Clone, Debug)]
pub(super) struct Step {
    /// Whether all steps that it depends on are done.
    pub(super) is_ready: bool,
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) unfinished: usize,
    /// When tasks of it were last ordered to start.
    pub(super) started_at: Timestamp,
    /// Estimated length of the critical path that begins with this step, in
    /// milliseconds.
    pub(super) critical_path_ms: u64,
    /// The last placement round that left a task of it waiting.
    pub(super) tried: Option<TriedRound>,
    /// Whether a worker could ever hold one of its tasks, and the version of the
    /// list of workers for which that was found out.
    pub(super) is_possible: Option<(u64, bool)>,
    /// What its tasks that are done took.
    pub(super) durations: StepDurations,
}

/// A placement round in which a task fitted on no worker that its step could
/// use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TriedRound {
    /// The number of the round.
    pub(super) round: u64,
    /// Whether the step could use workers that are reserved for others.
    pub(super) may_use_reserved: bool,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) phase: Phase,
    pub(super) failed_runs: Vec<RunNumber>,
    /// Highest run number used.
    pub(super) last_run: RunNumber,
    pub(super) checkpoint: Option<String>,
    /// Progress that the last run has saved, in percent.
    pub(super) saved_percent: u8,
    /// The worker of the last failed run, which the next run avoids.
    pub(super) avoid: Option<WorkerIndex>,
    /// Whether `not_before` is due to an eviction.
    pub(super) is_evicted: bool,
    /// The task is not placed before this time.
    pub(super) not_before: Timestamp,
    /// What is known of crashes under it, which is rare.
    pub(super) suspicion: Option<Box<Suspicion>>,
    /// Whether a worker crashed under it and runs that all seemed sound.
    pub(super) was_beside_crash: bool,
}

/// The phase of a task.
#[derive(Clone, Debug, Default)]
pub(super) enum Phase {
    /// Waiting for a worker.
    #[default]
    Waiting,
    /// Ordered to run, or running, on a worker.
    Placed(Run),
    /// Done.
    Done,
}

/// A run of a task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) worker: WorkerIndex,
    pub(super) run: RunNumber,
    pub(super) ordered_at: Timestamp,
    /// When the worker's poller had the first proof that the worker has begun
    /// it, on the poller's clock: the answer to its start, or a poll that lists
    /// it, which counts from when it was asked for. `None` until then.
    pub(super) confirmed_at: Option<Timestamp>,
    /// Whether a poll has listed it.
    pub(super) was_listed: bool,
    /// Consecutive polls that were asked for after it was confirmed and did not
    /// list it.
    pub(super) missed_polls: u32,
    pub(super) percent: u8,
    /// When the last poll that listed it was asked for, or its start was answered
    /// if that was later, on the poller's clock; `None` before, and once another
    /// poller has begun.
    pub(super) listed_at: Option<Timestamp>,
    /// Time between polls since `percent` last changed, in milliseconds. The
    /// leader's clock also runs while polls wait to be handled.
    pub(super) stalled_ms: u64,
    /// Its recent progress, as far as it tells how fast its worker is.
    pub(super) window: Option<ProgressWindow>,
}

impl Run {
    pub(super) fn new(worker: WorkerIndex, run: RunNumber, now: Timestamp) -> Run {
        Run {
            worker,
            run,
            ordered_at: now,
            confirmed_at: None,
            was_listed: false,
            missed_polls: 0,
            percent: 0,
            listed_at: None,
            stalled_ms: 0,
            window: None,
        }
    }

    /// Records that a poll which was asked for at `asked_at`, on the poller's
    /// clock, has listed it with this progress.
    pub(super) fn progress_listed(&mut self, percent: u8, asked_at: Timestamp) {
        if self.percent == percent {
            self.stalled_ms += self.listed_at.map_or(0, |it| asked_at.ms_since(it));
        } else {
            self.percent = percent;
            self.stalled_ms = 0;
        }
        self.listed_at = self.listed_at.max(Some(asked_at));
    }

    /// Returns whether the worker has confirmed it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }
}

impl Task {
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting)
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Returns how much of it remains, in percent.
    pub(super) fn remaining_percent(&self) -> u8 {
        match &self.phase {
            Phase::Waiting => 100 - self.saved_percent.min(100),
            Phase::Placed(run) => 100 - self.saved_percent.max(run.percent).min(100),
            Phase::Done => 0,
        }
    }

    pub(super) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Placed(run) => Some(run),
            Phase::Waiting | Phase::Done => None,
        }
    }

    pub(super) fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.phase {
            Phase::Placed(run) => Some(run),
            Phase::Waiting | Phase::Done => None,
        }
    }
}

impl Occurrence {
    pub(super) fn new(submission: &Submission, number: u32) -> Occurrence {
        let due_at = submission.schedule.map_or(submission.accepted_at, |it| it.due_at(number));
        let paths = submission.critical_paths_ms();
        let longest = paths.iter().copied().max().unwrap_or(0);
        let slo_deadline = slo_deadline(submission, longest, due_at);
        let steps = submission.steps.iter().zip(paths).map(|(it, critical_path_ms)| {
            let count = usize::from(it.count);
            Step {
                is_ready: false,
                tasks: vec![Task::default(); count],
                unfinished: count,
                started_at: Timestamp::default(),
                critical_path_ms,
                tried: None,
                is_possible: None,
                durations: StepDurations::default(),
            }
        });
        let mut occurrence = Occurrence { number, steps: steps.collect(), due_at, slo_deadline };
        occurrence.refresh_ready(submission);
        occurrence
    }

    /// Updates which steps have all their dependencies done.
    pub(super) fn refresh_ready(&mut self, submission: &Submission) {
        for (i, spec) in submission.steps.iter().enumerate() {
            let is_ready = spec.after.iter().all(|it| self.steps[usize::from(*it)].unfinished == 0);
            self.steps[i].is_ready = is_ready;
        }
    }

    /// Keeps its tasks from starting before it is due: it may be due by the clock
    /// of an earlier leader only.
    fn hold_until_due(&mut self) {
        for task in self.steps.iter_mut().flat_map(|it| &mut it.tasks) {
            task.not_before = task.not_before.max(self.due_at);
        }
    }

    /// Returns the work that remains of a step, in millicore-milliseconds.
    pub(super) fn remaining_work(&self, step: usize, spec: &StepSpec) -> u64 {
        let step = &self.steps[step];
        let percent = if step.is_ready {
            step.tasks.iter().map(|it| u64::from(it.remaining_percent())).sum()
        } else {
            100 * step.unfinished as u64
        };
        spec.task_work().saturating_mul(percent) / 100
    }

    /// Returns how many tasks of a step wait for a worker.
    pub(super) fn waiting_tasks(&self, step: u16) -> usize {
        let step = self.steps.get(usize::from(step));
        step.map_or(0, |it| it.tasks.iter().filter(|it| it.is_waiting()).count())
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|it| it.unfinished == 0)
    }

    fn progress(&self) -> OccurrenceProgress {
        let mut tasks = Vec::new();
        for (s, step) in self.steps.iter().enumerate() {
            for (i, task) in step.tasks.iter().enumerate() {
                let is_new = task.failed_runs.is_empty() && task.checkpoint.is_none();
                if is_new && !task.is_done() {
                    continue;
                }
                tasks.push(TaskProgress {
                    step: s as u16,
                    index: i as u16,
                    is_done: task.is_done(),
                    failed_runs: task.failed_runs.clone(),
                    checkpoint: task.checkpoint.clone().filter(|_| !task.is_done()),
                });
            }
        }
        OccurrenceProgress { occurrence: self.number, tasks }
    }
}

impl Work {
    /// Returns a submission without any progress.
    pub(super) fn new(
        submission: Arc<Submission>,
        is_known_unstarted: bool,
        now: Timestamp,
    ) -> Work {
        Work {
            queue: submission.queue.clone(),
            begun_at: None,
            overload: Overload {
                remaining_work: submission.finite_work(),
                wait_ms: 0,
                stretch_percent: 100,
                has_turn: false,
            },
            submission,
            state: SubmissionState::Queued,
            occurrences: Vec::new(),
            next_occurrence: 0,
            is_begun: false,
            is_known_unstarted,
            progress_revision: 0,
            last_change: 0,
            stored_change: 0,
            is_record_failing: false,
            known_since: now,
        }
    }

    /// Takes the queue of a manifest, unless that is older than the one under which
    /// the submission was accepted.
    pub(super) fn set_queue(&mut self, queue: &Queue, manifest: ManifestVersion) {
        if self.submission.manifest <= manifest {
            self.queue = queue.clone();
        }
    }

    /// Restores the progress that an earlier leader recorded.
    pub(super) fn restore(
        &mut self,
        progress: &ProgressRecord,
        revision: u64,
        earlier_leases: &EarlierLeases,
        now: Timestamp,
    ) {
        self.state = progress.state;
        self.is_begun = progress.state != SubmissionState::Queued;
        self.next_occurrence = progress.next_occurrence;
        self.progress_revision = revision;
        for recorded in &progress.occurrences {
            let mut occurrence = Occurrence::new(&self.submission, recorded.occurrence);
            for task in &recorded.tasks {
                let step = occurrence.steps.get_mut(usize::from(task.step));
                let Some(step) = step else { continue };
                let Some(slot) = step.tasks.get_mut(usize::from(task.index)) else { continue };
                slot.failed_runs.clone_from(&task.failed_runs);
                slot.checkpoint.clone_from(&task.checkpoint);
                if task.is_done {
                    slot.phase = Phase::Done;
                    step.unfinished -= 1;
                }
            }
            occurrence.refresh_ready(&self.submission);
            if occurrence.number >= self.next_occurrence {
                occurrence.hold_until_due();
            }
            self.occurrences.push(occurrence);
        }
        for recorded in &progress.suspects {
            let (step, index) = (usize::from(recorded.step), usize::from(recorded.index));
            let task = self.submission.task(recorded.occurrence, step, index);
            if let Some(slot) = self.task_mut(task).filter(|it| !it.is_done()) {
                let suspicion = Suspicion::restored(recorded, earlier_leases, now);
                slot.last_run = slot.last_run.max(suspicion.last_run());
                slot.suspicion = Some(Box::new(suspicion));
            }
        }
    }

    pub(super) fn progress(&self) -> ProgressRecord {
        let mut occurrences: Vec<_> = self.occurrences.iter().map(Occurrence::progress).collect();
        drop_excess_checkpoints(&mut occurrences);
        let suspects = self
            .suspects()
            .map(|(task, it)| it.record(task.step.occurrence, task.step.step, task.index));
        ProgressRecord {
            state: self.state,
            occurrences,
            next_occurrence: self.next_occurrence,
            suspects: suspects.collect(),
        }
    }

    /// Returns the tasks that may have crashed a worker.
    pub(super) fn suspects(&self) -> impl Iterator<Item = (TaskKey, &Suspicion)> {
        self.tasks().filter_map(|(key, task)| Some((key, task.suspicion.as_deref()?)))
    }

    /// Begins the occurrences that are due, and returns their numbers. Those
    /// beyond what the leader can hold begin once others are done.
    pub(super) fn begin_due(&mut self, now: Timestamp) -> Vec<u32> {
        let mut begun = Vec::new();
        let tasks: usize = self.submission.steps.iter().map(|it| usize::from(it.count)).sum();
        let most = (MAX_TASKS / tasks.max(1)).clamp(1, MAX_BEGUN_OCCURRENCES);
        let next = self.next_occurrence;
        let mut ahead: BTreeMap<u32, bool> = (self.occurrences.iter())
            .filter(|it| next <= it.number)
            .map(|it| (it.number, it.is_done()))
            .collect();
        let mut open = self.occurrences.len() - ahead.len();
        while self.next_occurrence < self.submission.occurrences() && !self.state.is_final() {
            let number = self.next_occurrence;
            let schedule = self.submission.schedule;
            match ahead.remove(&number) {
                Some(true) => self.occurrences.retain(|it| it.number != number),
                Some(false) => open += 1,
                None if most <= open || schedule.is_some_and(|it| now < it.due_at(number)) => break,
                None => {
                    self.occurrences.push(Occurrence::new(&self.submission, number));
                    open += 1;
                    begun.push(number);
                }
            }
            self.next_occurrence += 1;
        }
        begun
    }

    /// Holds the occurrence of a task that a worker has reported, if it has not
    /// begun here. Returns whether it is new.
    pub(super) fn begin_reported(&mut self, task: TaskKey) -> bool {
        let number = task.step.occurrence;
        let step = self.submission.steps.get(usize::from(task.step.step));
        let is_task = step.is_some_and(|it| task.index < it.count);
        let is_unbegun = (self.next_occurrence..self.submission.occurrences()).contains(&number);
        if !is_task || !is_unbegun || self.occurrence(number).is_some() {
            return false;
        }
        let mut occurrence = Occurrence::new(&self.submission, number);
        occurrence.hold_until_due();
        self.occurrences.push(occurrence);
        true
    }

    /// Removes an occurrence that is done; one ahead of the others is kept, as
    /// nothing else tells that it is done.
    pub(super) fn remove_done(&mut self, number: u32) {
        let next = self.next_occurrence;
        self.occurrences.retain(|it| it.number != number || next <= number);
    }

    pub(super) fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        self.occurrences.iter_mut().find(|it| it.number == number)
    }

    pub(super) fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.iter().find(|it| it.number == number)
    }

    pub(super) fn task(&self, key: TaskKey) -> Option<&Task> {
        let occurrence = self.occurrence(key.step.occurrence)?;
        occurrence.steps.get(usize::from(key.step.step))?.tasks.get(usize::from(key.index))
    }

    pub(super) fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let occurrence = self.occurrence_mut(key.step.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(key.step.step))?;
        step.tasks.get_mut(usize::from(key.index))
    }

    /// Returns whether every occurrence has begun and is done.
    pub(super) fn is_complete(&self) -> bool {
        self.next_occurrence == self.submission.occurrences() && self.occurrences.is_empty()
    }

    /// Returns the runs that are placed.
    pub(super) fn runs(&self) -> impl Iterator<Item = (TaskKey, &Run)> {
        self.tasks().filter_map(|(key, task)| Some((key, task.run()?)))
    }

    fn tasks(&self) -> impl Iterator<Item = (TaskKey, &Task)> {
        self.occurrences.iter().flat_map(move |occurrence| {
            occurrence.steps.iter().enumerate().flat_map(move |(s, step)| {
                step.tasks
                    .iter()
                    .enumerate()
                    .map(move |(i, task)| (self.submission.task(occurrence.number, s, i), task))
            })
        })
    }
}

/// Removes the checkpoints that exceed [`MAX_CHECKPOINT_BYTES`] together.
fn drop_excess_checkpoints(occurrences: &mut [OccurrenceProgress]) {
    let mut bytes = 0;
    for task in occurrences.iter_mut().flat_map(|it| &mut it.tasks) {
        bytes += task.checkpoint.as_ref().map_or(0, String::len);
        if MAX_CHECKPOINT_BYTES < bytes {
            task.checkpoint = None;
        }
    }
}

/// Returns the SLO deadline of work that became due at `due_at` and whose
/// critical path takes `critical_path_ms`.
fn slo_deadline(submission: &Submission, critical_path_ms: u64, due_at: Timestamp) -> Timestamp {
    let path = critical_path_ms as f64 * submission.queue.stretch;
    due_at.plus_ms((path as u64).saturating_add(submission.queue.delay_budget_ms))
}
