//! Real processes, and workers that restart under their id while a poll is out.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::Duration;

use mustardcove_core::fleet::id::SubmissionId;
use reqwest::StatusCode;
use rig::{Rig, Worker, one_step};

const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time from a poll's arrival to the restart: it is held for longer.
const HELD: Duration = Duration::from_millis(150);
/// Age of a worker at which a lease by its clock lasts far too long for its next
/// incarnation.
const AGE: Duration = Duration::from_secs(5);
/// Longest time for short tasks on an idle fleet, with a start that gets no
/// answer.
const SHORT: Duration = Duration::from_secs(10);
const TASKS: u64 = 4;

/// Restarts a worker that holds a poll, submits tasks at once, and waits until
/// they are done.
async fn start_after_restart(name: &str, has_lost_power: bool, submission: u64) {
    let rig = Rig::start(name, 1, 1).await;
    rig.wait_ready().await;
    tokio::time::sleep(AGE).await;
    let worker: &Worker = &rig.workers[0];
    let polls = worker.worker.polls();
    while worker.worker.polls() == polls {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    tokio::time::sleep(HELD).await;
    worker.crash(has_lost_power);
    let id = SubmissionId(submission);
    assert_eq!(rig.submit(0, id, &one_step(TASKS, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "completed", SHORT).await, "its tasks are not done");
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against a lease that the worker holds for as long as it permits, so that
/// its runs go on after they count as ended: the start is meant for the earlier
/// incarnation, whose clock was ahead, and the poll that is out has not failed yet.
#[tokio::test]
async fn power_lost() {
    start_after_restart("power-lost", true, 0xf1).await;
}

/// The same with connections that are reset at once.
#[tokio::test]
async fn connections_reset() {
    start_after_restart("reset", false, 0xf2).await;
}
