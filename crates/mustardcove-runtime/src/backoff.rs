//! Exponential back-off with jitter.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The waits between attempts, which double up to a maximum.
///
/// Each wait is drawn at random from the upper half of its range, so that the
/// attempts of many processes spread out and no attempt follows immediately.
#[derive(Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Returns a back-off whose first wait is at most `min`.
    pub fn new(min: Duration, max: Duration, rng: ChaCha8Rng) -> Backoff {
        Backoff { min, max, next: min, rng }
    }

    /// Returns how long to wait before the next attempt.
    pub fn next_wait(&mut self) -> Duration {
        let wait = self.next.mul_f64(self.rng.random_range(0.5..=1.0));
        self.next = (self.next * 2).min(self.max);
        wait
    }

    /// Starts again at the minimum.
    pub fn reset(&mut self) {
        self.next = self.min;
    }
}
