//! The store over HTTP under faults: each error must carry a correct verdict.

use std::time::{Duration, Instant};

use mustardcove_core::{
    store::{Expect, MAX_VALUE_BYTES, StoreError, StoreOp, StoreReply, StoreRevision},
    verdict::Verdict,
};
use mustardcove_platform::{
    Clock, Store,
    http::{HttpLimits, HttpStore},
    standin::StoreStandin,
};

async fn start() -> (StoreStandin, HttpStore) {
    let clock = Clock::start();
    let standin = StoreStandin::start(clock, 1).await.unwrap();
    let limits = HttpLimits {
        connect_timeout: Duration::from_millis(1_000),
        answer_timeout: Duration::from_millis(1_000),
        ..HttpLimits::default()
    };
    let store = HttpStore::new(clock, &standin.address().to_string(), limits);
    (standin, store)
}

fn put(key: &str, value: impl Into<bytes::Bytes>) -> StoreOp {
    StoreOp::Put { key: key.to_owned(), value: value.into(), expect: Expect::Absent, lease: None }
}

fn get(key: &str) -> StoreOp {
    StoreOp::Get { key: key.to_owned() }
}

fn unavailable(verdict: Verdict) -> Result<StoreReply, StoreError> {
    Err(StoreError::Unavailable { verdict })
}

async fn exists(standin: &StoreStandin, key: &str) -> bool {
    let found = standin.store().call(get(key)).await;
    matches!(found, Ok(StoreReply::Got { entry: Some(_), .. }))
}

/// Guards against values that arrive changed, including one of the largest
/// size.
#[tokio::test]
async fn values_unchanged() {
    let (_standin, store) = start().await;
    let value: Vec<u8> = (0..MAX_VALUE_BYTES).map(|it| (it * 31 % 251) as u8).collect();
    store.call(put("a", value.clone())).await.unwrap();
    let Ok(StoreReply::Got { entry: Some(entry), .. }) = store.call(get("a")).await else {
        panic!("no entry");
    };
    assert!(entry.value == value);
    let conflict = store.call(put("a", "x")).await;
    assert_eq!(conflict, Err(StoreError::Conflict { current: Some(entry) }));
    let larger = vec![0; MAX_VALUE_BYTES + 1];
    assert_eq!(store.call(put("b", larger)).await, Err(StoreError::TooLarge));
}

/// Guards against the verdict "not run" for a write that took effect but whose
/// answer was lost.
#[tokio::test]
async fn answer_lost() {
    let (standin, store) = start().await;
    standin.store().set_faults(|it| it.lose_next = 1);
    assert_eq!(store.call(put("a", "1")).await, unavailable(Verdict::MayHaveRun));
    assert!(exists(&standin, "a").await);
    assert_eq!(standin.store().counters().lost_answers, 1);
}

/// Guards against the verdict "may have run" for a write that the store refused
/// before it took effect.
#[tokio::test]
async fn refused_before_effect() {
    let (standin, store) = start().await;
    standin.store().set_faults(|it| it.refuse_next = 1);
    assert_eq!(store.call(put("a", "1")).await, unavailable(Verdict::NotRun));
    assert!(!exists(&standin, "a").await);
    assert!(store.call(put("a", "1")).await.is_ok());
}

/// Guards against a call that hangs while the store is down, and against a
/// client that does not reconnect once the store is up again.
#[tokio::test]
async fn server_down() {
    let (standin, store) = start().await;
    assert!(store.call(put("a", "1")).await.is_ok());
    standin.set_available(false);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(store.call(put("b", "1")).await, unavailable(Verdict::NotRun));
    standin.set_available(true);
    let deadline = Instant::now() + Duration::from_secs(3);
    while store.call(put("c", "1")).await.is_err() {
        assert!(Instant::now() < deadline, "the store is up but still cannot be reached");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(!exists(&standin, "b").await);
}

/// Guards against waiting forever for a store that accepts calls but never
/// answers.
#[tokio::test]
async fn silent_store() {
    let (standin, store) = start().await;
    standin.store().set_faults(|it| it.drop_calls = true);
    let began = Instant::now();
    assert_eq!(store.call(put("a", "1")).await, unavailable(Verdict::MayHaveRun));
    assert!(began.elapsed() < Duration::from_secs(3));
}

/// Guards against a slow answer being reported as a call that did not run.
#[tokio::test]
async fn slow_store() {
    let (standin, store) = start().await;
    standin.store().set_faults(|it| it.delay = Duration::from_millis(100));
    assert!(store.call(put("a", "1")).await.is_ok());
    standin.store().set_faults(|it| it.delay = Duration::from_millis(3_000));
    assert_eq!(store.call(put("b", "1")).await, unavailable(Verdict::MayHaveRun));
    assert!(exists(&standin, "b").await);
}

/// Guards against watches that block reads and writes, and against a watch
/// that is ended by the answer timeout of ordinary calls.
#[tokio::test]
async fn watch_waits() {
    let (standin, store) = start().await;
    let watch = StoreOp::Watch { prefix: String::new(), after: StoreRevision(0), wait_ms: 5_000 };
    let waiting: Vec<_> = (0..10)
        .map(|_| {
            tokio::spawn({
                let (store, watch) = (store.clone(), watch.clone());
                async move { store.call(watch).await }
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(standin.store().counters().waiting_watches, 10);
    assert!(store.call(put("a", "1")).await.is_ok());
    for it in waiting {
        let result = it.await.unwrap();
        assert!(matches!(result, Ok(StoreReply::Changes { events, .. }) if events.len() == 1));
    }
    assert_eq!(standin.store().counters().waiting_watches, 0);
}
