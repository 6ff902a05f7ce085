//! The list of the processes that count.

use std::collections::{BTreeMap, BTreeSet};

use mustardcove_core::{
    fleet::members::{MemberList, MemberState, Members},
    id::ProcessId,
};
use proptest::prelude::*;

fn process(number: usize) -> ProcessId {
    format!("p{number}.1").parse().expect("a valid name")
}

fn list(numbers: impl IntoIterator<Item = usize>) -> MemberList {
    MemberList(numbers.into_iter().map(|it| (process(it), format!("p{it}"))).collect())
}

fn stored(numbers: impl IntoIterator<Item = usize>) -> Members {
    let mut members = Members::default();
    members.stored(list(numbers), 5);
    members
}

/// Returns the states of members; others have not reported yet.
fn states(known: &[(usize, MemberState)]) -> impl Fn(&ProcessId, &str) -> MemberState + use<> {
    let known: BTreeMap<ProcessId, MemberState> =
        known.iter().map(|it| (process(it.0), it.1)).collect();
    move |it, _| known.get(it).copied().unwrap_or(MemberState::Awaited)
}

fn next_change(
    members: &mut Members,
    reporting: &[usize],
    known: &[(usize, MemberState)],
) -> Option<(MemberList, u64)> {
    let reporting: Vec<_> = reporting.iter().map(|it| (process(*it), format!("p{it}"))).collect();
    let reporting = reporting.iter().map(|it| (&it.0, it.1.as_str()));
    let list = members.next_list(reporting, states(known))?;
    let revision = members.propose(list.clone());
    Some((list, revision))
}

const SILENT: MemberState = MemberState::Silent { has_joined: false };
const LEFT: MemberState = MemberState::Silent { has_joined: true };

/// Guards against instances that are gone and count in every quorum.
#[test]
fn ended_members() {
    let members = stored(0..5);
    let three_ended = [(0, MemberState::Ended), (1, MemberState::Ended), (2, MemberState::Ended)];
    assert!(members.is_joined_by_half(states(&three_ended)));
    assert!(!members.is_joined_by_half(states(&[(0, MemberState::Ended), (3, SILENT)])));
    let mut members = members;
    let known = [&three_ended[..], &[(3, MemberState::Joined)]].concat();
    assert_eq!(next_change(&mut members, &[3, 6], &known), Some((list([3, 4, 6]), 5)));
}

/// Guards against a list without anyone, which no leader could be joined by.
#[test]
fn never_empty() {
    let mut members = stored(0..2);
    assert_eq!(next_change(&mut members, &[], &[(0, LEFT), (1, MemberState::Ended)]), None);
    assert_eq!(next_change(&mut stored([1]), &[1], &[(1, MemberState::Joined)]), None);
    assert_eq!(next_change(&mut Members::default(), &[2], &[]), Some((list([2]), 0)));
}

/// Guards against a quorum of the list that a successor does not find, while a
/// write of the other one may still take effect.
#[test]
fn open_change() {
    let mut members = stored(0..3);
    let change = next_change(&mut members, &[3, 4, 5], &[]).expect("a change");
    assert!(members.is_changing());
    let joined = |it: usize| (it, MemberState::Joined);
    assert!(!members.is_joined_by_half(states(&[joined(3), joined(4), joined(5)])));
    assert!(members.is_joined_by_half(states(&[joined(0), joined(1), joined(3)])));
    let again = next_change(&mut members, &[7], &[]).expect("the same change");
    assert_eq!(again, change, "one change is open at a time");
    members.stored(list(0..3), 5);
    assert!(members.is_changing(), "the write may be carried out later");
    members.stored(change.0.clone(), 9);
    assert!(!members.is_changing());
    members.stored(list(0..3), 5);
    assert_eq!(members.lists().collect::<Vec<_>>(), [&change.0], "an earlier reading is late");
}

/// Guards against a leader that polls workers while all members obey another one,
/// which that takes for the proof that nobody else does.
#[test]
fn newcomer_leads() {
    let members = stored(0..3);
    assert!(members.has_any_left(&process(1), states(&[])));
    assert!(!members.has_any_left(&process(7), states(&[(0, SILENT)])));
    assert!(members.has_any_left(&process(7), states(&[(0, MemberState::Joined)])));
    assert!(members.has_any_left(&process(7), states(&[(2, MemberState::Ended)])));
    assert!(Members::default().has_any_left(&process(7), states(&[])));
}

/// One step of a schedule of leaders that follow each other.
#[derive(Clone, Debug)]
enum Step {
    /// Another process claims the leadership.
    Claim(usize),
    /// A process joins the newest leader.
    Join(usize),
    /// The newest leader writes a change, and learns of it or not.
    Change { reporting: BTreeSet<usize>, is_answered: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let reporting = prop::collection::btree_set(0..8usize, 1..6);
    prop_oneof![
        1 => (0..8usize).prop_map(Step::Claim),
        4 => (0..8usize).prop_map(Step::Join),
        2 => (reporting, any::<bool>())
            .prop_map(|(reporting, is_answered)| Step::Change { reporting, is_answered }),
    ]
}

/// A leader, and the processes that have joined it.
struct Leader {
    members: Members,
    joined: BTreeSet<usize>,
}

impl Leader {
    fn state(&self, id: &ProcessId) -> MemberState {
        let has_joined = self.joined.iter().any(|it| process(*it) == *id);
        if has_joined { MemberState::Joined } else { SILENT }
    }

    fn is_joined_by_half(&self) -> bool {
        self.members.is_joined_by_half(|it, _| self.state(it))
    }

    /// Returns whether most members obey it, in each list.
    fn is_confirmed(&self, obeyed: &BTreeMap<usize, usize>, number: usize) -> bool {
        let obeys =
            |id: &ProcessId| obeyed.iter().any(|(it, by)| process(*it) == *id && *by == number);
        let mut lists = self.members.lists();
        lists.all(|it| it.0.len() < 2 * it.0.keys().filter(|it| obeys(it)).count())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against two leaders that each have their majority, or one that is
    /// joined by half of the members while most obey another, whatever changes
    /// either has made and learned of.
    #[test]
    fn one_majority(steps in prop::collection::vec(step(), 1..60)) {
        let mut record = (list(0..3), 5);
        let mut leaders = Vec::<Leader>::new();
        // The newest leader that each process has joined.
        let mut obeyed = BTreeMap::new();
        let claim = |record: &(MemberList, u64), own| {
            let mut members = Members::default();
            members.stored(record.0.clone(), record.1);
            Leader { members, joined: BTreeSet::from([own]) }
        };
        leaders.push(claim(&record, 0));
        obeyed.insert(0, 0);
        for step in steps {
            let newest = leaders.len() - 1;
            match step {
                Step::Claim(own) => {
                    leaders.push(claim(&record, own));
                    obeyed.insert(own, newest + 1);
                }
                Step::Join(number) => {
                    leaders[newest].joined.insert(number);
                    obeyed.insert(number, newest);
                }
                Step::Change { reporting, is_answered } => {
                    let leader = &mut leaders[newest];
                    if !leader.is_joined_by_half() {
                        continue;
                    }
                    let reporting: Vec<_> =
                        reporting.iter().map(|it| (process(*it), format!("p{it}"))).collect();
                    let reporting = reporting.iter().map(|it| (&it.0, it.1.as_str()));
                    let joined = leader.joined.clone();
                    let state = |id: &ProcessId, _: &str| {
                        let has_joined = joined.iter().any(|it| process(*it) == *id);
                        if has_joined { MemberState::Joined } else { SILENT }
                    };
                    let Some(list) = leader.members.next_list(reporting, state) else { continue };
                    let expected = leader.members.propose(list.clone());
                    if expected == record.1 {
                        record = (list, expected + 1);
                    }
                    if is_answered {
                        leader.members.stored(record.0.clone(), record.1);
                    }
                }
            }
            let confirmed: Vec<usize> =
                (0..leaders.len()).filter(|it| leaders[*it].is_confirmed(&obeyed, *it)).collect();
            prop_assert!(confirmed.len() <= 1, "{confirmed:?} are confirmed");
            for (number, it) in leaders.iter().enumerate() {
                let earlier = confirmed.iter().any(|it| *it < number);
                prop_assert!(!(earlier && it.is_joined_by_half()), "{number} beside {confirmed:?}");
            }
        }
    }
}
