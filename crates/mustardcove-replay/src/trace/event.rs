//! Events of a trace.

use mustardcove_core::{
    id::{ClassId, IdempotencyKey, MemberId, RackId, RegionId},
    size::Resources,
};
use serde::Deserialize;

/// An event with its time in the trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEvent {
    /// A job or service request arrives.
    Arrival(Arrival),
    /// Jobs or service requests arrive at a given rate.
    Stream(Stream),
    /// Jobs are cancelled.
    Cancel(CancelEvent),
    /// The rate of streams changes.
    Load(LoadEvent),
    /// The lag, error or loss of measurements changes.
    Report(ReportEvent),
    /// A worker fails, restarts, leaves or recovers.
    Worker(WorkerEvent),
    /// A process ends, starts, pauses or is disconnected.
    Process(ProcessEvent),
    /// A rack fails or is restored.
    Rack(RackEvent),
    /// The store fails or recovers.
    Store(StoreEvent),
    /// A region is disconnected or restored.
    Region(RegionEvent),
    /// An operator changes the agreement.
    Configuration(ConfigurationEvent),
    /// Several operators change the same setting at the same time.
    Operators(OperatorsEvent),
}

impl TraceEvent {
    /// Returns the time of the event, in milliseconds from the start.
    pub fn at_ms(&self) -> u64 {
        match self {
            TraceEvent::Arrival(it) => it.at_ms,
            TraceEvent::Stream(it) => it.from_ms,
            TraceEvent::Cancel(it) => it.at_ms,
            TraceEvent::Load(it) => it.at_ms,
            TraceEvent::Report(it) => it.at_ms,
            TraceEvent::Worker(it) => it.at_ms,
            TraceEvent::Process(it) => it.at_ms,
            TraceEvent::Rack(it) => it.at_ms,
            TraceEvent::Store(it) => it.at_ms,
            TraceEvent::Region(it) => it.at_ms,
            TraceEvent::Configuration(it) => it.at_ms,
            TraceEvent::Operators(it) => it.at_ms,
        }
    }
}

/// One job or service request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// When it arrives, in milliseconds.
    pub at_ms: u64,
    /// The member that submits it.
    pub member: MemberId,
    /// Class of the job or request.
    pub class: ClassId,
    /// Idempotency key of the job or request.
    pub key: IdempotencyKey,
    /// Resources that it needs; if absent, those of its class.
    #[serde(default)]
    pub size: Resources,
    /// True run time without slowdown, in milliseconds; zero for watchers.
    pub run_ms: u64,
    /// Declared run time, in milliseconds; if absent, that of its class.
    #[serde(default)]
    pub declared_run_ms: u64,
    /// Time between checkpoints, in milliseconds; zero for none.
    #[serde(default)]
    pub checkpoint_ms: u64,
    /// Time from arrival to the deadline, in milliseconds; zero for none.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Size of the answer, in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
}

/// Arrivals at a mean rate, with exponentially distributed gaps.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Prefix of the idempotency keys; the number of the arrival follows.
    pub key: IdempotencyKey,
    /// When the stream begins, in milliseconds.
    pub from_ms: u64,
    /// When the stream ends, in milliseconds.
    pub to_ms: u64,
    /// Mean rate of arrivals, per second.
    pub per_s: f64,
    /// The member that submits the arrivals.
    pub member: MemberId,
    /// Class of the arrivals.
    pub class: ClassId,
    /// Resources that each arrival needs; if absent, those of its class.
    #[serde(default)]
    pub size: Resources,
    /// Least and greatest true run time, in milliseconds.
    pub run_ms: [u64; 2],
    /// Declared run time, in milliseconds; if absent, that of its class.
    #[serde(default)]
    pub declared_run_ms: u64,
    /// Time between checkpoints, in milliseconds; zero for none.
    #[serde(default)]
    pub checkpoint_ms: u64,
    /// Time from arrival to the deadline, in milliseconds; zero for none.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Size of the answers, in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
}

/// Cancels jobs by a prefix of their idempotency keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// Prefix of the idempotency keys.
    pub key: IdempotencyKey,
    /// Maximum number of jobs to cancel.
    pub count: u32,
}

/// The rate of streams changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// The class whose streams change; all classes if absent.
    #[serde(default)]
    pub class: Option<ClassId>,
    /// Factor that multiplies the stated rates from then on.
    pub factor: f64,
}

/// The lag, error or loss of measurements changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// Maximum delay of a measurement, in milliseconds.
    pub lag_ms: u64,
    /// Relative error of a measurement.
    pub noise: f64,
    /// Share of measurements that are lost, in thousandths.
    pub loss_permille: u16,
}

/// An event at a worker.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// The worker.
    pub worker: mustardcove_core::id::WorkerId,
    /// What happens to it.
    pub action: WorkerAction,
}

/// What happens to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerAction {
    /// It stops with all its tasks, and leaves the instance list after the
    /// list's lag.
    Failure,
    /// It stops its tasks and comes back at once, or comes back after a
    /// failure.
    Restart,
    /// It announces that it is leaving and accepts no new work.
    Leaving,
    /// Every task that it starts from then on fails.
    FailsEverything,
    /// It is no longer leaving and no longer fails tasks.
    Recovers,
}

/// An event at a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// The name of the process, as derived from the header.
    pub process: String,
    /// What happens to it.
    pub action: ProcessAction,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessAction {
    /// It is killed.
    Kill,
    /// It starts as a new incarnation; one that still runs is killed first.
    Restart,
    /// It is suspended; what arrives in the meantime is queued.
    Pause,
    /// It resumes and handles what arrived during the pause.
    Resume,
    /// It is told to stop, and ends when it has drained.
    Stop,
    /// It is disconnected: nothing reaches it, and nothing that it sends
    /// arrives.
    Cut,
    /// The connection is restored.
    Restored,
}

/// An event at a rack.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// The rack.
    pub rack: RackId,
    /// What happens to it.
    pub action: RackAction,
}

/// What happens to a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RackAction {
    /// All its workers fail.
    Lost,
    /// All its workers come back without tasks.
    Restored,
}

/// An event at the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// What happens to it.
    pub action: StoreAction,
    /// Time added to every call, in milliseconds; only for `slow`.
    #[serde(default)]
    pub delay_ms: u64,
    /// Share of writes whose answers are lost, in thousandths; only for
    /// `lose_answers`.
    #[serde(default)]
    pub permille: u16,
}

/// What happens to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreAction {
    /// Every call is refused.
    Outage,
    /// Every call takes longer.
    Slow,
    /// A share of writes takes effect, but the answer is lost.
    LoseAnswers,
    /// All faults end.
    Restored,
}

/// An event at a region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// The region.
    pub region: RegionId,
    /// What happens to it.
    pub action: RegionAction,
}

/// What happens to a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegionAction {
    /// No messages pass between it and other regions.
    Cut,
    /// The connection is restored.
    Restored,
}

/// An operator changes the agreement.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// The member whose record changes.
    pub member: MemberId,
    /// The new cap, if it changes.
    #[serde(default)]
    pub cap: Option<Resources>,
    /// The new limit on requests in flight, if it changes.
    #[serde(default)]
    pub max_requests: Option<u32>,
}

/// Several operators change one member's limit on requests at the same time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsEvent {
    /// When it happens, in milliseconds.
    pub at_ms: u64,
    /// How many there are.
    pub count: u32,
    /// The member whose record they change.
    pub member: MemberId,
}
