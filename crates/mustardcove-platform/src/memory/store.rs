//! The store in memory, with faults that tests switch on at run time.

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

/// Longest time that a watch waits, whatever it asks for.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Faults of the store; the default is none.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Every call is refused as unavailable and has no effect.
    pub outage: bool,
    /// No call is answered or has an effect.
    pub silent: bool,
    /// Each answer is delayed by this time, after the call took effect.
    pub delay: Duration,
    /// This many of the next writes take effect and lose their answer.
    pub lose_next: u32,
    /// This share of writes takes effect and loses its answer, in thousandths.
    pub lose_permille: u16,
    /// This many of the next writes are refused before they take effect.
    pub refuse_next: u32,
    /// This share of calls is refused before it takes effect, in thousandths.
    pub refuse_permille: u16,
    /// Callers at these addresses are cut off: no call of theirs arrives.
    pub cut_off: BTreeSet<IpAddr>,
}

/// What becomes of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    Refused,
    Silent,
}

#[derive(Debug)]
struct Inner {
    state: StoreState,
    faults: StoreFaults,
    rng: ChaCha8Rng,
}

impl Inner {
    fn fate(&mut self, op: &StoreOp, caller: Option<IpAddr>) -> Fate {
        let faults = &mut self.faults;
        if faults.silent || caller.is_some_and(|it| faults.cut_off.contains(&it)) {
            return Fate::Silent;
        }
        if faults.outage || self.rng.random_range(0..1000) < faults.refuse_permille {
            return Fate::Refused;
        }
        if !op.is_write() {
            return Fate::Answered;
        }
        if 0 < faults.refuse_next {
            faults.refuse_next -= 1;
            return Fate::Refused;
        }
        if 0 < faults.lose_next {
            faults.lose_next -= 1;
            return Fate::AnswerLost;
        }
        if self.rng.random_range(0..1000) < faults.lose_permille {
            return Fate::AnswerLost;
        }
        Fate::Answered
    }
}

/// A store in memory; clones are connections to the same store.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<()>,
    clock: Clock,
    caller: Option<IpAddr>,
}

impl MemoryStore {
    /// Returns an empty store; `seed` decides which calls random faults hit.
    pub fn new(clock: Clock, seed: u64) -> MemoryStore {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let inner = Inner { state: StoreState::default(), faults: StoreFaults::default(), rng };
        let (changed, _) = watch::channel(());
        MemoryStore { inner: Arc::new(Mutex::new(inner)), changed, clock, caller: None }
    }

    /// Returns a connection whose calls come from `caller`.
    pub fn connection(&self, caller: IpAddr) -> MemoryStore {
        MemoryStore { caller: Some(caller), ..self.clone() }
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

    /// Gives access to the state, for set-up and compaction in tests.
    pub fn with_state<T>(&self, access: impl FnOnce(&mut StoreState) -> T) -> T {
        let result = access(&mut self.lock().state);
        self.changed.send_replace(());
        result
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Makes a call on behalf of `caller`, and reports a lost answer or
    /// silence as an error for the server to turn into a broken connection.
    pub(crate) async fn call_from(
        &self,
        op: StoreOp,
        caller: Option<IpAddr>,
    ) -> Result<StoreResult, LostAnswer> {
        let (fate, delay) = {
            let mut inner = self.lock();
            inner.state.count(&op);
            (inner.fate(&op, caller), inner.faults.delay)
        };
        let refused = StoreError::Unavailable { verdict: Verdict::NotRun };
        match fate {
            Fate::Silent => {
                self.lock().state.counters.refused += 1;
                return Err(LostAnswer::Silent);
            }
            Fate::Refused => {
                self.lock().state.counters.refused += 1;
                return Ok(Err(refused));
            }
            Fate::Answered | Fate::AnswerLost => {}
        }
        let result = match op {
            StoreOp::Watch { wait_ms, .. } => self.wait(&op, wait_ms, caller).await?,
            _ => self.apply(&op),
        };
        // A timer takes a millisecond even for no time at all.
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if fate == Fate::AnswerLost {
            self.lock().state.counters.lost_answers += 1;
            return Err(LostAnswer::AfterEffect);
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

    async fn wait(
        &self,
        op: &StoreOp,
        wait_ms: u64,
        caller: Option<IpAddr>,
    ) -> Result<StoreResult, LostAnswer> {
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let until = self.clock.now().plus_ms(wait.as_millis() as u64);
        let mut changed = self.changed.subscribe();
        let _waiting = WaitingWatch::new(self);
        loop {
            changed.borrow_and_update();
            let (result, expiry) = {
                let result = self.apply(op);
                let inner = self.lock();
                if inner.faults.silent
                    || caller.is_some_and(|it| inner.faults.cut_off.contains(&it))
                {
                    return Err(LostAnswer::Silent);
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

/// Why a call of the stand-in gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LostAnswer {
    /// The call never arrived.
    Silent,
    /// The call took effect.
    AfterEffect,
}

impl Store for MemoryStore {
    async fn call(&self, op: StoreOp) -> StoreResult {
        match self.call_from(op, self.caller).await {
            Ok(result) => result,
            Err(LostAnswer::Silent | LostAnswer::AfterEffect) => {
                Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun })
            }
        }
    }
}

/// Counts a watch as waiting until it is dropped, also when its caller leaves.
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
