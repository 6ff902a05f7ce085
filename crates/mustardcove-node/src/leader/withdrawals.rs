//! Removes old withdrawals from the store; see
//! [`withdrawals`](mustardcove_core::fleet::withdrawals).

use std::time::Duration;

use mustardcove_adapter::store::{Item, MAX_WRITE_ROWS, Write};
use mustardcove_core::{
    fleet::record::{LEADER_KEY, WITHDRAWN_PREFIX},
    time::Timestamp,
};
use slog::debug;

use super::{Leader, TaskResult};

/// Time between two readings of the withdrawals: a small part of the time for which
/// they are kept.
const READ_INTERVAL: Duration = Duration::from_secs(60);
/// Most removed in one write: each takes a row for its condition and one for its
/// removal, and the condition on the leader record takes one row.
const REMOVED_PER_WRITE: usize = (MAX_WRITE_ROWS - 1) / 2;

impl Leader {
    /// Reads the withdrawals at a fixed interval until the term ends.
    pub(super) fn read_withdrawals(&self) -> impl Future<Output = ()> + Send + 'static {
        let (shared, results) = (self.shared.clone(), self.results.clone());
        async move {
            loop {
                tokio::time::sleep(READ_INTERVAL).await;
                // Failures are neither counted nor logged, since the other calls to
                // the store show them.
                if let Ok((items, _)) = shared.store.range(WITHDRAWN_PREFIX).await
                    && results.send(TaskResult::Withdrawals(items)).is_err()
                {
                    return;
                }
            }
        }
    }

    /// Removes the withdrawals that are old. What is not removed is read again.
    pub(super) fn remove_withdrawals(&mut self, items: Vec<Item>, now: Timestamp) {
        let stored = items.into_iter().map(|it| (it.key, it.revision));
        let old = self.withdrawals.update(stored, now);
        if old.is_empty() {
            return;
        }
        let (shared, term) = (self.shared.clone(), self.term);
        tokio::spawn(async move {
            for chunk in old.chunks(REMOVED_PER_WRITE) {
                let begin = Write::default().expect(LEADER_KEY, term.0);
                let write = chunk
                    .iter()
                    .fold(begin, |write, (key, revision)| write.expect(key, *revision).remove(key));
                if let Err(fault) = shared.store.write(&write).await {
                    debug!(shared.log, "withdrawals not removed"; "error" => %fault);
                    return;
                }
            }
        });
    }
}
