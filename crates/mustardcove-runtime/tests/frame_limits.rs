//! Message framing: reassembly, size limits and malformed input.

use mustardcove_core::{
    fleet::{
        evacuation::EvacuationList,
        handover::KnownLeases,
        id::{AssignmentNumber, BootMillis, Incarnation, Revision, RunNumber, TaskKey, Term},
        message::{FleetMessage, Order, PollResult, ReportRow, RunningTask, WorkerReport},
        record::ProcessRecord,
        submission::SubmissionState,
    },
    id::{AttemptNumber, JobId, RequestId, ShardId, TaskId, WorkerId},
    job::{BodyDigest, JobSpec},
    message::{PeerMessage, ShardRequest, ShardToGroup},
    size::Resources,
    time::Timestamp,
};
use mustardcove_runtime::peer::{
    PeerErrorKind,
    frame::{Decoder, LENGTH_BYTES, encode},
};
use proptest::prelude::*;

const MAX_BYTES: usize = 100_000;

fn submit(payload: Vec<u8>, request: u64, deadline: Option<u64>) -> PeerMessage {
    let spec = JobSpec {
        member: "bindery".parse().unwrap(),
        key: "order-17".parse().unwrap(),
        class: "binding".parse().unwrap(),
        resources: Resources::new(1_500, 2_048, 1),
        expected_run_ms: 90_000,
        deadline: deadline.map(Timestamp),
        digest: BodyDigest(u128::MAX - 5),
        payload: payload.into(),
    };
    let body = ShardRequest::Submit { spec };
    PeerMessage::Request { shard: ShardId(7), request: RequestId(request), body }
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let payload = proptest::collection::vec(any::<u8>(), 0..2_000);
    let submit = (payload, any::<u64>(), any::<Option<u64>>())
        .prop_map(|(payload, request, deadline)| submit(payload, request, deadline));
    let cancel = (any::<u128>(), any::<u64>()).prop_map(|(job, request)| {
        let body = ShardRequest::Cancel { job: JobId(job), member: None };
        PeerMessage::Request { shard: ShardId(1), request: RequestId(request), body }
    });
    prop_oneof![submit, cancel]
}

/// Returns messages between the leader and other processes, with lists and text.
fn fleet_messages() -> Vec<PeerMessage> {
    let task: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
    let worker: WorkerId = "i-0001".parse().unwrap();
    let polled = PollResult {
        incarnation: Incarnation(7),
        leases_expire_by: Timestamp(9),
        responsive_since: Timestamp(8),
        asked_at: Timestamp(8),
        running: vec![RunningTask {
            task,
            run: RunNumber(3),
            checkpoint: Some("00000bb87a21d94b".to_owned()),
            percent: 41,
            measurement: 7,
        }],
        ended: Vec::new(),
        may_lack_ends: false,
    };
    let report = FleetMessage::Report {
        term: Term(4),
        sent_at: Timestamp(5),
        sent_boot_ms: BootMillis(6),
        heartbeat_at: Some(Timestamp(4)),
        reaches_store: true,
        evacuations: Some(EvacuationList {
            as_of: Revision(7),
            domains: ["iasi-a".parse().unwrap()].into(),
        }),
        reports: vec![ReportRow {
            worker: worker.clone(),
            assignment: AssignmentNumber(2),
            asked_after: Some(Timestamp(1_200)),
            report: WorkerReport::Polled(polled),
        }],
        places: Vec::new(),
    };
    let earlier = FleetMessage::EarlierLeases {
        term: Term(4),
        earlier: Term(3),
        stepped_down_at: Some(Timestamp(3)),
        sent_at: Timestamp(5),
        workers: vec![(worker.clone(), AssignmentNumber(2), Some(Timestamp(4_300)))],
    };
    let displaced = FleetMessage::LeaderDisplaced {
        term: Term(3),
        sent_at: Timestamp(5),
        workers: vec![KnownLeases {
            worker: worker.clone(),
            leases_expire_by: Timestamp(4_300),
            silent_since: Some(Timestamp(900)),
            poller: None,
        }],
    };
    let order = Order::Stop { task, run: RunNumber(3) };
    let orders = FleetMessage::Orders {
        term: Term(4),
        handled: None,
        covered: None,
        orders: vec![(worker, order)],
    };
    let joined = FleetMessage::Joined(ProcessRecord {
        process: "node-1.17".parse().unwrap(),
        name: "node-1".to_owned(),
        address: "10.0.0.1:7720".to_owned(),
        region: "moldova".parse().unwrap(),
        domain: "iasi-a".parse().unwrap(),
        cpu_share: 0.5,
    });
    let states = vec![(task.step.submission, SubmissionState::Running); 5];
    let states = FleetMessage::States { term: Term(4), states };
    [report, earlier, displaced, orders, joined, states]
        .map(|it| PeerMessage::Fleet(Box::new(it)))
        .to_vec()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against decoding that depends on how the stream is split into
    /// chunks.
    #[test]
    fn any_chunks(messages in proptest::collection::vec(message(), 1..8), size in 1..500usize) {
        let mut bytes = Vec::new();
        for it in &messages {
            bytes.extend_from_slice(&encode(it, MAX_BYTES).unwrap());
        }
        let mut decoder = Decoder::new(MAX_BYTES);
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(size) {
            decoder.push(chunk);
            while let Some(it) = decoder.next_message().unwrap() {
                decoded.push(it);
            }
        }
        prop_assert!(decoder.is_at_boundary());
        prop_assert_eq!(decoded, messages);
    }

    /// Guards against a panic or an excessive allocation on malformed input.
    #[test]
    fn random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        let mut decoder = Decoder::new(MAX_BYTES);
        decoder.push(&framed);
        // Some random bytes are a valid message; the others are an error.
        let _ = decoder.next_message();
    }

    /// Guards against a panic or an excessive allocation on a message of which a
    /// few bytes are wrong, such as the length of a list.
    #[test]
    fn changed_bytes(
        which in 0..4usize,
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..12),
    ) {
        let mut bytes = encode(&fleet_messages()[which], MAX_BYTES).unwrap().to_vec();
        let length = bytes.len() - LENGTH_BYTES;
        for (index, byte) in changes {
            bytes[LENGTH_BYTES + index.index(length)] = byte;
        }
        let mut decoder = Decoder::new(MAX_BYTES);
        decoder.push(&bytes);
        // Some changes leave a valid message; the others are an error.
        let _ = decoder.next_message();
    }

    /// Guards against a truncated message that is decoded as a complete one.
    #[test]
    fn truncated(message in message(), length in any::<prop::sample::Index>()) {
        let bytes = encode(&message, MAX_BYTES).unwrap();
        let mut decoder = Decoder::new(MAX_BYTES);
        decoder.push(&bytes[..length.index(bytes.len())]);
        prop_assert_eq!(decoder.next_message(), Ok(None));
    }
}

/// Guards against a length prefix that makes the receiver wait for more bytes
/// than the limit, or allocate them.
#[test]
fn length_limit() {
    let mut decoder = Decoder::new(1_000);
    decoder.push(&1_001u32.to_be_bytes());
    let error = decoder.next_message().unwrap_err();
    assert_eq!(error.kind(), PeerErrorKind::Protocol);
    let error = encode(&submit(vec![0; 1_000], 1, None), 1_000).unwrap_err();
    assert_eq!(error.kind(), PeerErrorKind::TooLarge);
}

/// Guards against silently ignored bytes after the message in a frame.
#[test]
fn trailing_bytes() {
    let task = TaskId { job: JobId(1), attempt: AttemptNumber(1) };
    let message = PeerMessage::ToGroup {
        shard: ShardId(1),
        group: "iasi-a.0".parse().unwrap(),
        body: ShardToGroup::Acknowledge { task },
    };
    let mut bytes = encode(&message, MAX_BYTES).unwrap().to_vec();
    bytes.push(0);
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    let mut decoder = Decoder::new(MAX_BYTES);
    decoder.push(&bytes);
    assert_eq!(decoder.next_message().unwrap_err().kind(), PeerErrorKind::Protocol);
}
