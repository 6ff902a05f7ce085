//! Watches what operators write into the store: the manifest, and the keys that
//! evacuate failure domains.
//!
//! A long-poll watch returns a change within milliseconds. Its wait is short,
//! so that it also shows within a second or two that the store cannot be
//! reached. A process that learns of a newer manifest from the leader reads the
//! key at once.
//!
//! While nothing changes, one watch covers both. A manifest is large, so after a
//! change it is read again only after a pause, and meanwhile the evacuations are
//! watched alone. See `docs/design/evacuation.md`.

use std::{collections::BTreeSet, pin::pin, sync::Arc, time::Duration};

use mustardcove_adapter::{
    evacuation::{self, UnreadableKey},
    manifest,
    store::{
        EVACUATE_PREFIX, Event, Item, MANIFEST_KEY, OPERATORS_PREFIX, StoreFault, WatchOutcome,
    },
};
use mustardcove_core::fleet::{evacuation::EvacuationSource, id::Revision};
use slog::{error, info, warn};
use tokio::time::Instant;

use crate::shared::Shared;

/// How long the store may hold a watch. An answer after a wait without changes
/// shows that the store can be reached.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest pause after a change before the manifest is read again.
const MIN_REREAD_PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause. Together with the time to read the key it stays below
/// the time within which a manifest has to be in force everywhere.
const MAX_REREAD_PAUSE: Duration = Duration::from_millis(2_300);
/// Bytes of the manifest for each millisecond of the pause: a part of the
/// bandwidth of a narrow link.
const BYTES_PER_MS: u64 = 150;
/// Time after which an answer is expected that the store no longer holds back.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Time to read the manifest from which on the evacuations are watched beside it:
/// over a narrow link it takes seconds. Most readings are shorter and cost no
/// further call.
const LONG_READ: Duration = Duration::from_millis(400);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What is known of the operators' keys, and up to which revision.
struct OperatorWatch<'a> {
    shared: &'a Shared,
    /// The revision up to which all changes of evacuations are known; `None` if
    /// they have to be read.
    evacuations_through: Option<u64>,
    /// The keys that the log says name no failure domain.
    logged_keys: BTreeSet<String>,
}

/// Keeps the manifest and the evacuations up to date until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut was_reachable = true;
    let mut watch =
        OperatorWatch { shared: &shared, evacuations_through: None, logged_keys: BTreeSet::new() };
    loop {
        let result = watch.read_and_watch().await;
        if let Err(fault) = result {
            shared.store_failed();
            if was_reachable {
                warn!(shared.log, "store lost"; "error" => %fault);
            }
            was_reachable = false;
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        if !was_reachable {
            info!(shared.log, "store regained");
        }
        was_reachable = true;
    }
}

/// Applies all keys below [`EVACUATE_PREFIX`] as they were at a revision of the
/// store. Returns those that name no failure domain.
pub(crate) fn apply_list(shared: &Shared, items: &[Item], revision: u64) -> Vec<UnreadableKey> {
    let (list, unreadable) = evacuation::decode_list(items, revision);
    shared.learn_evacuations(&list, EvacuationSource::Store);
    unreadable
}

impl OperatorWatch<'_> {
    /// Reads the manifest, and the evacuations unless all their changes are known,
    /// and returns if the manifest has changed. Otherwise watches both until the
    /// manifest changes, the leader announces a newer version, the store has
    /// dropped the history, or a call to it fails.
    async fn read_and_watch(&mut self) -> Result<(), StoreFault> {
        let shared = self.shared;
        let is_first = shared.manifest().is_none();
        self.read_missed_evacuations().await?;
        let item = self.read_manifest().await?;
        shared.store_answered();
        let Some((item, manifest_through)) = item else {
            return self.pause(RETRY_PAUSE).await;
        };
        if self.apply_manifest(&item) && !is_first {
            return self.pause(reread_pause(&item)).await;
        }
        // The history may have been dropped during a long reading.
        self.read_missed_evacuations().await?;
        // Changes from before the revision of the other reading are heard twice,
        // which has no effect.
        let (prefix, mut after) = match self.evacuations_through {
            Some(through) => (OPERATORS_PREFIX, through.min(manifest_through)),
            None => (MANIFEST_KEY, manifest_through),
        };
        loop {
            let watched = tokio::select! {
                watched = shared.store.watch(prefix, after, WATCH_WAIT) => watched?,
                () = shared.newer_manifest.notified() => return Ok(()),
            };
            shared.store_answered();
            let WatchOutcome::Events(events, revision) = watched else {
                self.history_dropped().await;
                return Ok(());
            };
            after = revision;
            self.apply_changes(&events, revision);
            let newest = events.into_iter().rev().find_map(|it| match it {
                Event::Written(item) if item.key == MANIFEST_KEY => Some(item),
                Event::Written(_) | Event::Removed(_) => None,
            });
            if let Some(item) = newest {
                self.apply_manifest(&item);
                return self.pause(reread_pause(&item)).await;
            }
        }
    }

    /// Waits before the manifest is read again, and follows the evacuations
    /// meanwhile.
    async fn pause(&mut self, pause: Duration) -> Result<(), StoreFault> {
        let until = Instant::now() + pause;
        while self.shared.settings.follows_evacuations {
            let left = until.saturating_duration_since(Instant::now());
            // The answer has to arrive within the pause.
            let wait = left.saturating_sub(ANSWER_MARGIN);
            if wait.is_zero() {
                break;
            }
            tokio::select! {
                followed = self.follow_evacuations(wait) => followed?,
                () = tokio::time::sleep_until(until) => return Ok(()),
            }
        }
        tokio::time::sleep_until(until).await;
        Ok(())
    }

    /// Reads the manifest, and follows the evacuations if that takes long.
    async fn read_manifest(&mut self) -> Result<Option<(Item, u64)>, StoreFault> {
        let shared = self.shared;
        let mut read = pin!(shared.store.get_large(MANIFEST_KEY));
        if !shared.settings.follows_evacuations {
            return read.await;
        }
        if let Ok(item) = tokio::time::timeout(LONG_READ, &mut read).await {
            return item;
        }
        loop {
            tokio::select! {
                item = &mut read => return item,
                // A failure must not keep the manifest from being read.
                () = self.follow_or_pause() => {}
            }
        }
    }

    async fn follow_or_pause(&mut self) {
        if self.follow_evacuations(WATCH_WAIT).await.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Watches the evacuations once, or reads them if they are not known.
    async fn follow_evacuations(&mut self, wait: Duration) -> Result<(), StoreFault> {
        let Some(after) = self.evacuations_through else {
            return self.read_evacuations().await;
        };
        let watched = self.shared.store.watch(EVACUATE_PREFIX, after, wait).await?;
        self.shared.store_answered();
        match watched {
            WatchOutcome::Events(events, revision) => self.apply_changes(&events, revision),
            WatchOutcome::HistoryDropped => self.history_dropped().await,
        }
        Ok(())
    }

    /// Reads the evacuations if changes of them may have been missed.
    async fn read_missed_evacuations(&mut self) -> Result<(), StoreFault> {
        if self.shared.settings.follows_evacuations && self.evacuations_through.is_none() {
            self.read_evacuations().await?;
        }
        Ok(())
    }

    async fn read_evacuations(&mut self) -> Result<(), StoreFault> {
        let (items, revision) = self.shared.store.range(EVACUATE_PREFIX).await?;
        self.shared.store_answered();
        let unreadable = apply_list(self.shared, &items, revision);
        self.log_unreadable(unreadable);
        self.evacuations_through = Some(revision);
        Ok(())
    }

    /// Has the evacuations read again: changes may be lost with the history.
    async fn history_dropped(&mut self) {
        self.evacuations_through = None;
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    /// Applies the changes of evacuations up to a revision.
    fn apply_changes(&mut self, events: &[Event], revision: u64) {
        if self.evacuations_through.is_none() {
            return;
        }
        let (changes, unreadable) = evacuation::decode_changes(events);
        let list = {
            let known = self.shared.evacuations();
            known.list.with_changes(changes, Revision(revision))
        };
        self.shared.learn_evacuations(&list, EvacuationSource::Store);
        self.log_unreadable(unreadable);
        self.evacuations_through = Some(revision);
    }

    /// Logs once each key that names no failure domain.
    fn log_unreadable(&mut self, keys: Vec<UnreadableKey>) {
        for it in keys {
            if self.logged_keys.insert(it.key.clone()) {
                warn!(self.shared.log, "unreadable evacuation key"; "key" => it.key,
                    "reason" => %it.reason);
            }
        }
    }

    /// Puts a manifest in force if it is newer than the current one. Returns
    /// whether it is.
    fn apply_manifest(&self, item: &Item) -> bool {
        let shared = self.shared;
        let manifest = match manifest::decode(&item.value) {
            Ok(manifest) => Arc::new(manifest),
            Err(error) => {
                // The previous manifest stays in force.
                error!(shared.log, "unreadable manifest"; "revision" => item.revision,
                    "error" => %error);
                return false;
            }
        };
        let in_force = shared.manifest_version();
        if manifest.version <= in_force {
            return false;
        }
        info!(shared.log, "manifest in force"; "version" => %manifest.version,
            "before" => %in_force, "queues" => manifest.queues.len(), "revision" => item.revision);
        shared.manifest.send_replace(Some(manifest));
        true
    }
}

/// Returns how long to wait after a change before the key is read again. The
/// pause merges several changes into one reading, and grows with the size of
/// the manifest since all instances of a region share one link to the store.
fn reread_pause(item: &Item) -> Duration {
    let transfer = Duration::from_millis(item.value.len() as u64 / BYTES_PER_MS);
    transfer.clamp(MIN_REREAD_PAUSE, MAX_REREAD_PAUSE)
}
