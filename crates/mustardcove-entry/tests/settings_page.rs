//! Tests that the settings page matches the declared settings.

use mustardcove_entry::settings::PROGRAM;
use mustardcove_runtime::settings::docs_page;

#[test]
fn page_matches_declarations() {
    let page = include_str!("../../../docs/settings.md");
    let expected = docs_page::render_part(PROGRAM.name, PROGRAM.tables);
    assert_eq!(
        docs_page::extract_part(page, PROGRAM.name),
        Some(expected.as_str()),
        "expected:\n{expected}"
    );
}
