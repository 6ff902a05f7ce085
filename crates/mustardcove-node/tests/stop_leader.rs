//! What a leader stores when its process stops.

#[path = "support/local.rs"]
mod local;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use local::Local;
use mustardcove_core::{
    fleet::{
        handover::{Handover, WorkerHandover},
        id::{BootMillis, Incarnation, Term},
        members::MemberList,
        message::FleetMessage,
        planner::WorkerListing,
        record::{
            self, HANDOVER_KEY, LEADER_KEY, MEMBERS_KEY, PROCESS_PREFIX, ProcessRecord, WORK_PREFIX,
        },
        roster::RosterSegment,
    },
    id::ProcessId,
    size::Resources,
    time::Timestamp,
};
use mustardcove_node::{
    leader::{self, Claim, LeaderInput, TermEnd},
    membership,
    shared::{Leadership, Shared},
};
use tokio::{sync::mpsc, task::JoinHandle};

/// Time within which a leader restores the plan.
const RESTORE_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a leader that stops may wait for the store: much less
/// than the platform leaves a process before it kills it.
const MAX_STOP_TIME: Duration = Duration::from_secs(2);

/// Lets the node lead the term of the leader record.
async fn lead(local: &Local) -> (Term, JoinHandle<TermEnd>) {
    let (term, _, led) = lead_after(local, Term::default()).await;
    (term, led)
}

/// The same after a claim that has replaced the term `predecessor`.
async fn lead_after(
    local: &Local,
    predecessor: Term,
) -> (Term, mpsc::Sender<LeaderInput>, JoinHandle<TermEnd>) {
    let shared: Arc<Shared> = local.shared.clone();
    local.store.put(LEADER_KEY, b"{}");
    let record = shared.store.get(LEADER_KEY).await.expect("an answer").expect("a record");
    let term = Term(record.revision);
    let own = Leadership { term, leader: Some(shared.process.clone()) };
    shared.leadership.send_replace(own);
    let (inputs, mut received) = membership::leader_queue();
    let claim = Claim {
        term,
        claims: 1,
        predecessor,
        sent_at: shared.now(),
        sent_boot: BootMillis::default(),
    };
    let held = inputs.clone();
    let led = tokio::spawn(async move {
        let _held = held;
        leader::lead(&shared, claim, &mut received).await
    });
    tokio::time::sleep(RESTORE_TIME).await;
    (term, inputs, led)
}

async fn stop(local: &Local, led: JoinHandle<TermEnd>) -> TermEnd {
    local.shared.stop.cancel();
    let stopped_at = Instant::now();
    let end = tokio::time::timeout(MAX_STOP_TIME, led).await.expect("it stops in time");
    assert!(stopped_at.elapsed() < MAX_STOP_TIME);
    end.expect("no panic")
}

async fn stored(local: &Local) -> Handover {
    let item = local.shared.store.get(HANDOVER_KEY).await.expect("an answer").expect("a record");
    Handover::decode(&item.value).expect("a readable record")
}

/// Time that is left of the leases of a silent worker in the record of an earlier
/// leader, in milliseconds.
const LEFT_MS: u64 = 3_000;

/// Stores the record of an earlier leader, which knew of a silent worker.
fn leave_record(local: &Local, term: Term) {
    let written_at = Timestamp(500_000);
    let silent = WorkerHandover {
        worker: "w0".parse().expect("a valid name"),
        leases_expire_by: written_at.plus_ms(LEFT_MS),
        silent_since: Some(written_at.minus_ms(1_300)),
        plan: None,
        poller: None,
    };
    local.store.put(HANDOVER_KEY, &Handover { term, written_at, workers: vec![silent] }.encode());
}

/// Checks that the record of the term has the silent worker, whose leases end no later
/// than the record of the term before said when this one had begun.
async fn assert_passed_on(local: &Local, term: Term, began_at: Timestamp) {
    let handover = stored(local).await;
    assert_eq!((handover.term, handover.workers.len()), (term, 1));
    let end = handover.workers[0].leases_expire_by;
    let latest = local.shared.now().plus_ms(LEFT_MS).minus_ms(RESTORE_TIME.as_millis() as u64);
    assert!((began_at.plus_ms(LEFT_MS)..=latest).contains(&end), "{end}, not {latest}");
}

/// Guards against a successor that has to wait although nothing was ordered since the
/// record of an earlier leader, because the one in between was told to stop while it
/// could not read the other records.
#[tokio::test]
async fn stopped_while_restoring() {
    let local = Local::start().await;
    let (predecessor, began_at) = (Term(7), local.shared.now());
    leave_record(&local, predecessor);
    local.store.refuse_ranges(true);
    let (term, _, led) = lead_after(&local, predecessor).await;
    let end = stop(&local, led).await;
    assert_eq!(end.handover.to_string(), "passed_on");
    assert_passed_on(&local, term, began_at).await;
}

/// Guards against a record that is passed on although another leader was in between.
#[tokio::test]
async fn other_record() {
    let local = Local::start().await;
    leave_record(&local, Term(6));
    local.store.refuse_ranges(true);
    let (_, _, led) = lead_after(&local, Term(7)).await;
    assert_eq!(stop(&local, led).await.handover.to_string(), "not_restored");
    assert_eq!(stored(&local).await.term, Term(6));
}

/// Records a worker that does not answer.
fn add_worker(local: &Local) {
    let worker = WorkerListing {
        worker: "w0".parse().expect("a valid name"),
        service: "press".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "north".parse().expect("a valid name"),
        capacity: Resources::ZERO,
        labels: Vec::new(),
        is_draining: false,
        incarnation: Incarnation(1),
        host: None,
    };
    let segment = RosterSegment { workers: vec![worker] };
    local.store.put(&record::roster_key(0), &record::encode(&segment));
}

/// Makes another process the only member, of which nothing is heard, and records a
/// worker that does not answer, so that neither shows that earlier leaders have ended.
fn add_member(local: &Local) {
    add_worker(local);
    let process: ProcessId = "other.1".parse().expect("a valid name");
    let list = MemberList([(process.clone(), "other".to_owned())].into());
    local.store.put(MEMBERS_KEY, &record::encode(&list));
    let registered = ProcessRecord {
        process,
        name: "other".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        region: "home".parse().expect("a valid name"),
        domain: "north".parse().expect("a valid name"),
        cpu_share: 0.1,
    };
    local.store.put(&format!("{PROCESS_PREFIX}other"), &record::encode(&registered));
}

/// Guards against the same after the state was restored, by a leader that is no member
/// and has heard of none.
#[tokio::test]
async fn stopped_before_orders() {
    let local = Local::start().await;
    let (predecessor, began_at) = (Term(7), local.shared.now());
    leave_record(&local, predecessor);
    add_member(&local);
    let (term, _, led) = lead_after(&local, predecessor).await;
    let end = stop(&local, led).await;
    assert_eq!(end.handover.to_string(), "passed_on");
    assert_passed_on(&local, term, began_at).await;
}

/// Guards against a successor that has to wait because nothing was handed over.
#[tokio::test]
async fn plan_stored() {
    let local = Local::start().await;
    let (term, led) = lead(&local).await;
    stop(&local, led).await;
    let item = local.shared.store.get(HANDOVER_KEY).await.expect("an answer").expect("a record");
    let handover = Handover::decode(&item.value).expect("a readable record");
    assert_eq!(handover.term, term);
}

/// Guards against a record of a leader that was replaced, which may know nothing
/// of what its successor has ordered.
#[tokio::test]
async fn replaced_before_stop() {
    let local = Local::start().await;
    let (_, led) = lead(&local).await;
    local.store.put(LEADER_KEY, b"{\"another\":1}");
    stop(&local, led).await;
    let item = local.shared.store.get(HANDOVER_KEY).await.expect("an answer");
    assert!(item.is_none(), "only the leader of the present term may write it");
}

/// Guards against a leader that waits for the store until the platform kills its
/// process, so that its successor hears late that it has stepped down.
#[tokio::test]
async fn answers_lost() {
    let local = Local::start().await;
    let (_, led) = lead(&local).await;
    local.store.lose_answers(100);
    stop(&local, led).await;
}

/// Guards against ends of leases that are later by the time without a leader, although
/// a process knows since when the one before had stepped down.
#[tokio::test]
async fn step_down_heard() {
    let local = Local::start().await;
    let predecessor = Term(7);
    leave_record(&local, predecessor);
    add_member(&local);
    let heard_at = local.shared.now();
    tokio::time::sleep(RESTORE_TIME).await;
    let (term, inputs, led) = lead_after(&local, predecessor).await;
    let now = local.shared.now();
    let message = FleetMessage::EarlierLeases {
        term,
        earlier: predecessor,
        stepped_down_at: Some(heard_at),
        sent_at: now,
        workers: Vec::new(),
    };
    let from = "other.1".parse().expect("a valid name");
    let input = LeaderInput::Message { from, message: Box::new(message), received_at: now };
    inputs.send(input).await.expect("it leads");
    tokio::time::sleep(RESTORE_TIME).await;
    assert_eq!(stop(&local, led).await.handover.to_string(), "passed_on");
    assert_eq!(stored(&local).await.workers[0].leases_expire_by, heard_at.plus_ms(LEFT_MS));
}

/// Guards against a leader that waits in full for a silent worker, although the end of
/// its leases is stored, because the store failed while it read the other records.
#[tokio::test]
async fn record_read_late() {
    let local = Local::start().await;
    let predecessor = Term(7);
    leave_record(&local, predecessor);
    add_worker(&local);
    local.store.refuse_key(Some(HANDOVER_KEY));
    let (_, _, led) = lead_after(&local, predecessor).await;
    tokio::time::sleep(RESTORE_TIME).await;
    local.store.refuse_key(None);
    tokio::time::sleep(RESTORE_TIME).await;
    assert_eq!(stop(&local, led).await.handover.to_string(), "stored");
    let handover = stored(&local).await;
    let end = handover.workers[0].leases_expire_by;
    assert!(end <= handover.written_at.plus_ms(LEFT_MS), "{end}, of {}", handover.written_at);
}

/// Guards against a fleet without a leader because one that cannot read the state of
/// earlier leaders goes on sending heartbeats.
#[tokio::test]
async fn unreadable_state() {
    let mut local = Local::start().await;
    let record = ProcessRecord {
        process: local.shared.process.clone(),
        name: "node".to_owned(),
        address: local.shared.peers.address().to_string(),
        region: local.shared.settings.region.clone(),
        domain: local.shared.settings.domain.clone(),
        cpu_share: 1.0,
    };
    local.store.put(&format!("{PROCESS_PREFIX}node"), &record::encode(&record));
    local.store.refuse_key(Some(WORK_PREFIX));
    let (_, led) = lead(&local).await;
    let mut heartbeats = async |time| {
        let mut count = 0;
        let count_all = async {
            while local.events.recv().await.is_some() {
                count += 1
            }
        };
        let _ = tokio::time::timeout(time, count_all).await;
        count
    };
    let first = heartbeats(Duration::from_secs(4)).await;
    assert!((4..20).contains(&first), "{first} while it may still lead");
    assert_eq!(heartbeats(Duration::from_secs(1)).await, 0, "others may claim");
    stop(&local, led).await;
}
