//! Forwards streamed responses event by event. A stream that breaks is resumed at another endpoint
//! after the last complete event, within the same response to the caller.

use std::cell::Cell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ibishill_adapter::head;
use ibishill_core::{event, id, time};
use ibishill_decide::balance::{doubt, speed};
use ibishill_decide::rollout::pace;
use ibishill_decide::{canary, outlier};
use tokio::sync::mpsc;
use tokio::time as clock;

use crate::attempt::{self, AttemptGuard, Outcome, StreamStart};
use crate::body::{self, Body, Incomplete};
use crate::context::Shared;
use crate::request::{Destination, Received};
use crate::{
    cold_check, continuation, early_end, event_sequence, hop, isolation, retry_budget, selection,
    unread,
};

/// Least time for a caller to take what was forwarded before its stream is broken off; at the route's timeout the
/// connection of one that has not is closed.
const BREAK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without data after which a stream is resumed elsewhere, in percent of the route's latency
/// target; callers leave after four times the target.
const IDLE_TIMEOUT_PERCENT: u64 = 100;

/// Minimum of this time, in milliseconds; callers leave after two seconds at the earliest.
const IDLE_TIMEOUT_MIN_MS: u64 = 1_800;

/// Maximum size of an incomplete event in the buffer, in bytes.
const EVENT_MAX: usize = 64 * 1_024;

/// Returns a response that forwards a stream; a task resumes it as needed.
///
/// `sends` is the number of attempts so far.
pub(crate) fn forward(
    context: &Shared,
    received: Received,
    start: StreamStart,
    sends: u32,
) -> Response<Body> {
    let (sender, chunks) = mpsc::channel(unread::CHUNKS_MAX);
    let mut response = Response::new(body::stream(chunks));
    *response.status_mut() = start.head.status();
    *response.headers_mut() = head::end_to_end(start.head.headers());
    let sequence = event_sequence::EventSequence::after(received.metadata.last_event);
    let answer = unread::Answer::begin(&received.metadata.id, &received.abort);
    let forwarder = Forwarder {
        answer,
        context: context.clone(),
        received,
        destination: start.destination.clone(),
        sender,
        sequence,
        sends,
        events: 0,
        paused: (context.now(), time::Millis(0)),
        beginning: early_end::Beginning::at(context.now()),
        tried: Vec::new(),
    };
    tokio::task::spawn_local(forwarder.run(start));
    response
}

struct Forwarder {
    answer: unread::Answer,
    context: Shared,
    received: Received,
    /// Where the stream comes from.
    destination: Destination,
    sender: mpsc::Sender<Result<Bytes, Incomplete>>,
    /// Events that the caller has.
    sequence: event_sequence::EventSequence,
    /// Attempts so far.
    sends: u32,
    /// Events forwarded so far.
    events: u64,
    /// When the last event arrived, and the longest time between two of them.
    paused: (time::Tick, time::Millis),
    /// How the answer of the present endpoint has begun.
    beginning: early_end::Beginning,
    tried: Vec<id::EndpointId>,
}

/// How the stream from one endpoint ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The connection was closed or reset before the end; the text says how.
    Cut(String),
    /// The stream is not valid or has timed out; the text says how.
    Broken(String),
    /// The route's timeout has passed; a caller's own deadline does not end an answer that goes on.
    Late {
        /// Whether the endpoint had been silent for so long that the stream would have been resumed
        /// elsewhere.
        is_silent: bool,
    },
}

impl Forwarder {
    async fn run(mut self, start: StreamStart) {
        let mut start = start;
        let mut is_continued = false;
        loop {
            let StreamStart { head, body, is_until_close, connection, guard, destination, .. } =
                start;
            let mut guard = guard;
            self.sequence.begin_answer(is_continued, continuation::is_declared(&head));
            self.destination = destination;
            self.beginning = early_end::Beginning::at(self.context.now());
            let end = self.forward_events(body, is_until_close, guard.as_mut()).await;
            // Closes the connection, so that the endpoint stops before the stream is resumed
            // elsewhere.
            drop(connection);
            drop(guard);
            if let (End::Cut(_), Some(target)) = (&end, self.destination.target()) {
                if self.beginning.is_early(self.context.now()) {
                    early_end::check(&self.context, &self.received, &target.endpoint);
                }
                early_end::check_exposures(&self.context, &self.received, &target.endpoint).await;
            }
            match end {
                End::Complete => {
                    self.log_done();
                    let Self { context, answer, sender, received, .. } = self;
                    drop(sender);
                    // Its body is not needed while the caller reads the rest.
                    drop(received);
                    return context.unread.drained(&answer).await;
                }
                End::CallerLeft => return self.log_caller_left(),
                // Boxed, so that streams that do not break have no memory for attempts.
                End::Cut(detail) | End::Broken(detail) => match Box::pin(self.resume(detail)).await
                {
                    Some(next) => (start, is_continued) = (next, true),
                    None => return self.break_off().await,
                },
                End::Late { is_silent } => {
                    if is_silent {
                        self.record_break();
                    }
                    self.log_broken("the route's timeout has passed");
                    return self.break_off().await;
                }
            }
        }
    }

    // Ends the response so that the caller does not take it for complete.
    async fn break_off(&self) {
        let end = self.received.arrived + self.received.route.timeout;
        let limit = end.since(self.context.now()).to_std().max(BREAK_TIMEOUT);
        let taken = async {
            // Fails at once if the caller has disconnected.
            let _sent = self.sender.send(Err(Incomplete)).await;
            self.sender.closed().await;
        };
        if clock::timeout(limit, taken).await.is_err() {
            self.received.abort.request();
        }
    }

    async fn forward_events(
        &mut self,
        mut body: Incoming,
        is_until_close: bool,
        mut guard: Option<&mut AttemptGuard>,
    ) -> End {
        let idle_timeout = self.received.route.latency_target.0 * IDLE_TIMEOUT_PERCENT / 100;
        let is_direct = self.destination.target().is_some();
        let patience = if is_direct { 1 } else { u64::from(hop::PATIENCE) };
        let idle_timeout = idle_timeout.max(IDLE_TIMEOUT_MIN_MS) * patience;
        let heard = Cell::new(self.context.now());
        let end = self.received.arrived + self.received.route.timeout;
        let mut late = std::pin::pin!(clock::sleep(end.since(heard.get()).to_std()));
        let mut buffer = BytesMut::new();
        let mut share = self.context.answers.share();
        let mut pace = pace::Pace::default();
        let mut window = speed::Window::default();
        loop {
            let read = async {
                // While the caller holds the stream up, its endpoint is not silent.
                if self.context.unread.ready(&self.answer).await {
                    heard.set(self.context.now());
                }
                clock::timeout(Duration::from_millis(idle_timeout), body.frame()).await
            };
            let frame = tokio::select! {
                frame = read => frame,
                () = self.sender.closed() => return End::CallerLeft,
                () = &mut late => {
                    let silence = self.context.now().since(heard.get());
                    return End::Late { is_silent: silence.0 >= idle_timeout };
                }
                () = self.pace_due(&pace) => {
                    self.measure(&mut pace);
                    continue;
                }
            };
            let data = match frame {
                // A timeout does not end a stream that can't be resumed elsewhere.
                Err(_) if !self.can_resume() => continue,
                Err(_) => return End::Broken(format!("silent for {idle_timeout} ms")),
                Ok(None) if is_until_close && self.has_missed_all() => {
                    return End::Cut("connection ended before the first event".into());
                }
                Ok(None) if buffer.is_empty() => {
                    self.record_survival();
                    return End::Complete;
                }
                Ok(None) => return End::Cut("stream ended inside an event".into()),
                Ok(Some(Err(error))) => return End::Cut(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            heard.set(self.context.now());
            if !share.resize(buffer.len() + data.len()) {
                return End::Broken("an event exceeds the memory left".into());
            }
            buffer.extend_from_slice(&data);
            if let Some(target) = self.destination.target() {
                isolation::record_answer(&self.context, &target.endpoint);
            }
            let Some(size) = event_sequence::complete_events(&buffer) else {
                if buffer.len() > EVENT_MAX {
                    return End::Broken(format!("event exceeds {EVENT_MAX} bytes"));
                }
                continue;
            };
            let mut events = buffer.split_to(size).freeze();
            // What remains gets memory of its own, and the rest is freed with the events.
            buffer = BytesMut::from(&buffer[..]);
            let _fits = share.resize(buffer.len());
            let accepted = self.sequence.accept(&events);
            events.truncate(accepted.length);
            self.record_pause(accepted.numbered);
            self.record_speed(&mut window, accepted.numbered);
            self.events += accepted.numbered;
            if let Some(guard) = guard.as_mut().filter(|_| accepted.numbered > 0) {
                guard.record_first_event();
            }
            (0..accepted.numbered).for_each(|_| self.beginning.record_event());
            self.measure(&mut pace);
            if !self.beginning.is_early(self.context.now()) {
                self.record_survival();
            }
            if !events.is_empty() {
                let events = Bytes::copy_from_slice(&{ events });
                let events = self.context.unread.add(&self.answer, events);
                let sent = tokio::select! {
                    sent = self.sender.send(Ok(events)) => sent,
                    () = &mut late => return End::Late { is_silent: false },
                };
                if sent.is_err() {
                    return End::CallerLeft;
                }
            }
            if let Some(detail) = accepted.fault {
                return End::Broken(detail);
            }
        }
    }

    // Records the speed of the endpoint whenever it shows to be faster than before.
    fn record_speed(&self, window: &mut speed::Window, events: u64) {
        let (before, now) = (window.shortest(), self.context.now());
        window.record(events, now);
        let shortest = window.shortest().filter(|shortest| Some(*shortest) != before);
        if let (Some(shortest), Some(target)) = (shortest, self.destination.target()) {
            self.context.state().balancer.record_speed(&target.endpoint, shortest, now);
        }
    }

    fn record_pause(&mut self, count: u64) {
        let now = self.context.now();
        if count > 0 && self.events > 0 {
            self.paused.1 = self.paused.1.max(now.since(self.paused.0));
        }
        if count > 0 {
            self.paused.0 = now;
        }
    }

    // Whether the present endpoint has sent no event, although the caller lacks some: a caller that
    // resumes may have them all.
    fn has_missed_all(&self) -> bool {
        let is_callers =
            self.sequence.last().is_some() && self.events == 0 && self.tried.is_empty();
        self.beginning.events() == 0 && !is_callers
    }

    // The answer has gone on, so its prompt does not end endpoints.
    fn record_survival(&mut self) {
        if self.beginning.take_survival() && self.destination.target().is_some() {
            let segments = self.received.suspects();
            let (began, now) = (self.beginning.began(), self.context.now());
            self.context.state().record_going_on(&segments, began, now);
        }
    }

    async fn pace_due(&self, pace: &pace::Pace) {
        match pace.due() {
            Some(at) => clock::sleep(at.since(self.context.now()).to_std()).await,
            None => std::future::pending().await,
        }
    }

    // Counts the pace for a roll-out once it is known.
    fn measure(&self, pace: &mut pace::Pace) {
        if let Some(took) = pace.record(self.events, self.context.now())
            && let Some(target) = self.destination.target()
        {
            attempt::record_pace(&self.context, &self.received, target, took);
        }
    }

    // Whether the stream could be resumed at another endpoint.
    fn can_resume(&self) -> bool {
        let is_allowed = self.received.route.kind.may_retry()
            && self.sends < self.received.route.max_attempts
            && retry_budget::is_available(&self.context, &self.received);
        let target = self.destination.target();
        let model = target.and_then(|target| target.model.as_ref());
        let tried = target.map_or(&[][..], |target| std::slice::from_ref(&target.endpoint));
        let next =
            selection::choose(&self.context, &self.received, tried, model, self.sequence.last());
        let may_hop = self.received.hop.is_none();
        is_allowed
            && match next {
                selection::Choice::Send(_) => true,
                selection::Choice::OutOfReach => may_hop,
                _ => false,
            }
    }

    async fn resume(&mut self, detail: String) -> Option<StreamStart> {
        self.record_break();
        if !self.sequence.can_continue() {
            self.log_broken(&format!("{detail}; events without an id can't be continued"));
            return None;
        }
        let kind = self.received.route.kind;
        let mut why = detail;
        let mut is_granted = false;
        loop {
            let target = self.destination.target();
            self.tried.extend(target.map(|target| target.endpoint.clone()));
            let model = target.and_then(|target| target.model.clone());
            let is_allowed = kind.may_retry() && self.sends < self.received.route.max_attempts;
            let remaining = self.received.remaining(self.context.now());
            if !is_allowed
                || remaining.0 == 0
                || !(std::mem::take(&mut is_granted)
                    || retry_budget::acquire(
                        &self.context,
                        &self.received,
                        retry_budget::Retry::Cut,
                    ))
            {
                self.log_broken(&why);
                return None;
            }
            let next = selection::choose(
                &self.context,
                &self.received,
                &self.tried,
                model.as_ref(),
                self.sequence.last(),
            );
            let can_retry = self.sends + 1 < self.received.route.max_attempts;
            let outcome = match next {
                selection::Choice::Send(target) => {
                    self.destination = Destination::Endpoint(target.clone());
                    let outcome =
                        attempt::run(&self.context, &self.received, &target, can_retry).await;
                    is_granted = matches!(outcome, Outcome::Unresponsive);
                    outcome
                }
                selection::Choice::OutOfReach if self.received.hop.is_none() => {
                    let grant = hop::Grant::one(&self.received, self.sends);
                    hop::run(&self.context, &self.received, self.sequence.last(), grant).await
                }
                selection::Choice::TooLate(least) => {
                    selection::log_too_late(&self.context, &self.received, "resumed", least);
                    self.log_broken(&why);
                    return None;
                }
                _ => {
                    self.log_broken(&why);
                    return None;
                }
            };
            match outcome {
                Outcome::Stream(start) => {
                    self.sends += 1;
                    if let Err(detail) = continuation::check_head(&start.head) {
                        why = format!("the next endpoint {detail}");
                        continue;
                    }
                    self.log_resumed(&why);
                    return Some(*start);
                }
                Outcome::ConnectFailed | Outcome::NotAttempted => {
                    why = "no connection to the next endpoint".into()
                }
                Outcome::Refused
                | Outcome::Unknown
                | Outcome::TimedOut
                | Outcome::Unresponsive
                | Outcome::Response(_) => {
                    self.sends += 1;
                    why = "the next endpoint could not resume the stream".into();
                }
            }
        }
    }

    fn record_break(&self) {
        let Some(target) = self.destination.target() else { return };
        isolation::record_failure(&self.context, &target.endpoint);
        let entry = self.context.state().balancer.entry(&target.endpoint).cloned();
        if let Some(entry) = entry {
            cold_check::doubt(&self.context, &entry, doubt::Cause::Cut);
        }
        let now = self.context.now();
        let mut state = self.context.state();
        let slow_start = state.slow_start(&self.received.service, now);
        let failed = outlier::Attempt::Failed;
        let span = (self.beginning.began(), now);
        state.balancer.record_attempt(&target.endpoint, failed, None, slow_start, span);
        if !state.balancer.is_out_of_reach(&target.endpoint) {
            let lost = canary::Outcome::Lost;
            attempt::record_for_rollout(&mut state, &self.context, &self.received, target, lost);
        }
    }

    fn record_end(&self, outcome: &'static str) -> time::Millis {
        let took = self.context.now().since(self.received.arrived);
        self.context.metrics.record_end(outcome, took);
        took
    }

    // Time since the last answer of an endpoint began.
    fn began_before(&self) -> time::Millis {
        self.context.now().since(self.beginning.began())
    }

    fn log_done(&self) {
        let took = self.record_end("stream");
        event::emit_json(
            event::Event::RequestDone,
            &[
                event::field("request", &self.received.metadata.id),
                event::field("endpoint", &self.destination),
                event::field("events", &self.events),
                event::field("pause", &self.paused.1),
                event::field("took", &took),
            ],
        );
    }

    fn log_caller_left(&self) {
        let took = self.record_end("left");
        event::emit_json(
            event::Event::CallerGone,
            &[
                event::field("request", &self.received.metadata.id),
                event::field("events", &self.events),
                event::field("took", &took),
            ],
        );
    }

    fn log_resumed(&self, why: &str) {
        event::emit_json(
            event::Event::StreamResumed,
            &[
                event::field("request", &self.received.metadata.id),
                event::field("endpoint", &self.destination),
                event::field("events", &self.events),
                event::field("began", &self.began_before()),
                event::field("why", &why),
            ],
        );
    }

    fn log_broken(&self, why: &str) {
        let took = self.record_end("broken");
        event::emit_json(
            event::Event::StreamBroken,
            &[
                event::field("request", &self.received.metadata.id),
                event::field("endpoint", &self.destination),
                event::field("events", &self.events),
                event::field("sends", &self.sends),
                event::field("took", &took),
                event::field("began", &self.began_before()),
                event::field("why", &why),
            ],
        );
    }
}
