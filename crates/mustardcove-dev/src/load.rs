//! Load on a deployment: callers that make requests for a bounded time.
//!
//! The load is open-loop: requests arrive at seeded random times, whether
//! earlier ones have ended or not.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use mustardcove_core::{class::ClassKind, verdict::Verdict};
use mustardcove_entry::{
    job_view::{JobView, ViewState},
    refusal::RefusalBody,
};
use mustardcove_platform::{memory::WorkSpec, upstream::SERVICE_TIME_HEADER};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;

use crate::{
    deployment::{Deployment, Stream},
    report::{ClassReport, Report},
};

/// Longest time that one request waits for the result of a job, in
/// milliseconds.
const RESULT_WAIT_MS: u64 = 5_000;

/// Time limit for jobs to end after the last one was submitted. Placement may
/// delay a short job by up to 30 s to wait for a better worker.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of attempts at one request. A service request is repeated only
/// if the verdict on the last attempt allows it.
const MAX_ATTEMPTS: u32 = 5;

/// State that all callers of a deployment share.
struct LoadContext {
    client: reqwest::Client,
    entries: Vec<String>,
    next_entry: AtomicUsize,
    token: String,
    key_prefix: String,
    report: Mutex<Report>,
}

impl LoadContext {
    /// Returns the URL of a path at the next entry instance. The instances take
    /// turns, as behind the load balancer of the platform.
    fn url(&self, path: &str) -> String {
        let index = self.next_entry.fetch_add(1, Ordering::Relaxed) % self.entries.len();
        format!("http://{}{path}", self.entries[index])
    }

    fn update_class(&self, stream: &Stream, change: impl FnOnce(&mut ClassReport)) {
        change(self.lock_report().class(&stream.class));
    }

    fn lock_report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Configuration of one run of the load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// The deployment that requests are made to.
    pub deployment: Deployment,
    /// Addresses of the callers' API, one for each entry process.
    pub entries: Vec<String>,
    /// Prefix of the idempotency keys; has to differ from those of earlier runs
    /// on the deployment.
    pub key_prefix: String,
    /// Time for which requests are made.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Runs the load on a deployment and returns what callers observed.
pub async fn run(config: LoadConfig) -> Report {
    let LoadConfig { deployment, entries, key_prefix, duration, seed } = config;
    let cx = Arc::new(LoadContext {
        client: reqwest::Client::new(),
        entries,
        next_entry: AtomicUsize::new(0),
        token: deployment.token.clone(),
        key_prefix,
        report: Mutex::new(Report::new(deployment.name)),
    });
    let mut streams = JoinSet::new();
    for (index, stream) in deployment.streams.iter().enumerate() {
        let kind = deployment.class(&stream.class).kind;
        let rng = ChaCha8Rng::seed_from_u64(seed ^ ((index as u64) << 32));
        streams.spawn(run_stream(Arc::clone(&cx), stream.clone(), kind, duration, rng));
    }
    streams.join_all().await;
    cx.lock_report().clone()
}

/// Makes the requests of one stream at its rate, then waits for all of them to
/// end.
async fn run_stream(
    cx: Arc<LoadContext>,
    stream: Stream,
    kind: ClassKind,
    duration: Duration,
    mut rng: ChaCha8Rng,
) {
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let mut requests = JoinSet::new();
    for number in 0..stream.max_requests {
        // Exponential gaps make the arrivals a Poisson process.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / stream.rate);
        if duration <= due {
            break;
        }
        tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
        let key = format!("{}-{}-{number}", cx.key_prefix, stream.class);
        let (cx, stream) = (Arc::clone(&cx), stream.clone());
        let finish_by = began + duration + FINISH_TIMEOUT;
        requests.spawn(async move {
            match kind {
                ClassKind::Service => call_service(&cx, &stream, &key).await,
                ClassKind::Batch => run_job(&cx, &stream, &key, finish_by).await,
                ClassKind::Watcher => start_watcher(&cx, &stream, &key).await,
            }
        });
    }
    while requests.join_next().await.is_some() {}
}

/// Makes a service request. Repeats it after connection errors, and after
/// refusals that say that it did not run.
async fn call_service(cx: &LoadContext, stream: &Stream, key: &str) {
    cx.update_class(stream, |it| it.requests += 1);
    let began = Instant::now();
    for _ in 0..MAX_ATTEMPTS {
        let request = cx
            .client
            .post(cx.url(&format!("/v1/services/{}", stream.class)))
            .bearer_auth(&cx.token)
            .header("idempotency-key", key)
            .header(SERVICE_TIME_HEADER, stream.work_ms)
            .body(key.to_owned());
        match request.send().await {
            Ok(resp) if resp.status().is_success() => {
                let text = resp.text().await.unwrap_or_default();
                let elapsed = began.elapsed();
                cx.update_class(stream, |it| it.record_answer(elapsed, text.contains(key)));
                return;
            }
            Ok(resp) => {
                let refusal = resp.json::<RefusalBody>().await.ok();
                let verdict = refusal.as_ref().map_or(Verdict::MayHaveRun, |it| it.verdict);
                cx.update_class(stream, |it| it.record_refusal(verdict));
                if verdict != Verdict::NotRun {
                    break;
                }
            }
            // It is safe to repeat the request: requests with the same
            // idempotency key run only once.
            Err(_) => cx.update_class(stream, |it| it.connection_errors += 1),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cx.update_class(stream, |it| it.given_up += 1);
}

/// Submits a job and returns its view, or `None` if it was not accepted.
async fn submit(cx: &LoadContext, stream: &Stream, key: &str) -> Option<JobView> {
    cx.update_class(stream, |it| it.requests += 1);
    let work = WorkSpec {
        work_ms: stream.work_ms,
        checkpoint_every_ms: 1_000,
        result: key.to_owned(),
        ..WorkSpec::default()
    };
    let payload = String::from_utf8(work.to_payload().to_vec()).unwrap_or_default();
    let body = json!({ "class": stream.class, "payload": payload });
    let began = Instant::now();
    for _ in 0..MAX_ATTEMPTS {
        let request = cx
            .client
            .post(cx.url("/v1/jobs"))
            .bearer_auth(&cx.token)
            .header("idempotency-key", key)
            .json(&body);
        match request.send().await {
            Ok(resp) if resp.status().is_success() => {
                let elapsed = began.elapsed();
                cx.update_class(stream, |it| it.record_accepted(elapsed));
                return resp.json().await.ok();
            }
            Ok(resp) => {
                let refusal = resp.json::<RefusalBody>().await.ok();
                let verdict = refusal.map_or(Verdict::MayHaveRun, |it| it.verdict);
                cx.update_class(stream, |it| it.record_refusal(verdict));
            }
            Err(_) => cx.update_class(stream, |it| it.connection_errors += 1),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    cx.update_class(stream, |it| it.given_up += 1);
    None
}

async fn fetch(cx: &LoadContext, job: &JobView, wait_ms: u64) -> Option<JobView> {
    let url = cx.url(&format!("/v1/jobs/{}?wait_ms={wait_ms}", job.job));
    let resp = cx.client.get(url).bearer_auth(&cx.token).send().await.ok()?;
    resp.error_for_status().ok()?.json().await.ok()
}

/// Submits a job and waits for its end.
async fn run_job(cx: &LoadContext, stream: &Stream, key: &str, finish_by: Instant) {
    let began = Instant::now();
    let Some(job) = submit(cx, stream, key).await else { return };
    while Instant::now() < finish_by {
        let Some(view) = fetch(cx, &job, RESULT_WAIT_MS).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let elapsed = began.elapsed();
        match view.state {
            ViewState::Succeeded => {
                let is_matching = view.result.as_deref() == Some(key);
                return cx.update_class(stream, |it| it.record_answer(elapsed, is_matching));
            }
            ViewState::Failed | ViewState::Cancelled => {
                return cx.update_class(stream, |it| it.failed += 1);
            }
            ViewState::Queued | ViewState::Running | ViewState::Cancelling => (),
        }
    }
    cx.update_class(stream, |it| it.unfinished += 1);
}

/// Submits a watcher and waits until it runs.
async fn start_watcher(cx: &LoadContext, stream: &Stream, key: &str) {
    let began = Instant::now();
    let Some(job) = submit(cx, stream, key).await else { return };
    for _ in 0..100 {
        let view = fetch(cx, &job, 0).await;
        if view.is_some_and(|it| it.state == ViewState::Running) {
            let elapsed = began.elapsed();
            return cx.update_class(stream, |it| it.record_answer(elapsed, true));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cx.update_class(stream, |it| it.unfinished += 1);
}
