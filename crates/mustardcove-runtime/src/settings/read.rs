//! Parsing and validation of settings.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption};

use super::{
    Settings,
    declare::{Program, Setting, Value},
    error::{SettingsError, SettingsErrors},
    lines::{self, Location},
};

/// Lowest Jaro-Winkler similarity, from 0.0 to 1.0, of a name that is suggested
/// in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

pub(super) fn read(
    program: &Program,
    file: &str,
    text: &str,
) -> Result<BTreeMap<String, Value>, SettingsErrors> {
    let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
    let ini = Ini::load_from_str_opt(text, options).map_err(|it| {
        SettingsErrors::one(SettingsError::new(file, Some(it.line), it.msg.into_owned()))
    })?;
    let mut reader = Reader { program, file, locations: lines::scan(text), errors: Vec::new() };
    reader.refuse_unknown();
    let values = reader.values(&ini);
    if reader.errors.is_empty() {
        let settings = Settings { values };
        reader.check_rules(&settings);
        if reader.errors.is_empty() {
            return Ok(settings.values);
        }
    }
    Err(SettingsErrors::new(reader.errors))
}

struct Reader<'a> {
    program: &'a Program,
    file: &'a str,
    locations: Vec<Location>,
    errors: Vec<SettingsError>,
}

impl Reader<'_> {
    fn error(&mut self, line: Option<usize>, problem: String, nearest: Option<String>) {
        let error = SettingsError::new(self.file, line, problem).with_nearest(nearest);
        self.errors.push(error);
    }

    fn lines_of(&self, setting: &Setting) -> Vec<usize> {
        let is_setting = |it: &&Location| {
            it.section == setting.section && it.key.as_deref() == Some(setting.key)
        };
        self.locations.iter().filter(is_setting).map(|it| it.line).collect()
    }

    fn refuse_unknown(&mut self) {
        for location in self.locations.clone() {
            let Location { section, key, line } = location;
            let is_section_known = self.program.settings().any(|it| it.section == section);
            match key {
                None if !is_section_known => {
                    let sections = self.program.settings().map(|it| it.section.to_owned());
                    let nearest = nearest(&section, sections).map(|it| format!("[{it}]"));
                    self.error(Some(line), format!("unknown section [{section}]"), nearest);
                }
                Some(key) if is_section_known => self.refuse_unknown_key(&section, &key, line),
                Some(key) if section.is_empty() => {
                    self.error(Some(line), format!("key {key} stands before any section"), None);
                }
                // Keys of an unknown section are covered by the error for the
                // section.
                None | Some(_) => {}
            }
        }
    }

    fn refuse_unknown_key(&mut self, section: &str, key: &str, line: usize) {
        let is_known = self.program.settings().any(|it| it.section == section && it.key == key);
        if is_known {
            return;
        }
        let name = format!("{section}.{key}");
        let of_section = self.program.settings().filter(|it| it.section == section);
        let nearest = nearest(&name, of_section.map(Setting::name))
            .or_else(|| nearest(&name, self.program.settings().map(Setting::name)));
        self.error(Some(line), format!("unknown key {name}"), nearest);
    }

    fn values(&mut self, ini: &Ini) -> BTreeMap<String, Value> {
        let mut values = BTreeMap::new();
        for setting in self.program.settings() {
            let lines = self.lines_of(setting);
            if let [first, .., last] = lines[..] {
                let problem = format!("{} is set twice, first at line {first}", setting.name());
                self.error(Some(last), problem, None);
            }
            let text = ini.get_from(Some(setting.section), setting.key).or(setting.default);
            let Some(text) = text else {
                self.error(None, format!("{} must be set", setting.name()), None);
                continue;
            };
            match setting.kind.parse(text) {
                Ok(value) => {
                    values.insert(setting.name(), value);
                }
                Err(problem) => {
                    let problem = format!("{}: {problem}", setting.name());
                    self.error(lines.first().copied(), problem, None);
                }
            }
        }
        values
    }

    fn check_rules(&mut self, settings: &Settings) {
        for rule in self.program.rules() {
            if (rule.holds)(settings) {
                continue;
            }
            let at = self.program.settings().find(|it| it.name() == rule.at);
            let line = at.and_then(|it| self.lines_of(it).first().copied());
            self.error(line, format!("{}: {}", rule.at, rule.text), None);
        }
    }
}

fn nearest(name: &str, candidates: impl Iterator<Item = String>) -> Option<String> {
    let scored = candidates.map(|it| (strsim::jaro_winkler(name, &it), it));
    let best = scored.max_by(|(lhs, _), (rhs, _)| lhs.total_cmp(rhs));
    best.filter(|(score, _)| MIN_SIMILARITY <= *score).map(|(_, it)| it)
}
