//! Tests that a request to a shard is neither lost nor sent in a loop, and that
//! its wait is bounded, while the shard changes its owner.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use mustardcove_core::{
    id::{JobId, ProcessId, ShardId},
    message::{ShardRequest, ShardResponse},
    ownership::{ProcessKind, SessionRecord},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use mustardcove_entry::shards::{OWNER_WAIT_MS, OwnerClient, ShardClient, ShardLink};
use mustardcove_platform::Clock;
use tokio::sync::watch;

/// Scripted answer of a process.
#[derive(Clone)]
enum Reply {
    Done,
    Hint(Option<&'static str>),
    Fail(Verdict),
    NoAnswer,
}

#[derive(Clone, Default)]
struct ScriptedLink {
    sent: Arc<Mutex<Vec<String>>>,
    replies: Arc<Mutex<VecDeque<Reply>>>,
}

impl ShardLink for ScriptedLink {
    async fn send(
        &self,
        to: &SessionRecord,
        _: ShardId,
        _: ShardRequest,
        _: Timestamp,
    ) -> Result<ShardResponse, Refusal> {
        self.sent.lock().unwrap().push(to.process.to_string());
        let reply = {
            let mut replies = self.replies.lock().unwrap();
            let next = replies.front().cloned().unwrap_or(Reply::Done);
            // The last reply is repeated forever.
            if 1 < replies.len() {
                replies.pop_front();
            }
            next
        };
        match reply {
            Reply::Done => Ok(ShardResponse::Completed),
            Reply::Hint(hint) => {
                Ok(ShardResponse::NotOwner { hint: hint.map(|it| it.parse().unwrap()) })
            }
            Reply::Fail(verdict) => {
                let refusal = Refusal::not_run(RefusalReason::NoOwner, "the link failed");
                Err(Refusal { verdict, ..refusal })
            }
            Reply::NoAnswer => std::future::pending().await,
        }
    }
}

fn session(name: &str, kind: ProcessKind) -> SessionRecord {
    SessionRecord {
        process: name.parse().unwrap(),
        kind,
        peer_address: "127.0.0.1:1".to_owned(),
        admin_address: "127.0.0.1:2".to_owned(),
        region: "r1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        draining: false,
    }
}

fn sessions(names: &[&str]) -> Arc<[SessionRecord]> {
    let mut all: Vec<_> = names.iter().map(|it| session(it, ProcessKind::Scheduler)).collect();
    all.push(session("entry-1", ProcessKind::Entry));
    all.into()
}

struct Setup {
    link: ScriptedLink,
    client: OwnerClient<ScriptedLink>,
    sessions: watch::Sender<Arc<[SessionRecord]>>,
    clock: Clock,
}

fn setup(names: &[&str], replies: &[Reply]) -> Setup {
    let link = ScriptedLink::default();
    link.replies.lock().unwrap().extend(replies.iter().cloned());
    let (sessions, receiver) = watch::channel(sessions(names));
    let clock = Clock::starting_at(Timestamp(1_000_000));
    let client = OwnerClient::new(link.clone(), receiver, clock);
    Setup { link, client, sessions, clock }
}

impl Setup {
    async fn request(&self, timeout_ms: u64) -> Result<ShardResponse, Refusal> {
        let body = ShardRequest::Query { job: JobId(3), wait_until: None, member: None };
        self.client.request(ShardId(3), body, self.clock.now().plus_ms(timeout_ms)).await
    }

    fn sent(&self) -> Vec<String> {
        self.link.sent.lock().unwrap().clone()
    }
}

/// Guards against a hint that is not followed, and against a search for the
/// owner that starts anew on every request.
#[tokio::test(start_paused = true)]
async fn hint_is_followed_and_owner_cached() {
    let setup = setup(&["s-1", "s-2", "s-3"], &[Reply::Hint(Some("s-2")), Reply::Done]);
    setup.request(60_000).await.unwrap();
    let first = setup.sent();
    assert!(first.len() <= 2 && first.last().unwrap() == "s-2" || first.len() == 1, "{first:?}");
    setup.request(60_000).await.unwrap();
    assert_eq!(setup.sent().last(), first.last());
    assert_eq!(setup.sent().len(), first.len() + 1);
}

/// Guards against a request that waits forever, polls in a tight loop or gets
/// the wrong verdict because no process owns the shard or answers.
#[tokio::test(start_paused = true)]
async fn request_without_owner_is_refused_in_time() {
    let no_owner = [
        (vec![], vec![], Verdict::NotRun),
        (vec!["s-1"], vec![Reply::Hint(None)], Verdict::NotRun),
        (vec!["s-1", "s-2"], vec![Reply::Hint(Some("s-1"))], Verdict::NotRun),
        (vec!["s-1"], vec![Reply::Fail(Verdict::NotRun)], Verdict::NotRun),
        // After a lost answer, the request may have taken effect.
        (
            vec!["s-1"],
            vec![Reply::Fail(Verdict::MayHaveRun), Reply::Fail(Verdict::NotRun)],
            Verdict::MayHaveRun,
        ),
    ];
    for (names, replies, verdict) in no_owner {
        let setup = setup(&names, &replies);
        let began = setup.clock.now();
        let refusal = setup.request(60_000).await.unwrap_err();
        let waited = setup.clock.now().ms_since(began);
        assert_eq!((refusal.verdict, refusal.reason), (verdict, RefusalReason::NoOwner));
        assert!((OWNER_WAIT_MS..OWNER_WAIT_MS + 50).contains(&waited), "{waited} ms");
        assert!(began < refusal.retry_at.unwrap());
        assert!(setup.sent().len() < 200, "{} messages", setup.sent().len());
    }
}

/// Guards against a wait for an owner that exceeds the deadline of the
/// request.
#[tokio::test(start_paused = true)]
async fn deadline_bounds_the_wait() {
    let setup = setup(&[], &[]);
    let began = setup.clock.now();
    let refusal = setup.request(700).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(setup.clock.now().ms_since(began) < 750);
}

/// Guards against a request that notices a new owner only at its next periodic
/// search, which would delay it by the back-off.
#[tokio::test(start_paused = true)]
async fn new_owner_is_found_immediately() {
    let setup = setup(&[], &[Reply::Done]);
    let (resp, ()) = tokio::join!(setup.request(60_000), async {
        tokio::time::sleep(Duration::from_millis(2_900)).await;
        setup.sessions.send_replace(sessions(&["s-4"]));
    });
    assert!(resp.is_ok());
    assert_eq!(setup.clock.now(), Timestamp(1_002_900));
    assert_eq!(setup.sent(), ["s-4"]);
}

/// Guards against a request that waits for the answer of a crashed owner until
/// its deadline, although another process has taken over.
#[tokio::test(start_paused = true)]
async fn unresponsive_owner_is_abandoned_when_its_session_ends() {
    let setup = setup(&["s-1"], &[Reply::NoAnswer, Reply::Done]);
    let (resp, ()) = tokio::join!(setup.request(60_000), async {
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        setup.sessions.send_replace(sessions(&["s-2"]));
    });
    assert!(resp.is_ok());
    assert_eq!(setup.sent(), ["s-1", "s-2"]);
    let process: ProcessId = "s-2".parse().unwrap();
    assert_eq!(setup.sent().last().unwrap(), process.as_str());
}
