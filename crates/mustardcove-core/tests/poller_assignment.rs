//! Assignment of workers to pollers.

use std::collections::BTreeMap;

use mustardcove_core::{
    fleet::assignment::{Assignments, Poller, assign},
    id::{FailureDomainId, ProcessId, RegionId, WorkerId},
};

fn poller(name: &str, domain: &str, region: &str, weight: f64) -> Poller {
    Poller {
        process: format!("{name}.1").parse().unwrap(),
        name: name.to_owned(),
        domain: domain.parse().unwrap(),
        region: region.parse().unwrap(),
        weight,
    }
}

fn regions() -> BTreeMap<FailureDomainId, RegionId> {
    [("a1", "a"), ("a2", "a"), ("b1", "b")]
        .into_iter()
        .map(|it| (it.0.parse().unwrap(), it.1.parse().unwrap()))
        .collect()
}

fn assigned(pollers: &[Poller], workers: usize, domain: &str) -> BTreeMap<WorkerId, ProcessId> {
    let domain: FailureDomainId = domain.parse().unwrap();
    let workers: Vec<WorkerId> = (0..workers).map(|it| format!("w{it}").parse().unwrap()).collect();
    assign(pollers, &regions(), workers.iter().map(|it| (it, &domain)))
}

fn count(assigned: &BTreeMap<WorkerId, ProcessId>, name: &str) -> usize {
    assigned.values().filter(|it| it.as_str() == format!("{name}.1")).count()
}

/// Guards against polls from afar: they are the bulk of the traffic, so they
/// stay in the failure domain, or else in the region.
#[test]
fn nearest_first() {
    let pollers = [poller("p", "a1", "a", 1.0), poller("q", "a2", "a", 1.0)];
    assert_eq!(count(&assigned(&pollers, 40, "a1"), "p"), 40);
    let pollers = [poller("q", "a2", "a", 1.0), poller("r", "b1", "b", 1.0)];
    assert_eq!(count(&assigned(&pollers, 40, "a1"), "q"), 40);
    assert_eq!(count(&assigned(&pollers[1..], 40, "a1"), "r"), 40);
}

/// Guards against a small instance that gets as many workers as a large one.
#[test]
fn share_by_weight() {
    let pollers = [poller("p", "a1", "a", 0.1), poller("q", "a1", "a", 0.4)];
    let small = count(&assigned(&pollers, 1_000, "a1"), "p");
    assert!((130..270).contains(&small), "{small} of 1,000, about 200 are due");
}

/// Guards against workers that move between healthy processes when another one
/// is lost: each move costs connections and a gap in the polls.
#[test]
fn loss_moves_own() {
    let pollers: Vec<Poller> =
        ["p", "q", "r"].iter().map(|it| poller(it, "a1", "a", 1.0)).collect();
    let before = assigned(&pollers, 300, "a1");
    let after = assigned(&pollers[1..], 300, "a1");
    for (worker, process) in &before {
        if process.as_str() != "p.1" {
            assert_eq!(after[worker], *process);
        }
    }
}

/// Guards against reports of a process that was paused, lost its workers and has
/// got them back: what it reads when it goes on is of the time before.
#[test]
fn back_to_first() {
    let worker: WorkerId = "w0".parse().unwrap();
    let [first, second]: [ProcessId; 2] = ["p.1", "q.1"].map(|it| it.parse().unwrap());
    let [address, moved] = ["10.0.0.1:80", "10.0.0.2:80"].map(|it| it.parse().unwrap());
    let mut assignments = Assignments::default();
    let mut give = |process: &ProcessId, address| {
        let lost = assignments.update([(worker.clone(), process.clone(), address)]);
        let number = assignments.number_of(&worker).unwrap();
        assert_eq!(assignments.poller_of(&worker), Some(process));
        assert!(assignments.is_current(process, &worker, number));
        (number, !lost.is_empty())
    };
    let (before, is_lost) = give(&first, address);
    assert!(!is_lost, "nobody polled it");
    assert_eq!(give(&first, address), (before, false), "it keeps its poller");
    let (_, is_lost) = give(&second, address);
    assert!(is_lost);
    let (back, is_lost) = give(&first, address);
    assert!(is_lost && back != before);
    let (last, is_lost) = give(&first, moved);
    assert!(is_lost && last != back, "it polls another address");
    assert!(!assignments.is_current(&first, &worker, before), "a report of before its pause");
    assert!(assignments.update([]).into_iter().eq([(worker.clone(), (first.clone(), last))]));
    assert!(!assignments.is_current(&first, &worker, last));
}
