//! Records of submissions that were cancelled before they were stored.

use mustardcove_core::{
    fleet::withdrawals::{WITHDRAWAL_KEPT_MS, Withdrawals},
    time::Timestamp,
};

const BEGIN: Timestamp = Timestamp(1_000_000);

fn keys(revisions: &[(&str, u64)]) -> Vec<(String, u64)> {
    revisions.iter().map(|it| (it.0.to_owned(), it.1)).collect()
}

/// Guards against records that are never removed, and against the removal of one
/// that may still stop a write.
#[test]
fn removed_late() {
    let mut it = Withdrawals::default();
    let stored = keys(&[("a", 4), ("b", 7)]);
    assert_eq!(it.update(stored.clone(), BEGIN), []);
    let last = BEGIN.plus_ms(WITHDRAWAL_KEPT_MS);
    assert_eq!(it.update(keys(&[("a", 4), ("b", 7), ("c", 9)]), Timestamp(last.0 - 1)), []);
    assert_eq!(it.update(keys(&[("a", 4), ("b", 7), ("c", 9)]), last), stored);
    assert_eq!(it.update(keys(&[("c", 9)]), last), []);
}

/// Guards against the removal of a record that was written again.
#[test]
fn written_again() {
    let mut it = Withdrawals::default();
    it.update(keys(&[("a", 4)]), BEGIN);
    let last = BEGIN.plus_ms(WITHDRAWAL_KEPT_MS);
    assert_eq!(it.update(keys(&[("a", 5)]), last), []);
    assert_eq!(it.update(keys(&[("a", 5)]), last.plus_ms(WITHDRAWAL_KEPT_MS)), keys(&[("a", 5)]));
}
