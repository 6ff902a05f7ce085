//! Guards against a settings page that differs from the declared settings.

use mustardcove_runtime::settings::document;
use mustardcove_sched::settings::PROGRAM;

#[test]
fn page_matches() {
    let page = include_str!("../../../docs/settings.md");
    let expected = document::tables(PROGRAM.name, PROGRAM.tables);
    assert_eq!(
        document::part(page, PROGRAM.name),
        Some(expected.as_str()),
        "expected:\n{expected}"
    );
}
