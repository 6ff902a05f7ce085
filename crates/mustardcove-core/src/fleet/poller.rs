//! Polling of one worker, with the leases that its poller grants.
//!
//! A lease ends at a time on the worker's own clock, which may be slow. The
//! poller therefore computes that time from the worker's last answer. From it,
//! in turn, it computes the time on its own clock by which every run on the
//! worker has ended even if no further answer arrives. A worker that does not
//! answer gets no longer lease, so this time does not move.
//!
//! A worker may restart under its id, and its clock and the numbers of its ends
//! then start over. A lease that was computed from the clock before would last
//! for as long as the worker permits, and nothing here would tell: a poll may be
//! out for seconds. Leases and acknowledgements are therefore sent only over
//! connections that were open when the incarnation answered for which they are
//! meant, since these end with it. Before a start goes over a newer one, a short
//! poll asks which incarnation is there. A worker that left its last poll
//! unanswered is given no lease. If it answers as another incarnation, what was
//! granted shortly before that began counts as granted to it.
//!
//! A poller that is lost may have extended leases after its last report, so
//! its loss postpones that time. To keep the successive loss of several
//! pollers from postponing it each time, a poller extends leases only once the
//! leader has confirmed that it knows of the worker's answers.
//!
//! Once a successor takes over or another process polls the worker, the poller
//! grants nothing more and tells the leader by when its leases have ended, which
//! nobody else knows exactly of a worker that has just fallen silent.
//!
//! The leader may be behind with the reports that it receives, and may have
//! been replaced without knowing it. What it allows and orders therefore counts
//! from a report that it had handled, and not from the arrival of its message:
//! the newest one, so that a poller that the leader has given up does nothing
//! that the leader does not expect, and the newest one that a
//! [confirmation](super::confirmation) covers, so that nothing is granted once
//! the leases of this term count as expired elsewhere.
//!
//! What a lost leader or poller granted last is not known, so its successor waits
//! for [`MAX_ORPHAN_LEASE_MS`], the longest time for which it can matter:
//!
//! | part | ends |
//! |---|---|
//! | permission | [`LEADER_SILENT_MS`] after a report that was sent before the claim or the loss |
//! | lease that was granted last | [`MAX_LEASE_MS`] later, whatever the worker's clock |
//! | runs of the worker | [`LEASE_MARGIN_MS`] later |
//!
//! The sum is a trade-off. Users accept 7 s without a run after a leader is killed,
//! of which the claim and the confirmation of the next one take two. But a lease of
//! a sound worker has to outlast the change of its poller, and permission and lease
//! together the change of the leader. See section 5 of `docs/platform.md`; the tests
//! `lease_margins` and `killed_leaders` hold both.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use super::{
    id::{BootMillis, EndNumber, Incarnation},
    message::WorkerReport,
};
use crate::{id::ConnectionNumber, time::Timestamp};

/// Duration of a lease after the call that grants it, in milliseconds. It
/// outlasts a handover between pollers, and is short because work on an
/// unresponsive worker waits for its end.
pub const LEASE_MS: u64 = 3_000;
/// Age of the newest report that the leader had handled before it was last
/// confirmed, from which on a poller extends no lease and starts nothing, in
/// milliseconds.
pub const LEADER_SILENT_MS: u64 = 1_800;
/// Age of the newest report that the leader had handled when it ordered a start
/// from which on the start is not sent to the worker, in milliseconds.
pub const ORDER_MAX_AGE_MS: u64 = 1_500;
/// Time after its arrival from which an order that was not sent to the worker
/// is dropped, in milliseconds, so that a poller that was paused sends nothing
/// outdated.
pub const ORDER_VALID_MS: u64 = 1_000;
/// Time after the worker's last answer in which a poll that acknowledges ends
/// may be sent, in milliseconds: less than a restart takes, since the numbers of
/// ends start over in the worker's next incarnation, and `X-Expected-Instance`
/// names only the worker. It counts from when the worker may have answered, and
/// a connection that was made within it leads to the same incarnation.
pub const ACK_VALID_MS: u64 = 400;
/// Longest time for which a worker keeps a lease, whatever the end that it is
/// told, in milliseconds: the longest of all platforms.
pub const WORKER_MAX_LEASE_MS: u64 = 10_000;
/// Longest time from the grant of a lease until the call that carries it has
/// arrived, in milliseconds. It may wait to be sent, and then connects.
const MAX_CALL_DELAY_MS: u64 = ORDER_VALID_MS + 300;
/// Rate of the slowest clock of a worker, in percent of true time.
const SLOWEST_CLOCK_PERCENT: u64 = 98;
/// True time that a lease may last on the slowest clock, in milliseconds.
pub const MAX_LEASE_MS: u64 = on_slowest_clock(LEASE_MS);
/// Longer than any lease that a worker accepts, whatever the call asks for, in
/// milliseconds. A worker's clock should not go back; if one does, the end of
/// the granted lease lies far ahead of it.
const LONGEST_LEASE_MS: u64 = 600_000;
/// The longest time from the decision to start a task to the end of the lease
/// that the start grants, in milliseconds. Reports that were handled before the
/// decision were sent before it.
pub const MAX_START_LEASE_MS: u64 = ORDER_MAX_AGE_MS + MAX_LEASE_MS;
/// Added to the end of a lease for delays of the worker, in milliseconds.
pub const LEASE_MARGIN_MS: u64 = 200;
/// The longest time from the loss of a poller to the end of the last lease that it
/// may have granted, in milliseconds.
pub const LOST_POLLER_LEASE_MS: u64 = LEADER_SILENT_MS + MAX_LEASE_MS;
/// The longest time from the claim of a successor until the runs have ended whose
/// lease was extended last for an earlier leader, in milliseconds.
pub const MAX_ORPHAN_LEASE_MS: u64 = LOST_POLLER_LEASE_MS + LEASE_MARGIN_MS;

/// How long a worker on which something runs holds a poll, in milliseconds. Each
/// poll also renews the lease, whose duration is several times longer.
pub const BUSY_POLL_WAIT_MS: u64 = 800;
/// Time between two messages of a process to the leader while there are no
/// reports, in milliseconds.
pub const IDLE_REPORT_INTERVAL_MS: u64 = 400;
/// A process without a report for this long counts as lost, in milliseconds.
pub const LOST_AFTER_MS: u64 = 3 * IDLE_REPORT_INTERVAL_MS;

/// Returns the true time in which the slowest clock of a worker shows `ms`.
const fn on_slowest_clock(ms: u64) -> u64 {
    ms.saturating_mul(100) / SLOWEST_CLOCK_PERCENT
}

/// Shortest time between the starts of two polls of a worker, in milliseconds:
/// users pay for each poll, and seeing ends later only delays the next step.
pub const MIN_POLL_INTERVAL_MS: u64 = 220;
/// Consecutive failed polls after which the worker counts as silent; a single
/// answer may be lost.
const SILENT_AFTER_POLLS: u32 = 2;
/// Pause after a failed poll, in milliseconds.
const FAILED_POLL_PAUSE_MS: u64 = 250;
/// The same once [`UNANSWERED_POLLS`] have failed and none was answered: another
/// writer's entry may name an address where no worker ever listens.
const UNANSWERED_POLL_PAUSE_MS: u64 = 1_000;
/// Failed polls after which that pause is used, about as many as fail before
/// the entry of a worker that has ended is removed.
const UNANSWERED_POLLS: u32 = 20;
/// Polls for which an unanswered start keeps the worker busy although it lists
/// nothing: a start may be in progress for longer than a busy worker holds a
/// poll.
const BUSY_POLLS_AFTER_START: u32 = 2;
/// Polls that the worker does not hold after it has confirmed a stop: a run
/// that never began shows only in two polls that do not list it.
const SHORT_POLLS_AFTER_STOP: u32 = 2;

/// The leader's permission to extend leases and to start work, as a poller has
/// received it; none before the first heartbeat.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeasePermission {
    covered: Option<BootMillis>,
}

impl LeasePermission {
    /// Returns what a message of the leader permits, given the newest report
    /// that it had handled before it was last confirmed.
    pub fn new(covered: Option<BootMillis>) -> LeasePermission {
        LeasePermission { covered }
    }

    /// Returns whether leases may be extended.
    pub fn is_valid(&self, now: BootMillis) -> bool {
        self.deadline().is_some_and(|it| now < it)
    }

    fn deadline(&self) -> Option<BootMillis> {
        Some(self.covered?.plus_ms(LEADER_SILENT_MS))
    }
}

/// Returns until when a start may be sent to its worker that arrived now, given
/// the newest report that the leader had handled and its permission; `None` if
/// it is too late already.
pub fn start_deadline(
    handled: Option<BootMillis>,
    permission: LeasePermission,
    now: BootMillis,
) -> Option<BootMillis> {
    let handled_deadline = handled?.plus_ms(ORDER_MAX_AGE_MS);
    let deadline = handled_deadline.min(permission.deadline()?).min(now.plus_ms(ORDER_VALID_MS));
    (now < deadline).then_some(deadline)
}

/// The connections that lead to one incarnation of a worker, or nowhere: all up to
/// a number. Clones share the number, which rises with each answer. A call that
/// waits for a connection may therefore use one that has been found meanwhile to
/// lead to the incarnation for which it is meant.
#[derive(Clone, Debug, Default)]
pub struct KnownConnections(Arc<AtomicU64>);

impl KnownConnections {
    /// Returns the connections up to a number.
    pub fn new(through: ConnectionNumber) -> KnownConnections {
        KnownConnections(Arc::new(AtomicU64::new(through.0)))
    }

    /// Returns the number of the newest of them.
    pub fn through(&self) -> ConnectionNumber {
        ConnectionNumber(self.0.load(Ordering::SeqCst))
    }

    fn raise(&self, through: ConnectionNumber) {
        self.0.fetch_max(through.0, Ordering::SeqCst);
    }
}

/// A worker's clock and the leases granted to it, as recorded by its poller;
/// the default is the state before the first call.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerLease {
    incarnation: Incarnation,
    /// The worker's clock in its last answer, in milliseconds, and the time
    /// when the answer arrived.
    answer: Option<(u64, Timestamp)>,
    /// The latest lease end sent in any call, on the worker's clock.
    granted_until: u64,
    /// When the last lease was granted.
    granted_at: Option<Timestamp>,
}

impl WorkerLease {
    /// Records an answer of an incarnation of the worker, which was asked for at
    /// `asked_at`.
    ///
    /// The worker may have answered at any time in between. Each use takes the
    /// end that is safe: a lease on the worker's clock is taken to last for the
    /// longest if the clock was read now, and an incarnation began no earlier
    /// than if it was read when it was asked for.
    pub fn record_answer(
        &mut self,
        incarnation: Incarnation,
        clock_ms: u64,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            let began = asked_at.minus_ms(on_slowest_clock(clock_ms));
            let may_hold = self.granted_at.is_some_and(|it| began <= it.plus_ms(MAX_CALL_DELAY_MS));
            let longest = if may_hold { clock_ms + WORKER_MAX_LEASE_MS } else { 0 };
            self.granted_until = self.granted_until.min(longest);
        }
        self.answer = Some((clock_ms, now));
    }

    /// Returns the end of a new lease on the worker's clock, and records it as
    /// granted; `None` before the first answer. The clock is taken to have been slow
    /// since then, so that no lease lasts for longer than [`MAX_LEASE_MS`] however
    /// old the answer is.
    pub fn grant(&mut self, now: Timestamp) -> Option<u64> {
        let (clock_ms, at) = self.answer?;
        let passed_ms = now.ms_since(at).saturating_mul(SLOWEST_CLOCK_PERCENT) / 100;
        let until = clock_ms.saturating_add(passed_ms.saturating_add(LEASE_MS));
        self.granted_until = self.granted_until.max(until);
        self.granted_at = Some(now);
        Some(until)
    }

    /// Returns the time by which every lease granted here has expired; `None`
    /// if none was granted. It does not move while the worker does not answer.
    pub fn expires_by(&self) -> Option<Timestamp> {
        let (clock_ms, at) = self.answer.filter(|_| 0 < self.granted_until)?;
        let left = self.granted_until.saturating_sub(clock_ms).min(LONGEST_LEASE_MS);
        Some(at.plus_ms(on_slowest_clock(left)))
    }
}

/// Parameters of the next poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextPoll {
    /// The end of the lease on the worker's clock; `None` leaves it as it is.
    pub lease_until: Option<u64>,
    /// Ends up to this number are acknowledged.
    pub acknowledge_through: EndNumber,
    /// How long the worker may hold the call.
    pub wait: PollWait,
    /// The call is not sent from this time on.
    pub send_by: Timestamp,
}

impl NextPoll {
    /// Returns whether it carries something that is meant for one incarnation only,
    /// and may therefore only be sent over connections that lead to that.
    pub fn is_bound(&self) -> bool {
        self.lease_until.is_some() || self.acknowledge_through != EndNumber::default()
    }
}

/// How long a worker may hold a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollWait {
    /// It answers at once: it did not answer the last poll, may have more ends
    /// than it listed, or has just confirmed a stop, the leader has not
    /// confirmed its answers, or ends are to be acknowledged and its last answer
    /// is too old for that.
    None,
    /// Until a run ends or the lease has to be renewed.
    Busy,
    /// Nothing runs there, so the answer only has to show from time to time
    /// that the worker still responds.
    Idle,
}

/// A time of a process, on both of its clocks.
#[derive(Clone, Copy, Debug)]
struct AskedAt {
    now: Timestamp,
    boot: BootMillis,
}

/// An answer of a worker: its clock, and the earliest time at which it may have
/// shown that.
#[derive(Clone, Copy, Debug)]
struct Answered {
    clock_ms: u64,
    earliest: BootMillis,
}

impl Answered {
    /// Returns what an answer shows that was asked for at `asked` and handled at
    /// `now`, given the answer of the same incarnation before it.
    ///
    /// A worker may hold a poll for seconds before it answers. How long it did is
    /// taken from its clock, which is not faster than `100 / SLOWEST_CLOCK_PERCENT`
    /// of true time: the answer came no earlier than that long after the one
    /// before, and no earlier than it was asked for.
    fn new(asked: AskedAt, clock_ms: u64, before: Option<Answered>, now: Timestamp) -> Answered {
        let latest = asked.boot.plus_ms(now.ms_since(asked.now));
        let by_clock = before.map(|it| {
            let passed_ms = clock_ms.saturating_sub(it.clock_ms);
            it.earliest.plus_ms(passed_ms.saturating_mul(SLOWEST_CLOCK_PERCENT) / 100)
        });
        let earliest = by_clock.map_or(asked.boot, |it| it.max(asked.boot)).min(latest);
        Answered { clock_ms, earliest }
    }
}

/// The state that a process keeps of a worker that it polls.
///
/// The report of an answered poll already covers the lease that the next poll
/// will grant: if that poll takes effect and its answer is lost, the leader
/// learns of it only after the timeout.
#[derive(Clone, Debug, Default)]
pub struct WorkerPoller {
    lease: WorkerLease,
    incarnation: Option<Incarnation>,
    /// When the last poll was asked for; `None` once it has been answered or has
    /// failed.
    asked: Option<AskedAt>,
    /// The last answer of this incarnation.
    answered: Option<Answered>,
    /// The connections that were open when this incarnation answered.
    connections: KnownConnections,
    acknowledge_through: EndNumber,
    /// What the last poll acknowledged, and what one that was answered did.
    sent_through: EndNumber,
    acknowledged_through: EndNumber,
    is_busy: bool,
    /// Number of further polls for which an unanswered start keeps it busy.
    busy_polls: u32,
    failed_polls: u32,
    /// Number of further polls that the worker does not hold.
    short_polls: u32,
    /// Since when the worker has answered without being silent.
    responsive_since: Option<Timestamp>,
    /// The value of `responsive_since` that the leader has confirmed.
    confirmed: Option<Timestamp>,
    /// Whether it grants no lease any more.
    is_retired: bool,
}

/// What is reported to the leader about leases after an answered poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The time by which every run there has ended unless the worker answers
    /// again.
    pub leases_expire_by: Timestamp,
    /// See [`PollResult::responsive_since`](super::message::PollResult::responsive_since).
    pub responsive_since: Timestamp,
}

/// Returns a poll that only shows which incarnation of a worker answers.
pub fn identity_poll(now: Timestamp) -> NextPoll {
    NextPoll {
        lease_until: None,
        acknowledge_through: EndNumber::default(),
        wait: PollWait::None,
        send_by: now.plus_ms(ORDER_VALID_MS),
    }
}

impl WorkerPoller {
    /// Records which answers the leader has confirmed.
    pub fn confirm(&mut self, responsive_since: Option<Timestamp>) {
        self.confirmed = responsive_since;
    }

    fn is_confirmed(&self) -> bool {
        self.responsive_since.is_some() && self.confirmed == self.responsive_since
    }

    /// Returns whether something runs there, or was ordered since the last
    /// poll.
    pub fn is_busy(&self) -> bool {
        self.is_busy
    }

    /// Returns the parameters of the next poll. `may_extend` tells whether the
    /// leader's permission to extend leases is recent. The time is given on the
    /// boot clock, too, which goes on while the machine is suspended.
    pub fn next_poll(&mut self, may_extend: bool, now: Timestamp, boot: BootMillis) -> NextPoll {
        self.asked = Some(AskedAt { now, boot });
        let may_extend = may_extend && !self.is_retired;
        let extends = may_extend && self.is_busy && self.failed_polls == 0 && self.is_confirmed();
        let lease_until = if extends { self.lease.grant(now) } else { None };
        let answer_age_ms = self.answered.map_or(u64::MAX, |it| boot.ms_since(it.earliest));
        let may_acknowledge = self.failed_polls == 0 && answer_age_ms < ACK_VALID_MS;
        let is_pending = self.acknowledged_through < self.acknowledge_through;
        let is_short =
            0 < self.short_polls.max(self.failed_polls) || (is_pending && !may_acknowledge);
        let wait = if !self.is_confirmed() || is_short {
            PollWait::None
        } else if self.is_busy {
            PollWait::Busy
        } else {
            PollWait::Idle
        };
        let (acknowledge_through, send_within_ms) = if is_pending && may_acknowledge {
            (self.acknowledge_through, ACK_VALID_MS - answer_age_ms)
        } else {
            (EndNumber::default(), ORDER_VALID_MS)
        };
        self.sent_through = acknowledge_through;
        NextPoll { lease_until, acknowledge_through, wait, send_by: now.plus_ms(send_within_ms) }
    }

    /// Returns the poll to send instead of one that was not sent because it would
    /// have needed a newer connection: it only asks which incarnation is there.
    pub fn without_binding(&mut self) -> Option<NextPoll> {
        let asked = self.asked?;
        self.sent_through = EndNumber::default();
        Some(identity_poll(asked.now))
    }

    /// Returns the incarnation that answered the last poll.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Records that a poll beside the one in flight shows another incarnation than
    /// `known`, which had answered before it was asked for. Its answer takes the
    /// place of that poll's, which is ignored. Returns whether it does: it is late if
    /// another one has answered meanwhile.
    pub fn asked_beside(
        &mut self,
        known: Option<Incarnation>,
        now: Timestamp,
        boot: BootMillis,
    ) -> bool {
        if self.incarnation != known {
            return false;
        }
        self.sent_through = EndNumber::default();
        self.asked = Some(AskedAt { now, boot });
        true
    }

    /// Returns whether a poll is in flight whose answer counts.
    pub fn is_polled(&self) -> bool {
        self.asked.is_some()
    }

    /// Returns the poll to send instead of one that was not sent because its
    /// acknowledgement had become too old: it is the same without that. `None`
    /// if it acknowledged nothing.
    pub fn without_acknowledgement(&mut self, poll: NextPoll) -> Option<NextPoll> {
        let asked = self.asked.filter(|_| poll.acknowledge_through != EndNumber::default())?;
        self.sent_through = EndNumber::default();
        let send_by = asked.now.plus_ms(ORDER_VALID_MS);
        Some(NextPoll { acknowledge_through: self.sent_through, send_by, ..poll })
    }

    /// Records an answered poll, and returns the lease status to report.
    pub fn poll_answered(
        &mut self,
        incarnation: Incarnation,
        clock_ms: u64,
        has_runs: bool,
        now: Timestamp,
    ) -> LeaseStatus {
        let asked = self.asked.take().unwrap_or(AskedAt { now, boot: BootMillis(now.0) });
        self.failed_polls = 0;
        self.short_polls = self.short_polls.saturating_sub(1);
        let responsive_since = *self.responsive_since.get_or_insert(now);
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.answered = None;
            self.connections = KnownConnections::default();
            self.acknowledge_through = EndNumber::default();
            self.acknowledged_through = EndNumber::default();
        } else {
            self.acknowledged_through = self.acknowledged_through.max(self.sent_through);
        }
        self.answered = Some(Answered::new(asked, clock_ms, self.answered, now));
        self.lease.record_answer(incarnation, clock_ms, asked.now, now);
        self.is_busy = has_runs || 0 < self.busy_polls;
        self.busy_polls = self.busy_polls.saturating_sub(1);
        let next_lease_ms = MIN_POLL_INTERVAL_MS + MAX_LEASE_MS;
        let next_lease_expires_by = now.plus_ms(next_lease_ms);
        let leases_expire_by = self
            .lease
            .expires_by()
            .map_or(next_lease_expires_by, |it| it.max(next_lease_expires_by));
        LeaseStatus { leases_expire_by, responsive_since }
    }

    /// Records the newest connection that was open when an incarnation answered,
    /// in an answer to a poll or to an [`identity_poll`] beside it. Returns whether
    /// it is the incarnation that answered the last poll.
    pub fn answered_over(
        &mut self,
        incarnation: Incarnation,
        connections: ConnectionNumber,
    ) -> bool {
        let is_same = self.incarnation == Some(incarnation);
        if is_same {
            self.connections.raise(connections);
        }
        is_same
    }

    /// Returns the connections over which a call may be sent that is meant for this
    /// incarnation.
    pub fn connections(&self) -> KnownConnections {
        self.connections.clone()
    }

    /// Records that the answer may lack ends. The next poll acknowledges some of
    /// those listed, and is not held, so that its answer lists others.
    pub fn ends_cut_off(&mut self) {
        self.short_polls = self.short_polls.max(1);
    }

    /// Records a failed poll, and returns the report for the leader.
    pub fn poll_failed(&mut self) -> WorkerReport {
        self.asked = None;
        self.failed_polls += 1;
        let is_silent = SILENT_AFTER_POLLS <= self.failed_polls;
        if is_silent {
            self.responsive_since = None;
        }
        WorkerReport::PollFailed { leases_expire_by: self.lease.expires_by(), is_silent }
    }

    /// Records that another worker answered a poll, and returns the report for
    /// the leader.
    pub fn poll_misdirected(&mut self) -> WorkerReport {
        self.asked = None;
        self.failed_polls += 1;
        self.responsive_since = None;
        WorkerReport::Replaced { incarnation: self.incarnation }
    }

    /// Returns the pause after the poll that has just failed, in milliseconds.
    pub fn failed_poll_pause_ms(&self) -> u64 {
        let is_unanswered = self.incarnation.is_none() && UNANSWERED_POLLS <= self.failed_polls;
        if is_unanswered { UNANSWERED_POLL_PAUSE_MS } else { FAILED_POLL_PAUSE_MS }
    }

    /// Returns whether the poll that has just failed is the one from which on
    /// the worker counts as silent.
    pub fn has_fallen_silent(&self) -> bool {
        self.failed_polls == SILENT_AFTER_POLLS
    }

    /// Returns the end of the lease that a start grants, on the worker's
    /// clock; `None` if the worker has never answered, or not the last poll: it
    /// may have restarted since. A retired poller grants none, either.
    pub fn grant_start_lease(&mut self, now: Timestamp) -> Option<u64> {
        if self.is_retired || 0 < self.failed_polls {
            return None;
        }
        self.is_busy = true;
        self.busy_polls = BUSY_POLLS_AFTER_START;
        self.lease.grant(now)
    }

    /// Ends the granting of leases. Returns the time by which all that were granted
    /// here have expired, also those of calls without an answer; `None` if none was.
    pub fn retire(&mut self) -> Option<Timestamp> {
        self.is_retired = true;
        self.lease.expires_by()
    }

    /// Records that the worker has answered a start.
    pub fn start_answered(&mut self) {
        self.busy_polls = 0;
    }

    /// Records that the worker has confirmed a stop. A poll that is on its way
    /// was asked for before, so it does not count.
    pub fn stop_confirmed(&mut self) {
        self.short_polls = SHORT_POLLS_AFTER_STOP + u32::from(self.asked.is_some());
    }

    /// Acknowledges ends of one incarnation of the worker up to a number.
    pub fn acknowledge_ends(&mut self, incarnation: Incarnation, through: EndNumber) {
        if self.incarnation == Some(incarnation) {
            self.acknowledge_through = self.acknowledge_through.max(through);
        }
    }
}
