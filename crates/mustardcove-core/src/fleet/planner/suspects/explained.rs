//! Crashes that are put down to one of the tasks suspected of them.
//!
//! A crash suspects all runs that were new on the worker, of which one caused
//! it. Once a task has crashed a worker as the only new run there, it explains
//! the earlier crashes under it as well, and the others need no isolation for
//! these. Without that, each task that crashes its workers leaves tens of sound
//! ones behind that have to be isolated one after the other.
//!
//! Two tasks that crash their workers may have been in one crash, so an explained
//! crash still counts towards giving a task up, until its next run survives.
//! What is kept here is lost with the leader, and the next one isolates the
//! tasks.

use std::collections::{BTreeMap, BTreeSet};

use super::HOST_PROBATION_MS;
use crate::{
    fleet::{
        id::{Incarnation, RunNumber, TaskKey},
        planner::{DecisionKind, Planner},
        record::OpenRun,
    },
    id::{HostId, WorkerId},
    time::Timestamp,
};

/// Time after which a crash is no longer kept, in milliseconds: some rounds of
/// isolation.
const KEPT_MS: u64 = 60_000;
/// Crashes from which on one as the only new run explains the others, although
/// the host had crashed shortly before.
const EXPLAINING_CRASHES: usize = 3;

/// A crash of a worker.
#[derive(Clone, Debug)]
struct Crash {
    at: Timestamp,
    host: Option<HostId>,
    /// The runs that were new on the worker.
    suspects: Vec<(TaskKey, RunNumber)>,
}

/// The crashes that no task explains yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    crashes: BTreeMap<(WorkerId, Incarnation), Crash>,
    /// The crashes that were added since the explanations were looked for.
    new: Vec<(WorkerId, Incarnation)>,
    /// Tasks that were given up.
    culprits: Vec<TaskKey>,
}

impl Crashes {
    /// Adds a run to the crash of its worker.
    pub(super) fn add(&mut self, run: &OpenRun, task: TaskKey, now: Timestamp) {
        let key = (run.worker.clone(), run.incarnation);
        let crash = self.crashes.entry(key.clone()).or_insert_with(|| {
            self.new.push(key);
            Crash { at: now, host: run.host.clone(), suspects: Vec::new() }
        });
        crash.suspects.push((task, run.run));
    }

    /// Adds a task that explains all crashes under it.
    pub(super) fn add_culprit(&mut self, task: TaskKey) {
        self.culprits.push(task);
    }

    /// Removes the crashes under a task and returns them.
    fn take(&mut self, task: TaskKey) -> Vec<Crash> {
        let is_under = |it: &Crash| it.suspects.iter().any(|it| it.0 == task);
        self.crashes.extract_if(.., |_, it| is_under(it)).map(|it| it.1).collect()
    }
}

impl Planner {
    /// Clears the tasks that were beside one which explains their crash.
    pub(super) fn explain_crashes(&mut self, now: Timestamp) {
        let unexplained = &mut self.suspects.unexplained;
        let new = std::mem::take(&mut unexplained.new);
        let mut culprits = std::mem::take(&mut unexplained.culprits);
        if new.is_empty() && culprits.is_empty() {
            return;
        }
        unexplained.crashes.retain(|_, it| now.ms_since(it.at) < KEPT_MS);
        let alone = new.iter().filter_map(|it| match self.suspects.unexplained.crashes.get(it) {
            Some(crash) if crash.suspects.len() == 1 => Some(crash.suspects[0]),
            _ => None,
        });
        culprits.extend(alone.filter(|it| self.is_culprit(it.0, it.1)).map(|it| it.0));
        for culprit in culprits {
            let crashes = self.suspects.unexplained.take(culprit);
            self.end_probation(&crashes);
            for crash in crashes {
                self.clear_others(culprit, crash);
            }
        }
    }

    /// Ends the probation of the hosts that one task has crashed. On a single host,
    /// that may be at fault as well.
    fn end_probation(&mut self, crashes: &[Crash]) {
        let hosts: BTreeSet<&HostId> = crashes.iter().filter_map(|it| it.host.as_ref()).collect();
        if hosts.len() < 2 {
            return;
        }
        for crash in crashes {
            let Some(host) = &crash.host else { continue };
            let until = crash.at.plus_ms(HOST_PROBATION_MS);
            if let Some(times) = self.suspects.host_probation.get_mut(host) {
                times.retain(|it| *it != until);
            }
        }
    }

    /// Returns whether a run that was the only new one on a crashed worker
    /// explains that: the host had not crashed shortly before, or the task has
    /// crashed others.
    fn is_culprit(&self, task: TaskKey, run: RunNumber) -> bool {
        self.suspicion(task).is_some_and(|it| {
            EXPLAINING_CRASHES <= it.crashed_runs.len()
                || it.crashed_runs.iter().any(|it| it.run == run && it.is_sole)
        })
    }

    /// Lets the other suspects of a crash start without isolation.
    fn clear_others(&mut self, culprit: TaskKey, crash: Crash) {
        let mut cleared = 0;
        for (task, run) in crash.suspects {
            let suspicion = self
                .task_mut(task)
                .filter(|_| task != culprit)
                .and_then(|it| it.suspicion.as_mut());
            let Some(suspicion) = suspicion else { continue };
            suspicion.explained_runs.push(run);
            if self.is_cleared(task) {
                self.waiting.insert(task.step);
                cleared += 1;
            }
        }
        let id = Some(culprit.step.submission);
        self.log_decision(DecisionKind::CrashExplained, id, None, || {
            format!("task={culprit} cleared={cleared}")
        });
    }
}
