//! The record of a member's cap and its division among groups.
//!
//! The functions here are pure: they take the record that was read and return
//! the record to write, so that the rules can be tested without a store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, GroupId, MemberId, ProcessId, Revision, WriteToken},
    size::{Accelerators, MemoryMib, Millicores, Resources},
};

/// Prefix of the keys of all quota records.
pub const QUOTA_PREFIX: &str = "quota/";

/// Share of the unallotted cap that may be taken beyond the demand, as a
/// divisor: one eighth. It spares calls while a member's work grows.
const HEADROOM_DIVISOR: u64 = 8;

/// Returns a quarter of an amount. Groups keep so much beyond their use while
/// the cap has slack: use that rises and falls a little would otherwise cost a
/// write each way.
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
    /// relies on the amount, which makes a write of its predecessor conflict.
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
    /// are fixed once, so that groups shrink without waiting for each other.
    pub limits: BTreeMap<GroupId, Resources>,
}

/// The value of `quota/{member}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// The cap in force; the sum of the allotments never exceeds it.
    pub cap: Resources,
    /// The revision of the agreement that set the cap in force.
    pub revision: Revision,
    /// A lower cap on its way.
    pub pending: Option<PendingCap>,
    /// What each group may use.
    pub allotments: BTreeMap<GroupId, Allotment>,
    /// The process that wrote the record.
    pub writer: ProcessId,
    /// Makes the write recognisable when its answer was lost.
    pub token: WriteToken,
}

/// The cap that the agreement states for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The cap.
    pub cap: Resources,
    /// The revision of the agreement.
    pub revision: Revision,
    /// Whether work may be evicted to get under a lower cap.
    pub evict: bool,
}

/// What a group wants its allotment to be.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// What its tasks hold now; an allotment never drops below it.
    pub used: Resources,
    /// What to keep of the present allotment.
    pub keep: Resources,
    /// Reservations that were refused, most urgent first.
    pub demand: &'a [Resources],
}

impl QuotaRecord {
    /// Returns a record without allotments.
    pub fn new(terms: &Terms, writer: ProcessId) -> QuotaRecord {
        QuotaRecord {
            cap: terms.cap,
            revision: terms.revision,
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

    /// Reports whether so much of the cap is left that groups may keep some of
    /// their allotment beyond what they use.
    pub fn has_slack(&self) -> bool {
        let left = self.cap.saturating_sub(self.allotted());
        self.pending.is_none() && quarter(self.cap).fits_in(left)
    }

    /// Returns the allotment of a group, zero if it has none.
    pub fn amount(&self, group: &GroupId) -> Resources {
        self.allotments.get(group).map_or(Resources::ZERO, |it| it.amount)
    }

    /// Returns what a group may keep while a lower cap is on its way.
    pub fn limit(&self, group: &GroupId) -> Option<Resources> {
        let pending = self.pending.as_ref()?;
        Some(pending.limits.get(group).copied().unwrap_or(Resources::ZERO))
    }

    /// Returns the newest cap that the record knows, with its revision.
    pub fn target(&self) -> (Resources, Revision) {
        match &self.pending {
            Some(it) => (it.cap, it.revision),
            None => (self.cap, self.revision),
        }
    }

    /// Returns what a group keeps of its allotment under a lower cap.
    pub fn share_of(&self, group: &GroupId, cap: Resources) -> Resources {
        share(self.amount(group), cap, self.allotted())
    }

    /// Reports whether two records differ in more than who wrote them.
    pub fn differs(&self, other: &QuotaRecord) -> bool {
        self.cap != other.cap
            || self.revision != other.revision
            || self.pending != other.pending
            || self.allotments != other.allotments
    }

    /// Returns the record after the agreement's terms and the wish of one
    /// group were applied.
    pub fn revise(
        &self,
        group: &GroupId,
        epoch: Epoch,
        terms: &Terms,
        wish: &Wish<'_>,
    ) -> QuotaRecord {
        let mut next = self.clone();
        next.apply_terms(terms);
        let amount = next.wanted_amount(group, wish);
        if amount.is_zero() {
            next.allotments.remove(group);
        } else {
            next.allotments.insert(group.clone(), Allotment { amount, epoch });
        }
        next.settle();
        next
    }

    /// Takes over a cap of a newer revision: at once if the allotments are
    /// within it, else as a pending cap with a limit per group.
    fn apply_terms(&mut self, terms: &Terms) {
        let (cap, revision) = self.target();
        if terms.revision <= revision || terms.cap == cap {
            return;
        }
        let allotted = self.allotted();
        let limits = self
            .allotments
            .iter()
            .map(|(id, it)| (id.clone(), share(it.amount, terms.cap, allotted)))
            .collect();
        self.pending = Some(PendingCap { cap: terms.cap, revision: terms.revision, limits });
        self.settle();
    }

    /// Puts a pending cap in force once the allotments are within it.
    fn settle(&mut self) {
        let allotted = self.allotted();
        if let Some(pending) = self.pending.take_if(|it| allotted.fits_in(it.cap)) {
            self.cap = pending.cap;
            self.revision = pending.revision;
        }
    }

    fn wanted_amount(&self, group: &GroupId, wish: &Wish<'_>) -> Resources {
        let current = self.amount(group);
        let keep = wish.keep.min(current);
        if let Some(limit) = self.limit(group) {
            // The used part is given back as its tasks end or are evicted.
            return keep.min(limit).max(wish.used.min(current));
        }
        let others = self.allotted().saturating_sub(current);
        let ceiling = self.cap.saturating_sub(others);
        let mut wanted = wish.used;
        let mut all = true;
        for need in wish.demand {
            let sum = wanted.saturating_add(*need);
            if sum.fits_in(ceiling) {
                wanted = sum;
            } else {
                all = false;
            }
        }
        let mut amount = wanted.max(keep).min(ceiling);
        if all && !wish.demand.is_empty() {
            let grown = wanted.saturating_sub(wish.used);
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
fn share(amount: Resources, cap: Resources, sum: Resources) -> Resources {
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
