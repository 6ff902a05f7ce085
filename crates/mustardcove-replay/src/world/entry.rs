//! Entry processes: sessions, upstream membership and planned stops.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use mustardcove_core::{
    agreement::Agreement,
    configuration::{AgreementFollower, AgreementFollowerEvent},
    id::{CallId, MemberId, ProcessId, RequestId, ServiceId, ShardId, WorkerId},
    limit::{EntryShare, MemberLimit, Shedder},
    membership::{Membership, MembershipAction, MembershipEvent},
    message::PeerMessage,
    ownership::{
        ProcessKind, SessionRecord,
        record::{SESSION_PREFIX, decode_record},
        session::{ENTRY_SESSION_RENEW_MS, ENTRY_SESSION_TTL_MS, Session},
    },
    retry::{RetryBudget, RetryPolicy},
    routing::Router,
    store::watch::PrefixView,
    time::{Timestamp, earliest},
};

use super::{
    ProcessIndex, World,
    caller_requests::CallerRequest,
    process::{ProcessEvent, Role},
    queue::Event,
    shard_calls::ShardCall,
    store::StoreClient,
};
use crate::trace::Header;

/// Maximum number of requests in flight at an entry process.
const MAX_REQUESTS_IN_FLIGHT: u64 = 10_000;

/// Longest time until every entry process knows of a change in the set of live
/// entry processes, in milliseconds.
const ENTRY_CHANGE_DELAY_MS: u64 = 2_000;

/// The upstreams of a service as one entry process sees them.
pub(crate) struct Pool {
    pub(crate) membership: Membership,
    pub(crate) router: Router,
    /// Requests that wait for a free upstream, urgent ones first.
    pub(crate) waiting: VecDeque<u64>,
}

/// An entry process's request limit and retry budget for a member.
pub(crate) struct MemberLimits {
    pub(crate) limit: MemberLimit,
    pub(crate) budget: RetryBudget,
}

/// State of an entry process.
pub(crate) struct Entry {
    session: Session,
    view: PrefixView,
    pub(crate) follower: AgreementFollower,
    next_call: CallId,
    pub(crate) sessions: Vec<SessionRecord>,
    pub(crate) share: EntryShare,
    pub(crate) pools: BTreeMap<ServiceId, Pool>,
    pub(crate) members: BTreeMap<MemberId, MemberLimits>,
    pub(crate) shedder: Shedder,
    pub(crate) retry: RetryPolicy,
    pub(crate) owners: HashMap<ShardId, ProcessId>,
    pub(crate) caller_requests: BTreeMap<u64, CallerRequest>,
    pub(crate) next_caller_request: u64,
    pub(crate) calls: BTreeMap<RequestId, ShardCall>,
    pub(crate) next_request: RequestId,
    pub(crate) agreement: Option<Arc<Agreement>>,
    pub(crate) draining: bool,
}

impl Entry {
    pub(crate) fn new(
        header: &Header,
        record: SessionRecord,
        follower: AgreementFollower,
        seed: u64,
        now: Timestamp,
    ) -> Entry {
        let mut pools = BTreeMap::new();
        for (index, service) in header.services.iter().enumerate() {
            let seed = seed.wrapping_add(index as u64);
            let pool = Pool {
                membership: Membership::new(service.id.clone(), seed),
                router: Router::new(record.region.clone(), record.domain.clone(), seed),
                waiting: VecDeque::new(),
            };
            pools.insert(service.id.clone(), pool);
        }
        let members = header.members.iter().map(|it| {
            let state =
                MemberLimits { limit: MemberLimit::default(), budget: RetryBudget::new(now) };
            (it.id.clone(), state)
        });
        Entry {
            share: EntryShare::new(record.process.clone(), ENTRY_CHANGE_DELAY_MS),
            session: Session::new(record, ENTRY_SESSION_TTL_MS, ENTRY_SESSION_RENEW_MS),
            view: PrefixView::new(SESSION_PREFIX),
            follower,
            next_call: CallId(0),
            sessions: Vec::new(),
            pools,
            members: members.collect(),
            shedder: Shedder::new(MAX_REQUESTS_IN_FLIGHT, seed),
            retry: RetryPolicy::new(seed),
            owners: HashMap::new(),
            caller_requests: BTreeMap::new(),
            next_caller_request: 0,
            calls: BTreeMap::new(),
            next_request: RequestId(0),
            agreement: None,
            draining: false,
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let mut next = earliest(self.session.next_deadline(), self.view.next_deadline());
        next = earliest(next, self.follower.next_deadline());
        next = earliest(next, self.share.next_deadline());
        for pool in self.pools.values() {
            next = earliest(next, pool.membership.next_deadline());
        }
        next
    }

    /// Reports whether callers may send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_known = self.agreement.is_some() && !self.sessions.is_empty();
        !self.draining && is_known && self.share.is_ready()
    }
}

impl World {
    pub(super) fn entry(&mut self, index: ProcessIndex) -> &mut Entry {
        match &mut self.processes[index].role {
            Role::Entry(it) => it,
            Role::Scheduler(_) => unreachable!("the process is an entry"),
        }
    }

    pub(super) fn entry_event(&mut self, index: ProcessIndex, event: ProcessEvent) {
        match event {
            ProcessEvent::Tick => self.entry_tick(index),
            ProcessEvent::StoreReply { client, result } => {
                let now = self.now();
                match client {
                    StoreClient::Session(call) => {
                        self.entry(index).session.handle(now, call, &result);
                    }
                    StoreClient::View(call) => {
                        let changes = self.entry(index).view.handle(now, call, &result);
                        if changes.is_some_and(|it| !it.is_empty()) {
                            self.entry_sessions(index);
                        }
                    }
                    StoreClient::Follower(call) => {
                        self.follower_event(
                            index,
                            AgreementFollowerEvent::StoreReply { call, result },
                        );
                    }
                    StoreClient::Node(_) => (),
                }
                self.poll_entry(index);
            }
            ProcessEvent::Peer { message: PeerMessage::Response { request, body }, .. } => {
                self.shard_answered(index, request, body);
            }
            ProcessEvent::Peer { message: PeerMessage::Configuration(agreement), .. } => {
                self.follower_event(index, AgreementFollowerEvent::Forwarded(agreement));
            }
            ProcessEvent::Workers { version, list } => {
                let event = MembershipEvent::InstanceList { version, workers: list };
                self.membership_event(index, None, event);
            }
            ProcessEvent::CallerRequest(caller) => self.caller_request_received(index, caller),
            ProcessEvent::Upstream(answer) => self.upstream_answered(index, *answer),
            ProcessEvent::Probed { worker, ok } => {
                let now = self.now();
                for pool in self.entry(index).pools.values_mut() {
                    if ok {
                        pool.router.record_answer(now, &worker);
                    }
                }
                self.membership_event(index, None, MembershipEvent::ProbeEnded { worker, ok });
            }
            ProcessEvent::RequestFailed { request, verdict } => {
                self.shard_call_failed(index, request, verdict);
            }
            ProcessEvent::CallerRequestTimer { caller_request, timer } => {
                self.caller_request_timer(index, caller_request, timer)
            }
            _ => (),
        }
        self.entry_stop_progress(index);
    }

    fn entry_tick(&mut self, index: ProcessIndex) {
        let now = self.now();
        self.entry(index).share.on_tick(now);
        self.poll_entry(index);
        self.follower_event(index, AgreementFollowerEvent::Tick);
        self.membership_event(index, None, MembershipEvent::Tick);
    }

    fn poll_entry(&mut self, index: ProcessIndex) {
        let now = self.now();
        let it = self.entry(index);
        it.next_call = it.next_call.next();
        let call = it.next_call;
        if let Some(op) = it.session.poll(now, call) {
            self.store_call(index, StoreClient::Session(call), op);
        }
        let it = self.entry(index);
        it.next_call = it.next_call.next();
        let call = it.next_call;
        if let Some(op) = it.view.poll(now, call) {
            self.store_call(index, StoreClient::View(call), op);
        }
    }

    fn entry_sessions(&mut self, index: ProcessIndex) {
        let now = self.now();
        let it = self.entry(index);
        let records = it.view.entries().filter_map(|it| decode_record::<SessionRecord>(&it.value));
        let records: Vec<SessionRecord> = records.collect();
        let ended =
            it.sessions.iter().filter(|old| records.iter().all(|new| new.process != old.process));
        let ended: Vec<ProcessId> = ended.map(|it| it.process.clone()).collect();
        let entries = records.iter().filter(|it| it.kind == ProcessKind::Entry && !it.draining);
        let entries: Vec<ProcessId> = entries.map(|it| it.process.clone()).collect();
        it.share.on_processes(now, &entries);
        it.sessions = records.clone();
        self.follower_event(index, AgreementFollowerEvent::Processes(records));
        self.fail_calls_to(index, &ended);
    }

    pub(super) fn entry_agreement(&mut self, index: ProcessIndex, agreement: Arc<Agreement>) {
        self.entry(index).agreement = Some(agreement);
    }

    /// Handles a membership event for one service, or for all services if
    /// `service` is absent.
    pub(super) fn membership_event(
        &mut self,
        index: ProcessIndex,
        service: Option<&ServiceId>,
        event: MembershipEvent,
    ) {
        let now = self.now();
        let mut probes: Vec<WorkerId> = Vec::new();
        let mut changed_services = Vec::new();
        for (id, pool) in &mut self.entry(index).pools {
            if service.is_some_and(|it| it != id) {
                continue;
            }
            let mut actions = Vec::new();
            pool.membership.handle(now, event.clone(), &mut actions);
            for action in &actions {
                pool.router.apply(action);
                if let MembershipAction::Probe(upstream) = action {
                    probes.push(upstream.worker.clone());
                }
            }
            if !actions.is_empty() {
                changed_services.push(id.clone());
            }
        }
        for worker in probes {
            self.send_probe(index, &worker);
        }
        for service in changed_services {
            self.dispatch_waiting(index, &service);
        }
    }

    fn send_probe(&mut self, index: ProcessIndex, worker: &WorkerId) {
        let Some(&position) = self.fleet.by_id.get(worker) else { return };
        let (source, target) = (&self.processes[index], &self.fleet.workers[position]);
        if source.disconnected
            || !target.alive
            || !self.net.can_reach(&source.location, &target.location)
        {
            return;
        }
        let from = (index, source.incarnation);
        let at = self.net.send(self.now_us, &source.location, &target.location, 100);
        self.queue.push(at, Event::ProbeArrived { worker: position, from });
    }

    /// Starts a planned stop of an entry process.
    pub(super) fn stop_entry(&mut self, index: ProcessIndex) {
        let now = self.now();
        let it = self.entry(index);
        it.draining = true;
        it.session.set_draining(now);
        self.poll_entry(index);
        self.entry_stop_progress(index);
    }

    /// Ends the session of a draining process once all its callers are
    /// answered.
    fn entry_stop_progress(&mut self, index: ProcessIndex) {
        let now = self.now();
        let it = self.entry(index);
        if !it.draining || !it.caller_requests.is_empty() {
            return;
        }
        it.session.end(now);
        if it.session.is_ended() {
            return self.process_stopped(index);
        }
        self.poll_entry(index);
    }
}
