//! Settings of the scheduler process.

use mustardcove_core::configuration::Dissemination;
use mustardcove_runtime::settings::{
    Program, Setting, Settings, ValueKind,
    common::{COMMON_RULES, COMMON_SETTINGS},
};

use crate::shape::Shape;

const DEPLOYMENT: &[Setting] = &[
    Setting {
        section: "deployment",
        key: "shards",
        kind: ValueKind::Count { min: 1, max: 1_024 },
        default: Some("16"),
        help: "Shards of the job ledger; fixed for the life of a deployment.",
    },
    Setting {
        section: "deployment",
        key: "slices",
        kind: ValueKind::Count { min: 1, max: 64 },
        default: Some("1"),
        help: "Worker groups in each failure domain; fixed for the life of a deployment.",
    },
    Setting {
        section: "deployment",
        key: "dissemination",
        kind: ValueKind::Choice(&["flat", "relay"]),
        default: Some("flat"),
        help: "Whether every process watches the agreement or one per failure domain.",
    },
];

/// The settings of `mustardcove-sched`.
pub const PROGRAM: Program = Program {
    name: "mustardcove-sched",
    tables: &[COMMON_SETTINGS, DEPLOYMENT],
    rules: &[COMMON_RULES],
};

/// Returns the shape of the deployment that the settings give.
pub fn shape(settings: &Settings) -> Shape {
    let number = |name: &str| settings.count(name) as u16;
    Shape { shards: number("deployment.shards"), slices: number("deployment.slices") }
}

/// Returns how revisions of the agreement reach the process, directly or
/// through a relay.
pub fn dissemination(settings: &Settings) -> Dissemination {
    match settings.text("deployment.dissemination") {
        "relay" => Dissemination::Relay,
        _ => Dissemination::Flat,
    }
}
