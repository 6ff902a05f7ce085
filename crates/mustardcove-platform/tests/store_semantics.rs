//! Semantics of the store on which shard ownership and the shard log rely.

use std::time::Duration;

use mustardcove_core::{
    store::{
        Expect, KeyVersion, LeaseId, MAX_VALUE_BYTES, StoreError, StoreOp, StoreReply,
        StoreRevision, WatchEvent,
    },
    time::Timestamp,
};
use mustardcove_platform::{Clock, Store, memory::MemoryStore};

fn store() -> MemoryStore {
    MemoryStore::new(Clock::starting_at(Timestamp(1_000_000)), 1)
}

fn put(key: &str, value: &str, expect: Expect, lease: Option<LeaseId>) -> StoreOp {
    StoreOp::Put { key: key.to_owned(), value: value.to_owned().into(), expect, lease }
}

fn watch(prefix: &str, after: u64, wait_ms: u64) -> StoreOp {
    StoreOp::Watch { prefix: prefix.to_owned(), after: StoreRevision(after), wait_ms }
}

async fn written(store: &MemoryStore, op: StoreOp) -> KeyVersion {
    match store.call(op).await {
        Ok(StoreReply::Written { version }) => version,
        other => panic!("unexpected {other:?}"),
    }
}

async fn changes(store: &MemoryStore, op: StoreOp) -> (Vec<WatchEvent>, StoreRevision) {
    match store.call(op).await {
        Ok(StoreReply::Changes { events, revision }) => (events, revision),
        other => panic!("unexpected {other:?}"),
    }
}

/// Guards against two concurrent writers that are both told that their write
/// took effect.
#[tokio::test(start_paused = true)]
async fn compare_and_swap() {
    let store = store();
    let first = written(&store, put("a", "1", Expect::Absent, None)).await;
    let conflict = store.call(put("a", "2", Expect::Absent, None)).await;
    assert!(matches!(conflict, Err(StoreError::Conflict { current: Some(it) }) if it.value == "1"));
    let second = written(&store, put("a", "3", Expect::Version(first), None)).await;
    assert_ne!(first, second);
    let stale = store.call(put("a", "4", Expect::Version(first), None)).await;
    assert!(matches!(stale, Err(StoreError::Conflict { .. })));
    let missing = store.call(put("b", "1", Expect::Version(second), None)).await;
    assert_eq!(missing, Err(StoreError::Conflict { current: None }));
    assert_eq!(store.counters().conflicts, 3);
}

/// Guards against a version that is reused after a key was deleted, which would
/// let a stale writer overwrite the new value.
#[tokio::test(start_paused = true)]
async fn version_reuse() {
    let store = store();
    let first = written(&store, put("a", "1", Expect::Any, None)).await;
    let delete = StoreOp::Delete { key: "a".to_owned(), expect: Expect::Version(first) };
    assert_eq!(store.call(delete).await, Ok(StoreReply::Deleted));
    let second = written(&store, put("a", "1", Expect::Absent, None)).await;
    assert_ne!(first, second);
}

/// Guards against a session key that outlives its lease, and against one that
/// is deleted although its lease is renewed in time.
#[tokio::test(start_paused = true)]
async fn lease_expiry() {
    let store = store();
    let Ok(StoreReply::Granted { lease }) = store.call(StoreOp::GrantLease { ttl_ms: 3_000 }).await
    else {
        panic!("no lease");
    };
    written(&store, put("session/a", "x", Expect::Any, Some(lease))).await;
    tokio::time::sleep(Duration::from_millis(2_900)).await;
    assert_eq!(store.call(StoreOp::RenewLease { lease }).await, Ok(StoreReply::Renewed));
    let (events, _) = changes(&store, watch("session/", 1, 2_900)).await;
    assert_eq!(events, [], "the lease was renewed");
    let (events, _) = changes(&store, watch("session/", 1, 10_000)).await;
    assert_eq!(events, [WatchEvent::Delete { key: "session/a".to_owned() }]);
    assert_eq!(store.call(StoreOp::RenewLease { lease }).await, Err(StoreError::LeaseLost));
    let late = store.call(put("session/a", "x", Expect::Any, Some(lease))).await;
    assert_eq!(late, Err(StoreError::LeaseLost));
}

/// Guards against a key that is deleted with a lease to which it is no longer
/// attached.
#[tokio::test(start_paused = true)]
async fn lease_detach() {
    let store = store();
    let Ok(StoreReply::Granted { lease }) = store.call(StoreOp::GrantLease { ttl_ms: 100 }).await
    else {
        panic!("no lease");
    };
    written(&store, put("a", "leased", Expect::Any, Some(lease))).await;
    written(&store, put("a", "kept", Expect::Any, None)).await;
    assert_eq!(store.call(StoreOp::RevokeLease { lease }).await, Ok(StoreReply::Revoked));
    let kept = store.call(StoreOp::Get { key: "a".to_owned() }).await;
    assert!(matches!(kept, Ok(StoreReply::Got { entry: Some(_), .. })));
}

/// Guards against a watch that misses a change made between two calls.
#[tokio::test(start_paused = true)]
async fn watch_continuity() {
    let store = store();
    written(&store, put("config/a", "1", Expect::Any, None)).await;
    let (events, revision) = changes(&store, watch("config/", 0, 0)).await;
    assert_eq!(events.len(), 1);
    written(&store, put("other", "1", Expect::Any, None)).await;
    written(&store, put("config/b", "2", Expect::Any, None)).await;
    let (events, revision) = changes(&store, watch("config/", revision.0, 0)).await;
    assert!(matches!(&events[..], [WatchEvent::Put(it)] if it.key == "config/b"));

    let waiting = tokio::spawn({
        let store = store.clone();
        async move { changes(&store, watch("config/", revision.0, 60_000)).await.0.len() }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(store.counters().waiting_watches, 1);
    written(&store, put("config/a", "3", Expect::Any, None)).await;
    assert_eq!(waiting.await.unwrap(), 1);
    assert_eq!(store.counters().waiting_watches, 0);
}

/// Guards against a watcher that silently misses compacted changes.
#[tokio::test(start_paused = true)]
async fn compaction() {
    let store = store();
    for _ in 0..5 {
        written(&store, put("a", "1", Expect::Any, None)).await;
    }
    store.with_state(|it| it.compact(StoreRevision(3)));
    let compacted = store.call(watch("a", 2, 0)).await;
    assert_eq!(compacted, Err(StoreError::Compacted { oldest: StoreRevision(3) }));
    assert_eq!(changes(&store, watch("a", 3, 0)).await.0.len(), 2);
}

/// Guards against a paged list that repeats or omits keys between pages.
#[tokio::test(start_paused = true)]
async fn list_pages() {
    let store = store();
    for index in 0..25 {
        written(&store, put(&format!("log/{index:04}"), "x", Expect::Any, None)).await;
    }
    written(&store, put("other", "x", Expect::Any, None)).await;
    let mut keys = Vec::new();
    let mut start_after = String::new();
    loop {
        let op = StoreOp::List { prefix: "log/".to_owned(), start_after, limit: 10 };
        let Ok(StoreReply::Listed { entries, more, .. }) = store.call(op).await else {
            panic!("no list");
        };
        keys.extend(entries.into_iter().map(|it| it.key));
        start_after = keys.last().cloned().unwrap_or_default();
        if !more {
            break;
        }
    }
    assert_eq!(keys, (0..25).map(|it| format!("log/{it:04}")).collect::<Vec<_>>());
}

/// Guards against tests that pass with values which the platform's store would
/// refuse as too large.
#[tokio::test(start_paused = true)]
async fn value_size() {
    let store = store();
    let largest = "x".repeat(MAX_VALUE_BYTES);
    written(&store, put("a", &largest, Expect::Any, None)).await;
    let larger = "x".repeat(MAX_VALUE_BYTES + 1);
    assert_eq!(store.call(put("a", &larger, Expect::Any, None)).await, Err(StoreError::TooLarge));
}
