//! Moves of best-effort tasks that hardly progress where they are.

use super::{Planner, choice::PendingTasks, placement, work::WorkerIndex, workers::WorkloadKind};
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
        let is_left_over = |it: &WorkerIndex| {
            let moved = self.moves.iter().filter(|moved| moved.to == *it);
            let moved: u64 = moved.map(|it| it.cpu).sum();
            let leftover = placement::leftover_cpu(&self.workers[*it]);
            placement::is_enough_left_over(leftover - moved as i64, cpu)
        };
        let can_run =
            |it: &WorkerIndex| is_left_over(it) && self.score(&pending, req, *it, now).is_ok();
        let to = schedulable.iter().copied().find(|it| *it != index && can_run(it))?;
        Some(Move { to, cpu, expires_at: now.plus_ms(MOVE_MS) })
    }
}
