//! Keeps the list of the processes that count in the store; see
//! [`members`](mustardcove_core::fleet::members).

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::{
    fleet::{
        members::MemberList,
        record::{self, LEADER_KEY, MEMBERS_KEY},
    },
    time::Timestamp,
};
use slog::{info, warn};

use super::{Leader, TaskResult};
use crate::durable;

/// The members that the store holds after a write, with the revision of their
/// record; `None` if another process leads.
pub(super) type MembersWritten = Result<Option<(MemberList, u64)>, StoreFault>;

impl Leader {
    /// Restores the members from the record that earlier leaders stored.
    ///
    /// # Errors
    ///
    /// Returns why the term has to end: without the list it is not known which
    /// processes an earlier leader counts.
    pub(super) fn restore_members(&mut self, items: &[Item]) -> Result<(), &'static str> {
        let Some(item) = items.iter().find(|it| it.key == MEMBERS_KEY) else {
            self.pollers.members_read();
            return Ok(());
        };
        let list: Option<MemberList> = durable::decode(&self.shared, "members", item);
        let Some(list) = list else { return Err("the list of members cannot be read") };
        info!(self.shared.log, "members restored"; "term" => %self.term,
            "members" => list.0.len(), "revision" => item.revision);
        self.pollers.members_stored(list, item.revision);
        self.pollers.members_read();
        Ok(())
    }

    /// Writes the list of members if it has to change.
    pub(super) fn store_members(&mut self, now: Timestamp) {
        if self.is_storing_members || !self.is_restored {
            return;
        }
        let Some((list, revision)) = self.pollers.next_members(now) else { return };
        self.is_storing_members = true;
        let write = Write::default()
            .expect(LEADER_KEY, self.term.0)
            .expect(MEMBERS_KEY, revision)
            .set(MEMBERS_KEY, &record::encode(&list));
        let (shared, results) = (self.shared.clone(), self.results.clone());
        let term = self.term;
        tokio::spawn(async move {
            let written = shared.store.write(&write).await.map(|it| match it {
                WriteOutcome::Committed(revision) => Some((list, revision)),
                WriteOutcome::Conflict(current) => {
                    let is_leading =
                        current.iter().any(|it| it.key == LEADER_KEY && it.revision == term.0);
                    let item = current.into_iter().find(|it| it.key == MEMBERS_KEY);
                    // A write without an answer may have taken effect.
                    let item = item.filter(|_| is_leading);
                    item.and_then(|it| {
                        Some((durable::decode(&shared, "members", &it)?, it.revision))
                    })
                }
            });
            // The receiver is dropped when the term ends.
            let _ = results.send(TaskResult::MembersWritten(written));
        });
    }

    /// Handles the end of a write. One without an answer stays open, and is
    /// repeated with the next reading of the processes.
    pub(super) fn members_written(&mut self, result: MembersWritten, now: Timestamp) {
        self.is_storing_members = false;
        match result {
            Ok(Some((list, revision))) => {
                self.store_answered(now);
                info!(self.shared.log, "members stored"; "term" => %self.term,
                    "members" => list.0.len(), "revision" => revision);
                self.pollers.members_stored(list, revision);
            }
            Ok(None) => {
                self.store_answered(now);
                warn!(self.shared.log, "members not stored"; "term" => %self.term,
                    "why" => "another process leads");
            }
            Err(fault) => self.store_failed("members not stored", &fault),
        }
    }
}
