//! What a document may hold, and the walk that compares a tree with it.
//!
//! The names of fields come from the types themselves, so a new field is known
//! at once; its shape only adds the check of its value.

use std::collections::BTreeSet;

use serde::Serialize;
use serde::de::{self, Deserializer, Visitor};
use serde_json::Value;

use crate::finding;
use crate::tree::{Entry, Kind, Node, Position};

/// The shape of one node.
pub(crate) enum Shape {
    /// A value that stands alone.
    Scalar(fn(&str) -> Result<Value, String>),
    /// A sequence of equal shapes.
    List(&'static Shape),
    /// A mapping of chosen names to equal shapes.
    Map(fn(&str) -> Result<Value, String>, &'static Shape),
    /// A mapping of given fields.
    Struct(fn() -> &'static [&'static str], &'static [Field]),
}

/// The shape of one field.
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) required: bool,
    pub(crate) shape: Shape,
}

/// A field that must stand there.
pub(crate) const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

/// A field that may be left out.
pub(crate) const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

/// Reads a scalar as `T`.
pub(crate) fn scalar<T>(text: &str) -> Result<Value, String>
where
    T: de::DeserializeOwned + Serialize,
{
    let value: T = serde_saphyr::from_str(text).map_err(|error| message(&error))?;
    serde_json::to_value(value).map_err(|error| error.to_string())
}

/// The error's text without its place, which the finding states.
pub(crate) fn message(error: &serde_saphyr::Error) -> String {
    let text = error.without_snippet().to_string();
    let first = text.lines().next().unwrap_or_default();
    let bare = first.split_once(" at line ").map_or(first, |(bare, _)| bare);
    let bare = bare.strip_prefix("error: ").unwrap_or(bare);
    match bare.strip_prefix("line ").and_then(|rest| rest.split_once(": ")) {
        Some((_, rest)) => rest.to_owned(),
        None => bare.to_owned(),
    }
}

/// Names of the fields of the struct `T`, as its documents write them.
pub(crate) fn fields<T>() -> &'static [&'static str]
where
    T: de::DeserializeOwned,
{
    let mut found: &'static [&'static str] = &[];
    let _stopped = T::deserialize(FieldNames { found: &mut found });
    found
}

// Takes note of the fields that a type asks for, and gives it nothing.
struct FieldNames<'a> {
    found: &'a mut &'static [&'static str],
}

impl<'de> Deserializer<'de> for FieldNames<'_> {
    type Error = de::value::Error;

    fn deserialize_any<V>(self, _visitor: V) -> Result<V::Value, Self::Error>
    where
        V: Visitor<'de>,
    {
        Err(de::Error::custom("only the fields are wanted"))
    }

    fn deserialize_struct<V>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Self::Error>
    where
        V: Visitor<'de>,
    {
        *self.found = fields;
        self.deserialize_any(visitor)
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string
        bytes byte_buf option unit unit_struct newtype_struct seq tuple
        tuple_struct map enum identifier ignored_any
    }
}

/// Compares trees with shapes and collects what differs.
pub(crate) struct Validator<'a> {
    pub(crate) file: &'a str,
    pub(crate) findings: Vec<finding::Finding>,
}

impl Validator<'_> {
    fn report(&mut self, place: Position, path: &str, message: String, hint: Option<String>) {
        self.findings.push(finding::Finding {
            file: self.file.to_owned(),
            line: place.line,
            column: place.column,
            path: path.to_owned(),
            message,
            hint,
        });
    }

    /// Walks `node`; returns its value, or none if something is wrong with it.
    pub(crate) fn node(&mut self, shape: &Shape, node: &Node, path: &str) -> Option<Value> {
        match (shape, &node.kind) {
            (_, Kind::Alias) => None,
            (Shape::Scalar(read), Kind::Scalar(text)) => self.scalar(*read, text, node.place, path),
            (Shape::List(item), Kind::List(nodes)) => self.list(item, nodes, path),
            (Shape::Map(name, value), Kind::Map(entries)) => {
                Some(self.names(*name, value, entries, path))
            }
            (Shape::Struct(names, fields), Kind::Map(entries)) => {
                self.fields(names(), fields, entries, node.place, path)
            }
            _ => {
                let (wanted, found) = (expected_kind(shape), found_kind(&node.kind));
                self.report(node.place, path, format!("expected {wanted}, found {found}"), None);
                None
            }
        }
    }

    fn scalar(
        &mut self,
        read: fn(&str) -> Result<Value, String>,
        text: &str,
        place: Position,
        path: &str,
    ) -> Option<Value> {
        match read(text) {
            Ok(value) => Some(value),
            Err(message) => {
                let message = number_message(&message, text).unwrap_or(message);
                let (message, hint) = variant_message(&message).unwrap_or((message, None));
                self.report(place, path, message, hint);
                None
            }
        }
    }

    fn list(&mut self, item: &Shape, nodes: &[Node], path: &str) -> Option<Value> {
        let values = nodes.iter().enumerate();
        let values: Vec<_> =
            values.map(|(i, node)| self.node(item, node, &format!("{path}[{i}]"))).collect();
        values.into_iter().collect::<Option<Vec<_>>>().map(Value::from)
    }

    // An object with a mistake is left out, so that the others can be checked together.
    fn names(
        &mut self,
        name: fn(&str) -> Result<Value, String>,
        value: &Shape,
        entries: &[Entry],
        path: &str,
    ) -> Value {
        self.duplicate_keys(entries, path);
        let mut values = serde_json::Map::new();
        for entry in entries {
            let path = join(path, &entry.key);
            let quoted = Value::from(entry.key.as_str()).to_string();
            let named = self.scalar(name, &quoted, entry.place, &path);
            let read = self.node(value, &entry.value, &path);
            if let (Some(_), Some(read)) = (named, read) {
                values.insert(entry.key.clone(), read);
            }
        }
        values.into()
    }

    fn fields(
        &mut self,
        names: &[&str],
        fields: &[Field],
        entries: &[Entry],
        place: Position,
        path: &str,
    ) -> Option<Value> {
        self.duplicate_keys(entries, path);
        let before = self.findings.len();
        let mut values = serde_json::Map::new();
        let merges = entries.iter().any(|entry| entry.key == "<<");
        for entry in entries.iter().filter(|entry| entry.key != "<<") {
            let path = join(path, &entry.key);
            if !names.contains(&entry.key.as_str()) {
                self.unknown_key(names, entry, &path);
                continue;
            }
            let Some(field) = fields.iter().find(|field| field.name == entry.key) else { continue };
            if let Some(value) = self.node(&field.shape, &entry.value, &path) {
                values.insert(entry.key.clone(), value);
            }
        }
        let missing = |field: &&Field| {
            field.required && !merges && !entries.iter().any(|entry| entry.key == field.name)
        };
        for field in fields.iter().filter(missing) {
            let path = join(path, field.name);
            self.report(place, &path, format!("the key '{}' is missing", field.name), None);
        }
        // At the top, good parts are checked further beside the bad ones.
        (self.findings.len() == before || path.is_empty()).then(|| values.into())
    }

    fn unknown_key(&mut self, names: &[&str], entry: &Entry, path: &str) {
        let hint = finding::suggest(&entry.key, names);
        let hint = hint.unwrap_or_else(|| format!("known keys: {}", names.join(", ")));
        self.report(entry.place, path, format!("unknown key '{}'", entry.key), Some(hint));
    }

    fn duplicate_keys(&mut self, entries: &[Entry], path: &str) {
        let mut seen = BTreeSet::new();
        for entry in entries {
            if !seen.insert(&entry.key) {
                let path = join(path, &entry.key);
                let message = format!("the key '{}' stands twice", entry.key);
                self.report(entry.place, &path, message, None);
            }
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn expected_kind(shape: &Shape) -> &'static str {
    match shape {
        Shape::Scalar(_) => "a single value",
        Shape::List(_) => "a list",
        Shape::Map(..) | Shape::Struct(..) => "a mapping",
    }
}

fn found_kind(kind: &Kind) -> &'static str {
    match kind {
        Kind::Scalar(text) if text == "~" => "nothing",
        Kind::Scalar(_) => "a single value",
        Kind::List(_) => "a list",
        Kind::Map(_) => "a mapping",
        Kind::Alias => "an alias",
    }
}

// The library names the machine's type; operators know numbers.
fn number_message(message: &str, text: &str) -> Option<String> {
    let wanted = match message.strip_prefix("invalid ")? {
        "floating point" => "a number",
        "boolean" | "bool" => "true or false",
        kind if kind.starts_with('u') => "a whole number from 0 within range",
        _ => return None,
    };
    Some(format!("expected {wanted}, found {text}"))
}

// An unknown variant's message lists the known ones.
fn variant_message(message: &str) -> Option<(String, Option<String>)> {
    let rest = message.strip_prefix("unknown variant `")?;
    let (given, known) = rest.split_once("`, expected one of ")?;
    let names: Vec<_> = known.split(", ").collect();
    let message = format!("'{given}' is none of {known}");
    Some((message, finding::suggest(given, &names)))
}
