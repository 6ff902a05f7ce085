//! Admission under overload.
//!
//! Guards against callers that are rejected although their work could be served,
//! against promises that are not kept, and against callers that all come back at
//! one moment.

use mustardcove_core::{
    fleet::{
        id::SubmissionId,
        overload::{
            Acceptance, Admission, Applicant, KnownLoad, LoadReport, MAX_PLACES, Place, Places,
            PoolLoad, RETURN_SPREAD_MS, Rejection, WorkAmount, decide,
        },
    },
    size::Millicores,
    time::{ClockShift, Timestamp},
};
use proptest::{prelude::*, sample::Index};

const NOW: Timestamp = Timestamp(500_000);

fn applicant(id: u64) -> Applicant<'static> {
    Applicant {
        id: SubmissionId(id),
        service: "press",
        priority: 0,
        is_exempt: false,
        critical_path_ms: 2_000,
        stretch_permille: 1_500,
        delay_budget_ms: 400,
        work: WorkAmount(16 * 3_900 * 1_000),
        smallest_task: Millicores(3_900),
    }
}

/// Returns a report on a pool in which work of a priority waits for `wait_ms`.
fn load(priority: u8, wait_ms: u64) -> PoolLoad {
    PoolLoad {
        service: "press".to_owned(),
        priority,
        wait_until: NOW.plus_ms(wait_ms),
        is_overloaded: true,
        free_millicores: Millicores(0),
        rate_millicores: Millicores(400_000),
        promised: WorkAmount(0),
    }
}

fn report(pools: impl IntoIterator<Item = PoolLoad>) -> LoadReport {
    LoadReport { pools: pools.into_iter().collect() }
}

fn judge(
    report: &LoadReport,
    applicant: &Applicant<'_>,
    places: &Places,
    now: Timestamp,
) -> Admission {
    decide(applicant, Some(KnownLoad { report, age_ms: 300 }), places, now)
}

fn rejected(admission: Admission) -> Rejection {
    match admission {
        Admission::Rejected(rejection) => rejection,
        Admission::Accepted(why) => panic!("accepted: {why}"),
    }
}

#[test]
fn rejected_if_hopeless() {
    let none = Places::default();
    // Late but worth something: 3 x (1.5 x 2 s + 0.4 s) - 2 s = 8.2 s, and 14.5 s if
    // the estimates are too low.
    for (wait_ms, is_accepted) in [(0, true), (8_000, true), (21_000, true), (22_000, false)] {
        let admission = judge(&report([load(0, wait_ms)]), &applicant(1), &none, NOW);
        assert_eq!(matches!(admission, Admission::Accepted(_)), is_accepted, "{wait_ms} ms");
    }
    let hopeless = report([load(0, 60_000)]);
    let rejection = rejected(judge(&hopeless, &applicant(1), &none, NOW));
    assert_eq!(rejection.wait_ms, 60_000);
    let accepted = |applicant: &Applicant<'_>, report: &LoadReport, age_ms, why| {
        let known = Some(KnownLoad { report, age_ms });
        assert_eq!(decide(applicant, known, &none, NOW), Admission::Accepted(why));
    };
    accepted(&applicant(1), &hopeless, 2_001, Acceptance::OldReport);
    let exempt = Applicant { is_exempt: true, ..applicant(1) };
    accepted(&exempt, &hopeless, 0, Acceptance::Exempt);
    let elsewhere = Applicant { service: "bindery", ..applicant(1) };
    accepted(&elsewhere, &hopeless, 0, Acceptance::NotOverloaded);
    let unmeasured = PoolLoad { rate_millicores: Millicores(0), ..load(0, 60_000) };
    accepted(&applicant(1), &report([unmeasured]), 0, Acceptance::NoForecast);
    let without = decide(&applicant(1), None, &none, NOW);
    assert_eq!(without, Admission::Accepted(Acceptance::NoReport), "the leader is gone");
}

/// A place that was promised, and the caller who returns to it.
#[test]
fn place_is_kept() {
    let hopeless = report([load(0, 60_000)]);
    let mut places = Places::default();
    let first = rejected(judge(&hopeless, &applicant(1), &places, NOW));
    let promised_at = first.place.promised_at;
    places.add(first.place.clone());
    let early = rejected(judge(&hopeless, &applicant(1), &places, NOW.plus_ms(2_000)));
    assert_eq!(early.place.first_arrival, NOW, "it keeps its first arrival");
    assert!(early.place.promised_at <= promised_at, "it is not put off");
    places.add(early.place);
    let back = judge(&hopeless, &applicant(1), &places, promised_at);
    assert_eq!(back, Admission::Accepted(Acceptance::Returned));
    let seconds = first.retry_after_s(NOW);
    assert!(promised_at <= NOW.plus_ms(seconds * 1_000), "whole seconds are not too few");
    places.expire(promised_at.plus_ms(4_999), |_| false);
    assert_eq!(places.len(), 1);
    places.expire(promised_at.plus_ms(5_000), |_| false);
    assert!(places.is_empty(), "a caller that stays away loses its place");
}

#[test]
fn places_bounded() {
    let mut places = Places::default();
    let place = |n: u64| Place {
        id: SubmissionId(n),
        service: "press".to_owned(),
        priority: 0,
        work: WorkAmount(10),
        first_arrival: NOW.plus_ms(n),
        promised_at: NOW.plus_ms(5_000),
    };
    for n in (0..2 * MAX_PLACES as u64).rev() {
        places.add(place(n));
    }
    assert_eq!(places.len(), MAX_PLACES);
    assert!(places.find(SubmissionId(0)).is_some(), "the first in order is kept");
    let mut report = report([load(0, 0), load(2, 0)]);
    places.fill(&mut report);
    assert_eq!(report.pools[0].promised, WorkAmount(10 * MAX_PLACES as u64));
    assert_eq!(report.pools[1].promised, WorkAmount(0));
    places.expire(NOW, |id| id == SubmissionId(0));
    assert_eq!(places.find(SubmissionId(0)), None, "it was accepted elsewhere");
}

#[test]
fn clocks_converted() {
    let sent_at = Timestamp(9_000);
    let shift = ClockShift::new(sent_at, NOW);
    let pool = PoolLoad { wait_until: sent_at.plus_ms(700), ..load(0, 0) };
    let local = report([pool]).to_local(shift);
    assert_eq!(local.pools[0].wait_until, NOW.plus_ms(700));
}

/// Two processes that hold different reports of one leader.
#[test]
fn processes_disagree() {
    let (calm, hopeless) = (report([load(0, 100)]), report([load(0, 60_000)]));
    let places = Places::default();
    let accepted = judge(&calm, &applicant(1), &places, NOW);
    assert_eq!(accepted, Admission::Accepted(Acceptance::InTime), "too much is harmless");
    let mut places = places;
    places.add(rejected(judge(&hopeless, &applicant(1), &Places::default(), NOW)).place);
    let elsewhere = judge(&calm, &applicant(1), &places, NOW.plus_ms(50));
    assert!(matches!(elsewhere, Admission::Accepted(_)), "a place does not delay anybody");
}

prop_compose! {
    fn pool()(
        priority in 0..3u8,
        wait_ms in 0..200_000u64,
        is_overloaded: bool,
        free in prop_oneof![3 => Just(0u64), 1 => 0..8_000u64],
        rate in 0..1_000_000u64,
        promised in 0..10_000_000_000u64,
    ) -> PoolLoad {
        PoolLoad {
            is_overloaded,
            free_millicores: Millicores(free),
            rate_millicores: Millicores(rate),
            promised: WorkAmount(promised),
            ..load(priority, wait_ms)
        }
    }
}

prop_compose! {
    fn place()(
        id in 0..20u64,
        priority in 0..3u8,
        work in 0..1_000_000_000u64,
        first_ms in 0..30_000u64,
        promised_ms in 0..60_000u64,
    ) -> Place {
        Place {
            id: SubmissionId(id),
            service: "press".to_owned(),
            priority,
            work: WorkAmount(work),
            first_arrival: NOW.minus_ms(first_ms),
            promised_at: NOW.minus_ms(first_ms).plus_ms(promised_ms),
        }
    }
}

prop_compose! {
    fn anyone()(
        id in 0..20u64,
        priority in 0..3u8,
        critical_path_ms in 0..20_000u64,
        work in 0..1_000_000_000u64,
        smallest in 1..5_000u64,
    ) -> Applicant<'static> {
        Applicant {
            priority,
            critical_path_ms,
            work: WorkAmount(work),
            smallest_task: Millicores(smallest),
            ..applicant(id)
        }
    }
}

fn places_of(places: &[Place]) -> Places {
    let mut held = Places::default();
    places.iter().cloned().for_each(|it| held.add(it));
    held
}

proptest! {
    #[test]
    fn never_rejected_needlessly(
        pools in proptest::collection::vec(pool(), 0..6),
        places in proptest::collection::vec(place(), 0..8),
        anyone in anyone(),
        age_ms in 0..4_000u64,
    ) {
        let (report, places) = (report(pools), places_of(&places));
        let known = KnownLoad { report: &report, age_ms };
        let Admission::Rejected(it) = decide(&anyone, Some(known), &places, NOW) else {
            return Ok(());
        };
        prop_assert!(age_ms <= 2_000, "by an old report");
        let own = report.find(anyone.service, anyone.priority).expect("an entry");
        prop_assert!(own.is_overloaded && own.free_millicores < anyone.smallest_task);
        for less_urgent in report.pools.iter().filter(|it| anyone.priority < it.priority) {
            prop_assert!(less_urgent.is_overloaded);
            prop_assert!(less_urgent.free_millicores < anyone.smallest_task);
            prop_assert!(own.wait_until <= less_urgent.wait_until);
        }
        // It could not be served late either, even by a forecast that is too long by
        // half, and with estimates that are too short.
        let path_ms = anyone.critical_path_ms * 19 / 10;
        let late_ms = 3 * (path_ms * 3 / 2 + 400);
        prop_assert!(late_ms < it.wait_ms * 100 / 150 + path_ms + 2, "{it:?}");
        let enough_at = NOW.plus_ms(it.wait_ms);
        prop_assert!(it.place.promised_at <= enough_at.plus_ms(RETURN_SPREAD_MS));
        let seconds = it.retry_after_s(NOW);
        prop_assert!(1 <= seconds && seconds * 1_000 <= it.wait_ms + RETURN_SPREAD_MS + 1_000);
        prop_assert!(decide(&anyone, None, &places, NOW) == Admission::Accepted(Acceptance::NoReport));
    }

    #[test]
    fn returning_before_newcomers(
        pools in proptest::collection::vec(pool(), 1..4),
        places in proptest::collection::vec(place(), 1..8),
        chosen: Index,
        anyone in anyone(),
    ) {
        let returning = Applicant { id: chosen.get(&places).id, ..anyone };
        let places = places_of(&places);
        let mut report = report(pools);
        places.fill(&mut report);
        let newcomer = Applicant { id: SubmissionId(99), ..returning.clone() };
        if let Admission::Accepted(_) = judge(&report, &newcomer, &places, NOW) {
            let back = judge(&report, &returning, &places, NOW);
            prop_assert!(matches!(back, Admission::Accepted(_)), "{back:?}");
        }
    }

    /// A burst of equal submissions, rejected with one report.
    #[test]
    fn returns_spread(first_id: u64, wait_ms in 30_000..50_000u64) {
        let report = report([load(0, wait_ms)]);
        let mut places = Places::default();
        let mut seconds = Vec::new();
        for n in 0..20u64 {
            let now = NOW.plus_ms(n * 20);
            let applicant = applicant(first_id.wrapping_add(n));
            let it = rejected(judge(&report, &applicant, &places, now));
            seconds.push(it.place.promised_at.ms_since(NOW) / 500);
            places.add(it.place);
        }
        let at_once = |it: u64| seconds.iter().filter(|other| **other == it).count();
        prop_assert!(seconds.iter().all(|it| at_once(*it) <= 10), "{seconds:?}");
    }
}
