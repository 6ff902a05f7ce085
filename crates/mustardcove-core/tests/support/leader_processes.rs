//! The processes of the simulated system, and what a leader knows of them.
//!
//! As in the node, a leader asks the store whether its term still leads, sends
//! heartbeats to the processes that it reaches, and lets each worker be polled
//! by one process that reports. A process obeys the newest term that it has
//! heard of. A cut parts processes, workers and the store into two sides, and
//! nothing passes between them.

use std::collections::VecDeque;

use mustardcove_core::{
    fleet::{
        confirmation::{Confirmation, CoveredReports},
        evacuation::EvacuationList,
        handover::PollerId,
        id::{AssignmentNumber, BootMillis, SubmissionId, Term},
        members::{MemberList, MemberState, Members},
        planner::WorkerListing,
        poller::{LOST_AFTER_MS, LeasePermission},
        predecessors::{Evidence, Predecessors},
        witnesses::Witnesses,
    },
    id::ProcessId,
    time::Timestamp,
};

/// Time between two questions to the store, in milliseconds.
pub(crate) const CONFIRM_INTERVAL_MS: u64 = 250;

/// The side of a cut on which something is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Main,
    Parted,
    /// Calls from both sides reach it.
    Both,
}

impl Side {
    /// Returns whether calls pass between two sides.
    pub(crate) fn reaches(self, other: Side) -> bool {
        self == other || self == Side::Both || other == Side::Both
    }
}

/// A process that polls workers for the leader of the newest term that it knows.
#[derive(Clone, Debug)]
pub(crate) struct SimProcess {
    pub(crate) side: Side,
    /// The newest term of which it has received a heartbeat.
    pub(crate) term: Term,
    /// The permission in the newest heartbeat of that term.
    pub(crate) covered: Option<BootMillis>,
    /// When that heartbeat was sent.
    pub(crate) heartbeat_at: Option<Timestamp>,
    pub(crate) next_report_at: Timestamp,
    /// Whether the store turns it away.
    pub(crate) is_turned_away: bool,
    /// Whether it was killed.
    pub(crate) has_ended: bool,
    /// The evacuated domains that it knows.
    pub(crate) evacuations: EvacuationList,
}

impl SimProcess {
    pub(crate) fn new(now: Timestamp) -> SimProcess {
        SimProcess {
            side: Side::Main,
            term: Term(0),
            covered: None,
            heartbeat_at: None,
            next_report_at: now,
            is_turned_away: false,
            has_ended: false,
            evacuations: EvacuationList::default(),
        }
    }

    /// Handles a heartbeat of a leader.
    pub(crate) fn heartbeat(
        &mut self,
        term: Term,
        sent_at: Timestamp,
        covered: Option<BootMillis>,
    ) {
        if term < self.term {
            return;
        }
        self.term = term;
        self.covered = covered;
        self.heartbeat_at = Some(sent_at);
    }

    /// Returns what it may do for the leader of a term.
    pub(crate) fn permission(&self, term: Term) -> LeasePermission {
        LeasePermission::new(self.covered.filter(|_| term == self.term))
    }
}

/// The record of the members in the store, with its revision.
pub(crate) type MembersRecord = Option<(MemberList, u64)>;

/// Returns the name of a process in the list of members.
fn member(process: usize) -> (ProcessId, String) {
    let name = format!("p{process}");
    (format!("{name}.1").parse().expect("a valid name"), name)
}

fn process_of(member: &ProcessId) -> usize {
    let number = member.as_str().trim_start_matches('p').split('.').next();
    number.and_then(|it| it.parse().ok()).expect("a process of the world")
}

/// Returns the list of the first `count` processes.
pub(crate) fn first_members(count: usize) -> MemberList {
    MemberList((0..count).map(member).collect())
}

/// What a leader knows of a process.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownProcess {
    pub(crate) last_report_at: Option<Timestamp>,
    pub(crate) heard_through: Option<Timestamp>,
    pub(crate) handled: Option<BootMillis>,
    pub(crate) reports: CoveredReports,
}

/// What a leader knows about the processes and about still leading.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// The process in which it runs.
    pub(crate) process: usize,
    pub(crate) confirmation: Confirmation,
    began_at: Timestamp,
    pub(crate) members: Members,
    predecessors: Predecessors,
    /// What the workers have answered.
    pub(crate) witnesses: Witnesses,
    /// When it may change the list of members next.
    pub(crate) change_members_at: Timestamp,
    pub(crate) known: Vec<KnownProcess>,
    /// The process that polls each worker.
    pub(crate) poller_of: Vec<Option<usize>>,
    /// The number of each worker's assignment.
    pub(crate) assignments: Vec<AssignmentNumber>,
    /// Acknowledged heartbeats that it has not handled: when the process sent
    /// the report, the process, and when the heartbeat was sent.
    pub(crate) unhandled: VecDeque<(Timestamp, usize, Option<Timestamp>)>,
    /// The question to the store that is under way: when the answer arrives,
    /// when it was asked, and the term that the store named.
    pub(crate) question: Option<(Timestamp, Timestamp, Term)>,
    pub(crate) next_question_at: Timestamp,
    pub(crate) next_heartbeat_at: Timestamp,
    /// The last list of service discovery that it has read.
    pub(crate) listed: Vec<WorkerListing>,
    /// Submissions that it could not read yet.
    pub(crate) lookups: Vec<SubmissionId>,
}

impl Leadership {
    pub(crate) fn new(
        process: usize,
        processes: usize,
        workers: usize,
        now: Timestamp,
    ) -> Leadership {
        Leadership {
            process,
            confirmation: Confirmation::new(now, BootMillis(now.0)),
            began_at: now,
            members: Members::default(),
            predecessors: Predecessors::new(now),
            witnesses: Witnesses::default(),
            change_members_at: now,
            known: vec![KnownProcess::default(); processes],
            poller_of: vec![None; workers],
            assignments: vec![AssignmentNumber::default(); workers],
            unhandled: VecDeque::new(),
            question: None,
            next_question_at: now,
            next_heartbeat_at: now,
            listed: Vec::new(),
            lookups: Vec::new(),
        }
    }

    /// Records that the store lists a number of processes.
    pub(crate) fn processes_listed(&mut self, count: usize) {
        if self.known.len() < count {
            self.known.resize(count, KnownProcess::default());
        }
    }

    pub(crate) fn is_alive(&self, process: usize, now: Timestamp) -> bool {
        let reported_at = self.known[process].last_report_at;
        reported_at.is_some_and(|it| now.ms_since(it) < LOST_AFTER_MS)
    }

    /// Records that a report of a process was handled.
    pub(crate) fn report_handled(&mut self, process: usize, sent_at: Timestamp, now: Timestamp) {
        let it = &mut self.known[process];
        it.last_report_at = Some(now);
        it.handled = it.handled.max(Some(BootMillis(sent_at.0)));
        it.reports.handled(BootMillis(sent_at.0), now);
    }

    /// Returns whether half of the processes that report have a permission.
    pub(crate) fn are_permitted(&self, now: Timestamp) -> bool {
        let alive = || (0..self.known.len()).filter(|it| self.is_alive(*it, now));
        let is_permitted = |it: &usize| self.known[*it].reports.covered().is_some();
        alive().count() <= 2 * alive().filter(is_permitted).count()
    }

    fn member_state(&self, process: &ProcessId, now: Timestamp) -> MemberState {
        let known = self.known.get(process_of(process));
        let reported_at = known.and_then(|it| it.last_report_at);
        MemberState::reported(reported_at, self.began_at, now)
    }

    /// Returns when the newest heartbeat was sent that each member has
    /// acknowledged, for each list.
    pub(crate) fn heard(&self) -> Vec<Vec<Option<Timestamp>>> {
        let heard = |it: &ProcessId| self.known.get(process_of(it)).and_then(|it| it.heard_through);
        self.members.lists().map(|list| list.0.keys().map(heard).collect()).collect()
    }

    /// Updates what is known of earlier leaders, and returns it.
    pub(crate) fn predecessors(&mut self, now: Timestamp) -> Predecessors {
        let own = member(self.process).0;
        let state = |it: &ProcessId, _: &str| self.member_state(it, now);
        let evidence = Evidence {
            has_any_member_left: self.members.has_any_left(&own, state),
            has_half_of_members_left: self.members.is_joined_by_half(state),
            has_half_of_workers_left: self.witnesses.have_left_earlier(),
        };
        self.predecessors.update(evidence, now);
        self.predecessors
    }

    /// Returns the poller of a worker in a term.
    pub(crate) fn poller_id(&self, term: Term, worker: usize) -> Option<PollerId> {
        let process = member(self.poller_of[worker]?).0;
        Some(PollerId { term, process, assignment: self.assignments[worker] })
    }

    /// Returns the change of the members that it writes, if there is one.
    pub(crate) fn next_members(&mut self, now: Timestamp) -> Option<(MemberList, u64)> {
        if !self.predecessors(now).are_powerless() {
            return None;
        }
        let alive = (0..self.known.len()).filter(|it| self.is_alive(*it, now));
        let reporting: Vec<_> = alive.map(member).collect();
        let reporting = reporting.iter().map(|it| (&it.0, it.1.as_str()));
        let list = self.members.next_list(reporting, |it, _| self.member_state(it, now))?;
        let revision = self.members.propose(list.clone());
        Some((list, revision))
    }
}
