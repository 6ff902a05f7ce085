//! Validation and defaults of settings, and the generated settings page.

use std::{path::PathBuf, time::Duration};

use mustardcove_runtime::{
    process::Process,
    settings::{
        ConfigArgs, Loaded, Program, Settings,
        common::{COMMON_RULES, COMMON_SETTINGS, peer_config, restart_policy, store_limits},
        docs_page,
    },
};

const PROGRAM: Program =
    Program { name: "common", tables: &[COMMON_SETTINGS], rules: &[COMMON_RULES] };

const COMPLETE: &str = "\
[process]
name = entry-1
region = moldova
failure_domain = iasi-a

[admin]
listen = 127.0.0.1:7001

[peer]
listen = 127.0.0.1:7002
; a comment
connect_timeout = 250ms

[store]
address = 127.0.0.1:7003

[instances]
address = 127.0.0.1:7004
";

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(&PROGRAM, "entry.ini", text).map_err(|it| it.to_string())
}

fn error_with(from: &str, to: &str) -> String {
    assert!(COMPLETE.contains(from));
    parse(&COMPLETE.replace(from, to)).unwrap_err()
}

/// Guards against defaults, and against set values, that do not take effect.
#[test]
fn defaults_apply() {
    let settings = parse(COMPLETE).unwrap();
    assert_eq!(settings.duration("peer.connect_timeout"), Duration::from_millis(250));
    assert_eq!(settings.duration("peer.backoff_max"), Duration::from_secs(2));
    let peer = peer_config(&settings, "entry-1.1".parse().unwrap(), 7);
    assert_eq!((peer.max_message_bytes, peer.region.as_str()), (16 << 20, "moldova"));
    assert_eq!(store_limits(&settings).max_per_address, 16);
    assert_eq!(restart_policy(&settings).max_deaths, 5);
}

/// Guards against defaults that their own declaration rejects.
#[test]
fn defaults_valid() {
    for setting in PROGRAM.settings() {
        if let Some(default) = setting.default {
            assert!(setting.kind.parse(default).is_ok(), "{}", setting.name());
        }
    }
}

/// Guards against a misspelt key that is ignored, which would leave a default in
/// force.
#[test]
fn unknown_key() {
    let error = error_with("connect_timeout = 250ms", "conect_timout = 250ms");
    assert_eq!(
        error,
        "entry.ini:12: unknown key peer.conect_timout; \
         the nearest valid name is peer.connect_timeout"
    );
    let error = error_with("[instances]", "[instance]");
    assert!(error.starts_with(
        "entry.ini:17: unknown section [instance]; the nearest valid name is [instances]"
    ));
    let error = error_with("[process]", "name = x\n[process]");
    assert_eq!(error, "entry.ini:1: key name stands before any section");
}

/// Guards against values without a unit, out of range or of another kind.
#[test]
fn invalid_values() {
    let error = error_with("250ms", "250");
    assert_eq!(
        error,
        "entry.ini:12: peer.connect_timeout: \"250\" is not a duration with unit \
         (ms, s, m, h) from 10ms to 30s"
    );
    let error = error_with("250ms", "31s");
    assert!(error.contains("from 10ms to 30s"), "{error}");
    let error = error_with("[store]", "max_message = 1000\n[store]");
    assert!(error.contains("a size with unit (B, KiB, MiB) from 64KiB to 64MiB"), "{error}");
    let error = error_with("127.0.0.1:7003", "store.example:7003");
    assert!(error.contains("store.address: \"store.example:7003\" is not an IP number"), "{error}");
}

/// Guards against settings that contradict each other or are set twice.
#[test]
fn conflicting_settings() {
    let error = error_with("[store]", "backoff_min = 10s\n[store]");
    assert_eq!(error, "entry.ini:14: peer.backoff_min: must not exceed peer.backoff_max");
    let error = error_with("127.0.0.1:7002", "127.0.0.1:7001");
    assert_eq!(error, "entry.ini:10: peer.listen: must differ from admin.listen");
    let error = error_with("connect_timeout = 250ms", "connect_timeout = 250ms\nlisten = [::1]:1");
    assert_eq!(error, "entry.ini:13: peer.listen is set twice, first at line 10");
}

/// Guards against reporting only the first of several errors.
#[test]
fn all_errors_reported() {
    let text = "[process]\nname = a b\n[peer]\nlisten = x\nping = 1s\n";
    let errors = Settings::parse(&PROGRAM, "entry.ini", text).unwrap_err();
    let lines: Vec<_> = errors.errors().iter().map(|it| it.line()).collect();
    assert_eq!(lines[..3], [Some(2), Some(4), Some(5)]);
    let text = errors.to_string();
    for key in ["process.region", "admin.listen", "store.address", "instances.address"] {
        assert!(text.contains(&format!("entry.ini: {key} must be set")), "{text}");
    }
}

/// Guards against malformed INI text and missing files that are not reported
/// with the file's name.
#[test]
fn unreadable_file() {
    let error = parse("[process\nname = x\n").unwrap_err();
    assert!(error.starts_with("entry.ini:"), "{error}");
    let args = ConfigArgs {
        config: Some(PathBuf::from("/nowhere/entry.ini")),
        check_config: true,
        print_settings_table: false,
    };
    let error = args.load(&PROGRAM).unwrap_err().to_string();
    assert!(error.starts_with("/nowhere/entry.ini: "), "{error}");
}

/// Guards against a settings page that differs from the declared settings.
#[test]
fn page_matches() {
    let page = include_str!("../../../docs/settings.md");
    let args = ConfigArgs { config: None, check_config: false, print_settings_table: true };
    let Ok(Loaded::Print(expected)) = args.load(&PROGRAM) else {
        panic!("no table");
    };
    assert_eq!(
        docs_page::extract_part(page, "common"),
        Some(expected.as_str()),
        "expected:\n{expected}"
    );
}

/// Guards against an instance name that is too long for the suffix of a start,
/// and against two starts that get the same process id.
#[test]
fn process_id_per_start() {
    let error = error_with("name = entry-1", &format!("name = {}", "x".repeat(120)));
    assert_eq!(error, "entry.ini:2: process.name: must leave room for the suffix of each start");
    let start = || {
        let (process, _guard) = Process::start(parse(COMPLETE).unwrap(), std::io::sink()).unwrap();
        process.id
    };
    let first = start();
    std::thread::sleep(Duration::from_millis(2));
    let second = start();
    assert!(first.as_str().starts_with("entry-1.") && first != second, "{first} {second}");
}
