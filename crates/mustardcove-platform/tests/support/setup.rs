//! Helpers shared by the tests of this crate.

use mustardcove_core::{
    id::{AttemptNumber, Epoch, JobId, TaskId, WorkerId},
    size::Resources,
    time::Timestamp,
    worker::{TaskStart, UpstreamInfo, WorkerInfo, WorkerOp},
};
use mustardcove_platform::{Clock, memory::WorkSpec};

pub const START: Timestamp = Timestamp(1_000_000);

pub fn clock() -> Clock {
    Clock::starting_at(START)
}

pub fn worker_info(name: &str) -> WorkerInfo {
    WorkerInfo {
        id: name.parse().unwrap(),
        address: format!("{name}:1"),
        region: "moldova".parse().unwrap(),
        domain: "iasi-a".parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        capacity: Resources::new(8_000, 16_384, 0),
        leaving: false,
        upstreams: Vec::new(),
    }
}

pub fn upstream_info(slots: u32) -> UpstreamInfo {
    UpstreamInfo {
        service: "coop-desk".parse().unwrap(),
        address: String::new(),
        slots,
        connections: 64,
    }
}

pub fn worker_id(name: &str) -> WorkerId {
    name.parse().unwrap()
}

pub fn task(job: u128, attempt: u32) -> TaskId {
    TaskId { job: JobId(job), attempt: AttemptNumber(attempt) }
}

pub fn task_start(task: TaskId, spec: &WorkSpec) -> TaskStart {
    TaskStart {
        task,
        member: "cotetul".parse().unwrap(),
        class: "invoice".parse().unwrap(),
        resources: Resources::new(1_000, 1_024, 0),
        payload: spec.to_payload(),
        resume_from: None,
    }
}

pub fn start_op(epoch: u64, task: TaskId, spec: &WorkSpec, lease_until: Timestamp) -> WorkerOp {
    WorkerOp::Start { epoch: Epoch(epoch), start: task_start(task, spec), lease_until }
}

pub fn renew_op(epoch: u64, tasks: &[TaskId], until: Timestamp, acknowledged: u64) -> WorkerOp {
    let tasks = tasks.to_vec();
    WorkerOp::Renew { epoch: Epoch(epoch), tasks, lease_until: until, acknowledged }
}
