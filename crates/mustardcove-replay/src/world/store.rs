//! The store: calls of processes and operators, injected faults, and counts.
//!
//! [`StoreState`] decides the result of each call. This module adds the time
//! that calls and answers take, outages and lost answers, waiting watches and
//! expiring leases.

use std::collections::BTreeMap;

use mustardcove_core::{
    id::CallId,
    node::NodeCall,
    ownership::record::encode_record,
    store::{StoreError, StoreOp, StoreReply, StoreResult},
    time::Timestamp,
    verdict::Verdict,
};
use mustardcove_platform::memory::store_state::StoreState;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{ProcessIndex, World, net::Location, process::ProcessEvent, queue::Event};
use crate::{plan, trace::Header};

/// Window over which the rate of calls is averaged, in milliseconds.
const RATE_WINDOW_MS: u64 = 10_000;

/// The state machine of a process that made a call.
#[derive(Clone, Debug)]
pub(crate) enum StoreClient {
    Node(NodeCall),
    Follower(CallId),
    Session(CallId),
    View(CallId),
}

/// The origin of a call.
#[derive(Clone, Debug)]
pub(crate) enum StoreOrigin {
    Process { process: ProcessIndex, incarnation: u64, client: StoreClient },
    Operator(usize),
}

/// A call on its way to the store.
#[derive(Debug)]
pub(crate) struct StoreCall {
    origin: StoreOrigin,
    op: StoreOp,
    sent_us: u64,
}

struct WaitingWatch {
    origin: StoreOrigin,
    op: StoreOp,
    prefix: String,
}

/// The store with its injected faults.
pub(crate) struct Store {
    pub(crate) state: StoreState,
    location: Location,
    service_us: u64,
    timeout_us: u64,
    pub(crate) outage: bool,
    pub(crate) delay_us: u64,
    pub(crate) lost_answer_permille: u16,
    rng: ChaCha8Rng,
    waiting_watches: BTreeMap<u64, WaitingWatch>,
    next_watch: u64,
    expiry_at: Option<Timestamp>,
    /// Numbers of reads and writes in each window.
    pub(crate) calls_by_window: BTreeMap<u64, (u64, u64)>,
    pub(crate) max_waiting_watches: usize,
    pub(crate) writes_by_kind: BTreeMap<String, u64>,
}

impl Store {
    pub(crate) fn new(header: &Header, seed: u64) -> Store {
        Store {
            state: StoreState::default(),
            location: Location { region: header.store.region.clone(), domain: None },
            service_us: header.store.service_us,
            timeout_us: header.store.timeout_ms * 1_000,
            outage: false,
            delay_us: 0,
            lost_answer_permille: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5707),
            waiting_watches: BTreeMap::new(),
            next_watch: 0,
            expiry_at: None,
            calls_by_window: BTreeMap::new(),
            max_waiting_watches: 0,
            writes_by_kind: BTreeMap::new(),
        }
    }

    /// Returns the highest rates of reads and writes in any window, per
    /// second.
    pub(crate) fn peak_rates(&self) -> (f64, f64) {
        let peak = |pick: fn(&(u64, u64)) -> u64| {
            let most = self.calls_by_window.values().map(pick).max().unwrap_or_default();
            most as f64 * 1_000.0 / RATE_WINDOW_MS as f64
        };
        (peak(|it| it.0), peak(|it| it.1))
    }

    fn count(&mut self, now: Timestamp, op: &StoreOp) {
        self.state.count(op);
        let window = self.calls_by_window.entry(now.0 / RATE_WINDOW_MS).or_default();
        if op.is_write() {
            window.1 += 1;
            *self.writes_by_kind.entry(write_kind(op).to_owned()).or_default() += 1;
        } else {
            window.0 += 1;
        }
    }
}

/// Returns the first segment of the key of a write, or `lease` for calls on
/// leases.
fn write_kind(op: &StoreOp) -> &str {
    match op {
        StoreOp::Put { key, .. } | StoreOp::Delete { key, .. } => {
            key.split('/').next().unwrap_or_default()
        }
        _ => "lease",
    }
}

fn op_bytes(op: &StoreOp) -> u64 {
    match op {
        StoreOp::Put { key, value, .. } => (key.len() + value.len()) as u64,
        StoreOp::Get { key } | StoreOp::Delete { key, .. } => key.len() as u64,
        StoreOp::List { prefix, .. } | StoreOp::Watch { prefix, .. } => prefix.len() as u64,
        StoreOp::GrantLease { .. } | StoreOp::RenewLease { .. } | StoreOp::RevokeLease { .. } => 16,
    }
}

fn result_bytes(result: &StoreResult) -> u64 {
    let entry = |it: &mustardcove_core::store::Entry| (it.key.len() + it.value.len()) as u64;
    match result {
        Ok(StoreReply::Got { entry: Some(it), .. }) => entry(it),
        Ok(StoreReply::Listed { entries, .. }) => entries.iter().map(entry).sum(),
        Ok(StoreReply::Changes { events, .. }) => events
            .iter()
            .map(|it| match it {
                mustardcove_core::store::WatchEvent::Put(it) => entry(it),
                mustardcove_core::store::WatchEvent::Delete { key } => key.len() as u64,
            })
            .sum(),
        _ => 16,
    }
}

impl World {
    pub(super) fn write_initial_agreement(&mut self) {
        let record = plan::initial_record(&self.trace.header);
        let op = StoreOp::Put {
            key: mustardcove_core::agreement::record::AGREEMENT_KEY.to_owned(),
            value: encode_record(&record),
            expect: mustardcove_core::store::Expect::Absent,
            lease: None,
        };
        let _ = self.store.state.apply(self.now(), &op);
    }

    /// Sends a call of a process to the store.
    pub(super) fn store_call(&mut self, process: ProcessIndex, client: StoreClient, op: StoreOp) {
        let incarnation = self.processes[process].incarnation;
        let origin = StoreOrigin::Process { process, incarnation, client };
        let call = StoreCall { origin, op, sent_us: self.now_us };
        let it = &self.processes[process];
        if it.disconnected || !self.net.can_reach(&it.location, &self.store.location) {
            return self.store_timeout(call);
        }
        let bytes = op_bytes(&call.op);
        let at = self.net.send(self.now_us, &it.location, &self.store.location, bytes);
        self.queue.push(at, Event::StoreCallArrived(Box::new(call)));
    }

    pub(super) fn operator_call(&mut self, operator: usize, op: StoreOp) {
        let origin = StoreOrigin::Operator(operator);
        let call = StoreCall { origin, op, sent_us: self.now_us };
        self.queue.push(self.now_us + 1_000, Event::StoreCallArrived(Box::new(call)));
    }

    /// Lets a call time out whose answer will never arrive.
    fn store_timeout(&mut self, call: StoreCall) {
        let at = (call.sent_us + self.store.timeout_us).max(self.now_us);
        let result = Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun });
        self.push_store_reply(at, call.origin, result);
    }

    fn push_store_reply(&mut self, at: u64, origin: StoreOrigin, result: StoreResult) {
        match origin {
            StoreOrigin::Process { process, incarnation, client } => {
                let event = ProcessEvent::StoreReply { client, result };
                self.queue
                    .push(at, Event::Deliver { to: process, incarnation, event: Box::new(event) });
            }
            StoreOrigin::Operator(operator) => {
                self.queue.push(at, Event::OperatorReply { operator, result });
            }
        }
    }

    fn is_disconnected_from_store(&self, origin: &StoreOrigin) -> bool {
        match origin {
            StoreOrigin::Process { process, .. } => {
                self.is_process_disconnected_from_store(*process)
            }
            StoreOrigin::Operator(_) => false,
        }
    }

    pub(super) fn is_process_disconnected_from_store(&self, process: ProcessIndex) -> bool {
        let it = &self.processes[process];
        it.disconnected || !self.net.can_reach(&it.location, &self.store.location)
    }

    pub(super) fn store_call_arrived(&mut self, call: StoreCall) {
        let now = self.now();
        if self.is_disconnected_from_store(&call.origin) {
            return self.store_timeout(call);
        }
        self.store.count(now, &call.op);
        if self.store.outage {
            self.store.state.counters.refused += 1;
            let result = Err(StoreError::Unavailable { verdict: Verdict::NotRun });
            return self.answer_store_call(call, result);
        }
        self.expire_leases();
        if let StoreOp::Watch { prefix, wait_ms, .. } = &call.op {
            let result = self.store.state.apply(now, &call.op);
            let is_empty =
                matches!(&result, Ok(StoreReply::Changes { events, .. }) if events.is_empty());
            if is_empty {
                self.store.next_watch += 1;
                let id = self.store.next_watch;
                let until = self.now_us + wait_ms * 1_000;
                let prefix = prefix.clone();
                let watch = WaitingWatch { origin: call.origin, op: call.op, prefix };
                self.store.waiting_watches.insert(id, watch);
                self.store.max_waiting_watches =
                    self.store.max_waiting_watches.max(self.store.waiting_watches.len());
                return self.queue.push(until, Event::WatchTimeout(id));
            }
            return self.answer_store_call(call, result);
        }
        let before = self.store.state.revision();
        let result = self.store.state.apply(now, &call.op);
        if let (StoreOp::Put { key, value, .. }, Ok(_)) = (&call.op, &result) {
            self.observe_put(key, value);
        }
        if self.store.state.revision() != before {
            let key = match &call.op {
                StoreOp::Put { key, .. } | StoreOp::Delete { key, .. } => Some(key.clone()),
                _ => None,
            };
            self.answer_watches(key.as_deref());
        }
        self.schedule_expiry();
        let is_answer_lost = call.op.is_write()
            && self.store.rng.random_range(0..1000) < self.store.lost_answer_permille;
        if is_answer_lost {
            self.store.state.counters.lost_answers += 1;
            return self.store_timeout(call);
        }
        self.answer_store_call(call, result);
    }

    fn answer_store_call(&mut self, call: StoreCall, result: StoreResult) {
        let ready = self.now_us + self.store.service_us + self.store.delay_us;
        let at = match &call.origin {
            StoreOrigin::Process { process, .. } => {
                let to = &self.processes[*process].location;
                self.net.send(ready, &self.store.location, to, result_bytes(&result))
            }
            StoreOrigin::Operator(_) => ready + 1_000,
        };
        let watch_wait_ms = match &call.op {
            StoreOp::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        if call.sent_us + self.store.timeout_us + watch_wait_ms * 1_000 < at {
            return self.store_timeout(call);
        }
        self.push_store_reply(at, call.origin, result);
    }

    /// Answers the watches whose prefix matches `key`; `None` matches all of
    /// them.
    fn answer_watches(&mut self, key: Option<&str>) {
        let now = self.now();
        let is_affected =
            |it: &&WaitingWatch| key.is_none_or(|key| key.starts_with(it.prefix.as_str()));
        let ids = self.store.waiting_watches.iter().filter(|(_, it)| is_affected(it));
        let ids: Vec<u64> = ids.map(|(id, _)| *id).collect();
        for id in ids {
            let result = self.store.state.apply(now, &self.store.waiting_watches[&id].op);
            if matches!(&result, Ok(StoreReply::Changes { events, .. }) if events.is_empty()) {
                continue;
            }
            self.end_watch(id, result);
        }
    }

    fn end_watch(&mut self, id: u64, result: StoreResult) {
        let Some(it) = self.store.waiting_watches.remove(&id) else { return };
        let call = StoreCall { origin: it.origin, op: it.op, sent_us: self.now_us };
        if self.is_disconnected_from_store(&call.origin) {
            return self.store_timeout(call);
        }
        self.answer_store_call(call, result);
    }

    pub(super) fn watch_timeout(&mut self, id: u64) {
        let now = self.now();
        if let Some(it) = self.store.waiting_watches.get(&id) {
            let result = self.store.state.apply(now, &it.op);
            self.end_watch(id, result);
        }
    }

    /// Fails the waiting watches during an outage, and those of disconnected
    /// processes.
    pub(super) fn fail_watches(&mut self) {
        let ids: Vec<u64> = self.store.waiting_watches.keys().copied().collect();
        for id in ids {
            let is_disconnected =
                self.is_disconnected_from_store(&self.store.waiting_watches[&id].origin);
            if self.store.outage || is_disconnected {
                self.end_watch(id, Err(StoreError::Unavailable { verdict: Verdict::NotRun }));
            }
        }
    }

    fn expire_leases(&mut self) {
        let before = self.store.state.revision();
        let now = self.now();
        if self.store.state.next_expiry().is_some_and(|it| it <= now) {
            self.store.state.expire(now);
        }
        if self.store.state.revision() != before {
            self.answer_watches(None);
        }
    }

    pub(super) fn store_lease_expiry(&mut self) {
        self.store.expiry_at = None;
        // During an outage no leases expire; the expiry is scheduled again
        // when the store is restored.
        if !self.store.outage {
            self.expire_leases();
            self.schedule_expiry();
        }
    }

    pub(super) fn schedule_expiry(&mut self) {
        let next = self.store.state.next_expiry();
        if let Some(next) = next
            && self.store.expiry_at.is_none_or(|it| next < it)
        {
            self.store.expiry_at = Some(next);
            self.queue.push(next.0.max(self.now().0) * 1_000, Event::StoreLeaseExpiry);
        }
    }

    /// Observes a write that took effect.
    fn observe_put(&mut self, key: &str, value: &[u8]) {
        let trace_ms = self.trace_ms();
        let now_us = self.now_us;
        if key.starts_with("shard/") {
            self.checks.observe_log(trace_ms, key, value);
            let ended = self.checks.take_ended();
            for (job, outcome) in ended {
                self.job_ended(job, &outcome);
            }
        } else if key == mustardcove_core::agreement::record::AGREEMENT_KEY {
            self.revision_written(now_us, value);
        }
    }
}
