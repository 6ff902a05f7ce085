//! Callers of a deployment: bounded, seeded, open-loop load.

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
use mustardcove_platform::{memory::WorkSpec, upstream::SERVICE_TIME};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;

use crate::{
    deployment::{Deployment, Stream},
    report::{ClassReport, Report},
};

/// Longest wait of one request for the result of a job, in milliseconds.
const WAIT_MS: u64 = 5_000;

/// Time that jobs get to end after the last one was submitted. Placement may
/// hold a short job back for up to 30 s, until a better place is free.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Attempts of a caller at one request; each follows the verdict of the last.
const MAX_ATTEMPTS: u32 = 5;

/// What all callers of a deployment share.
struct Callers {
    client: reqwest::Client,
    entries: Vec<String>,
    next_entry: AtomicUsize,
    token: String,
    run: String,
    reports: Mutex<Report>,
}

impl Callers {
    /// The platform's balancer sends each request to another entry instance.
    fn url(&self, path: &str) -> String {
        let index = self.next_entry.fetch_add(1, Ordering::Relaxed) % self.entries.len();
        format!("http://{}{path}", self.entries[index])
    }

    fn class(&self, stream: &Stream, change: impl FnOnce(&mut ClassReport)) {
        change(self.lock().class(&stream.class));
    }

    fn lock(&self) -> MutexGuard<'_, Report> {
        self.reports.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// What a run of callers needs to know.
#[derive(Clone, Debug)]
pub struct Run {
    /// The deployment.
    pub deployment: Deployment,
    /// Addresses of the callers' API.
    pub entries: Vec<String>,
    /// The names of requests begin with this, so it has to be unique.
    pub name: String,
    /// For how long requests are made.
    pub length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Runs the callers of a deployment and returns what they saw.
pub async fn run(run: Run) -> Report {
    let Run { deployment, entries, name, length, seed } = run;
    let callers = Arc::new(Callers {
        client: reqwest::Client::new(),
        entries,
        next_entry: AtomicUsize::new(0),
        token: deployment.token.clone(),
        run: name,
        reports: Mutex::new(Report::new(deployment.name)),
    });
    let mut streams = JoinSet::new();
    for (index, stream) in deployment.streams.iter().enumerate() {
        let class = deployment.class(&stream.class).kind;
        let rng = ChaCha8Rng::seed_from_u64(seed ^ ((index as u64) << 32));
        streams.spawn(generate(Arc::clone(&callers), stream.clone(), class, length, rng));
    }
    streams.join_all().await;
    callers.lock().clone()
}

/// Makes requests at the stream's rate, whether earlier ones have ended or not.
async fn generate(
    callers: Arc<Callers>,
    stream: Stream,
    kind: ClassKind,
    length: Duration,
    mut rng: ChaCha8Rng,
) {
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let mut requests = JoinSet::new();
    for number in 0..stream.limit {
        // Exponential gaps: callers do not wait for each other.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / stream.rate);
        if length <= due {
            break;
        }
        tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
        let key = format!("{}-{}-{number}", callers.run, stream.class);
        let (callers, stream) = (Arc::clone(&callers), stream.clone());
        let finish_by = began + length + FINISH_TIMEOUT;
        requests.spawn(async move {
            match kind {
                ClassKind::Service => call_service(&callers, &stream, &key).await,
                ClassKind::Batch => run_job(&callers, &stream, &key, finish_by).await,
                ClassKind::Watcher => start_watcher(&callers, &stream, &key).await,
            }
        });
    }
    while requests.join_next().await.is_some() {}
}

async fn call_service(callers: &Callers, stream: &Stream, key: &str) {
    callers.class(stream, |it| it.asked += 1);
    let began = Instant::now();
    for _ in 0..MAX_ATTEMPTS {
        let request = callers
            .client
            .post(callers.url(&format!("/v1/services/{}", stream.class)))
            .bearer_auth(&callers.token)
            .header("idempotency-key", key)
            .header(SERVICE_TIME, stream.work_ms)
            .body(key.to_owned());
        match request.send().await {
            Ok(resp) if resp.status().is_success() => {
                let text = resp.text().await.unwrap_or_default();
                let elapsed = began.elapsed();
                callers.class(stream, |it| it.answered(elapsed, text.contains(key)));
                return;
            }
            Ok(resp) => {
                let refusal = resp.json::<RefusalBody>().await.ok();
                let verdict = refusal.as_ref().map_or(Verdict::MayHaveRun, |it| it.verdict);
                callers.class(stream, |it| it.refused(verdict));
                if verdict != Verdict::NotRun {
                    break;
                }
            }
            // The same key may be sent again: it never runs twice.
            Err(_) => callers.class(stream, |it| it.broken += 1),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    callers.class(stream, |it| it.given_up += 1);
}

/// Submits a job and returns its view, or `None` if it was not accepted.
async fn submit(callers: &Callers, stream: &Stream, key: &str) -> Option<JobView> {
    callers.class(stream, |it| it.asked += 1);
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
        let request = callers
            .client
            .post(callers.url("/v1/jobs"))
            .bearer_auth(&callers.token)
            .header("idempotency-key", key)
            .json(&body);
        match request.send().await {
            Ok(resp) if resp.status().is_success() => {
                let elapsed = began.elapsed();
                callers.class(stream, |it| it.accepted(elapsed));
                return resp.json().await.ok();
            }
            Ok(resp) => {
                let refusal = resp.json::<RefusalBody>().await.ok();
                let verdict = refusal.map_or(Verdict::MayHaveRun, |it| it.verdict);
                callers.class(stream, |it| it.refused(verdict));
            }
            Err(_) => callers.class(stream, |it| it.broken += 1),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    callers.class(stream, |it| it.given_up += 1);
    None
}

async fn fetch(callers: &Callers, job: &JobView, wait_ms: u64) -> Option<JobView> {
    let url = callers.url(&format!("/v1/jobs/{}?wait_ms={wait_ms}", job.job));
    let resp = callers.client.get(url).bearer_auth(&callers.token).send().await.ok()?;
    resp.error_for_status().ok()?.json().await.ok()
}

async fn run_job(callers: &Callers, stream: &Stream, key: &str, finish_by: Instant) {
    let began = Instant::now();
    let Some(job) = submit(callers, stream, key).await else { return };
    while Instant::now() < finish_by {
        let Some(view) = fetch(callers, &job, WAIT_MS).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let elapsed = began.elapsed();
        match view.state {
            ViewState::Succeeded => {
                let is_own = view.result.as_deref() == Some(key);
                return callers.class(stream, |it| it.answered(elapsed, is_own));
            }
            ViewState::Failed | ViewState::Cancelled => {
                return callers.class(stream, |it| it.failed += 1);
            }
            ViewState::Queued | ViewState::Running | ViewState::Cancelling => (),
        }
    }
    callers.class(stream, |it| it.unfinished += 1);
}

async fn start_watcher(callers: &Callers, stream: &Stream, key: &str) {
    let began = Instant::now();
    let Some(job) = submit(callers, stream, key).await else { return };
    for _ in 0..100 {
        let view = fetch(callers, &job, 0).await;
        if view.is_some_and(|it| it.state == ViewState::Running) {
            let elapsed = began.elapsed();
            return callers.class(stream, |it| it.answered(elapsed, true));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    callers.class(stream, |it| it.unfinished += 1);
}
