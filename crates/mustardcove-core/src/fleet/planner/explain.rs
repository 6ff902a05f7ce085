//! Explanations for operators: where a submission would go now and why, or
//! where its tasks are and what they wait for.
//!
//! The answer comes from the decisions themselves. The next plan is made on a
//! copy of the state, with the submission in it if it is new, so the starts
//! named are those that this leader would order, with all work ahead of them.
//! The planner itself is left as it is, counters included.
//!
//! The copy lacks submissions that have ended: a day has tens of thousands of
//! them, and no decision about others depends on one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::AtomicU64},
};

use super::{
    Actions, Planner,
    placement::{self, Obstacle},
    round::Candidate,
    waits::{self, Nearest},
    work::{Occurrence, Run, Task, Work, WorkerIndex},
};
use crate::{
    fleet::{
        explanation::{
            Explanation, ForecastOutlook, NearWorker, ObstacleCount, QueueSummary, RankExplanation,
            RunExplanation, StepExplanation, TaskExplanation, TaskStart,
        },
        id::{StepKey, SubmissionId, TaskKey},
        submission::Submission,
    },
    id::WorkerId,
    time::Timestamp,
};

/// Most steps of an explanation: each is scored on every worker.
const MAX_STEPS: usize = 16;
/// Most tasks and starts that are named for a step, which bounds the answer.
const MAX_TASKS: usize = 32;
/// Workers that are named for a step.
const MAX_NEAREST: usize = 5;
/// Most earlier steps that are named for a step.
const MAX_AFTER: usize = 16;

impl Planner {
    /// Explains where a submission would go if it were accepted now; one that the
    /// plan contains already is explained as it is.
    pub fn explain_new(&self, submission: Arc<Submission>, now: Timestamp) -> Explanation {
        let id = submission.id;
        if let Some(known) = self.explain_known(id, now) {
            return known;
        }
        let mut trial = self.trial_copy();
        trial.submit(submission, true, now);
        trial.into_explanation(id, false, now).unwrap_or_default()
    }

    /// Explains where the tasks of a submission are and what each waits for;
    /// `None` if the plan does not contain it.
    pub fn explain_known(&self, id: SubmissionId, now: Timestamp) -> Option<Explanation> {
        let work = self.work.get(&id)?;
        if work.state.is_final() {
            return Some(self.summarise(work, true, now));
        }
        self.trial_copy().into_explanation(id, true, now)
    }

    /// Returns the age of the oldest last poll of a worker that accepts work, in
    /// milliseconds; `None` if none does.
    pub fn oldest_poll_ms(&self, now: Timestamp) -> Option<u64> {
        let usable = (0..self.workers.len()).filter(|it| self.obstacle(*it, now).is_none());
        usable.filter_map(|it| Some(now.ms_since(self.workers[it].polled_at?))).max()
    }

    /// Returns a copy to try the next plan on. Each field is named, so that a new
    /// one is not forgotten.
    fn trial_copy(&self) -> Planner {
        let is_unfinished = |it: &(&SubmissionId, &Work)| !it.1.state.is_final();
        let unfinished = self.work.iter().filter(is_unfinished);
        Planner {
            term: self.term,
            run_base: self.run_base,
            manifest: self.manifest.clone(),
            work: unfinished.map(|(id, work)| (*id, work.clone())).collect(),
            scheduled: self.scheduled.clone(),
            workers: self.workers.clone(),
            worker_index: self.worker_index.clone(),
            waiting: self.waiting.clone(),
            reserved: self.reserved.clone(),
            stops: self.stops.clone(),
            unconfirmed: self.unconfirmed.clone(),
            change: self.change,
            dirty: self.dirty.clone(),
            in_flight: self.in_flight.clone(),
            unpublished: self.unpublished.clone(),
            cancelled_early: self.cancelled_early.clone(),
            unplanned_ends: self.unplanned_ends.clone(),
            lookups: self.lookups.clone(),
            earlier_leases: self.earlier_leases.clone(),
            evacuations: self.evacuations.clone(),
            cold_slack_ms: self.cold_slack_ms,
            fleet_version: self.fleet_version,
            sole_through: self.sole_through,
            may_start: self.may_start,
            is_fleet_complete: self.is_fleet_complete,
            pools_lacking_ends: self.pools_lacking_ends.clone(),
            are_entries_stale: self.are_entries_stale,
            interference: self.interference.clone(),
            forecast_errors: self.forecast_errors.clone(),
            tickets: self.tickets.clone(),
            suspects: self.suspects.clone(),
            held: self.held.clone(),
            blocked: self.blocked.clone(),
            waits: self.waits.clone(),
            loads: self.loads.clone(),
            round: self.round,
            next_move_check: self.next_move_check,
            moves: self.moves.clone(),
            evictions: self.evictions.clone(),
            next_straggler_check: self.next_straggler_check,
            straggler_moves: self.straggler_moves,
            copies: self.copies.clone(),
            pool_factors: self.pool_factors.clone(),
            scored_workers: AtomicU64::new(0),
            actions: Actions::default(),
        }
    }

    /// Explains a submission of this copy, and makes its next plan.
    fn into_explanation(
        mut self,
        id: SubmissionId,
        is_known: bool,
        now: Timestamp,
    ) -> Option<Explanation> {
        let candidates = self.candidates(now);
        let work = self.work.get(&id)?;
        let mut explanation = self.summarise(work, is_known, now);
        explanation.may_start = Some(self.may_start);
        explanation.waiting_steps = Some(candidates.len());
        let keys = open_steps(work);
        explanation.omitted_steps = keys.len().saturating_sub(MAX_STEPS);
        let keys = keys.into_iter().take(MAX_STEPS);
        explanation.steps =
            keys.filter_map(|it| self.explain_step(it, is_known, &candidates, now)).collect();
        let waiting: Vec<BTreeSet<u16>> =
            explanation.steps.iter().map(|it| self.waiting_indices(it.step)).collect();
        self.tick(now);
        for (step, waiting) in explanation.steps.iter_mut().zip(waiting) {
            let starts = waiting.into_iter().filter_map(|task| {
                let key = TaskKey { step: step.step, index: task };
                let run = self.work.get(&id)?.task(key)?.run()?;
                Some(TaskStart { task, worker: self.worker_id(run.worker) })
            });
            step.starts = starts.collect();
            step.start_count = step.starts.len();
            step.starts.truncate(MAX_TASKS);
        }
        explanation.forecast = self.explain_end(id, now);
        Some(explanation)
    }

    /// Returns the forecast end of a submission that is not done.
    fn explain_end(&mut self, id: SubmissionId, now: Timestamp) -> Option<ForecastOutlook> {
        // The last measurement lacks a submission that is new in this copy.
        self.loads.measure_at = now;
        self.measure_loads(now);
        let end = self.forecast_end(id, now)?;
        Some(ForecastOutlook { ends_in_ms: end.ms_since(now) })
    }

    /// Returns what is said of a submission as a whole.
    fn summarise(&self, work: &Work, is_known: bool, now: Timestamp) -> Explanation {
        let schedule = work.submission.schedule;
        let next = schedule.filter(|_| work.next_occurrence < work.submission.occurrences());
        Explanation {
            submission: Some(work.submission.id),
            is_known,
            queue: Some(QueueSummary::from(&work.queue)),
            manifest: self.manifest.version,
            state: Some(work.state),
            evacuated: Some(self.evacuations.domains.iter().cloned().collect()),
            next_occurrence_in_ms: next
                .map(|it| waits::signed_ms(now, it.due_at(work.next_occurrence))),
            ..Explanation::default()
        }
    }

    fn explain_step(
        &self,
        key: StepKey,
        is_known: bool,
        candidates: &[Candidate],
        now: Timestamp,
    ) -> Option<StepExplanation> {
        let work = self.work.get(&key.submission)?;
        let occurrence = work.occurrence(key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        let spec = self.spec(key)?;
        let eligible = self.eligible_workers(key, now)?;
        let unfinished = |it: &&u16| 0 < occurrence.steps[usize::from(**it)].unfinished;
        let states: Vec<TaskExplanation> =
            if is_known { self.explain_tasks(key, &eligible, now) } else { Vec::new() };
        Some(StepExplanation {
            step: key,
            demand: spec.demand,
            is_best_effort: spec.is_best_effort,
            is_gang: spec.is_gang,
            is_long_running: spec.is_long_running,
            tasks: step.tasks.len(),
            done: step.tasks.iter().filter(|it| it.is_done()).count(),
            waiting: occurrence.waiting_tasks(key.step),
            after: spec.after.iter().filter(unfinished).copied().take(MAX_AFTER).collect(),
            rank: self.explain_rank(key, candidates, now),
            starts: Vec::new(),
            start_count: 0,
            best: self.best_worker(key, &eligible, now),
            usable: eligible.iter().filter(|it| it.obstacle.is_none()).count(),
            obstacles: self.count_obstacles(&work.queue.service, &eligible),
            omitted_tasks: states.len().saturating_sub(MAX_TASKS),
            states: states.into_iter().take(MAX_TASKS).collect(),
            nearest: self.name_nearest(key, eligible),
        })
    }

    fn explain_rank(
        &self,
        key: StepKey,
        candidates: &[Candidate],
        now: Timestamp,
    ) -> Option<RankExplanation> {
        let own = candidates.iter().find(|it| it.key == key)?;
        let waiting = self.waiting_step(key)?;
        let ahead = || candidates.iter().filter(|it| it.rank < own.rank);
        let tasks = |it: &Candidate| {
            let occurrence = self.work.get(&it.key.submission)?.occurrence(it.key.occurrence)?;
            Some(occurrence.waiting_tasks(it.key.step))
        };
        let latest_start = waiting.slo_deadline.minus_ms(waiting.critical_path_ms);
        Some(RankExplanation {
            class: own.rank.class().to_owned(),
            priority: waiting.priority,
            is_new: waiting.is_new,
            steps_ahead: ahead().count(),
            tasks_ahead: ahead().filter_map(tasks).sum(),
            latest_start_in_ms: waits::signed_ms(now, latest_start),
            slo_deadline_in_ms: waits::signed_ms(now, waiting.slo_deadline),
        })
    }

    /// Returns the worker with the best score for the next task of a step, of
    /// those without an obstacle.
    fn best_worker(&self, key: StepKey, eligible: &[Nearest], now: Timestamp) -> Option<WorkerId> {
        let work = self.work.get(&key.submission)?;
        let spec = self.spec(key)?;
        let schedulable = (0..self.workers.len()).filter(|it| self.obstacle(*it, now).is_none());
        let is_scarce = placement::is_scarce(schedulable.map(|it| &self.workers[it]));
        let pending = self.pending_of_step(key, work, is_scarce)?;
        let step = &work.occurrence(key.occurrence)?.steps[usize::from(key.step)];
        let next = step.tasks.iter().find(|it| it.is_waiting())?;
        let usable = eligible.iter().filter(|it| it.obstacle.is_none());
        let usable: Vec<WorkerIndex> = usable.map(|it| it.index).collect();
        let best = self.choose(&pending, spec, next.avoid, &usable, now)?;
        Some(self.worker_id(best))
    }

    /// Returns how many workers of a pool have which obstacle.
    fn count_obstacles(&self, service: &str, eligible: &[Nearest]) -> Vec<ObstacleCount> {
        let mut counts: BTreeMap<Obstacle, usize> = BTreeMap::new();
        for obstacle in eligible.iter().filter_map(|it| it.obstacle) {
            *counts.entry(obstacle).or_default() += 1;
        }
        let in_pool = self.workers.iter().filter(|it| it.listing.service == service).count();
        let ineligible = in_pool.saturating_sub(eligible.len());
        if 0 < ineligible {
            counts.insert(Obstacle::Ineligible, ineligible);
        }
        let count = |(obstacle, workers): (Obstacle, usize)| ObstacleCount {
            obstacle: obstacle.to_string(),
            workers,
        };
        counts.into_iter().map(count).collect()
    }

    fn name_nearest(&self, key: StepKey, mut eligible: Vec<Nearest>) -> Vec<NearWorker> {
        let needed = self.spec(key).map(|it| it.allocation()).unwrap_or_default();
        eligible.sort_by_cached_key(|it| self.distance(it, needed));
        let near = |it: Nearest| {
            let worker = &self.workers[it.index];
            NearWorker {
                worker: worker.listing.worker.clone(),
                domain: worker.listing.domain.clone(),
                obstacle: it.obstacle.map(|it| it.to_string()),
                free: worker.free(),
                leftover_millicores: placement::leftover_cpu(worker),
            }
        };
        eligible.into_iter().take(MAX_NEAREST).map(near).collect()
    }

    /// Explains the tasks of a step that are not done.
    fn explain_tasks(
        &self,
        key: StepKey,
        eligible: &[Nearest],
        now: Timestamp,
    ) -> Vec<TaskExplanation> {
        let Some(work) = self.work.get(&key.submission) else { return Vec::new() };
        let occurrence = work.occurrence(key.occurrence);
        let Some(step) = occurrence.map(|it| &it.steps[usize::from(key.step)]) else {
            return Vec::new();
        };
        let needed = self.spec(key).map(|it| it.allocation()).unwrap_or_default();
        let nearest = eligible.iter().min_by_key(|it| self.distance(it, needed));
        let explain = |(i, task): (usize, &Task)| {
            let index = i as u16;
            let key = TaskKey { step: key, index };
            let is_alive = task.run().is_some_and(|it| self.is_alive(key, it));
            let obstacle = nearest.and_then(|it| it.obstacle).map(|it| it.to_string());
            let wait = || match step.is_ready {
                true => self.wait_reason(key, nearest, now).map(|it| it.to_string()),
                false => Some("earlier_steps".to_owned()),
            };
            TaskExplanation {
                task: index,
                run: task.run().map(|it| self.explain_run(it, now)),
                waits_for: if is_alive { None } else { wait() },
                obstacle: obstacle.filter(|_| step.is_ready && task.is_waiting()),
                failed_runs: task.failed_runs.len(),
            }
        };
        let open = step.tasks.iter().enumerate().filter(|it| !it.1.is_done());
        open.map(explain).collect()
    }

    fn explain_run(&self, run: &Run, now: Timestamp) -> RunExplanation {
        RunExplanation {
            worker: self.worker_id(run.worker),
            run: run.run,
            percent: run.percent,
            ordered_ms: now.ms_since(run.ordered_at),
        }
    }

    /// Returns the indices of the tasks of a step that wait for a worker.
    fn waiting_indices(&self, key: StepKey) -> BTreeSet<u16> {
        let work = self.work.get(&key.submission);
        let occurrence = work.and_then(|it| it.occurrence(key.occurrence));
        let tasks = occurrence.map_or(&[][..], |it| &it.steps[usize::from(key.step)].tasks);
        let waiting = tasks.iter().enumerate().filter(|it| it.1.is_waiting());
        waiting.map(|it| it.0 as u16).collect()
    }
}

/// Returns the steps of a submission that are not done.
fn open_steps(work: &Work) -> Vec<StepKey> {
    let of_occurrence = |occurrence: &Occurrence| {
        let keys = work.submission.step_keys(occurrence.number).zip(&occurrence.steps);
        let open = keys.filter(|(_, step)| 0 < step.unfinished).map(|it| it.0);
        open.collect::<Vec<StepKey>>()
    };
    work.occurrences.iter().flat_map(of_occurrence).collect()
}
