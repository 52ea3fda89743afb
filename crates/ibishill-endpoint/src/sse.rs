//! Chat responses: usage of complete bodies, and server-sent events up to the end marker.

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::{cost, id};
use serde::Deserialize;

use crate::client;
use crate::failure::Failure;

const END_MARKER: &str = "[DONE]";

/// Event of a streamed response, encoded as it is forwarded to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Part of the response.
    Chunk(Bytes),
    /// Token usage without content, which is forwarded only to callers that asked for it.
    Usage(Bytes),
    /// End marker: the response is complete.
    Done(Bytes),
}

/// Reader of the events of a streamed response.
pub struct Events {
    inner: BoxStream<'static, Result<String, Failure>>,
    usage: cost::Usage,
    chunks_seen: u64,
    id_check: IdCheck,
}

/// Checks that all parts of a response carry the same id and belong to the request.
struct IdCheck {
    request: id::RequestId,
    is_identified: bool,
    id: Option<String>,
}

#[derive(Deserialize)]
struct Completion {
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

impl IdCheck {
    fn new(response: &client::Response) -> Self {
        Self { request: response.request.clone(), is_identified: response.is_identified, id: None }
    }

    // If a header echoes the request id, the engine may use any id in the body, but the id must
    // not change within a response.
    fn check(&mut self, found: Option<String>) -> Result<(), Failure> {
        let Some(found) = found else {
            return if self.is_identified { Ok(()) } else { Err(Failure::RequestIdMissing) };
        };
        let is_expected = self.is_identified || found == self.request.as_str();
        let is_same = self.id.as_ref().is_none_or(|id| *id == found);
        if !is_expected || !is_same {
            return Err(Failure::RequestIdMismatch { found });
        }
        self.id = Some(found);
        Ok(())
    }
}

/// Checks the complete body of a chat response and returns its token usage, or zero if it has none.
///
/// # Errors
///
/// Fails if the body is not valid or belongs to another request.
pub fn parse_usage(response: &client::Response, body: &[u8]) -> Result<cost::Usage, Failure> {
    let completion: Completion = serde_json::from_slice(body).map_err(|error| {
        Failure::Incomplete { detail: format!("invalid response body: {error}") }
    })?;
    IdCheck::new(response).check(completion.id)?;
    Ok(completion.usage.map(usage).unwrap_or_default())
}

fn usage(tokens: Tokens) -> cost::Usage {
    cost::Usage { prompt: tokens.prompt_tokens, output: tokens.completion_tokens }
}

impl Events {
    /// Creates a reader of the events of `response`.
    pub fn new(response: client::Response) -> Self {
        let id_check = IdCheck::new(&response);
        let chunks = futures::stream::unfold(response, |mut response| async move {
            response.next().await.transpose().map(|next| (next, response))
        });
        let events = chunks.eventsource().map(|event| match event {
            Ok(event) => Ok(event.data),
            Err(EventStreamError::Transport(failure)) => Err(failure),
            Err(error) => Err(Failure::Incomplete { detail: error.to_string() }),
        });
        Self { inner: events.boxed(), usage: cost::Usage::default(), chunks_seen: 0, id_check }
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Fails as [`client::Response::next`] does, if the stream ends without its end marker, or
    /// if an event is invalid, reports an error or belongs to another request.
    pub async fn next(&mut self) -> Result<Event, Failure> {
        let Some(data) = self.inner.next().await.transpose()? else {
            return Err(Failure::Incomplete {
                detail: "the stream ended without its end marker".into(),
            });
        };
        let text = Bytes::from(format!("data: {}\n\n", data.replace('\n', "\ndata: ")));
        if data == END_MARKER {
            return Ok(Event::Done(text));
        }
        let completion: Completion = serde_json::from_str(&data)
            .map_err(|error| Failure::Incomplete { detail: format!("invalid event: {error}") })?;
        if completion.error.is_some() {
            return Err(Failure::Incomplete { detail: "the engine reported an error".into() });
        }
        self.id_check.check(completion.id)?;
        self.chunks_seen += u64::from(!completion.choices.is_empty());
        let is_usage = completion.choices.is_empty() && completion.usage.is_some();
        if let Some(tokens) = completion.usage {
            self.usage = usage(tokens);
        }
        Ok(if is_usage { Event::Usage(text) } else { Event::Chunk(text) })
    }

    /// Returns the tokens consumed so far: as the engine reported, or else one for each chunk with choices.
    pub fn usage(&self) -> cost::Usage {
        if self.usage == cost::Usage::default() {
            return cost::Usage { prompt: 0, output: self.chunks_seen };
        }
        self.usage
    }
}
