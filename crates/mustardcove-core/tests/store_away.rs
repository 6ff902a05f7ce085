//! When the store counts as away.
//!
//! Guards against submissions that are written, with an unknown outcome, while
//! the store has not answered anything for a while, and against submissions
//! that are rejected because one answer was lost.

use mustardcove_core::{fleet::store_health::StoreHealth, time::Timestamp};

const START: Timestamp = Timestamp(50_000);

#[test]
fn silent_store() {
    let mut health = StoreHealth::default();
    health.record_answer(START);
    let later = START.plus_ms(1_300);
    assert!(!health.is_away(later), "nothing has failed");
    health.record_failure();
    assert!(!health.is_away(later), "one answer may have been lost");
    health.record_failure();
    assert!(!health.is_away(START.plus_ms(1_200)), "it answered a moment ago");
    assert!(health.is_away(later));
    health.record_answer(later);
    assert!(!health.is_away(later.plus_ms(10_000)), "it is back");
}

#[test]
fn never_reached() {
    let mut health = StoreHealth::default();
    assert!(!health.is_away(START), "a process that starts tries first");
    assert!(!health.is_reached(START));
    health.record_failure();
    health.record_failure();
    assert!(health.is_away(START));
    health.record_answer(START);
    assert!(health.is_reached(START.plus_ms(2_000)));
    assert!(!health.is_reached(START.plus_ms(2_500)));
}
