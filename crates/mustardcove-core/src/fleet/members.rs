//! The processes that count when a leader asks whether it still leads.
//!
//! A leader without the store goes on while most processes obey it, and its
//! successor waits for leases of the earlier term until half of them have joined.
//! Both have to mean the same processes: if each counted those that it knows, two
//! leaders could go on with different ones, and if every process counted that was
//! ever registered, machines that are gone would be the most some day.
//!
//! The store therefore holds the list of those that count, the members. Only the
//! leader that the store names changes it, one change at a time, under a condition
//! on both records:
//!
//! - A leader changes the list only after half of the members have joined it or
//!   have ended, or half of the workers have answered it
//!   ([`witnesses`](super::witnesses)). From then on no earlier leader can be
//!   permitted anything, so it does not matter that it knows an older list.
//! - While the outcome of a change is open, the leader needs both lists, since its
//!   successor may find either.
//! - A leader that is not a member only asks workers what runs there, and grants
//!   and orders nothing, until one of the members has joined it or has ended, or
//!   half of the workers have answered. Every member could otherwise obey an earlier
//!   leader, which takes that for the proof that it is the only one.
//!
//! A member is added once it is registered and reports. It is removed once it has
//! ended, as its record is gone or names the next process on that instance, or has
//! been silent for a while. A silent member may be alive and obey an earlier leader:
//! that is as good as powerless then, for the reason above. It is added again when
//! it reports.
//!
//! If most members are lost for good at once, a successor cannot be joined by half
//! of them, and the workers have to answer. If most of these are lost as well, it
//! waits until every earlier leader has lost its permission, which is limited
//! without the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{id::ProcessId, time::Timestamp};

/// Time without a report after which a member is removed, in milliseconds: longer
/// than restarts and most cuts, which would otherwise change the list twice.
pub const MEMBER_SILENT_MS: u64 = 10_000;

/// The members: the name of the instance of each process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberList(pub BTreeMap<ProcessId, String>);

/// What a leader knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It has not reported in this term, or not for [`MEMBER_SILENT_MS`].
    Silent {
        /// Whether it has joined this term.
        has_joined: bool,
    },
    /// It has joined this term.
    Joined,
    /// It has ended for good.
    Ended,
    /// It has not reported yet, but the term has just begun.
    Awaited,
}

impl MemberState {
    /// Returns the state of a member that has reported last at a time in a term, and
    /// that has not ended.
    pub fn reported(
        reported_at: Option<Timestamp>,
        term_began_at: Timestamp,
        now: Timestamp,
    ) -> MemberState {
        let has_joined = reported_at.is_some();
        if MEMBER_SILENT_MS <= now.ms_since(reported_at.unwrap_or(term_began_at)) {
            MemberState::Silent { has_joined }
        } else if has_joined {
            MemberState::Joined
        } else {
            MemberState::Awaited
        }
    }

    /// Returns whether it obeys no earlier leader any more.
    fn has_left_earlier(self) -> bool {
        match self {
            MemberState::Silent { has_joined } => has_joined,
            MemberState::Joined | MemberState::Ended => true,
            MemberState::Awaited => false,
        }
    }

    fn stays(self) -> bool {
        matches!(self, MemberState::Joined | MemberState::Awaited)
    }
}

/// The members as a leader knows them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// The list and the revision of its record; `None` if there is none yet.
    stored: Option<(MemberList, u64)>,
    /// A list that was sent to the store, and may be there.
    proposed: Option<MemberList>,
}

impl Members {
    /// Records what the store holds.
    pub fn stored(&mut self, list: MemberList, revision: u64) {
        if self.stored.as_ref().is_some_and(|it| revision < it.1) {
            return;
        }
        self.proposed.take_if(|it| *it == list);
        self.stored = Some((list, revision));
    }

    /// Returns whether the store holds a list.
    pub fn is_stored(&self) -> bool {
        self.stored.is_some()
    }

    /// Returns the lists that have to agree: the stored one, and one that may be.
    pub fn lists(&self) -> impl Iterator<Item = &MemberList> {
        self.stored.iter().map(|it| &it.0).chain(&self.proposed)
    }

    /// Returns whether no earlier leader is obeyed by most members any more.
    pub fn is_joined_by_half(&self, state: impl Fn(&ProcessId, &str) -> MemberState) -> bool {
        self.lists().all(|list| {
            let has_left = |it: &(&ProcessId, &String)| state(it.0, it.1).has_left_earlier();
            list.0.len() <= 2 * list.0.iter().filter(has_left).count()
        })
    }

    /// Returns whether not every member can obey an earlier leader than the one in a
    /// process.
    pub fn has_any_left(
        &self,
        own: &ProcessId,
        state: impl Fn(&ProcessId, &str) -> MemberState,
    ) -> bool {
        let Some((list, _)) = &self.stored else { return true };
        list.0.contains_key(own) || list.0.iter().any(|it| state(it.0, it.1).has_left_earlier())
    }

    /// Returns the list to [propose](Members::propose); `None` if nothing has to
    /// change. `reporting` are the registered processes that report. A change that is
    /// open is returned again.
    pub fn next_list<'a>(
        &self,
        reporting: impl Iterator<Item = (&'a ProcessId, &'a str)>,
        state: impl Fn(&ProcessId, &str) -> MemberState,
    ) -> Option<MemberList> {
        if self.proposed.is_some() {
            return self.proposed.clone();
        }
        let stored = self.stored.as_ref().map(|it| &it.0);
        let kept = stored.into_iter().flat_map(|it| &it.0);
        let kept = kept.filter(|it| state(it.0, it.1).stays());
        let mut list =
            MemberList(kept.map(|(process, name)| (process.clone(), name.clone())).collect());
        list.0.extend(reporting.map(|(process, name)| (process.clone(), name.to_owned())));
        (!list.0.is_empty() && stored != Some(&list)).then_some(list)
    }

    /// Records that a list is sent to the store. Returns the revision of the record
    /// that it replaces, 0 if there is none.
    pub fn propose(&mut self, list: MemberList) -> u64 {
        self.proposed = Some(list);
        self.stored.as_ref().map_or(0, |it| it.1)
    }

    /// Returns whether the outcome of a change is open.
    pub fn is_changing(&self) -> bool {
        self.proposed.is_some()
    }
}
