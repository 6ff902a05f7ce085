//! What callers are told of writes while the store misbehaves.
//!
//! Guards against a caller who is told that its submission was not accepted
//! while a write of it may still take effect, against an unknown outcome where
//! the evidence shows that nothing was written, and against known answers that
//! are held back.

use mustardcove_core::{
    fleet::{
        message::StoreOutcome,
        store_health::{StoreHealth, retry_after_s},
        store_write::{NextStep, StoreView, UnsettledWrites, WriteAttempts, WriteEnd},
    },
    time::Timestamp,
    verdict::Verdict,
};
use proptest::prelude::*;

const START: Timestamp = Timestamp(50_000);
const KEY: &str = "work/submission/a1";
const GIVE_UP_AT: Timestamp = Timestamp(52_250);
const CALM: StoreView =
    StoreView { is_away: false, is_in_doubt: false, may_be_stored: false, has_peer: false };

fn attempts() -> WriteAttempts {
    WriteAttempts::new(START, GIVE_UP_AT, false)
}

/// What the store does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    Answers,
    Refuses,
    /// Does not answer, and carries a write out after as many milliseconds.
    CarriesOutLate(u64),
    Drops,
}

fn deed() -> impl Strategy<Value = Deed> {
    prop_oneof![
        2 => Just(Deed::Answers),
        3 => Just(Deed::Refuses),
        2 => (0..6_000u64).prop_map(Deed::CarriesOutLate),
        2 => Just(Deed::Drops),
    ]
}

proptest! {
    /// One caller's write against a store that does something else at each call.
    #[test]
    fn refused_never_stored(
        deeds in proptest::collection::vec(deed(), 1..40),
        views in proptest::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..40),
    ) {
        let (mut attempts, mut unsettled) = (attempts(), UnsettledWrites::default());
        let mut now = START;
        // When the key exists, at the earliest.
        let mut stored_at: Option<Timestamp> = None;
        let mut deeds = deeds.into_iter().cycle();
        let mut views = views.into_iter().cycle();
        let outcome = loop {
            let (is_away, is_in_doubt, has_peer) = views.next().unwrap();
            let may_be_stored = unsettled.may_be_stored(KEY, now);
            let view = StoreView { is_away, is_in_doubt, may_be_stored, has_peer };
            let step = attempts.next(view, now);
            match step {
                NextStep::Finish(outcome) => break outcome,
                NextStep::Wait(until) => {
                    prop_assert!(until <= GIVE_UP_AT);
                    now = now.plus_ms(100).min(until.max(now.plus_ms(1)));
                    continue;
                }
                NextStep::Write | NextStep::AskPeer => unsettled.sent(KEY, now),
                NextStep::ReadBack => {}
            }
            let is_write = step != NextStep::ReadBack;
            let is_stored = stored_at.is_some_and(|it| it <= now);
            let deed = deeds.next().unwrap();
            if let Deed::CarriesOutLate(ms) = deed && is_write {
                let carried_out_at = now.plus_ms(ms);
                stored_at = Some(stored_at.map_or(carried_out_at, |it| it.min(carried_out_at)));
            }
            match (deed, step) {
                (Deed::Answers, NextStep::ReadBack) if !is_stored => attempts.not_found(now),
                (Deed::Answers, _) => {
                    stored_at = Some(stored_at.map_or(now, |it| it.min(now)));
                    break StoreOutcome::Stored;
                }
                (Deed::Refuses, NextStep::AskPeer) => {
                    attempts.peer_asked();
                    unsettled.not_run(KEY);
                }
                (_, NextStep::AskPeer) => {
                    attempts.peer_asked();
                    attempts.peer_unknown();
                }
                (Deed::Refuses, _) => {
                    if is_write {
                        unsettled.not_run(KEY);
                    }
                    attempts.attempt_failed(Verdict::NotRun, now);
                }
                _ if is_write => attempts.attempt_failed(Verdict::MayHaveRun, now),
                _ => attempts.attempt_failed(Verdict::NotRun, now),
            }
            now = now.plus_ms(20);
        };
        match outcome {
            StoreOutcome::NotStored => prop_assert_eq!(stored_at, None),
            StoreOutcome::MayBeStored => {
                prop_assert!(GIVE_UP_AT <= now, "an unknown outcome is settled until then");
                prop_assert!(unsettled.may_be_stored(KEY, now));
            }
            _ => prop_assert!(stored_at.is_some_and(|it| it <= now)),
        }
    }

    #[test]
    fn retry_after_bounds(outage_ms in 0..20_000u64, draw: u64) {
        prop_assert!((1..=4).contains(&retry_after_s(outage_ms, draw)));
    }
}

#[test]
fn known_at_once() {
    let away = StoreView { is_away: true, is_in_doubt: true, ..CALM };
    assert_eq!(attempts().next(away, START), NextStep::Finish(StoreOutcome::NotStored));
    let unsettled = StoreView { may_be_stored: true, ..away };
    let doubt_ends = START.plus_ms(1_300);
    assert_eq!(attempts().next(unsettled, START), NextStep::Wait(doubt_ends));
    assert_eq!(attempts().next(unsettled, doubt_ends), NextStep::Wait(GIVE_UP_AT));
    let late = attempts().next(unsettled, GIVE_UP_AT);
    assert_eq!(late, NextStep::Finish(StoreOutcome::MayBeStored));
}

#[test]
fn no_write_in_doubt() {
    let in_doubt = StoreView { is_in_doubt: true, ..CALM };
    let until = START.plus_ms(1_300);
    assert_eq!(attempts().next(in_doubt, START), NextStep::Wait(until));
    let end = attempts().next(in_doubt, until);
    assert_eq!(end, NextStep::Finish(StoreOutcome::NotStored), "nothing was sent");
    assert_eq!(attempts().end(StoreOutcome::NotStored), WriteEnd::NotSent);
    assert_eq!(attempts().next(CALM, START), NextStep::Write);
}

#[test]
fn settled_when_answered() {
    let mut attempts = attempts();
    attempts.attempt_failed(Verdict::MayHaveRun, START);
    let later = START.plus_ms(1_000);
    let unsettled = StoreView { may_be_stored: true, ..CALM };
    assert_eq!(attempts.next(unsettled, later), NextStep::Write);
    attempts.attempt_failed(Verdict::NotRun, later);
    let later = later.plus_ms(500);
    assert_eq!(attempts.next(unsettled, later), NextStep::ReadBack, "writes are refused");
    attempts.not_found(later);
    assert_eq!(attempts.next(unsettled, later.plus_ms(400)), NextStep::Write);
    assert_eq!(attempts.end(StoreOutcome::Stored), WriteEnd::Settled);
}

#[test]
fn refusals_end() {
    let mut attempts = attempts();
    for n in 0..4 {
        let now = START.plus_ms(n * 500);
        assert_eq!(attempts.next(CALM, now), NextStep::Write);
        attempts.attempt_failed(Verdict::NotRun, now);
    }
    let now = START.plus_ms(1_501);
    assert_eq!(attempts.next(CALM, now), NextStep::Finish(StoreOutcome::NotStored));
    assert_eq!(attempts.end(StoreOutcome::NotStored), WriteEnd::Refused);
    let with_peer = StoreView { has_peer: true, ..CALM };
    assert_eq!(attempts.next(with_peer, now), NextStep::AskPeer, "others may be served");
}

#[test]
fn doubt_ends() {
    let mut health = StoreHealth::default();
    assert!(!health.is_in_doubt(START), "a process that starts tries first");
    health.record_answer(START);
    health.record_write(START.plus_ms(100));
    assert!(!health.is_in_doubt(START.plus_ms(300)));
    assert!(health.is_in_doubt(START.plus_ms(400)), "the write hangs");
    health.record_answer(START.plus_ms(500));
    assert!(!health.is_in_doubt(START.plus_ms(1_700)));
    assert!(health.is_in_doubt(START.plus_ms(1_800)), "the watch should have ended");
    assert_eq!(health.outage_ms(START.plus_ms(1_800)), 1_300);
    health.record_answer(START.plus_ms(1_900));
    health.record_failure();
    assert!(health.is_in_doubt(START.plus_ms(1_900)));
}

#[test]
fn callers_spread() {
    let times = |outage_ms| (0..100).map(move |it| retry_after_s(outage_ms, it));
    for (outage_ms, expected) in [(0, 1..=2), (2_000, 1..=3), (9_000, 2..=4)] {
        for seconds in expected.clone() {
            assert!(times(outage_ms).any(|it| it == seconds), "{seconds} s at {outage_ms} ms");
        }
        assert!(times(outage_ms).all(|it| expected.contains(&it)));
    }
}

#[test]
fn forgotten_in_order() {
    let mut unsettled = UnsettledWrites::default();
    for n in 0..5_000 {
        unsettled.sent(&n.to_string(), START.plus_ms(n));
    }
    let now = START.plus_ms(5_000);
    assert!(!unsettled.may_be_stored("0", now), "the memory is bounded");
    assert!(unsettled.may_be_stored("4999", now));
    unsettled.sent("4999", now);
    unsettled.not_run("4999");
    assert!(unsettled.may_be_stored("4999", now), "the first attempt is still open");
    unsettled.settled("4999");
    assert!(!unsettled.may_be_stored("4999", now));
}
