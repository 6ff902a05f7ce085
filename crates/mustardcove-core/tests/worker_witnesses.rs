//! The workers as witnesses of which leader is obeyed.
//!
//! Guards against two leaders that are both permitted to grant or conclude
//! something, whatever is lost for good, restarts, is cut off or changes in the
//! records of members and workers.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use std::collections::{BTreeMap, BTreeSet};

use fleet_world::listing;
use mustardcove_core::{
    fleet::{
        confirmation::Confirmation,
        id::{BootMillis, Incarnation},
        members::{MemberList, MemberState, Members},
        poller::MAX_ORPHAN_LEASE_MS,
        predecessors::{EARLIER_TERMS_MS, Evidence, Predecessors},
        roster::{Roster, RosterSegment, RosterWrite},
        witnesses::Witnesses,
    },
    id::{ProcessId, WorkerId},
    time::Timestamp,
};
use proptest::prelude::*;

const BEGIN: Timestamp = Timestamp(1_000_000);

fn process(number: usize) -> ProcessId {
    format!("p{number}.1").parse().expect("a valid name")
}

fn worker(number: usize) -> WorkerId {
    format!("w{number}").parse().expect("a valid name")
}

fn segment(workers: impl IntoIterator<Item = usize>) -> RosterSegment {
    let entry = |it| listing(&format!("w{it}"), 4_000, Incarnation(1));
    RosterSegment { workers: workers.into_iter().map(entry).collect() }
}

fn roster(workers: impl IntoIterator<Item = usize>) -> Roster {
    let mut roster = Roster::default();
    roster.restore(0, segment(workers), 1);
    roster
}

fn witnesses(workers: impl IntoIterator<Item = usize>) -> Witnesses {
    let mut witnesses = Witnesses::default();
    witnesses.restore(Some(workers.into_iter().map(worker).collect()));
    witnesses
}

/// Guards against a quorum that does not overlap with half of the workers.
#[test]
fn most_answer() {
    let roster = roster(0..4);
    let mut it = witnesses(0..4);
    for (number, ms) in [(0, 300), (1, 100), (2, 200)] {
        assert_eq!(it.heard_through(&roster, BEGIN), None, "{number} of 4 have answered");
        let asked_after = Some(BEGIN.plus_ms(ms));
        it.answered(&worker(number), Incarnation(1), asked_after, BEGIN);
        assert_eq!(it.have_left_earlier(), 1 <= number);
    }
    assert_eq!(it.heard_through(&roster, BEGIN), Some(BEGIN.plus_ms(100)), "as old as the oldest");
}

/// Guards against a worker that has forgotten a successor's term in a restart and
/// counts for the earlier leader again.
#[test]
fn restarted_witness() {
    let (roster, later) = (roster([0]), BEGIN.plus_ms(500));
    let mut it = witnesses([0]);
    it.answered(&worker(0), Incarnation(1), Some(BEGIN), BEGIN);
    assert_eq!(it.heard_through(&roster, BEGIN), Some(BEGIN));
    it.answered(&worker(0), Incarnation(2), Some(later), later);
    assert_eq!(it.heard_through(&roster, BEGIN), None, "a successor may have claimed");
    assert_eq!(it.heard_through(&roster, later), Some(later), "the store has named this term");
}

/// Guards against a majority of a record that a write without an answer has
/// replaced, or has not.
#[test]
fn open_write() {
    let mut roster = roster(0..2);
    let mut it = witnesses(0..2);
    for number in 0..4 {
        it.answered(&worker(number), Incarnation(1), Some(BEGIN), BEGIN);
    }
    roster.update(segment(0..4).workers);
    let writes = roster.changes();
    assert_eq!((roster.certain().count(), roster.possible_count()), (2, 2), "not sent yet");
    roster.sent(&writes);
    assert_eq!((roster.certain().count(), roster.possible_count()), (2, 4));
    assert_eq!(it.heard_through(&roster, BEGIN), None);
    roster.stored(writes[0].clone(), 2);
    assert_eq!((roster.certain().count(), roster.possible_count()), (4, 4));
    assert_eq!(it.heard_through(&roster, BEGIN), Some(BEGIN));
}

/// Guards against a proof from a record of which a part cannot be read.
#[test]
fn unknown_record() {
    let mut it = Witnesses::default();
    it.answered(&worker(0), Incarnation(1), Some(BEGIN), BEGIN);
    assert!(!it.have_left_earlier(), "not read yet");
    it.restore(None);
    assert!(!it.have_left_earlier());
    it.restore(Some([worker(0), worker(1)].into()));
    assert!(it.have_left_earlier(), "one had answered before the record was read");
}

/// Guards against leases of an earlier leader that count as expired while all
/// members still obeyed it.
#[test]
fn late_proof() {
    let mut it = Predecessors::new(BEGIN);
    assert_eq!(it.leases_expire_by(), BEGIN.plus_ms(EARLIER_TERMS_MS));
    let late = BEGIN.plus_ms(2 * EARLIER_TERMS_MS);
    it.update(Evidence::default(), late);
    assert!(!it.may_order() && !it.are_powerless(), "all members may obey another");
    it.update(Evidence { has_any_member_left: true, ..Evidence::default() }, late);
    assert!(it.may_order() && it.are_powerless());
    assert_eq!(it.leases_expire_by(), late.plus_ms(MAX_ORPHAN_LEASE_MS));
    let mut it = Predecessors::new(BEGIN);
    let now = BEGIN.plus_ms(300);
    it.update(Evidence { has_half_of_workers_left: true, ..Evidence::default() }, now);
    assert!(it.may_order() && it.are_powerless());
    it.update(Evidence::default(), now.plus_ms(1));
    assert_eq!(it.leases_expire_by(), now.plus_ms(MAX_ORPHAN_LEASE_MS), "that stays so");
}

/// Number of processes, and of workers.
const COUNT: usize = 5;

/// One step of a schedule. A machine that is lost for good, or cut off, is one
/// that no further step names.
#[derive(Clone, Debug)]
enum Step {
    Claim(usize),
    /// A process acknowledges a heartbeat of the newest leader, or of the one that
    /// it obeys.
    Acknowledge {
        process: usize,
        of_newest: bool,
    },
    /// A leader, counted from the newest, asks a worker, by a poller that has
    /// received its newest heartbeat or an earlier one.
    Poll {
        leader: usize,
        worker: usize,
        heartbeat_age: u64,
    },
    Restart(usize),
    /// The store names the newest leader.
    Confirm,
    ChangeMembers {
        reporting: BTreeSet<usize>,
        is_answered: bool,
    },
    ChangeWorkers {
        listed: BTreeSet<usize>,
        is_answered: bool,
    },
    /// The last write that was not answered takes effect.
    LateWrite,
}

fn step() -> impl Strategy<Value = Step> {
    let some = || prop::collection::btree_set(0..COUNT, 1..COUNT);
    prop_oneof![
        1 => (0..COUNT).prop_map(Step::Claim),
        12 => (0..COUNT, any::<bool>())
            .prop_map(|(process, of_newest)| Step::Acknowledge { process, of_newest }),
        16 => (0..3usize, 0..COUNT, 0..3u64).prop_map(|(leader, worker, heartbeat_age)| {
            Step::Poll { leader, worker, heartbeat_age }
        }),
        1 => (0..COUNT).prop_map(Step::Restart),
        3 => Just(Step::Confirm),
        2 => (some(), any::<bool>())
            .prop_map(|(reporting, is_answered)| Step::ChangeMembers { reporting, is_answered }),
        2 => (some(), any::<bool>())
            .prop_map(|(listed, is_answered)| Step::ChangeWorkers { listed, is_answered }),
        1 => Just(Step::LateWrite),
    ]
}

struct Leader {
    own: usize,
    members: Members,
    roster: Roster,
    witnesses: Witnesses,
    predecessors: Predecessors,
    confirmation: Confirmation,
    /// When the newest heartbeat was sent that each process has acknowledged.
    heard: BTreeMap<usize, Timestamp>,
    store_through: Timestamp,
    may_order_at: Option<Timestamp>,
    powerless_at: Option<Timestamp>,
}

impl Leader {
    fn update(&mut self, now: Timestamp) {
        let heard = |id: &ProcessId| {
            let acknowledged = self.heard.iter().find(|it| process(*it.0) == *id);
            acknowledged.map(|it| *it.1)
        };
        let state = |id: &ProcessId, _: &str| match heard(id) {
            Some(_) => MemberState::Joined,
            None => MemberState::Silent { has_joined: false },
        };
        let evidence = Evidence {
            has_any_member_left: self.members.has_any_left(&process(self.own), state),
            has_half_of_members_left: self.members.is_joined_by_half(state),
            has_half_of_workers_left: self.witnesses.have_left_earlier(),
        };
        self.predecessors.update(evidence, now);
        if self.predecessors.may_order() {
            self.may_order_at.get_or_insert(now);
        }
        if self.predecessors.are_powerless() {
            self.powerless_at.get_or_insert(now);
        }
        let lists: Vec<Vec<_>> =
            self.members.lists().map(|it| it.0.keys().map(heard).collect()).collect();
        let workers = self.witnesses.heard_through(&self.roster, self.store_through);
        self.confirmation.heard(lists, workers, BootMillis(now.0));
    }
}

/// The records in the store, the workers, and the leaders so far.
struct World {
    now: Timestamp,
    members: (MemberList, u64),
    workers: (RosterSegment, u64),
    /// A write of the workers that the store has not carried out yet.
    late: Option<(usize, RosterWrite)>,
    /// The incarnation of each worker and the newest leader that this has seen.
    seen: [(u64, usize); COUNT],
    /// The leader that each process obeys.
    obeyed: [usize; COUNT],
    leaders: Vec<Leader>,
}

impl World {
    fn new() -> World {
        let list = (0..3).map(|it| (process(it), format!("p{it}"))).collect();
        let mut world = World {
            now: BEGIN,
            members: (MemberList(list), 5),
            workers: (segment(0..3), 5),
            late: None,
            seen: [(1, 0); COUNT],
            obeyed: [0; COUNT],
            leaders: Vec::new(),
        };
        world.claim(0);
        for worker in 0..COUNT {
            world.play(Step::Poll { leader: 0, worker, heartbeat_age: 0 });
        }
        world.play(Step::Confirm);
        world
    }

    fn claim(&mut self, own: usize) {
        let mut members = Members::default();
        members.stored(self.members.0.clone(), self.members.1);
        let mut roster = Roster::default();
        roster.restore(0, self.workers.0.clone(), self.workers.1);
        let mut witnesses = Witnesses::default();
        witnesses.restore(Some(roster.worker_ids().cloned().collect()));
        self.obeyed[own] = self.leaders.len();
        self.leaders.push(Leader {
            own,
            members,
            roster,
            witnesses,
            predecessors: Predecessors::new(self.now),
            confirmation: Confirmation::new(self.now, BootMillis(self.now.0)),
            heard: BTreeMap::from([(own, self.now)]),
            store_through: self.now,
            may_order_at: None,
            powerless_at: None,
        });
    }

    fn play(&mut self, step: Step) {
        self.now = self.now.plus_ms(1);
        let (now, newest) = (self.now, self.leaders.len() - 1);
        match step {
            Step::Claim(own) => self.claim(own),
            Step::Acknowledge { process, of_newest } => {
                if of_newest {
                    self.obeyed[process] = newest;
                }
                self.leaders[self.obeyed[process]].heard.insert(process, now);
            }
            Step::Poll { leader, worker: number, heartbeat_age } => {
                let leader = newest.saturating_sub(leader);
                let (incarnation, seen) = self.seen[number];
                if leader < seen {
                    return;
                }
                self.seen[number].1 = leader;
                let asked_after = Some(now.minus_ms(heartbeat_age));
                let incarnation = Incarnation(incarnation);
                let it = &mut self.leaders[leader].witnesses;
                it.answered(&worker(number), incarnation, asked_after, now);
            }
            Step::Restart(number) => self.seen[number] = (self.seen[number].0 + 1, 0),
            Step::Confirm => {
                let it = &mut self.leaders[newest];
                it.store_through = now;
                it.confirmation.store_answered(now, BootMillis(now.0));
            }
            Step::ChangeMembers { reporting, is_answered } => {
                self.change_members(&reporting, is_answered);
            }
            Step::ChangeWorkers { listed, is_answered } => {
                self.change_workers(&listed, is_answered);
            }
            Step::LateWrite => {
                if let Some((leader, write)) = self.late.take()
                    && leader == newest
                    && write.revision == self.workers.1
                {
                    self.workers = (write.value, write.revision + 1);
                }
            }
        }
    }

    fn change_members(&mut self, reporting: &BTreeSet<usize>, is_answered: bool) {
        let Some(it) = self.leaders.last_mut().filter(|it| it.powerless_at.is_some()) else {
            return;
        };
        let reporting: Vec<_> =
            reporting.iter().map(|it| (process(*it), format!("p{it}"))).collect();
        let reporting = reporting.iter().map(|it| (&it.0, it.1.as_str()));
        let silent = |_: &ProcessId, _: &str| MemberState::Silent { has_joined: false };
        let Some(list) = it.members.next_list(reporting, silent) else { return };
        let expected = it.members.propose(list.clone());
        if expected == self.members.1 {
            self.members = (list, expected + 1);
        }
        if is_answered {
            it.members.stored(self.members.0.clone(), self.members.1);
        }
    }

    fn change_workers(&mut self, listed: &BTreeSet<usize>, is_answered: bool) {
        let newest = self.leaders.len() - 1;
        let it = &mut self.leaders[newest];
        if it.powerless_at.is_none() || self.late.is_some() {
            return;
        }
        let gone: Vec<WorkerId> =
            (0..COUNT).filter(|it| !listed.contains(it)).map(worker).collect();
        gone.iter().for_each(|gone| it.roster.remove(gone));
        it.roster.update(segment(listed.iter().copied()).workers);
        for write in it.roster.changes() {
            it.roster.sent(std::slice::from_ref(&write));
            if write.revision != self.workers.1 {
                it.roster.not_stored(0, Some(self.workers.1));
            } else if is_answered {
                self.workers = (write.value.clone(), write.revision + 1);
                it.roster.stored(write, self.workers.1);
            } else {
                self.late = Some((newest, write));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_048))]

    /// Guards against an earlier leader that is permitted to grant leases after its
    /// successor has taken it for powerless, or that takes itself for the only one
    /// after that has ordered something.
    #[test]
    fn one_leader(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.play(step.clone());
            let now = world.now;
            world.leaders.iter_mut().for_each(|it| it.update(now));
            for (number, successor) in world.leaders.iter().enumerate() {
                for (earlier, it) in world.leaders[..number].iter().enumerate() {
                    let permitted_from = it.confirmation.permitted_from(BootMillis(now.0));
                    prop_assert!(
                        successor.powerless_at.is_none_or(|at| permitted_from <= at),
                        "{earlier} beside {number} after {step:?}"
                    );
                    let sole_through = it.confirmation.sole_through();
                    prop_assert!(
                        successor.may_order_at.is_none_or(|at| sole_through <= at),
                        "{earlier} is sole beside {number} after {step:?}"
                    );
                }
            }
        }
    }
}
