//! The shard side of the simulated groups: jobs, their attempts, and the
//! answers of the shard owners. Every record is durable immediately.

// Every test file compiles its own copy and uses only a part of it.
#![allow(dead_code, unreachable_pub)]

use bytes::Bytes;
use mustardcove_core::{
    id::{AttemptNumber, Epoch, JobId, ShardId, TaskId, WorkerId},
    job::{BodyDigest, Checkpoint, EndEvidence, JobSpec, Outcome},
    message::{BoundTask, GroupToShard, ReserveRequest, ShardToGroup},
    size::Resources,
    time::Timestamp,
    worker::StopMode,
};

use crate::group_world::{GROUPS, SHARDS, World};

/// The state that a shard keeps of a job.
#[derive(Clone, Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub urgent: bool,
    pub group: usize,
    pub attempt: u32,
    pub bound: Option<(WorkerId, Epoch)>,
    pub resume_from: Option<Checkpoint>,
    pub avoid: Vec<WorkerId>,
    pub failed: u32,
    pub next_request_at: Timestamp,
    pub cancelling: bool,
    pub done: Option<&'static str>,
    pub lost: Vec<EndEvidence>,
    pub evicted: u32,
    pub started: bool,
    pub queued_since: Timestamp,
}

impl World {
    /// Submits a job that runs for `run` units of 50 ms, or until cancelled if
    /// `run` is zero.
    pub fn submit(&mut self, class: &str, member: usize, cores: u64, run: u8) -> JobId {
        self.next_job += 1;
        let member = format!("m{member}").parse().unwrap();
        let payload = if run == 0 { Bytes::new() } else { Bytes::copy_from_slice(&[run]) };
        let class = class.parse().unwrap();
        let spec = JobSpec {
            member,
            key: format!("job-{}", self.next_job).parse().unwrap(),
            digest: BodyDigest::of(&class, &payload),
            class,
            resources: Resources::new(cores * 1_000, cores * 1_024, 0),
            expected_run_ms: u64::from(run) * 50,
            deadline: None,
            payload,
        };
        let id = spec.id();
        let urgent = spec.class.as_str() == "rush";
        let job = Job {
            spec,
            urgent,
            group: self.next_job as usize % GROUPS,
            attempt: 1,
            bound: None,
            resume_from: None,
            avoid: Vec::new(),
            failed: 0,
            next_request_at: self.now,
            cancelling: false,
            done: None,
            lost: Vec::new(),
            evicted: 0,
            started: false,
            queued_since: self.now,
        };
        self.jobs.insert(id, job);
        id
    }

    pub fn cancel(&mut self, job: JobId) {
        let Some(it) = self.jobs.get_mut(&job) else { return };
        it.cancelling = true;
        if it.bound.is_none() {
            it.done = Some("cancelled");
        }
    }

    /// Handles a message of a group owner as its shard owner does. The record
    /// is durable immediately.
    pub fn handle_at_shard(&mut self, group: usize, shard: ShardId, body: GroupToShard) {
        let task = match &body {
            GroupToShard::Reserved { task, .. }
            | GroupToShard::ReserveRefused { task, .. }
            | GroupToShard::Started { task }
            | GroupToShard::Checkpointed { task, .. }
            | GroupToShard::Finished { task, .. }
            | GroupToShard::Evicted { task, .. }
            | GroupToShard::Lost { task, .. }
            | GroupToShard::Unclaimed { task, .. } => *task,
            GroupToShard::OwnerChanged { .. } => {
                let bound = self.bound_in(group, shard);
                return self.send_to_group(group, shard, ShardToGroup::Reconcile { bound });
            }
        };
        let now = self.now;
        let is_bound = |it: &Job| it.bound.is_some() && it.attempt == task.attempt.0;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let bound = is_bound(job) && job.group == group;
        let wants_reservation = !bound && job.done.is_none() && job.attempt == task.attempt.0;
        match body {
            GroupToShard::Reserved { worker, epoch, deadline, .. } => {
                if wants_reservation && job.bound.is_none() && job.group == group && now < deadline
                {
                    job.bound = Some((worker.clone(), epoch));
                    let start = ShardToGroup::Start {
                        task,
                        worker,
                        epoch,
                        spec: job.spec.clone(),
                        resume_from: job.resume_from.clone(),
                    };
                    self.send_to_group(group, shard, start);
                } else if !bound {
                    self.send_to_group(group, shard, ShardToGroup::Release { task });
                }
            }
            GroupToShard::ReserveRefused { retry_at, .. } => {
                assert!(now.0 < retry_at.0 + 6_000, "a refusal has no usable retry time");
                job.next_request_at = job.next_request_at.max(retry_at);
            }
            GroupToShard::Started { .. } => job.started |= bound,
            GroupToShard::Unclaimed { worker, .. } if !bound => {
                let mode = StopMode::Kill;
                self.send_to_group(group, shard, ShardToGroup::Stop { task, worker, mode });
            }
            GroupToShard::Unclaimed { .. } => {
                let bound = self.bound_in(group, shard);
                self.send_to_group(group, shard, ShardToGroup::Reconcile { bound });
            }
            GroupToShard::Finished { outcome, .. } => {
                if bound {
                    job.on_finished(outcome, now);
                }
                self.send_to_group(group, shard, ShardToGroup::Acknowledge { task });
            }
            GroupToShard::Evicted { checkpoint, .. } => {
                if bound {
                    job.evicted += 1;
                    job.resume_from = checkpoint;
                    job.requeue(None, now);
                }
                self.send_to_group(group, shard, ShardToGroup::Acknowledge { task });
            }
            GroupToShard::Lost { evidence, .. } => {
                if bound {
                    job.lost.push(evidence);
                    job.requeue(Some(evidence), now);
                }
                self.send_to_group(group, shard, ShardToGroup::Acknowledge { task });
            }
            GroupToShard::Checkpointed { .. } | GroupToShard::OwnerChanged { .. } => {}
        }
    }

    pub fn bound_in(&self, group: usize, shard: ShardId) -> Vec<BoundTask> {
        let own =
            self.jobs.iter().filter(|(id, it)| id.shard(SHARDS) == shard && it.group == group);
        let bound = own.filter_map(|(id, it)| {
            let (worker, epoch) = it.bound.clone()?;
            Some(BoundTask {
                task: TaskId { job: *id, attempt: AttemptNumber(it.attempt) },
                worker,
                epoch,
                spec: it.spec.clone(),
                resume_from: it.resume_from.clone(),
                cancelling: it.cancelling,
            })
        });
        bound.collect()
    }

    pub fn run_shards(&mut self) {
        let now = self.now;
        let mut messages = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.done.is_some() || now < job.next_request_at {
                continue;
            }
            let task = TaskId { job: *id, attempt: AttemptNumber(job.attempt) };
            let shard = id.shard(SHARDS);
            match &job.bound {
                Some((worker, _)) if job.cancelling => {
                    job.next_request_at = now.plus_ms(2_000);
                    let (worker, mode) = (worker.clone(), StopMode::Kill);
                    let body = ShardToGroup::Stop { task, worker, mode };
                    messages.push((job.group, shard, body));
                }
                Some(_) => {}
                None => {
                    job.next_request_at = now.plus_ms(1_000);
                    let request = ReserveRequest {
                        task,
                        member: job.spec.member.clone(),
                        class: job.spec.class.clone(),
                        resources: job.spec.resources,
                        expected_run_ms: job.spec.expected_run_ms,
                        urgent: job.urgent,
                        avoid_workers: job.avoid.clone(),
                        failed_attempts: job.failed,
                        queued_since: job.queued_since,
                    };
                    messages.push((job.group, shard, ShardToGroup::Reserve(request)));
                }
            }
        }
        for (group, shard, body) in messages {
            self.send_to_group(group, shard, body);
        }
    }
}

impl Job {
    fn on_finished(&mut self, outcome: Outcome, now: Timestamp) {
        match outcome {
            Outcome::Succeeded { .. } => self.done = Some("succeeded"),
            Outcome::Failed { refusal } if refusal.retry_at.is_some() => {
                let worker = self.bound.as_ref().map(|it| it.0.clone());
                self.avoid.extend(worker);
                self.failed += 1;
                self.requeue(None, now);
            }
            Outcome::Failed { .. } | Outcome::Cancelled => self.done = Some("failed"),
        }
        if self.done.is_some() {
            self.bound = None;
        }
    }

    /// Queues the next attempt, unless the job may have run and must not run
    /// again.
    fn requeue(&mut self, evidence: Option<EndEvidence>, now: Timestamp) {
        let not_run =
            matches!(evidence, Some(EndEvidence::NeverSent | EndEvidence::RefusedByWorker));
        self.bound = None;
        self.started = false;
        self.attempt += 1;
        self.next_request_at = now;
        if self.cancelling {
            self.done = Some("cancelled");
        } else if self.spec.class.as_str() == "binding" && !not_run {
            self.done = Some("may have run");
        }
    }
}
