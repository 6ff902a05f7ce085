//! Supervision of a process's long-running tasks.
//!
//! A supervisor runs children and restarts those that die, after a back-off.
//! An error, a panic and an unexpected return all count as a death. A child
//! that exceeds the restart limit ends the supervisor with an error: the
//! parent supervisor counts that as the death of one of its own children, and
//! at the root it ends the process, so that the platform replaces an instance
//! that cannot work.
//!
//! Children are stopped in the reverse order of their declaration, so that a
//! child can rely on those declared before it until it has ended.

use std::{
    collections::VecDeque, fmt, future::Future, pin::Pin, process::ExitCode, time::Duration,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, crit, info, o, warn};
use tokio::{
    task::JoinError,
    time::{Instant, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};
use xxhash_rust::xxh3::xxh3_64;

use crate::{backoff::Backoff, metrics::Metrics};

/// When a child is restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Restart {
    /// Whenever it ends, unless it was asked to stop.
    #[default]
    Always,
    /// When it fails; a child that returns without error is not restarted.
    OnFailure,
    /// Never; its first death ends the supervisor with an error.
    Never,
}

/// Restart and shutdown limits of a supervisor.
#[derive(Clone, Debug)]
pub struct RestartPolicy {
    /// Shortest wait before a child is restarted.
    pub backoff_min: Duration,
    /// Longest wait before a child is restarted.
    pub backoff_max: Duration,
    /// Sliding window in which the deaths of one child are counted.
    pub window: Duration,
    /// Most deaths of one child within the window; one more ends the
    /// supervisor.
    pub max_deaths: usize,
    /// Longest time for all children together to stop.
    pub stop_timeout: Duration,
}

impl Default for RestartPolicy {
    fn default() -> RestartPolicy {
        RestartPolicy {
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_secs(5),
            window: Duration::from_secs(60),
            max_deaths: 5,
            stop_timeout: Duration::from_secs(10),
        }
    }
}

/// Error of a supervisor that has a child beyond its restart limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartLimitExceeded {
    child: String,
    deaths: usize,
    window: Duration,
    error: String,
}

impl fmt::Display for RestartLimitExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RestartLimitExceeded { child, deaths, window, error } = self;
        let window = window.as_millis();
        write!(f, "child {child} died {deaths} times within {window} ms, last: {error}")
    }
}

impl std::error::Error for RestartLimitExceeded {}

type ChildFuture = Pin<Box<dyn Future<Output = eyre::Result<()>> + Send>>;
type StartChild = Box<dyn FnMut(CancellationToken) -> ChildFuture + Send>;

struct Child {
    name: String,
    restart: Restart,
    stop_timeout: Duration,
    start: StartChild,
}

/// Runs children and restarts them when they die.
pub struct Supervisor {
    policy: RestartPolicy,
    children: Vec<Child>,
    log: Logger,
    metrics: Metrics,
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.children.iter().map(|it| it.name.as_str()).collect();
        f.debug_struct("Supervisor").field("children", &names).finish_non_exhaustive()
    }
}

impl Supervisor {
    /// Returns a supervisor without children.
    pub fn new(policy: RestartPolicy, log: Logger, metrics: Metrics) -> Supervisor {
        Supervisor { policy, children: Vec::new(), log, metrics }
    }

    /// Adds a child. `start` is called for each start, with the token whose
    /// cancellation asks the child to stop. A child that does not end within
    /// its stop timeout is aborted.
    ///
    /// A subtree is a child whose future runs another supervisor.
    pub fn add_child<F, Fut>(&mut self, name: &str, restart: Restart, mut start: F)
    where
        F: FnMut(CancellationToken) -> Fut + Send + 'static,
        Fut: Future<Output = eyre::Result<()>> + Send + 'static,
    {
        self.children.push(Child {
            name: name.to_owned(),
            restart,
            stop_timeout: self.policy.stop_timeout,
            start: Box::new(move |stop| Box::pin(start(stop))),
        });
    }

    /// Limits the time that the most recently added child may take to stop, so
    /// that enough of the supervisor's stop timeout remains for the children
    /// that are stopped after it.
    ///
    /// # Panics
    ///
    /// Panics if there is no child.
    pub fn set_last_stop_timeout(&mut self, limit: Duration) {
        self.children.last_mut().expect("a child was added").stop_timeout = limit;
    }

    /// Runs the children until `stop` is cancelled, all of them have ended
    /// without being restarted, or one exceeds the restart limit. The children
    /// that still run are stopped before this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a child exceeds the restart limit.
    pub async fn run(self, stop: CancellationToken) -> Result<(), RestartLimitExceeded> {
        let Supervisor { policy, children, log, metrics } = self;
        let mut running = Vec::with_capacity(children.len());
        for child in children {
            running.push(RunningChild::start(child, &policy, &log, &metrics));
        }
        let result = tokio::select! {
            () = stop.cancelled() => Ok(()),
            result = all_ended(&mut running) => result,
        };
        stop_all(running, policy.stop_timeout, &log).await;
        result
    }

    /// Runs the root supervisor of a process and returns the exit status. The
    /// last line that it logs says why the process ended.
    pub async fn run_process(self, stop: CancellationToken) -> ExitCode {
        let log = self.log.clone();
        match self.run(stop).await {
            Ok(()) => {
                info!(log, "process ends"; "reason" => "graceful shutdown");
                ExitCode::SUCCESS
            }
            Err(error) => {
                crit!(log, "process ends"; "reason" => "a child keeps dying",
                    "child" => &error.child, "deaths" => error.deaths,
                    "window_ms" => error.window.as_millis(), "error" => &error.error);
                ExitCode::FAILURE
            }
        }
    }
}

struct RunningChild {
    name: String,
    stop: CancellationToken,
    stop_timeout: Duration,
    task: AbortOnDropHandle<Result<(), RestartLimitExceeded>>,
    has_ended: bool,
}

impl RunningChild {
    fn start(
        child: Child,
        policy: &RestartPolicy,
        log: &Logger,
        metrics: &Metrics,
    ) -> RunningChild {
        let stop = CancellationToken::new();
        let name = child.name.clone();
        let stop_timeout = child.stop_timeout;
        let log = log.new(o!("child" => name.clone()));
        let runner = ChildRunner::new(policy.clone(), log, metrics.clone(), &name);
        let task = AbortOnDropHandle::new(tokio::spawn(runner.run(child, stop.clone())));
        RunningChild { name, stop, stop_timeout, task, has_ended: false }
    }
}

/// Waits until every child has ended without being restarted, or one exceeds
/// its restart limit.
async fn all_ended(running: &mut [RunningChild]) -> Result<(), RestartLimitExceeded> {
    std::future::poll_fn(|cx| {
        let mut have_all_ended = true;
        for child in running.iter_mut().filter(|it| !it.has_ended) {
            match Pin::new(&mut child.task).poll(cx) {
                std::task::Poll::Pending => have_all_ended = false,
                std::task::Poll::Ready(Ok(Ok(()))) => child.has_ended = true,
                std::task::Poll::Ready(Ok(Err(error))) => {
                    child.has_ended = true;
                    return std::task::Poll::Ready(Err(error));
                }
                std::task::Poll::Ready(Err(error)) => {
                    child.has_ended = true;
                    let name = child.name.clone();
                    let (window, error) = (Duration::ZERO, describe_join_error(error));
                    let error = RestartLimitExceeded { child: name, deaths: 1, window, error };
                    return std::task::Poll::Ready(Err(error));
                }
            }
        }
        if have_all_ended { std::task::Poll::Ready(Ok(())) } else { std::task::Poll::Pending }
    })
    .await
}

async fn stop_all(running: Vec<RunningChild>, limit: Duration, log: &Logger) {
    let deadline = Instant::now() + limit;
    for mut child in running.into_iter().rev() {
        if child.has_ended {
            continue;
        }
        child.stop.cancel();
        let child_deadline = deadline.min(Instant::now() + child.stop_timeout);
        if timeout_at(child_deadline, &mut child.task).await.is_err() {
            // Dropping the handle, at the end of this iteration, aborts the
            // child.
            warn!(log, "child did not stop in time"; "child" => &child.name);
        }
    }
}

/// Runs one child and restarts it when it dies.
struct ChildRunner {
    policy: RestartPolicy,
    log: Logger,
    metrics: Metrics,
    backoff: Backoff,
    deaths: VecDeque<Instant>,
}

impl ChildRunner {
    fn new(policy: RestartPolicy, log: Logger, metrics: Metrics, name: &str) -> ChildRunner {
        // The seed gives each child its own jitter, so that restarts spread out
        // within a process. Restarts of different processes also differ by the
        // moments at which their children died.
        let seed = xxh3_64(name.as_bytes()) ^ u64::from(std::process::id());
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let backoff = Backoff::new(policy.backoff_min, policy.backoff_max, rng);
        ChildRunner { policy, log, metrics, backoff, deaths: VecDeque::new() }
    }

    async fn run(
        mut self,
        mut child: Child,
        stop: CancellationToken,
    ) -> Result<(), RestartLimitExceeded> {
        loop {
            let began = Instant::now();
            let error = match run_once(&mut child, &stop).await {
                Ok(()) if stop.is_cancelled() || child.restart == Restart::OnFailure => {
                    return Ok(());
                }
                Ok(()) => "ended without a stop request".to_owned(),
                Err(error) => error,
            };
            self.metrics.child_death(&child.name);
            if stop.is_cancelled() {
                warn!(self.log, "child failed while it stopped"; "error" => &error);
                return Ok(());
            }
            let deaths = self.count_death();
            if child.restart == Restart::Never || self.policy.max_deaths < deaths {
                let (child, window) = (child.name, self.policy.window);
                return Err(RestartLimitExceeded { child, deaths, window, error });
            }
            if self.policy.window <= began.elapsed() {
                self.backoff.reset();
            }
            let wait = self.backoff.next_wait();
            warn!(self.log, "child died and is started again"; "error" => &error,
                "deaths" => deaths, "wait_ms" => wait.as_millis());
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = stop.cancelled() => return Ok(()),
            }
        }
    }

    fn count_death(&mut self) -> usize {
        let now = Instant::now();
        self.deaths.push_back(now);
        while self.deaths.front().is_some_and(|it| self.policy.window < now - *it) {
            self.deaths.pop_front();
        }
        self.deaths.len()
    }
}

/// Runs a child in its own task, so that a panic ends only that task.
async fn run_once(child: &mut Child, stop: &CancellationToken) -> Result<(), String> {
    let future = (child.start)(stop.child_token());
    match AbortOnDropHandle::new(tokio::spawn(future)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(format!("{error:#}")),
        Err(error) => Err(describe_join_error(error)),
    }
}

fn describe_join_error(error: JoinError) -> String {
    let Ok(payload) = error.try_into_panic() else {
        return "aborted".to_owned();
    };
    let text = payload.downcast_ref::<&str>().map(|it| (*it).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    format!("panic: {}", text.unwrap_or_else(|| "(no message)".to_owned()))
}
