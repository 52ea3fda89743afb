//! Streamed chat answers: server-sent events up to their end marker.

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::cost;
use serde::Deserialize;

use crate::client;
use crate::failure::Failure;

const END_MARKER: &str = "[DONE]";

/// A part of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// An event to pass on.
    Event(Bytes),
    /// An event that only tells the usage, which not every caller asks for.
    Usage(Bytes),
    /// The end marker: the answer is whole.
    End(Bytes),
}

/// Reads a streamed answer event by event.
pub struct Events {
    inner: BoxStream<'static, Result<String, Failure>>,
    usage: cost::Usage,
    counted: u64,
}

#[derive(Deserialize)]
struct Shape {
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
    usage: Option<Tokens>,
}

#[derive(Deserialize)]
struct Tokens {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Reads the usage of a whole chat answer; zero if it tells none.
///
/// # Errors
///
/// Fails if the answer is no JSON object.
pub fn whole_usage(body: &[u8]) -> Result<cost::Usage, Failure> {
    let shape: Shape = serde_json::from_slice(body)
        .map_err(|error| Failure::Cut { detail: format!("the answer is not valid: {error}") })?;
    Ok(shape.usage.map(usage).unwrap_or_default())
}

fn usage(tokens: Tokens) -> cost::Usage {
    cost::Usage { prompt: tokens.prompt_tokens, output: tokens.completion_tokens }
}

impl Events {
    /// Reads the events of `answer`.
    pub fn new(answer: client::Answer) -> Self {
        let chunks = futures::stream::unfold(answer, |mut answer| async move {
            answer.next().await.transpose().map(|next| (next, answer))
        });
        let events = chunks.eventsource().map(|event| match event {
            Ok(event) => Ok(event.data),
            Err(error) => Err(Failure::Cut { detail: error.to_string() }),
        });
        Self { inner: events.boxed(), usage: cost::Usage::default(), counted: 0 }
    }

    /// The next part.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends without its end marker, falls silent, or holds an
    /// event that is not valid.
    pub async fn next(&mut self) -> Result<Part, Failure> {
        let Some(data) = self.inner.next().await.transpose()? else {
            return Err(Failure::Cut { detail: "the stream ended without its marker".into() });
        };
        let text = Bytes::from(format!("data: {data}\n\n"));
        if data == END_MARKER {
            return Ok(Part::End(text));
        }
        let shape: Shape = serde_json::from_str(&data)
            .map_err(|error| Failure::Cut { detail: format!("an event is not valid: {error}") })?;
        self.counted += u64::from(!shape.choices.is_empty());
        let bare = shape.choices.is_empty() && shape.usage.is_some();
        if let Some(tokens) = shape.usage {
            self.usage = usage(tokens);
        }
        Ok(if bare { Part::Usage(text) } else { Part::Event(text) })
    }

    /// Tokens so far: as the engine told, else counted by events.
    pub fn usage(&self) -> cost::Usage {
        if self.usage == cost::Usage::default() {
            return cost::Usage { prompt: 0, output: self.counted };
        }
        self.usage
    }
}
