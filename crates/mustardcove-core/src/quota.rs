//! Division of members' caps among groups.
//!
//! A member's cap applies to the sum over all groups, and there is no central
//! counter. The record `quota/{member}` holds an allotment per group and is
//! changed by compare-and-swap; the sum of the allotments never exceeds the
//! cap. A group owner starts work only within its allotment. See
//! `docs/quota.md`.
//!
//! Only a confirmed allotment may be used. While the outcome of a write is
//! unknown, the smaller of the old and the new amount applies. A new owner uses
//! nothing that its predecessor was granted until it has rewritten the record,
//! because a delayed write of the predecessor could still lower it.

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

pub use record::{
    AgreedCap, Allotment, AllotmentRequest, PendingCap, QUOTA_PREFIX, QuotaRecord, quota_key,
};

/// Time after which an unused allotment is returned, in milliseconds.
pub const IDLE_RETURN_MS: u64 = 2_000;

/// Least time between two calls for the same member, in milliseconds.
pub const MIN_CALL_INTERVAL_MS: u64 = 1_000;

/// Least time between two calls for the same member while urgent work waits for
/// an allotment for which the cap has room, in milliseconds.
///
/// Urgent work has to start within a second. Waiting for
/// [`MIN_CALL_INTERVAL_MS`] after a call that returned an unused allotment, or
/// whose write conflicted, would take all of that time. At most one call per
/// second is expedited, so that at most two calls are made for a member in any
/// second.
const URGENT_CALL_INTERVAL_MS: u64 = 250;

/// Longest time between two calls while the store fails or the cap is
/// exhausted, in milliseconds.
const MAX_CALL_INTERVAL_MS: u64 = 8_000;

/// Time for which a refused reservation counts as demand, in milliseconds.
const DEMAND_MS: u64 = 3_000;

/// Most demands that are kept per member.
const MAX_DEMANDS: usize = 64;

/// Time after the first listing at which the records are listed again, in
/// milliseconds. A write that the predecessor had in flight may take effect
/// after the first listing, on a record that the new owner had no reason to
/// rewrite.
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

/// A call to the store for one record.
#[derive(Clone, Debug)]
enum StoreCall {
    Get,
    Put(Box<QuotaRecord>),
}

/// State of one member's quota in this group.
#[derive(Clone, Debug, Default)]
struct MemberQuota {
    used: Resources,
    /// Largest use since `window_start`.
    peak: Resources,
    window_start: Timestamp,
    version: Option<KeyVersion>,
    record: Option<QuotaRecord>,
    /// Smallest amount that an unconfirmed write may have set.
    unconfirmed: Option<Resources>,
    call_in_flight: Option<(CallId, StoreCall)>,
    /// Whether a write that expects the known version may still take effect.
    write_uncertain: bool,
    /// Whether the record has to be read before it is written again.
    needs_read: bool,
    /// Whether a call was made since the last listing was sent, so that the
    /// listing may be older than `record`.
    called_since_listing: bool,
    next_call_at: Timestamp,
    called_at: Timestamp,
    /// Time from which the next call may be expedited.
    expedite_from: Timestamp,
    interval_ms: u64,
    /// Whether the cap was exhausted when the last call was made.
    cap_exhausted: bool,
    demands: BTreeMap<TaskId, Demand>,
}

impl MemberQuota {
    /// Schedules the next call earlier if urgent work waits and the call may
    /// obtain an allotment.
    fn expedite(&mut self, now: Timestamp) {
        let is_backing_off = self.interval_ms != MIN_CALL_INTERVAL_MS;
        if is_backing_off || self.cap_exhausted || !self.demands.values().any(|it| it.urgent) {
            return;
        }
        let earliest = self.called_at.plus_ms(URGENT_CALL_INTERVAL_MS).max(now);
        if self.expedite_from <= now && earliest < self.next_call_at {
            self.next_call_at = earliest;
            self.expedite_from = earliest.plus_ms(MIN_CALL_INTERVAL_MS);
        }
    }
}

/// A member's quota in one group, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The member.
    pub member: MemberId,
    /// Capacity that its tasks hold in this group.
    pub used: Resources,
    /// Capacity that its tasks may hold in this group now.
    pub allotment: Resources,
    /// The cap in force, if the record is known.
    pub cap: Option<Resources>,
    /// Lower cap that is not in force yet.
    pub pending_cap: Option<Resources>,
    /// Whether the outcome of a write is unknown.
    pub unconfirmed: bool,
    /// Number of reservations that were recently refused because the allotment
    /// was too small.
    pub waiting: usize,
}

/// Allotments of all members in one group.
#[derive(Clone, Debug)]
pub struct Quotas {
    group: GroupId,
    epoch: Epoch,
    process: ProcessId,
    rng: ChaCha8Rng,
    next_call: u64,
    agreed_caps: BTreeMap<MemberId, AgreedCap>,
    members: BTreeMap<MemberId, MemberQuota>,
    /// Members that may need a call to the store or a timer.
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
    /// Returns the state of a new owner of a group, which has read no record.
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
            agreed_caps: BTreeMap::new(),
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

    /// Sets the caps of an agreement; a member that it does not list gets a cap
    /// of zero.
    pub fn set_agreement(&mut self, agreement: &Agreement) {
        let removed = AgreedCap { cap: Resources::ZERO, revision: agreement.revision, evict: true };
        for agreed in self.agreed_caps.values_mut() {
            *agreed = AgreedCap { evict: agreed.evict, ..removed };
        }
        for member in agreement.members.values() {
            let agreed = AgreedCap {
                cap: member.cap,
                revision: agreement.revision,
                evict: member.evict_over_cap,
            };
            self.agreed_caps.insert(member.id.clone(), agreed);
        }
        self.active.extend(self.members.keys().cloned());
    }

    /// Reports whether the member's allotment has room for a task.
    pub fn fits(&self, member: &MemberId, resources: Resources) -> bool {
        let used = self.members.get(member).map_or(Resources::ZERO, |it| it.used);
        used.saturating_add(resources).fits_in(self.allotment(member))
    }

    /// Returns the confirmed capacity that the member's tasks may hold in this
    /// group.
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
        // A lower cap of the agreement applies to new work before the record is
        // written.
        match self.agreed_caps.get(member) {
            Some(agreed) if lowers_cap(record, agreed) => {
                amount.min(record.scaled_allotment(&self.group, agreed.cap))
            }
            Some(agreed) => amount.min(agreed.cap),
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

    /// Records a reservation that was refused because the allotment is too small.
    pub fn record_demand(
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
            let dropped = quota.demands.iter().find(|(_, it)| !it.urgent).map(|(task, _)| *task);
            let dropped = dropped.or_else(|| quota.demands.keys().next_back().copied());
            dropped.map(|task| quota.demands.remove(&task));
        }
        if urgent && !was_urgent {
            quota.interval_ms = MIN_CALL_INTERVAL_MS;
        }
        quota.expedite(now);
    }

    /// Removes the demand of a task that was reserved or abandoned.
    pub fn forget_demand(&mut self, member: &MemberId, task: &TaskId) {
        if let Some(quota) = self.members.get_mut(member) {
            quota.demands.remove(task);
        }
    }

    /// Returns the earliest time at which a call for the member may be made.
    pub fn next_call_at(&self, now: Timestamp, member: &MemberId) -> Timestamp {
        self.members.get(member).map_or(now, |it| it.next_call_at.max(now))
    }

    /// Returns the members whose work may be evicted and that use more than a
    /// pending lower cap allows, with the excess.
    pub fn evictable_excess(&self) -> Vec<(MemberId, Resources)> {
        let member_excess = |(id, quota): (&MemberId, &MemberQuota)| {
            let limit = quota.record.as_ref()?.limit(&self.group)?;
            let excess = quota.used.saturating_sub(limit);
            let evict = self.agreed_caps.get(id).is_some_and(|it| it.evict);
            (evict && !excess.is_zero()).then(|| (id.clone(), excess))
        };
        self.members.iter().filter_map(member_excess).collect()
    }

    /// Reports whether a record names a newer owner of this group.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Reports whether a call to the store is in flight.
    pub fn has_calls_in_flight(&self) -> bool {
        self.listing.is_some() || !self.calls.is_empty()
    }

    /// Returns the number of calls to the store made so far.
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

/// Reports whether the agreement lowers the cap below the allotted sum and the
/// record does not state the lower cap yet.
fn lowers_cap(record: &QuotaRecord, agreed: &AgreedCap) -> bool {
    let (cap, revision) = record.newest_cap();
    revision < agreed.revision && cap != agreed.cap && !record.allotted().fits_in(agreed.cap)
}
