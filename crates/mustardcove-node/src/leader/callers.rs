//! The processes that call workers for the leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use mustardcove_adapter::store::Item;
use mustardcove_core::{
    fleet::{
        assignment::{Poller, assign},
        id::Term,
        message::{FleetMessage, WorkerContact},
        planner::Planner,
        record::ProcessRecord,
    },
    id::{ProcessId, WorkerId},
    time::Timestamp,
};
use slog::{info, warn};

use crate::{durable, shared::Shared};

/// A process that was not heard of for this long is lost, in milliseconds:
/// three times the longest pause between two reports.
const LOST_AFTER_MS: u64 = 1_200;
/// What is left of that after its connection broke, in milliseconds; a process
/// that lives connects again by then.
const BROKEN_GRACE_MS: u64 = 250;
/// After the begin of a term, workers are assigned once this time has passed,
/// in milliseconds, so that most processes have answered the first beat.
const FIRST_ASSIGNMENT_MS: u64 = 60;
/// Time between two sendings of an assignment that may have been lost, in
/// milliseconds.
const REPEAT_MS: u64 = 1_000;
/// Share of the leader's processor that is left for calls: it also plans.
const LEADER_WEIGHT: f64 = 0.4;

#[derive(Debug)]
struct Process {
    record: ProcessRecord,
    heard_at: Option<Timestamp>,
    reached_store_at: Option<Timestamp>,
    is_synced: bool,
    /// The workers it was last told to call, and when.
    told: BTreeMap<WorkerId, WorkerContact>,
    told_at: Timestamp,
}

/// The processes, and which of them calls which worker.
pub(super) struct Callers {
    shared: Arc<Shared>,
    term: Term,
    began_at: Timestamp,
    processes: BTreeMap<ProcessId, Process>,
    caller_of: BTreeMap<WorkerId, ProcessId>,
}

impl Callers {
    pub(super) fn new(shared: Arc<Shared>, term: Term) -> Callers {
        let began_at = shared.now();
        Callers { shared, term, began_at, processes: BTreeMap::new(), caller_of: BTreeMap::new() }
    }

    /// Takes the processes that are registered in the store.
    pub(super) fn registered(&mut self, items: &[Item], now: Timestamp) {
        let mut listed = BTreeSet::new();
        for item in items {
            let record: Option<ProcessRecord> = durable::decode(&self.shared, "process", item);
            let Some(record) = record else { continue };
            listed.insert(record.process.clone());
            self.joined(record);
        }
        // A process that restarted is registered under its new id.
        let gone: Vec<ProcessId> = self
            .processes
            .iter()
            .filter(|(id, it)| !listed.contains(*id) && !self.is_heard(it, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.processes.remove(&id);
            self.shared.peers.remove_peer(&id);
        }
    }

    /// Adds a process unless it is known.
    pub(super) fn joined(&mut self, record: ProcessRecord) {
        let Ok(address) = record.address.parse() else {
            warn!(self.shared.log, "process without a usable address";
                "joined" => %record.process, "address" => &record.address);
            return;
        };
        if self.processes.contains_key(&record.process) {
            return;
        }
        let (process, region) = (record.process.clone(), record.region.clone());
        self.shared.peers.add_peer(process, address, region);
        let process = Process {
            heard_at: None,
            reached_store_at: None,
            is_synced: false,
            told: BTreeMap::new(),
            told_at: Timestamp::default(),
            record,
        };
        self.processes.insert(process.record.process.clone(), process);
    }

    fn is_heard(&self, process: &Process, now: Timestamp) -> bool {
        process.heard_at.is_some_and(|it| now.ms_since(it) < LOST_AFTER_MS)
    }

    /// Notes that a process was heard.
    pub(super) fn heard(&mut self, process: &ProcessId, reaches_store: bool, now: Timestamp) {
        let Some(it) = self.processes.get_mut(process) else { return };
        if it.heard_at.is_none() {
            info!(self.shared.log, "process joined"; "joined" => %process, "term" => %self.term);
        }
        it.heard_at = Some(now);
        if reaches_store {
            it.reached_store_at = Some(now);
        }
    }

    /// Notes that the connection to a process broke.
    pub(super) fn down(&mut self, process: &ProcessId, now: Timestamp) {
        let Some(it) = self.processes.get_mut(process) else { return };
        it.is_synced = false;
        it.told_at = Timestamp::default();
        let latest = now.minus_ms(LOST_AFTER_MS - BROKEN_GRACE_MS);
        it.heard_at = it.heard_at.map(|it| it.min(latest));
    }

    /// Returns whether most of the registered processes are heard.
    pub(super) fn hears_most(&self, now: Timestamp) -> bool {
        let heard = self.processes.values().filter(|it| self.is_heard(it, now)).count();
        self.processes.len() < 2 * heard
    }

    /// Returns the processes that reached the store lately.
    pub(super) fn reaching_store(&self, now: Timestamp) -> Vec<ProcessId> {
        let reaches = |it: &&Process| {
            self.is_heard(it, now)
                && it.reached_store_at.is_some_and(|it| now.ms_since(it) < LOST_AFTER_MS)
        };
        self.processes.values().filter(reaches).map(|it| it.record.process.clone()).collect()
    }

    /// Returns the processes that are heard and were not sent all states yet.
    pub(super) fn take_unsynced(&mut self) -> Vec<ProcessId> {
        let mut unsynced = Vec::new();
        for process in self.processes.values_mut() {
            if process.heard_at.is_some() && !process.is_synced {
                process.is_synced = true;
                unsynced.push(process.record.process.clone());
            }
        }
        unsynced
    }

    pub(super) fn caller_of(&self, worker: &WorkerId) -> Option<&ProcessId> {
        self.caller_of.get(worker)
    }

    pub(super) fn is_caller_of(&self, process: &ProcessId, worker: &WorkerId) -> bool {
        self.caller_of.get(worker) == Some(process)
    }

    /// Sends a message to every registered process.
    pub(super) fn broadcast(&self, message: impl Fn() -> FleetMessage) {
        for process in self.processes.keys() {
            self.shared.send(process, message());
        }
    }

    /// Assigns workers anew. Returns the workers whose caller is lost.
    pub(super) fn update(&mut self, planner: &Planner, now: Timestamp) -> Vec<WorkerId> {
        if now < self.began_at.plus_ms(FIRST_ASSIGNMENT_MS) {
            return Vec::new();
        }
        let callers: Vec<Poller> = self
            .processes
            .values()
            .filter(|it| self.is_heard(it, now))
            .map(|it| self.caller(&it.record))
            .collect();
        let callable: Vec<_> = planner.workers_to_poll().collect();
        let workers = callable.iter().map(|(it, _)| (&it.worker, &it.domain));
        let assigned = assign(&callers, &self.shared.settings.regions, workers);
        let mut lost: Vec<WorkerId> = (self.caller_of.iter())
            .filter(|(worker, caller)| assigned.get(*worker) != Some(*caller))
            .map(|(worker, _)| worker.clone())
            .collect();
        let mut wanted: BTreeMap<ProcessId, BTreeMap<WorkerId, WorkerContact>> =
            callers.iter().map(|it| (it.process.clone(), BTreeMap::new())).collect();
        for (listing, responsive_since) in callable {
            let Some(caller) = assigned.get(&listing.worker) else { continue };
            let told = self.processes.get(caller).and_then(|it| it.told.get(&listing.worker));
            let keeps_caller = self.caller_of.get(&listing.worker) == Some(caller);
            let keeps_address = told.is_none_or(|it| it.address == listing.address);
            // At another address the same process begins with nothing known.
            if keeps_caller && !keeps_address {
                lost.push(listing.worker.clone());
            }
            let contact = WorkerContact {
                worker: listing.worker.clone(),
                address: listing.address,
                confirmed: responsive_since.filter(|_| keeps_caller && keeps_address),
            };
            let of_caller = wanted.entry(caller.clone()).or_default();
            of_caller.insert(listing.worker.clone(), contact);
        }
        self.caller_of = assigned;
        for (caller, workers) in wanted {
            self.tell(&caller, workers, now);
        }
        lost
    }

    fn caller(&self, record: &ProcessRecord) -> Poller {
        let is_own = record.process == self.shared.process;
        Poller {
            process: record.process.clone(),
            name: record.name.clone(),
            domain: record.domain.clone(),
            region: record.region.clone(),
            weight: record.cpu_share * if is_own { LEADER_WEIGHT } else { 1.0 },
        }
    }

    fn tell(
        &mut self,
        caller: &ProcessId,
        workers: BTreeMap<WorkerId, WorkerContact>,
        now: Timestamp,
    ) {
        let Some(process) = self.processes.get_mut(caller) else { return };
        let is_known = process.told == workers;
        if is_known && now.ms_since(process.told_at) < REPEAT_MS {
            return;
        }
        let contacts = workers.values().cloned().collect();
        process.told = workers;
        process.told_at = now;
        let message = FleetMessage::Assign { term: self.term, workers: contacts };
        self.shared.send(caller, message);
    }
}
