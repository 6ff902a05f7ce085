//! Restores the state that earlier leaders stored, before a new leader plans.

use std::{
    collections::{BTreeMap, BTreeSet},
    pin::pin,
    time::Duration,
};

use mustardcove_adapter::store::{EVACUATE_PREFIX, Item, StoreFault};
use mustardcove_core::fleet::{
    id::{SubmissionId, Term},
    record::{
        self, CANCEL_PREFIX, HANDOVER_KEY, LEADER_KEY, LEARNED_KEY, LearnedInterference,
        MEMBERS_KEY, PROCESS_PREFIX, PROGRESS_PREFIX, ProgressRecord, ROSTER_PREFIX,
        SUBMISSION_PREFIX, WORK_PREFIX,
    },
};
use slog::warn;
use tokio_util::task::AbortOnDropHandle;

use super::{Leader, LookedUp, RETRY_PAUSE, TaskResult};
use crate::{durable, operator_watch, shared::Shared};

/// Records that are restored before other work gets its turn.
const RECORDS_AT_ONCE: usize = 16;
/// Time between two readings of the process records, which are few and rarely
/// change.
const PROCESSES_INTERVAL: Duration = Duration::from_millis(1_500);

impl Leader {
    /// Restores the state that earlier leaders stored, and starts to follow
    /// changes in the store. Returns the background tasks that do so, or the
    /// reason why the term has to end. The caller may drop it at any time: nothing
    /// is ordered or granted by then.
    pub(super) async fn take_over(
        &mut self,
        predecessor: Term,
    ) -> Result<Vec<AbortOnDropHandle<()>>, &'static str> {
        // Other processes postpone their claims when they get a heartbeat.
        let (processes, members) = tokio::join!(
            self.shared.store.range(PROCESS_PREFIX),
            self.shared.store.range(MEMBERS_KEY),
        );
        let (processes, _) = self.retry_read(PROCESS_PREFIX, processes).await;
        let (members, _) = self.retry_read(MEMBERS_KEY, members).await;
        self.restore_members(&members)?;
        self.pollers.update_registered(&processes, self.shared.now());
        self.send_heartbeat();
        let shared = self.shared.clone();
        let follows_evacuations = self.shared.settings.follows_evacuations;
        let evacuations = async {
            if follows_evacuations { Some(shared.store.range(EVACUATE_PREFIX).await) } else { None }
        };
        let reads = async {
            tokio::join!(
                shared.store.range(ROSTER_PREFIX),
                shared.store.range(WORK_PREFIX),
                shared.store.range(PROGRESS_PREFIX),
                shared.store.get(LEARNED_KEY),
                shared.store.get(HANDOVER_KEY),
                evacuations,
            )
        };
        let (roster, work, progress, learned, handover, evacuations) =
            self.send_heartbeats_until(reads).await;
        self.take_over_plan(handover, predecessor).await;
        self.yield_to_others().await;
        self.restore_learned_interference(learned);
        let (roster, _) = self.retry_read(ROSTER_PREFIX, roster).await;
        self.restore_roster(&roster);
        self.yield_to_others().await;
        let (work, after) = self.retry_read(WORK_PREFIX, work).await;
        let (progress, _) = self.retry_read(PROGRESS_PREFIX, progress).await;
        self.restore(&work, &progress).await;
        self.planner.place_handed_over(self.shared.now());
        if let Some(evacuations) = evacuations {
            let read = self.retry_read(EVACUATE_PREFIX, evacuations).await;
            operator_watch::apply_list(&self.shared, &read.0, read.1);
        }
        self.is_restored = true;
        if let Some(reason) = self.end_reason {
            return Err(reason);
        }
        self.send_heartbeat();
        Ok(vec![
            AbortOnDropHandle::new(tokio::spawn(self.confirm_term())),
            AbortOnDropHandle::new(tokio::spawn(self.refresh_workers())),
            AbortOnDropHandle::new(tokio::spawn(self.watch_work(after))),
            AbortOnDropHandle::new(tokio::spawn(self.refresh_processes())),
            AbortOnDropHandle::new(tokio::spawn(self.read_withdrawals())),
        ])
    }

    /// Restores the learned interference. If it cannot be read, it is learned
    /// again.
    fn restore_learned_interference(&mut self, item: Result<Option<Item>, StoreFault>) {
        let item = match item {
            Ok(Some(item)) => item,
            Ok(None) => return,
            Err(fault) => {
                warn!(self.shared.log, "learned interference not read"; "error" => %fault);
                return;
            }
        };
        let learned: Option<LearnedInterference> = durable::decode(&self.shared, "learned", &item);
        if let Some(learned) = learned {
            self.planner.restore_learned_interference(&learned);
        }
    }

    /// Retries a failed reading until it succeeds.
    async fn retry_read(
        &mut self,
        prefix: &str,
        mut result: Result<(Vec<Item>, u64), StoreFault>,
    ) -> (Vec<Item>, u64) {
        loop {
            match result {
                Ok(read) => {
                    self.shared.store_answered();
                    self.heartbeats_end_at =
                        self.shared.now().plus_ms(super::MAX_RESTORE_SILENCE_MS);
                    return read;
                }
                Err(fault) => warn!(self.shared.log, "records not read"; "prefix" => prefix,
                    "error" => %fault),
            }
            let shared = self.shared.clone();
            let read = async {
                tokio::time::sleep(RETRY_PAUSE).await;
                shared.store.range(prefix).await
            };
            result = self.send_heartbeats_until(read).await;
        }
    }

    /// Waits for a result and sends heartbeats meanwhile, so that no other process
    /// claims the leadership.
    async fn send_heartbeats_until<T>(&mut self, work: impl Future<Output = T>) -> T {
        let clock = self.shared.clock;
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                () = clock.sleep_until(self.heartbeat_at), if self.may_send_heartbeat() => {
                    self.send_heartbeat();
                }
                result = &mut work => return result,
            }
        }
    }

    /// Returns whether the store has answered lately enough that this process will
    /// lead.
    fn may_send_heartbeat(&self) -> bool {
        self.heartbeat_at < self.heartbeats_end_at
    }

    /// Lets the other tasks of this process run, and sends a heartbeat if one is due:
    /// restoring many records takes longer than others wait for one.
    async fn yield_to_others(&mut self) {
        if self.heartbeat_at <= self.shared.now() && self.may_send_heartbeat() {
            self.send_heartbeat();
        }
        tokio::task::yield_now().await;
    }

    async fn restore(&mut self, work: &[Item], progress: &[Item]) {
        let now = self.shared.now();
        let mut known: BTreeMap<SubmissionId, (ProgressRecord, u64)> = BTreeMap::new();
        for items in progress.chunks(RECORDS_AT_ONCE) {
            known.extend(items.iter().filter_map(|it| self.decode_progress(it)));
            self.yield_to_others().await;
        }
        let cancelled: BTreeSet<SubmissionId> =
            work.iter().filter_map(|it| record::id_of(CANCEL_PREFIX, &it.key)).collect();
        for (i, item) in work.iter().enumerate() {
            if i % RECORDS_AT_ONCE == 0 {
                self.yield_to_others().await;
            }
            if item.key == LEADER_KEY {
                self.apply_record(item, now);
                continue;
            }
            let Some(id) = record::id_of(SUBMISSION_PREFIX, &item.key) else { continue };
            if let Some(submission) = durable::decode_submission(&self.shared, item) {
                let known = known.get(&id).map(|(it, revision)| (it, *revision));
                self.planner.restore(submission, false, known, now);
            }
            if cancelled.contains(&id) {
                self.planner.cancel(id, now);
            }
        }
    }

    fn decode_progress(&self, item: &Item) -> Option<(SubmissionId, (ProgressRecord, u64))> {
        let id = record::id_of(PROGRESS_PREFIX, &item.key)?;
        let progress = durable::decode_progress(&self.shared, item)?;
        Some((id, (progress, item.revision)))
    }

    /// Reads the process records at a fixed interval until the term ends.
    fn refresh_processes(&self) -> impl Future<Output = ()> + Send + 'static {
        let (shared, results) = (self.shared.clone(), self.results.clone());
        async move {
            loop {
                tokio::time::sleep(PROCESSES_INTERVAL).await;
                // Failures are neither counted nor logged, since the other
                // calls to the store show them.
                if let Ok((items, _)) = shared.store.range(PROCESS_PREFIX).await
                    && results.send(TaskResult::Processes(items)).is_err()
                {
                    return;
                }
            }
        }
    }
}

/// Reads a submission and its progress.
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
