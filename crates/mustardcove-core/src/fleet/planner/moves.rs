//! Moves of tasks that hardly progress where they are: best-effort tasks beside
//! tasks that serve, and tasks on slow workers.

use super::{
    Planner,
    choice::PendingTasks,
    copies, placement,
    work::WorkerIndex,
    worker_speed,
    workers::{Worker, WorkloadKind},
};
use crate::{
    fleet::id::{RunNumber, TaskKey},
    time::Timestamp,
};

/// Pace at or below which a best-effort task is moved if it can be, in
/// percent.
const SLOW_PACE_PERCENT: u8 = 30;
/// Time at that pace before the move, in milliseconds: swings of the load free
/// capacity again within seconds, and a move costs a restore.
const SLOW_PACE_MS: u64 = 1_000;
/// Progress from which a task that saves none is not moved, in percent.
const MAX_LOST_PROGRESS_PERCENT: u8 = 15;
/// Most moves ordered at once; each changes the capacity that the next one
/// sees.
const MAX_MOVES: u32 = 4;
/// Time after a move was ordered in which the task may start on the other worker,
/// in milliseconds: it has to stop first.
const MOVE_MS: u64 = 1_500;
/// Slowed tasks from which on a round looks for no more moves: each is scored
/// on every worker.
const MAX_MOVE_CHECKS: usize = 12;
/// Time between two searches for runs to move away from slow workers, in
/// milliseconds: about that between two polls.
const STRAGGLER_INTERVAL_MS: u64 = 250;
/// Most runs that are being moved away from slow workers at a time.
const MAX_STRAGGLER_MOVES: usize = 12;
/// What a move costs, in milliseconds: the time to stop, and to restore the
/// longest checkpoint.
const MOVE_COST_MS: f32 = 1_100.0;
/// Factor by which a run has to be done sooner elsewhere, since forecasts err.
const MOVE_MARGIN: f32 = 1.5;

/// A best-effort run that was stopped so that it can go on elsewhere.
#[derive(Clone, Copy, Debug)]
pub(super) struct Move {
    to: WorkerIndex,
    /// What it demands, in millicores.
    cpu: u64,
    /// The processor time there is kept for it until then.
    expires_at: Timestamp,
}

impl Planner {
    /// Stops best-effort tasks that hardly progress where they are if another
    /// worker has capacity for them: the last task of a step decides when it
    /// ends.
    ///
    /// While many tasks are slow, each round looks at some of the workers only
    /// and the next continues after them.
    pub(super) fn move_slowed(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        self.moves.retain(|it| now < it.expires_at);
        let (mut moves, mut checks) = (0, 0);
        let count = self.workers.len();
        let first = self.next_move_check % count.max(1);
        for index in (0..count).map(|it| (first + it) % count) {
            if self.workers[index].best_effort_cpu == 0 {
                continue;
            }
            let slowed = self.workers[index].allocations.iter().filter(|(_, it)| {
                it.kind == WorkloadKind::BestEffort
                    && it.pace <= SLOW_PACE_PERCENT
                    && SLOW_PACE_MS <= now.ms_since(it.pace_set_at)
            });
            let slowed: Vec<(TaskKey, RunNumber)> =
                slowed.map(|(task, it)| (*task, it.run)).collect();
            checks += slowed.len();
            for (task, run) in slowed {
                if let Some(better) = self.find_better(index, task, run, schedulable, now) {
                    self.moves.push(better);
                    self.stop_and_move(
                        index,
                        task,
                        run,
                        "hardly works beside tasks that serve",
                        now,
                    );
                    moves += 1;
                }
                if moves == MAX_MOVES {
                    break;
                }
            }
            if moves == MAX_MOVES || MAX_MOVE_CHECKS <= checks {
                self.next_move_check = index + 1;
                return;
            }
        }
    }

    /// Returns the move of a run to a worker that has processor time for it, beside
    /// the runs that are being moved there.
    fn find_better(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<Move> {
        let current = self.current_run(index, task, run)?;
        let work = self.work.get(&task.step.submission)?;
        let spec = &work.submission.steps[usize::from(task.step.step)];
        let is_movable = current.is_confirmed()
            && (spec.saves_progress || current.percent < MAX_LOST_PROGRESS_PERCENT)
            && !self.stops.contains_key(&(index, task, run));
        if !is_movable {
            return None;
        }
        // Scarcity does not affect the score of best-effort work.
        let pending = PendingTasks::new(task.step, work, false);
        let req = self.request(&pending, spec, None);
        let cpu = spec.demand.cpu.0;
        let can_run = |it: &WorkerIndex| {
            self.has_leftover_beside_moves(*it, cpu) && self.score(&pending, req, *it, now).is_ok()
        };
        let to = schedulable.iter().copied().find(|it| *it != index && can_run(it))?;
        Some(Move { to, cpu, expires_at: now.plus_ms(MOVE_MS) })
    }

    /// Returns the processors that runs demand which are being moved to a worker, in
    /// millicores.
    fn moved_cpu(&self, to: WorkerIndex) -> u64 {
        self.moves.iter().filter(|it| it.to == to).map(|it| it.cpu).sum()
    }

    /// Returns whether a worker has processor time left over for a best-effort task
    /// that demands `cpu` millicores, beside the runs that are being moved there.
    fn has_leftover_beside_moves(&self, index: WorkerIndex, cpu: u64) -> bool {
        let leftover = placement::leftover_cpu(&self.workers[index]);
        placement::is_enough_left_over(leftover - self.moved_cpu(index) as i64, cpu)
    }

    /// Copies or stops runs on slow workers that would be done sooner elsewhere. This comes
    /// after a placement round, so that nothing waits for the room that it finds.
    pub(super) fn move_stragglers(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        if now < self.next_straggler_check {
            return;
        }
        self.next_straggler_check = now.plus_ms(STRAGGLER_INTERVAL_MS);
        let slow: Vec<WorkerIndex> =
            (0..self.workers.len()).filter(|it| self.workers[*it].speed.is_slow(now)).collect();
        let (mut moves, mut checks) = (0, 0);
        for index in slow {
            // What it may be given grows as the judgement fades.
            self.workers[index].is_changed = true;
            let allocations = &self.workers[index].allocations;
            let runs: Vec<(TaskKey, RunNumber)> =
                allocations.iter().map(|(task, it)| (*task, it.run)).collect();
            for (task, run) in runs {
                if moves == MAX_MOVES
                    || MAX_MOVE_CHECKS <= checks
                    || MAX_STRAGGLER_MOVES <= self.moves.len()
                {
                    return;
                }
                let Some(left_ms) = self.left_if_sooner_elsewhere(index, task, run, now) else {
                    continue;
                };
                checks += 1;
                let why = "on a slow worker";
                let is_copied = copies::MIN_REMAINING_MS <= left_ms
                    && self.start_copy(index, task, run, why, schedulable, now);
                if is_copied || !self.spec(task.step).is_some_and(|it| it.saves_progress) {
                    continue;
                }
                if let Some(better) = self.find_sound_move(index, task, schedulable, now) {
                    self.moves.push(better);
                    self.stop_and_move(index, task, run, why, now);
                    self.straggler_moves += 1;
                    moves += 1;
                }
            }
        }
    }

    /// Returns the time that a run on a slow worker is expected to need there, in
    /// milliseconds, if it would be done sooner from its checkpoint on a worker that is
    /// not slow.
    fn left_if_sooner_elsewhere(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        now: Timestamp,
    ) -> Option<f32> {
        let worker = &self.workers[index];
        let work = self.work.get(&task.step.submission)?;
        let spec = &work.submission.steps[usize::from(task.step.step)];
        let current = self.current_run(index, task, run)?;
        let pace = worker.allocations.get(&task).map_or(0, |it| it.pace);
        let is_movable = (spec.saves_progress || self.may_copy(index, task, run, now))
            && !self.copies.contains(task)
            && worker_speed::is_comparable(spec, worker, pace)
            && current.was_listed
            && !self.stops.contains_key(&(index, task, run));
        let (estimate_ms, factor) = self.expectation(index, task.step)?;
        if !is_movable {
            return None;
        }
        let has_checkpoint = work.task(task).is_some_and(|it| it.checkpoint.is_some());
        let expected_ms = estimate_ms as f32 * factor;
        let left = |percent: u8| expected_ms * f32::from(100 - percent.min(100)) / 100.0;
        let here_ms = left(current.percent) * worker.speed.slowness(now);
        let elsewhere_ms = left(if has_checkpoint { current.percent } else { 0 });
        ((elsewhere_ms + MOVE_COST_MS) * MOVE_MARGIN < here_ms).then_some(here_ms)
    }

    /// Returns the move of a task to the best worker that is not slow.
    fn find_sound_move(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<Move> {
        let cpu = self.spec(task.step)?.demand.cpu.0;
        let to = self.find_sound(index, task, None, |_| false, schedulable, now)?;
        Some(Move { to, cpu, expires_at: now.plus_ms(MOVE_MS) })
    }

    /// Returns the best worker other than `index` for a task that is not slow or
    /// reserved and has room for it beside the tasks that are being moved there, one
    /// that is preferred if there is any.
    pub(super) fn find_sound(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        avoid: Option<WorkerIndex>,
        is_preferred: impl Fn(&Worker) -> bool,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<WorkerIndex> {
        let work = self.work.get(&task.step.submission)?;
        let spec = self.spec(task.step)?;
        let pending = self.pending_of_step(task.step, work, false)?;
        let req = self.request(&pending, spec, avoid);
        let cpu = spec.demand.cpu.0;
        let has_room = |it: &WorkerIndex| {
            if spec.is_best_effort {
                self.has_leftover_beside_moves(*it, cpu)
            } else {
                self.moved_cpu(*it) + cpu <= self.workers[*it].free().cpu.0
            }
        };
        let is_sound = |it: &&WorkerIndex| {
            **it != index
                && !self.workers[**it].speed.is_slow(now)
                && !self.reserved.contains_key(it)
                && has_room(it)
        };
        let score = |it: &WorkerIndex| {
            let score = self.score(&pending, req, *it, now).ok()?;
            Some((is_preferred(&self.workers[*it]), score, *it))
        };
        Some(schedulable.iter().filter(is_sound).filter_map(score).max()?.2)
    }
}
