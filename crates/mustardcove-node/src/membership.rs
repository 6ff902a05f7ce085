//! Registers the process in the store, and claims the leadership when the
//! leader seems lost.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use mustardcove_adapter::store::{Item, StoreFault, Write, WriteOutcome};
use mustardcove_core::{
    fleet::{
        election::{Candidacy, next_claims},
        id::Term,
        message::FleetMessage,
        pre_vote::{self, Verdict},
        record::{self, HANDOVER_KEY, LEADER_KEY, LeaderRecord, PROCESS_PREFIX, ProcessRecord},
    },
    id::ProcessId,
};
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::{
    durable,
    leader::{self, Claim, LeaderInput},
    shared::{InterferenceStatus, Leadership, Shared, boot_now},
};

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which a process that stops tries to remove its record.
const DEREGISTER_TIME: Duration = Duration::from_millis(400);
/// Longest time for which a claim waits for the records of processes that it may ask.
const VOTERS_TIME: Duration = Duration::from_millis(400);
/// Messages that may wait for the leader task.
const LEADER_QUEUE: usize = 8_192;

/// Writes the process record, by which leaders find this process, and retries
/// until the store accepts it.
pub async fn register(shared: Arc<Shared>) {
    let key = own_key(&shared);
    let value = record::encode(&own_record(&shared));
    loop {
        match write_record(&shared, &key, &value).await {
            Ok(true) => {
                shared.store_answered();
                info!(shared.log, "registered"; "key" => key);
                return;
            }
            Ok(false) => {}
            Err(fault) => {
                warn!(shared.log, "not registered yet"; "error" => %fault);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes the process record unless it is there, and returns whether it is. The
/// condition keeps a late write of an earlier process of this instance from
/// replacing it, which would count as the end of this one.
async fn write_record(shared: &Shared, key: &str, value: &[u8]) -> Result<bool, StoreFault> {
    let current = shared.store.get(key).await?;
    if current.as_ref().is_some_and(|it| it.value == value) {
        return Ok(true);
    }
    let revision = current.map_or(0, |it| it.revision);
    let write = Write::default().expect(key, revision).set(key, value);
    Ok(matches!(shared.store.write(&write).await?, WriteOutcome::Committed(_)))
}

/// Removes the process record, which tells leaders that this process has ended. It
/// must not act for any leader afterwards. Gives up after a while: its silence
/// tells the same later.
pub async fn deregister(shared: &Shared) {
    let key = own_key(shared);
    let remove = async {
        let item = shared.store.get(&key).await?;
        let value = record::encode(&own_record(shared));
        let Some(item) = item.filter(|it| it.value == value) else { return Ok(()) };
        let write = Write::default().expect(key.clone(), item.revision).remove(key.clone());
        shared.store.write(&write).await.map(|_| ())
    };
    match tokio::time::timeout(DEREGISTER_TIME, remove).await {
        Ok(Ok(())) => info!(shared.log, "deregistered"; "key" => key),
        Ok(Err(fault)) => warn!(shared.log, "not deregistered"; "error" => %fault),
        Err(_) => warn!(shared.log, "not deregistered"; "error" => "no answer in time"),
    }
}

fn own_key(shared: &Shared) -> String {
    format!("{PROCESS_PREFIX}{}", shared.settings.name)
}

fn own_record(shared: &Shared) -> ProcessRecord {
    ProcessRecord {
        process: shared.process.clone(),
        name: shared.settings.name.clone(),
        address: shared.peers.address().to_string(),
        region: shared.settings.region.clone(),
        domain: shared.settings.domain.clone(),
        cpu_share: shared.settings.cpu_share,
    }
}

/// Returns the channel for messages to the leader task.
pub fn leader_queue() -> (mpsc::Sender<LeaderInput>, mpsc::Receiver<LeaderInput>) {
    mpsc::channel(LEADER_QUEUE)
}

/// Tells the leader named in the store that this process has started, so that
/// it need not wait for the leader's next reading of the process records.
async fn greet(shared: &Shared) {
    let item = match shared.store.get(LEADER_KEY).await {
        Ok(item) => item,
        Err(fault) => {
            warn!(shared.log, "leader record not read"; "error" => %fault);
            return;
        }
    };
    shared.store_answered();
    if let Some(leader) = item.and_then(|it| decode_leader(shared, &it)) {
        greet_leader(shared, &leader);
    }
}

fn greet_leader(shared: &Shared, leader: &LeaderRecord) {
    if shared.add_leader(leader) {
        shared.send(&leader.process, FleetMessage::Joined(own_record(shared)));
    }
}

fn decode_leader(shared: &Shared, item: &Item) -> Option<LeaderRecord> {
    durable::decode(shared, "leader", item)
}

/// Claims the leadership whenever a claim is due, and leads until the term
/// ends.
pub async fn run(shared: Arc<Shared>, mut inputs: mpsc::Receiver<LeaderInput>) {
    let asked_at = shared.now();
    greet(&shared).await;
    let store_ms = shared.now().ms_since(asked_at);
    shared.update_candidacy(|it, now| it.greeting_sent(store_ms, now));
    loop {
        tokio::select! {
            biased;
            () = shared.stop.cancelled() => return,
            () = shared.claim_due() => {}
        }
        match claim(&shared).await {
            Ok(ClaimOutcome::Leads(claim)) => {
                let term = claim.term;
                while inputs.try_recv().is_ok() {}
                shared.update_candidacy(Candidacy::claimed);
                shared
                    .leadership
                    .send_replace(Leadership { term, leader: Some(shared.process.clone()) });
                info!(shared.log, "leading"; "term" => %term, "claims" => claim.claims);
                let end = leader::lead(&shared, claim, &mut inputs).await;
                info!(shared.log, "no longer leading"; "term" => %term, "why" => end.why,
                    "handover" => %end.handover);
                shared.metrics.term_ended(end.handover.into());
                shared.long_running_waits().clear();
                *shared.interference() = InterferenceStatus::default();
                let is_ours = |it: &mut Leadership| {
                    let is_ours = it.term == term;
                    if is_ours {
                        it.leader = None;
                    }
                    is_ours
                };
                shared.leadership.send_if_modified(is_ours);
                shared.update_candidacy(Candidacy::reschedule_claim);
            }
            Ok(ClaimOutcome::Failed) => shared.update_candidacy(Candidacy::claim_failed),
            Ok(ClaimOutcome::Opposed) => shared.update_candidacy(Candidacy::claim_opposed),
            Err(fault) => {
                shared.store_failed();
                warn!(shared.log, "leadership not claimed"; "error" => %fault);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns whether the store shows that the leader of a term leads no more: it has
/// handed over, or its process has ended. A process that starts while all others
/// stop hears nothing of that, and would wait for a heartbeat.
async fn has_ended(shared: &Shared, leader: &LeaderRecord, term: Term) -> Result<bool, StoreFault> {
    let (name, started) = name_and_start(&leader.process);
    let key = format!("{PROCESS_PREFIX}{name}");
    let (handover, process) = tokio::join!(shared.store.get(HANDOVER_KEY), shared.store.get(&key));
    let handover = handover?.and_then(|it| durable::decode_handover(shared, &it));
    let process = process?.and_then(|it| durable::decode::<ProcessRecord>(shared, "process", &it));
    let has_handed_over = handover.is_some_and(|it| it.term == term);
    // A process may lead before it is registered, and then its predecessor still is.
    let is_gone = process.is_some_and(|it| started < name_and_start(&it.process).1);
    if has_handed_over && shared.stepped_down_at(term).is_none() {
        shared.record_step_down(term);
    }
    if has_handed_over || is_gone {
        info!(shared.log, "that leader has ended"; "term" => %term,
            "handed_over" => has_handed_over, "process_gone" => is_gone);
    }
    Ok(has_handed_over || is_gone)
}

/// Returns the name of the instance of a process, and when the process started.
fn name_and_start(process: &ProcessId) -> (&str, Option<u64>) {
    let parts = process.as_str().rsplit_once('.');
    parts.map_or((process.as_str(), None), |(name, started)| (name, started.parse().ok()))
}

/// Asks the leader of a term and some other processes whether they hear it.
async fn ask_others(
    shared: &Shared,
    leader: &LeaderRecord,
    term: Term,
    registered: &[Item],
) -> Verdict {
    let decode = |it: &Item| durable::decode::<ProcessRecord>(shared, "process", it);
    let registered: Vec<ProcessRecord> = registered.iter().filter_map(decode).collect();
    let draw = rand::random::<u32>() as usize;
    let others = pre_vote::choose_voters(&registered, &shared.process, &leader.process, draw);
    let others = others.into_iter().map(|it| (&it.process, &it.address, &it.region));
    let own = [(&leader.process, &leader.address, &leader.region)];
    let mut voters = BTreeSet::new();
    for (process, address, region) in others.chain(own) {
        if let Ok(address) = address.parse() {
            shared.peers.add_peer(process.clone(), address, region.clone());
            voters.insert(process.clone());
        }
    }
    let asked_at = shared.now();
    let verdict = shared.ask_voters(voters, term).await;
    info!(shared.log, "asked whether the leader is heard"; "term" => %term,
        "verdict" => %verdict, "ms" => shared.now().ms_since(asked_at));
    verdict
}

/// The outcome of an attempt to become the leader.
enum ClaimOutcome {
    /// This process leads.
    Leads(Claim),
    /// Another process leads or has claimed.
    Failed,
    /// Other processes hear the leader.
    Opposed,
}

/// Tries to become the leader.
async fn claim(shared: &Shared) -> Result<ClaimOutcome, StoreFault> {
    let current = shared.store.get(LEADER_KEY).await?;
    shared.store_answered();
    if !shared.is_claim_due() {
        // A heartbeat arrived in the meantime.
        return Ok(ClaimOutcome::Failed);
    }
    let revision = current.as_ref().map_or(0, |it| it.revision);
    let before = current.and_then(|it| decode_leader(shared, &it));
    let known_term = shared.leadership.borrow().term;
    let mut has_leader_ended = false;
    if known_term.0 < revision && before.as_ref().is_some_and(|it| it.process != shared.process) {
        // Another process became leader, or the first greeting was lost. Its
        // heartbeats should arrive soon, unless it is lost, too.
        info!(shared.log, "another leader found"; "term" => revision);
        has_leader_ended = match &before {
            Some(leader) => has_ended(shared, leader, Term(revision)).await?,
            None => false,
        };
        let is_newer = |it: &mut Leadership| {
            let is_newer = it.term < Term(revision);
            if is_newer {
                *it = Leadership { term: Term(revision), leader: None };
            }
            is_newer
        };
        if !shared.leadership.send_if_modified(is_newer) {
            // A heartbeat arrived in the meantime.
            return Ok(ClaimOutcome::Failed);
        }
        if let Some(leader) = before.as_ref().filter(|_| !has_leader_ended) {
            greet_leader(shared, leader);
            let is_same_region = leader.region == shared.settings.region;
            shared.update_candidacy(|it, now| it.found_leader(is_same_region, now));
            return Ok(ClaimOutcome::Failed);
        }
    }
    let is_other = |it: &&LeaderRecord| it.process != shared.process;
    if let Some(leader) = before.as_ref().filter(is_other)
        && !has_leader_ended
        && !shared.is_claim_planned()
    {
        // Without the records only the leader is asked.
        let registered = shared.store.range(PROCESS_PREFIX);
        let registered = tokio::time::timeout(VOTERS_TIME, registered).await;
        let registered = registered.ok().and_then(Result::ok).map(|it| it.0).unwrap_or_default();
        let verdict = ask_others(shared, leader, Term(revision), &registered).await;
        if verdict == Verdict::Postpone {
            return Ok(ClaimOutcome::Opposed);
        }
        if !shared.is_claim_due() {
            return Ok(ClaimOutcome::Failed);
        }
    }
    let record = LeaderRecord {
        process: shared.process.clone(),
        address: shared.peers.address().to_string(),
        region: shared.settings.region.clone(),
        claims: next_claims(before.map(|it| it.claims), revision),
    };
    let write =
        Write::default().expect(LEADER_KEY, revision).set(LEADER_KEY, &record::encode(&record));
    let (sent_at, sent_boot) = (shared.now(), boot_now());
    let predecessor = Term(revision);
    let claim = |revision| Claim {
        term: Term(revision),
        claims: record.claims,
        predecessor,
        sent_at,
        sent_boot,
    };
    match shared.store.write(&write).await {
        Ok(WriteOutcome::Committed(revision)) => Ok(ClaimOutcome::Leads(claim(revision))),
        Ok(WriteOutcome::Conflict(_)) => Ok(ClaimOutcome::Failed),
        Err(fault) => {
            // The write may have taken effect; reading the key shows it.
            let now = shared.store.get(LEADER_KEY).await?;
            let written = now.filter(|it| it.value == record::encode(&record));
            match written {
                Some(item) if revision < item.revision => {
                    Ok(ClaimOutcome::Leads(claim(item.revision)))
                }
                _ => Err(fault),
            }
        }
    }
}
