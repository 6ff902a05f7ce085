//! The failure domains that operators evacuate.
//!
//! Load pattern: all workers of one failure domain, a sixth of the capacity, take
//! no new work for a while, and what runs there goes on.
//!
//! The operators' keys in the store decide. Each process follows them, and the
//! list that it derives says as of which revision of the store it is. Processes
//! and the leader exchange their lists, and the newest one counts, so that a
//! process which the store turns away knows of an evacuation as well. See
//! `docs/design/evacuation.md`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use strum::Display;

use super::id::Revision;
use crate::id::FailureDomainId;

/// The evacuated failure domains as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// The revision; 0 if the store was not read yet.
    pub as_of: Revision,
    /// The evacuated domains.
    pub domains: BTreeSet<FailureDomainId>,
}

/// Where a process has learned of evacuations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EvacuationSource {
    /// The store.
    Store,
    /// The leader's heartbeat.
    Leader,
    /// A report to the leader.
    Report,
}

/// A change of the operators' keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// A domain is evacuated.
    Evacuated(FailureDomainId),
    /// The evacuation of a domain has ended.
    Ended(FailureDomainId),
}

impl EvacuationList {
    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &FailureDomainId) -> bool {
        self.domains.contains(domain)
    }

    /// Returns whether this list is of a later revision than another.
    pub fn is_newer_than(&self, other: &EvacuationList) -> bool {
        other.as_of < self.as_of
    }

    /// Takes over another list if it is newer, whoever sent it. Returns whether
    /// the domains have changed.
    pub fn merge(&mut self, other: &EvacuationList) -> bool {
        if !other.is_newer_than(self) {
            return false;
        }
        self.as_of = other.as_of;
        let is_changed = self.domains != other.domains;
        if is_changed {
            self.domains.clone_from(&other.domains);
        }
        is_changed
    }

    /// Returns the list after changes, as of the later revision `as_of`.
    ///
    /// The changes have to be complete from a revision at or before that of this
    /// list on, and in order: earlier ones that this list contains already have no
    /// effect, since the last change of each key decides.
    #[must_use]
    pub fn with_changes(
        &self,
        changes: impl IntoIterator<Item = EvacuationChange>,
        as_of: Revision,
    ) -> EvacuationList {
        let mut domains = self.domains.clone();
        for change in changes {
            match change {
                EvacuationChange::Evacuated(domain) => domains.insert(domain),
                EvacuationChange::Ended(domain) => domains.remove(&domain),
            };
        }
        EvacuationList { as_of, domains }
    }
}
