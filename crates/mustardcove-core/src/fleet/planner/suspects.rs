//! Tasks that may have crashed the worker on which they ran.
//!
//! A task may crash each worker that starts it. Such an end is listed nowhere,
//! so without a record of it the task would crash one worker after the other,
//! and everything beside it would be lost each time.
//!
//! **What a crash is.** A worker has crashed if its incarnation is proven to
//! have ended and it was not draining. Silence proves nothing: the worker may
//! be cut off. Proofs are another worker at its address, its next incarnation,
//! and a later worker on its host.
//!
//! **Which task it was.** Of the runs on a crashed worker, those are suspected
//! that no two polls had listed yet, since such tasks crash what starts them.
//! If there are none, it is those that were beside a crash before. A suspected
//! task runs next in isolation: from its start until two polls have listed
//! it, nothing else starts on its worker, and nothing else there is new. A
//! crash then has one suspect, and sound tasks are cleared by their first
//! polls. Both are counted in polls and not in time, so that reports which are
//! handled late clear nobody.
//!
//! **How long they wait.** When several workers crash together, tens of sound
//! tasks are suspected, and one isolated worker for each would keep most of
//! them waiting for many seconds. Tasks against which there is only one such
//! crash therefore start in groups, as in group testing (R. Dorfman, "The
//! Detection of Defective Members of Large Populations", 1943): a group whose
//! worker goes on working is cleared at once, and the members of one under
//! which it crashes get a worker each. The more of the pool is free, the more
//! workers may be isolated.
//!
//! Hundreds of suspects still outnumber the workers that can be isolated. So a
//! task against which there is little starts among others if users miss a run of
//! it (`released`), and those that were beside a task which is found to have
//! crashed their worker need no isolation (`explained`).
//!
//! A task is given up after [`CRASHES`] crashes of which it was a suspect, if it
//! was the only new run in [`SOLE_CRASHES`] of them, on hosts that had not
//! crashed shortly before, or if an earlier leader may have started it, which
//! may have been lost before it noticed a crash; otherwise after
//! [`MAX_CRASHES`]. A sound task would have to begin on that many workers just
//! before each fails by itself.
//!
//! **What outlives the leader.** A run of a suspected task is stored with its
//! worker before it is ordered, and the runs that become suspected by the
//! silence of their worker are stored at once. A new leader thus finds each
//! run whose outcome is open, and judges it by what became of its worker.
//! While the store is away, suspected tasks wait and no worker is kept for them.
//! While it is slow, a start waits for its record, however long that takes. Lost is only a crash whose
//! leader is lost before it has noticed the silence of the worker.
//!
//! See `docs/platform.md`, section 6.

mod counts;
mod explained;
mod failed_searches;
mod released;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use strum::Display;

use self::{explained::Crashes, failed_searches::FailedSearches};
use super::{
    DecisionKind, Planner,
    choice::PendingTasks,
    earlier_leases::EarlierLeases,
    is_stored,
    placement::{self, Obstacle},
    rank::Rank,
    work::{Phase, Task, WorkerIndex},
    workers::Worker,
};
use crate::{
    fleet::{
        id::{Incarnation, RunNumber, StepKey, SubmissionId, TaskKey},
        message::StartOrder,
        record::{CrashedRun, OpenRun, SuspectTask},
        submission::{StepSpec, Submission, SubmissionState},
    },
    id::HostId,
    size::Resources,
    time::Timestamp,
};

/// Polls that have to list a run before it no longer counts as new: a task that
/// crashes its worker at the start is listed once at most.
pub(super) const PROVEN_LISTINGS: u32 = 2;
/// Polls that have to list a run before the earlier crashes of its task are
/// forgotten: several seconds of work.
const CLEARED_LISTINGS: u32 = 20;
/// Crashes after which a task is given up if the evidence is clear, or further
/// crashes may not be known.
const CRASHES: usize = 3;
/// How many of them need to have the task as the only new run.
const SOLE_CRASHES: usize = 2;
/// Crashes after which a task is given up in any case.
const MAX_CRASHES: usize = 4;
/// Longest time for which a task waits for what becomes of its silent worker if
/// it would be given up for another crash, in milliseconds: workers that have
/// crashed are back within seconds, and users accept 9 s without a run.
const OPEN_WAIT_MS: u64 = 8_000;
/// Time after the crash of a host in which another one may be its own fault, in
/// milliseconds.
const HOST_PROBATION_MS: u64 = 30_000;
/// Most of a pool's usable workers that may be isolated at once, in percent and
/// rounded up; one more for a task that can start at once. For such tasks it is
/// half of the free share of the pool if that is more, since other work has room
/// enough then, and all of it for those of which users miss a run.
const MAX_ISOLATED_PERCENT: u64 = 15;
/// Most tasks that are isolated together, while there is little against any of
/// them. Larger groups clear sound tasks faster, but a crash costs each other
/// member a turn of its own.
const MAX_GROUP: usize = 4;
/// Tasks that are looked at for a group.
const MAX_GROUP_CANDIDATES: usize = 32;
/// Longest time for which a worker is kept free of new starts for a task that
/// still waits for it, in milliseconds: a few polls.
const CLAIM_TIMEOUT_MS: u64 = 3_000;
/// Searches for a worker in one round, each of which scores all of them.
const MAX_SEARCHES: u32 = 4;
/// Time until a worker is looked for again after none was found, in
/// milliseconds.
const SEARCH_PAUSE_MS: u64 = 300;
/// Longest time for which a start waits for its record while writes of it fail or
/// no progress is written, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 1_500;

/// What is known against a task.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Suspicion {
    /// Runs under which a worker has crashed.
    crashed_runs: Vec<CrashedRun>,
    /// Runs whose worker may crash, or may have crashed.
    open_runs: Vec<OpenRun>,
    /// Those of the crashed runs whose crash is put down to another task.
    explained_runs: Vec<RunNumber>,
    /// The change that has to be stored before the task is placed again.
    change: u64,
    /// The last change that only removed a run which never began. A record that
    /// still names the run is replaced before the next one begins.
    removal: u64,
    /// No worker is looked for before this time.
    try_at: Timestamp,
    /// Whether a claim has expired since its last start.
    is_retry: bool,
    /// The task does not wait for its open runs after this time.
    wait_until: Timestamp,
    /// Since when the task has had no run, as far as this leader knows.
    idle_since: Timestamp,
}

impl Suspicion {
    /// Returns the suspicion that an earlier leader stored. It waits for what
    /// becomes of a worker until no run of an earlier leader goes on there.
    pub(super) fn restored(
        record: &SuspectTask,
        earlier_leases: &EarlierLeases,
        now: Timestamp,
    ) -> Suspicion {
        let workers = record.open_runs.iter().map(|it| &it.worker);
        let undecided_until = workers.map(|it| earlier_leases.undecided_until(it));
        Suspicion {
            crashed_runs: record.crashed_runs.clone(),
            open_runs: record.open_runs.clone(),
            wait_until: undecided_until.max().unwrap_or_default(),
            idle_since: now,
            ..Suspicion::default()
        }
    }

    /// Returns the record of the suspicion.
    pub(super) fn record(&self, occurrence: u32, step: u16, index: u16) -> SuspectTask {
        SuspectTask {
            occurrence,
            step,
            index,
            crashed_runs: self.crashed_runs.clone(),
            open_runs: self.open_runs.clone(),
        }
    }

    /// Returns the highest run number that it mentions.
    pub(super) fn last_run(&self) -> RunNumber {
        let crashed = self.crashed_runs.iter().map(|it| it.run);
        crashed.chain(self.open_runs.iter().map(|it| it.run)).max().unwrap_or_default()
    }

    fn is_empty(&self) -> bool {
        self.crashed_runs.is_empty() && self.open_runs.is_empty()
    }

    /// Returns whether the task need not be isolated, since every crash under it
    /// is put down to another task, and one more would not give it up.
    fn is_cleared(&self, are_all_known: bool) -> bool {
        let is_explained = |it: &CrashedRun| self.explained_runs.contains(&it.run);
        let needed = if are_all_known { MAX_CRASHES } else { CRASHES };
        self.open_runs.is_empty()
            && self.crashed_runs.iter().all(is_explained)
            && self.crashed_runs.len() + 1 < needed
    }

    /// Returns whether the task is given up, given whether all crashes under it
    /// are known.
    fn is_given_up(&self, are_all_known: bool) -> bool {
        let sole = self.crashed_runs.iter().filter(|it| it.is_sole).count();
        is_too_many(self.crashed_runs.len(), sole, are_all_known)
    }

    /// Returns whether the task would be given up if the workers of all its open
    /// runs had crashed.
    fn may_be_given_up(&self, are_all_known: bool) -> bool {
        let are_sole = self.crashed_runs.iter().map(|it| it.is_sole);
        let are_sole = are_sole.chain(self.open_runs.iter().map(|it| it.is_sole));
        let crashes = self.crashed_runs.len() + self.open_runs.len();
        is_too_many(crashes, are_sole.filter(|it| *it).count(), are_all_known)
    }

    /// Returns whether so little speaks against the task that it may be isolated
    /// together with others like it: one crash in which it was not the only
    /// suspect. A sound task is then beside a second crash at most before it
    /// gets a turn of its own.
    fn is_weak(&self) -> bool {
        let crashes = self.crashed_runs.len() + self.open_runs.len();
        crashes <= 1 && !self.crashed_runs.iter().any(|it| it.is_sole)
    }

    /// Returns whether the task has to wait for what becomes of a worker. While
    /// it would start again whatever that is, nothing is won by a wait.
    fn is_undecided(&self, are_all_known: bool, now: Timestamp) -> bool {
        !self.open_runs.is_empty() && now < self.wait_until && self.may_be_given_up(are_all_known)
    }
}

/// Returns whether a task is given up after so many crashes, of which it was the
/// only suspect in `sole`.
fn is_too_many(crashes: usize, sole: usize, are_all_known: bool) -> bool {
    let is_enough = SOLE_CRASHES <= sole || !are_all_known;
    (CRASHES <= crashes && is_enough) || MAX_CRASHES <= crashes
}

/// What a suspected task waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum SuspectWait {
    /// What becomes of a worker that may have crashed under it.
    Undecided,
    /// The record of what is known against it.
    Unstored,
    /// The record of its next run.
    Withheld,
    /// The worker that is isolated for it.
    Claimed,
    /// A worker that can be isolated for it.
    Unclaimed,
}

/// A start that is ordered once its record is stored; the members of a gang
/// start together.
#[derive(Clone, Debug)]
struct WithheldStart {
    step: StepKey,
    /// The change that has to be stored first.
    change: u64,
    expires_at: Timestamp,
    /// Each order with its worker, and the incarnation that it is meant for.
    orders: Vec<(WorkerIndex, Option<Incarnation>, StartOrder)>,
}

/// A worker that is kept free of new starts for suspected tasks.
#[derive(Clone, Debug)]
struct Claim {
    /// The tasks that start there together.
    tasks: Vec<TaskKey>,
    /// When it ends for tasks that still wait then.
    expires_at: Timestamp,
}

/// How many workers of a pool may be isolated at once.
#[derive(Clone, Copy, Debug)]
struct IsolationLimit {
    /// For tasks that wait for the end of other work there.
    most_kept: usize,
    /// For tasks that can start at once.
    most: usize,
    /// For those of them of which users miss a run.
    most_idle: usize,
    /// How many are isolated.
    claims: usize,
}

/// The suspected tasks, and the workers that are isolated for them.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    tasks: BTreeSet<TaskKey>,
    claims: BTreeMap<WorkerIndex, Claim>,
    withheld: Vec<WithheldStart>,
    /// Hosts on which workers crashed, each with the times until which another
    /// crash may be its own fault.
    host_probation: HashMap<HostId, Vec<Timestamp>>,
    /// The crashes that no task explains yet.
    unexplained: Crashes,
    /// Number of workers that crashed.
    crashes: u64,
    /// Whether service discovery was read since the hosts were compared.
    is_list_new: bool,
    /// The pools of which under half of the capacity was in use in this round.
    mostly_free: BTreeSet<String>,
    /// When the waits are logged next.
    log_at: Timestamp,
    /// When a write of progress was last seen in flight.
    written_at: Timestamp,
}

impl Suspects {
    /// Records that service discovery was read.
    pub(super) fn listed(&mut self) {
        self.is_list_new = true;
    }

    /// Adds a task whose suspicion was restored.
    pub(super) fn add(&mut self, task: TaskKey) {
        self.tasks.insert(task);
    }

    /// Removes a task that is done.
    pub(super) fn remove_task(&mut self, task: TaskKey) {
        self.tasks.remove(&task);
    }

    /// Removes the tasks of a submission that has ended.
    pub(super) fn remove(&mut self, id: SubmissionId) {
        self.tasks.retain(|it| it.step.submission != id);
        self.withheld.retain(|it| it.step.submission != id);
    }

    /// Returns the number of suspected tasks.
    pub(super) fn count(&self) -> usize {
        self.tasks.len()
    }

    /// Returns how many workers have crashed.
    pub(super) fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Returns whether a worker is kept free of new starts.
    pub(super) fn is_isolated(&self, index: WorkerIndex) -> bool {
        self.claims.contains_key(&index)
    }

    fn is_claimed(&self, task: TaskKey) -> bool {
        self.claims.values().any(|it| it.tasks.contains(&task))
    }

    /// Returns whether a run that starts on a worker is the only new one there.
    fn is_alone(&self, index: WorkerIndex) -> bool {
        self.claims.get(&index).is_none_or(|it| it.tasks.len() == 1)
    }

    /// Returns whether no crash of a worker's host may have been its own fault
    /// lately.
    pub(super) fn is_worker_sound(&self, worker: &Worker, now: Timestamp) -> bool {
        self.is_host_sound(worker.listing.host.as_ref(), now)
    }

    fn is_host_sound(&self, host: Option<&HostId>, now: Timestamp) -> bool {
        let until = host.and_then(|it| self.host_probation.get(it));
        until.is_none_or(|it| it.iter().all(|it| *it <= now))
    }
}

impl Planner {
    /// Returns the submissions whose records have to be stored before a start or a
    /// suspected task can go on, or name a run that never began, which a new leader
    /// could take for one under which a worker has crashed. Some are returned more
    /// than once.
    pub(super) fn awaited_records(&self) -> impl Iterator<Item = SubmissionId> {
        let withheld = self.suspects.withheld.iter().map(|it| (it.step.submission, it.change));
        let last_change = |it: &Suspicion| it.change.max(it.removal);
        let tasks = self.suspects.tasks.iter();
        let tasks =
            tasks.map(move |it| (it.step.submission, self.suspicion(*it).map_or(0, last_change)));
        withheld.chain(tasks).filter(|it| !is_stored(&self.work, it.0, it.1)).map(|it| it.0)
    }

    /// Returns whether a start of a suspected task may wait for its record: what is
    /// known against it is stored, and the last write of its record did not fail.
    /// While the store is away, no worker is kept for it.
    fn is_recordable(&self, id: SubmissionId, suspicion: &Suspicion) -> bool {
        is_stored(&self.work, id, suspicion.change) && !self.is_record_failing(id)
    }

    fn is_record_failing(&self, id: SubmissionId) -> bool {
        self.work.get(&id).is_some_and(|it| it.is_record_failing)
    }

    /// Returns whether a task has to wait for what becomes of a worker: until the
    /// last of the silent ones has had the time to come back.
    fn is_undecided(&self, task: TaskKey, suspicion: &Suspicion, now: Timestamp) -> bool {
        let back_by = |it: &OpenRun| {
            let silent_since = match self.worker_index.get(&it.worker) {
                Some(index) => self.workers[*index].silent_since,
                None => self.earlier_leases.silent_since(&it.worker),
            };
            Some(silent_since?.plus_ms(OPEN_WAIT_MS))
        };
        let back_by = suspicion.open_runs.iter().map(|it| back_by(it).unwrap_or(Timestamp::MAX));
        suspicion.is_undecided(self.are_crashes_known(task), now)
            && back_by.max().is_none_or(|it| now < it)
    }

    pub(super) fn suspicion(&self, task: TaskKey) -> Option<&Suspicion> {
        self.work.get(&task.step.submission)?.task(task)?.suspicion.as_deref()
    }

    /// Returns what a task waits for because it is suspected; `None` if it is
    /// not.
    pub(super) fn suspect_wait(&self, task: TaskKey, now: Timestamp) -> Option<SuspectWait> {
        let mut withheld = self.suspects.withheld.iter().flat_map(|it| &it.orders);
        if withheld.any(|it| it.2.task == task) {
            return Some(SuspectWait::Withheld);
        }
        let suspicion = self.suspicion(task).filter(|_| !self.is_cleared(task))?;
        let wait = if !self.is_recordable(task.step.submission, suspicion) {
            SuspectWait::Unstored
        } else if self.is_undecided(task, suspicion, now) {
            SuspectWait::Undecided
        } else if self.suspects.is_claimed(task) {
            SuspectWait::Claimed
        } else {
            SuspectWait::Unclaimed
        };
        Some(wait)
    }

    /// Returns whether a task is suspected of crashes that others explain.
    fn is_cleared(&self, task: TaskKey) -> bool {
        let are_all_known = self.are_crashes_known(task);
        self.suspicion(task).is_some_and(|it| it.is_cleared(are_all_known))
    }

    /// Returns whether no earlier leader can have started a task, so that all
    /// crashes under it are known.
    fn are_crashes_known(&self, task: TaskKey) -> bool {
        self.work.get(&task.step.submission).is_some_and(|it| it.is_known_unstarted)
    }

    /// Changes what is known against a task, and has it stored before the task
    /// starts again.
    fn change_suspicion(&mut self, task: TaskKey, change: impl FnOnce(&mut Suspicion)) {
        self.update_suspicion(task, |it, number| {
            change(it);
            it.change = number;
        });
    }

    /// Changes what is known against a task, given the number of the change.
    fn update_suspicion(&mut self, task: TaskKey, update: impl FnOnce(&mut Suspicion, u64)) {
        self.mark_dirty(task.step.submission);
        let number = self.change;
        let Some(slot) = self.task_mut(task) else { return };
        let mut suspicion = slot.suspicion.take().unwrap_or_default();
        update(&mut suspicion, number);
        if suspicion.is_empty() {
            self.suspects.tasks.remove(&task);
        } else {
            slot.suspicion = Some(suspicion);
            self.suspects.tasks.insert(task);
        }
    }

    /// Records that polls have listed a run that the plan has placed there.
    pub(super) fn run_survived(&mut self, task: TaskKey, run: RunNumber, listings: u32) {
        if listings == CLEARED_LISTINGS
            && let Some(slot) = self.task_mut(task)
        {
            slot.was_beside_crash = false;
        }
        if self.suspects.tasks.is_empty() {
            return;
        }
        let Some(suspicion) = self.suspicion(task) else { return };
        let is_cleared = CLEARED_LISTINGS <= listings;
        let is_proven = PROVEN_LISTINGS <= listings;
        let is_open = suspicion.open_runs.iter().any(|it| it.run == run);
        // A start that reached only the worker's next incarnation has crashed
        // none.
        let is_accused = suspicion.crashed_runs.iter().any(|it| it.run == run);
        if is_cleared {
            self.change_suspicion(task, |it| *it = Suspicion::default());
        } else if is_proven && self.is_cleared(task) {
            self.change_suspicion(task, |it| *it = Suspicion::default());
        } else if is_accused || (is_proven && is_open) {
            self.change_suspicion(task, |it| {
                it.crashed_runs.retain(|it| it.run != run);
                it.open_runs.retain(|it| !is_proven || it.run != run);
            });
        }
    }

    /// Records that a run was never started, so that it has crashed nothing. The
    /// next start does not wait for that: its own record is stored before it is
    /// ordered, and no longer names the run.
    pub(super) fn run_not_started(&mut self, task: TaskKey, run: RunNumber) {
        let is_mentioned = |it: &Suspicion| {
            it.open_runs.iter().any(|it| it.run == run)
                || it.crashed_runs.iter().any(|it| it.run == run)
        };
        if self.suspicion(task).is_some_and(is_mentioned) {
            self.update_suspicion(task, |it, number| {
                it.open_runs.retain(|it| it.run != run);
                it.crashed_runs.retain(|it| it.run != run);
                it.removal = number;
            });
        }
    }

    /// Finds the runs that may have crashed a worker which is silent or has
    /// ended, and records that their outcome is open.
    pub(super) fn suspect_runs(&mut self, index: WorkerIndex, now: Timestamp) {
        self.cancel_withheld_at(index, now);
        let worker = &self.workers[index];
        let Some(incarnation) = worker.incarnation.filter(|_| !worker.was_draining) else { return };
        let runs = self.planned_runs(index);
        let new = runs.iter().filter(|it| it.2 < PROVEN_LISTINGS).count();
        let is_suspected = |it: &(TaskKey, RunNumber, u32)| match new {
            0 => self.was_near_crash(it.0),
            _ => it.2 < PROVEN_LISTINGS,
        };
        let suspects: Vec<(TaskKey, RunNumber, u32)> =
            runs.iter().copied().filter(is_suspected).collect();
        if suspects.is_empty() {
            for (task, ..) in runs {
                if let Some(slot) = self.task_mut(task) {
                    slot.was_beside_crash = true;
                }
            }
        }
        let listing = &self.workers[index].listing;
        let open = OpenRun {
            run: RunNumber::default(),
            worker: listing.worker.clone(),
            incarnation,
            host: listing.host.clone(),
            is_sole: new == 1 && self.suspects.is_host_sound(listing.host.as_ref(), now),
        };
        for (task, run, _) in suspects {
            self.record_open(task, OpenRun { run, ..open.clone() }, now);
        }
    }

    /// Returns the runs that the plan has placed on a worker, each with the
    /// number of polls that listed it.
    pub(super) fn planned_runs(&self, index: WorkerIndex) -> Vec<(TaskKey, RunNumber, u32)> {
        let allocations = self.workers[index].allocations.iter();
        let runs = allocations.map(|(task, it)| (*task, it.run, it.listings));
        runs.filter(|it| self.is_planned(index, it.0, it.1)).collect()
    }

    /// Returns whether a task was on a worker that crashed, or may have been.
    fn was_near_crash(&self, task: TaskKey) -> bool {
        let slot = self.work.get(&task.step.submission).and_then(|it| it.task(task));
        slot.is_some_and(|it| it.was_beside_crash || it.suspicion.is_some())
    }

    /// Records that the outcome of a run is open.
    fn record_open(&mut self, task: TaskKey, open: OpenRun, now: Timestamp) {
        let is_recorded = self.suspicion(task).is_some_and(|it| {
            it.crashed_runs.iter().any(|it| it.run == open.run) || it.open_runs.contains(&open)
        });
        if !is_recorded {
            self.change_suspicion(task, |it| {
                it.open_runs.retain(|it| it.run != open.run);
                it.open_runs.push(open);
            });
        }
        if let Some(it) = self.task_mut(task).and_then(|it| it.suspicion.as_mut()) {
            it.wait_until = now.plus_ms(OPEN_WAIT_MS);
            it.idle_since = now;
            it.try_at = now;
            it.is_retry = false;
        }
    }

    /// Judges the open runs of a worker after it has answered as `incarnation`:
    /// those of another one, which has ended, have crashed it; of this one, those
    /// that have ended have not.
    pub(super) fn judge_polled(
        &mut self,
        index: WorkerIndex,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        if self.suspects.tasks.is_empty() {
            return;
        }
        let worker = self.worker_id(index);
        for (task, open) in self.open_runs(|it| it.worker == worker) {
            let is_placed = self.current_run(index, task, open.run).is_some();
            let allocation = self.workers[index].allocations.get(&task);
            let is_listed = is_placed && allocation.is_some_and(|it| 0 < it.listings);
            let is_earlier = open.incarnation != incarnation;
            if is_earlier && !is_listed {
                self.judge_open(task, &open, now);
            } else if is_earlier || (open.incarnation == incarnation && !is_placed) {
                self.change_suspicion(task, |it| it.open_runs.retain(|it| it.run != open.run));
            }
        }
        self.explain_crashes(now);
    }

    /// Judges all open runs of a worker that has ended.
    pub(super) fn judge_ended(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = self.worker_id(index);
        for (task, open) in self.open_runs(|it| it.worker == worker) {
            self.judge_open(task, &open, now);
        }
        self.explain_crashes(now);
    }

    /// Judges the open runs of workers whose host runs a later one. A worker
    /// that still answers has not ended: the next one may begin before it
    /// leaves.
    fn judge_by_host(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.suspects.is_list_new) {
            return;
        }
        let has_later = |open: &OpenRun| {
            let is_later = |it: &Worker| {
                it.is_recorded
                    && it.listing.host == open.host
                    && open.incarnation < it.listing.incarnation
                    && open.worker != it.listing.worker
            };
            open.host.is_some() && self.workers.iter().any(is_later)
        };
        let answers = |open: &OpenRun| {
            let index = self.worker_index.get(&open.worker);
            index.is_some_and(|it| self.workers[*it].responsive_since.is_some())
        };
        for (task, open) in self.open_runs(|it| !answers(it) && has_later(it)) {
            self.judge_open(task, &open, now);
        }
        self.explain_crashes(now);
    }

    fn open_runs(&self, is_wanted: impl Fn(&OpenRun) -> bool) -> Vec<(TaskKey, OpenRun)> {
        let mut open_runs = Vec::new();
        for task in &self.suspects.tasks {
            let Some(suspicion) = self.suspicion(*task) else { continue };
            let wanted = suspicion.open_runs.iter().filter(|it| is_wanted(it));
            open_runs.extend(wanted.map(|it| (*task, it.clone())));
        }
        open_runs
    }

    /// Judges an open run whose worker has ended: unless that was draining, it
    /// has crashed under the run.
    fn judge_open(&mut self, task: TaskKey, open: &OpenRun, now: Timestamp) {
        let index = self.worker_index.get(&open.worker);
        let was_draining = index.is_some_and(|it| self.workers[*it].was_draining);
        let run = open.run;
        self.change_suspicion(task, |it| {
            it.open_runs.retain(|it| it.run != run);
            if !was_draining && !it.crashed_runs.iter().any(|it| it.run == run) {
                it.crashed_runs.push(CrashedRun { run, is_sole: open.is_sole });
            }
        });
        let (id, sole) = (task.step.submission, open.is_sole);
        let are_all_known = self.are_crashes_known(task);
        let Some(suspicion) = self.suspicion(task).filter(|_| !was_draining) else { return };
        let crashes = suspicion.crashed_runs.len();
        let is_given_up = suspicion.is_given_up(are_all_known);
        self.suspects.unexplained.add(open, task, now);
        self.submission_started(id);
        self.log_decision(DecisionKind::RunCrashed, Some(id), Some(open.worker.clone()), || {
            format!("task={task} run={run} sole={sole} crashes={crashes}")
        });
        let is_final = self.work.get(&id).is_none_or(|it| it.state.is_final());
        if is_given_up {
            self.suspects.unexplained.add_culprit(task);
        }
        if is_given_up && !is_final {
            self.finish(id, SubmissionState::Failed, "a task crashed its workers", now);
        }
    }

    /// Records the crash of a worker, for the choice of the next ones.
    pub(super) fn worker_crashed(&mut self, index: WorkerIndex, now: Timestamp) {
        let worker = &self.workers[index];
        if worker.was_draining {
            return;
        }
        self.suspects.crashes += 1;
        if let Some(host) = worker.listing.host.clone() {
            let until = self.suspects.host_probation.entry(host).or_default();
            until.retain(|it| now < *it);
            until.push(now.plus_ms(HOST_PROBATION_MS));
        }
    }

    /// Starts suspected tasks in isolation: those first that wait for the
    /// longest time, so that none holds back the others.
    pub(super) fn start_suspects(&mut self, now: Timestamp) {
        self.send_withheld(now);
        self.release_claims(now);
        if self.suspects.tasks.is_empty() {
            return;
        }
        self.log_suspects(now);
        self.judge_by_host(now);
        let usable: Vec<WorkerIndex> =
            (0..self.workers.len()).filter(|it| self.may_order(*it, now)).collect();
        self.suspects.mostly_free = self.mostly_free_pools();
        let mut pools = self.isolation_limits(&usable);
        let claimed: Vec<WorkerIndex> = self.suspects.claims.keys().copied().collect();
        for worker in claimed {
            self.start_claimed(worker, now);
        }
        let waiting = self.waiting_suspects(now);
        let mut searches = 0;
        let mut failed = FailedSearches::default();
        for (i, task) in waiting.iter().enumerate() {
            if searches == MAX_SEARCHES {
                break;
            }
            let work = self.work.get(&task.step.submission);
            let Some(pool) = work.and_then(|it| pools.get_mut(&it.queue.service)) else { continue };
            let most = if self.is_idle(*task, now) { pool.most_idle } else { pool.most };
            if most < pool.claims || self.suspects.is_claimed(*task) {
                continue;
            }
            if self.is_ruled_out(*task, &mut failed, now) {
                self.set_try_at(*task, now.plus_ms(SEARCH_PAUSE_MS));
                continue;
            }
            searches += 1;
            let others = waiting[i + 1..].iter().copied();
            let others: Vec<TaskKey> = others.filter(|it| !self.suspects.is_claimed(*it)).collect();
            let may_wait = pool.claims < pool.most_kept;
            if let Some(worker) = self.claim_worker(*task, &others, &usable, may_wait, now) {
                pool.claims += 1;
                self.start_claimed(worker, now);
            } else {
                self.search_failed(*task, &usable, may_wait, &mut failed, now);
            }
        }
    }

    /// Returns the suspected tasks that may start now and have no isolated worker,
    /// in the order in which they get one: those first of which users miss a run,
    /// of these the ones without a claim that expired, then who waits the longest.
    fn waiting_suspects(&self, now: Timestamp) -> Vec<TaskKey> {
        let mut waiting: Vec<(bool, bool, Timestamp, Rank, TaskKey)> = Vec::new();
        for task in &self.suspects.tasks {
            let Some(rank) = self.suspect_rank(*task, now) else { continue };
            let Some(suspicion) = self.suspicion(*task) else { continue };
            if !self.suspects.is_claimed(*task) {
                let has_run = !self.is_idle(*task, now);
                waiting.push((has_run, suspicion.is_retry, suspicion.idle_since, rank, *task));
            }
        }
        waiting.sort_unstable();
        waiting.into_iter().map(|it| it.4).collect()
    }

    /// Returns how many of the usable workers of each pool may be isolated at
    /// once, and how many are.
    fn isolation_limits(&self, usable: &[WorkerIndex]) -> BTreeMap<String, IsolationLimit> {
        let mut pools: BTreeMap<&str, Vec<&Worker>> = BTreeMap::new();
        for worker in usable.iter().map(|it| &self.workers[*it]) {
            pools.entry(&worker.listing.service).or_default().push(worker);
        }
        let limit = |(service, workers): (&str, Vec<&Worker>)| {
            let reserved = placement::reserved_percent(workers.iter().copied());
            let free_percent = 100u64.saturating_sub(reserved);
            let most_kept = isolated_share(workers.len(), MAX_ISOLATED_PERCENT);
            let most = most_kept.max(isolated_share(workers.len(), free_percent / 2));
            let most_idle = most_kept.max(isolated_share(workers.len(), free_percent));
            let claimed = self.suspects.claims.keys().map(|it| &self.workers[*it]);
            let claims = claimed.filter(|it| it.listing.service == service).count();
            (service.to_owned(), IsolationLimit { most_kept, most, most_idle, claims })
        };
        pools.into_iter().map(limit).collect()
    }

    /// Returns the rank of a suspected task if it may start now. Members of a
    /// gang start with the others, without isolation.
    fn suspect_rank(&self, task: TaskKey, now: Timestamp) -> Option<Rank> {
        let work = self.work.get(&task.step.submission)?;
        let spec = work.submission.steps.get(usize::from(task.step.step))?;
        let slot = work.task(task)?;
        let suspicion = slot.suspicion.as_ref()?;
        let is_recordable = self.is_recordable(task.step.submission, suspicion);
        let is_due = slot.not_before.max(suspicion.try_at) <= now;
        let is_fenced = self.may_start_work(work, now);
        let is_undecided = self.is_undecided(task, suspicion, now);
        let may_start = is_due && is_recordable && is_fenced && !is_undecided;
        if spec.is_gang || self.is_cleared(task) || !slot.is_waiting() || !may_start {
            return None;
        }
        Some(self.waiting_step(task.step)?.rank(now))
    }

    /// Claims a worker for a suspected task, if one can run it; with `may_wait`,
    /// also one that lacks capacity at present. If there is little against the
    /// task, `others` like it that fit beside it join the claim.
    fn claim_worker(
        &mut self,
        task: TaskKey,
        others: &[TaskKey],
        usable: &[WorkerIndex],
        may_wait: bool,
        now: Timestamp,
    ) -> Option<WorkerIndex> {
        let submission = self.work.get(&task.step.submission)?.submission.clone();
        let spec = &submission.steps[usize::from(task.step.step)];
        let pending = self.single_task(task, now)?;
        let needed = spec.allocation();
        let worker = self.find_isolated(task, &pending, spec, usable, now);
        let worker = worker.filter(|it| may_wait || needed.fits_in(self.workers[*it].free()));
        let Some(worker) = worker else {
            if pending.needs_ticket {
                self.request_tickets_for(&pending, spec, usable, now);
            }
            self.set_try_at(task, now.plus_ms(SEARCH_PAUSE_MS));
            return None;
        };
        let mut tasks = vec![task];
        let mut used = needed;
        if self.suspicion(task).is_some_and(Suspicion::is_weak) {
            for other in others.iter().take(MAX_GROUP_CANDIDATES) {
                if tasks.len() == MAX_GROUP {
                    break;
                }
                if let Some(more) = self.fits_beside(*other, worker, used, now) {
                    used = used.saturating_add(more);
                    tasks.push(*other);
                }
            }
        }
        let expires_at = now.plus_ms(CLAIM_TIMEOUT_MS);
        self.suspects.claims.insert(worker, Claim { tasks, expires_at });
        Some(worker)
    }

    /// Returns what a suspected task needs if it can be isolated on a worker
    /// beside others, which need `used`. Those of a step with a limit for each
    /// worker cannot.
    fn fits_beside(
        &self,
        task: TaskKey,
        worker: WorkerIndex,
        used: Resources,
        now: Timestamp,
    ) -> Option<Resources> {
        self.suspicion(task).filter(|it| it.is_weak())?;
        let work = self.work.get(&task.step.submission)?;
        let spec = &work.submission.steps[usize::from(task.step.step)];
        if spec.max_per_worker.is_some() {
            return None;
        }
        let pending = self.single_task(task, now)?;
        let needed = spec.allocation();
        let fits = used.saturating_add(needed).fits_in(self.workers[worker].free());
        let can_run = self.score(&pending, self.request(&pending, spec, None), worker, now).is_ok();
        (fits && can_run).then_some(needed)
    }

    /// Starts the suspected tasks for which a worker is claimed, once nothing
    /// there is new. Those that do not fit there then look for another worker.
    fn start_claimed(&mut self, worker: WorkerIndex, now: Timestamp) {
        let Some(claim) = self.suspects.claims.get(&worker) else { return };
        if self.has_new_runs(worker) {
            return;
        }
        let mut starts = Vec::with_capacity(claim.tasks.len());
        for task in claim.tasks.clone() {
            if self.suspect_rank(task, now).is_none() {
                continue;
            }
            let Some(work) = self.work.get(&task.step.submission) else { continue };
            let submission = work.submission.clone();
            let spec = &submission.steps[usize::from(task.step.step)];
            let Some(mut pending) = self.single_task(task, now) else { continue };
            let req = self.request(&pending, spec, None);
            if self.score(&pending, req, worker, now).is_err() {
                continue;
            }
            let allocation = self.pending_allocation(&pending, spec);
            self.workers[worker].allocate(task, allocation);
            self.workers[worker].circuit_breaker.record_start(now);
            self.refresh_latency_critical(worker, now);
            pending.is_withheld = true;
            starts.push((submission, pending));
        }
        if starts.is_empty() {
            return;
        }
        // Whether a run is the only new one depends on the others that start.
        if let Some(claim) = self.suspects.claims.get_mut(&worker) {
            claim.tasks = starts.iter().map(|it| it.1.task()).collect();
        }
        for (submission, pending) in starts {
            let index = pending.task().index;
            self.start(&submission, &pending, &[(index, worker)], now);
        }
    }

    fn set_try_at(&mut self, task: TaskKey, try_at: Timestamp) {
        if let Some(it) = self.task_mut(task).and_then(|it| it.suspicion.as_mut()) {
            it.try_at = try_at;
        }
    }

    /// Returns a suspected task as the only pending one of its step.
    fn single_task(&self, task: TaskKey, now: Timestamp) -> Option<PendingTasks> {
        let work = self.work.get(&task.step.submission)?;
        let mut pending = self.pending_of_step(task.step, work, false)?;
        pending.tasks = vec![(task.index, None)];
        let spec = &work.submission.steps[usize::from(task.step.step)];
        pending.is_starved =
            spec.is_best_effort && self.blocked.is_blocked(task.step.submission, now);
        let is_mostly_free = self.suspects.mostly_free.contains(&work.queue.service);
        pending.may_use_suspended = is_mostly_free && self.is_overdue(task.step, now);
        // Its start proves something, and few workers can be isolated.
        pending.may_crowd_slow = true;
        Some(pending)
    }

    /// Returns whether something runs on a worker that may still crash it.
    fn has_new_runs(&self, index: WorkerIndex) -> bool {
        self.workers[index].allocations.values().any(|it| it.listings < PROVEN_LISTINGS)
    }

    /// Returns the worker on which a suspected task should run next: one with
    /// free capacity if there is any, whose host is sound, and on which a crash
    /// would lose the least.
    fn find_isolated(
        &self,
        task: TaskKey,
        pending: &PendingTasks,
        spec: &StepSpec,
        usable: &[WorkerIndex],
        now: Timestamp,
    ) -> Option<WorkerIndex> {
        let needed = spec.allocation();
        let req = self.request(pending, spec, None);
        // The new runs of the worker before may never be listed.
        let is_retry = self.suspicion(task).is_some_and(|it| it.is_retry);
        let is_far = |index: &WorkerIndex| {
            let is_elsewhere = |it: &String| !self.workers[*index].has_label(it);
            spec.data_rack.as_ref().is_some_and(is_elsewhere)
        };
        let fits = |index: &WorkerIndex| {
            let worker = &self.workers[*index];
            !self.suspects.is_isolated(*index)
                && match self.score(pending, req, *index, now) {
                    Ok(_) => true,
                    Err(Obstacle::NoCapacity) => {
                        needed.fits_in(placement::capacity_after_batch(worker))
                    }
                    Err(_) => false,
                }
        };
        let harm = |index: &WorkerIndex| {
            let worker = &self.workers[*index];
            let is_sound = self.suspects.is_host_sound(worker.listing.host.as_ref(), now);
            // New runs are listed within a few polls, but batch work may take long.
            let is_full = !needed.fits_in(worker.free());
            let is_suspended = !worker.circuit_breaker.may_start(now);
            let has_new = self.has_new_runs(*index);
            let runs = worker.allocations.len();
            let is_unready = (is_full, is_suspended, is_retry && has_new);
            (is_unready, !is_sound, has_new, is_far(index), runs, *index)
        };
        usable.iter().copied().filter(fits).min_by_key(harm)
    }

    /// Withholds the orders of a start until its record is stored.
    pub(super) fn withhold(
        &mut self,
        step: StepKey,
        orders: Vec<(WorkerIndex, StartOrder)>,
        is_released: bool,
        now: Timestamp,
    ) {
        let mut withheld = Vec::with_capacity(orders.len());
        for (index, order) in orders {
            let (task, run) = (order.task, order.run);
            let worker = &self.workers[index];
            let incarnation = worker.incarnation;
            let host = worker.listing.host.clone();
            let open = OpenRun {
                run,
                worker: worker.listing.worker.clone(),
                incarnation: incarnation.unwrap_or_default(),
                is_sole: !is_released
                    && self.suspects.is_host_sound(host.as_ref(), now)
                    && self.suspects.is_alone(index),
                host,
            };
            if self.suspicion(task).is_some() {
                // The start waits for the record by itself: if it is withdrawn, the
                // next one need not wait for a record of it.
                self.update_suspicion(task, |it, _| it.open_runs.push(open));
            }
            withheld.push((index, incarnation, order));
        }
        let expires_at = now.plus_ms(RECORD_TIMEOUT_MS);
        let change = self.last_change(step.submission);
        let start = WithheldStart { step, change, expires_at, orders: withheld };
        self.suspects.withheld.push(start);
    }

    /// Orders the starts whose records are stored, and drops those whose worker is no
    /// longer as it was, or whose record could not be stored in time. Those whose
    /// record is only slow go on waiting: a new start would have to wait for a
    /// record as well.
    fn send_withheld(&mut self, now: Timestamp) {
        if !self.in_flight.is_empty() {
            self.suspects.written_at = now;
        }
        let is_writing = now.ms_since(self.suspects.written_at) < RECORD_TIMEOUT_MS;
        for start in std::mem::take(&mut self.suspects.withheld) {
            let id = start.step.submission;
            let is_stored = is_stored(&self.work, id, start.change);
            let is_slow = is_writing && !self.is_record_failing(id);
            if !is_stored && (now < start.expires_at || is_slow) {
                self.suspects.withheld.push(start);
                continue;
            }
            let is_possible = |it: &(WorkerIndex, Option<Incarnation>, StartOrder)| {
                let worker = &self.workers[it.0];
                worker.incarnation == it.1
                    && self.may_order(it.0, now)
                    && worker.used.fits_in(worker.listing.capacity)
                    && self.is_current(it.0, it.2.task, it.2.run)
                    && !self.stops.contains_key(&(it.0, it.2.task, it.2.run))
            };
            if !is_stored || !start.orders.iter().all(is_possible) {
                let tasks = start.orders.len();
                self.log_decision(
                    DecisionKind::StartWithdrawn,
                    Some(id),
                    Some(self.worker_id(start.orders[0].0)),
                    || format!("step={} tasks={tasks} stored={is_stored}", start.step),
                );
                self.cancel_withheld(start, now);
                if let Some(work) = self.work.get_mut(&id) {
                    work.is_record_failing |= !is_stored;
                }
                continue;
            }
            for (index, _, order) in start.orders {
                self.order_start(index, order, now);
            }
        }
    }

    /// Returns whether a worker can be given what the plan has placed there. A
    /// suspension only keeps others away.
    fn may_order(&self, index: WorkerIndex, now: Timestamp) -> bool {
        match self.unavailability(index, now) {
            Some(Obstacle::Suspended) => self.overload_risk(index).is_none(),
            obstacle => obstacle.is_none(),
        }
    }

    pub(super) fn cancel_withheld_at(&mut self, index: WorkerIndex, now: Timestamp) {
        let withheld = std::mem::take(&mut self.suspects.withheld);
        let (lost, kept): (Vec<_>, Vec<_>) =
            withheld.into_iter().partition(|it| it.orders.iter().any(|it| it.0 == index));
        self.suspects.withheld = kept;
        for start in lost {
            self.cancel_withheld(start, now);
        }
    }

    /// Cancels all starts that wait for a record.
    pub(super) fn cancel_all_withheld(&mut self, now: Timestamp) {
        for start in std::mem::take(&mut self.suspects.withheld) {
            self.cancel_withheld(start, now);
        }
    }

    /// Makes the tasks of a start wait again that was never ordered.
    fn cancel_withheld(&mut self, start: WithheldStart, now: Timestamp) {
        for (index, _, order) in start.orders {
            let (task, run) = (order.task, order.run);
            self.stops.remove(&(index, task, run));
            if self.workers[index].allocations.get(&task).is_some_and(|it| it.run == run) {
                self.workers[index].release(task);
            }
            if self.is_current(index, task, run) {
                self.requeue(index, task, None, now);
            }
            self.run_not_started(task, run);
        }
    }

    /// Ends the isolation of workers whose task is no longer new there, or
    /// cannot start there after all.
    fn release_claims(&mut self, now: Timestamp) {
        let claims = std::mem::take(&mut self.suspects.claims);
        let is_kept = |index: WorkerIndex, claim: &Claim| {
            self.may_order(index, now)
                && claim.tasks.iter().any(|it| self.needs_claim(*it, index, claim, now))
        };
        let (mut kept, ended): (BTreeMap<_, _>, BTreeMap<_, _>) =
            claims.into_iter().partition(|(index, claim)| is_kept(*index, claim));
        // The rest of a group does not wait for members whose start is open.
        let mut others: Vec<(WorkerIndex, Claim)> = Vec::new();
        for (index, claim) in &mut kept {
            let is_placed = |it: &TaskKey| self.is_placed_on(*it, *index);
            let (placed, rest): (Vec<TaskKey>, Vec<TaskKey>) =
                claim.tasks.iter().copied().partition(is_placed);
            if !placed.is_empty() && !rest.is_empty() {
                claim.tasks = placed;
                others.push((*index, Claim { tasks: rest, expires_at: claim.expires_at }));
            }
        }
        self.suspects.claims = kept;
        for (index, claim) in ended.into_iter().chain(others) {
            self.workers[index].is_changed = true;
            for task in claim.tasks {
                let work = self.work.get(&task.step.submission);
                if !work.and_then(|it| it.task(task)).is_some_and(Task::is_waiting) {
                    continue;
                }
                if let Some(it) = self.task_mut(task).and_then(|it| it.suspicion.as_mut()) {
                    it.is_retry |= claim.expires_at <= now;
                    it.try_at = now;
                }
            }
        }
    }

    /// Returns whether the plan has placed a run of a task on a worker.
    fn is_placed_on(&self, task: TaskKey, index: WorkerIndex) -> bool {
        let work = self.work.get(&task.step.submission);
        work.and_then(|it| it.task(task)?.run()).is_some_and(|it| it.worker == index)
    }

    /// Returns whether a task still needs the worker that is claimed for it.
    fn needs_claim(
        &self,
        task: TaskKey,
        index: WorkerIndex,
        claim: &Claim,
        now: Timestamp,
    ) -> bool {
        let work = self.work.get(&task.step.submission);
        match work.and_then(|it| it.task(task)).map(|it| &it.phase) {
            Some(Phase::Waiting) => now < claim.expires_at && !self.is_cleared(task),
            Some(Phase::Placed(run)) => {
                let allocation = self.workers[index].allocations.get(&task);
                run.worker == index && allocation.is_some_and(|it| it.listings < PROVEN_LISTINGS)
            }
            Some(Phase::Done) | None => false,
        }
    }

    /// Returns whether a task may be placed among others, without isolation:
    /// most are not suspected or no longer, and members of a gang are recorded
    /// only.
    pub(super) fn is_placeable(&self, task: TaskKey, submission: &Arc<Submission>) -> bool {
        let is_gang = submission.steps[usize::from(task.step.step)].is_gang;
        let Some(suspicion) = self.suspicion(task) else { return true };
        // Without isolation no record of the start is awaited, except for gangs.
        let is_stored = || is_stored(&self.work, task.step.submission, suspicion.removal);
        self.is_recordable(task.step.submission, suspicion)
            && (is_gang || (self.is_cleared(task) && is_stored()))
    }
}

/// Returns a share of the workers, rounded up.
fn isolated_share(workers: usize, percent: u64) -> usize {
    (workers * percent as usize).div_ceil(100)
}
