//! How many suspected tasks wait for what, for the log and the metrics.

use std::{collections::BTreeMap, fmt::Write as _};

use super::SuspectWait;
use crate::{
    fleet::planner::{DecisionKind, Planner, work::Task},
    time::Timestamp,
};

/// Time between two lines in the log, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The suspected tasks that wait, and the workers that are isolated for them.
#[derive(Clone, Debug, Default)]
pub(in crate::fleet::planner) struct SuspectCounts {
    waits: BTreeMap<SuspectWait, usize>,
    /// How long the oldest has waited, in milliseconds.
    pub(in crate::fleet::planner) oldest_ms: u64,
    /// Number of isolated workers.
    pub(in crate::fleet::planner) isolated: usize,
}

impl SuspectCounts {
    /// Returns how many suspected tasks wait.
    pub(in crate::fleet::planner) fn waiting(&self) -> usize {
        self.waits.values().sum()
    }
}

impl Planner {
    /// Counts the suspected tasks that wait, by what they wait for.
    pub(in crate::fleet::planner) fn suspect_counts(&self, now: Timestamp) -> SuspectCounts {
        let mut counts =
            SuspectCounts { isolated: self.suspects.claims.len(), ..SuspectCounts::default() };
        for task in &self.suspects.tasks {
            let work = self.work.get(&task.step.submission);
            if !work.and_then(|it| it.task(*task)).is_some_and(Task::is_waiting) {
                continue;
            }
            let Some(wait) = self.suspect_wait(*task, now) else { continue };
            *counts.waits.entry(wait).or_default() += 1;
            let idle_since = self.suspicion(*task).map_or(now, |it| it.idle_since);
            counts.oldest_ms = counts.oldest_ms.max(now.ms_since(idle_since));
        }
        counts
    }

    /// Logs once a second how many suspected tasks wait.
    pub(super) fn log_suspects(&mut self, now: Timestamp) {
        if now < self.suspects.log_at {
            return;
        }
        self.suspects.log_at = now.plus_ms(LOG_INTERVAL_MS);
        let counts = self.suspect_counts(now);
        if counts.waits.is_empty() {
            return;
        }
        let hosts = self.suspects.host_probation.keys();
        let on_probation = hosts.filter(|it| !self.suspects.is_host_sound(Some(it), now)).count();
        let mut inputs = format!(
            "tasks={} waiting={} oldest_ms={} isolated={} hosts_on_probation={on_probation}",
            self.suspects.tasks.len(),
            counts.waiting(),
            counts.oldest_ms,
            counts.isolated,
        );
        for (wait, tasks) in counts.waits {
            // Writing to a string cannot fail.
            let _ = write!(inputs, " {wait}={tasks}");
        }
        self.log_decision(DecisionKind::SuspectsWaiting, None, None, || inputs);
    }
}
