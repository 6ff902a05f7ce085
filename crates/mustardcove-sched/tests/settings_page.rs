//! Guards against a settings page that differs from the declared settings.

use mustardcove_runtime::settings::docs_page;
use mustardcove_sched::settings::PROGRAM;

#[test]
fn page_matches() {
    let page = include_str!("../../../docs/settings.md");
    let expected = docs_page::render_part(PROGRAM.name, PROGRAM.tables);
    assert_eq!(
        docs_page::extract_part(page, PROGRAM.name),
        Some(expected.as_str()),
        "expected:\n{expected}"
    );
}
