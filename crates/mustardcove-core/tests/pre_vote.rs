//! Whether a process claims the leadership after it has asked others.

use std::collections::BTreeSet;

use mustardcove_core::{
    fleet::{
        pre_vote::{PreVote, Verdict, choose_voters},
        record::ProcessRecord,
    },
    id::ProcessId,
};

fn process(i: usize) -> ProcessId {
    format!("node-{i}.1").parse().expect("a valid name")
}

/// Returns a vote in which `asked` processes are asked and the first ones answer.
fn vote(asked: usize, answers: &[bool]) -> PreVote {
    let mut vote = PreVote::new(1, (0..asked).map(process).collect());
    for (i, hears) in answers.iter().enumerate() {
        vote.answered(1, &process(i), *hears);
    }
    vote
}

/// Guards against a claim beside a leader that most others hear.
#[test]
fn leader_heard() {
    assert_eq!(vote(5, &[true, true, true]).early_verdict(), Some(Verdict::Postpone));
    assert_eq!(vote(5, &[true, false]).early_verdict(), None, "the others decide");
    assert_eq!(vote(5, &[true, false, true]).verdict(), Verdict::Postpone);
}

/// Guards against a fleet without a leader because the others are lost, too, and
/// against a wait for the lost leader's answer.
#[test]
fn leader_lost() {
    assert_eq!(vote(6, &[]).verdict(), Verdict::Claim, "nobody answers");
    assert_eq!(vote(0, &[]).early_verdict(), Some(Verdict::Claim), "nobody to ask");
    assert_eq!(vote(6, &[false, false, false]).early_verdict(), Some(Verdict::Claim));
    assert_eq!(vote(2, &[false]).early_verdict(), Some(Verdict::Claim));
    assert_eq!(vote(6, &[true, false]).verdict(), Verdict::Claim, "not more than half");
}

/// Guards against answers that count twice, or in a later vote than theirs.
#[test]
fn foreign_answers() {
    let mut vote = vote(3, &[true]);
    vote.answered(1, &process(0), true);
    vote.answered(0, &process(1), true);
    vote.answered(1, &process(7), true);
    assert_eq!(vote.early_verdict(), None);
}

/// Guards against asking all processes of a large fleet, one twice, or the candidate.
#[test]
fn few_voters() {
    let record = |i| ProcessRecord {
        process: process(i),
        name: format!("node-{i}"),
        address: "127.0.0.1:1".to_owned(),
        region: "home".parse().expect("a valid name"),
        domain: "north".parse().expect("a valid name"),
        cpu_share: 0.1,
    };
    for count in [1, 2, 3, 7, 39, 147] {
        let registered: Vec<ProcessRecord> = (0..count).map(record).collect();
        for draw in [0, 1, 38, usize::MAX] {
            let voters = choose_voters(&registered, &process(0), &process(1), draw);
            let distinct: BTreeSet<_> = voters.iter().map(|it| &it.process).collect();
            assert_eq!(distinct.len(), voters.len(), "{count} {draw}");
            assert_eq!(voters.len(), count.saturating_sub(2).min(5), "{count} {draw}");
            assert!(!distinct.contains(&process(0)) && !distinct.contains(&process(1)));
        }
    }
}
