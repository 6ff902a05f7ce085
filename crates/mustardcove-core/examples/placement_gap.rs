//! Compares naive, learned and oracle placement on one simulated group of the
//! present size; see `docs/placement.md`.

#[path = "../tests/support/fleet.rs"]
mod fleet;
#[path = "../tests/support/sim.rs"]
mod sim;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Duration of the warm-up and of the measurement, in simulated seconds.
const STEPS: (u64, u64) = (600, 3000);

#[expect(clippy::print_stdout, reason = "the program reports on standard output")]
fn main() {
    println!("p99 and work are given for naive, learned, oracle; work relative to naive");
    for (name, load) in [("1.1/s", Some(1.1)), ("1.5/s", Some(1.5)), ("backlog", None)] {
        let (mut gap_closed, mut work) = (0.0, 0.0);
        for seed in SEEDS {
            let run = sim::Comparison::run(seed, load, STEPS);
            println!("{name}, seed {seed}: {run}");
            gap_closed += run.gap_closed() / SEEDS.len() as f64;
            work += run.relative_work() / SEEDS.len() as f64;
        }
        println!("{name}, mean: closed {:.0}%, work {work:.3}", 100.0 * gap_closed);
    }
}
