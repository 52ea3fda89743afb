//! The owner's side of a request: admission, dispatch, and a verified answer.

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

/// Largest part of an answer in one frame, in bytes.
const PART_BYTES: usize = 64 * 1024;

const PRIORITY: &str = "x-ibishill-priority";

/// Sends frames to a receiver that may not fall silent.
struct Frames {
    sender: mpsc::Sender<frame::Frame>,
    idle: time::Millis,
    // Whether a frame was not taken.
    lost: AtomicBool,
}

impl Frames {
    /// Sends a frame; returns whether it was taken in time.
    async fn send(&self, frame: frame::Frame) -> bool {
        let sent = tokio::time::timeout(self.idle.to_std(), self.sender.send(frame)).await;
        let taken = matches!(sent, Ok(Ok(())));
        if !taken {
            self.lost.store(true, Ordering::Relaxed);
        }
        taken
    }
}

/// Runs `work` at an endpoint of this daemon; the receiver gets the answer's frames.
///
/// Dropping the receiver cancels the request at the endpoint.
pub fn run(context: &Arc<context::Context>, work: frame::Request) -> mpsc::Receiver<frame::Frame> {
    run_for(context, work, None)
}

/// Runs `work` as `run` does, for another daemon if there is a caller.
///
/// A caller that decided under a newer configuration is waited for, within bounds.
pub fn run_for(
    context: &Arc<context::Context>,
    work: frame::Request,
    caller: Option<frame::Caller>,
) -> mpsc::Receiver<frame::Frame> {
    let (sender, receiver) = mpsc::channel(FRAME_SLOTS);
    let context = Arc::clone(context);
    let frames = Frames {
        sender: sender.clone(),
        idle: context.settings.limits.idle,
        lost: AtomicBool::new(false),
    };
    let arrived = clock::boot_now();
    let working = context.lifecycle.start_work();
    tokio::spawn(async move {
        let _working = working;
        // A receiver that is gone ends the work, and with it the endpoint's connection.
        tokio::select! {
            biased;
            () = sender.closed() => {}
            refusal = work_for(&context, work, caller, arrived, &frames) => {
                if let Err(refusal) = refusal {
                    let _taken = frames.send(frame::Frame::Failed(refusal)).await;
                }
            }
        }
    });
    receiver
}

async fn work_for(
    context: &Arc<context::Context>,
    work: frame::Request,
    caller: Option<frame::Caller>,
    arrived: time::Tick,
    frames: &Frames,
) -> Result<(), outcome::Refusal> {
    follow(context, &work, caller).await?;
    work_on(context, work, arrived, frames).await
}

// Catches up with the configuration that the entry daemon decided under. Without it a
// target that is only new would count as missing.
async fn follow(
    context: &Arc<context::Context>,
    work: &frame::Request,
    caller: Option<frame::Caller>,
) -> Result<(), outcome::Refusal> {
    let wanted = change::ConfigVersion(work.config);
    if context.config.get().version >= wanted {
        return Ok(());
    }
    context.refresh.request();
    if let Some(caller) = caller {
        let context = Arc::clone(context);
        tokio::spawn(async move { heartbeat::pull_from(&context, &caller).await });
    }
    let left = work.remaining.min(context.settings.limits.deadline);
    let reached = context.refresh.wait_for(wanted, left).await;
    if reached || context.config.get().version >= wanted {
        return Ok(());
    }
    let detail = format!("{} has no configuration version {wanted} yet", context.location.vm);
    Err(outcome::Refusal::not_run(outcome::Reason::NotReady, detail)
        .retry_after(time::Millis::from_secs(1)))
}

async fn work_on(
    context: &context::Context,
    work: frame::Request,
    arrived: time::Tick,
    frames: &Frames,
) -> Result<(), outcome::Refusal> {
    let is_chat = matches!(work.target, id::Target::Version(_));
    // A successor counts on the end of all work after this time.
    let deadline = arrived + work.remaining.min(context.settings.limits.deadline);
    let prompt = limiter::PromptBytes(u32::try_from(work.body.len()).unwrap_or(u32::MAX));
    let job = admit::Job {
        request: work.request.clone(),
        workspace: work.workspace.clone(),
        target: work.target.clone(),
        prefix: work.prefix,
        priority: work.priority,
        prompt: (is_chat && work.stream).then_some(prompt),
        deadline,
        tried: work.tried.clone(),
        waits: work.waits,
    };
    let mut permit = context.router.admit(job).await?;
    check_standing(context, permit.admission())?;
    let address = permit.admission().address;
    let now = clock::boot_now();
    context.lease.lease().check(now)?;
    let left = deadline.since(now);
    if left == time::Millis(0) {
        let detail = "the deadline passed before the request was dispatched";
        return Err(outcome::Refusal::not_run(outcome::Reason::Deadline, detail));
    }
    let call = call(&work, left, context.settings.limits.idle);
    let endpoint = permit.admission().endpoint.clone();
    let sent = context.endpoints.send(address, call).await;
    let answer = sent.map_err(|failure| failed(&mut permit, &failure))?;
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
    let passed = match (is_chat, work.stream && answer.status == 200) {
        (true, true) => pass_events(answer, work.show_usage, frames).await,
        (true, false) => pass_whole(answer, context.settings.limits.answer, frames).await,
        (false, _) => pass_bytes(answer, frames).await,
    };
    let end = passed.map_err(|failure| {
        // A receiver that left or stalls says nothing about the endpoint.
        if frames.lost.load(Ordering::Relaxed) {
            let detail = failure.to_string();
            return outcome::Refusal::unknown(outcome::Reason::PeerLost, detail);
        }
        failed(&mut permit, &failure)
    })?;
    permit.record_outcome(if is_good { limiter::Outcome::Good } else { limiter::Outcome::Failed });
    let _taken = frames.send(frame::Frame::End(end)).await;
    Ok(())
}

// The last check before dispatch: a daemon that was paused, or whose zone's view has
// moved, may own the endpoint no more or not yet.
fn check_standing(
    context: &context::Context,
    admission: &admit::Admission,
) -> Result<(), outcome::Refusal> {
    let owns = |view: &view::View| {
        owner::owner(view, &admission.endpoint).is_none_or(|owner| owner.vm == context.location.vm)
    };
    if context.membership.admits(clock::boot_now(), owns) {
        return Ok(());
    }
    let detail = format!("ownership of endpoint {} is changing hands", admission.endpoint);
    Err(outcome::Refusal::not_run(outcome::Reason::NotReady, detail)
        .retry_after(time::Millis::from_secs(1)))
}

fn call(work: &frame::Request, left: time::Millis, idle: time::Millis) -> call::Call {
    let mut headers = work.headers.clone();
    let kind = match work.target {
        id::Target::Version(_) => {
            headers.push(header::Header::new(PRIORITY, work.priority.number().to_string()));
            call::Kind::Engine
        }
        id::Target::Service(_) => call::Kind::Service,
    };
    call::Call {
        request: work.request.clone(),
        kind,
        repeat: work.repeat,
        method: work.method.clone(),
        path: work.path.clone(),
        content_type: work.content_type.clone(),
        headers,
        body: work.body.clone(),
        remaining: left,
        idle_timeout: idle,
    }
}

fn failed(permit: &mut router::Permit, failure: &failure::Failure) -> outcome::Refusal {
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

async fn pass(frames: &Frames, chunk: Bytes) -> Result<u64, failure::Failure> {
    let length = chunk.len() as u64;
    if frames.send(frame::Frame::Chunk(chunk)).await { Ok(length) } else { Err(caller_left()) }
}

async fn pass_bytes(
    mut answer: client::Response,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut end = frame::End { usage: Default::default(), bytes: 0 };
    while let Some(chunk) = answer.next().await? {
        end.bytes += pass(frames, chunk).await?;
    }
    Ok(end)
}

async fn pass_whole(
    mut answer: client::Response,
    most: u64,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut body = answer.read_to_end(most).await?;
    let mut end = frame::End { usage: Default::default(), bytes: 0 };
    if answer.status < 400 {
        end.usage = sse::parse_usage(&answer, &body)?;
    }
    while !body.is_empty() {
        let part = body.split_to(body.len().min(PART_BYTES));
        end.bytes += pass(frames, part).await?;
    }
    Ok(end)
}

async fn pass_events(
    answer: client::Response,
    show_usage: bool,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut events = sse::Events::new(answer);
    let mut bytes = 0;
    loop {
        match events.next().await? {
            sse::Event::Chunk(text) => bytes += pass(frames, text).await?,
            sse::Event::Usage(text) if show_usage => bytes += pass(frames, text).await?,
            sse::Event::Usage(_) => {}
            sse::Event::Done(text) => {
                bytes += pass(frames, text).await?;
                return Ok(frame::End { usage: events.usage(), bytes });
            }
        }
    }
}
