//! Stored values of the ledger: format, size limits and damaged input.

use std::sync::Arc;

use bytes::Bytes;
use mustardcove_core::{
    id::{AttemptNumber, Epoch, SegmentNumber, ShardId, TaskId, WriteToken},
    job::{AttemptLocation, BodyDigest, Checkpoint, EndEvidence, JobSpec, Outcome},
    ledger::{
        Ledger, Record, Segment, SnapshotPart, log_key,
        segment::{SegmentHeader, parse_log_key},
        snapshot::{parse_snapshot_key, snapshot_key},
    },
    size::Resources,
    store::MAX_VALUE_BYTES,
    time::Timestamp,
};

fn spec(n: u32, payload: usize) -> Arc<JobSpec> {
    let class = "binding-run".parse().unwrap();
    Arc::new(JobSpec {
        member: "bindery".parse().unwrap(),
        key: format!("order-{n}").parse().unwrap(),
        digest: BodyDigest::of(&class, b"body"),
        class,
        resources: Resources::new(2000, 4096, 1),
        expected_run_ms: 60_000,
        deadline: None,
        payload: Bytes::from(vec![n as u8; payload]),
    })
}

fn history(n: u32) -> Vec<Record> {
    let spec = spec(n, 100);
    let task = TaskId { job: spec.id(), attempt: AttemptNumber(1) };
    let place = AttemptLocation::Worker {
        group: "g".parse().unwrap(),
        worker: "w".parse().unwrap(),
        epoch: Epoch(3),
    };
    let checkpoint = Checkpoint { token: "c1".to_owned(), progress_permille: 500 };
    vec![
        Record::Owner { process: "p".parse().unwrap(), epoch: Epoch(1) },
        Record::Accepted { spec, at: Timestamp(5) },
        Record::Bound { task, place, request: None },
        Record::Checkpointed { task, checkpoint },
        Record::Lost { task, evidence: EndEvidence::NewIncarnation },
        Record::Done {
            job: task.job,
            attempt: None,
            outcome: Outcome::Cancelled,
            forget_at: Timestamp(99),
        },
    ]
}

/// Guards against an encoding that loses a field of a record.
#[test]
fn segment_round_trip() {
    let header = SegmentHeader {
        process: "p".parse().unwrap(),
        epoch: Epoch(4),
        token: WriteToken(u64::MAX),
    };
    let segment = Segment { header: header.clone(), records: history(7) };
    let value = segment.encode();
    assert_eq!(Segment::decode(&value).unwrap(), segment);
    assert_eq!(Segment::decode_header(&value).unwrap(), header);
}

/// Guards against decoding a truncated value or a value of another format as if
/// it were complete, which would lose records silently.
#[test]
fn damaged_values_are_rejected() {
    let header =
        SegmentHeader { process: "p".parse().unwrap(), epoch: Epoch(4), token: WriteToken(1) };
    let value = Segment { header, records: history(7) }.encode();
    for len in 0..value.len() {
        assert!(Segment::decode(&value[..len]).is_err(), "cut to {len} bytes");
    }
    let mut longer = value.to_vec();
    longer.push(0);
    assert!(Segment::decode(&longer).is_err());
    longer[0] = 2;
    let err = Segment::decode(&longer).unwrap_err();
    assert_eq!(err.to_string(), "stored segment cannot be read: unknown format 2");
}

/// Guards against snapshot parts above the store's size limit and against jobs
/// that are lost between two parts.
#[test]
fn snapshot_parts_round_trip() {
    let mut ledger = Ledger::new();
    ledger.set_owner(Some("p".parse().unwrap()), Epoch(2));
    for n in 0..100 {
        ledger.apply(&Record::Accepted { spec: spec(n, 64 << 10), at: Timestamp(1) });
    }
    let parts = SnapshotPart::encode_all(&ledger, SegmentNumber(9));
    assert!(1 < parts.len());
    let mut read = Ledger::new();
    for (i, value) in parts.iter().enumerate() {
        assert!(value.len() < MAX_VALUE_BYTES);
        let part = SnapshotPart::decode(value).unwrap();
        assert_eq!((part.part, part.parts), (i as u32, parts.len() as u32));
        read.set_owner(part.owner, part.epoch);
        part.jobs.into_iter().for_each(|job| read.insert(job));
    }
    assert_eq!(read, ledger);
    assert_eq!(read.approximate_bytes(), ledger.approximate_bytes());
}

/// Guards against records of an earlier attempt that change a later attempt.
#[test]
fn stale_records_are_ignored() {
    let records = history(1);
    let mut ledger = Ledger::new();
    for record in &records[..5] {
        assert!(ledger.apply(record), "{record:?}");
    }
    let queued = ledger.clone();
    for record in &records[1..5] {
        assert!(!ledger.apply(record), "{record:?}");
    }
    assert_eq!(ledger, queued);
    assert!(ledger.apply(&records[5]));
    assert!(ledger.get(records[5].job().unwrap()).unwrap().spec.payload.is_empty());
    assert!(!ledger.apply(&records[5]));
    assert_eq!(ledger.done_count(), 1);
}

/// Guards against keys that sort in a different order than their numbers.
#[test]
fn keys_sort_by_number() {
    let shard = ShardId(3);
    let (low, high) = (SegmentNumber(9), SegmentNumber(10));
    assert!(log_key(shard, low) < log_key(shard, high));
    assert_eq!(parse_log_key(shard, &log_key(shard, high)), Some(high));
    assert_eq!(parse_log_key(ShardId(4), &log_key(shard, high)), None);
    assert_eq!(parse_snapshot_key(shard, &snapshot_key(shard, high, 2)), Some((high, 2)));
}
