//! Whole answers that are rated before the caller sees them, and asked for again of a
//! costlier version when the rating is low.

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

const BYTES_PER_TOKEN: u64 = 4;
const OUTPUT_TOKENS: u64 = 256;
const RATED_BYTES_MAX: usize = 256 * 1024;
const STATUS_OK: u16 = 200;

/// One run whose answer was not passed on, but is paid for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlierRun {
    /// What ran.
    pub target: id::Target,
    /// Its tokens.
    pub usage: cost::Usage,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Buffered {
    /// Start of the answer.
    pub head: frame::Head,
    /// What ran.
    pub target: id::Target,
    /// How many owners were asked, over all runs.
    pub attempts: u32,
    /// The answer.
    pub body: Bytes,
    /// Its tokens.
    pub usage: cost::Usage,
    /// Earlier runs whose answers were rated low.
    pub earlier: Vec<EarlierRun>,
}

#[derive(Deserialize)]
struct Shape {
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

fn text(body: &[u8]) -> Option<String> {
    let shape: Shape = serde_json::from_slice(body).ok()?;
    shape.choices.into_iter().next()?.message.content
}

/// What to run for a request, in order; more than one only for whole answers.
///
/// A request with a session takes the plan's stable choice, so that a change of what is
/// known moves no session.
pub fn choose(context: &context::Context, asked: &Request, prompt: usize) -> Vec<plan::Selector> {
    let as_asked = vec![asked.selector.clone()];
    if asked.selector != plan::Selector::Auto || asked.session.is_some() {
        return as_asked;
    }
    let config = context.config.get();
    let Some(space) = config.declared.workspaces.get(&asked.workspace) else { return as_asked };
    let found = plan::candidates(&config.declared, &asked.plan_request());
    let candidates: Vec<_> =
        found.into_iter().map(|(name, v)| candidate(name, &v, prompt)).collect();
    let input = cascade::Request {
        workspace: &asked.workspace,
        class: cascade::Class::of(prompt),
        candidates: &candidates,
        target: space.quality_target,
        buffered: !asked.stream,
        remaining: asked.remaining,
        draw: rand::random(),
    };
    let tuning = cascade::Tuning::of(config.declared.policy);
    let now = clock::boot_now();
    let chain = context.ratings.with_estimates(|known| cascade::choose(known, tuning, &input, now));
    chain
        .map_or(as_asked, |chain| chain.versions.into_iter().map(plan::Selector::Version).collect())
}

fn candidate(
    version: id::VersionRef,
    declared: &ibishill_config::declared::Version,
    prompt: usize,
) -> cascade::Candidate {
    let tokens = prompt as u64 / BYTES_PER_TOKEN + 1;
    let price = declared.prompt_price.0 * tokens + declared.output_price.0 * OUTPUT_TOKENS;
    cascade::Candidate { version, price: cost::Micros(price), quality: declared.quality }
}

/// Runs a request to its whole answer; escalates while ratings are low.
///
/// # Errors
///
/// The request was given up, and no earlier run has an answer to give.
pub async fn buffered<B>(
    context: &Arc<context::Context>,
    asked: &Request,
    prompt: &str,
    body: B,
) -> Result<Buffered, Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let chain = choose(context, asked, prompt.len());
    let began = clock::boot_now();
    let mut best: Option<Buffered> = None;
    let mut attempts = 0;
    for (step, wanted) in chain.iter().enumerate() {
        let last = step + 1 == chain.len();
        let left = self::left(asked, began);
        let run = Request { selector: wanted.clone(), remaining: left, ..asked.clone() };
        let done = match once(context, &run, &body).await {
            Ok(done) => done,
            Err(given_up) => {
                attempts += given_up.attempts;
                let again = given_up.refusal.outcome == outcome::Outcome::NotRun && !last;
                match best {
                    // The low answer that there is goes before none.
                    Some(best) => return Ok(Buffered { attempts, ..best }),
                    None if again => continue,
                    None => return Err(Failure { attempts, ..given_up }),
                }
            }
        };
        attempts += done.attempts;
        let escalated = best.is_some();
        let next = follow(best.take(), Buffered { attempts, ..done });
        let Some(job) = whole_job(asked, prompt, &next, escalated) else { return Ok(next) };
        if last {
            context.ratings.rate_later(ratings::Job { delivered: true, ..job });
            return Ok(next);
        }
        match context.ratings.rate(&job, self::left(asked, began)).await {
            // Without time for another run the low answer is all there is.
            Some(false) if is_short(context, asked, began, &chain[step + 1]) => {
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
        refusal: outcome::Refusal::not_run(outcome::Reason::NoEndpoint, "no version to ask"),
        attempts,
    })
}

fn left(asked: &Request, began: time::Tick) -> time::Millis {
    time::Millis(asked.remaining.0.saturating_sub(clock::boot_now().since(began).0))
}

fn is_short(
    context: &context::Context,
    asked: &Request,
    began: time::Tick,
    next: &plan::Selector,
) -> bool {
    let plan::Selector::Version(version) = next else { return false };
    let needed = context.ratings.with_estimates(|known| known.run_time(version));
    (left(asked, began).0 as f64) < needed
}

fn follow(before: Option<Buffered>, mut next: Buffered) -> Buffered {
    if let Some(before) = before {
        next.earlier = before.earlier;
        next.earlier.push(EarlierRun { target: before.target, usage: before.usage });
    }
    next
}

async fn once<B>(
    context: &Arc<context::Context>,
    asked: &Request,
    body: &B,
) -> Result<Buffered, Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let began = clock::boot_now();
    let mut answer = super::start(context, asked, body).await?;
    let (body, usage) = collect(&mut answer, context.settings.limits.answer).await?;
    if let id::Target::Version(version) = &answer.target {
        let took = clock::boot_now().since(began);
        context.ratings.with_estimates(|known| known.record_run(version, took));
    }
    let Answer { head, target, attempts, .. } = answer;
    Ok(Buffered { head, target, attempts, body, usage, earlier: Vec::new() })
}

async fn collect(answer: &mut Answer, most: u64) -> Result<(Bytes, cost::Usage), Failure> {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await {
            Next::Chunk(chunk) => body.extend_from_slice(&chunk),
            Next::End(usage) => return Ok((body.freeze(), usage)),
            Next::Failed(refusal) => {
                return Err(Failure { refusal, attempts: answer.attempts });
            }
        }
        if body.len() as u64 > most {
            let detail = format!("an answer may have at most {most} bytes");
            let refusal = outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail);
            return Err(Failure { refusal, attempts: answer.attempts });
        }
    }
}

/// Starts a streamed request; its one version is chosen at once, as a stream that has
/// begun can't be taken back.
///
/// # Errors
///
/// The request was given up before its answer began.
pub async fn stream<B>(
    context: &Arc<context::Context>,
    asked: &Request,
    prompt: &str,
    body: B,
) -> Result<(Answer, Recorder), Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let chosen = choose(context, asked, prompt.len()).into_iter().next();
    let run = Request { selector: chosen.unwrap_or(plan::Selector::Auto), ..asked.clone() };
    let answer = super::start(context, &run, body).await?;
    let listener = Recorder {
        asked: asked.clone(),
        prompt: prompt.to_owned(),
        target: answer.target.clone(),
        events: BytesMut::new(),
        whole: true,
    };
    Ok((answer, listener))
}

/// Gathers a stream's text, so that it can be rated afterwards.
pub struct Recorder {
    asked: Request,
    prompt: String,
    target: id::Target,
    events: BytesMut,
    whole: bool,
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
    /// Takes in a part of the stream; a stream that grows too long is not rated.
    pub fn record(&mut self, chunk: &Bytes) {
        self.whole &= self.events.len() + chunk.len() <= RATED_BYTES_MAX;
        if self.whole {
            self.events.extend_from_slice(chunk);
        }
    }

    /// Has the answer rated once it was given in full.
    pub fn finish(&self, ratings: &ratings::Handle) {
        if !self.whole {
            return;
        }
        let events = String::from_utf8_lossy(&self.events);
        let data = events.lines().filter_map(|line| line.strip_prefix("data:"));
        let parsed = data.filter_map(|data| serde_json::from_str::<Event>(data).ok());
        let deltas = parsed.flat_map(|event| event.choices);
        let answer = deltas.filter_map(|choice| choice.delta.content).collect();
        if let Some(job) = job(&self.asked, &self.prompt, &self.target, answer, false) {
            ratings.rate_later(ratings::Job { delivered: true, ..job });
        }
    }
}

fn whole_job(
    asked: &Request,
    prompt: &str,
    whole: &Buffered,
    escalated: bool,
) -> Option<ratings::Job> {
    let ratable = whole.head.status == STATUS_OK && whole.body.len() <= RATED_BYTES_MAX;
    let answer = ratable.then(|| text(&whole.body)).flatten()?;
    job(asked, prompt, &whole.target, answer, escalated)
}

// None if there is nothing to rate.
fn job(
    asked: &Request,
    prompt: &str,
    target: &id::Target,
    answer: String,
    escalated: bool,
) -> Option<ratings::Job> {
    let id::Target::Version(version) = target else { return None };
    let request = rating::Request {
        request: asked.request.clone(),
        workspace: asked.workspace.clone(),
        version: version.clone(),
        prompt: prompt.to_owned(),
        answer,
    };
    let key = evidence::Key {
        workspace: asked.workspace.clone(),
        class: cascade::Class::of(prompt.len()),
        version: version.clone(),
        escalated,
    };
    Some(ratings::Job { request, key, delivered: false })
}
