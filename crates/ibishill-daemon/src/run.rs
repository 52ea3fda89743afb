//! Owner's side of a request: admission, dispatch, and verification of the answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use ibishill_config::change;
use ibishill_core::{clock, event, header, id, outcome, time, view};
use ibishill_decide::{admit, limiter, owner};
use ibishill_endpoint::{call, client, failure, sse};
use ibishill_peer::frame;
use tokio::sync::mpsc;

use crate::{context, heartbeat, router};

const FRAME_SLOTS: usize = 64;

/// Largest chunk of a buffered answer in one frame, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

const PRIORITY_HEADER: &str = "x-ibishill-priority";

/// Sends frames with an idle timeout per frame.
struct Frames {
    sender: mpsc::Sender<frame::Frame>,
    idle: time::Millis,
    // Whether the receiver left or did not accept a frame in time.
    stalled: AtomicBool,
}

impl Frames {
    /// Sends a frame; returns whether the receiver accepted it in time.
    async fn send(&self, frame: frame::Frame) -> bool {
        let sent = tokio::time::timeout(self.idle.to_std(), self.sender.send(frame)).await;
        let accepted = matches!(sent, Ok(Ok(())));
        if !accepted {
            self.stalled.store(true, Ordering::Relaxed);
        }
        accepted
    }
}

/// Runs `request` at an endpoint of this daemon and returns the receiver of the answer's frames.
///
/// Dropping the receiver cancels the request at the endpoint.
pub fn run(
    context: &Arc<context::Context>,
    request: frame::Request,
) -> mpsc::Receiver<frame::Frame> {
    run_for(context, request, None)
}

/// Runs `request` as `run` does, on behalf of the daemon `caller` if there is one.
///
/// If the request was planned under a newer configuration, waits for that, within a limit.
pub fn run_for(
    context: &Arc<context::Context>,
    request: frame::Request,
    caller: Option<frame::Caller>,
) -> mpsc::Receiver<frame::Frame> {
    let (sender, receiver) = mpsc::channel(FRAME_SLOTS);
    let context = Arc::clone(context);
    let frames = Frames {
        sender: sender.clone(),
        idle: context.settings.limits.idle,
        stalled: AtomicBool::new(false),
    };
    let arrived = clock::boot_now();
    let guard = context.lifecycle.start_work();
    tokio::spawn(async move {
        let _guard = guard;
        // A dropped receiver cancels the work and closes the endpoint's connection.
        tokio::select! {
            biased;
            () = sender.closed() => {}
            refusal = catch_up_and_serve(&context, request, caller, arrived, &frames) => {
                if let Err(refusal) = refusal {
                    let _taken = frames.send(frame::Frame::Failed(refusal)).await;
                }
            }
        }
    });
    receiver
}

async fn catch_up_and_serve(
    context: &Arc<context::Context>,
    request: frame::Request,
    caller: Option<frame::Caller>,
    arrived: time::Tick,
    frames: &Frames,
) -> Result<(), outcome::Refusal> {
    catch_up(context, &request, caller).await?;
    serve(context, request, arrived, frames).await
}

// Catches up with the configuration that the entry daemon planned under; otherwise a newly
// declared target would be refused as unknown.
async fn catch_up(
    context: &Arc<context::Context>,
    request: &frame::Request,
    caller: Option<frame::Caller>,
) -> Result<(), outcome::Refusal> {
    let required = change::ConfigVersion(request.config);
    if context.config.get().version >= required {
        return Ok(());
    }
    context.refresh.request();
    if let Some(caller) = caller {
        let context = Arc::clone(context);
        tokio::spawn(async move { heartbeat::pull_from(&context, &caller).await });
    }
    let remaining = request.remaining.min(context.settings.limits.deadline);
    let reached = context.refresh.wait_for(required, remaining).await;
    if reached || context.config.get().version >= required {
        return Ok(());
    }
    let detail = format!("{} has no configuration version {required} yet", context.location.vm);
    Err(outcome::Refusal::not_run(outcome::Reason::NotReady, detail)
        .retry_after(time::Millis::from_secs(1)))
}

async fn serve(
    context: &context::Context,
    request: frame::Request,
    arrived: time::Tick,
    frames: &Frames,
) -> Result<(), outcome::Refusal> {
    let is_chat = matches!(request.target, id::Target::Version(_));
    // The next owner relies on all work having ended by this time.
    let deadline = arrived + request.remaining.min(context.settings.limits.deadline);
    let prompt = limiter::PromptBytes(u32::try_from(request.body.len()).unwrap_or(u32::MAX));
    let job = admit::Job {
        request: request.request.clone(),
        workspace: request.workspace.clone(),
        target: request.target.clone(),
        prefix: request.prefix,
        priority: request.priority,
        prompt: (is_chat && request.stream).then_some(prompt),
        deadline,
        tried: request.tried.clone(),
        waits: request.waits,
    };
    let mut permit = context.router.admit(job).await?;
    check_ownership(context, permit.admission())?;
    let address = permit.admission().address;
    let now = clock::boot_now();
    context.lease.lease().check(now)?;
    let remaining = deadline.since(now);
    if remaining == time::Millis(0) {
        let detail = "the deadline passed before the request was dispatched";
        return Err(outcome::Refusal::not_run(outcome::Reason::Deadline, detail));
    }
    let call = call(&request, remaining, context.settings.limits.idle);
    let endpoint = permit.admission().endpoint.clone();
    let sent = context.endpoints.send(address, call).await;
    let answer = sent.map_err(|failure| record_failure(&mut permit, &failure))?;
    permit.record_first_token();
    if is_chat && answer.status >= 500 {
        permit.record_outcome(limiter::Outcome::Failed);
        let detail = format!("endpoint {endpoint} answered with status {}", answer.status);
        let refusal = outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail);
        return Err(refusal.at(endpoint));
    }
    let head = frame::Head {
        status: answer.status,
        content_type: answer.content_type.clone(),
        length: answer.length,
        headers: answer.headers.clone(),
        endpoint: endpoint.clone(),
        zone: context.location.zone.clone(),
        capacity: permit.capacity(),
    };
    if !frames.send(frame::Frame::Head(head)).await {
        return Ok(());
    }
    let is_good = answer.status < 500;
    let forwarded = match (is_chat, request.stream && answer.status == 200) {
        (true, true) => forward_events(answer, request.show_usage, frames).await,
        (true, false) => forward_buffered(answer, context.settings.limits.answer, frames).await,
        (false, _) => forward_bytes(answer, frames).await,
    };
    let end = forwarded.map_err(|failure| {
        // A receiver that left or stalled says nothing about the endpoint.
        if frames.stalled.load(Ordering::Relaxed) {
            let detail = failure.to_string();
            return outcome::Refusal::unknown(outcome::Reason::PeerLost, detail);
        }
        record_failure(&mut permit, &failure)
    })?;
    permit.record_outcome(if is_good { limiter::Outcome::Good } else { limiter::Outcome::Failed });
    let _taken = frames.send(frame::Frame::End(end)).await;
    Ok(())
}

// Last check before dispatch: a daemon that was suspended, or whose zone's view has changed,
// may no longer or not yet own the endpoint.
fn check_ownership(
    context: &context::Context,
    admission: &admit::Admission,
) -> Result<(), outcome::Refusal> {
    let owns = |view: &view::View| {
        owner::owner(view, &admission.endpoint).is_none_or(|owner| owner.vm == context.location.vm)
    };
    if context.membership.admits(clock::boot_now(), owns) {
        return Ok(());
    }
    let detail = format!("endpoint {} is changing its owner", admission.endpoint);
    Err(outcome::Refusal::not_run(outcome::Reason::NotReady, detail)
        .retry_after(time::Millis::from_secs(1)))
}

fn call(request: &frame::Request, remaining: time::Millis, idle: time::Millis) -> call::Call {
    let mut headers = request.headers.clone();
    let kind = match request.target {
        id::Target::Version(_) => {
            headers
                .push(header::Header::new(PRIORITY_HEADER, request.priority.number().to_string()));
            call::Kind::Engine
        }
        id::Target::Service(_) => call::Kind::Service,
    };
    call::Call {
        request: request.request.clone(),
        kind,
        repeat: request.repeat,
        method: request.method.clone(),
        path: request.path.clone(),
        content_type: request.content_type.clone(),
        headers,
        body: request.body.clone(),
        remaining,
        idle_timeout: idle,
    }
}

fn record_failure(permit: &mut router::Permit, failure: &failure::Failure) -> outcome::Refusal {
    match failure {
        failure::Failure::Unreachable { .. } => permit.record_unreachable(),
        failure::Failure::TimedOut => permit.record_timeout(),
        failure::Failure::Incomplete { .. } => {
            permit.record_outcome(limiter::Outcome::Disconnected)
        }
        failure::Failure::RequestIdMismatch { .. }
        | failure::Failure::RequestIdMissing
        | failure::Failure::Fenced { .. } => permit.record_outcome(limiter::Outcome::Failed),
    }
    let endpoint = permit.admission().endpoint.clone();
    let fields = [event::field("endpoint", &endpoint), event::field("error", failure)];
    event::emit(event::Event::EndpointFailed, &fields);
    let detail = format!("endpoint {endpoint}: {failure}");
    let refusal = match failure {
        failure::Failure::Unreachable { .. } => {
            outcome::Refusal::not_run(outcome::Reason::EndpointFailed, detail)
        }
        failure::Failure::TimedOut => outcome::Refusal::unknown(outcome::Reason::Deadline, detail),
        failure::Failure::Incomplete { .. }
        | failure::Failure::RequestIdMismatch { .. }
        | failure::Failure::RequestIdMissing
        | failure::Failure::Fenced { .. } => {
            outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail)
        }
    };
    refusal.at(endpoint)
}

fn caller_left() -> failure::Failure {
    failure::Failure::Incomplete { detail: "the caller left or reads too slowly".into() }
}

async fn forward_chunk(frames: &Frames, chunk: Bytes) -> Result<u64, failure::Failure> {
    let length = chunk.len() as u64;
    if frames.send(frame::Frame::Chunk(chunk)).await { Ok(length) } else { Err(caller_left()) }
}

async fn forward_bytes(
    mut answer: client::Response,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut end = frame::End { usage: Default::default(), bytes: 0 };
    while let Some(chunk) = answer.next().await? {
        end.bytes += forward_chunk(frames, chunk).await?;
    }
    Ok(end)
}

async fn forward_buffered(
    mut answer: client::Response,
    max_bytes: u64,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut body = answer.read_to_end(max_bytes).await?;
    let mut end = frame::End { usage: Default::default(), bytes: 0 };
    if answer.status < 400 {
        end.usage = sse::parse_usage(&answer, &body)?;
    }
    while !body.is_empty() {
        let chunk = body.split_to(body.len().min(CHUNK_BYTES));
        end.bytes += forward_chunk(frames, chunk).await?;
    }
    Ok(end)
}

async fn forward_events(
    answer: client::Response,
    show_usage: bool,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut events = sse::Events::new(answer);
    let mut bytes = 0;
    loop {
        match events.next().await? {
            sse::Event::Chunk(text) => bytes += forward_chunk(frames, text).await?,
            sse::Event::Usage(text) if show_usage => bytes += forward_chunk(frames, text).await?,
            sse::Event::Usage(_) => {}
            sse::Event::Done(text) => {
                bytes += forward_chunk(frames, text).await?;
                return Ok(frame::End { usage: events.usage(), bytes });
            }
        }
    }
}
