//! Generates the page `docs/settings.md` from the declarations.
//!
//! The page holds one part per named set of tables, between two markers. A test
//! of each program compares its part with the declarations, so that the page
//! stays up to date.

use std::fmt::Write;

use super::declare::Setting;

/// Returns the part of the page that documents `tables`, including its markers.
pub fn render_part(name: &str, tables: &[&[Setting]]) -> String {
    let mut text = format!("<!-- begin {name} -->\n");
    text.push_str("| key | value | default | meaning |\n");
    text.push_str("|---|---|---|---|\n");
    for setting in tables.iter().copied().flatten() {
        let default =
            setting.default.map_or_else(|| "must be set".to_owned(), |it| format!("`{it}`"));
        let row = writeln!(
            text,
            "| `{}` | {} | {default} | {} |",
            setting.name(),
            setting.kind,
            setting.help
        );
        row.expect("writing to a string does not fail");
    }
    writeln!(text, "<!-- end {name} -->").expect("writing to a string does not fail");
    text
}

/// Returns the part of a page that the markers of `name` enclose, including the
/// markers, or `None` if there is none.
pub fn extract_part<'a>(page: &'a str, name: &str) -> Option<&'a str> {
    let begin = page.find(&format!("<!-- begin {name} -->"))?;
    let end_marker = format!("<!-- end {name} -->\n");
    let end = begin + page[begin..].find(&end_marker)? + end_marker.len();
    page.get(begin..end)
}
