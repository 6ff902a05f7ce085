//! Tickets of the recommendation service.
//!
//! Some queues let only certain workers run a step, and only that service
//! knows which. It takes time for each worker that it is asked about and
//! handles one call at a time. A step therefore asks once for a sample of the
//! workers that could run it, and asks again for others only when none of the
//! permitted ones has capacity or its tickets have expired.

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

/// Workers named in one request: enough to find several permitted ones, and
/// few given the service's time for each.
const WORKERS_PER_REQUEST: usize = 30;
/// Pause before a step asks again, in milliseconds, so that steps without a
/// permitted worker leave the service to others.
const REQUEST_INTERVAL_MS: u64 = 1_000;
/// Most requests that wait or are in progress at once.
const MAX_PENDING_REQUESTS: usize = 8;
/// Part of a ticket's validity that is reserved for the call to the worker, in
/// milliseconds.
const VALIDITY_MARGIN_MS: u64 = 300;

/// A ticket to run a step on one incarnation of a worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    incarnation: Incarnation,
    valid_until: Timestamp,
}

/// Tickets and requests of one step.
#[derive(Debug, Default)]
struct StepTickets {
    tickets: BTreeMap<WorkerIndex, Ticket>,
    asked: Vec<WorkerIndex>,
    is_pending: bool,
    next_request_at: Timestamp,
}

/// Tickets and requests of all steps that need them.
#[derive(Debug, Default)]
pub(super) struct Tickets {
    steps: BTreeMap<StepKey, StepTickets>,
    pending: usize,
}

/// A request for tickets to the recommendation service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketRequest {
    /// The step.
    pub step: StepKey,
    /// The workers that could run it.
    pub workers: Vec<WorkerId>,
}

/// The reply to a ticket request; it permits no worker if there was no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketReply {
    /// The step.
    pub step: StepKey,
    /// The workers that may run it, each with its ticket.
    pub allowed: Vec<(WorkerId, String)>,
    /// When the tickets expire.
    pub valid_until: Timestamp,
}

impl Tickets {
    /// Returns the ticket for a step on an incarnation of a worker.
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

    /// Removes a step.
    pub(super) fn remove(&mut self, step: StepKey) {
        if self.steps.remove(&step).is_some_and(|it| it.is_pending) {
            self.pending -= 1;
        }
    }
}

impl Planner {
    /// Returns whether tickets may be requested for a step now: no request is
    /// pending or recent.
    pub(super) fn may_request_tickets(&self, step: StepKey, now: Timestamp) -> bool {
        let is_due = |it: &StepTickets| !it.is_pending && it.next_request_at <= now;
        self.tickets.pending < MAX_PENDING_REQUESTS
            && self.tickets.steps.get(&step).is_none_or(is_due)
    }

    /// Requests tickets for a step on the candidates, if that is possible now.
    pub(super) fn request_tickets(
        &mut self,
        step: StepKey,
        candidates: &[WorkerIndex],
        now: Timestamp,
    ) {
        if !self.may_request_tickets(step, now) {
            return;
        }
        let tickets = self.tickets.steps.entry(step).or_default();
        let mut unasked: Vec<WorkerIndex> =
            candidates.iter().copied().filter(|it| !tickets.asked.contains(it)).collect();
        if unasked.is_empty() {
            // Every worker was asked about; tickets may have expired since.
            tickets.asked.clear();
            unasked = candidates.to_vec();
        }
        unasked.truncate(WORKERS_PER_REQUEST);
        if unasked.is_empty() {
            return;
        }
        tickets.asked.extend(&unasked);
        tickets.is_pending = true;
        self.tickets.pending += 1;
        let workers = unasked.iter().map(|it| self.worker_id(*it)).collect();
        self.actions.ticket_requests.push(TicketRequest { step, workers });
    }

    /// Handles a reply of the recommendation service.
    pub fn tickets_received(&mut self, reply: TicketReply, now: Timestamp) {
        let Some(tickets) = self.tickets.steps.get_mut(&reply.step) else { return };
        if std::mem::take(&mut tickets.is_pending) {
            self.tickets.pending -= 1;
        }
        tickets.next_request_at = now.plus_ms(REQUEST_INTERVAL_MS);
        for (worker, text) in reply.allowed {
            let Some(index) = self.worker_index.get(&worker) else { continue };
            let Some(incarnation) = self.workers[*index].incarnation else { continue };
            let ticket = Ticket { text, incarnation, valid_until: reply.valid_until };
            tickets.tickets.insert(*index, ticket);
        }
        self.blocked.retry(reply.step.submission, now);
    }
}
