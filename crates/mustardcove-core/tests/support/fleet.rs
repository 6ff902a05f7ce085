//! Workers, classes and tasks for tests and benchmarks.

#![allow(dead_code)]

use mustardcove_core::{
    class::{Class, ClassIndex, ClassKind, ClassTable, Delivery},
    id::{AttemptNumber, JobId, TaskId},
    placement::{PlacementRequest, RunningTask, WorkerView},
    size::Resources,
    time::Timestamp,
};

/// Time at which tests and simulations start.
pub(crate) const START: Timestamp = Timestamp(1_800_000_000_000);

/// Returns a class of a kind and size; batch classes are evictable.
pub(crate) fn class(name: &str, kind: ClassKind, cpu: u64, memory: u64) -> Class {
    Class {
        id: name.parse().unwrap(),
        kind,
        delivery: Delivery::Exclusive,
        service: (kind == ClassKind::Service).then(|| "press".parse().unwrap()),
        urgent: false,
        evictable: kind == ClassKind::Batch,
        resources: Resources::new(cpu, memory, 0),
        expected_run_ms: 60_000,
        latency_target_ms: 0,
        weight: 1.0,
    }
}

pub(crate) fn table(classes: &[Class]) -> ClassTable {
    let mut table = ClassTable::default();
    for class in classes {
        table.upsert(class);
    }
    table
}

/// Returns an empty worker; a rack holds 8 workers and a failure domain 2
/// racks.
pub(crate) fn worker(index: usize, capacity: Resources) -> WorkerView {
    WorkerView {
        id: format!("w{index}").parse().unwrap(),
        region: "r0".parse().unwrap(),
        domain: format!("d{}", index / 16).parse().unwrap(),
        rack: format!("k{}", index / 8).parse().unwrap(),
        capacity,
        committed: Resources::ZERO,
        accepting: true,
        reliability: 1.0,
        residents: Vec::new(),
        tasks: Vec::new(),
    }
}

pub(crate) fn task_id(number: u64) -> TaskId {
    TaskId { job: JobId(u128::from(number)), attempt: AttemptNumber(1) }
}

pub(crate) fn request(number: u64, class: ClassIndex, resources: Resources) -> PlacementRequest {
    PlacementRequest {
        task: task_id(number),
        class,
        member: format!("m{}", number % 3).parse().unwrap(),
        resources,
        expected_run_ms: 60_000,
        urgent: false,
        avoid_workers: Vec::new(),
        queued_since: START,
    }
}

/// Changes the number of residents of a class on a worker.
pub(crate) fn add_residents(view: &mut WorkerView, class: ClassIndex, change: i32) {
    match view.residents.iter_mut().find(|it| it.0 == class) {
        Some(entry) => entry.1 = (i32::from(entry.1) + change) as u16,
        None => view.residents.push((class, change as u16)),
    }
    view.residents.retain(|it| it.1 != 0);
}

/// Starts the requested task on a worker.
pub(crate) fn start(view: &mut WorkerView, now: Timestamp, request: &PlacementRequest) {
    view.committed = view.committed.checked_add(request.resources).unwrap();
    add_residents(view, request.class, 1);
    view.tasks.push(RunningTask {
        task: request.task,
        class: request.class,
        member: request.member.clone(),
        resources: request.resources,
        started_at: now,
        checkpoint_at: now,
        expected_end: now.plus_ms(request.expected_run_ms),
        immune_until: Timestamp::default(),
        stopping: false,
    });
}

/// Removes the task at a position from a worker.
pub(crate) fn end(view: &mut WorkerView, position: usize) -> RunningTask {
    let task = view.tasks.swap_remove(position);
    view.committed = view.committed.checked_sub(task.resources).unwrap();
    add_residents(view, task.class, -1);
    task
}
