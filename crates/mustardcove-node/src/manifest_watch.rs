//! Watches the manifest in the store.
//!
//! A long-poll watch returns a change within milliseconds. Its wait is short,
//! so that it also shows within a second or two that the store cannot be
//! reached. A process that learns of a newer version from the leader reads the
//! key at once.

use std::{sync::Arc, time::Duration};

use mustardcove_adapter::{
    manifest,
    store::{Event, Item, MANIFEST_KEY, StoreFault, WatchOutcome},
};
use slog::{error, info, warn};

use crate::shared::Shared;

/// How long the store may hold a watch. An answer after a wait without changes
/// shows that the store can be reached.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest pause after a change before the key is read again.
const MIN_REREAD_PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause. Together with the time to read the key it stays below
/// the time within which a manifest has to be in force everywhere.
const MAX_REREAD_PAUSE: Duration = Duration::from_millis(2_300);
/// Bytes of the manifest for each millisecond of the pause: a part of the
/// bandwidth of a narrow link.
const BYTES_PER_MS: u64 = 150;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Keeps the manifest up to date until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut was_reachable = true;
    loop {
        let result = watch_manifest(&shared).await;
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

/// Reads the manifest, and returns after a pause if it has changed. Otherwise
/// watches it until it changes, the leader announces a newer version, or a call
/// to the store fails.
async fn watch_manifest(shared: &Shared) -> Result<(), StoreFault> {
    let is_first = shared.manifest().is_none();
    let item = shared.store.get_large(MANIFEST_KEY).await?;
    shared.store_answered();
    let Some((item, mut after)) = item else {
        tokio::time::sleep(RETRY_PAUSE).await;
        return Ok(());
    };
    if apply(shared, &item) && !is_first {
        tokio::time::sleep(reread_pause(&item)).await;
        return Ok(());
    }
    loop {
        let watched = tokio::select! {
            watched = shared.store.watch(MANIFEST_KEY, after, WATCH_WAIT) => watched?,
            () = shared.newer_manifest.notified() => return Ok(()),
        };
        shared.store_answered();
        let WatchOutcome::Events(events, revision) = watched else {
            tokio::time::sleep(RETRY_PAUSE).await;
            return Ok(());
        };
        after = revision;
        let newest = events.into_iter().rev().find_map(|it| match it {
            Event::Written(item) => Some(item),
            Event::Removed(_) => None,
        });
        if let Some(item) = newest {
            apply(shared, &item);
            tokio::time::sleep(reread_pause(&item)).await;
            return Ok(());
        }
    }
}

/// Returns how long to wait after a change before the key is read again. The
/// pause merges several changes into one reading, and grows with the size of
/// the manifest since all instances of a region share one link to the store.
fn reread_pause(item: &Item) -> Duration {
    let transfer = Duration::from_millis(item.value.len() as u64 / BYTES_PER_MS);
    transfer.clamp(MIN_REREAD_PAUSE, MAX_REREAD_PAUSE)
}

/// Puts a manifest in force if it is newer than the current one. Returns
/// whether it is.
fn apply(shared: &Shared, item: &Item) -> bool {
    if item.key != MANIFEST_KEY {
        return false;
    }
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
