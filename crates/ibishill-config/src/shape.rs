//! Schema of a document, and the validator that compares a parsed tree with it.
//!
//! The names of known fields are taken from the types' `Deserialize` implementations, so a new
//! field is accepted without a change here; its shape only adds the validation of its value.

use std::collections::BTreeSet;

use serde::Serialize;
use serde::de::{self, Deserializer, Visitor};
use serde_json::Value;

use crate::finding;
use crate::tree::{Entry, Kind, Node, Position};

/// The shape of one node.
pub(crate) enum Shape {
    /// A scalar, with the function that parses it.
    Scalar(fn(&str) -> Result<Value, String>),
    /// A sequence of items of the same shape.
    List(&'static Shape),
    /// A mapping with arbitrary names as keys and values of the same shape.
    Map(fn(&str) -> Result<Value, String>, &'static Shape),
    /// A mapping with fixed fields: the names of all known fields, and the shapes of those that
    /// are validated.
    Struct(fn() -> &'static [&'static str], &'static [Field]),
}

/// The shape of one field.
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) required: bool,
    pub(crate) shape: Shape,
}

/// Creates a mandatory field.
pub(crate) const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

/// Creates an optional field.
pub(crate) const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

/// Parses a scalar as `T`.
pub(crate) fn scalar<T>(text: &str) -> Result<Value, String>
where
    T: de::DeserializeOwned + Serialize,
{
    let value: T = serde_saphyr::from_str(text).map_err(|error| message(&error))?;
    serde_json::to_value(value).map_err(|error| error.to_string())
}

/// The text of an error without its position, which the finding states.
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

/// Names of the fields of the struct `T`, as written in documents.
pub(crate) fn fields<T>() -> &'static [&'static str]
where
    T: de::DeserializeOwned,
{
    let mut found: &'static [&'static str] = &[];
    let _error = T::deserialize(FieldNames { found: &mut found });
    found
}

// Deserializer that records the field names that a type requests and then fails.
struct FieldNames<'a> {
    found: &'a mut &'static [&'static str],
}

impl<'de> Deserializer<'de> for FieldNames<'_> {
    type Error = de::value::Error;

    fn deserialize_any<V>(self, _visitor: V) -> Result<V::Value, Self::Error>
    where
        V: Visitor<'de>,
    {
        Err(de::Error::custom("only field names are collected"))
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

/// Compares trees with shapes and collects findings.
pub(crate) struct Validator<'a> {
    pub(crate) file: &'a str,
    pub(crate) findings: Vec<finding::Finding>,
}

impl Validator<'_> {
    fn report(&mut self, position: Position, path: &str, message: String, hint: Option<String>) {
        self.findings.push(finding::Finding {
            file: self.file.to_owned(),
            line: position.line,
            column: position.column,
            path: path.to_owned(),
            message,
            hint,
        });
    }

    /// Validates `node`; returns its value, or none if it is invalid.
    pub(crate) fn node(&mut self, shape: &Shape, node: &Node, path: &str) -> Option<Value> {
        match (shape, &node.kind) {
            (_, Kind::Alias) => None,
            (Shape::Scalar(parse), Kind::Scalar(text)) => {
                self.scalar(*parse, text, node.position, path)
            }
            (Shape::List(item), Kind::List(nodes)) => self.list(item, nodes, path),
            (Shape::Map(name, value), Kind::Map(entries)) => {
                Some(self.names(*name, value, entries, path))
            }
            (Shape::Struct(names, fields), Kind::Map(entries)) => {
                self.fields(names(), fields, entries, node.position, path)
            }
            _ => {
                let (expected, found) = (expected_kind(shape), found_kind(&node.kind));
                self.report(
                    node.position,
                    path,
                    format!("expected {expected}, found {found}"),
                    None,
                );
                None
            }
        }
    }

    fn scalar(
        &mut self,
        parse: fn(&str) -> Result<Value, String>,
        text: &str,
        position: Position,
        path: &str,
    ) -> Option<Value> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(message) => {
                let message = number_message(&message, text).unwrap_or(message);
                let (message, hint) = variant_message(&message).unwrap_or((message, None));
                self.report(position, path, message, hint);
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

    // Invalid objects are left out, so that the valid ones can still be checked together.
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
            let valid_name = self.scalar(name, &quoted, entry.position, &path);
            let valid_value = self.node(value, &entry.value, &path);
            if let (Some(_), Some(value)) = (valid_name, valid_value) {
                values.insert(entry.key.clone(), value);
            }
        }
        values.into()
    }

    fn fields(
        &mut self,
        names: &[&str],
        fields: &[Field],
        entries: &[Entry],
        position: Position,
        path: &str,
    ) -> Option<Value> {
        self.duplicate_keys(entries, path);
        let before = self.findings.len();
        let mut values = serde_json::Map::new();
        let has_merge = entries.iter().any(|entry| entry.key == "<<");
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
            field.required && !has_merge && !entries.iter().any(|entry| entry.key == field.name)
        };
        for field in fields.iter().filter(missing) {
            let path = join(path, field.name);
            self.report(position, &path, format!("the key '{}' is missing", field.name), None);
        }
        // At the top level, valid sections are kept, so that they are checked along with invalid
        // ones.
        (self.findings.len() == before || path.is_empty()).then(|| values.into())
    }

    fn unknown_key(&mut self, names: &[&str], entry: &Entry, path: &str) {
        let hint = finding::suggest(&entry.key, names);
        let hint = hint.unwrap_or_else(|| format!("known keys: {}", names.join(", ")));
        self.report(entry.position, path, format!("unknown key '{}'", entry.key), Some(hint));
    }

    fn duplicate_keys(&mut self, entries: &[Entry], path: &str) {
        let mut seen = BTreeSet::new();
        for entry in entries {
            if !seen.insert(&entry.key) {
                let path = join(path, &entry.key);
                let message = format!("duplicate key '{}'", entry.key);
                self.report(entry.position, &path, message, None);
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

// Replaces the parser's message, which names a Rust type, by one that operators understand.
fn number_message(message: &str, text: &str) -> Option<String> {
    let expected = match message.strip_prefix("invalid ")? {
        "floating point" => "a number",
        "boolean" | "bool" => "true or false",
        kind if kind.starts_with('u') => "a non-negative integer within range",
        _ => return None,
    };
    Some(format!("expected {expected}, found {text}"))
}

// Turns the parser's message about an unknown variant, which lists the known ones, into a finding
// with a hint.
fn variant_message(message: &str) -> Option<(String, Option<String>)> {
    let rest = message.strip_prefix("unknown variant `")?;
    let (given, known) = rest.split_once("`, expected one of ")?;
    let names: Vec<_> = known.split(", ").collect();
    let message = format!("'{given}' is not one of {known}");
    Some((message, finding::suggest(given, &names)))
}
