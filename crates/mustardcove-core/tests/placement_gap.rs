//! How much of the gap between naive and oracle placement learning closes.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/sim.rs"]
mod sim;

/// Guards against learned slowdowns that do not improve placement. Section 1.9
/// of the design page bounds the p99 of a service under interference, and the
/// service must not gain at the expense of batch work.
#[test]
fn p99_gap_closed() {
    for load in [Some(1.1), Some(1.5), None] {
        let runs = [1, 2].map(|seed| sim::Comparison::run(seed, load, (400, 600)));
        for run in &runs {
            assert!(0.7 <= run.gap_closed(), "load {load:?}: {run}");
        }
        let work: f64 = runs.iter().map(sim::Comparison::relative_work).sum();
        assert!(2.0 <= work, "load {load:?}: less batch work than under naive: {runs:?}");
    }
}
