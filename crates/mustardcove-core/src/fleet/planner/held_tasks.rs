//! Tasks whose run was lost with an incarnation of its worker, by a proof that
//! this leader has received without being confirmed since.
//!
//! Unlike a worker that goes on, its next incarnation does not know the terms
//! that the one before has seen. It answers a leader that was replaced, and
//! lists no end that the successor has acknowledged before. So a successor may
//! know such a task to be done, or have started it again.
//!
//! A worker takes a while to restart. So a confirmation from within that time
//! before the loss is enough: no successor that began since can have heard of an
//! end before the restart.

use std::collections::BTreeMap;

use super::Planner;
use crate::{
    fleet::{id::TaskKey, poller::ACK_VALID_MS},
    time::Timestamp,
};

/// Shorter than any restart of a worker, in milliseconds.
const MIN_RESTART_MS: u64 = ACK_VALID_MS;

/// The tasks that wait for a confirmation. Until then their `not_before` is
/// [`Timestamp::MAX`].
#[derive(Clone, Debug, Default)]
pub(super) struct HeldTasks {
    tasks: BTreeMap<TaskKey, HeldTask>,
}

#[derive(Clone, Copy, Debug)]
struct HeldTask {
    /// The time that a confirmation has to cover: a little before the last proof
    /// that a run was lost.
    confirmed_from: Timestamp,
    /// The earliest start of the task apart from that.
    not_before: Timestamp,
}

impl Planner {
    /// Holds a task until no other leader can have led when its run was lost.
    pub(super) fn hold_until_confirmed(&mut self, task: TaskKey, now: Timestamp) {
        let confirmed_from = now.minus_ms(MIN_RESTART_MS);
        if self.is_past(confirmed_from, now) {
            return;
        }
        let Some(slot) = self.task_mut(task) else { return };
        let not_before = std::mem::replace(&mut slot.not_before, Timestamp::MAX);
        let held = self.held.tasks.entry(task).or_insert(HeldTask { confirmed_from, not_before });
        held.confirmed_from = confirmed_from;
    }

    /// Releases the tasks whose loss the last confirmation covers.
    pub(super) fn release_confirmed(&mut self) {
        let is_confirmed = |it: &(&TaskKey, &HeldTask)| it.1.confirmed_from <= self.sole_through;
        let confirmed = self.held.tasks.iter().filter(is_confirmed);
        let confirmed: Vec<(TaskKey, HeldTask)> = confirmed.map(|it| (*it.0, *it.1)).collect();
        for (task, held) in confirmed {
            self.held.tasks.remove(&task);
            if let Some(slot) = self.task_mut(task) {
                slot.not_before = held.not_before;
            }
        }
    }
}
