//! Events of a trace.

use mustardcove_core::{
    id::{ClassId, IdempotencyKey, MemberId, RackId, RegionId},
    size::Resources,
};
use serde::Deserialize;

/// Something that happens at a time of the trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEvent {
    /// A job or service request arrives.
    Arrival(Arrival),
    /// Jobs or service requests arrive at a rate.
    Stream(Stream),
    /// Jobs are cancelled.
    Cancel(CancelEvent),
    /// The rate of streams changes.
    Load(LoadEvent),
    /// Lag or loss of measurements changes.
    Report(ReportEvent),
    /// Something happens to workers.
    Worker(WorkerEvent),
    /// Something happens to processes.
    Process(ProcessEvent),
    /// A rack is lost or comes back.
    Rack(RackEvent),
    /// The store fails or recovers.
    Store(StoreEvent),
    /// A region is cut off or comes back.
    Region(RegionEvent),
    /// An operator changes the agreement.
    Configuration(ConfigurationEvent),
    /// Operators change the same setting at the same time.
    Operators(OperatorsEvent),
}

impl TraceEvent {
    /// Returns when it happens, in milliseconds from the start.
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
    /// The member.
    pub member: MemberId,
    /// The class.
    pub class: ClassId,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// What it needs, if not what its class says.
    #[serde(default)]
    pub size: Resources,
    /// True run time without slowdown, in milliseconds; zero for watchers.
    pub run_ms: u64,
    /// Declared run time, if not what its class says, in milliseconds.
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

/// Arrivals at a rate, spread by an exponential distribution.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Beginning of the keys; the number of the arrival follows.
    pub key: IdempotencyKey,
    /// When it begins, in milliseconds.
    pub from_ms: u64,
    /// When it ends, in milliseconds.
    pub to_ms: u64,
    /// Mean rate.
    pub per_s: f64,
    /// The member.
    pub member: MemberId,
    /// The class.
    pub class: ClassId,
    /// What each needs, if not what its class says.
    #[serde(default)]
    pub size: Resources,
    /// Least and greatest true run time, in milliseconds.
    pub run_ms: [u64; 2],
    /// Declared run time, if not what its class says, in milliseconds.
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

/// Jobs whose keys begin alike are cancelled.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelEvent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Beginning of the keys.
    pub key: IdempotencyKey,
    /// The most jobs to cancel.
    pub count: u32,
}

/// The rate of streams changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadEvent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The class whose streams change; all if absent.
    #[serde(default)]
    pub class: Option<ClassId>,
    /// Factor on the stated rates from then on.
    pub factor: f64,
}

/// Lag or loss of measurements changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportEvent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The most by which a measurement is late, in milliseconds.
    pub lag_ms: u64,
    /// Relative error.
    pub noise: f64,
    /// Share that never arrives, in thousandths.
    pub loss_permille: u16,
}

/// Something that happens to workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEvent {
    /// When, in milliseconds.
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
    /// It ends with all its tasks, and leaves the list later.
    Failure,
    /// It ends its tasks and comes back at once, or comes back after a failure.
    Restart,
    /// It takes no new work.
    Leaving,
    /// Every task that it starts fails.
    FailsEverything,
    /// It is no longer leaving and no longer fails tasks.
    Recovers,
}

/// Something that happens to a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessEvent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The process, as named by the header.
    pub process: String,
    /// What happens to it.
    pub action: ProcessAction,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessAction {
    /// It ends at once.
    Kill,
    /// It starts again after its end; a live one ends first.
    Restart,
    /// It stands still.
    Pause,
    /// It goes on.
    Resume,
    /// It is told to stop and ends when it has drained.
    Stop,
    /// Nothing reaches it and nothing that it sends arrives.
    Cut,
    /// It is connected again.
    Restored,
}

/// Something that happens to a rack.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackEvent {
    /// When, in milliseconds.
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
    /// All its workers come back, empty.
    Restored,
}

/// Something that happens to the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreEvent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What happens.
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
    /// A share of writes takes effect without an answer.
    LoseAnswers,
    /// It works.
    Restored,
}

/// Something that happens to a region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEvent {
    /// When, in milliseconds.
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
    /// Nothing passes between it and other regions.
    Cut,
    /// It is connected again.
    Restored,
}

/// A change of the agreement.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationEvent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The member whose record changes.
    pub member: MemberId,
    /// The new cap, if it changes.
    #[serde(default)]
    pub cap: Option<Resources>,
    /// The new limit on requests, if it changes.
    #[serde(default)]
    pub max_requests: Option<u32>,
}

/// Operators that change one member's limit on requests at the same time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsEvent {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// How many there are.
    pub count: u32,
    /// The member whose record they change.
    pub member: MemberId,
}
