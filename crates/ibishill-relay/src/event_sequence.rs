//! Tells which events of a streamed answer follow those that its caller already has. Only these may be
//! forwarded, and only these count as forwarded when the stream is resumed elsewhere.

use crate::continuation;

/// Maximum size of all that is forwarded between two events with an id, in bytes.
const UNNUMBERED_MAX: usize = 64 * 1_024;

/// Ends an event.
pub(crate) const SEPARATOR: &[u8] = b"\n\n";

/// Field names that an event may have; a line that starts with a colon is a comment.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Position of a caller in its stream, across the endpoints that it comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EventSequence {
    /// Id of the last event that the caller has.
    last: Option<u64>,
    /// Whether the next event is the first one of an endpoint that continues the stream.
    is_continued: bool,
    /// Whether something was accepted since the last event with an id that an endpoint would send again,
    /// or leave out.
    has_unnumbered: bool,
    /// Size of all that this endpoint has sent since its last event with an id, in bytes.
    unnumbered: usize,
    /// Whether the answer declares that it consists of events.
    is_declared: bool,
}

/// Outcome of [`EventSequence::accept`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Accepted {
    /// Size of the leading events that may be forwarded, in bytes.
    pub(crate) length: usize,
    /// Number of them that have an id.
    pub(crate) numbered: u64,
    /// What is wrong with the event after them, if there is one.
    pub(crate) fault: Option<String>,
}

impl EventSequence {
    /// Begins a stream for a caller that has all events up to `last`.
    pub(crate) const fn after(last: Option<u64>) -> Self {
        Self { last, is_continued: false, has_unnumbered: false, unnumbered: 0, is_declared: false }
    }

    /// Id of the last event that the caller has.
    pub(crate) const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether an endpoint can continue the stream exactly where it is.
    pub(crate) const fn can_continue(&self) -> bool {
        !self.has_unnumbered
    }

    /// Begins the answer of another endpoint; `is_declared` if its head names a stream of events.
    pub(crate) const fn begin_answer(&mut self, is_continued: bool, is_declared: bool) {
        self.is_continued = is_continued;
        self.is_declared = is_declared;
        self.unnumbered = 0;
    }

    /// Accepts the leading ones of complete events that are in sequence.
    pub(crate) fn accept(&mut self, events: &[u8]) -> Accepted {
        let mut accepted = Accepted { length: 0, numbered: 0, fault: None };
        while accepted.length < events.len() {
            let rest = &events[accepted.length..];
            let event = &rest[..first_event(rest)];
            match self.accept_event(event) {
                Ok(numbered) => accepted.numbered += numbered,
                Err(fault) => {
                    accepted.fault = Some(fault);
                    break;
                }
            }
            accepted.length += event.len();
        }
        accepted
    }

    // Returns the number of ids in the event.
    fn accept_event(&mut self, event: &[u8]) -> Result<u64, String> {
        if let Some(last) = self.last.filter(|_| self.is_continued) {
            continuation::check_beginning(event, last)?;
        }
        let is_comment = continuation::is_comment(event);
        let (mut last, mut numbered) = (self.last, 0);
        for id in event.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"id:")) {
            let text = std::str::from_utf8(id).unwrap_or_default().trim();
            let Ok(number) = text.parse::<u64>() else {
                match last {
                    Some(last) => return Err(format!("event id {text:?} after {last}")),
                    None => continue,
                }
            };
            if let Some(last) = last.filter(|last| Some(number) != last.checked_add(1)) {
                return Err(format!("gap in event ids: {number} after {last}"));
            }
            (last, numbered) = (Some(number), numbered + 1);
        }
        if numbered == 0 {
            if self.is_declared && !has_known_fields(event) {
                return Err("an event without an id has unknown fields".into());
            }
            let size = self.unnumbered + event.len();
            if size > UNNUMBERED_MAX {
                return Err(format!("no event with an id within {UNNUMBERED_MAX} bytes"));
            }
            self.unnumbered = size;
            self.has_unnumbered |= !is_comment;
        } else {
            self.unnumbered = 0;
            self.has_unnumbered = false;
        }
        self.last = last;
        self.is_continued &= is_comment;
        Ok(numbered)
    }
}

/// Size of the complete events at the start of `bytes`.
pub(crate) fn complete_events(bytes: &[u8]) -> Option<usize> {
    let last = bytes.windows(SEPARATOR.len()).rposition(|found| found == SEPARATOR);
    last.map(|at| at + SEPARATOR.len())
}

// Size of the first of complete events.
fn first_event(events: &[u8]) -> usize {
    let first = events.windows(SEPARATOR.len()).position(|found| found == SEPARATOR);
    first.map_or(events.len(), |at| at + SEPARATOR.len())
}

fn has_known_fields(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let name = name.strip_suffix(b"\r").unwrap_or(name);
        name.is_empty() || FIELDS.contains(&name)
    })
}
