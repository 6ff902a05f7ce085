//! Permissions of the recommendation service.
//!
//! Some queues let only certain workers run a step, and only that service
//! knows which. It takes time for each worker that it is asked about and
//! handles one call at a time, so a step asks once for a sample of the workers
//! that could run it, and asks again for others only when none of the
//! permitted ones has room or its tickets have run out.

use std::collections::BTreeMap;

use super::work::WorkerIndex;
use crate::{
    fleet::{
        id::{Incarnation, StepKey},
        planner::Planner,
    },
    id::WorkerId,
    time::Timestamp,
};

/// Workers named in one question: enough to find several permitted ones, and
/// few against the service's time for each.
const WORKERS_PER_QUESTION: usize = 30;
/// Pause before a step asks again, in milliseconds, so that steps without a
/// permitted worker leave the service to others.
const ASK_AGAIN_MS: u64 = 1_000;
/// Questions that wait or are being answered at once.
const MAX_OPEN: usize = 8;
/// Time that is left out of a ticket's validity for the way to the worker, in
/// milliseconds.
const VALIDITY_MARGIN_MS: u64 = 300;

/// A permission to run a step on a worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    incarnation: Incarnation,
    valid_until: Timestamp,
}

/// What is known of the permissions for a step.
#[derive(Debug, Default)]
struct StepTickets {
    tickets: BTreeMap<WorkerIndex, Ticket>,
    asked: Vec<WorkerIndex>,
    is_open: bool,
    ask_again_at: Timestamp,
}

/// The permissions for all steps that need them.
#[derive(Debug, Default)]
pub(super) struct Tickets {
    steps: BTreeMap<StepKey, StepTickets>,
    open: usize,
}

/// A question for the recommendation service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketRequest {
    /// The step.
    pub step: StepKey,
    /// The workers that could run it.
    pub workers: Vec<WorkerId>,
}

/// The answer to a question, or that there was none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketReply {
    /// The step.
    pub step: StepKey,
    /// The workers that may run it, each with its ticket.
    pub allowed: Vec<(WorkerId, String)>,
    /// When the tickets run out.
    pub valid_until: Timestamp,
}

impl Tickets {
    /// Returns the ticket for a step on a life of a worker.
    pub(super) fn ticket(
        &self,
        step: StepKey,
        worker: WorkerIndex,
        incarnation: Option<Incarnation>,
        now: Timestamp,
    ) -> Option<&str> {
        let ticket = self.steps.get(&step)?.tickets.get(&worker)?;
        let is_valid = Some(ticket.incarnation) == incarnation
            && now.plus_ms(VALIDITY_MARGIN_MS) < ticket.valid_until;
        is_valid.then_some(ticket.text.as_str())
    }

    /// Forgets a step.
    pub(super) fn forget(&mut self, step: StepKey) {
        if self.steps.remove(&step).is_some_and(|it| it.is_open) {
            self.open -= 1;
        }
    }
}

impl Planner {
    /// Asks which of the candidates may run a step, unless that was asked
    /// lately.
    pub(super) fn ask(&mut self, step: StepKey, candidates: &[WorkerIndex], now: Timestamp) {
        let tickets = self.tickets.steps.entry(step).or_default();
        if tickets.is_open || now < tickets.ask_again_at || MAX_OPEN <= self.tickets.open {
            return;
        }
        let mut unasked: Vec<WorkerIndex> =
            candidates.iter().copied().filter(|it| !tickets.asked.contains(it)).collect();
        if unasked.is_empty() {
            // Every worker was asked about; tickets may have run out since.
            tickets.asked.clear();
            unasked = candidates.to_vec();
        }
        unasked.truncate(WORKERS_PER_QUESTION);
        if unasked.is_empty() {
            return;
        }
        tickets.asked.extend(&unasked);
        tickets.is_open = true;
        self.tickets.open += 1;
        let workers = unasked.iter().map(|it| self.worker_id(*it)).collect();
        self.actions.ticket_requests.push(TicketRequest { step, workers });
    }

    /// Takes an answer of the recommendation service.
    pub fn tickets_received(&mut self, advice: TicketReply, now: Timestamp) {
        let Some(tickets) = self.tickets.steps.get_mut(&advice.step) else { return };
        if std::mem::take(&mut tickets.is_open) {
            self.tickets.open -= 1;
        }
        tickets.ask_again_at = now.plus_ms(ASK_AGAIN_MS);
        for (worker, text) in advice.allowed {
            let Some(index) = self.worker_index.get(&worker) else { continue };
            let Some(incarnation) = self.workers[*index].incarnation else { continue };
            let ticket = Ticket { text, incarnation, valid_until: advice.valid_until };
            tickets.tickets.insert(*index, ticket);
        }
    }
}
