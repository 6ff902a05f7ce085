//! Rejections by admission, by real processes and the stand-in.
//!
//! Guards against an overloaded pool that rejects nothing or rejects urgent work,
//! against rejected submissions that run, and against callers that return in time
//! and are rejected again.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::{Duration, Instant};

use mustardcove_core::fleet::id::SubmissionId;
use reqwest::StatusCode;
use rig::{BEST_EFFORT_PREFIX, Rig, best_effort, one_step};

const NODES: usize = 3;
const WORKERS: usize = 4;
/// Time that all workers need for one submission of the burst, in milliseconds.
const BURST_MS: u64 = 2_000;
/// Submissions at the beginning of the burst. The last ones could still be served
/// late, while shorter ones behind them could not.
const BURST_SIZE: usize = 6;
/// Estimate of the submissions that are to be rejected, in milliseconds.
const SHORT_MS: u64 = 300;
/// Longest time until the overload is seen, and until work is done afterwards.
const LONG: Duration = Duration::from_secs(20);
/// Time for which a caller that returns may wait for a newcomer to be rejected:
/// its place is held for longer.
const RETURN_WAIT: Duration = Duration::from_secs(3);

/// A pool that is overloaded by best-effort work.
struct OverloadedPool {
    rig: Rig,
    /// Submissions of the burst that were accepted.
    burst: Vec<SubmissionId>,
    /// Short submissions that were rejected.
    rejected: Vec<SubmissionId>,
    sent: u64,
}

impl OverloadedPool {
    async fn start() -> OverloadedPool {
        let mut rig = Rig::start("rejections", 0, WORKERS).await;
        rig.has_best_effort_queue = true;
        rig.change_manifest(3_000);
        for _ in 0..NODES {
            rig.add_node().await;
        }
        rig.wait_ready().await;
        let mut pool = OverloadedPool { rig, burst: Vec::new(), rejected: Vec::new(), sent: 0 };
        let (first, answer) = pool.submit(0, 2, SHORT_MS).await;
        assert_eq!(answer.0, StatusCode::OK);
        assert!(pool.rig.wait_for(first, "completed", LONG).await, "no worker runs tasks");
        for _ in 0..BURST_SIZE {
            pool.add_burst().await;
        }
        pool
    }

    /// Submits best-effort work with a new id.
    async fn submit(
        &mut self,
        node: usize,
        count: u64,
        ms: u64,
    ) -> (SubmissionId, (StatusCode, Option<u64>)) {
        self.sent += 1;
        let id = SubmissionId(self.sent);
        let body = best_effort(count, ms, ms);
        let answer = self.rig.submit_to(node, BEST_EFFORT_PREFIX, id, &body).await;
        (id, answer.expect("an answer"))
    }

    async fn add_burst(&mut self) {
        let node = self.sent as usize % NODES;
        let (id, answer) = self.submit(node, 2 * WORKERS as u64, BURST_MS).await;
        if answer.0 == StatusCode::OK {
            self.burst.push(id);
        }
    }

    /// Sends new short submissions to a node until one is rejected. Returns its id
    /// and the value of Retry-After.
    async fn reject(&mut self, node: usize, limit: Duration) -> (SubmissionId, Option<u64>) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let (id, (status, seconds)) = self.submit(node, 2, SHORT_MS).await;
            if status == StatusCode::TOO_MANY_REQUESTS {
                self.rejected.push(id);
                return (id, seconds);
            }
            assert_eq!(status, StatusCode::OK);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        let is_about = |it: &&String| it.contains("overload") || it.contains("admitted");
        let lines: Vec<String> = self.rig.logs().iter().filter(is_about).cloned().collect();
        panic!("nothing is rejected: {lines:#?}");
    }
}

/// Guards against what is left of each worker being taken for room, against an answer
/// without a time, against a returning caller that goes
/// behind newcomers, and against urgent work that is rejected for the backlog of
/// less urgent work. The place is found at a node that did not promise it.
#[tokio::test]
async fn rejected_returns() {
    let mut pool = OverloadedPool::start().await;
    let (id, seconds) = pool.reject(0, LONG).await;
    let promised = Duration::from_secs(seconds.expect("whole seconds"));
    let until = Instant::now() + promised;
    assert!(Duration::from_secs(1) <= promised);
    let is_room = |it: &&String| it.contains("admitted=room") && it.contains("queue=fill");
    let admitted: Vec<String> = pool.rig.logs().iter().filter(is_room).cloned().collect();
    assert!(admitted.is_empty(), "no worker has room: {admitted:#?}");

    let urgent = SubmissionId(0xffff);
    let mut body = one_step(2, 200);
    body["Steps"][0]["Cpu"] = 3_500.into();
    assert_eq!(pool.rig.submit(1, urgent, &body).await, Some(StatusCode::OK));
    assert!(pool.rig.wait_for(urgent, "completed", LONG).await, "the urgent one is not done");

    // Keeps the pool overloaded, so that only its place lets the caller in.
    while Instant::now() < until {
        pool.add_burst().await;
        let left = until.saturating_duration_since(Instant::now());
        tokio::time::sleep(left.min(Duration::from_millis(BURST_MS / 2))).await;
    }
    assert!(!pool.rig.monitor.has_started(id), "it was rejected and ran");
    pool.reject(1, RETURN_WAIT).await;
    let body = best_effort(2, SHORT_MS, SHORT_MS);
    let answer = pool.rig.submit_to(1, BEST_EFFORT_PREFIX, id, &body).await;
    assert_eq!(answer.map(|it| it.0), Some(StatusCode::OK), "it returned in time");

    for it in &pool.burst {
        pool.rig.cancel(0, *it).await;
    }
    assert!(pool.rig.wait_for(id, "completed", LONG).await, "the returned one is not done");
    for it in pool.rejected.iter().filter(|it| **it != id) {
        assert!(!pool.rig.monitor.has_started(*it), "{it} was rejected and ran");
        assert_eq!(pool.rig.state(2, *it).await.as_deref(), Some("unknown"));
    }
    assert_eq!(pool.rig.monitor.violations(), Vec::<String>::new());
}
