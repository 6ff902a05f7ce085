//! Long polls for the reports of workers.
//!
//! Answers to lease renewals carry reports as well. With the polls the process
//! learns of the end of a task at once instead of at the next renewal.

use std::{collections::HashMap, sync::Arc, time::Duration};

use mustardcove_core::{id::WorkerId, worker::WorkerReport};
use mustardcove_platform::Workers;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

/// Delay before the next poll after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Polls each worker of the groups that the process owns.
#[derive(Debug)]
pub struct ReportPoller<W> {
    workers: Arc<W>,
    reports: mpsc::Sender<WorkerReport>,
    polls: HashMap<WorkerId, (Arc<str>, AbortOnDropHandle<()>)>,
}

impl<W: Workers> ReportPoller<W> {
    /// Returns a poller that polls no workers yet and sends reports to
    /// `reports`.
    pub fn new(workers: Arc<W>, reports: mpsc::Sender<WorkerReport>) -> ReportPoller<W> {
        ReportPoller { workers, reports, polls: HashMap::new() }
    }

    /// Starts and aborts polls so that exactly the workers in `wanted` are
    /// polled, at the given addresses.
    pub fn set_workers(&mut self, wanted: &HashMap<WorkerId, Arc<str>>) {
        self.polls.retain(|worker, (address, _)| wanted.get(worker) == Some(address));
        for (worker, address) in wanted {
            if self.polls.contains_key(worker) {
                continue;
            }
            let poll =
                poll_reports(Arc::clone(&self.workers), address.clone(), self.reports.clone());
            let task = AbortOnDropHandle::new(tokio::spawn(poll));
            self.polls.insert(worker.clone(), (address.clone(), task));
        }
    }
}

async fn poll_reports<W: Workers>(
    workers: Arc<W>,
    address: Arc<str>,
    reports: mpsc::Sender<WorkerReport>,
) {
    let mut after = 0;
    let mut incarnation = None;
    loop {
        match workers.reports(&address, after).await {
            Ok(report) => {
                // A restarted worker starts a new numbering of its events.
                let restarted = incarnation.is_some_and(|it| it != report.incarnation);
                incarnation = Some(report.incarnation);
                after = if restarted { 0 } else { report.sequence.max(after) };
                let is_empty = report.events.is_empty() && report.samples.is_empty();
                if !is_empty && reports.send(report).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
