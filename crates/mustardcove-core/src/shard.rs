//! State machine of one shard of the job ledger.
//!
//! A shard owns the states of the jobs that hash to it. Its history is a log
//! of numbered segments in the store; see `docs/design.md`, sections 3.1 and
//! 3.2, and `docs/ledger.md`.
//!
//! The shard keeps two states. The committed state results from applying the
//! durable log; queries are answered from it. The latest state also includes
//! records that are queued or in flight; decisions are based on it, so that
//! two records of one job can share a segment. The external effects of a
//! record, such as a start or an answer, are stored with the record and
//! performed once it is durable.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    agreement::Agreement,
    id::{CallId, GroupId, JobId, ProcessId, RequestId, ShardId, WorkerId, WriteToken},
    job::JobState,
    ledger::{Job, Ledger, Record},
    message::{GroupSummary, GroupToShard, JobStatus, ShardRequest, ShardResponse, ShardToGroup},
    store::{StoreOp, StoreResult},
    time::{Timestamp, earliest},
};

mod commit;
mod config;
mod dump;
mod groups;
mod jobs;
mod log;
mod proof;
mod queue;
mod recovery;
mod requests;
mod service;
mod tasks;
mod timers;
mod upkeep;
mod validate;
mod waiters;

pub use self::{
    config::{COMMIT_INTERVAL_MS, MAX_STATE_BYTES, ShardConfig},
    dump::{GroupDump, JobCounts, JobDump, LogDump, ShardDump, UpkeepDump},
};

use self::{
    groups::Groups,
    log::Log,
    queue::JobQueue,
    recovery::Recovery,
    timers::Timers,
    upkeep::Upkeep,
    waiters::{Answers, Waiters},
};

/// An input of a shard.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// Time passed; sent no later than [`Shard::next_deadline`].
    Tick,
    /// A call to the store ended.
    StoreReply {
        /// The identifier that the shard gave the call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// An entry process, or this process itself, made a request.
    Request {
        /// The process that made it.
        from: ProcessId,
        /// The identifier that this process chose.
        request: RequestId,
        /// The request.
        body: ShardRequest,
    },
    /// The owner of a group sent a message.
    FromGroup {
        /// The group.
        from: GroupId,
        /// The message.
        body: GroupToShard,
    },
    /// The owner of a group published its free capacity.
    Summary(GroupSummary),
    /// A revision of the agreement is in force.
    Agreement(Arc<Agreement>),
    /// A process is known to have ended.
    ProcessEnded(ProcessId),
    /// A worker left the instance list. The owner of its group reports which
    /// attempts are lost.
    WorkerEnded(WorkerId),
    /// The shard is to be handed over to another process.
    HandOver {
        /// The process that takes the shard over.
        to: ProcessId,
    },
}

/// An output of a shard, to be carried out by the driver.
#[derive(Clone, Debug)]
pub enum ShardAction {
    /// A call to the store.
    Store {
        /// The shard's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// The answer to a request.
    Respond {
        /// The process that made the request.
        to: ProcessId,
        /// The identifier that this process chose.
        request: RequestId,
        /// The answer.
        body: ShardResponse,
    },
    /// A message to the owner of a group.
    ToGroup {
        /// The group.
        to: GroupId,
        /// The message.
        body: ShardToGroup,
    },
    /// Another process has written to the log; the driver drops the shard.
    Fenced,
    /// The last segment is durable and names the successor; the driver drops
    /// the shard.
    HandedOver {
        /// The successor.
        to: ProcessId,
    },
}

/// The phase of ownership that the shard is in.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// No tick has been received yet.
    New,
    /// The log is being read, or the `Owner` record that fences the predecessor
    /// is not durable yet.
    Recovering,
    /// Requests are served.
    Ready,
    /// No request is accepted; the last records are being written.
    HandingOver,
    /// Another process owns the shard.
    Dropped,
}

/// The latest state of a job, with the number of its records that are not
/// durable yet.
#[derive(Clone, Debug)]
struct PendingJob {
    job: Job,
    records: usize,
}

/// State machine of one shard.
///
/// Recovery starts with the first [`ShardEvent::Tick`]. A driver sends a tick
/// no later than [`Shard::next_deadline`], carries out every action, and
/// reports the result of every call to the store. A call without an answer in
/// time is reported as unavailable.
#[derive(Debug)]
pub struct Shard {
    id: ShardId,
    shards: u16,
    process: ProcessId,
    cfg: ShardConfig,
    rng: ChaCha8Rng,
    now: Timestamp,
    phase: Phase,
    ready_at: Timestamp,
    /// The process that owns the shard after this one, if known.
    successor: Option<ProcessId>,
    committed: Ledger,
    /// Jobs whose latest state differs from the committed one.
    overlay: BTreeMap<JobId, PendingJob>,
    log: Log,
    recovery: Recovery,
    upkeep: Upkeep,
    answers: Answers,
    waiters: Waiters,
    queue: JobQueue,
    timers: Timers<JobId>,
    /// Finished jobs, by the time at which they may be forgotten.
    retention: BTreeSet<(Timestamp, JobId)>,
    groups: Groups,
    agreement: Option<Arc<Agreement>>,
    /// The processes that ended most recently.
    ended_processes: VecDeque<ProcessId>,
    next_call: u64,
    next_token: u64,
}

impl Shard {
    /// Returns a shard that begins recovery with the first tick.
    ///
    /// Write tokens and call identifiers are derived from `seed`, so it must
    /// differ between any two instances, including those of other processes.
    ///
    /// # Panics
    ///
    /// Panics if `shards` is zero.
    pub fn new(
        id: ShardId,
        shards: u16,
        process: ProcessId,
        cfg: ShardConfig,
        seed: u64,
        now: Timestamp,
    ) -> Shard {
        assert!(0 < shards, "a deployment has at least one shard");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (next_call, next_token) = (rng.random::<u64>() >> 1, rng.random::<u64>() >> 1);
        Shard {
            id,
            shards,
            process,
            cfg,
            rng,
            now,
            phase: Phase::New,
            ready_at: now,
            successor: None,
            committed: Ledger::new(),
            overlay: BTreeMap::new(),
            log: Log::new(now),
            recovery: Recovery::default(),
            upkeep: Upkeep::new(now),
            answers: Answers::new(),
            waiters: Waiters::new(),
            queue: JobQueue::new(),
            timers: Timers::new(),
            retention: BTreeSet::new(),
            groups: Groups::default(),
            agreement: None,
            ended_processes: VecDeque::new(),
            next_call,
            next_token,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: ShardEvent, out: &mut Vec<ShardAction>) {
        self.now = self.now.max(now);
        match event {
            ShardEvent::Tick => self.begin_recovery(),
            ShardEvent::StoreReply { call, result } => self.on_store_reply(call, result, out),
            ShardEvent::Request { from, request, body } => {
                self.on_request(from, request, body, out);
            }
            ShardEvent::FromGroup { from, body } => self.on_group(from, body, out),
            ShardEvent::Summary(summary) => self.on_summary(summary),
            ShardEvent::Agreement(agreement) => self.on_agreement(agreement),
            ShardEvent::ProcessEnded(process) => self.on_process_ended(process, out),
            // The owner of the group reports which attempts have ended.
            ShardEvent::WorkerEnded(_) => {}
            ShardEvent::HandOver { to } => self.on_hand_over(to, out),
        }
        self.advance(out);
    }

    /// Returns the latest time at which the next tick is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::New => Some(self.now),
            Phase::Dropped => None,
            Phase::Recovering => earliest(self.recovery_deadline(), self.log_deadline()),
            Phase::HandingOver => earliest(self.log_deadline(), self.answers.earliest()),
            Phase::Ready => [
                self.log_deadline(),
                self.upkeep_deadline(),
                self.answers.earliest(),
                self.waiters.earliest(),
                self.timers.earliest(),
                self.retention.first().map(|(at, _)| *at),
            ]
            .into_iter()
            .fold(None, earliest),
        }
    }

    /// Reports whether this process owns the shard and serves requests.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    fn begin_recovery(&mut self) {
        if self.phase == Phase::New {
            self.phase = Phase::Recovering;
            self.recovery.next_at = self.now;
        }
    }

    /// Runs everything that is due now, whatever the event was.
    fn advance(&mut self, out: &mut Vec<ShardAction>) {
        self.run_due(out);
        // A store outage detected by the first run discards records, and the
        // deadline of a job's previous state may already have passed.
        if self.next_deadline().is_some_and(|it| it <= self.now) {
            self.run_due(out);
        }
    }

    fn run_due(&mut self, out: &mut Vec<ShardAction>) {
        match self.phase {
            Phase::New | Phase::Dropped => return,
            Phase::Recovering => self.run_recovery(out),
            Phase::HandingOver => self.expire_answers(out),
            Phase::Ready => {
                self.expire_answers(out);
                self.expire_waiters(out);
                self.forget_old();
                self.wake_jobs(out);
                self.place_jobs(out);
                self.run_upkeep(out);
            }
        }
        self.run_log(out);
    }

    fn on_store_reply(&mut self, call: CallId, result: StoreResult, out: &mut Vec<ShardAction>) {
        // A reply that matches no open call belongs to an abandoned call.
        if self.log.is_waiting_for(call) {
            self.on_log_reply(result, out);
        } else if self.log.probe == Some(call) {
            self.on_probe_reply(result, out);
        } else if self.recovery.call == Some(call) {
            self.on_recovery_reply(result, out);
        } else if self.upkeep.call == Some(call) {
            self.on_upkeep_reply(result);
        }
    }

    fn on_hand_over(&mut self, to: ProcessId, out: &mut Vec<ShardAction>) {
        match self.phase {
            Phase::Ready => {
                self.phase = Phase::HandingOver;
                self.successor = Some(to.clone());
                self.release_reservations(out);
                self.push(Record::Handover { to }, Vec::new(), commit::Origin::Keep, out);
            }
            Phase::New | Phase::Recovering => {
                self.drop_shard(Some(to.clone()), out);
                out.push(ShardAction::HandedOver { to });
            }
            Phase::HandingOver | Phase::Dropped => {}
        }
    }

    /// Stops serving and redirects every waiting requester to the new owner.
    fn drop_shard(&mut self, successor: Option<ProcessId>, out: &mut Vec<ShardAction>) {
        self.phase = Phase::Dropped;
        self.successor = successor.filter(|it| *it != self.process);
        let answers = self.answers.drain().chain(self.waiters.drain());
        for (to, request) in answers {
            let body = ShardResponse::NotOwner { hint: self.successor.clone() };
            out.push(ShardAction::Respond { to, request, body });
        }
        self.log.queue.clear();
        self.log.in_flight = None;
        self.overlay.clear();
    }

    fn store_call(&mut self, op: StoreOp, out: &mut Vec<ShardAction>) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        out.push(ShardAction::Store { call, op });
        call
    }

    fn new_token(&mut self) -> WriteToken {
        self.next_token += 1;
        WriteToken(self.next_token)
    }

    /// Returns a random delay below `ms`, so that the shards of a deployment do
    /// not call the store at the same time.
    fn jitter(&mut self, ms: u64) -> u64 {
        self.rng.random_range(0..ms.max(1))
    }

    /// Returns the delay before the next retry after `failures` earlier ones: it
    /// doubles from `first` up to `most`, and half of it is random.
    fn backoff(&mut self, first: u64, most: u64, failures: u32) -> u64 {
        let delay = first.saturating_mul(1 << failures.min(16)).min(most);
        delay / 2 + self.jitter(delay / 2 + 1)
    }

    /// Returns the latest state of a job, including records that are not
    /// durable yet.
    fn latest(&self, job: JobId) -> Option<&Job> {
        match self.overlay.get(&job) {
            Some(pending) => Some(&pending.job),
            None => self.committed.get(job),
        }
    }

    /// Returns the status of a job as shown to callers and operators. Callers
    /// must see only what is durable, so for them `job` has to be committed.
    fn status(&self, id: JobId, job: &Job) -> JobStatus {
        JobStatus {
            job: id,
            member: job.spec.member.clone(),
            key: job.spec.key.clone(),
            class: job.spec.class.clone(),
            accepted_at: job.accepted_at,
            state: job.state.clone(),
            reason: self.reason(id, job),
        }
    }

    fn reason(&self, id: JobId, job: &Job) -> String {
        match &job.state {
            JobState::Queued { .. } => self.queue.wait_reason(id).to_owned(),
            JobState::Bound { attempt, cancelling, .. } => match (cancelling, job.bound_worker()) {
                (true, _) => format!("cancelled; attempt {attempt} is being stopped"),
                (false, Some(worker)) => format!("attempt {attempt} runs on {worker}"),
                (false, None) => format!("attempt {attempt} was sent to an upstream"),
            },
            JobState::Done { outcome, .. } => jobs::outcome_reason(outcome),
        }
    }

    fn respond(
        &self,
        to: ProcessId,
        request: RequestId,
        body: ShardResponse,
        out: &mut Vec<ShardAction>,
    ) {
        out.push(ShardAction::Respond { to, request, body });
    }
}

fn send_to_group(to: &GroupId, body: ShardToGroup, out: &mut Vec<ShardAction>) {
    out.push(ShardAction::ToGroup { to: to.clone(), body });
}
