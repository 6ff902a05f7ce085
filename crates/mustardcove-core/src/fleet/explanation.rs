//! What an explanation of a submission says: where it would go now and why.
//!
//! The types are sent between processes and shown to operators, as text by
//! their `Display` and as JSON. Points in time are given relative to the moment
//! of the answer, since a [`Timestamp`](crate::time::Timestamp) means nothing
//! to another process. See `docs/design/explain.md`.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{
    id::{ManifestVersion, RunNumber, StepKey, SubmissionId, Term},
    manifest::Queue,
    submission::{Submission, SubmissionState},
};
use crate::{
    id::{FailureDomainId, ProcessId, WorkerId},
    size::Resources,
};

/// A question to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Where a submission would go if it were accepted now.
    New(Arc<Submission>),
    /// Where the tasks of a submission are, by its id.
    Known(SubmissionId),
}

/// The leader's answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The explanation, and how old the leader's knowledge is.
    Explained {
        /// The leader's term.
        term: Term,
        /// How old the knowledge is.
        age: PlanAge,
        /// The explanation.
        explanation: Box<Explanation>,
    },
    /// The plan has no submission with this id.
    Unknown,
    /// The leader explained another submission a moment ago.
    Busy,
}

/// An answer to an operator: an explanation, and whose it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The process that was asked.
    pub asked: ProcessId,
    /// The process that answered.
    pub answered_by: ProcessId,
    /// The highest term that the process which answered knows of.
    pub term: Term,
    /// What the answer rests on.
    pub basis: Basis,
    /// How old the oldest part of the knowledge is, in milliseconds; `None` if
    /// that is not known.
    pub age_ms: Option<u64>,
    /// The explanation.
    pub explanation: Explanation,
}

/// What an answer rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Basis {
    /// The leader's plan.
    Plan(PlanAge),
    /// What a process knows that could not ask the leader.
    Cache {
        /// Why the leader was not asked or did not answer.
        why: String,
        /// The leader, as far as the process knows.
        leader: Option<ProcessId>,
        /// When the last heartbeat of a leader arrived, in milliseconds ago;
        /// `None` if none has.
        heartbeat_ms: Option<u64>,
    },
}

/// How old the knowledge of a leader is, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanAge {
    /// Time since it was last shown that this process leads.
    pub confirmed_ms: u64,
    /// Time since the workers' entries were read.
    pub workers_listed_ms: u64,
    /// Age of the oldest last poll of a worker that accepts work; `None` if none
    /// does.
    pub oldest_poll_ms: Option<u64>,
}

impl PlanAge {
    /// Returns the age of the oldest part, in milliseconds.
    pub fn max_ms(self) -> u64 {
        let newest = self.confirmed_ms.max(self.workers_listed_ms);
        newest.max(self.oldest_poll_ms.unwrap_or_default())
    }
}

/// Where a submission would go, or where its tasks are, and why.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Explanation {
    /// The submission; `None` if it has no id yet.
    pub submission: Option<SubmissionId>,
    /// Whether it was accepted before.
    pub is_known: bool,
    /// Its queue, if that is known.
    pub queue: Option<QueueSummary>,
    /// The version of the manifest.
    pub manifest: ManifestVersion,
    /// Its state, if that is known.
    pub state: Option<SubmissionState>,
    /// What admission would decide; `None` if the process does not know.
    pub admission: Option<AdmissionOutlook>,
    /// When it is expected to end; `None` without a forecast.
    pub forecast: Option<ForecastOutlook>,
    /// The failure domains that are evacuated; `None` if that is not known.
    pub evacuated: Option<Vec<FailureDomainId>>,
    /// Whether the leader may start work now; `None` without its plan.
    pub may_start: Option<bool>,
    /// Steps with tasks that wait for a worker, of all submissions; `None`
    /// without the leader's plan.
    pub waiting_steps: Option<usize>,
    /// When its next occurrence begins, in milliseconds from now, if it is
    /// scheduled.
    pub next_occurrence_in_ms: Option<i64>,
    /// Its steps, of occurrences that have begun and are not done.
    pub steps: Vec<StepExplanation>,
    /// Number of steps that are left out.
    pub omitted_steps: usize,
}

/// A queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct QueueSummary {
    /// Its name.
    pub name: String,
    /// The host that callers address.
    pub host: String,
    /// Prefix of the paths of its requests.
    pub prefix: String,
    /// The pool whose workers run its tasks.
    pub service: String,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Submissions that wait for their first start, as the leader's last
    /// heartbeat said; `None` if that is not known.
    pub pending: Option<u32>,
}

impl From<&Queue> for QueueSummary {
    fn from(queue: &Queue) -> QueueSummary {
        QueueSummary {
            name: queue.name.clone(),
            host: queue.host.clone(),
            prefix: queue.prefix.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            pending: None,
        }
    }
}

/// What admission would decide, and by which figures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdmissionOutlook {
    /// Whether the submission would be accepted.
    pub is_accepted: bool,
    /// When its caller would be told to come back, in seconds.
    pub retry_after_s: Option<u64>,
    /// The figures of the decision, as `key=value` pairs.
    pub figures: String,
}

/// When a submission is expected to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ForecastOutlook {
    /// Its end, in milliseconds from now.
    pub ends_in_ms: u64,
}

/// A step, and where its tasks would go or are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepExplanation {
    /// The step.
    pub step: StepKey,
    /// What each task demands; best-effort tasks take no processor capacity.
    pub demand: Resources,
    /// Whether the tasks use leftover processor time only.
    pub is_best_effort: bool,
    /// Whether the tasks work only while all of them run.
    pub is_gang: bool,
    /// Whether the tasks run until the submission is cancelled.
    pub is_long_running: bool,
    /// Number of its tasks.
    pub tasks: usize,
    /// Number of tasks that are done.
    pub done: usize,
    /// Number of tasks that wait for a worker.
    pub waiting: usize,
    /// The steps that have to end first.
    pub after: Vec<u16>,
    /// Its place among the steps that wait; `None` if none of its tasks waits
    /// for a worker.
    pub rank: Option<RankExplanation>,
    /// The starts of the next plan, in the order of the tasks.
    pub starts: Vec<TaskStart>,
    /// Number of starts of the next plan, of which `starts` lists some.
    pub start_count: usize,
    /// The worker with the best score for its next task at present, if work
    /// ahead of it takes nothing.
    pub best: Option<WorkerId>,
    /// Number of workers that can run a task of it now.
    pub usable: usize,
    /// Number of the other workers of its pool, by what keeps them from running
    /// a task of it.
    pub obstacles: Vec<ObstacleCount>,
    /// The workers that are nearest to running a task of it.
    pub nearest: Vec<NearWorker>,
    /// Where its tasks are that are not done, if the submission was accepted.
    pub states: Vec<TaskExplanation>,
    /// Number of tasks that are left out.
    pub omitted_tasks: usize,
}

/// The place of a step among those that wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankExplanation {
    /// Its class, the first part of its rank.
    pub class: String,
    /// Its priority; 0 comes first.
    pub priority: u8,
    /// Whether no task of the submission was started by its rank yet.
    pub is_new: bool,
    /// Steps that are placed before it.
    pub steps_ahead: usize,
    /// Tasks of these steps that wait.
    pub tasks_ahead: usize,
    /// The latest start by which it is on time, in milliseconds from now.
    pub latest_start_in_ms: i64,
    /// The SLO deadline, in milliseconds from now.
    pub slo_deadline_in_ms: i64,
}

/// A start of the next plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The index of the task.
    pub task: u16,
    /// The worker.
    pub worker: WorkerId,
}

/// How many workers have an obstacle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObstacleCount {
    /// The obstacle.
    pub obstacle: String,
    /// Number of workers.
    pub workers: usize,
}

/// A worker that is near to running a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NearWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// What keeps it from running the task; `None` if nothing does.
    pub obstacle: Option<String>,
    /// Its free capacity.
    pub free: Resources,
    /// The processor time that it has left over for best-effort work, in
    /// millicores; negative if that work demands more than is left over.
    pub leftover_millicores: i64,
}

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskExplanation {
    /// The index of the task.
    pub task: u16,
    /// Its run, if it has one.
    pub run: Option<RunExplanation>,
    /// What it waits for; `None` if it runs.
    pub waits_for: Option<String>,
    /// What keeps it from the nearest worker, if it waits for one.
    pub obstacle: Option<String>,
    /// Number of its runs that failed.
    pub failed_runs: usize,
}

/// A run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunExplanation {
    /// The worker.
    pub worker: WorkerId,
    /// Its number.
    pub run: RunNumber,
    /// Percentage of its work that is done.
    pub percent: u8,
    /// Time since it was ordered, in milliseconds.
    pub ordered_ms: u64,
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "answered by {}", self.answered_by)?;
        match &self.basis {
            Basis::Plan(age) => {
                write!(
                    f,
                    ", the leader of term {}\nknowledge: leader confirmed {} ms ago, workers \
                     listed {} ms ago, oldest poll ",
                    self.term, age.confirmed_ms, age.workers_listed_ms
                )?;
                match age.oldest_poll_ms {
                    Some(ms) => writeln!(f, "{ms} ms ago")?,
                    None => writeln!(f, "none")?,
                }
            }
            Basis::Cache { why, leader, heartbeat_ms } => {
                write!(f, ", without the leader: {why}\nknowledge: ")?;
                match (leader, heartbeat_ms) {
                    (Some(leader), Some(ms)) => {
                        writeln!(f, "last heartbeat {ms} ms ago, of {leader} or one before it")?;
                    }
                    (None, Some(ms)) => writeln!(f, "last heartbeat {ms} ms ago")?,
                    (_, None) => writeln!(f, "no heartbeat of a leader has arrived")?,
                }
            }
        }
        self.explanation.fmt(f)
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.submission {
            Some(id) => write!(f, "submission {id}")?,
            None => write!(f, "a new submission")?,
        }
        match (self.is_known, self.state) {
            (true, Some(state)) => writeln!(f, ": accepted, {state}")?,
            (true, None) => writeln!(f, ": accepted")?,
            (false, _) => writeln!(f, ": not accepted yet")?,
        }
        if let Some(queue) = &self.queue {
            write!(
                f,
                "queue {} ({}{}), pool {}, priority {}",
                queue.name, queue.host, queue.prefix, queue.service, queue.priority
            )?;
            match queue.pending {
                Some(pending) => writeln!(f, ", {pending} pending")?,
                None => writeln!(f)?,
            }
        }
        writeln!(f, "manifest {}", self.manifest)?;
        if let Some(admission) = &self.admission {
            match admission.retry_after_s {
                _ if admission.is_accepted => write!(f, "admission: accepted")?,
                Some(s) => write!(f, "admission: rejected, Retry-After {s}")?,
                None => write!(f, "admission: rejected")?,
            }
            writeln!(f, " ({})", admission.figures)?;
        }
        if let Some(forecast) = self.forecast {
            writeln!(f, "forecast: ends in {} ms", forecast.ends_in_ms)?;
        }
        if let Some(evacuated) = &self.evacuated {
            let names: Vec<&str> = evacuated.iter().map(|it| it.as_str()).collect();
            let names = if names.is_empty() { "none".to_owned() } else { names.join(", ") };
            writeln!(f, "evacuated domains: {names}")?;
        }
        if self.may_start == Some(false) {
            writeln!(f, "the leader starts nothing now: it is not confirmed")?;
        }
        if let Some(ms) = self.next_occurrence_in_ms {
            writeln!(f, "next occurrence begins in {ms} ms")?;
        }
        for step in &self.steps {
            step.fmt_with(f, self.waiting_steps.unwrap_or_default())?;
        }
        if 0 < self.omitted_steps {
            writeln!(f, "{} more steps", self.omitted_steps)?;
        }
        Ok(())
    }
}

impl StepExplanation {
    fn fmt_with(&self, f: &mut fmt::Formatter<'_>, waiting_steps: usize) -> fmt::Result {
        write!(
            f,
            "\nstep {}: tasks={} done={} waiting={} cpu={} memory={}",
            self.step.step,
            self.tasks,
            self.done,
            self.waiting,
            self.demand.cpu,
            self.demand.memory
        )?;
        if 0 < self.step.occurrence {
            write!(f, " occurrence={}", self.step.occurrence)?;
        }
        let kinds = [
            (self.is_best_effort, "best-effort"),
            (self.is_gang, "gang"),
            (self.is_long_running, "long-running"),
        ];
        for (_, kind) in kinds.iter().filter(|it| it.0) {
            write!(f, ", {kind}")?;
        }
        writeln!(f)?;
        if !self.after.is_empty() {
            let after: Vec<String> = self.after.iter().map(ToString::to_string).collect();
            writeln!(f, "  waits for the end of step {}", after.join(", "))?;
        }
        if let Some(rank) = &self.rank {
            writeln!(
                f,
                "  rank {} of {waiting_steps} waiting steps: {rank}",
                rank.steps_ahead + 1
            )?;
        }
        if 0 < self.waiting {
            self.fmt_choice(f)?;
        }
        if !self.nearest.is_empty() {
            writeln!(f, "  nearest:")?;
        }
        for it in &self.nearest {
            writeln!(f, "    {it}")?;
        }
        for it in &self.states {
            writeln!(f, "  {it}")?;
        }
        if 0 < self.omitted_tasks {
            writeln!(f, "  {} more tasks", self.omitted_tasks)?;
        }
        Ok(())
    }

    fn fmt_choice(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.start_count == 0 {
            write!(f, "  the next plan starts none of them")?;
        } else {
            let starts = self.starts.iter().map(|it| format!("task {} on {}", it.task, it.worker));
            let starts: Vec<String> = starts.collect();
            let more = if starts.len() < self.start_count { ", ..." } else { "" };
            write!(
                f,
                "  the next plan starts {} of them: {}{more}",
                self.start_count,
                starts.join(", ")
            )?;
        }
        match &self.best {
            Some(best) => writeln!(f, "; best worker now {best}")?,
            None => writeln!(f, "; no worker can run it now")?,
        }
        write!(f, "  workers: usable={}", self.usable)?;
        for it in &self.obstacles {
            write!(f, " {}={}", it.obstacle, it.workers)?;
        }
        writeln!(f)
    }
}

impl fmt::Display for RankExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}, priority {}, {}; {} tasks ahead; latest start in {} ms, SLO deadline in {} ms",
            self.class,
            self.priority,
            if self.is_new { "not begun" } else { "begun" },
            self.tasks_ahead,
            self.latest_start_in_ms,
            self.slo_deadline_in_ms
        )
    }
}

impl fmt::Display for NearWorker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} in {}: {}; free cpu={} memory={}, left over {}m",
            self.worker,
            self.domain,
            self.obstacle.as_deref().unwrap_or("usable"),
            self.free.cpu,
            self.free.memory,
            self.leftover_millicores
        )
    }
}

impl fmt::Display for TaskExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task {}: ", self.task)?;
        match (&self.run, &self.waits_for) {
            (Some(run), None) => write!(f, "runs on {run}")?,
            (Some(run), Some(wait)) => write!(f, "waits for {wait}, on {run}")?,
            (None, Some(wait)) => write!(f, "waits for {wait}")?,
            (None, None) => write!(f, "waits")?,
        }
        if let Some(obstacle) = &self.obstacle {
            write!(f, " (nearest worker: {obstacle})")?;
        }
        match self.failed_runs {
            0 => Ok(()),
            runs => write!(f, ", {runs} runs failed"),
        }
    }
}

impl fmt::Display for RunExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RunExplanation { worker, run, percent, ordered_ms } = self;
        write!(f, "{worker}, run {run}, {percent} %, ordered {ordered_ms} ms ago")
    }
}
