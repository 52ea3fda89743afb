//! Body of a chat request. Only a few fields are interpreted; all others are forwarded unchanged.

use bytes::Bytes;
use ibishill_core::{id, outcome};
use ibishill_decide::plan;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::value::{RawValue, to_raw_value};

/// Fields in the caller's order, each value as the caller wrote it.
type Fields = IndexMap<String, Box<RawValue>>;

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
pub struct Body {
    fields: Fields,
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

impl Body {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is not a chat request.
    pub fn parse(bytes: &[u8]) -> Result<Self, outcome::Refusal> {
        let invalid =
            |error: serde_json::Error| bad_request(format!("the body is not valid: {error}"));
        let fields = serde_json::from_slice(bytes).map_err(invalid)?;
        let known = serde_json::from_slice(bytes).map_err(invalid)?;
        Ok(Self { fields, known })
    }

    /// The `messages` field as JSON, as the caller wrote it.
    pub fn messages(&self) -> &str {
        self.fields.get("messages").map_or("", |messages| messages.get())
    }

    /// Returns the body for the engine: `model` names the target, a stream includes its usage,
    /// and every other field is as the caller wrote it.
    pub fn for_engine(&self, target: &id::Target) -> Bytes {
        let mut fields = self.fields.clone();
        let raw = |value: &serde_json::Value| to_raw_value(value).expect("a JSON value encodes");
        fields.insert("model".into(), raw(&target.to_string().into()));
        if self.known.stream {
            let options = serde_json::json!({"include_usage": true});
            fields.insert("stream_options".into(), raw(&options));
        }
        Bytes::from(serde_json::to_vec(&fields).expect("raw values encode"))
    }
}
