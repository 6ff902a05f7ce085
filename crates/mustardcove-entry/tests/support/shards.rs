//! In-memory shard owner that answers like the real one.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use mustardcove_core::{
    id::{AttemptNumber, JobId, ProcessId, ShardId, TaskId},
    job::{AttemptLocation, JobSpec, JobState, Outcome},
    message::{JobStatus, ShardRequest, ShardResponse},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use mustardcove_entry::shards::ShardClient;
use tokio::sync::Notify;

#[derive(Default)]
struct Inner {
    jobs: BTreeMap<JobId, (JobSpec, JobState)>,
    /// Number of next requests whose answers are lost after they took effect.
    lose_next: u32,
    refuse: Option<Refusal>,
    admits: u32,
}

/// Jobs of every shard; clones share them.
#[derive(Clone)]
pub struct MemoryShards {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    process: ProcessId,
}

impl MemoryShards {
    pub fn new(process: &ProcessId) -> MemoryShards {
        MemoryShards { inner: Arc::default(), changed: Arc::default(), process: process.clone() }
    }

    /// Returns a client of the same jobs for another entry process.
    pub fn for_process(&self, process: &ProcessId) -> MemoryShards {
        MemoryShards { process: process.clone(), ..self.clone() }
    }

    pub fn lose_next(&self, count: u32) {
        self.inner.lock().unwrap().lose_next = count;
    }

    pub fn refuse(&self, refusal: Option<Refusal>) {
        self.inner.lock().unwrap().refuse = refusal;
    }

    pub fn admits(&self) -> u32 {
        self.inner.lock().unwrap().admits
    }

    /// Ends a batch job, as a worker's report does.
    pub fn finish(&self, job: JobId, outcome: Outcome) {
        self.inner.lock().unwrap().jobs.get_mut(&job).unwrap().1 = done(outcome, 1);
        self.changed.notify_waiters();
    }

    fn handle(&self, body: &ShardRequest) -> ShardResponse {
        let mut inner = self.inner.lock().unwrap();
        let resp = match body {
            ShardRequest::Submit { spec } => inner.submit(spec),
            ShardRequest::Admit { spec, upstream, deadline } => {
                inner.admits += 1;
                let place = AttemptLocation::Upstream {
                    upstream: upstream.clone(),
                    entry: self.process.clone(),
                    deadline: *deadline,
                };
                inner.admit(spec, place)
            }
            ShardRequest::Complete { task, outcome } => inner.complete(*task, outcome),
            ShardRequest::Query { job, member, .. } => match inner.jobs.get(job) {
                Some((spec, _)) if member.as_ref().is_none_or(|it| *it == spec.member) => {
                    ShardResponse::Status { status: inner.status(*job) }
                }
                _ => not_found(),
            },
            ShardRequest::Cancel { job, member } => match inner.jobs.get_mut(job) {
                Some((spec, state)) if member.as_ref().is_none_or(|it| *it == spec.member) => {
                    if !matches!(state, JobState::Done { .. }) {
                        *state = done(Outcome::Cancelled, 0);
                    }
                    ShardResponse::Status { status: inner.status(*job) }
                }
                _ => not_found(),
            },
            ShardRequest::List { .. } => return ShardResponse::NotOwner { hint: None },
        };
        drop(inner);
        if !matches!(body, ShardRequest::Query { .. }) {
            self.changed.notify_waiters();
        }
        resp
    }

    fn list(&self, shard: ShardId, body: &ShardRequest) -> Option<ShardResponse> {
        let ShardRequest::List { member, start_after, limit, include_done } = body else {
            return None;
        };
        let inner = self.inner.lock().unwrap();
        let ids = inner.jobs.iter().filter(|(id, (spec, state))| {
            id.shard(16) == shard
                && start_after.is_none_or(|after| after < **id)
                && member.as_ref().is_none_or(|it| *it == spec.member)
                && (*include_done || !matches!(state, JobState::Done { .. }))
        });
        let ids: Vec<JobId> = ids.map(|(id, _)| *id).collect();
        let more = (*limit as usize) < ids.len();
        let jobs = ids.into_iter().take(*limit as usize).map(|it| inner.status(it)).collect();
        Some(ShardResponse::Jobs { jobs, more })
    }
}

fn done(outcome: Outcome, attempt: u32) -> JobState {
    JobState::Done { outcome, attempt: Some(AttemptNumber(attempt)), forget_at: Timestamp::MAX }
}

fn not_found() -> ShardResponse {
    ShardResponse::Refused(Refusal::not_run(RefusalReason::NotFound, "the job is not known"))
}

impl Inner {
    fn status(&self, job: JobId) -> JobStatus {
        let (spec, state) = &self.jobs[&job];
        JobStatus {
            job,
            member: spec.member.clone(),
            key: spec.key.clone(),
            class: spec.class.clone(),
            accepted_at: Timestamp(1),
            state: state.clone(),
            reason: String::new(),
        }
    }

    fn existing(&self, spec: &JobSpec) -> Option<ShardResponse> {
        let (existing, _) = self.jobs.get(&spec.id())?;
        if existing.digest != spec.digest {
            let detail = "the key was used before with another body";
            let refusal = Refusal::not_run(RefusalReason::KeyReused, detail);
            return Some(ShardResponse::Refused(refusal));
        }
        Some(ShardResponse::Accepted { status: self.status(spec.id()), repeated: true })
    }

    fn submit(&mut self, spec: &JobSpec) -> ShardResponse {
        if let Some(resp) = self.existing(spec) {
            return resp;
        }
        let state = JobState::Queued { resume_from: None, attempts: AttemptNumber(0) };
        self.jobs.insert(spec.id(), (spec.clone(), state));
        ShardResponse::Accepted { status: self.status(spec.id()), repeated: false }
    }

    fn admit(&mut self, spec: &JobSpec, place: AttemptLocation) -> ShardResponse {
        let id = spec.id();
        let attempts = match self.jobs.get(&id) {
            None => AttemptNumber(0),
            Some((existing, JobState::Queued { attempts, .. }))
                if existing.digest == spec.digest =>
            {
                *attempts
            }
            Some(_) => return self.existing(spec).unwrap(),
        };
        let attempt = attempts.next();
        let state = JobState::Bound { attempt, place, resume_from: None, cancelling: false };
        self.jobs.insert(id, (spec.clone(), state));
        ShardResponse::Admitted { task: TaskId { job: id, attempt } }
    }

    fn complete(&mut self, task: TaskId, outcome: &Outcome) -> ShardResponse {
        let (_, state) = self.jobs.get_mut(&task.job).unwrap();
        let JobState::Bound { attempt, .. } = state else {
            return ShardResponse::Completed;
        };
        assert_eq!(*attempt, task.attempt, "an attempt that is not the current one ended");
        *state = match outcome {
            Outcome::Failed { refusal } if refusal.verdict == Verdict::NotRun => {
                JobState::Queued { resume_from: None, attempts: task.attempt }
            }
            outcome => done(outcome.clone(), task.attempt.0),
        };
        ShardResponse::Completed
    }
}

impl ShardClient for MemoryShards {
    async fn request(
        &self,
        shard: ShardId,
        body: ShardRequest,
        _: Timestamp,
    ) -> Result<ShardResponse, Refusal> {
        if let Some(refusal) = self.inner.lock().unwrap().refuse.clone() {
            return Err(refusal);
        }
        if let Some(resp) = self.list(shard, &body) {
            return Ok(resp);
        }
        let is_wait = matches!(&body, ShardRequest::Query { wait_until: Some(_), .. });
        let until = tokio::time::Instant::now() + std::time::Duration::from_millis(3_000);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let resp = self.handle(&body);
            let pending = matches!(&resp, ShardResponse::Status { status }
                if !matches!(status.state, JobState::Done { .. }));
            if !is_wait || !pending || until <= tokio::time::Instant::now() {
                let mut inner = self.inner.lock().unwrap();
                if 0 < inner.lose_next {
                    // The real client repeats the request after a lost answer.
                    inner.lose_next -= 1;
                    continue;
                }
                return Ok(resp);
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}
