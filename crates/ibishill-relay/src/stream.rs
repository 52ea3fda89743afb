//! Streamed answers: whole events are passed on as they arrive, and a stream that breaks is
//! resumed at another endpoint after the last whole event, inside the same answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ibishill_adapter::head;
use ibishill_core::{event, id, time};
use ibishill_decide::outlier;
use tokio::sync::mpsc;
use tokio::time as clock;

use crate::attempt::{self, Ended, Opened, Received, Target};
use crate::body::{self, Body, Broken};
use crate::context::Shared;
use crate::{path, room};

/// Parts that wait for a slow caller.
const PARTS: usize = 4;

/// Silence after which a stream is resumed elsewhere, in percent of the time to the first
/// event that callers expect; they leave after four times that.
const SILENCE_PERCENT: u64 = 100;

/// Shortest such silence, in milliseconds; callers leave after two seconds at the earliest.
const SILENCE_MIN_MS: u64 = 1_800;

/// Largest part of an event that waits for its end, in bytes.
const EVENT_MAX: usize = 1_024 * 1_024;

const SEPARATOR: &[u8] = b"\n\n";

/// Passes a stream on.
pub(crate) fn relay(
    context: &Shared,
    received: Received,
    target: Target,
    opened: Opened,
    sends: u32,
) -> Response<Body> {
    let (sender, parts) = mpsc::channel(PARTS);
    let mut answer = Response::new(body::parts(parts));
    *answer.status_mut() = opened.head.status();
    *answer.headers_mut() = head::end_to_end(opened.head.headers());
    let last = received.facts.last_event;
    let relay = Relay {
        context: context.clone(),
        received,
        target,
        sender,
        last,
        sends,
        events: 0,
        tried: Vec::new(),
    };
    tokio::task::spawn_local(relay.run(opened));
    answer
}

struct Relay {
    context: Shared,
    received: Received,
    target: Target,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    sends: u32,
    events: u64,
    tried: Vec<id::EndpointId>,
}

/// How one endpoint's part of a stream ended.
enum End {
    /// The stream is whole.
    Whole,
    /// The caller has left.
    Left,
    /// It broke off or fell silent.
    Cut(String),
}

impl Relay {
    async fn run(mut self, opened: Opened) {
        let mut opened = opened;
        loop {
            let Opened { body, connection, slot, .. } = opened;
            let end = self.pass_on(body).await;
            // The endpoint must stop before the stream goes on elsewhere.
            drop(connection);
            drop(slot);
            match end {
                End::Whole => return self.log_done(),
                End::Left => return self.log_left(),
                End::Cut(detail) => match self.resume(detail).await {
                    Some(next) => opened = next,
                    None => {
                        // Sent even if the caller has left, which then ends the same way.
                        let _sent = self.sender.send(Err(Broken)).await;
                        return;
                    }
                },
            }
        }
    }

    async fn pass_on(&mut self, mut body: Incoming) -> End {
        let silence = self.received.route.latency_target.0 * SILENCE_PERCENT / 100;
        let silence = silence.max(SILENCE_MIN_MS);
        let mut buffer = BytesMut::new();
        loop {
            let frame = tokio::select! {
                frame = clock::timeout(Duration::from_millis(silence), body.frame()) => frame,
                () = self.sender.closed() => return End::Left,
            };
            let data = match frame {
                // Silence alone is no reason to end a stream that can't go on elsewhere.
                Err(_) if !self.has_next() => continue,
                Err(_) => return End::Cut(format!("silent for {silence} ms")),
                Ok(None) if buffer.is_empty() => return End::Whole,
                Ok(None) => return End::Cut("ended inside an event".into()),
                Ok(Some(Err(error))) => return End::Cut(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            buffer.extend_from_slice(&data);
            let Some(at) = rfind(&buffer) else {
                if buffer.len() > EVENT_MAX {
                    return End::Cut("an event is too large".into());
                }
                continue;
            };
            let whole = buffer.split_to(at + SEPARATOR.len()).freeze();
            match self.check(&whole) {
                Ok(()) => {}
                Err(detail) => return End::Cut(detail),
            }
            if self.sender.send(Ok(whole)).await.is_err() {
                return End::Left;
            }
        }
    }

    // Whether the stream could go on at another endpoint.
    fn has_next(&self) -> bool {
        let is_allowed = self.received.route.kind.may_retry()
            && self.sends < self.received.route.max_attempts
            && path::has_allowance(&self.context, &self.received);
        let model = self.target.model.as_ref();
        let avoid = std::slice::from_ref(&self.target.endpoint);
        let next = room::choose(&self.context, &self.received, avoid, model, self.last);
        is_allowed && matches!(next, room::Next::Send(_))
    }

    // Events must follow each other without a gap.
    fn check(&mut self, events: &[u8]) -> Result<(), String> {
        for line in events.split(|byte| *byte == b'\n') {
            let Some(text) = line.strip_prefix(b"id:") else { continue };
            let text = std::str::from_utf8(text).unwrap_or_default().trim();
            let Ok(number) = text.parse::<u64>() else { continue };
            if self.last.is_some_and(|last| number != last + 1) {
                return Err(format!("event {number} after {}", self.last.unwrap_or_default()));
            }
            self.last = Some(number);
            self.events += 1;
        }
        Ok(())
    }

    async fn resume(&mut self, detail: String) -> Option<Opened> {
        self.note_cut();
        let kind = self.received.route.kind;
        let mut why = detail;
        loop {
            self.tried.push(self.target.endpoint.clone());
            let is_allowed = kind.may_retry() && self.sends < self.received.route.max_attempts;
            let left = self.received.left(self.context.now());
            if !is_allowed || left.0 == 0 || !path::take(&self.context, &self.received, "cut") {
                self.log_broken(&why);
                return None;
            }
            let model = self.target.model.clone();
            let next =
                room::choose(&self.context, &self.received, &self.tried, model.as_ref(), self.last);
            let room::Next::Send(target) = next else {
                self.log_broken(&why);
                return None;
            };
            self.target = target;
            let may_follow = self.sends + 1 < self.received.route.max_attempts;
            let ended = attempt::run(&self.context, &self.received, &self.target, may_follow).await;
            match ended {
                Ended::Stream(opened) => {
                    self.sends += 1;
                    self.log_resumed(&why);
                    return Some(*opened);
                }
                Ended::Unsent | Ended::Untried => why = "no connection to the next endpoint".into(),
                Ended::Refused | Ended::Unknown | Ended::Late | Ended::Hung | Ended::Answer(_) => {
                    self.sends += 1;
                    why = "the next endpoint failed".into();
                }
            }
        }
    }

    fn note_cut(&self) {
        let now = self.context.now();
        let mut state = self.context.state();
        let rule = state.cold_rule(&self.received.service, now);
        let failed = outlier::Attempt::Failed;
        state.balance.record_attempt(&self.target.endpoint, failed, None, rule, now);
        let (received, target) = (&self.received, &self.target);
        attempt::count(&mut state, &self.context, received, target, failed, time::Millis(0));
    }

    fn count(&self, outcome: &'static str) -> time::Millis {
        let took = self.context.now().since(self.received.since);
        self.context.metrics.ended(outcome, took);
        took
    }

    fn log_done(&self) {
        let took = self.count("stream");
        event::emit_json(
            event::Event::RequestDone,
            &[
                event::field("request", &self.received.facts.id),
                event::field("endpoint", &self.target.endpoint),
                event::field("events", &self.events),
                event::field("took", &took),
            ],
        );
    }

    fn log_left(&self) {
        let took = self.count("left");
        event::emit_json(
            event::Event::CallerGone,
            &[
                event::field("request", &self.received.facts.id),
                event::field("events", &self.events),
                event::field("took", &took),
            ],
        );
    }

    fn log_resumed(&self, why: &str) {
        event::emit_json(
            event::Event::StreamResumed,
            &[
                event::field("request", &self.received.facts.id),
                event::field("endpoint", &self.target.endpoint),
                event::field("events", &self.events),
                event::field("why", &why),
            ],
        );
    }

    fn log_broken(&self, why: &str) {
        let took = self.count("broken");
        event::emit_json(
            event::Event::StreamBroken,
            &[
                event::field("request", &self.received.facts.id),
                event::field("endpoint", &self.target.endpoint),
                event::field("events", &self.events),
                event::field("sends", &self.sends),
                event::field("took", &took),
                event::field("why", &why),
            ],
        );
    }
}

fn rfind(buffer: &[u8]) -> Option<usize> {
    buffer.windows(SEPARATOR.len()).rposition(|found| found == SEPARATOR)
}
