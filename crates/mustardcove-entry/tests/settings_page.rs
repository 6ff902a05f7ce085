//! Tests that the settings page matches the declared settings.

use mustardcove_entry::settings::PROGRAM;
use mustardcove_runtime::settings::document;

#[test]
fn page_matches_declarations() {
    let page = include_str!("../../../docs/settings.md");
    let expected = document::tables(PROGRAM.name, PROGRAM.tables);
    assert_eq!(
        document::part(page, PROGRAM.name),
        Some(expected.as_str()),
        "expected:\n{expected}"
    );
}
