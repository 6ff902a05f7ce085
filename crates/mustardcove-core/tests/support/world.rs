//! A simulated world of processes that own a shard one after the other, or
//! believe that they own it, with one store and the owners of two groups. The
//! invariants are checked after every event.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mustardcove_core::{
    id::{AttemptNumber, CallId, GroupId, JobId, ProcessId, RequestId, ShardId, TaskId},
    job::{AttemptLocation, BodyDigest, EndEvidence, JobSpec, JobState, Outcome},
    message::{JobStatus, ShardRequest, ShardResponse, ShardToGroup},
    shard::{Shard, ShardAction, ShardConfig, ShardEvent},
    store::{StoreError, StoreOp, StoreResult},
    time::{MAX_CLOCK_ERROR_MS, Timestamp},
    verdict::{Refusal, Verdict},
};

use super::{
    agreement, durable_state::DurableState, group, group_owners::GroupOwners, store::MemoryStore,
    summary,
};

pub const SHARD: ShardId = ShardId(0);

/// Number of groups in the world.
pub const GROUPS: usize = 2;

/// A process that owns the shard or has owned it.
pub struct Owner {
    pub shard: Shard,
    pub process: ProcessId,
    pub calls: VecDeque<(CallId, StoreOp)>,
    /// Whether the process runs and has not dropped the shard.
    pub alive: bool,
    pub fenced: bool,
    pub handed_over: bool,
}

/// What a request asks for, to find repetitions of it.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestSubject {
    Submission(JobId, BodyDigest),
    Cancellation(JobId),
    Other,
}

pub struct World {
    pub now: Timestamp,
    pub cfg: ShardConfig,
    pub store: MemoryStore,
    pub durable: DurableState,
    pub groups: GroupOwners,
    pub owners: Vec<Owner>,
    pub to_groups: VecDeque<(GroupId, ShardToGroup)>,
    /// Whether the store answers; if not, `answer_call` fails every call.
    pub store_up: bool,
    /// The verdict of calls that fail during a store outage.
    pub outage_verdict: Verdict,
    /// Writes of unknown outcome that may still take effect.
    pub delayed_writes: VecDeque<StoreOp>,
    pub requests: BTreeMap<RequestId, (ProcessId, RequestSubject)>,
    pub answers: BTreeMap<RequestId, Vec<ShardResponse>>,
    pub refused_not_run: BTreeSet<RequestId>,
    pub acknowledged_jobs: BTreeSet<JobId>,
    pub seed: u64,
    /// Calls that failed because of a store outage.
    pub failed_calls: u64,
    /// The time of the last event and the number of events at that time, to
    /// detect endless loops.
    events_now: (Timestamp, u32),
    next_request: u64,
    next_periodic_at: Timestamp,
}

impl World {
    pub fn new(cfg: ShardConfig, seed: u64) -> World {
        let now = Timestamp(1_000_000);
        World {
            now,
            cfg,
            store: MemoryStore::default(),
            durable: DurableState::default(),
            groups: GroupOwners::default(),
            owners: Vec::new(),
            to_groups: VecDeque::new(),
            store_up: true,
            outage_verdict: Verdict::NotRun,
            delayed_writes: VecDeque::new(),
            requests: BTreeMap::new(),
            answers: BTreeMap::new(),
            refused_not_run: BTreeSet::new(),
            acknowledged_jobs: BTreeSet::new(),
            seed,
            failed_calls: 0,
            events_now: (now, 0),
            next_request: 0,
            next_periodic_at: now,
        }
    }

    /// Returns a world with one owner that serves requests.
    pub fn ready(seed: u64) -> World {
        let mut world = World::new(ShardConfig::default(), seed);
        world.add_owner();
        world.run(1000);
        assert!(world.owners[0].shard.is_ready());
        world
    }

    /// Starts a process that takes the shard over, and returns its index.
    pub fn add_owner(&mut self) -> usize {
        let n = self.owners.len();
        let process: ProcessId = format!("sched-{n}").parse().unwrap();
        let (cfg, seed) = (self.cfg.clone(), self.seed * 1000 + n as u64);
        let shard = Shard::new(SHARD, 1, process.clone(), cfg, seed, self.now);
        let (calls, alive) = (VecDeque::new(), true);
        self.owners.push(Owner { shard, process, calls, alive, fenced: false, handed_over: false });
        self.event(n, ShardEvent::Tick);
        self.event(n, ShardEvent::Agreement(agreement()));
        for it in 0..GROUPS {
            let summary = summary(it, self.groups.epoch(&group(it)), self.now);
            self.event(n, ShardEvent::Summary(summary));
        }
        n
    }

    /// Returns the index of the process that serves requests; the newest one if
    /// there are several.
    pub fn serving(&self) -> Option<usize> {
        self.owners.iter().rposition(|it| it.alive && it.shard.is_ready())
    }

    pub fn event(&mut self, n: usize, event: ShardEvent) {
        if !self.owners[n].alive {
            return;
        }
        if self.events_now.0 < self.now {
            self.events_now = (self.now, 0);
        }
        self.events_now.1 += 1;
        assert!(self.events_now.1 < 20_000, "endless loop of events at {}: {event:?}", self.now);
        let mut out = Vec::new();
        self.owners[n].shard.handle(self.now, event, &mut out);
        for action in out {
            match action {
                ShardAction::Store { call, op } => self.owners[n].calls.push_back((call, op)),
                ShardAction::Respond { to, request, body } => self.on_answer(to, request, body),
                ShardAction::ToGroup { to, body } => {
                    if let ShardToGroup::Start { task, .. } = &body {
                        assert!(self.durable.bound.contains_key(task), "{task} is not durable");
                    }
                    self.to_groups.push_back((to, body));
                }
                ShardAction::Fenced => {
                    (self.owners[n].alive, self.owners[n].fenced) = (false, true);
                }
                ShardAction::HandedOver { .. } => {
                    (self.owners[n].alive, self.owners[n].handed_over) = (false, true);
                }
            }
        }
        let due = self.owners[n].shard.next_deadline();
        let dump = || self.owners[n].shard.dump(10);
        assert!(due.is_none_or(|it| self.now < it), "due again at once: {due:?} {:?}", dump());
        self.check();
    }

    pub fn request(&mut self, n: usize, body: ShardRequest) -> RequestId {
        self.request_from("entry-0", n, body)
    }

    pub fn request_from(&mut self, entry: &str, n: usize, body: ShardRequest) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.repeat(entry, request, n, body);
        request
    }

    /// Sends a request under a given identifier, which may have been used before.
    pub fn repeat(&mut self, entry: &str, request: RequestId, n: usize, body: ShardRequest) {
        let subject = match &body {
            ShardRequest::Submit { spec } | ShardRequest::Admit { spec, .. } => {
                RequestSubject::Submission(spec.id(), spec.digest)
            }
            ShardRequest::Cancel { job, .. } => RequestSubject::Cancellation(*job),
            _ => RequestSubject::Other,
        };
        let from: ProcessId = entry.parse().unwrap();
        self.requests.insert(request, (from.clone(), subject));
        self.event(n, ShardEvent::Request { from, request, body });
    }

    pub fn submit(&mut self, spec: &JobSpec) -> RequestId {
        let n = self.serving().expect("a process serves requests");
        self.request(n, ShardRequest::Submit { spec: spec.clone() })
    }

    fn on_answer(&mut self, to: ProcessId, request: RequestId, body: ShardResponse) {
        let (from, _) = self.requests.get(&request).expect("only requests are answered");
        assert_eq!(*from, to);
        match &body {
            ShardResponse::Accepted { status, .. } => {
                self.check_status(status);
                self.acknowledged_jobs.insert(status.job);
            }
            ShardResponse::Status { status } => self.check_status(status),
            ShardResponse::Admitted { task } => {
                let holder = self.durable.admitted.get(task);
                assert_eq!(holder, Some(&(to, request)), "{task} was admitted for another");
                self.check_admitted(*task);
            }
            ShardResponse::Refused(Refusal { verdict: Verdict::NotRun, .. }) => {
                self.refused_not_run.insert(request);
            }
            _ => {}
        }
        self.answers.entry(request).or_default().push(body);
    }

    /// Checks that the previous attempt has ended: its upstream refused it, or
    /// stopped at its deadline and the class of the request allows another one.
    fn check_admitted(&self, task: TaskId) {
        let Some(attempt) = task.attempt.0.checked_sub(1).filter(|it| 0 < *it) else { return };
        let before = TaskId { job: task.job, attempt: AttemptNumber(attempt) };
        match (self.durable.evidence.get(&before), &self.durable.bound[&before]) {
            (Some(EndEvidence::NeverSent), _) => {}
            (Some(EndEvidence::RequestDeadline), AttemptLocation::Upstream { deadline, .. }) => {
                assert!(deadline.plus_ms(MAX_CLOCK_ERROR_MS) < self.now, "{before} may still run");
                let class = &self.durable.ledger.get(task.job).unwrap().spec.class;
                assert_eq!(class.as_str(), "proof", "{task} repeats what must not be repeated");
            }
            other => panic!("{task} was admitted after {other:?}"),
        }
    }

    fn check_status(&self, status: &JobStatus) {
        let durable = self.durable.state(status.job);
        assert!(durable.is_some(), "{} was shown before it was durable", status.job);
        if let JobState::Done { .. } = status.state {
            assert_eq!(durable, Some(&status.state), "an end was shown that is not durable");
        }
    }

    /// Checks the invariants that hold after every event.
    pub fn check(&self) {
        for (job, times) in &self.durable.accepted {
            assert_eq!(*times, 1, "key of {job} was accepted more than once");
        }
        for job in &self.acknowledged_jobs {
            assert!(self.durable.state(*job).is_some(), "acknowledged {job} was lost");
        }
        for (job, it) in self.durable.ledger.jobs() {
            let JobState::Done { outcome: Outcome::Failed { refusal }, .. } = &it.state else {
                continue;
            };
            let ran = self.groups.started.iter().any(|it| it.job == job);
            assert!(!ran || refusal.verdict != Verdict::NotRun, "{job} ended as not run but ran");
        }
        for request in &self.refused_not_run {
            let (_, subject) = &self.requests[request];
            let others = self.requests.values().filter(|(_, it)| it == subject).count();
            let took_effect = match subject {
                RequestSubject::Submission(job, digest) => {
                    let job = self.durable.ledger.get(*job);
                    job.is_some_and(|it| it.spec.digest == *digest)
                }
                RequestSubject::Cancellation(job) => matches!(
                    self.durable.state(*job),
                    Some(JobState::Bound { cancelling: true, .. })
                        | Some(JobState::Done { outcome: Outcome::Cancelled, .. })
                ),
                RequestSubject::Other => false,
            };
            assert!(!took_effect || 1 < others, "request {request} was not run but took effect");
        }
    }

    /// Executes a store call and returns its result.
    pub fn call(&mut self, op: &StoreOp) -> StoreResult {
        let result = self.store.call(op);
        if result.is_ok() {
            self.durable.observe(SHARD, op);
        }
        result
    }

    /// Answers the oldest call of a process: by the store, or as unavailable
    /// during an outage.
    pub fn answer_call(&mut self, n: usize) -> bool {
        let Some((call, op)) = self.owners[n].calls.pop_front() else { return false };
        let result = match self.store_up {
            true => self.call(&op),
            false => {
                self.failed_calls += 1;
                Err(StoreError::Unavailable { verdict: self.outage_verdict })
            }
        };
        self.event(n, ShardEvent::StoreReply { call, result });
        true
    }

    pub fn deliver_to_groups(&mut self) -> bool {
        let Some((to, body)) = self.to_groups.pop_front() else { return false };
        self.groups.handle(self.now, to, body, &self.durable);
        true
    }

    pub fn deliver_to_shard(&mut self, n: usize) -> bool {
        let Some((from, body)) = self.groups.outbox.pop_front() else { return false };
        self.event(n, ShardEvent::FromGroup { from, body });
        true
    }

    fn deliver_all(&mut self) {
        loop {
            let mut moved = false;
            for n in 0..self.owners.len() {
                while self.owners[n].alive && self.answer_call(n) {
                    moved = true;
                }
            }
            while self.deliver_to_groups() {
                moved = true;
            }
            while let Some(n) = self.serving() {
                if !self.deliver_to_shard(n) {
                    break;
                }
                moved = true;
            }
            if !moved {
                return;
            }
        }
    }

    /// Runs the world for `ms`; every message and call arrives without delay.
    pub fn run(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        loop {
            self.deliver_all();
            let due = self.owners.iter().filter(|it| it.alive);
            let due = due.filter_map(|it| it.shard.next_deadline()).min();
            let next = due.unwrap_or(Timestamp::MAX).min(self.next_periodic_at);
            if end < next {
                break;
            }
            self.now = self.now.max(next);
            if self.next_periodic_at <= self.now {
                self.send_periodic_messages();
            }
            for n in 0..self.owners.len() {
                let due = self.owners[n].shard.next_deadline();
                if due.is_some_and(|it| it <= self.now) {
                    self.event(n, ShardEvent::Tick);
                }
            }
        }
        self.now = end;
    }

    /// Sends what group owners send every second: summaries, and ends of
    /// attempts that are not acknowledged.
    fn send_periodic_messages(&mut self) {
        self.next_periodic_at = self.now.plus_ms(1000);
        self.groups.repeat_ends();
        for n in 0..self.owners.len() {
            for it in 0..GROUPS {
                let summary = summary(it, self.groups.epoch(&group(it)), self.now);
                self.event(n, ShardEvent::Summary(summary));
            }
        }
    }

    pub fn crash(&mut self, n: usize) {
        self.owners[n].alive = false;
        self.owners[n].calls.clear();
    }

    /// Returns the answer to a request, which must be the only one.
    pub fn answer(&self, request: RequestId) -> &ShardResponse {
        let answers = self.answers.get(&request).map_or(&[][..], |it| it);
        assert_eq!(answers.len(), 1, "request {request} has answers {answers:?}");
        &answers[0]
    }

    pub fn refusal(&self, request: RequestId) -> &Refusal {
        match self.answer(request) {
            ShardResponse::Refused(refusal) => refusal,
            other => panic!("request {request} was not refused: {other:?}"),
        }
    }

    pub fn is_answered(&self, request: RequestId) -> bool {
        self.answers.contains_key(&request)
    }

    pub fn status(&mut self, job: JobId) -> JobStatus {
        let n = self.serving().expect("a process serves requests");
        let query = ShardRequest::Query { job, wait_until: None, member: None };
        let request = self.request(n, query);
        match self.answer(request) {
            ShardResponse::Status { status } => status.clone(),
            other => panic!("no status: {other:?}"),
        }
    }

    pub fn outcome(&mut self, job: JobId) -> Option<Outcome> {
        match self.status(job).state {
            JobState::Done { outcome, .. } => Some(outcome),
            _ => None,
        }
    }
}
