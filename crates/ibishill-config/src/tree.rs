//! Parses a YAML document into a tree whose nodes have positions.
//!
//! Typed deserialization stops at the first error; validating the tree finds all of them.

use std::iter;

use granit_parser::{Event, Parser, ScalarStyle, ScanError, Span, StrInput};

use crate::finding;

/// Position in a file; line and column count from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) line: u64,
    pub(crate) column: u64,
}

/// Node of the tree.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) kind: Kind,
}

/// Content of a node.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    /// A scalar, written so that it can be parsed as a YAML document of its own.
    Scalar(String),
    /// A sequence.
    List(Vec<Node>),
    /// A mapping; entries are in the order of the document.
    Map(Vec<Entry>),
    /// An alias of an anchored node; typed deserialization expands and checks it.
    Alias,
}

/// One entry of a mapping.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) position: Position,
    pub(crate) value: Node,
}

type Events<'a> = iter::Peekable<Parser<'a, StrInput<'a>>>;

fn position(span: &Span) -> Position {
    Position { line: span.start.line() as u64, column: span.start.col() as u64 + 1 }
}

/// Parses the first document of `text`; an empty one yields an empty mapping.
///
/// # Errors
///
/// Returns a finding at the position of the first syntax error.
pub(crate) fn parse(file: &str, text: &str) -> Result<Node, finding::Finding> {
    let mut events = Parser::new_from_str(text).peekable();
    let empty = Node { position: Position { line: 1, column: 1 }, kind: Kind::Map(Vec::new()) };
    let found = loop {
        match next_event(&mut events) {
            Ok(Some((Event::StreamStart | Event::DocumentStart(..), _))) => {}
            Ok(Some((Event::DocumentEnd | Event::StreamEnd, _)) | None) => break Ok(empty),
            Ok(Some((event, span))) => break node(&mut events, event, &span),
            Err(error) => break Err(error),
        }
    };
    // The rest is parsed as well, so that syntax errors after the first document are reported.
    let rest = found.and_then(|found| {
        while next_event(&mut events)?.is_some() {}
        Ok(found)
    });
    rest.map_err(|error| finding::Finding {
        file: file.to_owned(),
        line: error.marker().line() as u64,
        column: error.marker().col() as u64 + 1,
        path: String::new(),
        message: error.info(),
        hint: None,
    })
}

// Skips comments.
fn next_event<'a>(events: &mut Events<'a>) -> Result<Option<(Event<'a>, Span)>, ScanError> {
    loop {
        match events.next().transpose()? {
            Some((Event::Comment(..), _)) => {}
            other => return Ok(other),
        }
    }
}

fn node<'a>(events: &mut Events<'a>, event: Event<'a>, span: &Span) -> Result<Node, ScanError> {
    let kind = match event {
        Event::Scalar(text, style, ..) => Kind::Scalar(scalar(&text, style)),
        Event::SequenceStart(..) => list(events)?,
        Event::MappingStart(..) => map(events)?,
        _ => Kind::Alias,
    };
    Ok(Node { position: position(span), kind })
}

// A JSON string is a valid double-quoted YAML scalar, so quoting keeps the text a string.
fn scalar(text: &str, style: ScalarStyle) -> String {
    match style {
        ScalarStyle::Plain if text.is_empty() => "~".to_owned(),
        ScalarStyle::Plain => text.to_owned(),
        _ => serde_json::Value::from(text).to_string(),
    }
}

fn list(events: &mut Events<'_>) -> Result<Kind, ScanError> {
    let mut items = Vec::new();
    while let Some((event, span)) = next_event(events)? {
        if matches!(event, Event::SequenceEnd) {
            break;
        }
        items.push(node(events, event, &span)?);
    }
    Ok(Kind::List(items))
}

fn map(events: &mut Events<'_>) -> Result<Kind, ScanError> {
    let mut entries = Vec::new();
    while let Some((event, span)) = next_event(events)? {
        if matches!(event, Event::MappingEnd) {
            break;
        }
        let key = match event {
            Event::Scalar(ref text, ..) => text.to_string(),
            _ => String::new(),
        };
        let position = node(events, event, &span)?.position;
        let Some((event, span)) = next_event(events)? else { break };
        let value = node(events, event, &span)?;
        entries.push(Entry { key, position, value });
    }
    Ok(Kind::Map(entries))
}

impl Node {
    /// Position of `path`, or of its nearest ancestor in the document.
    pub(crate) fn locate(&self, path: &str) -> Position {
        self.find(path).unwrap_or(self.position)
    }

    fn find(&self, path: &str) -> Option<Position> {
        let Kind::Map(entries) = &self.kind else { return self.find_item(path) };
        entries.iter().find_map(|entry| {
            let rest = path.strip_prefix(entry.key.as_str())?;
            if rest.is_empty() {
                return Some(entry.position);
            }
            let inner = match rest.strip_prefix('.') {
                Some(rest) => entry.value.find(rest),
                None if rest.starts_with('[') => entry.value.find_item(rest),
                None => return None,
            };
            // A missing key is reported at the object that lacks it.
            Some(inner.unwrap_or(entry.position))
        })
    }

    fn find_item(&self, path: &str) -> Option<Position> {
        let Kind::List(items) = &self.kind else { return None };
        let (index, rest) = path.strip_prefix('[')?.split_once(']')?;
        let item = items.get(index.parse::<usize>().ok()?)?;
        Some(item.locate(rest.trim_start_matches('.')))
    }

    /// Whether the node is a mapping with `key`.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        matches!(&self.kind, Kind::Map(entries) if entries.iter().any(|entry| entry.key == key))
    }

    /// Keys of the mapping under `key`; empty if there is none.
    pub(crate) fn keys_under(&self, key: &str) -> Vec<&str> {
        let Kind::Map(entries) = &self.kind else { return Vec::new() };
        let found = entries.iter().find(|entry| entry.key == key).map(|entry| &entry.value.kind);
        match found {
            Some(Kind::Map(entries)) => entries.iter().map(|entry| entry.key.as_str()).collect(),
            _ => Vec::new(),
        }
    }
}
