//! Streamed chat answers: server-sent events up to their end marker.

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::{cost, id};
use serde::Deserialize;

use crate::client;
use crate::failure::Failure;

const END_MARKER: &str = "[DONE]";

/// A part of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An event to pass on.
    Chunk(Bytes),
    /// An event that only tells the usage, which not every caller asks for.
    Usage(Bytes),
    /// The end marker: the answer is whole.
    Done(Bytes),
}

/// Reads a streamed answer event by event.
pub struct Events {
    inner: BoxStream<'static, Result<String, Failure>>,
    usage: cost::Usage,
    counted: u64,
    mark: Mark,
}

/// Checks that every part of an answer names the same request.
struct Mark {
    request: id::RequestId,
    is_marked: bool,
    name: Option<String>,
}

#[derive(Deserialize)]
struct Shape {
    id: Option<String>,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
    usage: Option<Tokens>,
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct Tokens {
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl Mark {
    fn new(answer: &client::Response) -> Self {
        Self { request: answer.request.clone(), is_marked: answer.is_marked, name: None }
    }

    // An engine may name its answers as it likes if a header echoes the request, but
    // the name may not change within an answer.
    fn check(&mut self, found: Option<String>) -> Result<(), Failure> {
        let Some(found) = found else {
            return if self.is_marked { Ok(()) } else { Err(Failure::RequestIdMissing) };
        };
        let is_own = self.is_marked || found == self.request.as_str();
        let is_same = self.name.as_ref().is_none_or(|name| *name == found);
        if !is_own || !is_same {
            return Err(Failure::RequestIdMismatch { found });
        }
        self.name = Some(found);
        Ok(())
    }
}

/// Checks a whole chat answer and reads its usage; zero if it tells none.
///
/// # Errors
///
/// Fails if the answer is no JSON object or belongs to another request.
pub fn parse_usage(answer: &client::Response, body: &[u8]) -> Result<cost::Usage, Failure> {
    let shape: Shape = serde_json::from_slice(body).map_err(|error| Failure::Incomplete {
        detail: format!("the answer is not valid: {error}"),
    })?;
    Mark::new(answer).check(shape.id)?;
    Ok(shape.usage.map(usage).unwrap_or_default())
}

fn usage(tokens: Tokens) -> cost::Usage {
    cost::Usage { prompt: tokens.prompt_tokens, output: tokens.completion_tokens }
}

impl Events {
    /// Reads the events of `answer`.
    pub fn new(answer: client::Response) -> Self {
        let mark = Mark::new(&answer);
        let chunks = futures::stream::unfold(answer, |mut answer| async move {
            answer.next().await.transpose().map(|next| (next, answer))
        });
        let events = chunks.eventsource().map(|event| match event {
            Ok(event) => Ok(event.data),
            Err(EventStreamError::Transport(failure)) => Err(failure),
            Err(error) => Err(Failure::Incomplete { detail: error.to_string() }),
        });
        Self { inner: events.boxed(), usage: cost::Usage::default(), counted: 0, mark }
    }

    /// The next part.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends without its end marker, falls silent, or holds an
    /// event that is not valid.
    pub async fn next(&mut self) -> Result<Event, Failure> {
        let Some(data) = self.inner.next().await.transpose()? else {
            return Err(Failure::Incomplete {
                detail: "the stream ended without its marker".into(),
            });
        };
        let text = Bytes::from(format!("data: {}\n\n", data.replace('\n', "\ndata: ")));
        if data == END_MARKER {
            return Ok(Event::Done(text));
        }
        let shape: Shape = serde_json::from_str(&data).map_err(|error| Failure::Incomplete {
            detail: format!("an event is not valid: {error}"),
        })?;
        if shape.error.is_some() {
            return Err(Failure::Incomplete { detail: "the engine reported an error".into() });
        }
        self.mark.check(shape.id)?;
        self.counted += u64::from(!shape.choices.is_empty());
        let bare = shape.choices.is_empty() && shape.usage.is_some();
        if let Some(tokens) = shape.usage {
            self.usage = usage(tokens);
        }
        Ok(if bare { Event::Usage(text) } else { Event::Chunk(text) })
    }

    /// Tokens so far: as the engine told, else counted by events.
    pub fn usage(&self) -> cost::Usage {
        if self.usage == cost::Usage::default() {
            return cost::Usage { prompt: 0, output: self.counted };
        }
        self.usage
    }
}
