//! The stored record of a member's cap and its division among groups.
//!
//! The functions here do no input or output: they take the record that was read
//! and return the record to write, so that the rules can be tested without a
//! store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, GroupId, MemberId, ProcessId, Revision, WriteToken},
    size::{Accelerators, MemoryMib, Millicores, Resources},
};

/// Prefix of the keys of all quota records.
pub const QUOTA_PREFIX: &str = "quota/";

/// Divisor that gives the share of the unallotted cap that a group may take
/// beyond its demand: one eighth. The surplus saves calls while a member's work
/// grows.
const HEADROOM_DIVISOR: u64 = 8;

/// Returns a quarter of an amount.
///
/// Groups keep a quarter of their peak use in addition to it while enough of
/// the cap is unallotted. Without it, every small rise and fall in use would
/// cost a write.
pub(super) fn quarter(amount: Resources) -> Resources {
    Resources {
        cpu: Millicores(amount.cpu.0 / 4),
        memory: MemoryMib(amount.memory.0 / 4),
        accelerators: Accelerators(amount.accelerators.0 / 4),
    }
}

/// Returns the key of a member's quota record.
pub fn quota_key(member: &MemberId) -> String {
    format!("{QUOTA_PREFIX}{member}")
}

/// The part of a member's cap that one group may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// How much may be used.
    pub amount: Resources,
    /// The epoch of the owner that wrote it. A new owner rewrites it before it
    /// uses the amount, so that a late write of its predecessor conflicts.
    pub epoch: Epoch,
}

/// A lower cap that is not in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingCap {
    /// The lower cap.
    pub cap: Resources,
    /// The revision of the agreement that lowered it.
    pub revision: Revision,
    /// What each group may keep; the sum is within the lower cap. The limits
    /// are computed once, so that groups shrink without waiting for each other.
    pub limits: BTreeMap<GroupId, Resources>,
}

/// The value of `quota/{member}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// The cap in force; the sum of the allotments never exceeds it.
    pub cap: Resources,
    /// The revision of the agreement that set the cap in force.
    pub revision: Revision,
    /// A lower cap that is not in force yet.
    pub pending: Option<PendingCap>,
    /// What each group may use.
    pub allotments: BTreeMap<GroupId, Allotment>,
    /// The process that wrote the record.
    pub writer: ProcessId,
    /// Identifies the write if its answer is lost.
    pub token: WriteToken,
}

/// The cap that the agreement states for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgreedCap {
    /// The cap.
    pub cap: Resources,
    /// The revision of the agreement.
    pub revision: Revision,
    /// Whether work may be evicted to enforce a lower cap.
    pub evict: bool,
}

/// Input for the next allotment of a group.
#[derive(Clone, Copy, Debug)]
pub struct AllotmentRequest<'a> {
    /// Capacity that its tasks hold now; an allotment is never lowered below it.
    pub used: Resources,
    /// Part of the current allotment to keep.
    pub keep: Resources,
    /// Reservations that were refused, most urgent first.
    pub demand: &'a [Resources],
}

impl QuotaRecord {
    /// Returns a record without allotments.
    pub fn new(agreed: &AgreedCap, writer: ProcessId) -> QuotaRecord {
        QuotaRecord {
            cap: agreed.cap,
            revision: agreed.revision,
            pending: None,
            allotments: BTreeMap::new(),
            writer,
            token: WriteToken::default(),
        }
    }

    /// Returns the sum of all allotments.
    pub fn allotted(&self) -> Resources {
        self.allotments.values().fold(Resources::ZERO, |sum, it| sum.saturating_add(it.amount))
    }

    /// Reports whether enough of the cap is unallotted for groups to keep more
    /// than they use.
    pub fn has_unallotted_reserve(&self) -> bool {
        let left = self.cap.saturating_sub(self.allotted());
        self.pending.is_none() && quarter(self.cap).fits_in(left)
    }

    /// Returns the allotment of a group, zero if it has none.
    pub fn amount(&self, group: &GroupId) -> Resources {
        self.allotments.get(group).map_or(Resources::ZERO, |it| it.amount)
    }

    /// Returns what a group may keep under a pending lower cap, or `None` if
    /// there is no pending cap.
    pub fn limit(&self, group: &GroupId) -> Option<Resources> {
        let pending = self.pending.as_ref()?;
        Some(pending.limits.get(group).copied().unwrap_or(Resources::ZERO))
    }

    /// Returns the newest cap in the record, pending or in force, with its
    /// revision.
    pub fn newest_cap(&self) -> (Resources, Revision) {
        match &self.pending {
            Some(it) => (it.cap, it.revision),
            None => (self.cap, self.revision),
        }
    }

    /// Returns the allotment of a group, scaled down to a lower cap.
    pub fn scaled_allotment(&self, group: &GroupId, cap: Resources) -> Resources {
        scale_to_cap(self.amount(group), cap, self.allotted())
    }

    /// Reports whether two records differ in more than writer and token.
    pub fn differs(&self, other: &QuotaRecord) -> bool {
        self.cap != other.cap
            || self.revision != other.revision
            || self.pending != other.pending
            || self.allotments != other.allotments
    }

    /// Returns the record after applying the agreed cap and the request of one
    /// group.
    pub fn revise(
        &self,
        group: &GroupId,
        epoch: Epoch,
        agreed: &AgreedCap,
        request: &AllotmentRequest<'_>,
    ) -> QuotaRecord {
        let mut next = self.clone();
        next.apply_agreed_cap(agreed);
        let amount = next.next_amount(group, request);
        if amount.is_zero() {
            next.allotments.remove(group);
        } else {
            next.allotments.insert(group.clone(), Allotment { amount, epoch });
        }
        next.apply_pending_cap();
        next
    }

    /// Applies a cap of a newer revision: at once if the allotments are within
    /// it, otherwise as a pending cap with a limit per group.
    fn apply_agreed_cap(&mut self, agreed: &AgreedCap) {
        let (cap, revision) = self.newest_cap();
        if agreed.revision <= revision || agreed.cap == cap {
            return;
        }
        let allotted = self.allotted();
        let limits = self
            .allotments
            .iter()
            .map(|(id, it)| (id.clone(), scale_to_cap(it.amount, agreed.cap, allotted)))
            .collect();
        self.pending = Some(PendingCap { cap: agreed.cap, revision: agreed.revision, limits });
        self.apply_pending_cap();
    }

    /// Puts a pending cap in force if the allotments are within it.
    fn apply_pending_cap(&mut self) {
        let allotted = self.allotted();
        if let Some(pending) = self.pending.take_if(|it| allotted.fits_in(it.cap)) {
            self.cap = pending.cap;
            self.revision = pending.revision;
        }
    }

    fn next_amount(&self, group: &GroupId, request: &AllotmentRequest<'_>) -> Resources {
        let current = self.amount(group);
        let keep = request.keep.min(current);
        if let Some(limit) = self.limit(group) {
            // The part in use is returned when its tasks end or are evicted.
            return keep.min(limit).max(request.used.min(current));
        }
        let others = self.allotted().saturating_sub(current);
        let ceiling = self.cap.saturating_sub(others);
        let mut wanted = request.used;
        let mut all_fit = true;
        for demanded in request.demand {
            let sum = wanted.saturating_add(*demanded);
            if sum.fits_in(ceiling) {
                wanted = sum;
            } else {
                all_fit = false;
            }
        }
        let mut amount = wanted.max(keep).min(ceiling);
        if all_fit && !request.demand.is_empty() {
            let grown = wanted.saturating_sub(request.used);
            amount = amount.saturating_add(grown.min(headroom(ceiling.saturating_sub(amount))));
        }
        amount
    }
}

fn headroom(free: Resources) -> Resources {
    Resources {
        cpu: Millicores(free.cpu.0 / HEADROOM_DIVISOR),
        memory: MemoryMib(free.memory.0 / HEADROOM_DIVISOR),
        accelerators: Accelerators(free.accelerators.0 / HEADROOM_DIVISOR as u32),
    }
}

/// Returns `amount` scaled by `cap / sum`, rounded down, where the sum exceeds
/// the cap.
fn scale_to_cap(amount: Resources, cap: Resources, sum: Resources) -> Resources {
    let scale = |amount: u64, cap: u64, sum: u64| {
        if sum <= cap {
            return amount;
        }
        (u128::from(amount) * u128::from(cap) / u128::from(sum)) as u64
    };
    let accelerators = scale(
        u64::from(amount.accelerators.0),
        u64::from(cap.accelerators.0),
        u64::from(sum.accelerators.0),
    );
    Resources {
        cpu: Millicores(scale(amount.cpu.0, cap.cpu.0, sum.cpu.0)),
        memory: MemoryMib(scale(amount.memory.0, cap.memory.0, sum.memory.0)),
        accelerators: Accelerators(accelerators as u32),
    }
}
