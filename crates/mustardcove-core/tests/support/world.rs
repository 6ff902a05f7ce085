//! Processes that own a shard one after the other, or believe that they do,
//! with one store and one fleet. Every event is followed by the checks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mustardcove_core::{
    id::{AttemptNumber, CallId, GroupId, JobId, ProcessId, RequestId, ShardId, TaskId},
    job::{BodyDigest, Evidence, JobSpec, JobState, Outcome, Place},
    message::{JobStatus, ShardRequest, ShardResponse, ShardToGroup},
    shard::{Shard, ShardAction, ShardConfig, ShardEvent},
    store::{StoreError, StoreOp, StoreResult},
    time::{MAX_CLOCK_ERROR_MS, Timestamp},
    verdict::{Refusal, Verdict},
};

use super::{agreement, group, group_owners::Fleet, store::MemoryStore, summary, truth::Truth};

pub const SHARD: ShardId = ShardId(0);

/// Groups in the world.
pub const GROUPS: usize = 2;

pub struct Owner {
    pub shard: Shard,
    pub process: ProcessId,
    pub calls: VecDeque<(CallId, StoreOp)>,
    /// Whether the process runs and was not told to drop the shard.
    pub alive: bool,
    pub fenced: bool,
    pub handed_over: bool,
}

/// What a request was about.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    Work(JobId, BodyDigest),
    Cancel(JobId),
    Other,
}

pub struct World {
    pub now: Timestamp,
    pub cfg: ShardConfig,
    pub store: MemoryStore,
    pub truth: Truth,
    pub fleet: Fleet,
    pub owners: Vec<Owner>,
    pub to_fleet: VecDeque<(GroupId, ShardToGroup)>,
    /// Whether the store answers; `run` fails calls while it does not.
    pub up: bool,
    /// What a call that fails while the store is away says.
    pub away: Verdict,
    /// Writes that take effect although their callers were told otherwise.
    pub late: VecDeque<StoreOp>,
    pub asked: BTreeMap<RequestId, (ProcessId, Asked)>,
    pub answers: BTreeMap<RequestId, Vec<ShardResponse>>,
    pub not_run: BTreeSet<RequestId>,
    pub promised: BTreeSet<JobId>,
    pub seed: u64,
    /// Calls that failed because the store was away.
    pub failed_calls: u64,
    /// Events at the same time, which must come to an end.
    instant: (Timestamp, u32),
    next_request: u64,
    next_chatter: Timestamp,
}

impl World {
    pub fn new(cfg: ShardConfig, seed: u64) -> World {
        let now = Timestamp(1_000_000);
        World {
            now,
            cfg,
            store: MemoryStore::default(),
            truth: Truth::default(),
            fleet: Fleet::default(),
            owners: Vec::new(),
            to_fleet: VecDeque::new(),
            up: true,
            away: Verdict::NotRun,
            late: VecDeque::new(),
            asked: BTreeMap::new(),
            answers: BTreeMap::new(),
            not_run: BTreeSet::new(),
            promised: BTreeSet::new(),
            seed,
            failed_calls: 0,
            instant: (now, 0),
            next_request: 0,
            next_chatter: now,
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

    /// Starts a process that takes the shard over.
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
            let summary = summary(it, self.fleet.epoch(&group(it)), self.now);
            self.event(n, ShardEvent::Summary(summary));
        }
        n
    }

    /// Returns the process that serves requests, the newest if several do.
    pub fn serving(&self) -> Option<usize> {
        self.owners.iter().rposition(|it| it.alive && it.shard.is_ready())
    }

    pub fn event(&mut self, n: usize, event: ShardEvent) {
        if !self.owners[n].alive {
            return;
        }
        if self.instant.0 < self.now {
            self.instant = (self.now, 0);
        }
        self.instant.1 += 1;
        assert!(self.instant.1 < 20_000, "events go on for ever at {}: {event:?}", self.now);
        let mut out = Vec::new();
        self.owners[n].shard.handle(self.now, event, &mut out);
        for action in out {
            match action {
                ShardAction::Store { call, op } => self.owners[n].calls.push_back((call, op)),
                ShardAction::Respond { to, request, body } => self.on_answer(to, request, body),
                ShardAction::Group { to, body } => {
                    if let ShardToGroup::Start { task, .. } = &body {
                        assert!(self.truth.bound.contains_key(task), "{task} is not durable");
                    }
                    self.to_fleet.push_back((to, body));
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

    /// Sends a request under an identifier that may have been used before.
    pub fn repeat(&mut self, entry: &str, request: RequestId, n: usize, body: ShardRequest) {
        let asked = match &body {
            ShardRequest::Submit { spec } | ShardRequest::Admit { spec, .. } => {
                Asked::Work(spec.id(), spec.digest)
            }
            ShardRequest::Cancel { job, .. } => Asked::Cancel(*job),
            _ => Asked::Other,
        };
        let from: ProcessId = entry.parse().unwrap();
        self.asked.insert(request, (from.clone(), asked));
        self.event(n, ShardEvent::Request { from, request, body });
    }

    pub fn submit(&mut self, spec: &JobSpec) -> RequestId {
        let n = self.serving().expect("a process serves requests");
        self.request(n, ShardRequest::Submit { spec: spec.clone() })
    }

    fn on_answer(&mut self, to: ProcessId, request: RequestId, body: ShardResponse) {
        let (from, _) = self.asked.get(&request).expect("only requests are answered");
        assert_eq!(*from, to);
        match &body {
            ShardResponse::Accepted { status, .. } => {
                self.check_status(status);
                self.promised.insert(status.job);
            }
            ShardResponse::Status { status } => self.check_status(status),
            ShardResponse::Admitted { task } => {
                let holder = self.truth.admitted.get(task);
                assert_eq!(holder, Some(&(to, request)), "{task} was admitted for another");
                self.check_admitted(*task);
            }
            ShardResponse::Refused(Refusal { verdict: Verdict::NotRun, .. }) => {
                self.not_run.insert(request);
            }
            _ => {}
        }
        self.answers.entry(request).or_default().push(body);
    }

    /// Checks that the attempt before is over: its upstream refused it, or has
    /// stopped at its deadline and the request may be repeated.
    fn check_admitted(&self, task: TaskId) {
        let Some(attempt) = task.attempt.0.checked_sub(1).filter(|it| 0 < *it) else { return };
        let before = TaskId { job: task.job, attempt: AttemptNumber(attempt) };
        match (self.truth.evidence.get(&before), &self.truth.bound[&before]) {
            (Some(Evidence::NeverSent), _) => {}
            (Some(Evidence::RequestDeadline), Place::Upstream { deadline, .. }) => {
                assert!(deadline.plus_ms(MAX_CLOCK_ERROR_MS) < self.now, "{before} may still run");
                let class = &self.truth.ledger.get(task.job).unwrap().spec.class;
                assert_eq!(class.as_str(), "proof", "{task} repeats what must not be repeated");
            }
            other => panic!("{task} was admitted after {other:?}"),
        }
    }

    fn check_status(&self, status: &JobStatus) {
        let truth = self.truth.state(status.job);
        assert!(truth.is_some(), "{} was shown before it was durable", status.job);
        if let JobState::Done { .. } = status.state {
            assert_eq!(truth, Some(&status.state), "an end was shown that is not durable");
        }
    }

    /// Checks what must hold after every event.
    pub fn check(&self) {
        for (job, times) in &self.truth.accepted {
            assert_eq!(*times, 1, "key of {job} was accepted more than once");
        }
        for job in &self.promised {
            assert!(self.truth.state(*job).is_some(), "acknowledged {job} was lost");
        }
        for (job, it) in self.truth.ledger.jobs() {
            let JobState::Done { outcome: Outcome::Failed { refusal }, .. } = &it.state else {
                continue;
            };
            let ran = self.fleet.started.iter().any(|it| it.job == job);
            assert!(!ran || refusal.verdict != Verdict::NotRun, "{job} ended as not run but ran");
        }
        for request in &self.not_run {
            let (_, asked) = &self.asked[request];
            let others = self.asked.values().filter(|(_, it)| it == asked).count();
            let happened = match asked {
                Asked::Work(job, digest) => {
                    let job = self.truth.ledger.get(*job);
                    job.is_some_and(|it| it.spec.digest == *digest)
                }
                Asked::Cancel(job) => matches!(
                    self.truth.state(*job),
                    Some(JobState::Bound { cancelling: true, .. })
                        | Some(JobState::Done { outcome: Outcome::Cancelled, .. })
                ),
                Asked::Other => false,
            };
            assert!(!happened || 1 < others, "request {request} was not run but took effect");
        }
    }

    /// Carries a call out and returns its result.
    pub fn call(&mut self, op: &StoreOp) -> StoreResult {
        let result = self.store.call(op);
        if result.is_ok() {
            self.truth.observe(SHARD, op);
        }
        result
    }

    /// Answers the oldest call of a process, as the store or as an outage.
    pub fn answer_call(&mut self, n: usize) -> bool {
        let Some((call, op)) = self.owners[n].calls.pop_front() else { return false };
        let result = match self.up {
            true => self.call(&op),
            false => {
                self.failed_calls += 1;
                Err(StoreError::Unavailable { verdict: self.away })
            }
        };
        self.event(n, ShardEvent::StoreReply { call, result });
        true
    }

    pub fn deliver_to_fleet(&mut self) -> bool {
        let Some((to, body)) = self.to_fleet.pop_front() else { return false };
        self.fleet.handle(self.now, to, body, &self.truth);
        true
    }

    pub fn deliver_to_shard(&mut self, n: usize) -> bool {
        let Some((from, body)) = self.fleet.outbox.pop_front() else { return false };
        self.event(n, ShardEvent::Group { from, body });
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
            while self.deliver_to_fleet() {
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

    /// Runs for a time in which every message and call arrives at once.
    pub fn run(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        loop {
            self.deliver_all();
            let due = self.owners.iter().filter(|it| it.alive);
            let due = due.filter_map(|it| it.shard.next_deadline()).min();
            let next = due.unwrap_or(Timestamp::MAX).min(self.next_chatter);
            if end < next {
                break;
            }
            self.now = self.now.max(next);
            if self.next_chatter <= self.now {
                self.chatter();
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

    /// Repeats what group owners send every second.
    fn chatter(&mut self) {
        self.next_chatter = self.now.plus_ms(1000);
        self.fleet.repeat_ends();
        for n in 0..self.owners.len() {
            for it in 0..GROUPS {
                let summary = summary(it, self.fleet.epoch(&group(it)), self.now);
                self.event(n, ShardEvent::Summary(summary));
            }
        }
    }

    pub fn crash(&mut self, n: usize) {
        self.owners[n].alive = false;
        self.owners[n].calls.clear();
    }

    /// Returns the only answer to a request.
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
