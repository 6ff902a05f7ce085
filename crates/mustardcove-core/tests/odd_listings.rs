//! Entries of service discovery that can be decoded and name no worker to use.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        admission::{ListingFault, admit, find_fault},
        id::{Incarnation, Term},
        message::{PollResult, WorkerReport},
        planner::{Planner, WorkerListing},
        poller::MAX_ORPHAN_LEASE_MS,
        record,
        roster::Roster,
    },
    size::Resources,
    time::Timestamp,
};
use planner_rig::{Rig, START};

const NOW: Timestamp = Timestamp(1_700_000_000_000);

fn good() -> WorkerListing {
    listing("w0", 16_000, Incarnation(NOW.0))
}

fn fault(change: impl FnOnce(&mut WorkerListing)) -> Option<ListingFault> {
    let mut listing = good();
    change(&mut listing);
    find_fault(&listing, Some(&manifest(3)), NOW)
}

/// Guards against an entry that outweighs all workers, outranks the later
/// entries of its worker, or is called where no worker can be.
#[test]
fn odd_fields() {
    assert_eq!(find_fault(&good(), Some(&manifest(3)), NOW), None);
    let unknown = fault(|it| it.service = "unheard-of".to_owned());
    assert_eq!(unknown, Some(ListingFault::UnknownService));
    for text in ["0.0.0.0:80", "[::]:80", "10.0.0.1:0", "224.0.0.1:80", "255.255.255.255:80"] {
        let address = fault(|it| it.address = text.parse().expect("an address"));
        assert_eq!(address, Some(ListingFault::UnusableAddress), "{text}");
    }
    for capacity in [
        Resources::new(u64::MAX, 1, 0),
        Resources::new(1, u64::MAX, 0),
        Resources::new(1, 1, u32::MAX),
    ] {
        let fault = fault(|it| it.capacity = capacity);
        assert_eq!(fault, Some(ListingFault::ImpossibleCapacity), "{capacity}");
    }
    let future = fault(|it| it.incarnation = Incarnation(u64::MAX));
    assert_eq!(future, Some(ListingFault::FutureIncarnation));
    let labels = fault(|it| it.labels = vec![String::new(); 5_000]);
    assert_eq!(labels, Some(ListingFault::TooLong));
}

/// Workers with unusual fields stay in use: clocks that differ by minutes,
/// large machines, and those whose capacity has shrunk to nothing.
#[test]
fn unusual_fields() {
    assert_eq!(find_fault(&good(), None, NOW), None, "no manifest was read yet");
    assert_eq!(fault(|it| it.incarnation = Incarnation(NOW.0 + 600_000)), None);
    assert_eq!(fault(|it| it.incarnation = Incarnation(0)), None);
    assert_eq!(fault(|it| it.capacity = Resources::new(2_000_000, 64 << 20, 64)), None);
    assert_eq!(fault(|it| it.capacity = Resources::ZERO), None);
    assert_eq!(fault(|it| it.address = "[2001:db8::7]:80".parse().expect("an address")), None);
    assert_eq!(fault(|it| it.labels = vec!["a-long-label".to_owned(); 16]), None);
}

/// Guards against one entry that makes a segment of the roster larger than the
/// store accepts, so that no worker of the segment is usable any more.
#[test]
fn segment_fits() {
    let name = "n".repeat(128);
    let mut listings: Vec<WorkerListing> = Vec::new();
    for i in 0..200 {
        let mut it = good();
        it.worker = format!("{i:0>128}").parse().expect("a valid name");
        it.domain = name.parse().expect("a valid name");
        it.host = Some(name.parse().expect("a valid name"));
        let long = "l".repeat(if i % 2 == 0 { 450 } else { 1 << 20 });
        it.labels = vec![long];
        listings.push(it);
    }
    let (admitted, rejected) = admit(listings, Some(&manifest(3)), NOW);
    assert_eq!((admitted.len(), rejected.len()), (100, 100));
    let mut roster = Roster::default();
    roster.update(admitted);
    for write in roster.changes() {
        let bytes = record::encode(&write.value).len();
        assert!(bytes <= 64 << 10, "segment {}: {bytes} bytes", write.segment);
    }
}

/// Guards against a worker that gets no work in the whole term because another
/// writer's entry under its id claimed a later incarnation.
#[test]
fn false_incarnation() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    let real = rig.listings.clone();
    let mut odd = real.clone();
    odd[0].incarnation = Incarnation(2);
    rig.planner.update_workers(odd, true);
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    assert!(rig.plan().is_empty(), "the worker answers as another incarnation");
    rig.planner.update_workers(real, true);
    rig.poll_all();
    assert_eq!(rig.plan().len(), 1, "its own entry names the one that answers");
}

/// Guards against an entry at whose address no worker answers: once recorded,
/// it would keep each later leader from placing work that may have run.
#[test]
fn silent_not_recorded() {
    let begin = START;
    let expire_by = begin.plus_ms(MAX_ORPHAN_LEASE_MS);
    let (real, silent) =
        (listing("w0", 4_000, Incarnation(1)), listing("w1", 4_000, Incarnation(1)));
    let mut roster = Roster::default();
    let mut planner = Planner::new(Term(9), 2, manifest(3), expire_by);
    planner.restore_workers(Some(Vec::new()));
    planner.restore(submission(1, vec![step(1, 500, &[])], begin), false, None, begin);
    let fleet = vec![real.clone(), silent.clone()];
    let mut update = |planner: &mut Planner| {
        let (usable, candidates) =
            roster.update_answered(fleet.clone(), |it| planner.has_answered(it));
        planner.update_fleet(usable, candidates, true);
        planner.tick(begin);
        let orders = planner.take_actions().orders.len();
        for write in roster.changes() {
            roster.stored(write, 5);
        }
        let recorded: Vec<WorkerListing> = roster.workers();
        (orders, recorded)
    };
    assert_eq!(update(&mut planner), (0, Vec::new()));
    assert_eq!(planner.workers_to_poll().count(), 2, "candidates are polled");
    let poll = PollResult {
        incarnation: Incarnation(1),
        leases_expire_by: expire_by,
        responsive_since: begin,
        asked_at: begin,
        running: Vec::new(),
        ended: Vec::new(),
        may_lack_ends: false,
    };
    planner.report(&real.worker, WorkerReport::Polled(poll), begin);
    let (orders, recorded) = update(&mut planner);
    assert_eq!((orders, recorded), (0, vec![real]), "it is not recorded yet");
    assert_eq!(update(&mut planner).0, 1, "the silent one is not waited for");
}
