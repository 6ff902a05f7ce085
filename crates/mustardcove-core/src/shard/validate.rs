//! Validation of submissions against the agreement and the fleet.

use super::{Shard, log::MAX_QUEUE_BYTES};
use crate::{
    class::ClassKind,
    job::{JobSpec, MAX_PAYLOAD_BYTES},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
};

/// How the work of a submission is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Dispatch {
    /// As a task that a group starts.
    Task,
    /// As a request that an entry process sends to an upstream.
    Upstream,
}

/// Time after which callers may retry when the shard is full, in milliseconds.
const FULL_RETRY_MS: u64 = 5000;

impl Shard {
    /// Checks a new submission and fills in the defaults of its class.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with, whose verdict is that the work did
    /// not run.
    pub(super) fn validate(
        &mut self,
        spec: &mut JobSpec,
        dispatch: Dispatch,
    ) -> Result<(), Refusal> {
        let refuse = |reason, detail: String| Err(Refusal::not_run(reason, detail));
        let Some(agreement) = self.agreement.clone() else {
            let refusal =
                Refusal::not_run(RefusalReason::StoreUnavailable, "no agreement is known yet");
            return Err(refusal.with_retry_at(self.retry_at()));
        };
        let Some(member) = agreement.members.get(&spec.member) else {
            let detail = format!("member {} is not in the agreement", spec.member);
            return refuse(RefusalReason::Forbidden, detail);
        };
        let Some(class) = agreement.class_for(&spec.member, &spec.class) else {
            let detail = format!("member {} may not use class {}", spec.member, spec.class);
            return refuse(RefusalReason::Forbidden, detail);
        };
        if (class.kind == ClassKind::Service) != (dispatch == Dispatch::Upstream) {
            let detail = format!("class {} has kind {}", spec.class, class.kind);
            return refuse(RefusalReason::Invalid, detail);
        }
        if MAX_PAYLOAD_BYTES < spec.payload.len() {
            let len = spec.payload.len();
            let detail = format!("the body has {len} bytes; at most {MAX_PAYLOAD_BYTES} are taken");
            return refuse(RefusalReason::TooLarge, detail);
        }
        if spec.deadline.is_some_and(|it| it <= self.now) {
            let detail = "the deadline had passed when the request arrived".to_owned();
            return refuse(RefusalReason::DeadlineExceeded, detail);
        }
        if spec.resources.is_zero() {
            spec.resources = class.resources;
        }
        if spec.expected_run_ms == 0 {
            spec.expected_run_ms = class.expected_run_ms;
        }
        if dispatch == Dispatch::Task && !spec.resources.fits_in(member.cap) {
            let detail = format!("the job needs {}; the cap is {}", spec.resources, member.cap);
            return refuse(RefusalReason::OverCap, detail);
        }
        let is_fleet_known = self.cfg.summary_grace_ms <= self.now.ms_since(self.ready_at);
        let can_run = !is_fleet_known || self.groups.could_fit(spec.resources);
        if dispatch == Dispatch::Task && !can_run {
            let detail = format!("no worker could hold {}", spec.resources);
            return refuse(RefusalReason::NeverRunnable, detail);
        }
        Ok(())
    }

    /// Checks that the shard can accept one more job.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with, whose verdict is that the work did
    /// not run.
    pub(super) fn check_capacity(&mut self) -> Result<(), Refusal> {
        if self.is_store_down() {
            return Err(self.store_unavailable());
        }
        let share = self.cfg.max_state_bytes / usize::from(self.shards);
        let detail = if self.cfg.max_finished_jobs <= self.committed.done_count() {
            "too many finished jobs are remembered"
        } else if share <= self.committed.approximate_bytes() {
            "the memory for jobs is used up"
        } else if MAX_QUEUE_BYTES <= self.log.queue_bytes {
            "too much waits to be written"
        } else {
            return Ok(());
        };
        let retry_at = self.full_retry_at();
        Err(Refusal::not_run(RefusalReason::Overloaded, detail).with_retry_at(retry_at))
    }

    /// Returns when a retry may succeed: when the oldest finished job may be
    /// forgotten, after `FULL_RETRY_MS` at the latest, with jitter so that
    /// callers do not all retry at the same time.
    fn full_retry_at(&mut self) -> Timestamp {
        let spread = self.jitter(FULL_RETRY_MS);
        let oldest = self.retention.first().map_or(self.now, |(at, _)| *at);
        oldest.min(self.now.plus_ms(FULL_RETRY_MS)).max(self.now).plus_ms(spread + 1)
    }
}
