//! How much of the distance from naive to oracle placement is closed.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/sim.rs"]
mod sim;

/// Guards against learning that does not reach placement: the bound of
/// section 1.9 of the design page, on p99 of a service under noise. A service
/// must not become fast at the expense of batch work either.
#[test]
fn p99_gap_closed() {
    for load in [Some(1.1), Some(1.5), None] {
        let runs = [1, 2].map(|seed| sim::Comparison::run(seed, load, (400, 600)));
        for run in &runs {
            assert!(0.7 <= run.closed(), "load {load:?}: {run}");
        }
        let work: f64 = runs.iter().map(sim::Comparison::relative_work).sum();
        assert!(2.0 <= work, "load {load:?}: less batch work than under naive: {runs:?}");
    }
}
