//! Periodic work of a group: publishing, reconciliation requests, timers and
//! tombstones.

use super::{
    Group, GroupAction,
    config::{EXPORT_INTERVAL_MS, RECONCILE_INTERVAL_MS, SUMMARY_INTERVAL_MS, TOMBSTONE_MS},
    takeover::strictest_class,
};
use crate::{
    class::ClassIndex,
    id::{ClassId, ShardId, TaskId},
    message::{GroupSummary, GroupToShard},
    placement::PlacementPolicy,
    time::Timestamp,
};

impl<P: PlacementPolicy> Group<P> {
    pub(super) fn poll_quotas(&mut self, out: &mut Vec<GroupAction>) {
        let mut ops = Vec::new();
        self.quotas.poll(self.now, &mut ops);
        out.extend(ops.into_iter().map(|(call, op)| GroupAction::Store { call, op }));
    }

    /// Publishes free capacity and learned slowdowns if they have changed.
    pub(super) fn publish(&mut self, out: &mut Vec<GroupAction>) {
        if self.summary_at <= self.now {
            self.summary_at = self.now.plus_ms(SUMMARY_INTERVAL_MS);
            let summary = self.summary();
            let same = |last: &GroupSummary| {
                *last == GroupSummary { made_at: last.made_at, ..summary.clone() }
            };
            if !self.last_summary.as_ref().is_some_and(same) {
                self.last_summary = Some(summary.clone());
                out.push(GroupAction::Summary(summary));
            }
        }
        if self.export_at <= self.now {
            self.export_at = self.now.plus_ms(EXPORT_INTERVAL_MS);
            let table = self.policy.export();
            if table != self.last_export {
                self.last_export = table.clone();
                out.push(GroupAction::Interference(table));
            }
        }
    }

    pub(super) fn send(&self, to: ShardId, body: GroupToShard, out: &mut Vec<GroupAction>) {
        out.push(GroupAction::ToShard { to, body });
    }

    /// Asks the shards that have not listed their bound attempts yet to do so.
    pub(super) fn request_reconciliation(&mut self, out: &mut Vec<GroupAction>) {
        if self.all_reconciled() || self.now < self.reconcile_at {
            return;
        }
        self.reconcile_at = self.now.plus_ms(RECONCILE_INTERVAL_MS);
        for shard in (0..self.cfg.shards).map(ShardId) {
            if !self.reconciled.contains(&shard) {
                self.send(shard, GroupToShard::OwnerChanged { epoch: self.epoch }, out);
            }
        }
    }

    /// Sets or clears the timer of a task.
    pub(super) fn set_timer(&mut self, task: TaskId, at: Option<Timestamp>) {
        let Some(it) = self.tasks.get_mut(&task) else { return };
        if let Some(old) = it.timer_at {
            self.timers.remove(&(old, task));
        }
        it.timer_at = at;
        if let Some(at) = at {
            self.timers.insert((at, task));
        }
    }

    /// Removes a task and releases everything that it holds.
    pub(super) fn remove_task(&mut self, task: TaskId) {
        self.release_resources(task);
        self.set_timer(task, None);
        let Some(it) = self.tasks.remove(&task) else { return };
        if let Some(worker) = self.fleet.get_mut(&it.worker) {
            worker.tasks.remove(&task);
        }
        self.health.clear_probe(&it.worker, &task);
    }

    /// Records that the end of an attempt is durable.
    pub(super) fn add_tombstone(&mut self, task: TaskId) {
        self.tombstones.insert(task, self.now);
        self.tombstone_queue.push_back((self.now.plus_ms(TOMBSTONE_MS), task));
    }

    pub(super) fn expire_tombstones(&mut self) {
        while self.tombstone_queue.front().is_some_and(|it| it.0 <= self.now) {
            if let Some((_, task)) = self.tombstone_queue.pop_front() {
                self.tombstones.remove(&task);
            }
        }
    }

    /// Returns the index of a class. A class that the agreement no longer has
    /// is added with the strictest rules.
    pub(super) fn class_index(&mut self, id: &ClassId) -> ClassIndex {
        if let Some(index) = self.classes.index_of(id) {
            return index;
        }
        self.classes.upsert(&strictest_class(id))
    }
}
