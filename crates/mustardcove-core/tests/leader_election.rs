//! When a process claims the leadership.

use mustardcove_core::{
    fleet::election::{Candidacy, HEARTBEAT_INTERVAL_MS, next_claims},
    time::Timestamp,
};

const NOW: Timestamp = Timestamp(10_000);

fn claim_at(cpu_share: f64, link_mbps: f64) -> Timestamp {
    Candidacy::new(cpu_share, link_mbps, 0.5, NOW).claim_at()
}

/// Guards against a leader on an instance whose processor or link is too small
/// for it.
#[test]
fn strong_first() {
    let strong = claim_at(0.5, 1_000.0);
    assert!(strong < claim_at(0.1, 1_000.0));
    assert!(strong < claim_at(0.5, 10.0));
    let mut far = Candidacy::new(0.5, 1_000.0, 0.5, NOW);
    far.greeting_sent(30, NOW);
    assert!(strong < far.claim_at());
}

/// Guards against a claim although the leader is alive: heartbeats postpone it,
/// even if a few of them are lost.
#[test]
fn heartbeats_postpone() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    candidacy.heartbeat_received(true, NOW);
    assert!(NOW.plus_ms(3 * HEARTBEAT_INTERVAL_MS) < candidacy.claim_at());
}

/// Guards against waiting as long after a broken connection as after silence,
/// which is weaker evidence of a lost leader.
#[test]
fn broken_connection() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    candidacy.heartbeat_received(true, NOW);
    let silent = candidacy.claim_at();
    candidacy.connection_broke(NOW);
    assert!(candidacy.claim_at() < silent);
    candidacy.heartbeat_received(true, NOW);
    assert_eq!(candidacy.claim_at(), silent, "the leader is back");
}

/// Guards against a leader that is replaced because the link to the other
/// region is full: processes of its own region go first, however weak.
#[test]
fn own_region_first() {
    let mut near = Candidacy::new(0.05, 10.0, 1.0, NOW);
    near.heartbeat_received(true, NOW);
    let mut far = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    far.heartbeat_received(false, NOW);
    assert!(near.claim_at() < far.claim_at());
    near.connection_broke(NOW);
    far.connection_broke(NOW);
    assert!(near.claim_at().plus_ms(500) < far.claim_at());
    far.heartbeat_received(true, NOW);
    assert!(far.claim_at() < NOW.plus_ms(2_000), "the next leader is in its region");
}

/// Guards against a needless gap after a leader has stepped down: nobody waits
/// for its heartbeats.
#[test]
fn leader_stepped_down() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    candidacy.heartbeat_received(true, NOW);
    candidacy.leader_stepped_down(NOW);
    assert!(candidacy.claim_at() <= NOW.plus_ms(HEARTBEAT_INTERVAL_MS));
}

/// Guards against run numbers that fall after a leader record that cannot be
/// read.
#[test]
fn claims_rise() {
    assert_eq!(next_claims(None, 0), 1, "the first leader");
    assert_eq!(next_claims(Some(4), 900), 5);
    assert!(4 < next_claims(None, 900));
}

/// Guards against a process that has just started and replaces a sound leader of
/// the other region before that has answered it.
#[test]
fn found_in_record() {
    let mut near = Candidacy::new(0.05, 10.0, 1.0, NOW);
    near.found_leader(true, NOW);
    let mut far = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    far.found_leader(false, NOW);
    assert!(near.claim_at().plus_ms(500) < far.claim_at());
    let claim_at = far.claim_at();
    far.claim_failed(NOW);
    assert_eq!(far.claim_at(), claim_at, "it stays in another region");
}

/// Guards against a claim beside a sound leader, to which one of two connections was
/// closed in favour of the other.
#[test]
fn connection_restored() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    candidacy.heartbeat_received(true, NOW);
    let claim_at = candidacy.claim_at();
    candidacy.connection_broke(NOW);
    assert!(candidacy.claim_at() < claim_at);
    candidacy.connection_restored();
    assert_eq!(candidacy.claim_at(), claim_at, "its heartbeats decide again");
    candidacy.connection_broke(NOW);
    let broken = candidacy.claim_at();
    candidacy.claim_failed(NOW);
    assert!(broken < candidacy.claim_at(), "another claim is on its way");
}

/// Guards against a displaced leader that claims again while its successor
/// restores the plan: the end of its term must not shorten the wait that the
/// successor's heartbeat has set.
#[test]
fn displaced_leader() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    candidacy.heartbeat_received(true, NOW);
    let claim_at = candidacy.claim_at();
    candidacy.reschedule_claim(NOW.plus_ms(1));
    assert!(claim_at <= candidacy.claim_at(), "{claim_at} to {}", candidacy.claim_at());
}

/// Guards against a claim of a process that stood still, before it can hear the
/// leader, and against one on the evidence of a connection that others closed
/// meanwhile.
#[test]
fn stood_still() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    candidacy.heartbeat_received(true, NOW);
    let later = NOW.plus_ms(3_000);
    candidacy.connection_broke(later);
    candidacy.stood_still(later);
    candidacy.connection_broke(later);
    assert!(later.plus_ms(4 * HEARTBEAT_INTERVAL_MS) < candidacy.claim_at());
    candidacy.leader_stepped_down(later);
    assert!(candidacy.claim_at() <= later.plus_ms(HEARTBEAT_INTERVAL_MS), "it is heard");
}

/// Guards against a lost leader that a process never replaces because it is always
/// behind.
#[test]
fn always_behind() {
    let mut candidacy = Candidacy::new(0.05, 10.0, 1.0, NOW);
    candidacy.heartbeat_received(false, NOW);
    let mut now = NOW;
    while now < candidacy.claim_at() {
        now = now.plus_ms(700);
        candidacy.stood_still(now);
    }
    assert!(now < NOW.plus_ms(6_000), "{now}");
}

/// Guards against an answer that delays the replacement of a leader that is lost or
/// has stepped down, and against one that permits the claim beside a sound leader.
#[test]
fn hears_leader() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    assert!(!candidacy.hears_leader(NOW), "it has heard none");
    candidacy.heartbeat_received(true, NOW);
    let next = NOW.plus_ms(2 * HEARTBEAT_INTERVAL_MS);
    assert!(candidacy.hears_leader(next), "one heartbeat is late");
    assert!(!candidacy.hears_leader(NOW.plus_ms(4 * HEARTBEAT_INTERVAL_MS)));
    candidacy.connection_broke(next);
    assert!(!candidacy.hears_leader(next));
    candidacy.connection_restored();
    assert!(candidacy.hears_leader(next));
    candidacy.leader_stepped_down(next);
    assert!(!candidacy.hears_leader(next) && candidacy.is_planned());
    candidacy.heartbeat_received(true, next);
    assert!(!candidacy.is_planned(), "the next leader");
}

/// Guards against a full wait after the others opposed a claim since they had not
/// noticed yet that the leader is lost, and against asking all the time.
#[test]
fn claim_opposed() {
    let mut candidacy = Candidacy::new(0.5, 1_000.0, 0.0, NOW);
    candidacy.heartbeat_received(true, NOW);
    candidacy.connection_broke(NOW);
    let mut wait = || {
        let now = candidacy.claim_at();
        candidacy.claim_opposed(now);
        candidacy.claim_at().ms_since(now)
    };
    let waits: Vec<u64> = (0..6).map(|_| wait()).collect();
    assert!(waits[0] <= HEARTBEAT_INTERVAL_MS, "{waits:?}");
    assert!(waits.is_sorted() && 1_000 <= waits[5], "{waits:?}");
}
