//! What follows from the figures of a look: what is learned of disturbance,
//! and the pace of tasks that fill.
//!
//! Answers the load in which the load of serving tasks rises within seconds:
//! fills beside them are slowed down ahead of it, halted once one stays over
//! its target, and moved away if that does not help.

use super::{
    Planner,
    interference::Neighbour,
    pace::{self, Serving},
    placing,
    work::WorkerIndex,
    workers::ChargeKind,
};
use crate::{
    fleet::{
        id::{RunNumber, TaskKey},
        message::Order,
    },
    time::Timestamp,
};

/// Shortest time between two changes of a task's pace, in milliseconds: a
/// figure describes the last half second.
const SETTLE_MS: u64 = 500;
/// A serving task whose tail has been over its target for this long has all
/// fills beside it halted, in milliseconds: what was learned of them is wrong,
/// and half of the time that users accept is left for the halt to show.
const HARMED_AFTER_MS: u64 = 1_400;
/// A serving task that is still over its target after this time has all fills
/// beside it stopped, in milliseconds: halting them was lost or did not
/// suffice, and a stop takes up to a second.
const STOPPED_AFTER_MS: u64 = 2_400;
/// Part of the newest error of a task's factor that enters the smoothed one.
const UNEXPLAINED_RATE: f32 = 0.25;
/// How far ahead loads are expected when room is judged, in milliseconds:
/// until the next look has taken effect.
const FORESIGHT_MS: u64 = 500;

impl Planner {
    /// Learns from the figures of a look, and sets the pace of what fills.
    pub(super) fn adjust_pace(&mut self, index: WorkerIndex, now: Timestamp) {
        self.learn_disturbance(index, now);
        self.refresh_serving(index, now);
        let worker = &self.workers[index];
        let fills = worker.charged.iter().filter(|it| it.1.kind == ChargeKind::Fills);
        let fills: Vec<_> = fills.map(|(task, it)| (*task, *it)).collect();
        if fills.is_empty() {
            return;
        }
        let over_ms = worker.charged.values().filter_map(|it| Some(now.ms_since(it.over_since?)));
        let over_ms = over_ms.max().unwrap_or(0);
        if STOPPED_AFTER_MS <= over_ms {
            for (task, charged) in fills {
                let why = "beside a task that stays over its target";
                self.stop_here(index, task, charged.run, why, now);
            }
            return;
        }
        let is_harmed = HARMED_AFTER_MS <= over_ms;
        let paces = if is_harmed {
            vec![0; fills.len()]
        } else {
            let shares: Vec<_> =
                fills.iter().map(|it| (it.1.image, placing::share(worker, &it.1))).collect();
            let interference = &self.interference;
            pace::paces(&worker.serving, &shares, |it, fill| interference.pressure(it, fill))
        };
        for ((task, charged), percent) in fills.into_iter().zip(paces) {
            let is_settled = is_harmed || SETTLE_MS <= now.ms_since(charged.paced_at);
            if is_settled && pace::is_worth_changing(charged.pace, percent) {
                self.set_pace(index, task, charged.run, percent, now);
            }
        }
    }

    /// Stops a run, to start its task on another worker.
    pub(super) fn stop_here(
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

    fn learn_disturbance(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = &mut self.workers[index];
        let capacity = worker.listing.capacity.cpu.0.max(1) as f32;
        let interference = &mut self.interference;
        let neighbours: Vec<(TaskKey, Neighbour)> = worker
            .charged
            .iter()
            .map(|(task, it)| {
                let used = match it.kind {
                    ChargeKind::Serves => {
                        it.cpu as f32 * interference.load(task.step.submission, now)
                    }
                    ChargeKind::Computes | ChargeKind::Fills => it.measurement as f32,
                };
                (*task, Neighbour { image: it.image, share: used / capacity })
            })
            .collect();
        let mut serving_use = 0.0;
        let mut others = Vec::with_capacity(neighbours.len());
        for (task, charged) in &mut worker.charged {
            let (Some(image), Some(_)) = (charged.image, charged.tail_target_ms) else {
                continue;
            };
            let submission = task.step.submission;
            others.clear();
            others.extend(neighbours.iter().filter(|it| it.0 != *task).map(|it| it.1));
            let tail = charged.measurement as f32;
            if let Some(error) = interference.observe(image, submission, tail, &others, now) {
                charged.unexplained += UNEXPLAINED_RATE * (error - charged.unexplained);
            }
            serving_use += charged.cpu as f32 * interference.load(submission, now);
        }
        worker.serving_use = serving_use as u64;
    }

    /// Recomputes the room of the serving tasks on a worker.
    pub(super) fn refresh_serving(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = &self.workers[index];
        let interference = &self.interference;
        let soon = now.plus_ms(FORESIGHT_MS);
        let mut serving = Vec::new();
        for (task, charged) in &worker.charged {
            let (Some(image), Some(target)) = (charged.image, charged.tail_target_ms) else {
                continue;
            };
            let (mut other_excess, mut fill_excess) = (charged.unexplained.max(0.0), 0.0);
            for (other, it) in worker.charged.iter().filter(|it| it.0 != task) {
                let full = placing::share(worker, it);
                let pressure = interference.pressure(image, it.image);
                match it.kind {
                    ChargeKind::Fills => fill_excess += pressure * full,
                    ChargeKind::Serves => {
                        let load = interference.load(other.step.submission, soon);
                        other_excess += pressure * full * load;
                    }
                    ChargeKind::Computes => other_excess += pressure * full,
                }
            }
            serving.push(Serving {
                image,
                load: interference.load(task.step.submission, soon),
                limit: interference.limit(image, target as f32),
                other_excess,
                fill_excess,
            });
        }
        self.workers[index].serving = serving;
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
        if !current.is_some_and(|it| it.run == run && it.is_confirmed) {
            return;
        }
        let Some(charged) = self.workers[index].charged.get_mut(&task) else { return };
        charged.pace = percent;
        charged.paced_at = now;
        let worker = self.worker_id(index);
        self.actions.orders.push((worker, Order::Pace { task, run, percent }));
    }
}
