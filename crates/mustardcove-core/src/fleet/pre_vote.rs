//! Whether other processes hear the leader that a process would replace.
//!
//! A process that lost its connection to the leader, or that could not hear for a
//! while, cannot tell that from a lost leader. A needless change costs lost work the
//! wait for the leases of the term that it ends. So a candidate first asks some
//! processes, the leader among them, whether they hear it, and claims unless most of
//! those that answer do.
//!
//! The vote only saves needless changes. Safety rests on the conditional write of the
//! claim and on terms, so a few voters suffice, and none need to answer: all but one
//! process may be lost for good. Votes of the processes of the candidate's own side
//! decide while regions are cut off from each other.

use std::collections::BTreeSet;

use strum::{Display, IntoStaticStr};

use super::record::ProcessRecord;
use crate::id::ProcessId;

/// Most processes that are asked beside the leader: enough that one that is cut off
/// from the leader, too, does not decide, and few enough for candidates of a large
/// fleet that ask at once.
const MAX_VOTERS: usize = 5;
/// Time for the answers, in milliseconds: a new connection to another region and an
/// answer over it.
pub const VOTE_MS: u64 = 250;

/// What a vote permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The leader seems lost.
    Claim,
    /// Most of those that answered hear the leader.
    Postpone,
}

/// Returns some of the registered processes other than the candidate and the leader,
/// spread evenly over the list, from a place that any number `draw` determines.
pub fn choose_voters<'a>(
    registered: &'a [ProcessRecord],
    candidate: &ProcessId,
    leader: &ProcessId,
    draw: usize,
) -> Vec<&'a ProcessRecord> {
    let is_other = |it: &&ProcessRecord| it.process != *candidate && it.process != *leader;
    let others: Vec<&ProcessRecord> = registered.iter().filter(is_other).collect();
    let count = others.len().min(MAX_VOTERS);
    let first = draw % others.len().max(1);
    (0..count).map(|i| others[(first + i * others.len() / count) % others.len()]).collect()
}

/// One vote.
#[derive(Clone, Debug, Default)]
pub struct PreVote {
    /// The candidate's number of the vote: answers to an earlier one don't count.
    number: u64,
    asked: usize,
    unanswered: BTreeSet<ProcessId>,
    hearing: usize,
    not_hearing: usize,
}

impl PreVote {
    /// Returns a vote in which some processes are asked.
    pub fn new(number: u64, asked: BTreeSet<ProcessId>) -> PreVote {
        PreVote { number, asked: asked.len(), unanswered: asked, hearing: 0, not_hearing: 0 }
    }

    /// Returns the number of the vote.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records the answer of a process.
    pub fn answered(&mut self, number: u64, voter: &ProcessId, hears: bool) {
        if number != self.number || !self.unanswered.remove(voter) {
            return;
        }
        if hears {
            self.hearing += 1;
        } else {
            self.not_hearing += 1;
        }
    }

    /// Returns the verdict if no further answer can change it.
    pub fn early_verdict(&self) -> Option<Verdict> {
        if self.asked <= 2 * self.not_hearing {
            return Some(Verdict::Claim);
        }
        (self.asked < 2 * self.hearing).then_some(Verdict::Postpone)
    }

    /// Returns the verdict by the answers until now.
    pub fn verdict(&self) -> Verdict {
        if self.not_hearing < self.hearing { Verdict::Postpone } else { Verdict::Claim }
    }
}
