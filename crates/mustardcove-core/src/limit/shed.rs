use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{
    class::{Class, ClassKind},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
};

/// Shortest time after which a caller may retry a request that was shed, in
/// milliseconds.
const MIN_RETRY_MS: u64 = 200;

/// Longest time after which a caller may retry a request that was shed, in
/// milliseconds.
const MAX_RETRY_MS: u64 = 5_000;

/// Priority of work when load is shed; the last variant is shed first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ShedClass {
    /// Urgent work of any kind.
    Urgent,
    /// Other service requests, whose callers wait for the answer.
    Service,
    /// Watchers, which are rarely submitted.
    Watcher,
    /// Batch work, which can be submitted later.
    Batch,
}

impl ShedClass {
    /// Returns the priority of a class.
    pub fn of(class: &Class) -> ShedClass {
        match class.kind {
            _ if class.urgent => ShedClass::Urgent,
            ClassKind::Service => ShedClass::Service,
            ClassKind::Watcher => ShedClass::Watcher,
            ClassKind::Batch => ShedClass::Batch,
        }
    }

    /// Returns the share of the capacity from which the class is shed, in
    /// thousandths.
    pub fn threshold_permille(self) -> u64 {
        match self {
            ShedClass::Urgent => 1000,
            ShedClass::Service => 900,
            ShedClass::Watcher => 800,
            ShedClass::Batch => 700,
        }
    }
}

/// Refuses work by class before a process is full.
///
/// Shedding begins below the full capacity, so that urgent work has room without
/// waiting for other work to end.
#[derive(Debug)]
pub struct Shedder {
    capacity: u64,
    in_flight: u64,
    rng: ChaCha8Rng,
}

impl Shedder {
    /// Returns a shedder for a process that admits up to `capacity` requests at
    /// once.
    pub fn new(capacity: u64, seed: u64) -> Shedder {
        Shedder { capacity, in_flight: 0, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Admits a request of the class or returns when to retry.
    ///
    /// # Errors
    ///
    /// Returns a refusal with verdict `NotRun` if the class is shed.
    pub fn try_begin(&mut self, now: Timestamp, class: ShedClass) -> Result<(), Refusal> {
        let limit = self.capacity * class.threshold_permille() / 1000;
        if self.in_flight < limit {
            self.in_flight += 1;
            return Ok(());
        }
        let detail = format!("{} requests in flight; {class} work is shed", self.in_flight);
        let refusal = Refusal::not_run(RefusalReason::Overloaded, detail);
        Err(refusal.with_retry_at(now.plus_ms(self.retry_ms(class))))
    }

    /// Records the end of an admitted request.
    ///
    /// # Panics
    ///
    /// Panics if no request is in flight.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.checked_sub(1).expect("no request is in flight");
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the time until a retry, in milliseconds.
    ///
    /// It grows with the distance to the class's threshold and has jitter, so
    /// that callers whose requests were shed together do not retry together.
    fn retry_ms(&mut self, class: ShedClass) -> u64 {
        let limit = self.capacity * class.threshold_permille() / 1000;
        let excess_permille = (self.in_flight - limit) * 1000 / self.capacity.max(1);
        let wait_ms = MIN_RETRY_MS + excess_permille * 10;
        let wait_ms = wait_ms.min(MAX_RETRY_MS / 2);
        wait_ms + self.rng.random_range(0..=wait_ms)
    }
}
