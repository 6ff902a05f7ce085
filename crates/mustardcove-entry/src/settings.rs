//! Settings of the entry process.

use mustardcove_core::{
    configuration::Dissemination,
    id::{FailureDomainId, ProcessId, RegionId},
};
use mustardcove_runtime::settings::{
    Program, Rule, Setting, Settings, ValueKind,
    common::{COMMON_RULES, COMMON_SETTINGS, failure_domain, region},
};

use crate::{auth::OperatorTokens, config::EntryConfig};

const fn optional(
    section: &'static str,
    key: &'static str,
    kind: ValueKind,
    default: &'static str,
    help: &'static str,
) -> Setting {
    Setting { section, key, kind, default: Some(default), help }
}

const ENTRY: &[Setting] = &[
    Setting {
        section: "api",
        key: "listen",
        kind: ValueKind::Address,
        default: None,
        help: "Address of the callers' API.",
    },
    optional(
        "api",
        "max_requests",
        ValueKind::Count { min: 16, max: 1_000_000 },
        "16384",
        "Requests held at once; more are shed by class.",
    ),
    optional(
        "api",
        "max_connections",
        ValueKind::Count { min: 16, max: 1_000_000 },
        "20000",
        "Connections accepted at once.",
    ),
    optional(
        "api",
        "max_body",
        ValueKind::Bytes { min: 1 << 10, max: 64 << 20 },
        "1MiB",
        "Largest body of a request.",
    ),
    optional(
        "api",
        "max_answer",
        ValueKind::Bytes { min: 1 << 10, max: 64 << 20 },
        "4MiB",
        "Largest answer of an upstream.",
    ),
    optional(
        "api",
        "receive_timeout",
        ValueKind::Duration { min_ms: 100, max_ms: 300_000 },
        "10s",
        "Time for the head, and then the body, of a request to arrive.",
    ),
    optional(
        "api",
        "default_timeout",
        ValueKind::Duration { min_ms: 10, max_ms: 3_600_000 },
        "10s",
        "Deadline of a service request that names none.",
    ),
    optional(
        "api",
        "max_timeout",
        ValueKind::Duration { min_ms: 10, max_ms: 3_600_000 },
        "1m",
        "Longest time that a request or a wait for a result may take.",
    ),
    optional(
        "operators",
        "token_digests",
        ValueKind::Text,
        "",
        "SHA-256 digests of the operators' tokens, in hexadecimal, separated by commas.",
    ),
    optional(
        "deployment",
        "shards",
        ValueKind::Count { min: 1, max: 1_024 },
        "16",
        "Shards of the job ledger; fixed for the life of a deployment.",
    ),
    optional(
        "deployment",
        "dissemination",
        ValueKind::Choice(&["flat", "relay"]),
        "flat",
        "Whether every process watches the agreement or one per failure domain.",
    ),
];

const ENTRY_RULES: &[Rule] = &[
    Rule {
        at: "api.default_timeout",
        text: "must not exceed api.max_timeout",
        holds: |it| it.duration("api.default_timeout") <= it.duration("api.max_timeout"),
    },
    Rule {
        at: "operators.token_digests",
        text: "must be SHA-256 digests of 64 hexadecimal digits, separated by commas",
        holds: |it| OperatorTokens::parse(it.text("operators.token_digests")).is_ok(),
    },
];

/// The settings of `mustardcove-entry`.
pub const PROGRAM: Program = Program {
    name: "mustardcove-entry",
    tables: &[COMMON_SETTINGS, ENTRY],
    rules: &[COMMON_RULES, ENTRY_RULES],
};

fn ms(settings: &Settings, name: &str) -> u64 {
    settings.duration(name).as_millis() as u64
}

/// Returns the configuration according to the settings.
pub fn entry_config(settings: &Settings, process: ProcessId, seed: u64) -> EntryConfig {
    let (region, domain): (RegionId, FailureDomainId) =
        (region(settings), failure_domain(settings));
    EntryConfig {
        shards: settings.count("deployment.shards") as u16,
        seed,
        max_requests: settings.count_usize("api.max_requests"),
        max_connections: settings.count_usize("api.max_connections"),
        max_body_bytes: settings.bytes("api.max_body"),
        max_answer_bytes: settings.bytes("api.max_answer"),
        receive_timeout_ms: ms(settings, "api.receive_timeout"),
        default_timeout_ms: ms(settings, "api.default_timeout"),
        max_timeout_ms: ms(settings, "api.max_timeout"),
        list_interval_ms: ms(settings, "instances.interval"),
        ..EntryConfig::new(process, region, domain)
    }
}

/// Returns the digests of the operators' tokens.
pub fn operator_tokens(settings: &Settings) -> OperatorTokens {
    // `ENTRY_RULES` has already validated the setting.
    OperatorTokens::parse(settings.text("operators.token_digests")).unwrap_or_default()
}

/// Returns how new revisions of the agreement reach the process.
pub fn dissemination(settings: &Settings) -> Dissemination {
    match settings.text("deployment.dissemination") {
        "relay" => Dissemination::Relay,
        _ => Dissemination::Flat,
    }
}
