//! Submissions that were cancelled before they were stored.
//!
//! A caller that has got no answer may cancel what it sent. Nothing may be stored by
//! then, and the write of any process may still be carried out seconds later. The
//! answer that there is no such submission is final only if something in the store
//! stops that write: the cancellation writes a withdrawal on the condition that the
//! submission does not exist, and each submission is written on the condition that it
//! was not withdrawn.
//!
//! It costs a write for each cancellation of an unknown submission, and one more
//! condition for each submission. The leader removes withdrawals after
//! [`WITHDRAWAL_KEPT_MS`], which bounds their number by the rate of writes. See
//! `docs/design/store-outage.md`.

use std::collections::BTreeMap;

use super::store_write::MAX_UNSETTLED_MS;
use crate::time::Timestamp;

/// Time for which a withdrawal is kept, in milliseconds: as long as a write without
/// an answer counts as one that may be carried out.
pub const WITHDRAWAL_KEPT_MS: u64 = MAX_UNSETTLED_MS;

/// The withdrawals in the store, as a leader knows them.
#[derive(Clone, Debug, Default)]
pub struct Withdrawals {
    /// The revision of each key, and when it was first read in this term. Clocks of
    /// those that wrote them count for nothing.
    first_read: BTreeMap<String, (u64, Timestamp)>,
}

impl Withdrawals {
    /// Takes in the keys that the store holds, with their revisions, and returns
    /// those to remove.
    pub fn update(
        &mut self,
        stored: impl IntoIterator<Item = (String, u64)>,
        now: Timestamp,
    ) -> Vec<(String, u64)> {
        let mut earlier = std::mem::take(&mut self.first_read);
        for (key, revision) in stored {
            let read_at = earlier.remove(&key).filter(|it| it.0 == revision).map(|it| it.1);
            self.first_read.insert(key, (revision, read_at.unwrap_or(now)));
        }
        let is_old = |it: &(&String, &(u64, Timestamp))| WITHDRAWAL_KEPT_MS <= now.ms_since(it.1.1);
        let old = self.first_read.iter().filter(is_old);
        old.map(|(key, (revision, _))| (key.clone(), *revision)).collect()
    }
}
