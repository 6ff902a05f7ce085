//! Assignment: who takes over, hands over and rebalances what.

use std::collections::btree_map::Entry;

use rand::RngExt as _;

use super::{
    HANDOVER_WAIT_MS, Ownership, OwnershipAction, PROCESS_GONE_AFTER_MS, REBALANCE_AFTER_MS,
    REBALANCE_INTERVAL_MS, Wanted,
};
use crate::{
    id::{Epoch, GroupId, ProcessId, ShardId, WriteToken},
    ownership::{
        claim::ClaimAttempt,
        rank::{first_for_group, first_for_shard},
        record::{ClaimRecord, ProcessKind, SessionRecord},
    },
    store::Expect,
    time::Timestamp,
};

impl Ownership {
    pub(super) fn shard_wanted(
        &mut self,
        shard: ShardId,
        by: ProcessId,
        out: &mut Vec<OwnershipAction>,
    ) {
        if !self.shards.contains(&shard) {
            out.push(OwnershipAction::TellShardFree { shard, to: by });
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

    pub(super) fn group_released(&mut self, now: Timestamp, group: &GroupId) {
        let Some(held) = self.groups.get(group) else { return };
        let Some(location) = self.locations.get(group) else { return };
        let candidates = self.candidates().filter(|it| it.process != *self.process());
        let Some(successor) = first_for_group(location, candidates) else { return };
        let record = ClaimRecord {
            holder: successor.process.clone(),
            epoch: held.epoch.next(),
            token: WriteToken(self.rng.random()),
        };
        let expect = Expect::Version(held.version);
        let attempt = ClaimAttempt::new(group.clone(), record, expect, None, now);
        self.attempts.insert(group.clone(), attempt);
    }

    /// Live scheduler processes that take work over.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &SessionRecord> {
        let leaving =
            |it: &SessionRecord| it.draining || (self.draining && it.process == *self.process());
        self.processes().filter(move |it| it.kind == ProcessKind::Scheduler && !leaving(it))
    }

    fn is_settled(&self, now: Timestamp) -> bool {
        let own = self.live.contains_key(self.process());
        own && self.sessions.is_listed()
            && self.claims.is_listed()
            && self.settled_at.is_some_and(|it| it <= now)
    }

    pub(super) fn reconsider(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        self.report_gone(now, out);
        if self.drained {
            return;
        }
        if !self.session.is_valid(now) {
            self.wanted.clear();
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
            self.reconsider_shard(now, ShardId(number), out);
        }
        let groups: Vec<GroupId> = self.locations.keys().cloned().collect();
        for group in &groups {
            self.reconsider_group(now, group);
        }
        self.rebalance(now, out);
    }

    fn report_gone(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        // While the store does not answer, a missing session says nothing.
        if !self.sessions.is_current() {
            return;
        }
        self.gone.retain(|process, ended_at| {
            let over = ended_at.plus_ms(PROCESS_GONE_AFTER_MS) <= now;
            if over {
                out.push(OwnershipAction::ProcessGone(process.clone()));
            }
            !over
        });
    }

    fn reconsider_shard(&mut self, now: Timestamp, shard: ShardId, out: &mut Vec<OwnershipAction>) {
        let me = self.process().clone();
        let first = first_for_shard(shard, self.candidates()).map(|it| it.process.clone());
        if first.as_ref() != Some(&me) || self.shards.contains(&shard) {
            self.wanted.remove(&shard);
            return;
        }
        let others =
            self.processes().filter(|it| it.kind == ProcessKind::Scheduler && it.process != me);
        let previous = first_for_shard(shard, others).map(|it| it.process.clone());
        match self.wanted.get(&shard) {
            None => {
                let until = match &previous {
                    Some(owner) => {
                        let owner = owner.clone();
                        out.push(OwnershipAction::AskForShard { shard, owner });
                        now.plus_ms(HANDOVER_WAIT_MS)
                    }
                    None => now,
                };
                self.wanted.insert(shard, Wanted { asked: previous, until });
            }
            Some(wanted) => {
                // The owner that was asked may have ended meanwhile.
                let asked = wanted.asked.as_ref();
                if asked.is_some_and(|it| !self.live.contains_key(it)) {
                    self.wanted.insert(shard, Wanted { asked: None, until: now });
                }
            }
        }
        if self.wanted.get(&shard).is_some_and(|it| it.until <= now) {
            self.wanted.remove(&shard);
            self.shards.insert(shard);
            out.push(OwnershipAction::OpenShard(shard));
        }
    }

    fn reconsider_group(&mut self, now: Timestamp, group: &GroupId) {
        if self.groups.contains_key(group) || self.attempts.contains_key(group) {
            return;
        }
        let first = first_for_group(&self.locations[group], self.candidates());
        let ranks_first = first.is_some_and(|it| it.process == *self.process());
        let (epoch, expect, check) = match self.claim_records.get(group) {
            None if ranks_first => (Epoch(1), Expect::Absent, None),
            None => return,
            // The claim was handed to this process, or was lost with an earlier
            // session; nobody else may take it while this process lives.
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
        let attempt = ClaimAttempt::new(group.clone(), record, expect, check, now);
        self.attempts.insert(group.clone(), attempt);
    }

    /// Shards and groups that this process owns but another should own.
    fn misplaced_shard(&self, now: Option<Timestamp>) -> Option<(ShardId, ProcessId)> {
        self.shards.iter().filter(|it| !self.handing_over.contains_key(it)).find_map(|shard| {
            let first = first_for_shard(*shard, self.candidates())?;
            self.is_better(first, now).then(|| (*shard, first.process.clone()))
        })
    }

    fn misplaced_group(&self, now: Option<Timestamp>) -> Option<GroupId> {
        let movable = self.groups.iter().filter(|(_, held)| !held.releasing);
        movable.map(|(group, _)| group).find_map(|group| {
            let first = first_for_group(self.locations.get(group)?, self.candidates())?;
            self.is_better(first, now).then(|| group.clone())
        })
    }

    fn is_better(&self, first: &SessionRecord, now: Option<Timestamp>) -> bool {
        if first.process == *self.process() {
            return false;
        }
        let seen_at = self.live.get(&first.process).map_or(Timestamp::MAX, |(_, at)| *at);
        now.is_none_or(|it| seen_at.plus_ms(REBALANCE_AFTER_MS) <= it)
    }

    pub(super) fn has_misplaced(&self) -> bool {
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
        } else if !self.has_misplaced() {
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

    /// Hands everything over at once; rebalancing limits do not apply, because
    /// the process is about to end.
    fn hand_over_all(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let mut left = false;
        let shards: Vec<ShardId> = self.shards.iter().copied().collect();
        for shard in shards {
            let successor = first_for_shard(shard, self.candidates());
            let Some(to) = successor.map(|it| it.process.clone()) else { continue };
            left = true;
            self.start_handover(shard, to, out);
        }
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        let has_successor = self.candidates().next().is_some();
        for group in groups.iter().filter(|_| has_successor) {
            left = true;
            if !self.groups[group].releasing {
                self.release_group(group, out);
            }
        }
        if !left {
            // Without a successor groups are still held here. Ending the
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
