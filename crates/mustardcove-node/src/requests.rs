//! Requests to other processes that wait for their answers.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::oneshot;

use crate::shared::lock;

/// The requests of one kind, by the numbers that this process gave them.
#[derive(Debug)]
pub struct Requests<T> {
    next: AtomicU64,
    waiting: Mutex<BTreeMap<u64, oneshot::Sender<T>>>,
}

/// A request that waits for its answer; dropping it forgets the request.
#[derive(Debug)]
pub struct OpenRequest<'a, T> {
    /// Its number, which the answer repeats.
    pub number: u64,
    /// Receives the answer.
    pub answer: oneshot::Receiver<T>,
    requests: &'a Requests<T>,
}

impl<T> Default for Requests<T> {
    fn default() -> Requests<T> {
        Requests { next: AtomicU64::new(1), waiting: Mutex::default() }
    }
}

impl<T> Requests<T> {
    /// Begins a request; `None` if `limit` of them wait already.
    pub fn begin(&self, limit: usize) -> Option<OpenRequest<'_, T>> {
        let mut waiting = lock(&self.waiting);
        if limit <= waiting.len() {
            return None;
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, answer) = oneshot::channel();
        waiting.insert(number, tx);
        Some(OpenRequest { number, answer, requests: self })
    }

    /// Passes an answer on to its request, unless that has been dropped.
    pub fn answered(&self, number: u64, answer: T) {
        let waiting = lock(&self.waiting).remove(&number);
        if let Some(tx) = waiting {
            // The receiver is dropped when the request times out.
            let _ = tx.send(answer);
        }
    }
}

impl<T> Drop for OpenRequest<'_, T> {
    fn drop(&mut self) {
        lock(&self.requests.waiting).remove(&self.number);
    }
}
