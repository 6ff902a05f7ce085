//! Requests to the owners of shards.
//!
//! [`ShardClient`] is what the rest of the process uses. [`OwnerClient`]
//! implements it over a [`ShardLink`], which carries one message to one
//! process: it finds the owner by rank among the live scheduler processes,
//! follows hints of processes that do not own the shard (any more), and waits
//! a bounded time for a new owner.
//!
//! Every request to a shard may be repeated: the shard recognises submissions
//! by key and completions by attempt, and the others change nothing. A lost
//! answer is therefore followed by the same request to whoever owns the shard
//! then, and only what stays unknown until the end is reported as such.

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

/// Time after which a caller may ask again when no owner was found, in
/// milliseconds.
pub const OWNER_RETRY_MS: u64 = 1_000;

/// Hints followed in a row without a wait; two processes that name each other
/// must not be asked in a loop.
const MAX_HINTS: u32 = 4;

/// First and longest wait before the owner is looked for again, in
/// milliseconds.
const WAIT_MS: (u64, u64) = (20, 400);

/// Makes requests to shards, whichever process owns them.
pub trait ShardClient: Send + Sync + 'static {
    /// Makes a request; never returns [`ShardResponse::NotOwner`].
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

/// A [`ShardClient`] that finds the owners itself.
#[derive(Debug)]
pub struct OwnerClient<L> {
    link: L,
    sessions: Sessions,
    clock: Clock,
    /// Owners that answered last; a hint that costs nothing if it is wrong.
    owners: Mutex<HashMap<ShardId, ProcessId>>,
}

/// What became of one try.
enum Tried {
    Answered(ShardResponse),
    Hint(Option<ProcessId>),
    Failed(Verdict),
}

impl<L: ShardLink> OwnerClient<L> {
    /// Returns a client that sends over `link` to processes in `sessions`.
    pub fn new(link: L, sessions: Sessions, clock: Clock) -> OwnerClient<L> {
        OwnerClient { link, sessions, clock, owners: Mutex::new(HashMap::new()) }
    }

    /// Returns the process to ask: the hinted one, the last known owner, or
    /// the one that ranks first.
    fn target(&self, shard: ShardId, hint: Option<&ProcessId>) -> Option<SessionRecord> {
        let sessions = self.sessions.borrow();
        let schedulers = || sessions.iter().filter(|it| it.kind == ProcessKind::Scheduler);
        let named = |id: &ProcessId| schedulers().find(|it| it.process == *id).cloned();
        let hinted = hint.and_then(named);
        let known = || {
            let owners = self.owners.lock().unwrap_or_else(|it| it.into_inner());
            owners.get(&shard).and_then(named)
        };
        let ranked =
            || preferred_shard_owner(shard, schedulers().filter(|it| !it.draining)).cloned();
        hinted.or_else(known).or_else(ranked)
    }

    fn remember(&self, shard: ShardId, owner: Option<&ProcessId>) {
        let mut owners = self.owners.lock().unwrap_or_else(|it| it.into_inner());
        match owner {
            Some(it) => owners.insert(shard, it.clone()),
            None => owners.remove(&shard),
        };
    }

    async fn try_once(
        &self,
        to: &SessionRecord,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> Tried {
        let gone = self.wait_until_gone(&to.process);
        let sent = self.link.send(to, shard, body, deadline);
        tokio::select! {
            sent = sent => match sent {
                Ok(ShardResponse::NotOwner { hint }) => {
                    Tried::Hint(hint.filter(|it| *it != to.process))
                }
                Ok(resp) => Tried::Answered(resp),
                Err(refusal) => Tried::Failed(refusal.verdict),
            },
            // A process that stopped answering has no session soon after.
            () = gone => Tried::Failed(Verdict::MayHaveRun),
        }
    }

    async fn wait_until_gone(&self, process: &ProcessId) {
        let mut sessions = self.sessions.clone();
        let gone = |it: &Arc<[SessionRecord]>| !it.iter().any(|it| it.process == *process);
        if sessions.wait_for(gone).await.is_err() {
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
        let mut wait_ms = WAIT_MS.0;
        let mut verdict = Verdict::NotRun;
        loop {
            if let Some(to) = self.target(shard, hint.as_ref()) {
                hint = None;
                match self.try_once(&to, shard, body.clone(), deadline).await {
                    Tried::Answered(resp) => {
                        self.remember(shard, Some(&to.process));
                        return Ok(resp);
                    }
                    Tried::Hint(named) => {
                        self.remember(shard, None);
                        if named.is_some() && hints < MAX_HINTS {
                            hints += 1;
                            hint = named;
                            continue;
                        }
                    }
                    Tried::Failed(it) => {
                        self.remember(shard, None);
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
            wait_ms = (wait_ms * 2).min(WAIT_MS.1);
        }
    }
}

fn no_owner(shard: ShardId, verdict: Verdict, now: Timestamp, deadline: Timestamp) -> Refusal {
    let (reason, detail) = if deadline <= now {
        (RefusalReason::DeadlineExceeded, format!("the owner of shard {shard} did not answer"))
    } else {
        (RefusalReason::NoOwner, format!("shard {shard} has no owner at the moment"))
    };
    let retry_at = Some(now.plus_ms(OWNER_RETRY_MS));
    Refusal { verdict, reason, detail, retry_at }
}
