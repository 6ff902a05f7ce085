//! What submissions without a run wait for.
//!
//! A fault that keeps work from free capacity shows in one of two lines: the
//! counts by state, once a second, and one line for each submission that passes
//! the time that users accept while under half of its pool is reserved.

use std::{collections::BTreeMap, fmt::Write as _};

use crate::{
    fleet::{
        id::{StepKey, TaskKey},
        planner::{
            DecisionKind, Planner,
            suspects::SuspectWait,
            work::{Phase, Work},
        },
    },
    time::Timestamp,
};

/// Time without a run that users accept, in milliseconds.
const IDLE_AFTER_MS: u64 = 3_000;
/// Reserved share of a pool below which users accept no longer wait, in percent.
const MAX_IDLE_RESERVED_PERCENT: u64 = 50;
/// Most submissions that are reported by one check, which bounds the log.
const MAX_REPORTED: usize = 20;

/// What a submission without a run waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum BlockedState {
    /// The confirmation of a start, or news of its worker.
    Starting,
    /// The end of a run that was ordered to stop.
    Stopping,
    /// The leases of an earlier leader.
    Fence,
    /// The pause after its last run.
    Pause,
    /// A worker.
    Worker,
    /// What a suspected task waits for.
    Suspected(SuspectWait),
}

impl BlockedState {
    fn label(self) -> String {
        match self {
            BlockedState::Starting => "starting".into(),
            BlockedState::Stopping => "stopping".into(),
            BlockedState::Fence => "fence".into(),
            BlockedState::Pause => "pause".into(),
            BlockedState::Worker => "worker".into(),
            BlockedState::Suspected(wait) => format!("suspected_{wait}"),
        }
    }
}

impl Planner {
    /// Logs how many blocked submissions wait for what, and the longest wait of
    /// each kind.
    pub(super) fn count_states(&mut self, blocked: &[(Timestamp, StepKey)], now: Timestamp) {
        let mut states: BTreeMap<BlockedState, (usize, Timestamp)> = BTreeMap::new();
        for (since, key) in blocked {
            let Some(state) = self.blocked_state(*key, now) else { continue };
            let (count, oldest) = states.entry(state).or_insert((0, *since));
            *count += 1;
            *oldest = (*oldest).min(*since);
        }
        let mut inputs = format!("blocked={}", blocked.len());
        for (state, (count, oldest)) in states {
            let label = state.label();
            // Writing to a string cannot fail.
            let _ = write!(inputs, " {label}={count} {label}_ms={}", now.ms_since(oldest));
        }
        self.log_decision(DecisionKind::BlockedStates, None, None, || inputs);
    }

    /// Logs each submission once that waits for longer than users accept while
    /// under half of its pool is reserved.
    pub(super) fn report_idle(&mut self, blocked: &[(Timestamp, StepKey)], now: Timestamp) {
        let since = &self.blocked.since;
        self.blocked.reported.retain(|it| since.contains_key(it));
        let mut percent: BTreeMap<String, u64> = BTreeMap::new();
        let mut reports = 0;
        for (since, key) in blocked.iter().filter(|it| IDLE_AFTER_MS <= now.ms_since(it.0)) {
            let id = key.submission;
            if reports == MAX_REPORTED {
                break;
            }
            let Some(work) = self.work.get(&id) else { continue };
            let service = &work.queue.service;
            if !percent.contains_key(service) {
                percent.insert(service.clone(), self.reserved_percent(service));
            }
            if MAX_IDLE_RESERVED_PERCENT <= percent[service] || self.blocked.reported.contains(&id)
            {
                continue;
            }
            let state = self.blocked_state(*key, now).map_or("none".into(), BlockedState::label);
            let inputs = format!("state={state} {}", self.explain(*key, *since, now));
            self.blocked.reported.insert(id);
            reports += 1;
            self.log_decision(DecisionKind::SubmissionIdle, Some(id), None, || inputs);
        }
    }

    /// Returns what the ready steps of a blocked submission wait for: that which
    /// is expected to end first.
    fn blocked_state(&self, first: StepKey, now: Timestamp) -> Option<BlockedState> {
        let work = self.work.get(&first.submission)?;
        let steps = work.occurrences.iter().flat_map(|occurrence| {
            let keys = work.submission.step_keys(occurrence.number);
            keys.zip(&occurrence.steps).filter(|(_, it)| it.is_ready && 0 < it.unfinished)
        });
        let states = steps.flat_map(|(key, step)| {
            let tasks = step.tasks.iter().enumerate();
            tasks.filter_map(move |(i, task)| {
                let key = TaskKey { step: key, index: i as u16 };
                match &task.phase {
                    Phase::Waiting => Some(self.waiting_state(key, work, task.not_before, now)),
                    Phase::Placed(run) if self.stops.contains_key(&(run.worker, key, run.run)) => {
                        Some(BlockedState::Stopping)
                    }
                    Phase::Placed(_) => Some(BlockedState::Starting),
                    Phase::Done => None,
                }
            })
        });
        states.min()
    }

    fn waiting_state(
        &self,
        task: TaskKey,
        work: &Work,
        not_before: Timestamp,
        now: Timestamp,
    ) -> BlockedState {
        if !self.may_start_work(work, now) {
            BlockedState::Fence
        } else if now < not_before {
            BlockedState::Pause
        } else if let Some(wait) = self.suspect_wait(task, now) {
            BlockedState::Suspected(wait)
        } else {
            BlockedState::Worker
        }
    }
}
