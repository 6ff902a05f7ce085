//! Parsing and validation of traces.

use std::{collections::BTreeSet, fmt, path::Path};

use serde::Deserialize;

use super::{Expectation, Header, StoreAction, TraceEvent, event::ProcessEvent};

/// Version of the format that this program reads.
pub const FORMAT_VERSION: u32 = 1;

/// The `kind` of a line; its other fields depend on it.
#[derive(Debug, Deserialize)]
struct LineKind {
    kind: String,
}

/// A trace that has been parsed and validated.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Its header.
    pub header: Header,
    /// Its events, in order of time.
    pub events: Vec<TraceEvent>,
    /// Its expectations.
    pub expectations: Vec<Expectation>,
}

/// Why a trace was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError {
    /// The name of the file.
    pub file: String,
    /// The line number, from 1; zero if the file could not be read.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}

impl std::error::Error for TraceError {}

impl Trace {
    /// Reads a trace from a file.
    ///
    /// # Errors
    ///
    /// Returns the first line that is malformed or refers to something
    /// unknown, and why.
    pub fn read(path: &Path) -> Result<Trace, TraceError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| TraceError {
            file: file.clone(),
            line: 0,
            reason: error.to_string(),
        })?;
        Trace::parse(&file, &text)
    }

    /// Reads a trace from text; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns the first line that is malformed or refers to something
    /// unknown, and why.
    pub fn parse(file: &str, text: &str) -> Result<Trace, TraceError> {
        let refuse =
            |line: usize, reason: String| TraceError { file: file.to_owned(), line, reason };
        let mut header: Option<Header> = None;
        let mut events: Vec<TraceEvent> = Vec::new();
        let mut expectations = Vec::new();
        let mut names = DeclaredNames::default();
        for (index, line) in text.lines().enumerate() {
            let number = index + 1;
            let refuse = |reason: String| refuse(number, reason);
            if line.trim().is_empty() {
                continue;
            }
            let kind: LineKind = serde_json::from_str(line).map_err(|it| refuse(it.to_string()))?;
            match (kind.kind.as_str(), &header) {
                ("header", None) => {
                    let it: Header = parse_tagged(line).map_err(refuse)?;
                    names = DeclaredNames::from_header(&it).map_err(refuse)?;
                    header = Some(it);
                }
                ("header", Some(_)) => return Err(refuse("a second header".to_owned())),
                (_, None) => return Err(refuse("the first line has to be the header".to_owned())),
                ("expect", Some(_)) => {
                    let it: Expectation = parse_tagged(line).map_err(refuse)?;
                    names.check_expectation(&it).map_err(refuse)?;
                    expectations.push(it);
                }
                (_, Some(header)) => {
                    let it: TraceEvent =
                        serde_json::from_str(line).map_err(|it| refuse(it.to_string()))?;
                    if events.last().is_some_and(|last| it.at_ms() < last.at_ms()) {
                        return Err(refuse("events have to be in order of time".to_owned()));
                    }
                    if header.duration_ms < it.at_ms() {
                        return Err(refuse("the event lies after the end of the trace".to_owned()));
                    }
                    names.check_event(&it).map_err(refuse)?;
                    events.push(it);
                }
            }
        }
        let header = header.ok_or_else(|| refuse(1, "the trace is empty".to_owned()))?;
        Ok(Trace { header, events, expectations })
    }
}

/// Parses a line whose `kind` is already known.
fn parse_tagged<T: for<'de> Deserialize<'de>>(line: &str) -> Result<T, String> {
    let mut value: serde_json::Value = serde_json::from_str(line).map_err(|it| it.to_string())?;
    if let Some(object) = value.as_object_mut() {
        object.remove("kind");
    }
    serde_json::from_value(value).map_err(|it| it.to_string())
}

/// The names that events and expectations may refer to.
#[derive(Debug, Default)]
struct DeclaredNames {
    domains: BTreeSet<String>,
    regions: BTreeSet<String>,
    classes: BTreeSet<String>,
    members: BTreeSet<String>,
    workers: BTreeSet<String>,
    racks: BTreeSet<String>,
    processes: BTreeSet<String>,
    streams: BTreeSet<String>,
}

impl DeclaredNames {
    fn from_header(header: &Header) -> Result<DeclaredNames, String> {
        if header.version != FORMAT_VERSION {
            return Err(format!("version {} is not known", header.version));
        }
        if header.duration_ms == 0 || header.shards == 0 || header.slices == 0 {
            return Err("duration_ms, shards and slices have to be positive".to_owned());
        }
        if header.link.kbit_per_s == 0 || header.samples.every_ms == 0 {
            return Err("kbit_per_s and every_ms have to be positive".to_owned());
        }
        let mut names = DeclaredNames::default();
        for region in &header.fleet.regions {
            names.regions.insert(region.name.to_string());
            names.domains.extend(region.domains.iter().map(ToString::to_string));
        }
        names.classes.extend(header.classes.iter().map(|it| it.id.to_string()));
        names.members.extend(header.members.iter().map(|it| it.id.to_string()));
        names.add_fleet(header)?;
        require_known("region", &names.regions, header.store.region.as_str())?;
        for member in &header.members {
            for class in &member.classes {
                require_known("class", &names.classes, class.as_str())?;
            }
        }
        for it in &header.slowdowns {
            require_known("class", &names.classes, it.victim.as_str())?;
            require_known("class", &names.classes, it.aggressor.as_str())?;
            if it.added.iter().any(|it| !it.is_finite() || *it < 0.0) {
                return Err("a slowdown has to be zero or more".to_owned());
            }
        }
        let record = crate::plan::initial_record(header);
        record.validate().map_err(|it| it.first().map(ToString::to_string).unwrap_or_default())?;
        Ok(names)
    }

    fn add_fleet(&mut self, header: &Header) -> Result<(), String> {
        let fleet = &header.fleet;
        if fleet.schedulers.is_empty() || fleet.entries.is_empty() {
            return Err("there have to be scheduler and entry processes".to_owned());
        }
        for it in &fleet.workers {
            require_known("failure domain", &self.domains, it.domain.as_str())?;
            if it.rack_size == 0 {
                return Err("rack_size has to be positive".to_owned());
            }
        }
        for it in fleet.schedulers.iter().chain(&fleet.entries) {
            require_known("failure domain", &self.domains, it.domain.as_str())?;
        }
        for it in crate::plan::workers(header) {
            self.workers.insert(it.id.to_string());
            self.racks.insert(it.rack.to_string());
        }
        self.processes.extend(crate::plan::processes(header).into_iter().map(|it| it.name));
        Ok(())
    }

    fn check_event(&mut self, event: &TraceEvent) -> Result<(), String> {
        match event {
            TraceEvent::Arrival(it) => {
                require_known("member", &self.members, it.member.as_str())?;
                require_known("class", &self.classes, it.class.as_str())
            }
            TraceEvent::Stream(it) => {
                require_known("member", &self.members, it.member.as_str())?;
                require_known("class", &self.classes, it.class.as_str())?;
                if !self.streams.insert(it.key.to_string()) {
                    return Err(format!("key {} is used by another stream", it.key));
                }
                if !it.per_s.is_finite() || it.per_s <= 0.0 || it.to_ms <= it.from_ms {
                    return Err("a stream needs a positive rate and length".to_owned());
                }
                if it.run_ms[1] < it.run_ms[0] {
                    return Err("run_ms has to be given as least and greatest".to_owned());
                }
                Ok(())
            }
            TraceEvent::Load(it) => {
                if !it.factor.is_finite() || it.factor <= 0.0 {
                    return Err("the factor has to be positive".to_owned());
                }
                it.class
                    .as_ref()
                    .map_or(Ok(()), |it| require_known("class", &self.classes, it.as_str()))
            }
            TraceEvent::Worker(it) => require_known("worker", &self.workers, it.worker.as_str()),
            TraceEvent::Process(ProcessEvent { process, .. }) => {
                require_known("process", &self.processes, process)
            }
            TraceEvent::Rack(it) => require_known("rack", &self.racks, it.rack.as_str()),
            TraceEvent::Region(it) => require_known("region", &self.regions, it.region.as_str()),
            TraceEvent::Configuration(it) => {
                require_known("member", &self.members, it.member.as_str())
            }
            TraceEvent::Operators(it) => require_known("member", &self.members, it.member.as_str()),
            TraceEvent::Store(it) => {
                let delay_matches = (it.action == StoreAction::Slow) == (it.delay_ms != 0);
                let permille_matches =
                    (it.action == StoreAction::LoseAnswers) == (it.permille != 0);
                if delay_matches && permille_matches && it.permille <= 1_000 {
                    return Ok(());
                }
                Err("slow needs delay_ms, lose_answers permille up to 1000, and no other"
                    .to_owned())
            }
            TraceEvent::Cancel(_) | TraceEvent::Report(_) => Ok(()),
        }
    }

    fn check_expectation(&self, it: &Expectation) -> Result<(), String> {
        if it.at_most.is_none() && it.at_least.is_none() {
            return Err("an expectation needs at_most or at_least".to_owned());
        }
        match (&it.class, it.metric.is_by_class()) {
            (Some(class), true) => require_known("class", &self.classes, class.as_str()),
            (None, false) => Ok(()),
            (None, true) => Err(format!("metric {} needs a class", it.metric)),
            (Some(_), false) => Err(format!("metric {} has no class", it.metric)),
        }
    }
}

fn require_known(kind: &str, names: &BTreeSet<String>, name: &str) -> Result<(), String> {
    if names.contains(name) { Ok(()) } else { Err(format!("{kind} {name} is not known")) }
}
