//! Reaction to the measurements in a poll: learns interference and sets the
//! pace of best-effort tasks.
//!
//! The load of latency-critical tasks can rise within seconds. Best-effort
//! tasks beside them are slowed down ahead of the rise, halted once a
//! latency-critical task stays over its target, and moved away if that does
//! not help.

use super::{
    Planner,
    forecast_errors::OverTargetCause,
    interference::Neighbour,
    pace::{self, LatencyCriticalTask},
    placement,
    work::WorkerIndex,
    workers::WorkloadKind,
};
use crate::{
    fleet::{
        id::{RunNumber, SubmissionId, TaskKey},
        message::Order,
    },
    time::Timestamp,
};

/// Shortest time between two changes of a task's pace, in milliseconds: a
/// measurement covers the last half second.
const PACE_SETTLE_MS: u64 = 500;
/// Time over its target after which a latency-critical task has all
/// best-effort tasks beside it halted, in milliseconds: what was learned of
/// them is wrong, and half of the time that users accept is left for the halt
/// to take effect.
const HALT_AFTER_MS: u64 = 1_400;
/// Time over its target after which a latency-critical task has all
/// best-effort tasks beside it stopped, in milliseconds: halting them was lost
/// or did not suffice, and a stop takes up to a second.
const STOP_AFTER_MS: u64 = 2_400;
/// Weight of the newest unexplained excess in the smoothed one.
const EXCESS_SMOOTHING: f32 = 0.25;
/// How far ahead loads are predicted when headroom is computed, in
/// milliseconds: until the next poll has taken effect.
const LOAD_HORIZON_MS: u64 = 500;

impl Planner {
    /// Learns from the measurements of a poll, and sets the pace of
    /// best-effort tasks.
    pub(super) fn adjust_pace(&mut self, index: WorkerIndex, now: Timestamp) {
        self.learn_interference(index, now);
        self.refresh_latency_critical(index, now);
        self.lift_max_paces(index);
        let worker = &self.workers[index];
        let best_effort =
            worker.allocations.iter().filter(|it| it.1.kind == WorkloadKind::BestEffort);
        let best_effort: Vec<_> = best_effort.map(|(task, it)| (*task, *it)).collect();
        if best_effort.is_empty() {
            return;
        }
        let over = worker.allocations.values().filter(|it| it.is_over_target);
        let over_ms = over.filter_map(|it| Some(now.ms_since(it.over_target_since?)));
        let over_ms = over_ms.max().unwrap_or(0);
        if STOP_AFTER_MS <= over_ms {
            for (task, allocation) in best_effort {
                let why = "beside a task that stays over its target";
                self.stop_and_move(index, task, allocation.run, why, now);
            }
            return;
        }
        let must_halt = HALT_AFTER_MS <= over_ms;
        let paces = if must_halt {
            vec![0; best_effort.len()]
        } else {
            let shares: Vec<_> = best_effort
                .iter()
                .map(|it| (it.1.image, placement::cpu_share(worker, &it.1)))
                .collect();
            let interference = &self.interference;
            pace::paces(&worker.latency_critical, &shares, |victim, neighbour| {
                interference.pressure(victim, neighbour)
            })
        };
        for ((task, allocation), percent) in best_effort.into_iter().zip(paces) {
            let percent = percent.min(allocation.max_pace);
            let is_settled = must_halt || PACE_SETTLE_MS <= now.ms_since(allocation.pace_set_at);
            if is_settled && pace::is_worth_changing(allocation.pace, percent) {
                self.set_pace(index, task, allocation.run, percent, now);
            }
        }
    }

    /// Lifts the bound on the pace of the runs that were started without
    /// processor time, as far as there is some now. Under overload that time is
    /// given in the order of work, so submissions that have not begun wait for
    /// their turn.
    fn lift_max_paces(&mut self, index: WorkerIndex) {
        let worker = &self.workers[index];
        let limited = worker.allocations.iter().filter(|it| it.1.max_pace < 100);
        let limited: Vec<TaskKey> = limited.map(|it| *it.0).collect();
        for task in limited {
            if !self.waits_for_turn(task) {
                self.workers[index].lift_max_pace(task, &self.interference);
            }
        }
    }

    /// Lifts the bound at once on the pace of the runs of a submission that begins
    /// under overload: runs at the lowest pace are moved elsewhere otherwise.
    pub(super) fn lift_begun(&mut self, id: SubmissionId, now: Timestamp) {
        let Some(work) = self.work.get(&id) else { return };
        if !self.loads.is_best_effort_overloaded(&work.queue.service) {
            return;
        }
        let runs: Vec<(TaskKey, WorkerIndex, RunNumber)> =
            work.runs().map(|(task, it)| (task, it.worker, it.run)).collect();
        for (task, index, run) in runs {
            let max_pace = |it: &Planner| Some(it.workers[index].allocations.get(&task)?.max_pace);
            if max_pace(self).is_some_and(|it| it < 100) {
                self.workers[index].lift_max_pace(task, &self.interference);
                if max_pace(self) == Some(100) {
                    self.set_pace(index, task, run, 100, now);
                }
            }
        }
    }

    fn waits_for_turn(&self, task: TaskKey) -> bool {
        let waiting = self.waiting_step(task.step);
        waiting.is_some_and(|it| it.is_new && it.overload.is_some())
    }

    /// Stops a run so that its task starts on another worker.
    pub(super) fn stop_and_move(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        why: &str,
        now: Timestamp,
    ) {
        if !self.is_current(index, task, run) {
            return;
        }
        if let Some(slot) = self.task_mut(task) {
            slot.avoid = Some(index);
        }
        self.stop(index, task, run, why, now);
    }

    fn learn_interference(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = &mut self.workers[index];
        let capacity = worker.listing.capacity.cpu.0.max(1) as f32;
        let interference = &mut self.interference;
        let neighbours: Vec<(TaskKey, WorkloadKind, Neighbour)> = worker
            .allocations
            .iter()
            .map(|(task, it)| {
                let used = match it.kind {
                    WorkloadKind::LatencyCritical => {
                        it.cpu as f32 * interference.load(task.step.submission, now)
                    }
                    WorkloadKind::Batch | WorkloadKind::BestEffort => it.measurement as f32,
                };
                (*task, it.kind, Neighbour { image: it.image, share: used / capacity })
            })
            .collect();
        let mut latency_critical_use = 0.0;
        let gap_ms = worker.measured_at.map_or(0, |it| now.ms_since(it));
        worker.measured_at = Some(now);
        let mut others = Vec::with_capacity(neighbours.len());
        for (task, allocation) in &mut worker.allocations {
            let (Some(image), Some(target)) = (allocation.image, allocation.tail_target_ms) else {
                continue;
            };
            let submission = task.step.submission;
            if allocation.is_over_target {
                let is_best_effort =
                    |it: &(TaskKey, WorkloadKind, Neighbour)| it.1 == WorkloadKind::BestEffort;
                let reserved = neighbours.iter().filter(|it| it.0 != *task && !is_best_effort(it));
                let cause = OverTargetCause::of(
                    interference.load(submission, now),
                    interference.limit(image, target as f32),
                    interference.excess(image, reserved.map(|it| it.2)),
                    neighbours.iter().any(is_best_effort),
                );
                self.forecast_errors.record_over_target(image, cause, gap_ms);
            }
            others.clear();
            others.extend(neighbours.iter().filter(|it| it.0 != *task).map(|it| it.2));
            let tail = allocation.measurement as f32;
            if let Some(error) = interference.observe(image, submission, tail, &others, now) {
                self.forecast_errors.record(image, error, now);
                allocation.unexplained_excess +=
                    EXCESS_SMOOTHING * (error - allocation.unexplained_excess);
            }
            latency_critical_use += allocation.cpu as f32 * interference.load(submission, now);
        }
        worker.latency_critical_use = latency_critical_use as u64;
    }

    /// Recomputes the loads and limits of the latency-critical tasks on a
    /// worker.
    pub(super) fn refresh_latency_critical(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = &self.workers[index];
        let interference = &self.interference;
        let soon = now.plus_ms(LOAD_HORIZON_MS);
        let mut latency_critical = Vec::new();
        for (task, allocation) in &worker.allocations {
            let (Some(image), Some(target)) = (allocation.image, allocation.tail_target_ms) else {
                continue;
            };
            let (mut other_excess, mut best_effort_excess) =
                (allocation.unexplained_excess.max(0.0), 0.0);
            for (other, it) in worker.allocations.iter().filter(|it| it.0 != task) {
                let full = placement::cpu_share(worker, it);
                let pressure = interference.pressure(image, it.image);
                match it.kind {
                    WorkloadKind::BestEffort => best_effort_excess += pressure * full,
                    WorkloadKind::LatencyCritical => {
                        let load = interference.load(other.step.submission, soon);
                        other_excess += pressure * full * load;
                    }
                    WorkloadKind::Batch => other_excess += pressure * full,
                }
            }
            latency_critical.push(LatencyCriticalTask {
                image,
                load: interference.load(task.step.submission, soon),
                limit: interference.limit(image, target as f32),
                other_excess,
                best_effort_excess,
            });
        }
        self.workers[index].latency_critical = latency_critical;
    }

    fn set_pace(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        percent: u8,
        now: Timestamp,
    ) {
        let current = self.work.get(&task.step.submission).and_then(|it| it.task(task)?.run());
        if !current.is_some_and(|it| it.run == run && it.is_confirmed()) {
            return;
        }
        let Some(allocation) = self.workers[index].allocations.get_mut(&task) else { return };
        allocation.pace = percent;
        allocation.pace_set_at = now;
        let worker = self.worker_id(index);
        self.actions.orders.push((worker, Order::Pace { task, run, percent }));
    }
}
