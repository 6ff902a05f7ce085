//! Long polls for the reports of workers.
//!
//! Renewals carry reports as well; the polls make the end of a task known at
//! once instead of at the next renewal.

use std::{collections::HashMap, sync::Arc, time::Duration};

use mustardcove_core::{id::WorkerId, worker::WorkerReport};
use mustardcove_platform::Workers;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

/// Wait after a poll that failed.
const RETRY: Duration = Duration::from_millis(500);

/// Keeps one poll for each worker of the groups that the process owns.
#[derive(Debug)]
pub struct ReportPolls<W> {
    workers: Arc<W>,
    reports: mpsc::Sender<WorkerReport>,
    polls: HashMap<WorkerId, (Arc<str>, AbortOnDropHandle<()>)>,
}

impl<W: Workers> ReportPolls<W> {
    /// Returns polls whose reports go to `reports`.
    pub fn new(workers: Arc<W>, reports: mpsc::Sender<WorkerReport>) -> ReportPolls<W> {
        ReportPolls { workers, reports, polls: HashMap::new() }
    }

    /// Starts and ends polls so that exactly these workers are polled.
    pub fn set(&mut self, wanted: &HashMap<WorkerId, Arc<str>>) {
        self.polls.retain(|worker, (address, _)| wanted.get(worker) == Some(address));
        for (worker, address) in wanted {
            if self.polls.contains_key(worker) {
                continue;
            }
            let poll = poll(Arc::clone(&self.workers), address.clone(), self.reports.clone());
            let task = AbortOnDropHandle::new(tokio::spawn(poll));
            self.polls.insert(worker.clone(), (address.clone(), task));
        }
    }
}

async fn poll<W: Workers>(workers: Arc<W>, address: Arc<str>, reports: mpsc::Sender<WorkerReport>) {
    let mut after = 0;
    let mut incarnation = None;
    loop {
        match workers.reports(&address, after).await {
            Ok(report) => {
                // A restarted worker counts its events anew.
                let restarted = incarnation.is_some_and(|it| it != report.incarnation);
                incarnation = Some(report.incarnation);
                after = if restarted { 0 } else { report.sequence.max(after) };
                let is_empty = report.events.is_empty() && report.samples.is_empty();
                if !is_empty && reports.send(report).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(RETRY).await,
        }
    }
}
