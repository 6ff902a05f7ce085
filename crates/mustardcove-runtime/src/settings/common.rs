//! Settings that entry and scheduler processes share.

use std::net::SocketAddr;

use mustardcove_core::id::{FailureDomainId, MAX_NAME_BYTES, ProcessId, RegionId};
use mustardcove_platform::http::HttpLimits;
use slog::Level;

use super::{
    Settings,
    declare::{Rule, Setting, ValueKind},
};
use crate::{logging::LogConfig, peer::PeerConfig, supervisor::RestartPolicy};

const fn ms(min_ms: u64, max_ms: u64) -> ValueKind {
    ValueKind::Duration { min_ms, max_ms }
}

const fn required(
    section: &'static str,
    key: &'static str,
    kind: ValueKind,
    help: &'static str,
) -> Setting {
    Setting { section, key, kind, default: None, help }
}

const fn optional(
    section: &'static str,
    key: &'static str,
    kind: ValueKind,
    default: &'static str,
    help: &'static str,
) -> Setting {
    Setting { section, key, kind, default: Some(default), help }
}

/// The settings that entry and scheduler processes share.
pub const COMMON_SETTINGS: &[Setting] = &[
    required("process", "name", ValueKind::Name, "Name of the instance; each start adds a suffix."),
    required("process", "region", ValueKind::Name, "Region of the instance."),
    required("process", "failure_domain", ValueKind::Name, "Failure domain of the instance."),
    optional(
        "log",
        "level",
        ValueKind::Choice(&["debug", "info", "warning", "error"]),
        "info",
        "Less severe lines are left out.",
    ),
    optional(
        "log",
        "queue",
        ValueKind::Count { min: 64, max: 65_536 },
        "4096",
        "Lines that wait to be written; more are dropped and counted.",
    ),
    required("admin", "listen", ValueKind::Address, "Address of the administration routes."),
    optional(
        "admin",
        "dump_limit",
        ValueKind::Bytes { min: 4 << 10, max: 64 << 20 },
        "4MiB",
        "Largest state dump.",
    ),
    required("peer", "listen", ValueKind::Address, "Address that our other processes connect to."),
    optional("peer", "connect_timeout", ms(10, 30_000), "1s", "Longest time to open a connection."),
    optional("peer", "backoff_min", ms(1, 60_000), "50ms", "First wait after a failed attempt."),
    optional("peer", "backoff_max", ms(1, 60_000), "2s", "Longest wait after a failed attempt."),
    optional("peer", "ping_interval", ms(10, 60_000), "2s", "Time between pings."),
    optional("peer", "ping_timeout", ms(10, 60_000), "2s", "Wait for the answer to a ping."),
    optional(
        "peer",
        "max_message",
        ValueKind::Bytes { min: 64 << 10, max: 64 << 20 },
        "16MiB",
        "Largest message.",
    ),
    optional(
        "peer",
        "queue_messages",
        ValueKind::Count { min: 16, max: 1_000_000 },
        "8192",
        "Messages queued per peer and lane; more are refused.",
    ),
    optional(
        "peer",
        "queue_bytes",
        ValueKind::Bytes { min: 64 << 10, max: 1 << 30 },
        "32MiB",
        "Bytes queued per peer and lane; more are refused.",
    ),
    required("store", "address", ValueKind::Address, "Address of the platform's store."),
    optional(
        "store",
        "connect_timeout",
        ms(10, 30_000),
        "1s",
        "Longest time to open a connection.",
    ),
    optional("store", "answer_timeout", ms(10, 60_000), "2s", "Longest time to answer a call."),
    optional(
        "store",
        "connections",
        ValueKind::Count { min: 1, max: 1_024 },
        "16",
        "Calls in flight; waiting watches are limited apart.",
    ),
    required(
        "instances",
        "address",
        ValueKind::Address,
        "Address of the platform's instance list.",
    ),
    optional("instances", "interval", ms(100, 60_000), "1s", "Time between fetches of the list."),
    optional("supervisor", "restart_min", ms(1, 60_000), "100ms", "First wait before a restart."),
    optional("supervisor", "restart_max", ms(1, 60_000), "5s", "Longest wait before a restart."),
    optional("supervisor", "window", ms(1_000, 3_600_000), "1m", "Window in which deaths count."),
    optional(
        "supervisor",
        "max_deaths",
        ValueKind::Count { min: 1, max: 1_000 },
        "5",
        "Deaths of one child in the window; one more ends the process.",
    ),
    optional("supervisor", "stop_timeout", ms(100, 10_000), "10s", "Bound of a graceful shutdown."),
];

/// Constraints between these settings.
pub const COMMON_RULES: &[Rule] = &[
    Rule {
        at: "process.name",
        text: "must leave room for the suffix of each start",
        holds: |it| it.text("process.name").len() + START_SUFFIX_BYTES <= MAX_NAME_BYTES,
    },
    Rule {
        at: "peer.backoff_min",
        text: "must not exceed peer.backoff_max",
        holds: |it| it.duration("peer.backoff_min") <= it.duration("peer.backoff_max"),
    },
    Rule {
        at: "peer.queue_bytes",
        text: "must hold at least one message of peer.max_message",
        holds: |it| it.bytes("peer.max_message") <= it.bytes("peer.queue_bytes"),
    },
    Rule {
        at: "peer.listen",
        text: "must differ from admin.listen",
        holds: |it| !is_same_address(it.address("peer.listen"), it.address("admin.listen")),
    },
    Rule {
        at: "store.connect_timeout",
        text: "must not exceed store.answer_timeout",
        holds: |it| it.duration("store.connect_timeout") <= it.duration("store.answer_timeout"),
    },
    Rule {
        at: "supervisor.restart_min",
        text: "must not exceed supervisor.restart_max",
        holds: |it| it.duration("supervisor.restart_min") <= it.duration("supervisor.restart_max"),
    },
];

/// Size of the suffix of a process id: a dot and the start time in
/// milliseconds, which has at most 20 digits.
const START_SUFFIX_BYTES: usize = 1 + 20;

/// Port 0 lets the system choose a free port, so two such addresses never
/// conflict.
fn is_same_address(lhs: SocketAddr, rhs: SocketAddr) -> bool {
    lhs == rhs && lhs.port() != 0
}

/// Returns the region of the process.
pub fn region(settings: &Settings) -> RegionId {
    settings.id("process.region")
}

/// Returns the failure domain of the process.
pub fn failure_domain(settings: &Settings) -> FailureDomainId {
    settings.id("process.failure_domain")
}

/// Returns the logging configuration of the process.
pub fn log_config(settings: &Settings) -> LogConfig {
    let level = match settings.text("log.level") {
        "debug" => Level::Debug,
        "warning" => Level::Warning,
        "error" => Level::Error,
        _ => Level::Info,
    };
    let process = settings.text("process.name").to_owned();
    LogConfig { process, level, queue_capacity: settings.count_usize("log.queue") }
}

/// Returns the configuration of the peer transport.
pub fn peer_config(settings: &Settings, process: ProcessId, seed: u64) -> PeerConfig {
    let listen = settings.address("peer.listen");
    PeerConfig {
        connect_timeout: settings.duration("peer.connect_timeout"),
        backoff_min: settings.duration("peer.backoff_min"),
        backoff_max: settings.duration("peer.backoff_max"),
        ping_interval: settings.duration("peer.ping_interval"),
        ping_timeout: settings.duration("peer.ping_timeout"),
        max_message_bytes: settings.bytes("peer.max_message"),
        max_queued_messages: settings.count_usize("peer.queue_messages"),
        max_queued_bytes: settings.bytes("peer.queue_bytes"),
        seed,
        ..PeerConfig::new(process, region(settings), listen)
    }
}

/// Returns the timeouts and limits of connections to the store.
pub fn store_limits(settings: &Settings) -> HttpLimits {
    HttpLimits {
        connect_timeout: settings.duration("store.connect_timeout"),
        answer_timeout: settings.duration("store.answer_timeout"),
        max_per_address: settings.count_usize("store.connections"),
        local_address: local_address(settings),
        ..HttpLimits::default()
    }
}

/// Returns the IP address that outgoing connections of the process are bound
/// to: the one that it listens at for peers, or `None` if that is unspecified.
pub fn local_address(settings: &Settings) -> Option<std::net::IpAddr> {
    Some(settings.address("peer.listen").ip()).filter(|it| !it.is_unspecified())
}

/// Returns the restart and shutdown limits of supervisors.
pub fn restart_policy(settings: &Settings) -> RestartPolicy {
    RestartPolicy {
        backoff_min: settings.duration("supervisor.restart_min"),
        backoff_max: settings.duration("supervisor.restart_max"),
        window: settings.duration("supervisor.window"),
        max_deaths: settings.count_usize("supervisor.max_deaths"),
        stop_timeout: settings.duration("supervisor.stop_timeout"),
    }
}
