//! `ibishill explain`: prints the lines of one request from the logs of many daemons, with the
//! state of each daemon at that time.

use std::collections::BTreeMap;
use std::io::BufRead;

use ibishill_core::event::Event;
use serde_json::{Map, Value};

use crate::error::CommandError;
use crate::output;

/// Events that change the state on which a daemon bases its routing. The latest of each is
/// printed once, before the request's next line from that daemon.
const STATE_CHANGES: &[Event] = &[
    Event::CatalogInForce,
    Event::StoreLost,
    Event::StoreRegained,
    Event::RolloutChanged,
    Event::ZoneChanged,
    Event::VmResumed,
    Event::RelayStopping,
];

struct Line {
    // Text before the JSON object, such as the time and the daemon that a log collector adds.
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

    // The last word of the prefix, which names the daemon; empty without a prefix.
    fn daemon(&self) -> String {
        self.prefix.split_whitespace().last().unwrap_or_default().to_owned()
    }

    fn is_state_change(&self) -> bool {
        STATE_CHANGES.iter().any(|event| u64::from(event.number()) == self.event)
    }
}

/// Reads logs from standard input and prints the lines of a request.
pub(crate) fn run(args: &[String]) -> Result<(), CommandError> {
    let id = super::single_arg(args, "request id")?;
    let mut state_changes: BTreeMap<(String, u64), Line> = BTreeMap::new();
    let mut rows = Vec::new();
    for line in std::io::stdin().lock().lines() {
        let line =
            line.map_err(|source| CommandError::File { path: "standard input".into(), source })?;
        let Some(line) = parse(&line) else { continue };
        if line.fields.get("request").and_then(Value::as_str) == Some(id) {
            let daemon = line.daemon();
            let keys: Vec<_> =
                state_changes.keys().filter(|(name, _)| *name == daemon).cloned().collect();
            rows.extend(
                keys.iter().filter_map(|key| state_changes.remove(key)).map(|line| line.row()),
            );
            rows.push(line.row());
        } else if line.is_state_change() {
            state_changes.insert((line.daemon(), line.event), line);
        }
    }
    if rows.iter().all(|row| row.is_empty()) {
        return Err(CommandError::Other { detail: format!("no log line names request {id}") });
    }
    for line in output::columns(&rows) {
        output::text(&format!("{line}\n"));
    }
    Ok(())
}

// Returns `None` for lines that are not events, such as those of the log collector itself.
fn parse(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let event = fields.get("event")?.as_u64()?;
    Some(Line { prefix: line[..start].trim().to_owned(), event, fields })
}
