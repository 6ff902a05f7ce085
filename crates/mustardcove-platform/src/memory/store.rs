//! The store in memory, with faults that tests inject at run time.

use std::{
    collections::BTreeSet,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardcove_core::{
    store::{StoreError, StoreOp, StoreReply, StoreResult},
    time::earliest,
    verdict::Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use super::store_state::{StoreCounters, StoreState};
use crate::{clock::Clock, store::Store};

/// Longest time that a watch waits, however long a wait it requests.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Faults of the store; the default has none.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Every call is refused as unavailable and has no effect.
    pub outage: bool,
    /// Every call is dropped: it has no effect and gets no answer.
    pub drop_calls: bool,
    /// Time by which each answer is delayed after the call took effect.
    pub delay: Duration,
    /// Number of upcoming writes that take effect but whose answer is lost.
    pub lose_next: u32,
    /// Share of writes that take effect but whose answer is lost, in
    /// thousandths.
    pub lose_permille: u16,
    /// Number of upcoming writes that are refused before they take effect.
    pub refuse_next: u32,
    /// Share of calls that are refused before they take effect, in
    /// thousandths.
    pub refuse_permille: u16,
    /// Addresses of clients that are partitioned from the store: their calls
    /// do not arrive.
    pub partitioned: BTreeSet<IpAddr>,
}

/// How a call ends, as chosen by the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    Answered,
    AnswerLost,
    Refused,
    CallLost,
}

#[derive(Debug)]
struct Inner {
    state: StoreState,
    faults: StoreFaults,
    rng: ChaCha8Rng,
}

impl Inner {
    fn choose_outcome(&mut self, op: &StoreOp, client: Option<IpAddr>) -> CallOutcome {
        let faults = &mut self.faults;
        if faults.drop_calls || client.is_some_and(|it| faults.partitioned.contains(&it)) {
            return CallOutcome::CallLost;
        }
        if faults.outage || self.rng.random_range(0..1000) < faults.refuse_permille {
            return CallOutcome::Refused;
        }
        if !op.is_write() {
            return CallOutcome::Answered;
        }
        if 0 < faults.refuse_next {
            faults.refuse_next -= 1;
            return CallOutcome::Refused;
        }
        if 0 < faults.lose_next {
            faults.lose_next -= 1;
            return CallOutcome::AnswerLost;
        }
        if self.rng.random_range(0..1000) < faults.lose_permille {
            return CallOutcome::AnswerLost;
        }
        CallOutcome::Answered
    }
}

/// A store in memory; clones share the same store.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<()>,
    clock: Clock,
    client: Option<IpAddr>,
}

impl MemoryStore {
    /// Returns an empty store; `seed` determines which calls random faults hit.
    pub fn new(clock: Clock, seed: u64) -> MemoryStore {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let inner = Inner { state: StoreState::default(), faults: StoreFaults::default(), rng };
        let (changed, _) = watch::channel(());
        MemoryStore { inner: Arc::new(Mutex::new(inner)), changed, clock, client: None }
    }

    /// Returns a client of the store whose calls come from the address
    /// `client`.
    pub fn connection(&self, client: IpAddr) -> MemoryStore {
        MemoryStore { client: Some(client), ..self.clone() }
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut self.lock().faults);
        self.changed.send_replace(());
    }

    /// Returns the counts of calls.
    pub fn counters(&self) -> StoreCounters {
        self.lock().state.counters
    }

    /// Gives access to the state, so that tests can prepare or compact it.
    pub fn with_state<T>(&self, access: impl FnOnce(&mut StoreState) -> T) -> T {
        let result = access(&mut self.lock().state);
        self.changed.send_replace(());
        result
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Makes a call on behalf of `client`. The error says why there is no
    /// answer, so that the server can break the connection accordingly.
    pub(crate) async fn call_from(
        &self,
        op: StoreOp,
        client: Option<IpAddr>,
    ) -> Result<StoreResult, NoAnswer> {
        let (outcome, delay) = {
            let mut inner = self.lock();
            inner.state.count(&op);
            (inner.choose_outcome(&op, client), inner.faults.delay)
        };
        let refused = StoreError::Unavailable { verdict: Verdict::NotRun };
        match outcome {
            CallOutcome::CallLost => {
                self.lock().state.counters.refused += 1;
                return Err(NoAnswer::CallLost);
            }
            CallOutcome::Refused => {
                self.lock().state.counters.refused += 1;
                return Ok(Err(refused));
            }
            CallOutcome::Answered | CallOutcome::AnswerLost => {}
        }
        let result = match op {
            StoreOp::Watch { wait_ms, .. } => self.wait_for_changes(&op, wait_ms, client).await?,
            _ => self.apply(&op),
        };
        // Even a zero duration would cost a millisecond, the timer's resolution.
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if outcome == CallOutcome::AnswerLost {
            self.lock().state.counters.lost_answers += 1;
            return Err(NoAnswer::AnswerLost);
        }
        Ok(result)
    }

    fn apply(&self, op: &StoreOp) -> StoreResult {
        let mut inner = self.lock();
        let before = inner.state.revision();
        let result = inner.state.apply(self.clock.now(), op);
        if inner.state.revision() != before {
            self.changed.send_replace(());
        }
        result
    }

    async fn wait_for_changes(
        &self,
        op: &StoreOp,
        wait_ms: u64,
        client: Option<IpAddr>,
    ) -> Result<StoreResult, NoAnswer> {
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let until = self.clock.now().plus_ms(wait.as_millis() as u64);
        let mut changed = self.changed.subscribe();
        let _waiting = WaitingWatch::new(self);
        loop {
            changed.borrow_and_update();
            let (result, expiry) = {
                let result = self.apply(op);
                let inner = self.lock();
                if inner.faults.drop_calls
                    || client.is_some_and(|it| inner.faults.partitioned.contains(&it))
                {
                    return Err(NoAnswer::CallLost);
                }
                if inner.faults.outage {
                    let verdict = Verdict::NotRun;
                    return Ok(Err(StoreError::Unavailable { verdict }));
                }
                (result, inner.state.next_expiry())
            };
            let has_change =
                !matches!(&result, Ok(StoreReply::Changes { events, .. }) if events.is_empty());
            if has_change || until <= self.clock.now() {
                return Ok(result);
            }
            let wake_at = earliest(Some(until), expiry).unwrap_or(until);
            tokio::select! {
                _ = changed.changed() => {}
                () = self.clock.sleep_until(wake_at) => {}
            }
        }
    }
}

/// Why a call gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// The call did not arrive and had no effect.
    CallLost,
    /// The call took effect, but its answer is lost.
    AnswerLost,
}

impl Store for MemoryStore {
    async fn call(&self, op: StoreOp) -> StoreResult {
        match self.call_from(op, self.client).await {
            Ok(result) => result,
            Err(NoAnswer::CallLost | NoAnswer::AnswerLost) => {
                Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun })
            }
        }
    }
}

/// Counts a watch as waiting until it is dropped, which also happens when its
/// client disconnects.
struct WaitingWatch<'a> {
    store: &'a MemoryStore,
}

impl<'a> WaitingWatch<'a> {
    fn new(store: &'a MemoryStore) -> WaitingWatch<'a> {
        let counters = &mut store.lock().state.counters;
        counters.waiting_watches += 1;
        counters.most_waiting_watches = counters.most_waiting_watches.max(counters.waiting_watches);
        WaitingWatch { store }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.store.lock().state.counters.waiting_watches -= 1;
    }
}
