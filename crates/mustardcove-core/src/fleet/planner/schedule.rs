//! What the passing of time brings: due occurrences, overdue runs and stops,
//! and the placing of waiting tasks.

use std::{borrow::Cow, cmp::Reverse, collections::BTreeMap, sync::Arc};

use super::{
    DecisionKind, LEASE_MARGIN_MS, Planner, RunKey, STOP_RETRY_MS, UNCONFIRMED_MS, charge_kind,
    placing::{self, Request},
    waiting::{Rank, Waiting},
    work::{Phase, Run, Work, WorkerIndex},
    workers::{ChargeKind, Charged},
};
use crate::{
    fleet::{
        id::{RunNumber, StepKey, SubmissionId, TaskKey},
        message::{Order, StartOrder},
        poller::MAX_START_LEASE_MS,
        submission::{StepSpec, Submission, SubmissionState},
    },
    time::Timestamp,
};

/// A task that fills at this pace or less is moved if it can be, in percent.
const HINDERED_PERCENT: u8 = 30;
/// How long it has had that pace by then, in milliseconds: loads that swing
/// give room again within seconds, and a move costs a restore.
const HINDERED_MS: u64 = 1_000;
/// Progress beyond which a task that saves none is not moved, in percent.
const SUNK_PERCENT: u8 = 15;
/// Most moves ordered at once; each changes the room that the next one sees.
const MAX_MOVES: u32 = 4;

/// Workers considered for a question to the recommendation service.
const MAX_CANDIDATES: usize = 60;

/// Share of the open workers that may be kept free for tasks that fit nowhere,
/// in percent and rounded up: a burst of large tasks finds room, and most work
/// goes on.
const MAX_RESERVED_PERCENT: usize = 15;

/// Steps that may look for workers to keep free in one round, so that a long
/// backlog costs little.
const MAX_RESERVE_TRIES: u32 = 40;

/// A step that waits, with what its placement needs.
struct Candidate {
    rank: Rank,
    key: StepKey,
}

/// One round of placing.
///
/// Demands for which no worker was found are remembered. What asks for at
/// least as much of the same is not tried, so that a long backlog costs little.
struct Round<'a> {
    open: &'a [WorkerIndex],
    /// The open workers that are not kept free for a step.
    unreserved: Vec<WorkerIndex>,
    is_scarce: bool,
    /// How many more workers may be kept free.
    reservable: usize,
    /// How many more steps may look for workers to keep free.
    reserve_tries: u32,
    demands: Vec<(String, StepSpec)>,
}

impl Round<'_> {
    /// Returns the workers on which a step may start that has `kept` ones kept
    /// free for it.
    fn usable(&self, spec: &StepSpec, rank: Rank, kept: &[WorkerIndex]) -> Cow<'_, [WorkerIndex]> {
        if spec.is_best_effort || rank.may_use_reserved(spec.is_long_running) {
            Cow::Borrowed(self.open)
        } else if kept.is_empty() {
            Cow::Borrowed(&self.unreserved)
        } else {
            self.unreserved.iter().chain(kept).copied().collect()
        }
    }

    fn covers(&self, service: &str, step: &StepSpec) -> bool {
        let is_alike = |it: &StepSpec| {
            it.is_best_effort == step.is_best_effort
                && it.is_long_running == step.is_long_running
                && it.image == step.image
                && it.requirement == step.requirement
                && it.demand.fits_in(step.demand)
        };
        self.demands.iter().any(|(of, it)| of == service && is_alike(it))
    }

    fn note(&mut self, service: &str, step: &StepSpec) {
        // Limits on tasks of one step say nothing about other steps.
        if step.max_per_worker.is_none() {
            self.demands.push((service.to_owned(), step.clone()));
        }
    }
}

/// The tasks of a step that wait for a worker.
#[derive(Clone)]
struct Batch {
    key: StepKey,
    service: String,
    needs_ticket: bool,
    /// Index and worker to avoid of each task that waits.
    tasks: Vec<(u16, Option<WorkerIndex>)>,
    /// Tasks of the step by worker.
    placed: BTreeMap<WorkerIndex, u32>,
    /// Whether most of the room is taken.
    is_scarce: bool,
}

impl Batch {
    fn new(key: StepKey, work: &Work, is_scarce: bool) -> Batch {
        Batch {
            key,
            service: work.queue.service.clone(),
            needs_ticket: work.queue.needs_ticket,
            tasks: Vec::new(),
            placed: BTreeMap::new(),
            is_scarce,
        }
    }
}

impl Planner {
    /// Does what is due and places what can be placed.
    pub fn tick(&mut self, now: Timestamp) {
        let scheduled: Vec<SubmissionId> = self.scheduled.iter().copied().collect();
        for id in scheduled {
            self.begin_due(id, now);
        }
        self.give_up_unconfirmed(now);
        self.repeat_stops(now);
        self.end_leases(now);
        let open: Vec<WorkerIndex> = (0..self.workers.len())
            .filter(|it| placing::is_open(&self.workers[*it], now))
            .collect();
        if !open.is_empty() {
            self.place(&open, now);
            self.move_hindered(&open, now);
        }
    }

    pub(super) fn begin_due(&mut self, id: SubmissionId, now: Timestamp) {
        let Some(work) = self.work.get_mut(&id) else { return };
        let begun = work.begin_due(now);
        if work.next_occurrence == work.submission.occurrences() {
            self.scheduled.remove(&id);
        }
        for occurrence in begun {
            self.waiting.extend(work.submission.step_keys(occurrence));
        }
    }

    fn give_up_unconfirmed(&mut self, now: Timestamp) {
        let is_due = |it: (&RunKey, &Timestamp)| (*it.1 <= now).then_some(*it.0);
        let due: Vec<RunKey> = self.unconfirmed.iter().filter_map(is_due).collect();
        for (worker, task, run) in due {
            self.stop(worker, task, run, "start not confirmed", now);
        }
    }

    fn repeat_stops(&mut self, now: Timestamp) {
        for ((worker, task, run), stopping) in &mut self.stops {
            let worker = &self.workers[*worker];
            if stopping.is_confirmed || now < stopping.retry_at || worker.is_silent {
                continue;
            }
            stopping.retry_at = now.plus_ms(STOP_RETRY_MS);
            let order = Order::Stop { task: *task, run: *run };
            self.actions.orders.push((worker.listing.worker.clone(), order));
        }
    }

    /// Gives up what runs on workers that were silent until their lease ended.
    fn end_leases(&mut self, now: Timestamp) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.charged.is_empty() || now < worker.runs_expire_by().plus_ms(LEASE_MARGIN_MS) {
                continue;
            }
            let lost: Vec<TaskKey> = worker.charged.keys().copied().collect();
            self.stops.retain(|key, _| key.0 != index);
            self.unconfirmed.retain(|key, _| key.0 != index);
            for task in lost {
                self.run_over(index, task, "silent until its lease ended", now);
            }
        }
    }

    /// Returns whether every worker of a pool was looked at in this term, or
    /// can run nothing of an earlier one.
    fn is_all_fenced(&self, service: &str, now: Timestamp) -> bool {
        let is_fenced =
            |it: &super::Worker| it.incarnation.is_some() || it.listing.service != service;
        self.uncertain_until <= now || self.workers.iter().all(is_fenced)
    }

    fn place(&mut self, open: &[WorkerIndex], now: Timestamp) {
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(|it| it.rank);
        let mut round = self.begin_round(open, now);
        for candidate in candidates {
            self.place_step(&candidate, &mut round, now);
        }
    }

    /// Drops what is kept free for steps that wait no more, and returns the
    /// state of a round.
    fn begin_round<'a>(&mut self, open: &'a [WorkerIndex], now: Timestamp) -> Round<'a> {
        let mut reserved = std::mem::take(&mut self.reserved);
        reserved.retain(|worker, key| {
            let waiting = self.waiting_step(*key);
            waiting.is_some_and(|it| it.rank(now).is_worthwhile())
                && open.binary_search(worker).is_ok()
        });
        self.reserved = reserved;
        let is_free = |it: &WorkerIndex| !self.reserved.contains_key(it);
        let most_reserved = (open.len() * MAX_RESERVED_PERCENT).div_ceil(100);
        Round {
            open,
            unreserved: open.iter().copied().filter(is_free).collect(),
            is_scarce: placing::is_scarce(open.iter().map(|it| &self.workers[*it])),
            reservable: most_reserved.saturating_sub(self.reserved.len()),
            reserve_tries: MAX_RESERVE_TRIES,
            demands: Vec::new(),
        }
    }

    /// Stops tasks that fill and hardly work where they are, if another worker
    /// has room for them: the last task of a step decides when it ends.
    fn move_hindered(&mut self, open: &[WorkerIndex], now: Timestamp) {
        let mut moves = 0;
        for index in 0..self.workers.len() {
            let hindered = self.workers[index].charged.iter().filter(|(_, it)| {
                it.kind == ChargeKind::Fills
                    && it.pace <= HINDERED_PERCENT
                    && HINDERED_MS <= now.ms_since(it.paced_at)
            });
            let hindered: Vec<(TaskKey, RunNumber)> =
                hindered.map(|(task, it)| (*task, it.run)).collect();
            for (task, run) in hindered {
                if self.has_better_place(index, task, run, open, now) {
                    self.stop_here(index, task, run, "hardly works beside tasks that serve", now);
                    moves += 1;
                }
                if moves == MAX_MOVES {
                    return;
                }
            }
        }
    }

    fn has_better_place(
        &self,
        index: WorkerIndex,
        task: TaskKey,
        run: RunNumber,
        open: &[WorkerIndex],
        now: Timestamp,
    ) -> bool {
        let Some(current) = self.current_run(index, task, run) else { return false };
        let Some(work) = self.work.get(&task.step.submission) else { return false };
        let spec = &work.submission.steps[usize::from(task.step.step)];
        let is_movable = current.is_confirmed
            && (spec.saves_progress || current.percent < SUNK_PERCENT)
            && !self.stops.contains_key(&(index, task, run));
        if !is_movable {
            return false;
        }
        // Scarce room changes nothing for work that fills.
        let batch = Batch::new(task.step, work, false);
        let others: Vec<WorkerIndex> = open.iter().copied().filter(|it| *it != index).collect();
        self.choose(&batch, spec, None, &others, now).is_some()
    }

    /// Returns the steps that wait, and forgets those that do not.
    fn candidates(&mut self, now: Timestamp) -> Vec<Candidate> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut candidates = Vec::with_capacity(waiting.len());
        for key in waiting {
            if let Some(waiting) = self.waiting_step(key) {
                self.waiting.insert(key);
                candidates.push(Candidate { rank: waiting.rank(now), key });
            }
        }
        candidates
    }

    fn waiting_step(&self, key: StepKey) -> Option<Waiting> {
        let work = self.work.get(&key.submission)?;
        let occurrence = work.occurrence(key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        if !step.is_ready || !step.tasks.iter().any(|it| it.is_waiting()) {
            return None;
        }
        let spec = &work.submission.steps[usize::from(key.step)];
        Some(Waiting {
            key,
            priority: work.queue.priority,
            due_at: occurrence.due_at,
            objective_at: occurrence.objective_at,
            chain_left_ms: step.chain_ms,
            is_long_running: spec.is_long_running,
            may_have_run: !work.is_known_unstarted
                || step.tasks.iter().any(|it| it.is_waiting() && it.last_run != RunNumber(0)),
            is_new: work.state == SubmissionState::Queued,
        })
    }

    fn batch(&self, key: StepKey, is_scarce: bool, now: Timestamp) -> Option<Batch> {
        let work = self.work.get(&key.submission)?;
        let spec = &work.submission.steps[usize::from(key.step)];
        if !work.is_known_unstarted && !self.is_all_fenced(&work.queue.service, now) {
            return None;
        }
        let step = &work.occurrence(key.occurrence)?.steps[usize::from(key.step)];
        let mut batch = Batch::new(key, work, is_scarce);
        for (i, task) in step.tasks.iter().enumerate() {
            match &task.phase {
                Phase::Waiting if task.not_before <= now => {
                    batch.tasks.push((i as u16, task.avoid));
                }
                Phase::Placed(run) => *batch.placed.entry(run.worker).or_default() += 1,
                Phase::Waiting | Phase::Done => {}
            }
        }
        // Members of a gang only work together, so they start together.
        let is_incomplete = spec.is_gang && batch.tasks.len() < usize::from(spec.count);
        (!batch.tasks.is_empty() && !is_incomplete).then_some(batch)
    }

    fn place_step(&mut self, candidate: &Candidate, round: &mut Round<'_>, now: Timestamp) {
        let key = candidate.key;
        let Some(work) = self.work.get(&key.submission) else { return };
        let submission = work.submission.clone();
        let spec = &submission.steps[usize::from(key.step)];
        let needs_ticket = work.queue.needs_ticket;
        let wants_room = !spec.is_best_effort
            && !spec.is_long_running
            && !needs_ticket
            && candidate.rank.is_worthwhile();
        let kept = if wants_room { self.kept_for(key) } else { Vec::new() };
        if !needs_ticket && kept.is_empty() && round.covers(&work.queue.service, spec) {
            if wants_room {
                let service = work.queue.service.clone();
                let tasks = work.occurrence(key.occurrence).map_or(0, |it| it.waiting(key.step));
                self.reserve(key, &service, spec, tasks, round);
            }
            return;
        }
        let Some(mut batch) = self.batch(key, round.is_scarce, now) else { return };
        let open = round.usable(spec, candidate.rank, &kept);
        let tasks = std::mem::take(&mut batch.tasks);
        let mut chosen: Vec<(u16, WorkerIndex)> = Vec::with_capacity(tasks.len());
        let mut is_refused = false;
        for (index, avoid) in tasks.iter().copied() {
            let Some(worker) = self.choose(&batch, spec, avoid, &open, now) else {
                if batch.needs_ticket {
                    self.ask_for(&batch, spec, &open, now);
                }
                is_refused = !batch.needs_ticket && batch.placed.is_empty();
                break;
            };
            let task = TaskKey { step: key, index };
            let charged = self.charged(spec, RunNumber::default());
            self.workers[worker].charge(task, charged);
            self.workers[worker].trust.started(now);
            self.refresh_serving(worker, now);
            *batch.placed.entry(worker).or_default() += 1;
            chosen.push((index, worker));
        }
        if is_refused {
            round.note(&batch.service, spec);
        }
        let left = tasks.len() - chosen.len();
        if spec.is_gang && 0 < left {
            for (index, worker) in chosen.drain(..) {
                self.workers[worker].release(TaskKey { step: key, index });
            }
        }
        if 0 < left && wants_room {
            self.reserve(key, &batch.service, spec, left - kept.len().min(left), round);
        }
        if !chosen.is_empty() {
            self.start(&submission, key, &chosen, now);
        }
    }

    fn kept_for(&self, key: StepKey) -> Vec<WorkerIndex> {
        self.reserved.iter().filter(|it| *it.1 == key).map(|it| *it.0).collect()
    }

    /// Keeps workers free for the tasks of a step that fit nowhere now: one for
    /// each, or for a gang as many as it has members or none.
    ///
    /// Under load, small tasks take every hole before it is large enough for a
    /// large task. Until the step is placed, only work that lasts and ran
    /// before, and work that fills, starts on the workers that are kept.
    fn reserve(
        &mut self,
        key: StepKey,
        service: &str,
        spec: &StepSpec,
        tasks: usize,
        round: &mut Round<'_>,
    ) {
        let members = usize::from(spec.count);
        let count = if spec.is_gang { members } else { tasks.min(round.reservable) };
        if round.reservable < count || count == 0 || round.reserve_tries == 0 {
            return;
        }
        round.reserve_tries -= 1;
        let charge = spec.allocation();
        let is_suited = |it: &WorkerIndex| {
            let worker = &self.workers[*it];
            // A hole that a single end leaves need not be kept.
            let needs_keeping = spec.is_gang || !charge.fits_in(placing::room_after_one(worker));
            let fits_soon = charge.fits_in(placing::room_soon(worker));
            placing::is_eligible(worker, spec, service) && needs_keeping && fits_soon
        };
        let mut kept: Vec<WorkerIndex> =
            round.unreserved.iter().copied().filter(is_suited).collect();
        if spec.is_gang && kept.len() < count {
            return;
        }
        // Where most is free already, the task fits soonest.
        kept.sort_by_key(|it| Reverse(self.workers[*it].free().cpu));
        kept.truncate(count);
        round.reservable -= kept.len();
        round.unreserved.retain(|it| !kept.contains(it));
        self.reserved.extend(kept.into_iter().map(|it| (it, key)));
    }

    /// Asks for permission to run a step on workers that could.
    fn ask_for(&mut self, batch: &Batch, spec: &StepSpec, open: &[WorkerIndex], now: Timestamp) {
        let unrestricted = Batch { needs_ticket: false, ..batch.clone() };
        let mut rest = open.to_vec();
        let mut candidates = Vec::new();
        while let Some(best) = self.choose(&unrestricted, spec, None, &rest, now) {
            rest.retain(|it| *it != best);
            candidates.push(best);
            if MAX_CANDIDATES <= candidates.len() {
                break;
            }
        }
        self.ask(batch.key, &candidates, now);
    }

    fn choose(
        &self,
        batch: &Batch,
        spec: &StepSpec,
        avoid: Option<WorkerIndex>,
        open: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<WorkerIndex> {
        let first = batch.placed.keys().next().filter(|_| spec.wants_same_rack);
        let rack = first.and_then(|it| self.workers[*it].listing.labels.last());
        let image = spec.image.as_ref().and_then(|it| self.interference.known_image(it));
        let score = |index: &WorkerIndex| {
            let worker = &self.workers[*index];
            if !worker.trust.may_start(now) {
                return None;
            }
            if batch.needs_ticket {
                self.tickets.ticket(batch.key, *index, worker.incarnation, now)?;
            }
            let req = Request {
                step: spec,
                service: &batch.service,
                kind: charge_kind(spec),
                image,
                interference: &self.interference,
                avoid,
                rack: rack.map(String::as_str),
                same_step: batch.placed.get(index).copied().unwrap_or(0),
                is_scarce: batch.is_scarce,
            };
            placing::score(worker, *index, req).map(|it| (it, *index))
        };
        open.iter().filter_map(score).max().map(|it| it.1)
    }

    fn start(
        &mut self,
        submission: &Arc<Submission>,
        key: StepKey,
        chosen: &[(u16, WorkerIndex)],
        now: Timestamp,
    ) {
        let spec = &submission.steps[usize::from(key.step)];
        let run_base = self.run_base;
        let charged = self.charged(spec, RunNumber::default());
        let Some(work) = self.work.get_mut(&key.submission) else { return };
        let becomes_running = work.state == SubmissionState::Queued;
        if becomes_running {
            work.state = SubmissionState::Running;
            self.actions.states.push((key.submission, SubmissionState::Running));
        }
        let waited_ms = now.ms_since(work.known_since);
        let gang_run = spec.is_gang.then(|| next_gang_run(work, key, run_base));
        for (index, worker) in chosen.iter().copied() {
            let task = TaskKey { step: key, index };
            let Some(slot) = work.task_mut(task) else { continue };
            let run = gang_run.unwrap_or(next_run(slot.last_run, run_base));
            slot.last_run = run;
            slot.phase = Phase::Placed(Run::new(worker, run, now));
            let order = StartOrder {
                task,
                run,
                payload: submission.payload.clone(),
                checkpoint: slot.checkpoint.clone(),
                ticket: self
                    .tickets
                    .ticket(key, worker, self.workers[worker].incarnation, now)
                    .map(str::to_owned),
            };
            self.workers[worker].charge(task, Charged { run, ..charged });
            self.unconfirmed.insert((worker, task, run), now.plus_ms(UNCONFIRMED_MS));
            self.workers[worker].ordered_leases_expire_by = now.plus_ms(MAX_START_LEASE_MS);
            let id = self.workers[worker].listing.worker.clone();
            self.actions.orders.push((id, Order::Start(order)));
        }
        let first = self.worker_id(chosen[0].1);
        self.decide(DecisionKind::Started, Some(key.submission), Some(first), || {
            format!("step={key} tasks={} of={} waited_ms={waited_ms}", chosen.len(), spec.count)
        });
    }
}

fn next_run(last: RunNumber, base: u64) -> RunNumber {
    RunNumber(last.0.max(base) + 1)
}

fn next_gang_run(work: &Work, key: StepKey, base: u64) -> RunNumber {
    let step = work.occurrence(key.occurrence).map(|it| &it.steps[usize::from(key.step)]);
    let last = step.and_then(|it| it.tasks.iter().map(|it| it.last_run).max());
    next_run(last.unwrap_or_default(), base)
}
