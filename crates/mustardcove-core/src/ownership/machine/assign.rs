//! Assignment of shards and groups: takeover, handover and rebalancing.

use std::collections::btree_map::Entry;

use rand::RngExt as _;

use super::{
    HANDOVER_WAIT_MS, Ownership, OwnershipAction, PROCESS_ENDED_AFTER_MS, PendingShard,
    REBALANCE_AFTER_MS, REBALANCE_INTERVAL_MS,
};
use crate::{
    id::{Epoch, GroupId, ProcessId, ShardId, WriteToken},
    ownership::{
        claim::ClaimAttempt,
        rank::{preferred_group_owner, preferred_shard_owner},
        record::{ClaimRecord, ProcessKind, SessionRecord},
    },
    store::Expect,
    time::Timestamp,
};

impl Ownership {
    pub(super) fn handle_shard_request(
        &mut self,
        shard: ShardId,
        by: ProcessId,
        out: &mut Vec<OwnershipAction>,
    ) {
        if !self.shards.contains(&shard) {
            out.push(OwnershipAction::NotifyShardReleased { shard, to: by });
        } else {
            self.start_handover(shard, by, out);
        }
    }

    fn start_handover(&mut self, shard: ShardId, to: ProcessId, out: &mut Vec<OwnershipAction>) {
        if let Entry::Vacant(slot) = self.handing_over.entry(shard) {
            slot.insert(to.clone());
            out.push(OwnershipAction::HandOverShard { shard, to });
        }
    }

    pub(super) fn handle_group_released(&mut self, now: Timestamp, group: &GroupId) {
        let Some(held) = self.groups.get(group) else { return };
        let Some(location) = self.locations.get(group) else { return };
        let candidates = self.candidates().filter(|it| it.process != *self.process());
        let Some(successor) = preferred_group_owner(location, candidates) else { return };
        let record = ClaimRecord {
            holder: successor.process.clone(),
            epoch: held.epoch.next(),
            token: WriteToken(self.rng.random()),
        };
        let expect = Expect::Version(held.version);
        let attempt = ClaimAttempt::new(group.clone(), record, expect, None, now);
        self.claim_attempts.insert(group.clone(), attempt);
    }

    /// Returns the live scheduler processes that may own shards and groups.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &SessionRecord> {
        let leaving =
            |it: &SessionRecord| it.draining || (self.draining && it.process == *self.process());
        self.processes().filter(move |it| it.kind == ProcessKind::Scheduler && !leaving(it))
    }

    fn is_settled(&self, now: Timestamp) -> bool {
        let own = self.live.contains_key(self.process());
        own && self.sessions.is_listed()
            && self.claims.is_listed()
            && self.settles_at.is_some_and(|it| it <= now)
    }

    pub(super) fn update_assignments(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        self.report_ended_processes(now, out);
        if self.drained {
            return;
        }
        if !self.session.is_valid(now) {
            self.pending_shards.clear();
            return;
        }
        if self.draining {
            self.hand_over_all(now, out);
            return;
        }
        self.settled |= self.is_settled(now);
        if !self.settled {
            return;
        }
        for number in 0..self.cfg.shards {
            self.take_over_shard(now, ShardId(number), out);
        }
        let groups: Vec<GroupId> = self.locations.keys().cloned().collect();
        for group in &groups {
            self.claim_group(now, group);
        }
        self.rebalance(now, out);
    }

    fn report_ended_processes(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        // While the store does not answer, a missing session does not show that
        // its process has ended.
        if !self.sessions.is_current() {
            return;
        }
        self.session_ended_at.retain(|process, ended_at| {
            let has_ended = ended_at.plus_ms(PROCESS_ENDED_AFTER_MS) <= now;
            if has_ended {
                out.push(OwnershipAction::ProcessEnded(process.clone()));
            }
            !has_ended
        });
    }

    /// Takes over a shard if this process ranks first for it.
    ///
    /// The likely owner is first asked to hand the shard over. The shard is
    /// opened when that process no longer owns it or has ended, and otherwise
    /// after [`HANDOVER_WAIT_MS`].
    fn take_over_shard(&mut self, now: Timestamp, shard: ShardId, out: &mut Vec<OwnershipAction>) {
        let me = self.process().clone();
        let first = preferred_shard_owner(shard, self.candidates()).map(|it| it.process.clone());
        if first.as_ref() != Some(&me) || self.shards.contains(&shard) {
            self.pending_shards.remove(&shard);
            return;
        }
        let others =
            self.processes().filter(|it| it.kind == ProcessKind::Scheduler && it.process != me);
        let previous = preferred_shard_owner(shard, others).map(|it| it.process.clone());
        match self.pending_shards.get(&shard) {
            None => {
                let open_at = match &previous {
                    Some(owner) => {
                        let owner = owner.clone();
                        out.push(OwnershipAction::RequestShardHandover { shard, owner });
                        now.plus_ms(HANDOVER_WAIT_MS)
                    }
                    None => now,
                };
                self.pending_shards.insert(shard, PendingShard { asked: previous, open_at });
            }
            Some(pending) => {
                // The owner that was asked may have ended in the meantime.
                let asked = pending.asked.as_ref();
                if asked.is_some_and(|it| !self.live.contains_key(it)) {
                    self.pending_shards.insert(shard, PendingShard { asked: None, open_at: now });
                }
            }
        }
        if self.pending_shards.get(&shard).is_some_and(|it| it.open_at <= now) {
            self.pending_shards.remove(&shard);
            self.shards.insert(shard);
            out.push(OwnershipAction::OpenShard(shard));
        }
    }

    /// Starts to claim a group that has no live owner or whose claim names this
    /// process.
    fn claim_group(&mut self, now: Timestamp, group: &GroupId) {
        if self.groups.contains_key(group) || self.claim_attempts.contains_key(group) {
            return;
        }
        let first = preferred_group_owner(&self.locations[group], self.candidates());
        let ranks_first = first.is_some_and(|it| it.process == *self.process());
        let (epoch, expect, previous_holder) = match self.claim_records.get(group) {
            None if ranks_first => (Epoch(1), Expect::Absent, None),
            None => return,
            // The claim was handed to this process, or this process wrote it
            // under a session that has ended since. No other process may take
            // it while this one has a session.
            Some((record, version)) if record.holder == *self.process() => {
                (record.epoch.next(), Expect::Version(*version), None)
            }
            Some((record, version)) => {
                if !ranks_first || self.live.contains_key(&record.holder) {
                    return;
                }
                let holder = Some(record.holder.clone());
                (record.epoch.next(), Expect::Version(*version), holder)
            }
        };
        let record = ClaimRecord {
            holder: self.process().clone(),
            epoch,
            token: WriteToken(self.rng.random()),
        };
        let attempt = ClaimAttempt::new(group.clone(), record, expect, previous_holder, now);
        self.claim_attempts.insert(group.clone(), attempt);
    }

    /// Returns a shard that this process owns and should hand over, and the
    /// process that should own it.
    ///
    /// With `now`, it is due for rebalancing: the session of the other process
    /// has reached its minimum age.
    fn misplaced_shard(&self, now: Option<Timestamp>) -> Option<(ShardId, ProcessId)> {
        self.shards.iter().filter(|it| !self.handing_over.contains_key(it)).find_map(|shard| {
            let first = preferred_shard_owner(*shard, self.candidates())?;
            self.may_move_to(first, now).then(|| (*shard, first.process.clone()))
        })
    }

    /// Returns a group that this process owns and should hand over; `now` as in
    /// [`Ownership::misplaced_shard`].
    fn misplaced_group(&self, now: Option<Timestamp>) -> Option<GroupId> {
        let movable = self.groups.iter().filter(|(_, held)| !held.releasing);
        movable.map(|(group, _)| group).find_map(|group| {
            let first = preferred_group_owner(self.locations.get(group)?, self.candidates())?;
            self.may_move_to(first, now).then(|| group.clone())
        })
    }

    fn may_move_to(&self, target: &SessionRecord, now: Option<Timestamp>) -> bool {
        if target.process == *self.process() {
            return false;
        }
        let seen_at = self.live.get(&target.process).map_or(Timestamp::MAX, |(_, at)| *at);
        now.is_none_or(|it| seen_at.plus_ms(REBALANCE_AFTER_MS) <= it)
    }

    pub(super) fn owns_misplaced(&self) -> bool {
        self.misplaced_shard(None).is_some() || self.misplaced_group(None).is_some()
    }

    fn rebalance(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        if now < self.rebalance_at {
            return;
        }
        if let Some((shard, to)) = self.misplaced_shard(Some(now)) {
            self.start_handover(shard, to, out);
        } else if let Some(group) = self.misplaced_group(Some(now)) {
            self.release_group(&group, out);
        } else if !self.owns_misplaced() {
            return;
        }
        self.rebalance_at = now.plus_ms(REBALANCE_INTERVAL_MS);
    }

    fn release_group(&mut self, group: &GroupId, out: &mut Vec<OwnershipAction>) {
        if let Some(held) = self.groups.get_mut(group) {
            held.releasing = true;
            out.push(OwnershipAction::ReleaseGroup(group.clone()));
        }
    }

    /// Hands over all shards and groups at once; the limits on rebalancing do
    /// not apply, because the process is about to end.
    fn hand_over_all(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let mut is_pending = false;
        let shards: Vec<ShardId> = self.shards.iter().copied().collect();
        for shard in shards {
            let successor = preferred_shard_owner(shard, self.candidates());
            let Some(to) = successor.map(|it| it.process.clone()) else { continue };
            is_pending = true;
            self.start_handover(shard, to, out);
        }
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        let has_successor = self.candidates().next().is_some();
        for group in groups.iter().filter(|_| has_successor) {
            is_pending = true;
            if !self.groups[group].releasing {
                self.release_group(group, out);
            }
        }
        if !is_pending {
            // Without a successor, groups are still held here. The end of the
            // session frees their claims at once, so they are dropped first.
            for group in std::mem::take(&mut self.groups).into_keys() {
                out.push(OwnershipAction::DropGroup(group));
            }
            out.push(OwnershipAction::ClaimDeadline(Timestamp(0)));
            self.session.end(now);
            if self.session.is_ended() && !self.drained {
                self.drained = true;
                out.push(OwnershipAction::Drained);
            }
        }
    }
}
