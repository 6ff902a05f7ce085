//! Best-effort submissions that need tickets and get no run on workers that are
//! mostly free.
//!
//! Guards against a submission that asks again and again for tickets of the few
//! workers with processor time left over, which its policy does not allow, and
//! never for those of the others, on which it may run. Users accept 3 s without a
//! run while less than half of the capacity is reserved.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::sync::Arc;

use fleet_world::{SERVICE, queue, step, submission};
use mustardcove_core::{
    fleet::{
        id::SubmissionId,
        manifest::{Manifest, Queue, Service},
        planner::{TicketReply, TicketRequest},
        submission::{StepSpec, Submission},
    },
    time::Timestamp,
};
use planner_rig::Rig;

const CPU: u64 = 64_000;
const WORKERS: [(&str, u64); 4] = [("w0", CPU), ("w1", CPU), ("w2", CPU), ("w3", CPU)];
/// Longest time without a run that users accept, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
/// Time that the recommendation service takes, and for which its tickets are
/// valid, in milliseconds.
const REPLY_MS: u64 = 200;
const VALID_MS: u64 = 4_000;
/// Label of the workers that other best-effort work uses up.
const BUSY: &str = "busy";
const WAITING: SubmissionId = SubmissionId(100);

fn advised_queue() -> Queue {
    Queue { prefix: "/advised/".to_owned(), needs_ticket: true, ..queue(3) }
}

/// Returns a plan whose last two workers have no processor time left over.
fn rig() -> Rig {
    let service = Service { name: SERVICE.to_owned(), rejects_overload: true, is_standby: false };
    let queues = vec![queue(3), advised_queue()];
    let manifest = Manifest { queues, services: vec![service], ..Manifest::default() };
    let mut rig = Rig::new(Arc::new(manifest), &WORKERS);
    rig.update_listings(|it| {
        if ["w2", "w3"].contains(&it.worker.as_str()) {
            it.labels[0] = BUSY.to_owned();
        }
    });
    let requirement = Some(BUSY.to_owned());
    let filling = StepSpec { requirement, is_best_effort: true, ..step(16, 8_000, &[]) };
    rig.submit(submission(1, vec![filling], rig.now));
    rig.plan();
    assert_eq!(rig.running().len(), 16);
    rig
}

/// Simulates until the waiting submission runs, and returns how long it waited,
/// in milliseconds.
fn wait(rig: &mut Rig, allowed: &[&str]) -> u64 {
    let spec = StepSpec { is_best_effort: true, ..step(4, 8_000, &[]) };
    let it = submission(WAITING.0, vec![spec], rig.now);
    rig.submit(Arc::new(Submission { queue: advised_queue(), ..(*it).clone() }));
    let begun = rig.now;
    let mut replies: Vec<(Timestamp, TicketRequest)> = Vec::new();
    while rig.now < begun.plus_ms(4 * MAX_IDLE_MS) {
        rig.advance(100);
        let percent = (rig.now.ms_since(begun) / 200 % 97) as u8;
        for (task, worker) in rig.running() {
            rig.set_measurement(&worker, task, 1_000, percent);
        }
        rig.poll_all();
        for (_, request) in replies.extract_if(.., |it| it.0 <= rig.now) {
            let is_allowed =
                |it: &&_| allowed.contains(&mustardcove_core::id::WorkerId::as_str(it));
            let tickets = request.workers.iter().filter(is_allowed);
            let reply = TicketReply {
                step: request.step,
                allowed: tickets.map(|it| (it.clone(), "ticket".to_owned())).collect(),
                valid_until: rig.now.plus_ms(VALID_MS),
            };
            rig.planner.tickets_received(reply, rig.now);
        }
        rig.plan();
        let now = rig.now;
        replies.extend(rig.ticket_requests.drain(..).map(|it| (now.plus_ms(REPLY_MS), it)));
        if rig.running().keys().any(|it| it.step.submission == WAITING) {
            break;
        }
    }
    rig.now.ms_since(begun)
}

#[test]
fn no_leftover() {
    let mut rig = rig();
    let waited_ms = wait(&mut rig, &["w2", "w3"]);
    assert!(waited_ms < MAX_IDLE_MS, "no run for {waited_ms} ms");
}

/// A submission that may run where processor time is left over waits for no
/// other worker.
#[test]
fn leftover() {
    let mut rig = rig();
    let waited_ms = wait(&mut rig, &["w0"]);
    assert!(waited_ms <= REPLY_MS + 200, "no run for {waited_ms} ms");
}
