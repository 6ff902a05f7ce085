//! The state of a shard as shown to operators.

use serde::{Deserialize, Serialize};

use super::{Phase, Shard, queue::Step};
use crate::{
    id::{Epoch, GroupId, JobId, ProcessId, SegmentNumber, ShardId},
    job::JobState,
    message::JobStatus,
    size::Resources,
    time::Timestamp,
};

/// Longest reason or error text in a dump, in bytes.
const MAX_REASON_BYTES: usize = 200;

/// Numbers of jobs by their durable state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Jobs without a current attempt.
    pub queued: usize,
    /// Jobs whose current attempt is bound to a worker or an upstream.
    pub bound: usize,
    /// Bound jobs that are being cancelled.
    pub cancelling: usize,
    /// Finished jobs that are still retained.
    pub done: usize,
    /// Approximate memory of all jobs, in bytes.
    pub bytes: usize,
}

/// The state of the log as known to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogDump {
    /// The last segment that is known to be durable.
    pub tail: SegmentNumber,
    /// The epoch of the newest `Owner` record.
    pub epoch: Epoch,
    /// The process that the newest `Owner` record names.
    pub owner: Option<ProcessId>,
    /// Appends sent since this process opened the shard.
    pub appends: u64,
    /// Records in the append that is in flight.
    pub in_flight: usize,
    /// Whether the outcome of a write of that append is unknown.
    pub outcome_unknown: bool,
    /// Records and checkpoints that wait for the next append.
    pub queued: usize,
    /// Size of the waiting records without the checkpoints, in bytes.
    pub queued_bytes: usize,
    /// Since when the store has not answered.
    pub down_since: Option<Timestamp>,
    /// The last error of a store call or of decoding a stored value.
    pub last_error: String,
}

/// The state of snapshots and deletions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpkeepDump {
    /// The last segment that the newest snapshot includes.
    pub snapshot: SegmentNumber,
    /// Segments written since the last snapshot was begun.
    pub segments: u64,
    /// Bytes of log written since the last snapshot was begun.
    pub bytes: usize,
    /// Whether a snapshot is being written.
    pub is_writing: bool,
    /// Keys of replaced snapshots that wait for their deletion.
    pub old_keys: usize,
}

/// The last summary of a group that the shard received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDump {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group's claim.
    pub epoch: Epoch,
    /// When the summary was made.
    pub made_at: Timestamp,
    /// Free capacity of the whole group.
    pub free: Resources,
}

/// An unfinished job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobDump {
    /// The job.
    pub job: JobId,
    /// Its member, class and key, as text.
    pub name: String,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// The shard's current step for it.
    pub step: String,
    /// Why it is in this state.
    pub reason: String,
}

/// The state of a shard; the lists hold at most as many entries as the limit
/// that was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardDump {
    /// The shard.
    pub shard: ShardId,
    /// This process.
    pub process: ProcessId,
    /// The phase of ownership.
    pub phase: String,
    /// How often recovery was restarted.
    pub recovery_restarts: u32,
    /// The log.
    pub log: LogDump,
    /// Snapshots and deletions.
    pub upkeep: UpkeepDump,
    /// Numbers of jobs.
    pub jobs: JobCounts,
    /// Jobs for which a reservation can be requested now.
    pub ready: usize,
    /// Jobs that wait before a reservation is requested again, for example
    /// because no group has room.
    pub delayed: usize,
    /// Jobs with an open reservation request.
    pub asked: usize,
    /// Requests that are answered once a record is durable.
    pub open_answers: usize,
    /// Queries that wait for a job to end.
    pub waiters: usize,
    /// Jobs with a timer.
    pub timers: usize,
    /// Known groups, at most as many as the limit.
    pub groups: Vec<GroupDump>,
    /// Waiting jobs, the ready ones first, in the order in which they are
    /// placed; at most as many as the limit.
    pub waiting: Vec<JobDump>,
    /// Whether groups or waiting jobs were left out.
    pub is_cut: bool,
}

impl Shard {
    /// Returns the numbers of jobs by state; takes time linear in the number of
    /// jobs.
    pub fn job_counts(&self) -> JobCounts {
        let bytes = self.committed.approximate_bytes();
        let mut counts = JobCounts { bytes, ..JobCounts::default() };
        for (_, job) in self.committed.jobs() {
            match &job.state {
                JobState::Queued { .. } => counts.queued += 1,
                JobState::Bound { cancelling, .. } => {
                    counts.bound += 1;
                    counts.cancelling += usize::from(*cancelling);
                }
                JobState::Done { .. } => counts.done += 1,
            }
        }
        counts
    }

    /// Returns the state for operators, with at most `limit` groups and waiting
    /// jobs.
    pub fn dump(&self, limit: usize) -> ShardDump {
        let (ready, delayed, asked) = self.queue.sizes();
        ShardDump {
            shard: self.id,
            process: self.process.clone(),
            phase: self.phase_name().to_owned(),
            recovery_restarts: self.recovery.restarts,
            log: self.dump_log(),
            upkeep: UpkeepDump {
                snapshot: self.upkeep.snapshot,
                segments: self.upkeep.segments,
                bytes: self.upkeep.bytes,
                is_writing: self.upkeep.is_writing(),
                old_keys: self.upkeep.old_keys(),
            },
            jobs: self.job_counts(),
            ready,
            delayed,
            asked,
            open_answers: self.answers.len(),
            waiters: self.waiters.len(),
            timers: self.timers.len(),
            groups: self.dump_groups(limit),
            waiting: self.queue.waiting().take(limit).filter_map(|id| self.dump_job(id)).collect(),
            is_cut: limit < ready + delayed || limit < self.groups.known.len(),
        }
    }

    fn phase_name(&self) -> &'static str {
        match self.phase {
            Phase::New => "new",
            Phase::Recovering => "recovering",
            Phase::Ready => "ready",
            Phase::HandingOver => "handing_over",
            Phase::Dropped => "dropped",
        }
    }

    fn dump_log(&self) -> LogDump {
        let in_flight = self.log.in_flight.as_ref();
        LogDump {
            tail: self.log.tail,
            epoch: self.committed.epoch(),
            owner: self.named_owner().cloned(),
            appends: self.log.appends,
            in_flight: in_flight.map_or(0, |it| it.entries.len()),
            outcome_unknown: in_flight.is_some_and(|it| it.outcome_unknown),
            queued: self.log.queue.len() + self.log.checkpoints.len(),
            queued_bytes: self.log.queue_bytes,
            down_since: self.log.down_since,
            last_error: truncate(&self.log.last_error),
        }
    }

    fn dump_groups(&self, limit: usize) -> Vec<GroupDump> {
        let summaries = self.groups.known.values().map(|it| &it.summary);
        let dump = |it: &crate::message::GroupSummary| GroupDump {
            group: it.group.clone(),
            epoch: it.epoch,
            made_at: it.made_at,
            free: it.free,
        };
        summaries.take(limit).map(dump).collect()
    }

    fn dump_job(&self, id: JobId) -> Option<JobDump> {
        let JobStatus { member, key, class, accepted_at, reason, .. } =
            self.status(id, self.latest(id)?);
        let step = match &self.queue.get(id)?.step {
            Step::Idle => "idle".to_owned(),
            Step::Ready => "ready".to_owned(),
            Step::Reserving { group, .. } => format!("asked {group}"),
            Step::Delayed { until, .. } => format!("delayed until {until}"),
            Step::Bound { .. } => "bound".to_owned(),
        };
        let name = format!("{member}/{class}/{key}");
        Some(JobDump { job: id, name, accepted_at, step, reason: truncate(&reason) })
    }
}

fn truncate(text: &str) -> String {
    let end = text.floor_char_boundary(MAX_REASON_BYTES);
    text[..end].to_owned()
}
