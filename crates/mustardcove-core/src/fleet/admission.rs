//! Which entries of service discovery name a worker that may be used.
//!
//! Other writers may leave entries among those of the workers, so an entry that
//! can be decoded need not describe a worker. Each bound here holds for any
//! machine, so that no real worker is left out. It keeps one entry from
//! affecting the others: the record of the workers has to fit into a value of
//! the store, and sums over all workers must not overflow.
//!
//! An entry that is left out counts as missing, so runs of its worker go on.
//! See `docs/platform.md`, section 5.

use strum::Display;

use super::{id::Incarnation, manifest::Manifest, planner::WorkerListing};
use crate::{id::WorkerId, size::Resources, time::Timestamp};

/// More than any machine has: a million processors, 4 PiB of memory and 65,536
/// accelerators. Sums over 65,536 workers, as percentages, fit into 63 bits.
pub(super) const MAX_CAPACITY: Resources = Resources::new(1_000_000_000, 1 << 32, 1 << 16);
/// How far ahead of this process's clock a worker may have begun, in
/// milliseconds. Clocks are set by seconds, so a day is no fault of a clock.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 3_600_000;
/// Most bytes of the service's name and the labels together, in bytes. With
/// names of the longest length, a segment of the roster takes up to 64 KiB.
const MAX_TEXT_BYTES: usize = 512;
/// Counted for each label in addition to its text.
const LABEL_BYTES: usize = 4;

/// Why an entry names no worker to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ListingFault {
    /// The manifest does not name its service.
    UnknownService,
    /// Nothing can be called at its address.
    UnusableAddress,
    /// No machine has this capacity.
    ImpossibleCapacity,
    /// It claims to have begun long after the present.
    FutureIncarnation,
    /// Its service and labels are too long.
    TooLong,
}

/// Splits the entries into those that may be used and the ids of the others.
/// While no manifest is known, any service may be named in it.
pub fn admit(
    listings: Vec<WorkerListing>,
    manifest: Option<&Manifest>,
    now: Timestamp,
) -> (Vec<WorkerListing>, Vec<(WorkerId, ListingFault)>) {
    let mut rejected = Vec::new();
    let mut admitted = Vec::with_capacity(listings.len());
    for listing in listings {
        match find_fault(&listing, manifest, now) {
            Some(fault) => rejected.push((listing.worker, fault)),
            None => admitted.push(listing),
        }
    }
    (admitted, rejected)
}

/// Returns why an entry names no worker to use; `None` if it may name one.
pub fn find_fault(
    listing: &WorkerListing,
    manifest: Option<&Manifest>,
    now: Timestamp,
) -> Option<ListingFault> {
    if manifest.is_some_and(|it| !is_named(&listing.service, it)) {
        Some(ListingFault::UnknownService)
    } else if !is_callable(listing) {
        Some(ListingFault::UnusableAddress)
    } else if !listing.capacity.fits_in(MAX_CAPACITY) {
        Some(ListingFault::ImpossibleCapacity)
    } else if is_future(listing.incarnation, now) {
        Some(ListingFault::FutureIncarnation)
    } else if MAX_TEXT_BYTES < text_bytes(listing) {
        Some(ListingFault::TooLong)
    } else {
        None
    }
}

/// Returns whether a worker cannot have begun this incarnation yet.
pub fn is_future(incarnation: Incarnation, now: Timestamp) -> bool {
    now.plus_ms(MAX_CLOCK_LEAD_MS).0 < incarnation.0
}

fn is_named(service: &str, manifest: &Manifest) -> bool {
    manifest.services.iter().any(|it| it.name == service)
        || manifest.queues.iter().any(|it| it.service == service)
}

/// Returns whether a connection to the worker's address can reach a machine of
/// that address. One to the unspecified address would reach this machine.
fn is_callable(listing: &WorkerListing) -> bool {
    let ip = listing.address.ip();
    let is_broadcast = match ip {
        std::net::IpAddr::V4(ip) => ip.is_broadcast(),
        std::net::IpAddr::V6(_) => false,
    };
    listing.address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

fn text_bytes(listing: &WorkerListing) -> usize {
    let labels: usize = listing.labels.iter().map(|it| it.len() + LABEL_BYTES).sum();
    listing.service.len() + labels
}
