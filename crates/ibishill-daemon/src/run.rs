//! The owner's side of a request: admission, dispatch, and a verified answer.

use std::sync::Arc;

use bytes::Bytes;
use ibishill_core::{clock, event, id, outcome};
use ibishill_decide::{admit, cold};
use ibishill_endpoint::{call, client, failure, sse};
use ibishill_peer::frame;
use tokio::sync::mpsc;

use crate::{context, router};

const FRAME_SLOTS: usize = 64;

type Frames = mpsc::Sender<frame::Frame>;

/// Runs `work` at an endpoint of this daemon; the receiver gets the answer's frames.
///
/// Dropping the receiver cancels the request at the endpoint.
pub fn run(context: &Arc<context::Context>, work: frame::Work) -> mpsc::Receiver<frame::Frame> {
    let (sender, receiver) = mpsc::channel(FRAME_SLOTS);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        // A receiver that is gone ends the work, and with it the endpoint's connection.
        tokio::select! {
            biased;
            () = sender.closed() => {}
            refusal = work_on(&context, work, &sender) => {
                if let Err(refusal) = refusal {
                    let _left = sender.send(frame::Frame::Failed(refusal)).await;
                }
            }
        }
    });
    receiver
}

async fn work_on(
    context: &context::Context,
    work: frame::Work,
    frames: &Frames,
) -> Result<(), outcome::Refusal> {
    let is_chat = matches!(work.target, id::Target::Version(_));
    // A successor counts on the end of all work after this time.
    let left = work.left.min(context.settings.limits.deadline);
    let deadline = clock::boot_now() + left;
    let prompt = cold::Prompt(u32::try_from(work.body.len()).unwrap_or(u32::MAX));
    let job = admit::Job {
        request: work.request.clone(),
        workspace: work.workspace.clone(),
        target: work.target.clone(),
        prefix: work.prefix,
        priority: work.priority,
        prompt: (is_chat && work.stream).then_some(prompt),
        deadline,
    };
    let mut permit = context.router.admit(job).await?;
    let now = clock::boot_now();
    context.lease.guard().check(now)?;
    let address = permit.admission().address;
    let call = call::Call {
        request: work.request.clone(),
        method: work.method.clone(),
        path: work.path.clone(),
        content: work.content.clone(),
        body: work.body.clone(),
        left: deadline.since(now),
        idle: context.settings.limits.idle,
    };
    let endpoint = permit.admission().endpoint.clone();
    let sent = context.endpoints.send(address, call).await;
    let answer = sent.map_err(|failure| failed(&mut permit, &failure))?;
    permit.first();
    if answer.status >= 500 {
        permit.ended(cold::Answer::Bad);
        let detail = format!("endpoint {endpoint} answered with status {}", answer.status);
        return Err(outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail));
    }
    let head = frame::Head {
        status: answer.status,
        content: answer.content.clone(),
        endpoint: endpoint.clone(),
        zone: context.place.zone.clone(),
    };
    if frames.send(frame::Frame::Head(head)).await.is_err() {
        return Ok(());
    }
    let passed = match (is_chat, work.stream && answer.status == 200) {
        (true, true) => pass_events(answer, work.show_usage, frames).await,
        (true, false) => pass_whole(answer, frames).await,
        (false, _) => pass_bytes(answer, frames).await,
    };
    let end = passed.map_err(|failure| failed(&mut permit, &failure))?;
    finish(&mut permit, end, frames).await;
    Ok(())
}

async fn finish(permit: &mut router::Permit, end: frame::End, frames: &Frames) {
    permit.ended(cold::Answer::Good);
    let _left = frames.send(frame::Frame::End(end)).await;
}

fn failed(permit: &mut router::Permit, failure: &failure::Failure) -> outcome::Refusal {
    permit.ended(match failure {
        failure::Failure::Unreachable { .. } | failure::Failure::Cut { .. } => cold::Answer::Cut,
        failure::Failure::Crossed { .. } => cold::Answer::Bad,
    });
    let endpoint = &permit.admission().endpoint;
    let fields = [event::field("endpoint", endpoint), event::field("error", failure)];
    event::emit(event::Event::EndpointFailed, &fields);
    let detail = format!("endpoint {endpoint}: {failure}");
    match failure {
        failure::Failure::Unreachable { .. } => {
            outcome::Refusal::not_run(outcome::Reason::EndpointFailed, detail)
        }
        failure::Failure::Cut { .. } | failure::Failure::Crossed { .. } => {
            outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail)
        }
    }
}

fn caller_left() -> failure::Failure {
    failure::Failure::Cut { detail: "the caller left".into() }
}

async fn pass(frames: &Frames, chunk: Bytes) -> Result<u64, failure::Failure> {
    let length = chunk.len() as u64;
    frames.send(frame::Frame::Chunk(chunk)).await.map_err(|_| caller_left())?;
    Ok(length)
}

async fn pass_bytes(
    mut answer: client::Answer,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut end = frame::End { usage: Default::default(), bytes: 0 };
    while let Some(chunk) = answer.next().await? {
        end.bytes += pass(frames, chunk).await?;
    }
    Ok(end)
}

async fn pass_whole(
    mut answer: client::Answer,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let is_error = answer.status >= 400;
    let mut body = Vec::new();
    while let Some(chunk) = answer.next().await? {
        body.extend_from_slice(&chunk);
    }
    let usage = if is_error { Default::default() } else { sse::whole_usage(&body)? };
    let bytes = pass(frames, Bytes::from(body)).await?;
    Ok(frame::End { usage, bytes })
}

async fn pass_events(
    answer: client::Answer,
    show_usage: bool,
    frames: &Frames,
) -> Result<frame::End, failure::Failure> {
    let mut events = sse::Events::new(answer);
    let mut bytes = 0;
    loop {
        match events.next().await? {
            sse::Part::Event(text) => bytes += pass(frames, text).await?,
            sse::Part::Usage(text) if show_usage => bytes += pass(frames, text).await?,
            sse::Part::Usage(_) => {}
            sse::Part::End(text) => {
                bytes += pass(frames, text).await?;
                return Ok(frame::End { usage: events.usage(), bytes });
            }
        }
    }
}
