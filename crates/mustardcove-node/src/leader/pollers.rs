//! The processes that poll workers, and the assignment of workers to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use mustardcove_adapter::store::Item;
use mustardcove_core::{
    fleet::{
        assignment::{Assignments, Poller, assign},
        confirmation::CoveredReports,
        handover::PollerId,
        id::{AssignmentNumber, BootMillis, Incarnation, Term},
        members::{MemberList, MemberState, Members},
        message::{FleetMessage, WorkerContact},
        planner::{Planner, WorkerListing},
        poller::LOST_AFTER_MS,
        predecessors::{Evidence, Predecessors},
        record::{PROCESS_PREFIX, ProcessRecord},
        standstill::Extensions,
        succession::Candidate,
        witnesses::Witnesses,
    },
    id::{FailureDomainId, ProcessId, WorkerId},
    time::Timestamp,
};
use slog::{info, warn};

use crate::{durable, shared::Shared};

/// Time until a process is lost after its last connection was lost, in
/// milliseconds; a process that still runs has connected again by then.
const RECONNECT_GRACE_MS: u64 = 250;
/// Time from the start of a term to the first assignment of workers, in
/// milliseconds, so that most processes have answered the first heartbeat.
const FIRST_ASSIGNMENT_DELAY_MS: u64 = 60;
/// Time after which an unchanged assignment is sent again, in milliseconds,
/// since its message may have been lost.
const ASSIGNMENT_RESEND_MS: u64 = 1_000;
/// Most processes that a heartbeat names as reaching the store.
const MAX_REACHING_STORE: usize = 8;
/// Fraction of the leader's processor share that is available for polling,
/// since the leader also plans.
const LEADER_WEIGHT_FACTOR: f64 = 0.4;

#[derive(Debug)]
struct Process {
    record: ProcessRecord,
    last_report_at: Option<Timestamp>,
    extensions: Extensions,
    reached_store_at: Option<Timestamp>,
    /// Whether it has reported since its last connection was lost. Before,
    /// messages to it may be dropped.
    is_connected: bool,
    /// Whether it was sent the states of all submissions in this term.
    is_synced: bool,
    /// The newest of its reports that was handled, by its own boot clock.
    handled: Option<BootMillis>,
    reports: CoveredReports,
    /// Everything that it had reported by this time was handled.
    heard_through: Option<Timestamp>,
    /// The workers of the last assignment sent to it.
    sent_assignment: BTreeMap<WorkerId, WorkerContact>,
    assignment_sent_at: Timestamp,
}

/// The registered processes, and which of them polls which worker.
pub(super) struct Pollers {
    shared: Arc<Shared>,
    term: Term,
    term_started_at: Timestamp,
    processes: BTreeMap<ProcessId, Process>,
    members: Members,
    /// Whether the list that earlier leaders stored was read. Before, nothing is
    /// known of those that obey them.
    are_members_read: bool,
    /// The process of each instance whose record the store held when it was read
    /// last; without one if the record cannot be read.
    registered: BTreeMap<String, Option<ProcessId>>,
    witnesses: Witnesses,
    predecessors: Predecessors,
    assignments: Assignments,
    /// What the last assignment was computed from.
    basis: AssignmentBasis,
    next_reaching_store: usize,
}

/// What an assignment is computed from: the processes that poll, and each
/// worker with its address, failure domain and confirmed responsiveness.
#[derive(Debug, Default, PartialEq)]
struct AssignmentBasis {
    /// In order.
    pollers: Vec<ProcessId>,
    workers: Vec<(WorkerId, SocketAddr, FailureDomainId, Option<Timestamp>)>,
}

impl AssignmentBasis {
    /// Returns whether an assignment computed now would be the same.
    fn is_current<'a>(
        &self,
        mut pollers: impl Iterator<Item = &'a ProcessId>,
        mut workers: impl Iterator<Item = (&'a WorkerListing, Option<Timestamp>)>,
    ) -> bool {
        let is_same = |known: &(WorkerId, SocketAddr, FailureDomainId, Option<Timestamp>)| {
            let Some((listing, since)) = workers.next() else { return false };
            known.0 == listing.worker
                && known.1 == listing.address
                && known.2 == listing.domain
                && known.3 == since
        };
        self.pollers.iter().all(|it| pollers.next() == Some(it))
            && pollers.next().is_none()
            && self.workers.iter().all(is_same)
            && workers.next().is_none()
    }
}

impl Pollers {
    pub(super) fn new(shared: Arc<Shared>, term: Term) -> Pollers {
        let term_started_at = shared.now();
        Pollers {
            shared,
            term,
            term_started_at,
            processes: BTreeMap::new(),
            members: Members::default(),
            are_members_read: false,
            registered: BTreeMap::new(),
            witnesses: Witnesses::default(),
            predecessors: Predecessors::new(term_started_at),
            assignments: Assignments::default(),
            basis: AssignmentBasis::default(),
            next_reaching_store: 0,
        }
    }

    /// Adds the processes that are registered in the store, and removes lost
    /// processes that are not.
    pub(super) fn update_registered(&mut self, items: &[Item], now: Timestamp) {
        let mut listed = BTreeSet::new();
        self.registered.clear();
        for item in items {
            let record: Option<ProcessRecord> = durable::decode(&self.shared, "process", item);
            let process = record.as_ref().map(|it| it.process.clone());
            if let Some(name) = item.key.strip_prefix(PROCESS_PREFIX) {
                self.registered.insert(name.to_owned(), process);
            }
            let Some(record) = record else { continue };
            listed.insert(record.process.clone());
            self.add(record);
        }
        // A restarted process has replaced its record by one with a new id.
        let gone: Vec<ProcessId> = self
            .processes
            .iter()
            .filter(|(id, it)| !listed.contains(*id) && !self.is_alive(it, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.processes.remove(&id);
            self.shared.peers.remove_peer(&id);
        }
    }

    /// Adds a process unless it was added before.
    pub(super) fn add(&mut self, record: ProcessRecord) {
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
            last_report_at: None,
            extensions: Extensions::default(),
            reached_store_at: None,
            is_connected: false,
            is_synced: false,
            handled: None,
            reports: CoveredReports::default(),
            heard_through: None,
            sent_assignment: BTreeMap::new(),
            assignment_sent_at: Timestamp::default(),
            record,
        };
        self.processes.insert(process.record.process.clone(), process);
    }

    /// Returns whether a process has reported recently.
    fn is_alive(&self, process: &Process, now: Timestamp) -> bool {
        process.last_report_at.is_some_and(|it| now.ms_since(it) < LOST_AFTER_MS)
    }

    /// Returns the number of registered processes.
    pub(super) fn count(&self) -> usize {
        self.processes.len()
    }

    /// Returns the registered processes.
    pub(super) fn ids(&self) -> impl Iterator<Item = &ProcessId> {
        self.processes.keys()
    }

    /// Returns the newest heartbeat that each member is known to have received, for
    /// each list of members. Before there is one, all registered processes count.
    pub(super) fn heard(&self) -> Vec<Vec<Option<Timestamp>>> {
        if !self.members.is_stored() {
            return vec![self.processes.values().map(|it| it.heard_through).collect()];
        }
        let heard = |it: &ProcessId| self.processes.get(it).and_then(|it| it.heard_through);
        self.members.lists().map(|list| list.0.keys().map(heard).collect()).collect()
    }

    /// Records that the list that earlier leaders stored was read, if there is one.
    pub(super) fn members_read(&mut self) {
        self.are_members_read = true;
    }

    /// Records the members that the store holds.
    pub(super) fn members_stored(&mut self, list: MemberList, revision: u64) {
        self.members.stored(list, revision);
    }

    /// Returns what is known of a member.
    fn member_state(&self, process: &ProcessId, name: &str, now: Timestamp) -> MemberState {
        let known = self.processes.get(process);
        let reported_at = known.and_then(|it| it.last_report_at);
        // An instance has one process at a time, which registers when it starts and
        // removes its record when it stops.
        let is_replaced =
            self.registered.get(name).is_none_or(|it| it.as_ref().is_some_and(|it| it != process));
        let has_successor = || {
            let mut others = self.processes.values().filter(|it| it.record.name == name);
            others.any(|it| it.record.process != *process && it.last_report_at.is_some())
        };
        if is_replaced || has_successor() {
            MemberState::Ended
        } else {
            MemberState::reported(reported_at, self.term_started_at, now)
        }
    }

    /// Returns the list of members to write and the revision of the record that it
    /// replaces; `None` if it must not change yet, or need not.
    pub(super) fn next_members(&mut self, now: Timestamp) -> Option<(MemberList, u64)> {
        if !self.predecessors(now).are_powerless() {
            return None;
        }
        let is_registered = |it: &&Process| {
            let id = &it.record.process;
            self.registered.get(&it.record.name).is_some_and(|it| it.as_ref() == Some(id))
        };
        let alive = self.processes.values().filter(|it| self.is_alive(it, now));
        let reporting =
            alive.filter(is_registered).map(|it| (&it.record.process, it.record.name.as_str()));
        let state = |process: &ProcessId, name: &str| self.member_state(process, name, now);
        let list = self.members.next_list(reporting, state)?;
        let revision = self.members.propose(list.clone());
        Some((list, revision))
    }

    /// Updates what is known of earlier leaders, and returns it.
    pub(super) fn predecessors(&mut self, now: Timestamp) -> Predecessors {
        if !self.are_members_read || self.predecessors.are_powerless() {
            return self.predecessors;
        }
        let state = |process: &ProcessId, name: &str| self.member_state(process, name, now);
        let evidence = Evidence {
            has_any_member_left: self.members.has_any_left(&self.shared.process, state),
            has_half_of_members_left: self.is_joined_by_half(now),
            has_half_of_workers_left: self.witnesses.have_left_earlier(),
        };
        self.predecessors.update(evidence, now);
        self.predecessors
    }

    /// Takes over the workers that earlier leaders recorded; `None` if that is not
    /// known of all.
    pub(super) fn restore_witnesses(&mut self, recorded: Option<BTreeSet<WorkerId>>) {
        self.witnesses.restore(recorded);
    }

    /// Records an answer of a worker to a poll of this term.
    pub(super) fn record_witness(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        asked_after: Option<Timestamp>,
        now: Timestamp,
    ) {
        self.witnesses.answered(worker, incarnation, asked_after, now);
    }

    /// Returns what the workers have answered.
    pub(super) fn witnesses(&self) -> &Witnesses {
        &self.witnesses
    }

    /// Returns the newest report of a process that was handled.
    pub(super) fn handled(&self, process: &ProcessId) -> Option<BootMillis> {
        self.processes.get(process).and_then(|it| it.handled)
    }

    /// Returns the newest report of a process that was handled before the
    /// leader was last confirmed. A process that was lost is permitted nothing
    /// until workers are assigned to it again: it may still poll others.
    pub(super) fn covered(&self, process: &ProcessId) -> Option<BootMillis> {
        let is_assigned = self.basis.pollers.binary_search(process).is_ok();
        self.processes
            .get(process)
            .filter(|_| is_assigned && self.predecessors.may_order())?
            .reports
            .covered()
    }

    /// Records from when on the leader's permission counts.
    pub(super) fn confirm(&mut self, permitted_from: Timestamp) {
        self.processes.values_mut().for_each(|it| it.reports.confirm(permitted_from));
    }

    /// Returns whether half of the processes that report have a permission. A new
    /// leader would otherwise order starts that none of them sends.
    pub(super) fn are_permitted(&self, now: Timestamp) -> bool {
        let alive = || self.processes.values().filter(|it| self.is_alive(it, now));
        alive().count() <= 2 * alive().filter(|it| it.reports.covered().is_some()).count()
    }

    /// Returns whether so many members have joined this term, or have ended, that no
    /// earlier leader is obeyed by most of them.
    fn is_joined_by_half(&self, now: Timestamp) -> bool {
        if !self.members.is_stored() {
            let joined = self.processes.values().filter(|it| it.last_report_at.is_some()).count();
            return self.processes.len() <= 2 * joined;
        }
        self.members.is_joined_by_half(|process, name| self.member_state(process, name, now))
    }

    /// Records that a report of a process was handled. Returns the workers of
    /// the process if more of what it reported is known to be handled now.
    pub(super) fn report_handled(
        &mut self,
        process: &ProcessId,
        sent_at: BootMillis,
        heartbeat_at: Option<Timestamp>,
        now: Timestamp,
    ) -> Vec<WorkerId> {
        let Some(it) = self.processes.get_mut(process) else { return Vec::new() };
        it.handled = it.handled.max(Some(sent_at));
        it.reports.handled(sent_at, now);
        if heartbeat_at <= it.heard_through {
            return Vec::new();
        }
        it.heard_through = heartbeat_at;
        it.sent_assignment.keys().cloned().collect()
    }

    /// Records a report of a process, and whether that reaches the store.
    pub(super) fn report_received(
        &mut self,
        process: &ProcessId,
        reaches_store: bool,
        now: Timestamp,
    ) {
        let Some(it) = self.processes.get_mut(process) else { return };
        if it.last_report_at.is_none() {
            info!(self.shared.log, "process joined"; "joined" => %process, "term" => %self.term);
        }
        it.last_report_at = Some(now);
        it.extensions.reset();
        it.is_connected = true;
        if reaches_store {
            it.reached_store_at = Some(now);
        }
    }

    /// Handles that this process stood still until now. What the others sent meanwhile
    /// was not handled, so that time does not count as their silence.
    pub(super) fn stood_still(&mut self, ms: u64, now: Timestamp) {
        let earlier = now.minus_ms(ms);
        for it in self.processes.values_mut() {
            let Some(last_report_at) = it.last_report_at else { continue };
            let was_alive = earlier.ms_since(last_report_at) < LOST_AFTER_MS;
            if was_alive && it.extensions.take() {
                it.last_report_at = Some(last_report_at.plus_ms(ms).min(now));
            }
        }
    }

    /// Records that the last connection to a process was lost. The process is
    /// lost unless it reports within [`RECONNECT_GRACE_MS`].
    pub(super) fn connection_lost(&mut self, process: &ProcessId, now: Timestamp) {
        let Some(it) = self.processes.get_mut(process) else { return };
        it.is_connected = false;
        it.is_synced = false;
        it.assignment_sent_at = Timestamp::default();
        let latest = now.minus_ms(LOST_AFTER_MS - RECONNECT_GRACE_MS);
        it.last_report_at = it.last_report_at.map(|it| it.min(latest));
    }

    fn reaches_store(&self, process: &Process, now: Timestamp) -> bool {
        let reached_at = process.reached_store_at;
        self.is_alive(process, now) && reached_at.is_some_and(|it| now.ms_since(it) < LOST_AFTER_MS)
    }

    /// Returns whether any process reached the store recently.
    pub(super) fn is_store_reached(&self, now: Timestamp) -> bool {
        self.processes.values().any(|it| self.reaches_store(it, now))
    }

    /// Returns some of the processes that reached the store recently. Others
    /// ask them to write, so each call returns different ones if there are
    /// many.
    pub(super) fn reaching_store(&mut self, now: Timestamp) -> Vec<ProcessId> {
        let reaches = |it: &&Process| self.reaches_store(it, now);
        let mut reaching: Vec<ProcessId> =
            self.processes.values().filter(reaches).map(|it| it.record.process.clone()).collect();
        if MAX_REACHING_STORE < reaching.len() {
            self.next_reaching_store = (self.next_reaching_store + 1) % reaching.len();
            reaching.rotate_left(self.next_reaching_store);
            reaching.truncate(MAX_REACHING_STORE);
        }
        reaching
    }

    /// Returns the other processes that reached the store recently and may lead.
    pub(super) fn candidates(&self, now: Timestamp) -> Vec<Candidate> {
        let is_other = |it: &&Process| it.record.process != self.shared.process;
        let reaching = self.processes.values().filter(|it| self.reaches_store(it, now));
        let candidate = |it: &Process| Candidate {
            process: it.record.process.clone(),
            is_same_region: it.record.region == self.shared.settings.region,
            cpu_share: it.record.cpu_share,
        };
        reaching.filter(is_other).map(candidate).collect()
    }

    /// Returns up to `most` connected processes that were not sent all states
    /// yet, and marks them as sent.
    pub(super) fn take_unsynced(&mut self, most: usize) -> Vec<ProcessId> {
        let unsynced = |it: &&mut Process| it.is_connected && !it.is_synced;
        let taken = self.processes.values_mut().filter(unsynced).take(most);
        let mark = |it: &mut Process| {
            it.is_synced = true;
            it.record.process.clone()
        };
        taken.map(mark).collect()
    }

    pub(super) fn poller_of(&self, worker: &WorkerId) -> Option<&ProcessId> {
        self.assignments.poller_of(worker)
    }

    /// Returns how the poller of a worker names itself.
    pub(super) fn poller_id(&self, worker: &WorkerId) -> Option<PollerId> {
        let process = self.assignments.poller_of(worker)?.clone();
        let assignment = self.assignments.number_of(worker)?;
        Some(PollerId { term: self.term, process, assignment })
    }

    /// Returns whether a process reports on a worker under its current
    /// assignment.
    pub(super) fn is_current(
        &self,
        process: &ProcessId,
        worker: &WorkerId,
        assignment: AssignmentNumber,
    ) -> bool {
        self.assignments.is_current(process, worker, assignment)
    }

    /// Sends a message to every registered process.
    pub(super) fn broadcast(&self, message: FleetMessage) {
        self.shared.send_to_all(self.processes.keys(), message);
    }

    /// Updates the assignment of workers. Returns the workers that have lost
    /// their poller or have a new address, each with the poller before.
    pub(super) fn update(
        &mut self,
        planner: &Planner,
        now: Timestamp,
    ) -> BTreeMap<WorkerId, PollerId> {
        if now < self.term_started_at.plus_ms(FIRST_ASSIGNMENT_DELAY_MS) {
            return BTreeMap::new();
        }
        let alive = self.processes.iter().filter(|it| self.is_alive(it.1, now)).map(|it| it.0);
        if self.basis.is_current(alive, planner.workers_to_poll()) {
            self.resend_assignments(now);
            return BTreeMap::new();
        }
        let pollers: Vec<Poller> = self
            .processes
            .values()
            .filter(|it| self.is_alive(it, now))
            .map(|it| self.to_poller(&it.record))
            .collect();
        let to_poll: Vec<_> = planner.workers_to_poll().collect();
        self.basis = AssignmentBasis {
            pollers: pollers.iter().map(|it| it.process.clone()).collect(),
            workers: (to_poll.iter())
                .map(|(it, since)| (it.worker.clone(), it.address, it.domain.clone(), *since))
                .collect(),
        };
        let workers = to_poll.iter().map(|(it, _)| (&it.worker, &it.domain));
        let assigned = assign(&pollers, &self.shared.settings.regions, workers);
        let polled = to_poll.iter().filter_map(|(it, _)| {
            let poller = assigned.get(&it.worker)?;
            Some((it.worker.clone(), poller.clone(), it.address))
        });
        let lost = self.assignments.update(polled);
        let mut assignments: BTreeMap<ProcessId, BTreeMap<WorkerId, WorkerContact>> =
            pollers.iter().map(|it| (it.process.clone(), BTreeMap::new())).collect();
        for (listing, responsive_since) in to_poll {
            let Some(poller) = assigned.get(&listing.worker) else { continue };
            let Some(assignment) = self.assignments.number_of(&listing.worker) else { continue };
            let contact = WorkerContact {
                worker: listing.worker.clone(),
                address: listing.address,
                domain: listing.domain.clone(),
                assignment,
                confirmed_since: responsive_since.filter(|_| !lost.contains_key(&listing.worker)),
            };
            let contacts = assignments.entry(poller.clone()).or_default();
            contacts.insert(listing.worker.clone(), contact);
        }
        for (poller, workers) in assignments {
            self.send_assignment(&poller, workers, now);
        }
        let term = self.term;
        let poller = |(process, assignment)| PollerId { term, process, assignment };
        lost.into_iter().map(|(worker, it)| (worker, poller(it))).collect()
    }

    /// Sends the assignments again that were sent too long ago.
    fn resend_assignments(&mut self, now: Timestamp) {
        let is_due = |it: &Process| ASSIGNMENT_RESEND_MS <= now.ms_since(it.assignment_sent_at);
        let alive = self.processes.values().filter(|it| self.is_alive(it, now));
        let due: Vec<(ProcessId, BTreeMap<WorkerId, WorkerContact>)> = alive
            .filter(|it| is_due(it))
            .map(|it| (it.record.process.clone(), it.sent_assignment.clone()))
            .collect();
        for (poller, workers) in due {
            self.send_assignment(&poller, workers, now);
        }
    }

    fn to_poller(&self, record: &ProcessRecord) -> Poller {
        let is_own = record.process == self.shared.process;
        Poller {
            process: record.process.clone(),
            name: record.name.clone(),
            domain: record.domain.clone(),
            region: record.region.clone(),
            weight: record.cpu_share * if is_own { LEADER_WEIGHT_FACTOR } else { 1.0 },
        }
    }

    /// Sends a process its workers, unless the same list was sent recently.
    fn send_assignment(
        &mut self,
        poller: &ProcessId,
        workers: BTreeMap<WorkerId, WorkerContact>,
        now: Timestamp,
    ) {
        let Some(process) = self.processes.get_mut(poller) else { return };
        let is_unchanged = process.sent_assignment == workers;
        if is_unchanged && now.ms_since(process.assignment_sent_at) < ASSIGNMENT_RESEND_MS {
            return;
        }
        let contacts = workers.values().cloned().collect();
        process.sent_assignment = workers;
        process.assignment_sent_at = now;
        let message = FleetMessage::Assign { term: self.term, workers: contacts };
        self.shared.send(poller, message);
    }
}
