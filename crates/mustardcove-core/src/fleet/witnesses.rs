//! The workers as witnesses of which leader is obeyed.
//!
//! A worker that has answered a poll of one term does nothing for an earlier
//! one. A leader without the store therefore also needs recent answers from most
//! of the recorded workers, and a successor that half of them have answered knows
//! that no earlier leader gets these any more. That proof survives the loss of
//! processes: members that are lost for good neither join a successor nor end,
//! and what replaces them has other names.
//!
//! Both sides have to mean the same workers and the same incarnations:
//!
//! - The record of the workers ([`roster`](super::roster)) is changed only under
//!   the leader's term, so a successor reads what its predecessor wrote last. A
//!   leader counts in every state that the record may have, and changes it only
//!   once no earlier leader can be permitted anything.
//! - A worker that restarts forgets the terms that it has seen. A leader therefore
//!   counts only incarnations that had answered it before the store last named
//!   its term: a successor's poll reaches these, or finds that they have ended.
//! - An answer counts from the newest heartbeat that its poller had received
//!   before it asked. No clocks of different processes are compared, and an answer
//!   that is late is only worth less.
//!
//! The price is paid in outages of the store only: workers are asked more often
//! then, and a leader that lacks half of them grants nothing. See section 5 of
//! `docs/platform.md`.

use std::collections::{BTreeMap, BTreeSet};

use super::{id::Incarnation, roster::Roster};
use crate::{id::WorkerId, time::Timestamp};

/// The last answer of a worker in this term.
#[derive(Clone, Copy, Debug)]
struct Answer {
    incarnation: Incarnation,
    /// When the first answer of this incarnation was handled.
    known_since: Timestamp,
    /// When the newest heartbeat was sent that its poller had received before it
    /// asked; `None` if it had received none.
    asked_after: Option<Timestamp>,
}

/// What the workers have answered in one term.
#[derive(Clone, Debug, Default)]
pub struct Witnesses {
    answers: BTreeMap<WorkerId, Answer>,
    /// Number of workers that the predecessor may count; `None` if its record was
    /// not read, or cannot be.
    recorded: Option<usize>,
    /// Those of them that have not answered in this term.
    unanswered: BTreeSet<WorkerId>,
}

impl Witnesses {
    /// Takes over the workers that earlier leaders recorded; `None` if that is
    /// not known of all.
    pub fn restore(&mut self, recorded: Option<BTreeSet<WorkerId>>) {
        self.recorded = recorded.as_ref().map(|it| it.len());
        self.unanswered = recorded.unwrap_or_default();
        self.unanswered.retain(|it| !self.answers.contains_key(it));
    }

    /// Records an answer of a worker to a poll of this term.
    pub fn answered(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        asked_after: Option<Timestamp>,
        now: Timestamp,
    ) {
        self.unanswered.remove(worker);
        match self.answers.get_mut(worker) {
            Some(it) if it.incarnation == incarnation => {
                it.asked_after = it.asked_after.max(asked_after);
            }
            Some(it) => *it = Answer { incarnation, known_since: now, asked_after },
            None => {
                let answer = Answer { incarnation, known_since: now, asked_after };
                self.answers.insert(worker.clone(), answer);
            }
        }
    }

    /// Returns whether no earlier leader can be answered by most of the workers any
    /// more, since half of them have answered this one.
    pub fn have_left_earlier(&self) -> bool {
        self.recorded.is_some_and(|it| 2 * self.unanswered.len() <= it)
    }

    /// Returns the time after which most workers were asked that have answered,
    /// whatever state the record may have; `None` if they are too few.
    /// `store_through` is when the store was asked that named this term last.
    pub fn heard_through(&self, roster: &Roster, store_through: Timestamp) -> Option<Timestamp> {
        let is_witness = |it: &&Answer| it.known_since <= store_through;
        let answers = roster.certain().filter_map(|it| self.answers.get(it));
        let mut heard: Vec<Timestamp> =
            answers.filter(is_witness).filter_map(|it| it.asked_after).collect();
        let most = roster.possible_count() / 2;
        if heard.len() <= most {
            return None;
        }
        let (_, through, _) = heard.select_nth_unstable_by(most, |lhs, rhs| rhs.cmp(lhs));
        Some(*through)
    }
}
