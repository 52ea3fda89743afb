//! Cascade: a buffered answer is rated before the caller gets it, and the request is run
//! again on a costlier version if the rating is low.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use ibishill_core::{clock, cost, id, outcome, time};
use ibishill_decide::cascade::{self, evidence};
use ibishill_decide::plan;
use ibishill_peer::frame;
use ibishill_platform::rating;
use serde::Deserialize;

use super::{Answer, Failure, Next, Request};
use crate::{context, ratings};

const ESTIMATED_BYTES_PER_TOKEN: u64 = 4;
const ESTIMATED_OUTPUT_TOKENS: u64 = 256;
const MAX_RATED_BYTES: usize = 256 * 1024;
const STATUS_OK: u16 = 200;

/// Run whose answer was discarded for a later one; it is billed all the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlierRun {
    /// Model version or service that ran.
    pub target: id::Target,
    /// Tokens of the run.
    pub usage: cost::Usage,
}

/// Complete answer held in memory.
#[derive(Debug, Clone)]
pub struct Buffered {
    /// Status and headers.
    pub head: frame::Head,
    /// Model version or service that ran.
    pub target: id::Target,
    /// Number of owners tried, over all runs.
    pub attempts: u32,
    /// Body of the answer.
    pub body: Bytes,
    /// Tokens of the run that gave this answer.
    pub usage: cost::Usage,
    /// Earlier runs whose answers were rated low.
    pub earlier: Vec<EarlierRun>,
}

#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    message: Message,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Option<String>,
}

fn message_text(body: &[u8]) -> Option<String> {
    let completion: Completion = serde_json::from_slice(body).ok()?;
    completion.choices.into_iter().next()?.message.content
}

/// Chooses the versions to run for a request, in order; more than one only if the answer is
/// buffered.
///
/// A request with a session keeps the planner's stable choice, so that changed estimates
/// move no session.
pub fn choose(context: &context::Context, request: &Request, prompt: usize) -> Vec<plan::Selector> {
    let unchanged = vec![request.selector.clone()];
    if request.selector != plan::Selector::Auto || request.session.is_some() {
        return unchanged;
    }
    let config = context.config.get();
    let Some(workspace) = config.declared.workspaces.get(&request.workspace) else {
        return unchanged;
    };
    let found = plan::candidates(&config.declared, &request.plan_request());
    let candidates: Vec<_> =
        found.into_iter().map(|(name, v)| candidate(name, &v, prompt)).collect();
    let input = cascade::Request {
        workspace: &request.workspace,
        class: cascade::Class::of(prompt),
        candidates: &candidates,
        target: workspace.quality_target,
        buffered: !request.stream,
        remaining: request.remaining,
        draw: rand::random(),
    };
    let tuning = cascade::Tuning::of(config.declared.policy);
    let now = clock::boot_now();
    let chain =
        context.ratings.with_estimates(|estimates| cascade::choose(estimates, tuning, &input, now));
    chain.map_or(unchanged, |chain| {
        chain.versions.into_iter().map(plan::Selector::Version).collect()
    })
}

fn candidate(
    version: id::VersionRef,
    declared: &ibishill_config::declared::Version,
    prompt: usize,
) -> cascade::Candidate {
    let tokens = prompt as u64 / ESTIMATED_BYTES_PER_TOKEN + 1;
    // In thousandths of `Micros`, because declared prices are per 1,000 tokens; the choice uses only
    // ratios and comparisons of prices.
    let price =
        declared.prompt_price.0 * tokens + declared.output_price.0 * ESTIMATED_OUTPUT_TOKENS;
    cascade::Candidate { version, price: cost::Micros(price), quality: declared.quality }
}

/// Runs a request to its complete answer and escalates while the rating is low.
///
/// # Errors
///
/// Fails if no run gave an answer.
pub async fn buffered<B>(
    context: &Arc<context::Context>,
    request: &Request,
    prompt: &str,
    body: B,
) -> Result<Buffered, Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let chain = choose(context, request, prompt.len());
    let start = clock::boot_now();
    let mut best: Option<Buffered> = None;
    let mut attempts = 0;
    for (step, selector) in chain.iter().enumerate() {
        let is_last = step + 1 == chain.len();
        let remaining = self::remaining(request, start);
        let run = Request { selector: selector.clone(), remaining, ..request.clone() };
        let answer = match run_once(context, &run, &body).await {
            Ok(answer) => answer,
            Err(failure) => {
                attempts += failure.attempts;
                let may_continue = failure.refusal.outcome == outcome::Outcome::NotRun && !is_last;
                match best {
                    // A low-rated answer is better than none.
                    Some(best) => return Ok(Buffered { attempts, ..best }),
                    None if may_continue => continue,
                    None => return Err(Failure { attempts, ..failure }),
                }
            }
        };
        attempts += answer.attempts;
        let escalated = best.is_some();
        let next = append_run(best.take(), Buffered { attempts, ..answer });
        let Some(job) = buffered_job(request, prompt, &next, escalated) else { return Ok(next) };
        if is_last {
            context.ratings.rate_later(ratings::Job { delivered: true, ..job });
            return Ok(next);
        }
        match context.ratings.rate(&job, self::remaining(request, start)).await {
            // There is no time for another run, so the low-rated answer is delivered.
            Some(false) if lacks_time(context, request, start, &chain[step + 1]) => {
                context.ratings.record_delivery(&job, false);
                return Ok(next);
            }
            Some(false) => best = Some(next),
            Some(true) => {
                context.ratings.record_delivery(&job, true);
                return Ok(next);
            }
            None => return Ok(next),
        }
    }
    best.ok_or_else(|| Failure {
        refusal: outcome::Refusal::not_run(outcome::Reason::NoEndpoint, "no version is available"),
        attempts,
    })
}

fn remaining(request: &Request, start: time::Tick) -> time::Millis {
    time::Millis(request.remaining.0.saturating_sub(clock::boot_now().since(start).0))
}

fn lacks_time(
    context: &context::Context,
    request: &Request,
    start: time::Tick,
    next: &plan::Selector,
) -> bool {
    let plan::Selector::Version(version) = next else { return false };
    let needed = context.ratings.with_estimates(|estimates| estimates.run_time(version));
    (remaining(request, start).0 as f64) < needed
}

fn append_run(before: Option<Buffered>, mut next: Buffered) -> Buffered {
    if let Some(before) = before {
        next.earlier = before.earlier;
        next.earlier.push(EarlierRun { target: before.target, usage: before.usage });
    }
    next
}

async fn run_once<B>(
    context: &Arc<context::Context>,
    request: &Request,
    body: &B,
) -> Result<Buffered, Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let start = clock::boot_now();
    let mut answer = super::start(context, request, body).await?;
    let (body, usage) = collect(&mut answer, context.settings.limits.answer).await?;
    if let id::Target::Version(version) = &answer.target {
        let elapsed = clock::boot_now().since(start);
        context.ratings.with_estimates(|estimates| estimates.record_run(version, elapsed));
    }
    let Answer { head, target, attempts, .. } = answer;
    Ok(Buffered { head, target, attempts, body, usage, earlier: Vec::new() })
}

async fn collect(answer: &mut Answer, max_bytes: u64) -> Result<(Bytes, cost::Usage), Failure> {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await {
            Next::Chunk(chunk) => body.extend_from_slice(&chunk),
            Next::End(usage) => return Ok((body.freeze(), usage)),
            Next::Failed(refusal) => {
                return Err(Failure { refusal, attempts: answer.attempts });
            }
        }
        if body.len() as u64 > max_bytes {
            let detail = format!("an answer may have at most {max_bytes} bytes");
            let refusal = outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail);
            return Err(Failure { refusal, attempts: answer.attempts });
        }
    }
}

/// Starts a streamed request on a single version: a stream that has begun can't be
/// replaced by another run.
///
/// # Errors
///
/// Fails if no owner began an answer.
pub async fn stream<B>(
    context: &Arc<context::Context>,
    request: &Request,
    prompt: &str,
    body: B,
) -> Result<(Answer, Recorder), Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let chosen = choose(context, request, prompt.len()).into_iter().next();
    let run = Request { selector: chosen.unwrap_or(plan::Selector::Auto), ..request.clone() };
    let answer = super::start(context, &run, body).await?;
    let recorder = Recorder {
        request: request.clone(),
        prompt: prompt.to_owned(),
        target: answer.target.clone(),
        events: BytesMut::new(),
        is_complete: true,
    };
    Ok((answer, recorder))
}

/// Records the text of a stream, so that it can be rated afterwards.
pub struct Recorder {
    request: Request,
    prompt: String,
    target: id::Target,
    events: BytesMut,
    is_complete: bool,
}

#[derive(Deserialize)]
struct Event {
    choices: Vec<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    delta: Message,
}

impl Recorder {
    /// Records a chunk; a stream that grows too long is not rated.
    pub fn record(&mut self, chunk: &Bytes) {
        self.is_complete &= self.events.len() + chunk.len() <= MAX_RATED_BYTES;
        if self.is_complete {
            self.events.extend_from_slice(chunk);
        }
    }

    /// Queues the answer for rating; called once the caller has got it in full.
    pub fn finish(&self, ratings: &ratings::Handle) {
        if !self.is_complete {
            return;
        }
        let events = String::from_utf8_lossy(&self.events);
        let data = events.lines().filter_map(|line| line.strip_prefix("data:"));
        let parsed = data.filter_map(|data| serde_json::from_str::<Event>(data).ok());
        let deltas = parsed.flat_map(|event| event.choices);
        let answer = deltas.filter_map(|choice| choice.delta.content).collect();
        if let Some(job) = job(&self.request, &self.prompt, &self.target, answer, false) {
            ratings.rate_later(ratings::Job { delivered: true, ..job });
        }
    }
}

fn buffered_job(
    request: &Request,
    prompt: &str,
    answer: &Buffered,
    escalated: bool,
) -> Option<ratings::Job> {
    let ratable = answer.head.status == STATUS_OK && answer.body.len() <= MAX_RATED_BYTES;
    let text = ratable.then(|| message_text(&answer.body)).flatten()?;
    job(request, prompt, &answer.target, text, escalated)
}

// Returns none for a plain service, whose answers are not rated.
fn job(
    request: &Request,
    prompt: &str,
    target: &id::Target,
    answer: String,
    escalated: bool,
) -> Option<ratings::Job> {
    let id::Target::Version(version) = target else { return None };
    let request = rating::Request {
        request: request.request.clone(),
        workspace: request.workspace.clone(),
        version: version.clone(),
        prompt: prompt.to_owned(),
        answer,
    };
    let key = evidence::Key {
        workspace: request.workspace.clone(),
        class: cascade::Class::of(prompt.len()),
        version: version.clone(),
        escalated,
    };
    Some(ratings::Job { request, key, delivered: false })
}
