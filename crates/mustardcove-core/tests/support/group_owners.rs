//! A test double of the group owners and their workers, for tests of shards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use mustardcove_core::{
    id::{Epoch, GroupId, JobId, TaskId, WorkerId},
    job::{Checkpoint, EndEvidence, Outcome},
    message::{GroupToShard, ReserveRefusal, ShardToGroup},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};

use super::durable_state::DurableState;

/// The groups of a deployment. An attempt runs from its start until the test
/// ends it.
#[derive(Debug, Default)]
pub struct GroupOwners {
    pub epochs: BTreeMap<GroupId, Epoch>,
    reserved: BTreeMap<TaskId, (GroupId, WorkerId, Epoch)>,
    pub running: BTreeMap<TaskId, (GroupId, WorkerId)>,
    pub started: BTreeSet<TaskId>,
    /// The checkpoint from which each attempt was resumed.
    pub resumed: BTreeMap<TaskId, Option<Checkpoint>>,
    /// Ends of attempts, which are repeated until they are acknowledged.
    pub ended: BTreeMap<TaskId, (GroupId, GroupToShard)>,
    pub outbox: VecDeque<(GroupId, GroupToShard)>,
    pub refuse: Option<ReserveRefusal>,
    pub reserves: Vec<(TaskId, GroupId, bool)>,
    pub acknowledged: u64,
    next_worker: u32,
}

impl GroupOwners {
    pub fn epoch(&self, group: &GroupId) -> Epoch {
        self.epochs.get(group).copied().unwrap_or(Epoch(1))
    }

    /// Handles a message of a shard owner, which may be stale.
    pub fn handle(
        &mut self,
        now: Timestamp,
        group: GroupId,
        body: ShardToGroup,
        durable: &DurableState,
    ) {
        match body {
            ShardToGroup::Reserve(it) => {
                self.reserves.push((it.task, group.clone(), it.urgent));
                if let Some(reason) = self.refuse {
                    let (task, retry_at) = (it.task, now.plus_ms(500));
                    let refused = GroupToShard::ReserveRefused { task, reason, retry_at };
                    return self.outbox.push_back((group, refused));
                }
                self.reserve(now, group, it.task, &it.avoid_workers);
            }
            ShardToGroup::Release { task } => {
                if !self.running.contains_key(&task) {
                    self.reserved.remove(&task);
                }
            }
            ShardToGroup::Start { task, worker, epoch, resume_from, .. } => {
                assert!(durable.bound.contains_key(&task), "{task} started before it was bound");
                let held = self.reserved.get(&task) == Some(&(group.clone(), worker, epoch));
                self.start(group, task, resume_from, held);
            }
            ShardToGroup::Stop { task, .. } => {
                if self.running.contains_key(&task) {
                    let outcome = Outcome::Cancelled;
                    self.end(task, GroupToShard::Finished { task, outcome });
                } else if self.reserved.remove(&task).is_some() {
                    let evidence = EndEvidence::NeverSent;
                    self.record_end(group, task, GroupToShard::Lost { task, evidence });
                }
            }
            ShardToGroup::Acknowledge { task } => {
                assert!(durable.ended.contains(&task), "{task} acknowledged before it was durable");
                self.acknowledged += 1;
                self.ended.remove(&task);
            }
            ShardToGroup::Reconcile { bound } => {
                for it in &bound {
                    assert!(durable.bound.contains_key(&it.task), "{} listed too early", it.task);
                    let held = self.reserved.get(&it.task).is_some_and(|(_, _, e)| *e == it.epoch);
                    self.start(group.clone(), it.task, it.resume_from.clone(), held);
                }
            }
        }
    }

    fn reserve(&mut self, now: Timestamp, group: GroupId, task: TaskId, avoid: &[WorkerId]) {
        let epoch = self.epoch(&group);
        let held = self.reserved.get(&task).filter(|(it, _, e)| *it == group && *e == epoch);
        let worker = match held {
            Some((_, worker, _)) => worker.clone(),
            None => loop {
                self.next_worker += 1;
                let worker = format!("worker-{}", self.next_worker % 5).parse().unwrap();
                if !avoid.contains(&worker) {
                    break worker;
                }
            },
        };
        self.reserved.insert(task, (group.clone(), worker.clone(), epoch));
        let deadline = now.plus_ms(5000);
        self.outbox.push_back((group, GroupToShard::Reserved { task, worker, epoch, deadline }));
    }

    /// Starts an attempt whose reservation is held. Any other attempt never
    /// ran, is running or has ended, and is reported as such.
    fn start(&mut self, group: GroupId, task: TaskId, from: Option<Checkpoint>, held: bool) {
        if self.running.contains_key(&task) {
            return self.outbox.push_back((group, GroupToShard::Started { task }));
        }
        if let Some(end) = self.ended.get(&task) {
            return self.outbox.push_back(end.clone());
        }
        // A group never starts an attempt twice under one epoch, even if a
        // stale shard owner has made another reservation for it.
        if !held || self.started.contains(&task) {
            let evidence = EndEvidence::NeverSent;
            return self.record_end(group, task, GroupToShard::Lost { task, evidence });
        }
        let other = self.running.keys().find(|it| it.job == task.job);
        assert_eq!(other, None, "{task} started while another attempt runs");
        assert!(self.started.insert(task), "{task} started twice");
        let (_, worker, _) = self.reserved.remove(&task).expect("the reservation is held");
        self.resumed.insert(task, from);
        self.running.insert(task, (group.clone(), worker));
        self.outbox.push_back((group, GroupToShard::Started { task }));
    }

    fn record_end(&mut self, group: GroupId, task: TaskId, end: GroupToShard) {
        self.ended.insert(task, (group.clone(), end.clone()));
        self.outbox.push_back((group, end));
    }

    /// Ends a running attempt.
    pub fn end(&mut self, task: TaskId, end: GroupToShard) {
        if let Some((group, _)) = self.running.remove(&task) {
            self.record_end(group, task, end);
        }
    }

    pub fn succeed(&mut self, task: TaskId) {
        let outcome = Outcome::Succeeded { result: Bytes::from_static(b"result") };
        self.end(task, GroupToShard::Finished { task, outcome });
    }

    pub fn fail(&mut self, task: TaskId) {
        let verdict = Verdict::Ran;
        let (reason, detail) = (RefusalReason::UpstreamFailed, "exit code 1".to_owned());
        let refusal = Refusal { verdict, reason, detail, retry_at: None };
        let outcome = Outcome::Failed { refusal };
        self.end(task, GroupToShard::Finished { task, outcome });
    }

    pub fn evict(&mut self, task: TaskId, progress_permille: u16) {
        let checkpoint = Checkpoint { token: format!("at-{progress_permille}"), progress_permille };
        self.end(task, GroupToShard::Evicted { task, checkpoint: Some(checkpoint) });
    }

    pub fn lose(&mut self, task: TaskId) {
        let evidence = EndEvidence::NewIncarnation;
        self.end(task, GroupToShard::Lost { task, evidence });
    }

    /// Gives a group a new owner, which has no reservations.
    pub fn take_over(&mut self, group: &GroupId) {
        let epoch = self.epoch(group).next();
        self.epochs.insert(group.clone(), epoch);
        self.reserved.retain(|_, (it, ..)| it != group);
        self.outbox.push_back((group.clone(), GroupToShard::OwnerChanged { epoch }));
    }

    /// Sends every end that was not acknowledged once more.
    pub fn repeat_ends(&mut self) {
        self.outbox.extend(self.ended.values().cloned());
    }

    pub fn running_task(&self, job: JobId) -> Option<TaskId> {
        self.running.keys().find(|it| it.job == job).copied()
    }
}
