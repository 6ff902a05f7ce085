//! Allotments of members' caps.
//!
//! A member's cap holds over all groups, and there is no central count. The
//! cap is divided: `quota/{member}` holds an allotment per group, changed by
//! compare-and-swap, and the sum never exceeds the cap. A group owner starts
//! work only within its allotment. See `docs/quota.md`.
//!
//! An allotment counts only when it is certain. While the outcome of a write
//! is unknown, the smaller of the old and the new amount is used; a new owner
//! uses nothing that its predecessor was granted until it has rewritten the
//! record, because a delayed write of the predecessor could still lower it.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{
    agreement::Agreement,
    id::{CallId, Epoch, GroupId, MemberId, ProcessId, TaskId},
    size::Resources,
    store::KeyVersion,
    time::Timestamp,
};

mod calls;
mod record;

pub use record::{Allotment, PendingCap, QUOTA_PREFIX, QuotaRecord, Terms, Wish, quota_key};

/// Time for which an allotment may lie idle before it is returned, in
/// milliseconds.
pub const IDLE_RETURN_MS: u64 = 2_000;

/// Least time between two calls for the same member, in milliseconds.
pub const MIN_CALL_INTERVAL_MS: u64 = 1_000;

/// Shortest time between two calls for one member while urgent work waits for
/// an allotment that the cap leaves room for, in milliseconds.
///
/// Urgent work has to start within a second, and a call that was just made to
/// return what is idle, or that lost a race, would take all of it. At most one
/// call a second is moved forward, so that a member makes at most two calls in
/// any second.
const URGENT_CALL_INTERVAL_MS: u64 = 250;

/// Longest time between two calls while the store fails or the cap is used
/// up, in milliseconds.
const MAX_CALL_INTERVAL_MS: u64 = 8_000;

/// Time after which a refused reservation no longer counts as demand, in
/// milliseconds.
const DEMAND_MS: u64 = 3_000;

/// Most demands that are kept per member.
const MAX_DEMANDS: usize = 64;

/// Time after the first listing at which records are listed once more, in
/// milliseconds. A write that the predecessor had in flight may land after
/// the first listing on a record that the new owner had no reason to rewrite.
const RELIST_MS: u64 = 10_000;

/// Most records read by one listing.
const LIST_LIMIT: u32 = 500;

/// A refused reservation.
#[derive(Clone, Debug)]
struct Demand {
    resources: Resources,
    urgent: bool,
    queued_since: Timestamp,
    expires_at: Timestamp,
}

#[derive(Clone, Debug)]
enum Flight {
    Get,
    Put(Box<QuotaRecord>),
}

/// What is known of one member's cap.
#[derive(Clone, Debug, Default)]
struct MemberQuota {
    used: Resources,
    /// The most that was used since `window_start`.
    peak: Resources,
    window_start: Timestamp,
    version: Option<KeyVersion>,
    record: Option<QuotaRecord>,
    /// The smallest amount that an unconfirmed write may have set.
    unconfirmed: Option<Resources>,
    flight: Option<(CallId, Flight)>,
    /// Whether a write under the present version may still take effect.
    uncertain: bool,
    /// Whether the record has to be read before it is written.
    stale: bool,
    /// Whether a call was made since the last listing was sent, so that the
    /// listing may be older than what is known.
    touched: bool,
    next_call_at: Timestamp,
    called_at: Timestamp,
    /// When a call may next be moved forward.
    hurry_at: Timestamp,
    interval_ms: u64,
    /// Whether the cap was used up when the last call was made.
    used_up: bool,
    demands: BTreeMap<TaskId, Demand>,
}

impl MemberQuota {
    /// Moves the next call forward if urgent work waits and the call may help.
    fn hurry(&mut self, now: Timestamp) {
        let backs_off = self.interval_ms != MIN_CALL_INTERVAL_MS;
        if backs_off || self.used_up || !self.demands.values().any(|it| it.urgent) {
            return;
        }
        let earliest = self.called_at.plus_ms(URGENT_CALL_INTERVAL_MS).max(now);
        if self.hurry_at <= now && earliest < self.next_call_at {
            self.next_call_at = earliest;
            self.hurry_at = earliest.plus_ms(MIN_CALL_INTERVAL_MS);
        }
    }
}

/// A member's quota as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The member.
    pub member: MemberId,
    /// What its tasks hold in this group.
    pub used: Resources,
    /// What may be used in this group now.
    pub allotment: Resources,
    /// The cap in force, if the record is known.
    pub cap: Option<Resources>,
    /// A lower cap that is not in force yet.
    pub pending_cap: Option<Resources>,
    /// Whether the outcome of a write is unknown.
    pub unconfirmed: bool,
    /// Reservations refused lately for want of allotment.
    pub waiting: usize,
}

/// Allotments of one group, of all members.
#[derive(Clone, Debug)]
pub struct Quotas {
    group: GroupId,
    epoch: Epoch,
    process: ProcessId,
    rng: ChaCha8Rng,
    next_call: u64,
    terms: BTreeMap<MemberId, Terms>,
    members: BTreeMap<MemberId, MemberQuota>,
    /// Members whose state may call for a store call or a timer.
    active: BTreeSet<MemberId>,
    calls: BTreeMap<CallId, MemberId>,
    listing: Option<CallId>,
    list_at: Option<Timestamp>,
    list_after: String,
    list_interval_ms: u64,
    listed: bool,
    superseded: bool,
    calls_made: u64,
}

impl Quotas {
    /// Returns the allotments of a group whose owner has just changed.
    pub fn new(
        group: GroupId,
        epoch: Epoch,
        process: ProcessId,
        seed: u64,
        now: Timestamp,
    ) -> Quotas {
        Quotas {
            group,
            epoch,
            process,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_call: 0,
            terms: BTreeMap::new(),
            members: BTreeMap::new(),
            active: BTreeSet::new(),
            calls: BTreeMap::new(),
            listing: None,
            list_at: Some(now),
            list_after: String::new(),
            list_interval_ms: MIN_CALL_INTERVAL_MS / 2,
            listed: false,
            superseded: false,
            calls_made: 0,
        }
    }

    /// Takes over the caps of an agreement.
    pub fn set_agreement(&mut self, agreement: &Agreement) {
        let gone = Terms { cap: Resources::ZERO, revision: agreement.revision, evict: true };
        for terms in self.terms.values_mut() {
            *terms = Terms { evict: terms.evict, ..gone };
        }
        for member in agreement.members.values() {
            let terms = Terms {
                cap: member.cap,
                revision: agreement.revision,
                evict: member.evict_over_cap,
            };
            self.terms.insert(member.id.clone(), terms);
        }
        self.active.extend(self.members.keys().cloned());
    }

    /// Reports whether the member's allotment leaves room for a task.
    pub fn fits(&self, member: &MemberId, resources: Resources) -> bool {
        let used = self.members.get(member).map_or(Resources::ZERO, |it| it.used);
        used.saturating_add(resources).fits_in(self.allotment(member))
    }

    /// Returns what the member's tasks may hold in this group for certain.
    pub fn allotment(&self, member: &MemberId) -> Resources {
        let Some(quota) = self.members.get(member) else { return Resources::ZERO };
        let Some(record) = &quota.record else { return Resources::ZERO };
        let Some(own) = record.allotments.get(&self.group) else { return Resources::ZERO };
        if own.epoch != self.epoch || self.superseded {
            return Resources::ZERO;
        }
        let mut amount = own.amount;
        if let Some(limit) = record.limit(&self.group) {
            amount = amount.min(limit);
        }
        if let Some(unconfirmed) = quota.unconfirmed {
            amount = amount.min(unconfirmed);
        }
        // A lower cap of the agreement binds new work before it is written.
        match self.terms.get(member) {
            Some(terms) if must_lower(record, terms) => {
                amount.min(record.share_of(&self.group, terms.cap))
            }
            Some(terms) => amount.min(terms.cap),
            None => Resources::ZERO,
        }
    }

    /// Counts a task's resources as used.
    pub fn charge(&mut self, now: Timestamp, member: &MemberId, resources: Resources) {
        let quota = self.member_mut(now, member);
        quota.used = quota.used.saturating_add(resources);
        quota.peak = quota.peak.max(quota.used);
    }

    /// Counts a task's resources as no longer used.
    pub fn release(&mut self, now: Timestamp, member: &MemberId, resources: Resources) {
        let quota = self.member_mut(now, member);
        quota.used = quota.used.saturating_sub(resources);
    }

    /// Notes that a reservation was refused for want of allotment.
    pub fn demand(
        &mut self,
        now: Timestamp,
        member: &MemberId,
        task: TaskId,
        resources: Resources,
        urgent: bool,
        queued_since: Timestamp,
    ) {
        let expires_at = now.plus_ms(DEMAND_MS);
        let quota = self.member_mut(now, member);
        let was_urgent = quota.demands.values().any(|it| it.urgent);
        if quota.demands.len() < MAX_DEMANDS || quota.demands.contains_key(&task) || urgent {
            quota.demands.insert(task, Demand { resources, urgent, queued_since, expires_at });
        }
        if MAX_DEMANDS < quota.demands.len() {
            let victim = quota.demands.iter().find(|(_, it)| !it.urgent).map(|(task, _)| *task);
            let victim = victim.or_else(|| quota.demands.keys().next_back().copied());
            victim.map(|task| quota.demands.remove(&task));
        }
        if urgent && !was_urgent {
            quota.interval_ms = MIN_CALL_INTERVAL_MS;
        }
        quota.hurry(now);
    }

    /// Forgets the demand of a task that was served or given up.
    pub fn forget_demand(&mut self, member: &MemberId, task: &TaskId) {
        if let Some(quota) = self.members.get_mut(member) {
            quota.demands.remove(task);
        }
    }

    /// Returns the earliest time at which a call for the member may be made.
    pub fn next_call_at(&self, now: Timestamp, member: &MemberId) -> Timestamp {
        self.members.get(member).map_or(now, |it| it.next_call_at.max(now))
    }

    /// Returns members that hold more than they may under a lower cap and
    /// whose work may be evicted, with the excess.
    pub fn excess(&self) -> Vec<(MemberId, Resources)> {
        let over = |(id, quota): (&MemberId, &MemberQuota)| {
            let limit = quota.record.as_ref()?.limit(&self.group)?;
            let excess = quota.used.saturating_sub(limit);
            let evict = self.terms.get(id).is_some_and(|it| it.evict);
            (evict && !excess.is_zero()).then(|| (id.clone(), excess))
        };
        self.members.iter().filter_map(over).collect()
    }

    /// Reports whether a record names a newer owner of this group.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Reports whether a call to the store is in flight.
    pub fn is_busy(&self) -> bool {
        self.listing.is_some() || !self.calls.is_empty()
    }

    /// Returns the number of calls made so far.
    pub fn calls_made(&self) -> u64 {
        self.calls_made
    }

    /// Returns the members' quotas for operators, at most `limit`.
    pub fn status(&self, limit: usize) -> Vec<QuotaStatus> {
        let status = |(id, quota): (&MemberId, &MemberQuota)| QuotaStatus {
            member: id.clone(),
            used: quota.used,
            allotment: self.allotment(id),
            cap: quota.record.as_ref().map(|it| it.cap),
            pending_cap: quota.record.as_ref().and_then(|it| Some(it.pending.as_ref()?.cap)),
            unconfirmed: quota.unconfirmed.is_some(),
            waiting: quota.demands.len(),
        };
        self.members.iter().take(limit).map(status).collect()
    }

    fn member_mut(&mut self, now: Timestamp, member: &MemberId) -> &mut MemberQuota {
        if !self.active.contains(member) {
            self.active.insert(member.clone());
        }
        self.members.entry(member.clone()).or_insert_with(|| MemberQuota {
            window_start: now,
            interval_ms: MIN_CALL_INTERVAL_MS,
            ..MemberQuota::default()
        })
    }
}

/// Reports whether the terms ask for a lower cap that the record does not know.
fn must_lower(record: &QuotaRecord, terms: &Terms) -> bool {
    let (cap, revision) = record.target();
    revision < terms.revision && cap != terms.cap && !record.allotted().fits_in(terms.cap)
}
