//! What a new leader reads before it plans.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use mustardcove_adapter::store::{Item, StoreFault};
use mustardcove_core::fleet::{
    id::SubmissionId,
    record::{
        self, CANCEL_PREFIX, LEADER_KEY, LEARNED_KEY, LearnedInterference, PROCESS_PREFIX,
        PROGRESS_PREFIX, ProgressRecord, SUBMISSION_PREFIX, WORK_PREFIX,
    },
};
use slog::warn;
use tokio_util::task::AbortOnDropHandle;

use super::{Found, Leader, LookedUp, RETRY_PAUSE};
use crate::{durable, shared::Shared};

/// Time between two readings of the registered processes, which are few and
/// rarely change.
const PROCESSES_INTERVAL: Duration = Duration::from_millis(1_500);

impl Leader {
    /// Reads what earlier leaders left, and starts to follow the store.
    /// Returns the tasks that follow it, or why the term ends already.
    pub(super) async fn take_over(&mut self) -> Result<Vec<AbortOnDropHandle<()>>, &'static str> {
        // Other processes stop claiming as soon as they hear of this one.
        let processes = self.read(PROCESS_PREFIX).await?.0;
        self.callers.registered(&processes, self.shared.now());
        self.beat();
        let shared = self.shared.clone();
        let (work, progress, learned) = tokio::join!(
            shared.store.range(WORK_PREFIX),
            shared.store.range(PROGRESS_PREFIX),
            shared.store.get(LEARNED_KEY),
        );
        self.restore_learned(learned);
        let (work, after) = self.or_again(WORK_PREFIX, work).await?;
        let (progress, _) = self.or_again(PROGRESS_PREFIX, progress).await?;
        self.restore(&work, &progress);
        self.is_restored = true;
        if let Some(why) = self.ends_because {
            return Err(why);
        }
        self.beat();
        Ok(vec![
            AbortOnDropHandle::new(tokio::spawn(self.follow_workers())),
            AbortOnDropHandle::new(tokio::spawn(self.follow_work(after))),
            AbortOnDropHandle::new(tokio::spawn(self.follow_processes())),
        ])
    }

    /// Takes over what was learned. Without it, it is learned again.
    fn restore_learned(&mut self, item: Result<Option<Item>, StoreFault>) {
        let item = match item {
            Ok(Some(item)) => item,
            Ok(None) => return,
            Err(fault) => {
                warn!(self.shared.log, "what was learned is not read"; "error" => %fault);
                return;
            }
        };
        let learned: Option<LearnedInterference> = durable::decode(&self.shared, "learned", &item);
        if let Some(learned) = learned {
            self.planner.restore_learned_interference(&learned);
        }
    }

    async fn read(&self, prefix: &str) -> Result<(Vec<Item>, u64), &'static str> {
        let first = self.shared.store.range(prefix).await;
        self.or_again(prefix, first).await
    }

    /// Repeats a reading that failed until it succeeds or another process
    /// leads.
    async fn or_again(
        &self,
        prefix: &str,
        mut result: Result<(Vec<Item>, u64), StoreFault>,
    ) -> Result<(Vec<Item>, u64), &'static str> {
        loop {
            match result {
                Ok(read) => {
                    self.shared.store_answered();
                    return Ok(read);
                }
                Err(fault) => warn!(self.shared.log, "records not read"; "prefix" => prefix,
                    "error" => %fault),
            }
            if self.shared.stop.is_cancelled() {
                return Err("the process stops");
            }
            if self.term < self.shared.leadership.borrow().term {
                return Err("another process leads");
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            result = self.shared.store.range(prefix).await;
        }
    }

    fn restore(&mut self, work: &[Item], progress: &[Item]) {
        let now = self.shared.now();
        let progress: BTreeMap<SubmissionId, (ProgressRecord, u64)> =
            progress.iter().filter_map(|it| self.progress(it)).collect();
        let cancelled: BTreeSet<SubmissionId> =
            work.iter().filter_map(|it| record::id_of(CANCEL_PREFIX, &it.key)).collect();
        for item in work {
            if item.key == LEADER_KEY {
                self.record(item, now);
                continue;
            }
            let Some(id) = record::id_of(SUBMISSION_PREFIX, &item.key) else { continue };
            if let Some(submission) = durable::decode_submission(&self.shared, item) {
                let known = progress.get(&id).map(|(it, revision)| (it, *revision));
                self.planner.restore(submission, false, known, now);
            }
            if cancelled.contains(&id) {
                self.planner.cancel(id, now);
            }
        }
    }

    fn progress(&self, item: &Item) -> Option<(SubmissionId, (ProgressRecord, u64))> {
        let id = record::id_of(PROGRESS_PREFIX, &item.key)?;
        let progress = durable::decode_progress(&self.shared, item)?;
        Some((id, (progress, item.revision)))
    }

    fn follow_processes(&self) -> impl Future<Output = ()> + Send + 'static {
        let (shared, found) = (self.shared.clone(), self.found.clone());
        async move {
            loop {
                tokio::time::sleep(PROCESSES_INTERVAL).await;
                // A failure shows in the other calls to the store.
                if let Ok((items, _)) = shared.store.range(PROCESS_PREFIX).await
                    && found.send(Found::Processes(items)).is_err()
                {
                    return;
                }
            }
        }
    }
}

/// Reads a submission with its progress.
pub(super) async fn read_submission(shared: &Shared, id: SubmissionId) -> LookedUp {
    let Some(item) = shared.store.get(&record::key_of(SUBMISSION_PREFIX, id)).await? else {
        return Ok(None);
    };
    let Some(submission) = durable::decode_submission(shared, &item) else { return Ok(None) };
    let progress = shared.store.get(&record::key_of(PROGRESS_PREFIX, id)).await?;
    let progress =
        progress.and_then(|it| Some((durable::decode_progress(shared, &it)?, it.revision)));
    Ok(Some((submission, progress)))
}
