//! Steps that need tickets of the recommendation service.
//!
//! Guards against a step that is never told of the workers that may run it:
//! users accept 3 s without a run.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{collections::VecDeque, sync::Arc};

use fleet_world::{manifest, queue, step};
use mustardcove_core::{
    fleet::{
        id::SubmissionId,
        manifest::{Manifest, Queue},
        planner::{TicketReply, TicketRequest},
        submission::{StepSpec, Submission},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::Rig;

const MAX_IDLE_MS: u64 = 3_000;
/// Longest time that a test simulates, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
const STEP_MS: u64 = 20;
/// Time that the service takes for one request, in milliseconds. It handles one
/// after the other.
const CALL_MS: u64 = 120;
const TICKET_VALID_MS: u64 = 60_000;

fn ticket_queue(priority: u8) -> Queue {
    Queue { needs_ticket: true, priority, ..queue(3) }
}

fn single(id: u64, priority: u8, spec: StepSpec, accepted_at: Timestamp) -> Arc<Submission> {
    Arc::new(Submission {
        id: SubmissionId(id),
        queue: Queue { prefix: format!("/{priority}/"), ..ticket_queue(priority) },
        payload: "payload".into(),
        steps: vec![spec],
        schedule: None,
        accepted_at,
        manifest: Default::default(),
    })
}

/// A planner beside the service.
struct World {
    rig: Rig,
    requests: VecDeque<TicketRequest>,
    answer_at: Timestamp,
    asked: usize,
}

impl World {
    fn new(workers: usize) -> World {
        let names: Vec<String> = (0..workers).map(|it| format!("w{it:04}")).collect();
        let fleet: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), 4_000)).collect();
        let manifest = Manifest { queues: Vec::new(), ..(*manifest(3)).clone() };
        let rig = Rig::new(manifest.into(), &fleet);
        World { answer_at: rig.now, rig, requests: VecDeque::new(), asked: 0 }
    }

    /// Returns how long a submission waits for its first start. A worker may run
    /// a step of the submissions for which `is_allowed` is true.
    fn wait_ms(&mut self, id: u64, is_allowed: impl Fn(u64, &WorkerId) -> bool) -> u64 {
        let since = self.rig.now;
        while self.rig.now.ms_since(since) < MAX_WAIT_MS {
            if self.advance(&is_allowed).contains(&id) {
                break;
            }
        }
        self.rig.now.ms_since(since)
    }

    /// Advances time, and returns the submissions that were started.
    fn advance(&mut self, is_allowed: impl Fn(u64, &WorkerId) -> bool) -> Vec<u64> {
        self.rig.advance(STEP_MS);
        let now = self.rig.now;
        if now.0.is_multiple_of(500) {
            self.rig.poll_all();
        }
        if self.answer_at <= now
            && let Some(request) = self.requests.pop_front()
        {
            self.answer_at = now.plus_ms(CALL_MS);
            let id = request.step.submission.0;
            let allowed = request.workers.into_iter().filter(|it| is_allowed(id, it));
            let allowed = allowed.map(|it| (it, "ticket".to_owned())).collect();
            let valid_until = now.plus_ms(TICKET_VALID_MS);
            let reply = TicketReply { step: request.step, allowed, valid_until };
            self.rig.planner.tickets_received(reply, now);
        }
        self.rig.planner.tick(now);
        let actions = self.rig.planner.take_actions();
        self.asked += actions.ticket_requests.len();
        if self.requests.is_empty() {
            self.answer_at = self.answer_at.max(now.plus_ms(CALL_MS));
        }
        self.requests.extend(actions.ticket_requests);
        let started = actions.orders.into_iter().filter_map(|(worker, order)| match order {
            mustardcove_core::fleet::message::Order::Start(it) => {
                let run = (it.run, 0, 0);
                self.rig.workers.get_mut(&worker).expect("a worker").running.insert(it.task, run);
                Some(it.task.step.submission.0)
            }
            _ => None,
        });
        started.collect()
    }
}

/// Only the worker that suits the step least may run it.
#[test]
fn permitted_worker_last() {
    let mut world = World::new(70);
    let now = world.rig.now;
    world.rig.submit(single(1, 0, step(1, 500, &[]), now));
    let waited_ms = world.wait_ms(1, |_, worker| worker.as_str() == "w0000");
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms after {} requests", world.asked);
}

/// Steps of more important queues that no worker may run ask again and again.
#[test]
fn hopeless_ahead() {
    let mut world = World::new(10);
    let now = world.rig.now;
    let accepted_at = Timestamp(now.0 - 30_000);
    for id in 2..22 {
        world.rig.submit(single(id, 0, step(1, 500, &[]), accepted_at));
    }
    world.rig.submit(single(1, 2, step(1, 500, &[]), accepted_at));
    let waited_ms = world.wait_ms(1, |id, _| id == 1);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms after {} requests", world.asked);
}

/// A step whose request is pending, or was a moment ago, is not compared with all
/// workers for the next one.
#[test]
fn pending_scores() {
    let workers = 1_000;
    let mut world = World::new(workers);
    let now = world.rig.now;
    let backlog = 50;
    for id in 0..backlog {
        world.rig.submit(single(id, 0, step(1, 500, &[]), now));
    }
    let nobody = |_: u64, _: &WorkerId| false;
    for _ in 0..10 {
        world.advance(nobody);
    }
    let before = world.rig.planner.counts(world.rig.now).scored_workers;
    let rounds = 10;
    for _ in 0..rounds {
        world.advance(nobody);
    }
    let scored = world.rig.planner.counts(world.rig.now).scored_workers - before;
    // Requests that are made compare 60 candidates.
    let most = rounds * backlog * 2 * workers as u64 + 2 * 61 * workers as u64;
    assert!(scored <= most, "{scored} scored, at most {most}");
}
