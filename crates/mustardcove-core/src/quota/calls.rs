//! Calls to the store for quota records.

use rand::RngExt;

use super::{
    AllotmentRequest, Demand, IDLE_RETURN_MS, LIST_LIMIT, MAX_CALL_INTERVAL_MS,
    MIN_CALL_INTERVAL_MS, MemberQuota, QUOTA_PREFIX, QuotaRecord, Quotas, RELIST_MS, StoreCall,
    lowers_cap, quota_key, record::quarter,
};
use crate::{
    id::{CallId, MemberId, WriteToken},
    size::Resources,
    store::{Entry, Expect, StoreError, StoreOp, StoreReply, StoreResult},
    time::{Timestamp, earliest},
    verdict::Verdict,
};

impl Quotas {
    /// Returns the time at which [`Quotas::poll`] is due next.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        if self.superseded {
            return None;
        }
        let list = if self.listing.is_none() { self.list_at } else { None };
        let due = |id: &MemberId| {
            let quota = self.members.get(id)?;
            if quota.call_in_flight.is_some() || !self.listed {
                return None;
            }
            let idle = quota.window_start.plus_ms(IDLE_RETURN_MS);
            let is_needed =
                !quota.demands.is_empty() || quota.needs_read || self.needs_write(id, quota);
            Some(if is_needed { quota.next_call_at } else { idle.max(quota.next_call_at) })
        };
        earliest(list, self.active.iter().filter_map(due).min())
    }

    /// Adds the calls that are due to `out`.
    pub fn poll(&mut self, now: Timestamp, out: &mut Vec<(CallId, StoreOp)>) {
        if self.superseded {
            return;
        }
        if self.listing.is_none() && self.list_at.is_some_and(|at| at <= now) {
            let call = self.new_call();
            self.listing = Some(call);
            self.members.values_mut().for_each(|it| it.called_since_listing = false);
            let start_after = self.list_after.clone();
            let prefix = QUOTA_PREFIX.to_owned();
            out.push((call, StoreOp::List { prefix, start_after, limit: LIST_LIMIT }));
        }
        if !self.listed || self.active.is_empty() {
            return;
        }
        let members: Vec<MemberId> = self.active.iter().cloned().collect();
        for member in members {
            self.poll_member(now, &member, out);
        }
    }

    /// Handles the result of a call made by [`Quotas::poll`].
    pub fn on_reply(&mut self, now: Timestamp, call: CallId, result: StoreResult) {
        if self.listing == Some(call) {
            self.listing = None;
            self.on_list_reply(now, result);
            return;
        }
        let Some(member) = self.calls.remove(&call) else { return };
        let Some(quota) = self.members.get_mut(&member) else { return };
        let Some((_, store_call)) = quota.call_in_flight.take_if(|it| it.0 == call) else {
            return;
        };
        self.active.insert(member.clone());
        match (store_call, result) {
            (StoreCall::Get, Ok(StoreReply::Got { entry, .. })) => {
                self.on_entry(now, &member, entry);
            }
            (StoreCall::Put(next), Ok(StoreReply::Written { version })) => {
                quota.version = Some(version);
                quota.record = Some(*next);
                quota.unconfirmed = None;
                quota.write_uncertain = false;
                quota.needs_read = false;
                quota.interval_ms = MIN_CALL_INTERVAL_MS;
            }
            (StoreCall::Put(_), Err(StoreError::Conflict { current })) => {
                self.on_entry(now, &member, current);
                if let Some(quota) = self.members.get_mut(&member) {
                    quota.expedite(now);
                }
            }
            (StoreCall::Put(_), Err(StoreError::Unavailable { verdict: Verdict::NotRun })) => {
                // An earlier write that expects the same version may still
                // take effect.
                if !quota.write_uncertain {
                    quota.unconfirmed = None;
                }
                self.back_off(now, &member);
            }
            (StoreCall::Put(_), _) => {
                quota.write_uncertain = true;
                quota.needs_read = true;
                self.back_off(now, &member);
            }
            (StoreCall::Get, _) => self.back_off(now, &member),
        }
    }

    fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        self.calls_made += 1;
        CallId(self.next_call)
    }

    fn on_list_reply(&mut self, now: Timestamp, result: StoreResult) {
        let Ok(StoreReply::Listed { entries, more, .. }) = result else {
            self.list_interval_ms = (self.list_interval_ms * 2).min(MAX_CALL_INTERVAL_MS);
            let jitter = self.rng.random_range(0..MIN_CALL_INTERVAL_MS);
            self.list_at = Some(now.plus_ms(self.list_interval_ms + jitter));
            return;
        };
        self.list_after = entries.last().map(|it| it.key.clone()).unwrap_or_default();
        for entry in entries {
            let name = entry.key.strip_prefix(QUOTA_PREFIX).and_then(|it| it.parse().ok());
            let Some(member) = name else { continue };
            if !self.member_mut(now, &member).called_since_listing {
                self.on_entry(now, &member, Some(entry));
            }
        }
        if more {
            self.list_at = Some(now);
            return;
        }
        self.list_after.clear();
        self.list_at = if self.listed { None } else { Some(now.plus_ms(RELIST_MS)) };
        self.listed = true;
    }

    /// Stores a record that was read or that a write conflicted with.
    fn on_entry(&mut self, now: Timestamp, member: &MemberId, entry: Option<Entry>) {
        let Some(quota) = self.members.get_mut(member) else { return };
        let version = entry.as_ref().map(|it| it.version);
        if version != quota.version {
            // A write that expects the earlier version can no longer take
            // effect; if it did, the record that was read includes it.
            quota.unconfirmed = None;
            quota.write_uncertain = false;
        }
        let record = match &entry {
            Some(entry) => serde_json::from_slice::<QuotaRecord>(&entry.value).ok(),
            None => None,
        };
        if entry.is_some() && record.is_none() {
            // A record that cannot be decoded is not overwritten; the last
            // known allotment remains.
            quota.needs_read = true;
            quota.next_call_at = quota.next_call_at.max(now.plus_ms(MAX_CALL_INTERVAL_MS));
            return;
        }
        let own = record.as_ref().and_then(|it| it.allotments.get(&self.group));
        self.superseded |= own.is_some_and(|it| self.epoch < it.epoch);
        quota.version = version;
        quota.record = record;
        quota.needs_read = false;
    }

    fn back_off(&mut self, now: Timestamp, member: &MemberId) {
        let jitter = self.rng.random_range(0..MIN_CALL_INTERVAL_MS / 2);
        let Some(quota) = self.members.get_mut(member) else { return };
        quota.interval_ms = (quota.interval_ms * 2).min(MAX_CALL_INTERVAL_MS);
        quota.next_call_at = quota.next_call_at.max(now.plus_ms(quota.interval_ms + jitter));
    }

    /// Reports whether the record has to be written without any demand: to
    /// resolve an uncertain write, to replace an allotment that a predecessor
    /// wrote, to allot capacity that is already used, or to apply a lower cap.
    fn needs_write(&self, member: &MemberId, quota: &MemberQuota) -> bool {
        if quota.write_uncertain {
            return true;
        }
        let Some(record) = &quota.record else { return !quota.used.is_zero() };
        let own = record.allotments.get(&self.group);
        if own.is_some_and(|it| it.epoch != self.epoch) {
            return true;
        }
        let Some(own) = own else { return !quota.used.is_zero() };
        if self.agreed_caps.get(member).is_some_and(|it| lowers_cap(record, it)) {
            return true;
        }
        if let Some(limit) = record.limit(&self.group) {
            let kept = own.amount.min(limit).max(quota.used.min(own.amount));
            return kept != own.amount;
        }
        false
    }

    fn poll_member(&mut self, now: Timestamp, member: &MemberId, out: &mut Vec<(CallId, StoreOp)>) {
        let Some(quota) = self.members.get_mut(member) else { return };
        quota.demands.retain(|_, it| now < it.expires_at);
        if quota.call_in_flight.is_some() {
            return;
        }
        let window_over = quota.window_start.plus_ms(IDLE_RETURN_MS) <= now;
        if now < quota.next_call_at {
            return;
        }
        let quota = &self.members[member];
        let is_needed =
            quota.needs_read || !quota.demands.is_empty() || self.needs_write(member, quota);
        if !is_needed && !window_over {
            return;
        }
        self.make_call(now, member, window_over, out);
        let Some(quota) = self.members.get_mut(member) else { return };
        if quota.call_in_flight.is_none() && is_needed {
            quota.next_call_at = quota.next_call_at.max(now.plus_ms(MIN_CALL_INTERVAL_MS));
        }
        if window_over {
            quota.window_start = now;
            quota.peak = quota.used;
        }
        let own = quota.record.as_ref().map_or(Resources::ZERO, |it| it.amount(&self.group));
        let is_idle =
            quota.call_in_flight.is_none() && !quota.needs_read && quota.demands.is_empty();
        if is_idle && own == quota.used {
            self.active.remove(member);
        }
    }

    fn make_call(
        &mut self,
        now: Timestamp,
        member: &MemberId,
        window_over: bool,
        out: &mut Vec<(CallId, StoreOp)>,
    ) {
        let Some(agreed) = self.agreed_caps.get(member).copied() else { return };
        let quota = &self.members[member];
        if quota.needs_read {
            self.send(now, member, StoreCall::Get, out);
            return;
        }
        let new_record = QuotaRecord::new(&agreed, self.process.clone());
        let record = quota.record.as_ref().unwrap_or(&new_record);
        let current = record.amount(&self.group);
        let keep = match window_over {
            false => current,
            true if record.has_unallotted_reserve() => {
                quota.peak.saturating_add(quarter(quota.peak))
            }
            true => quota.peak,
        };
        let mut demands: Vec<&Demand> = quota.demands.values().collect();
        demands.sort_by_key(|it| (!it.urgent, it.queued_since));
        let demand: Vec<Resources> = demands.iter().map(|it| it.resources).collect();
        let request = AllotmentRequest { used: quota.used, keep, demand: &demand };
        let mut next = record.revise(&self.group, self.epoch, &agreed, &request);
        if next.differs(record) || quota.write_uncertain {
            next.writer = self.process.clone();
            next.token = WriteToken(self.rng.random());
            if let Some(quota) = self.members.get_mut(member) {
                quota.cap_exhausted = false;
            }
            self.send(now, member, StoreCall::Put(Box::new(next)), out);
        } else if !demand.is_empty() && quota.record.is_some() {
            // The cap is exhausted according to the known record, but another
            // group may have returned an allotment since.
            let interval = (quota.interval_ms * 2).min(MAX_CALL_INTERVAL_MS);
            let urgent = demands[0].urgent;
            self.send(now, member, StoreCall::Get, out);
            let Some(quota) = self.members.get_mut(member) else { return };
            quota.cap_exhausted = true;
            if !urgent {
                quota.interval_ms = interval;
                quota.next_call_at = now.plus_ms(interval);
            }
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        member: &MemberId,
        store_call: StoreCall,
        out: &mut Vec<(CallId, StoreOp)>,
    ) {
        let call = self.new_call();
        let jitter = self.rng.random_range(0..MIN_CALL_INTERVAL_MS / 4);
        let Some(quota) = self.members.get_mut(member) else { return };
        let key = quota_key(member);
        let op = match &store_call {
            StoreCall::Get => StoreOp::Get { key },
            StoreCall::Put(next) => {
                let amount = next.amount(&self.group);
                let unconfirmed = quota.unconfirmed.map_or(amount, |it| it.min(amount));
                quota.unconfirmed = Some(unconfirmed);
                let expect = quota.version.map_or(Expect::Absent, Expect::Version);
                let value = serde_json::to_vec(next).expect("a quota record can be encoded");
                StoreOp::Put { key, value: value.into(), expect, lease: None }
            }
        };
        quota.call_in_flight = Some((call, store_call));
        quota.called_since_listing = true;
        quota.called_at = now;
        quota.next_call_at = now.plus_ms(MIN_CALL_INTERVAL_MS + jitter);
        self.calls.insert(call, member.clone());
        out.push((call, op));
    }
}
