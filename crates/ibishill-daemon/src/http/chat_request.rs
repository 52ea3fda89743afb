//! Body of a chat request. Only a few fields are interpreted; all others are forwarded unchanged.
//!
//! Nothing is kept of the other fields beside the body itself: a body of many small ones would occupy many times its
//! length.

use std::ops::Range;

use bytes::Bytes;
use ibishill_core::{id, outcome};
use ibishill_decide::plan;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// What the fields that the router sets may add to a body, in bytes.
const ADDED_SIZE: usize = 512;

/// Value of `stream_options` for an engine, which is to report the usage of a stream.
const STREAM_OPTIONS: &str = r#"{"include_usage":true}"#;

/// The fields that are replaced or read, as the caller wrote them.
#[derive(Deserialize)]
struct RawFields<'a> {
    #[serde(borrow)]
    model: &'a RawValue,
    #[serde(borrow)]
    messages: &'a RawValue,
    #[serde(borrow, default, deserialize_with = "present")]
    stream_options: Option<&'a RawValue>,
}

// A null counts as present.
fn present<'de, D>(deserializer: D) -> Result<Option<&'de RawValue>, D::Error>
where
    D: Deserializer<'de>,
{
    <&RawValue>::deserialize(deserializer).map(Some)
}

#[derive(Deserialize)]
pub(crate) struct KnownFields {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) stream: bool,
    pub(crate) stream_options: Option<StreamOptions>,
    #[serde(rename = "messages")]
    _messages: Vec<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
pub(crate) struct StreamOptions {
    #[serde(default)]
    pub(crate) include_usage: bool,
}

/// A parsed body of a chat request.
pub struct Body<'a> {
    bytes: &'a [u8],
    raw: RawFields<'a>,
    pub(crate) known: KnownFields,
}

fn bad_request(detail: String) -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::Reason::BadRequest, detail)
}

/// Parses the `model` field of a chat request.
///
/// # Errors
///
/// Returns a refusal if the name is neither `auto`, a model nor `model@version`.
pub fn parse_selector(model: &str) -> Result<plan::Selector, outcome::Refusal> {
    let invalid = |error: id::NameError| bad_request(format!("model: {error}"));
    if model == "auto" {
        return Ok(plan::Selector::Auto);
    }
    if model.contains('@') {
        return model.parse().map(plan::Selector::Version).map_err(invalid);
    }
    model.parse().map(plan::Selector::Model).map_err(invalid)
}

impl<'a> Body<'a> {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is not a chat request.
    pub fn parse(bytes: &'a [u8]) -> Result<Self, outcome::Refusal> {
        let invalid =
            |error: serde_json::Error| bad_request(format!("the body is not valid: {error}"));
        // A list of values in the order of the fields would be taken as well.
        if bytes.trim_ascii_start().first() != Some(&b'{') {
            return Err(bad_request("the body is no JSON object".into()));
        }
        let known = serde_json::from_slice(bytes).map_err(invalid)?;
        let raw = serde_json::from_slice(bytes).map_err(invalid)?;
        Ok(Self { bytes, raw, known })
    }

    /// The `messages` field as JSON, as the caller wrote it.
    pub fn messages(&self) -> &str {
        self.raw.messages.get()
    }

    // Place of a value that was borrowed from the body.
    fn place(&self, value: &RawValue) -> Range<usize> {
        let text = value.get();
        let start = text.as_ptr().addr() - self.bytes.as_ptr().addr();
        start..start + text.len()
    }

    /// Returns the body for the engine: `model` names the target, a stream includes its usage,
    /// and every other field is as the caller wrote it.
    pub fn for_engine(&self, target: &id::Target) -> Bytes {
        let model = serde_json::Value::from(target.to_string()).to_string();
        let mut edits = vec![(self.place(self.raw.model), model)];
        match self.raw.stream_options {
            _ if !self.known.stream => {}
            Some(options) => edits.push((self.place(options), STREAM_OPTIONS.to_owned())),
            None => {
                let end = self.bytes.trim_ascii_end().len() - 1;
                edits.push((end..end, format!(",\"stream_options\":{STREAM_OPTIONS}")));
            }
        }
        edits.sort_unstable_by_key(|(place, _)| place.start);
        let mut sent = Vec::with_capacity(self.bytes.len() + ADDED_SIZE);
        let mut rest = 0;
        for (place, text) in edits {
            sent.extend_from_slice(&self.bytes[rest..place.start]);
            sent.extend_from_slice(text.as_bytes());
            rest = place.end;
        }
        sent.extend_from_slice(&self.bytes[rest..]);
        Bytes::from(sent)
    }
}
