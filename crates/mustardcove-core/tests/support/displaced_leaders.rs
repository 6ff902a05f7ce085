//! What simulated leaders that were displaced tell their successors. Messages are
//! lost, late and repeated.

use std::ops::RangeInclusive;

use mustardcove_core::{
    fleet::{handover::KnownLeases, id::Term},
    id::WorkerId,
    time::{ClockShift, Timestamp},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::World;

/// Time for which a message is sent again while there is no successor.
const TELL_MS: u64 = 4_000;

/// The messages, and how they travel. The random numbers are its own, so that other
/// events do not depend on it.
#[derive(Debug)]
pub(crate) struct Told {
    rng: ChaCha8Rng,
    under_way: Vec<Message>,
    /// Number of times that each message arrives.
    pub(crate) copies: RangeInclusive<u32>,
    /// Time that each takes, in milliseconds.
    pub(crate) delay_ms: RangeInclusive<u64>,
}

#[derive(Debug)]
struct Message {
    at: Timestamp,
    sent_at: Timestamp,
    term: Term,
    workers: Vec<KnownLeases>,
}

impl Told {
    pub(super) fn new(seed: u64) -> Told {
        let rng = ChaCha8Rng::seed_from_u64(!seed);
        Told { rng, under_way: Vec::new(), copies: 0..=3, delay_ms: 0..=3_000 }
    }
}

impl World {
    /// Lets a leader tell its successor what it knows of leases. It has to do nothing
    /// else from now on.
    pub(super) fn tell_successor(&mut self, leader: usize) {
        let (now, state) = (self.now, &self.leaders[leader]);
        let Some(leadership) = &state.leadership else { return };
        let term = state.planner.term();
        let poller_of = |it: &WorkerId| {
            let worker = self.workers.iter().position(|worker| worker.id == *it)?;
            leadership.poller_id(term, worker)
        };
        let workers = state.planner.displaced(now, poller_of);
        let told = &mut self.told;
        for _ in 0..told.rng.random_range(told.copies.clone()) {
            let at = now.plus_ms(told.rng.random_range(told.delay_ms.clone()));
            told.under_way.push(Message { at, sent_at: now, term, workers: workers.clone() });
        }
    }

    /// Lets a process that ends its pollers tell a leader since when it knows that the
    /// one before has stepped down, if it has heard of that.
    pub(super) fn tell_step_down(&mut self, leader: usize) {
        let has_heard = 0 < self.told.rng.random_range(0..4u32);
        let Some(handover) = self.handover.clone().filter(|_| has_heard) else { return };
        let (predecessor, heard_at) = (self.leaders[leader].predecessor, handover.written_at);
        let workers = handover.taken_over(predecessor, heard_at);
        let known = workers.into_iter().map(KnownLeases::from).collect();
        self.leaders[leader].planner.learn_leases(known);
    }

    /// Delivers messages to the leaders whose claims have replaced the terms of their
    /// senders.
    pub(super) fn deliver_told(&mut self) {
        let now = self.now;
        let is_due = |it: &mut Message| it.at <= now;
        let due: Vec<Message> = self.told.under_way.extract_if(.., is_due).collect();
        for it in due {
            let is_successor = |leader: &&mut super::Leader| leader.predecessor == it.term;
            let Some(successor) = self.leaders.iter_mut().find(is_successor) else {
                if now.ms_since(it.sent_at) < TELL_MS {
                    self.told.under_way.push(it);
                }
                continue;
            };
            let shift = ClockShift::new(it.sent_at, now);
            let workers = it.workers.into_iter().map(|it| it.to_local(shift)).collect();
            successor.planner.learn_leases(workers);
        }
    }
}
