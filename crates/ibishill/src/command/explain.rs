//! `ibishill explain`: the lines of one request from the logs of many daemons, with the
//! beliefs that were in force.

use std::collections::BTreeMap;
use std::io::BufRead;

use ibishill_core::event::Event;
use serde_json::{Map, Value};

use crate::error::CommandError;
use crate::output;

/// Events that change what a daemon believes, the newest of which are shown.
const BELIEFS: &[Event] = &[
    Event::CatalogInForce,
    Event::StoreLost,
    Event::StoreRegained,
    Event::RolloutChanged,
    Event::ZoneChanged,
    Event::VmResumed,
    Event::RelayStopping,
];

struct Line {
    // What stands before the JSON object: a time and a daemon, if a collector adds them.
    prefix: String,
    event: u64,
    fields: Map<String, Value>,
}

impl Line {
    fn row(&self) -> Vec<String> {
        let text = self.fields.get("text").and_then(Value::as_str).unwrap_or_default();
        let shown = self
            .fields
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "event" | "text" | "request"));
        let shown = shown.map(|(name, value)| {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            format!("{name}={text}")
        });
        let fields = shown.collect::<Vec<_>>().join(" ");
        vec![self.prefix.clone(), format!("E{}", self.event), text.to_owned(), fields]
    }

    // The daemon, if the prefix names it.
    fn daemon(&self) -> String {
        self.prefix.split_whitespace().last().unwrap_or_default().to_owned()
    }

    fn is_belief(&self) -> bool {
        BELIEFS.iter().any(|event| u64::from(event.number()) == self.event)
    }
}

/// Reads a log from standard input and prints what it tells of a request.
pub(crate) fn run(words: &[String]) -> Result<(), CommandError> {
    let id = super::one(words, "request id")?;
    let mut beliefs: BTreeMap<(String, u64), Line> = BTreeMap::new();
    let mut rows = Vec::new();
    for line in std::io::stdin().lock().lines() {
        let line =
            line.map_err(|source| CommandError::File { path: "standard input".into(), source })?;
        let Some(line) = parse(&line) else { continue };
        if line.fields.get("request").and_then(Value::as_str) == Some(id) {
            let daemon = line.daemon();
            let known: Vec<_> = beliefs.keys().filter(|(of, _)| *of == daemon).cloned().collect();
            rows.extend(known.iter().filter_map(|key| beliefs.remove(key)).map(|line| line.row()));
            rows.push(line.row());
        } else if line.is_belief() {
            beliefs.insert((line.daemon(), line.event), line);
        }
    }
    if rows.iter().all(|row| row.is_empty()) {
        return Err(CommandError::Other { detail: format!("the log has no line of request {id}") });
    }
    for line in output::columns(&rows) {
        output::text(&format!("{line}\n"));
    }
    Ok(())
}

// Lines that are no events, such as a collector's own, are passed over.
fn parse(line: &str) -> Option<Line> {
    let at = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[at..]).ok()?;
    let event = fields.get("event")?.as_u64()?;
    Some(Line { prefix: line[..at].trim().to_owned(), event, fields })
}
