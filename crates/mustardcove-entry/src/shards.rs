//! Requests to the owners of shards.
//!
//! The rest of the process uses the [`ShardClient`] trait. [`OwnerClient`]
//! implements it over a [`ShardLink`], which carries one message to one process.
//! It finds the owner by rank among the live scheduler processes, follows the
//! hints of processes that do not own the shard (any more), and waits a bounded
//! time for a new owner.
//!
//! Every request to a shard may be repeated: the shard recognises submissions by
//! key and completions by attempt, and other requests change nothing. After a
//! lost answer the same request is therefore sent to the current owner. The
//! verdict is `MayHaveRun` only if no repetition is answered in time.

use std::{collections::HashMap, future::Future, sync::Arc, sync::Mutex};

use mustardcove_core::{
    id::{ProcessId, ShardId},
    message::{ShardRequest, ShardResponse},
    ownership::{ProcessKind, SessionRecord, rank::preferred_shard_owner},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use mustardcove_platform::Clock;
use tokio::sync::watch;

/// Longest time that a request waits for a new owner of its shard, in
/// milliseconds.
pub const OWNER_WAIT_MS: u64 = 4_000;

/// Retry delay for a caller when no owner was found, in milliseconds.
pub const OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// Hints followed in a row without a wait, so that two processes that name each
/// other are not asked in a loop.
const MAX_HINTS: u32 = 4;

/// First and longest wait before the next search for the owner, in
/// milliseconds.
const OWNER_SEARCH_BACKOFF_MS: (u64, u64) = (20, 400);

/// Sends requests to shards, whichever process owns them.
pub trait ShardClient: Send + Sync + 'static {
    /// Sends a request; never returns [`ShardResponse::NotOwner`].
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict says whether the request may have taken
    /// effect.
    fn request(
        &self,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> impl Future<Output = Result<ShardResponse, Refusal>> + Send;
}

impl<C: ShardClient> ShardClient for Arc<C> {
    fn request(
        &self,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> impl Future<Output = Result<ShardResponse, Refusal>> + Send {
        C::request(self, shard, body, deadline)
    }
}

/// Carries one request to one process.
pub trait ShardLink: Send + Sync + 'static {
    /// Sends a request to a process and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal with verdict `NotRun` if the request cannot have
    /// reached the process, and `MayHaveRun` if its answer was lost.
    fn send(
        &self,
        to: &SessionRecord,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> impl Future<Output = Result<ShardResponse, Refusal>> + Send;
}

/// The live processes, from their sessions in the store.
pub type Sessions = watch::Receiver<Arc<[SessionRecord]>>;

/// A [`ShardClient`] that finds the owners by session, hint and rank.
#[derive(Debug)]
pub struct OwnerClient<L> {
    link: L,
    sessions: Sessions,
    clock: Clock,
    /// The process that last answered for each shard. A stale entry only costs
    /// an extra request.
    last_owners: Mutex<HashMap<ShardId, ProcessId>>,
}

/// Result of sending a request once.
enum SendResult {
    Answered(ShardResponse),
    Hint(Option<ProcessId>),
    Failed(Verdict),
}

impl<L: ShardLink> OwnerClient<L> {
    /// Returns a client that sends over `link` to processes in `sessions`.
    pub fn new(link: L, sessions: Sessions, clock: Clock) -> OwnerClient<L> {
        OwnerClient { link, sessions, clock, last_owners: Mutex::new(HashMap::new()) }
    }

    /// Returns the process to ask: the hinted one, the last known owner, or the
    /// highest-ranked one, in this order.
    fn target(&self, shard: ShardId, hint: Option<&ProcessId>) -> Option<SessionRecord> {
        let sessions = self.sessions.borrow();
        let schedulers = || sessions.iter().filter(|it| it.kind == ProcessKind::Scheduler);
        let live_session = |id: &ProcessId| schedulers().find(|it| it.process == *id).cloned();
        let hinted = hint.and_then(live_session);
        let last_owner = || {
            let last_owners = self.last_owners.lock().unwrap_or_else(|it| it.into_inner());
            last_owners.get(&shard).and_then(live_session)
        };
        let ranked =
            || preferred_shard_owner(shard, schedulers().filter(|it| !it.draining)).cloned();
        hinted.or_else(last_owner).or_else(ranked)
    }

    fn set_last_owner(&self, shard: ShardId, owner: Option<&ProcessId>) {
        let mut last_owners = self.last_owners.lock().unwrap_or_else(|it| it.into_inner());
        match owner {
            Some(it) => last_owners.insert(shard, it.clone()),
            None => last_owners.remove(&shard),
        };
    }

    async fn send_once(
        &self,
        to: &SessionRecord,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> SendResult {
        let session_ended = self.wait_for_session_end(&to.process);
        let sent = self.link.send(to, shard, body, deadline);
        tokio::select! {
            sent = sent => match sent {
                Ok(ShardResponse::NotOwner { hint }) => {
                    SendResult::Hint(hint.filter(|it| *it != to.process))
                }
                Ok(resp) => SendResult::Answered(resp),
                Err(refusal) => SendResult::Failed(refusal.verdict),
            },
            // The session of a process that stopped answering soon expires.
            () = session_ended => SendResult::Failed(Verdict::MayHaveRun),
        }
    }

    async fn wait_for_session_end(&self, process: &ProcessId) {
        let mut sessions = self.sessions.clone();
        let session_ended = |it: &Arc<[SessionRecord]>| !it.iter().any(|it| it.process == *process);
        if sessions.wait_for(session_ended).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl<L: ShardLink> ShardClient for OwnerClient<L> {
    async fn request(
        &self,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> Result<ShardResponse, Refusal> {
        let mut hint = None;
        let mut hints = 0;
        let mut waiting_since = None;
        let mut wait_ms = OWNER_SEARCH_BACKOFF_MS.0;
        let mut verdict = Verdict::NotRun;
        loop {
            if let Some(to) = self.target(shard, hint.as_ref()) {
                hint = None;
                match self.send_once(&to, shard, body.clone(), deadline).await {
                    SendResult::Answered(resp) => {
                        self.set_last_owner(shard, Some(&to.process));
                        return Ok(resp);
                    }
                    SendResult::Hint(hinted) => {
                        self.set_last_owner(shard, None);
                        if hinted.is_some() && hints < MAX_HINTS {
                            hints += 1;
                            hint = hinted;
                            continue;
                        }
                    }
                    SendResult::Failed(it) => {
                        self.set_last_owner(shard, None);
                        if it != Verdict::NotRun {
                            verdict = Verdict::MayHaveRun;
                        }
                    }
                }
            }
            hints = 0;
            let now = self.clock.now();
            let since = *waiting_since.get_or_insert(now);
            let give_up_at = since.plus_ms(OWNER_WAIT_MS).min(deadline);
            if give_up_at <= now {
                return Err(no_owner(shard, verdict, now, deadline));
            }
            let until = now.plus_ms(wait_ms).min(give_up_at);
            let mut sessions = self.sessions.clone();
            sessions.mark_unchanged();
            tokio::select! {
                () = self.clock.sleep_until(until) => {}
                Ok(()) = sessions.changed() => {}
            }
            wait_ms = (wait_ms * 2).min(OWNER_SEARCH_BACKOFF_MS.1);
        }
    }
}

fn no_owner(shard: ShardId, verdict: Verdict, now: Timestamp, deadline: Timestamp) -> Refusal {
    let (reason, detail) = if deadline <= now {
        (RefusalReason::DeadlineExceeded, format!("the owner of shard {shard} did not answer"))
    } else {
        (RefusalReason::NoOwner, format!("shard {shard} has no owner at the moment"))
    };
    let retry_at = Some(now.plus_ms(OWNER_RETRY_AFTER_MS));
    Refusal { verdict, reason, detail, retry_at }
}
