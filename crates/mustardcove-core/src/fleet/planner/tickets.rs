//! Tickets of the recommendation service.
//!
//! Some queues let only certain workers run a step, and only that service
//! knows which. It takes time for each worker that it is asked about and
//! handles one call at a time. A step therefore asks once for a sample of the
//! workers that could run it, and asks again for others only when none of the
//! permitted ones has capacity or its tickets have expired. Which workers may
//! run a step does not change, so those that were permitted are asked about
//! first, and then those that it has not asked about.
//!
//! Steps that want to ask form a queue, whatever their rank: more important ones
//! that nobody may run would otherwise ask again and again, and the others
//! never. A step that has asked before goes behind those that come within the
//! next second.

use std::collections::{BTreeMap, BTreeSet};

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
/// Time by which a step that has asked before goes behind others, in
/// milliseconds.
const REPEAT_DELAY_MS: u64 = 1_000;
/// Time after which a step that no longer wants to ask leaves the queue, in
/// milliseconds.
const WANTED_TIMEOUT_MS: u64 = 1_000;
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
#[derive(Clone, Debug, Default)]
struct StepTickets {
    tickets: BTreeMap<WorkerIndex, Ticket>,
    asked: BTreeSet<WorkerIndex>,
    is_pending: bool,
    next_request_at: Timestamp,
    /// Its place in the queue, if it wants to ask.
    place: Option<Place>,
    /// When it wanted to ask last.
    wanted_at: Timestamp,
}

/// A place in the queue of steps that want to ask: the time that counts, and a
/// number by which places of the same time are ordered.
type Place = (Timestamp, u64);

/// Tickets and requests of all steps that need them.
#[derive(Clone, Debug, Default)]
pub(super) struct Tickets {
    steps: BTreeMap<StepKey, StepTickets>,
    /// The steps that want to ask.
    queue: BTreeMap<Place, StepKey>,
    next_place: u64,
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
        let Some(tickets) = self.steps.remove(&step) else { return };
        self.pending -= usize::from(tickets.is_pending);
        if let Some(place) = tickets.place {
            self.queue.remove(&place);
        }
    }

    /// Returns whether it is a step's turn to ask, and has it queue until then.
    fn is_next(&mut self, step: StepKey, now: Timestamp) -> bool {
        let tickets = self.steps.entry(step).or_default();
        if tickets.is_pending || now < tickets.next_request_at {
            return false;
        }
        tickets.wanted_at = now;
        if tickets.place.is_none() {
            let is_repeat = tickets.next_request_at != Timestamp::default();
            let delay_ms = if is_repeat { REPEAT_DELAY_MS } else { 0 };
            let place = (now.plus_ms(delay_ms), self.next_place);
            self.next_place += 1;
            tickets.place = Some(place);
            self.queue.insert(place, step);
        }
        while let Some((_, first)) = self.queue.first_key_value() {
            let first = *first;
            let wanted_at = self.steps.get(&first).map_or(now, |it| it.wanted_at);
            if now.ms_since(wanted_at) < WANTED_TIMEOUT_MS {
                break;
            }
            self.leave_queue(first);
        }
        let free = MAX_PENDING_REQUESTS.saturating_sub(self.pending);
        self.queue.values().take(free).any(|it| *it == step)
    }

    fn leave_queue(&mut self, step: StepKey) {
        let place = self.steps.get_mut(&step).and_then(|it| it.place.take());
        if let Some(place) = place {
            self.queue.remove(&place);
        }
    }
}

impl Planner {
    /// Returns whether a step may request tickets now: no request of it is
    /// pending or recent, and it is its turn.
    pub(super) fn may_request_tickets(&mut self, step: StepKey, now: Timestamp) -> bool {
        self.tickets.is_next(step, now)
    }

    /// Requests tickets for a step on some of the candidates, which are in order
    /// of preference.
    pub(super) fn request_tickets(
        &mut self,
        step: StepKey,
        candidates: &[WorkerIndex],
        now: Timestamp,
    ) {
        self.tickets.leave_queue(step);
        let has_ticket = |it: &WorkerIndex| {
            self.tickets.ticket(step, *it, self.workers[*it].incarnation, now).is_some()
        };
        let candidates: Vec<WorkerIndex> =
            candidates.iter().copied().filter(|it| !has_ticket(it)).collect();
        let tickets = self.tickets.steps.entry(step).or_default();
        let was_permitted = |it: &&WorkerIndex| tickets.tickets.contains_key(it);
        let permitted = candidates.iter().filter(was_permitted);
        let unasked =
            candidates.iter().filter(|it| !was_permitted(it) && !tickets.asked.contains(it));
        let mut chosen: Vec<WorkerIndex> = permitted.chain(unasked).copied().collect();
        if chosen.is_empty() {
            // Requests may have failed.
            tickets.asked.clear();
            chosen = candidates;
        }
        if chosen.is_empty() {
            return;
        }
        chosen.truncate(WORKERS_PER_REQUEST);
        tickets.asked.extend(&chosen);
        tickets.is_pending = true;
        self.tickets.pending += 1;
        let workers = chosen.iter().map(|it| self.worker_id(*it)).collect();
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
