//! Compares the store with a simple model, and a watcher's copy with the store.

use std::collections::BTreeMap;

use mustardcove_core::{
    store::{
        Expect, KeyVersion, LeaseId, StoreError, StoreOp, StoreReply, StoreRevision, WatchEvent,
    },
    time::Timestamp,
};
use mustardcove_platform::memory::StoreState;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Put { key: u8, expect: u8, with_lease: bool },
    Delete { key: u8 },
    Renew,
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6u8, 0..3u8, any::<bool>())
            .prop_map(|(key, expect, with_lease)| Step::Put { key, expect, with_lease }),
        1 => (0..6u8).prop_map(|key| Step::Delete { key }),
        1 => Just(Step::Renew),
        1 => (0..80u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Applies the changes after revision `seen` to a watcher's copy.
fn apply_changes(
    state: &mut StoreState,
    now: Timestamp,
    seen: &mut StoreRevision,
    copy: &mut BTreeMap<String, KeyVersion>,
) {
    let op = StoreOp::Watch { prefix: "k".to_owned(), after: *seen, wait_ms: 0 };
    let Ok(StoreReply::Changes { events, revision }) = state.apply(now, &op) else {
        panic!("no changes");
    };
    for event in events {
        match event {
            WatchEvent::Put(it) => copy.insert(it.key, it.version),
            WatchEvent::Delete { key } => copy.remove(&key),
        };
    }
    *seen = revision;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against a write that takes effect although its expectation does
    /// not hold, a key that outlives its lease, and a watcher whose copy
    /// differs from the store in the end.
    #[test]
    fn store_matches_model(steps in proptest::collection::vec((step(), any::<bool>()), 1..60)) {
        const TTL_MS: u64 = 100;
        let mut state = StoreState::default();
        let mut now = Timestamp(1_000);
        let mut model = BTreeMap::<String, (KeyVersion, bool)>::new();
        let (mut seen, mut copy) = (StoreRevision(0), BTreeMap::new());
        let Ok(StoreReply::Granted { lease }) =
            state.apply(now, &StoreOp::GrantLease { ttl_ms: TTL_MS })
        else {
            panic!("no lease");
        };
        let mut expires_at = now.plus_ms(TTL_MS);
        for (step, watches_now) in steps {
            match step {
                Step::Put { key, expect, with_lease } => {
                    let key = format!("k{key}");
                    let expect = match (expect, model.get(&key)) {
                        (0, _) => Expect::Absent,
                        (1, Some((version, _))) => Expect::Version(*version),
                        (1, None) => Expect::Version(KeyVersion(1)),
                        _ => Expect::Any,
                    };
                    let lease: Option<LeaseId> = with_lease.then_some(lease);
                    let value = "x".into();
                    let op = StoreOp::Put { key: key.clone(), value, expect, lease };
                    let result = state.apply(now, &op);
                    let holds = match expect {
                        Expect::Absent => !model.contains_key(&key),
                        Expect::Version(it) => model.get(&key).is_some_and(|(at, _)| *at == it),
                        Expect::Any => true,
                    };
                    match result {
                        Ok(StoreReply::Written { version }) => {
                            prop_assert!(holds);
                            prop_assert!(!with_lease || now < expires_at);
                            model.insert(key, (version, with_lease));
                        }
                        Err(StoreError::LeaseLost) => {
                            prop_assert!(with_lease && expires_at <= now);
                        }
                        Err(StoreError::Conflict { .. }) => prop_assert!(!holds),
                        other => panic!("unexpected {other:?}"),
                    }
                }
                Step::Delete { key } => {
                    let key = format!("k{key}");
                    model.remove(&key);
                    let op = StoreOp::Delete { key, expect: Expect::Any };
                    prop_assert_eq!(state.apply(now, &op), Ok(StoreReply::Deleted));
                }
                Step::Renew => {
                    let is_renewed = state.apply(now, &StoreOp::RenewLease { lease }).is_ok();
                    prop_assert_eq!(is_renewed, now < expires_at);
                    if is_renewed {
                        expires_at = now.plus_ms(TTL_MS);
                    }
                }
                Step::Wait { ms } => now = now.plus_ms(ms),
            }
            if expires_at <= now {
                model.retain(|_, (_, with_lease)| !*with_lease);
            }
            if watches_now {
                apply_changes(&mut state, now, &mut seen, &mut copy);
            }
        }
        apply_changes(&mut state, now, &mut seen, &mut copy);
        let versions: BTreeMap<_, _> = model.into_iter().map(|(key, it)| (key, it.0)).collect();
        prop_assert_eq!(copy, versions);
    }
}
