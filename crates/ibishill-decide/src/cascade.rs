//! Chooses the versions that answer a request which leaves the choice to the router: a cheap one
//! first, with escalation after a low rating, or a single version.

pub mod evidence;

use ibishill_config::declared;
use ibishill_core::{cost, id, time};

const CHAIN_MAX: usize = 3;
const UNCERTAIN_FACTOR: f64 = 12.0;
const UNCERTAIN_DEVIATIONS: f64 = 3.0;
const DRAW_SCALE: f64 = 1_000_000.0;

/// Size class of a prompt, 0 to 4, which separates easy requests from hard ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(pub u8);

impl Class {
    const FIRST_BYTES: usize = 1_024;
    const LAST: u8 = 4;

    /// The class of a prompt of `bytes`. The first ends at 1 KiB, each further one at four times
    /// the end of the one before, and the last is unbounded.
    pub fn of(bytes: usize) -> Self {
        let mut class = 0;
        let mut edge = Self::FIRST_BYTES;
        while bytes > edge && class < Self::LAST {
            class += 1;
            edge *= 4;
        }
        Self(class)
    }
}

/// Parameters of the cascade, derived from the deployment's policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Share of requests that explore a version at the cheapest price; dearer ones get less.
    pub explore: f64,
    /// Price increase accepted for a shorter expected time, as a share of the lowest price.
    pub premium: f64,
    /// Multiple of the expected time of several runs that must be left until the deadline.
    pub time_factor: f64,
}

impl Tuning {
    /// Returns the parameters of a policy.
    pub const fn of(policy: declared::Policy) -> Self {
        match policy {
            declared::Policy::Latency => Self { explore: 0.02, premium: 0.25, time_factor: 3.0 },
            declared::Policy::Cost => Self { explore: 0.05, premium: 0.0, time_factor: 1.5 },
        }
    }
}

/// A version that may answer a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The version.
    pub version: id::VersionRef,
    /// Expected price of one run.
    pub price: cost::Micros,
    /// Declared share of accepted answers, 0 to 1.
    pub quality: f64,
}

/// The properties of a request that the choice depends on.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The workspace.
    pub workspace: &'a id::WorkspaceId,
    /// Size class of the prompt.
    pub class: Class,
    /// The versions that may answer, in any order.
    pub candidates: &'a [Candidate],
    /// Share of answers that must be accepted, 0 to 1.
    pub target: f64,
    /// Whether the answer is buffered, so that it can be rated before the caller sees it.
    pub buffered: bool,
    /// Time left until the deadline.
    pub remaining: time::Millis,
    /// Uniformly distributed random number that decides on exploration.
    pub draw: u64,
}

/// The versions to run in order; each but the first runs only after a low rating of the one before.
#[derive(Debug, Clone, PartialEq)]
pub struct Chain {
    /// The versions in order, at least one.
    pub versions: Vec<id::VersionRef>,
    /// Whether the chain was chosen to collect ratings.
    pub explores: bool,
}

#[derive(Debug, Clone)]
struct Scored {
    indices: Vec<usize>,
    price: f64,
    // Expected time until the final answer.
    millis: f64,
    // Lower bound of the share of accepted answers.
    quality: f64,
}

/// Chooses the cheapest chain whose lower quality bound meets the target, or a faster one within
/// the price premium of the policy.
///
/// Falls back to the chain of the highest quality if none meets the target, or if the workspace
/// is behind its target in the current window. Returns `None` without candidates.
pub fn choose(
    estimates: &evidence::Estimates,
    tuning: Tuning,
    request: &Request<'_>,
    now: time::Tick,
) -> Option<Chain> {
    let mut sorted: Vec<&Candidate> = request.candidates.iter().collect();
    sorted.sort_by(|a, b| a.price.cmp(&b.price).then_with(|| a.version.cmp(&b.version)));
    let scored = chains(estimates, tuning, request, &sorted, now);
    let name = |indices: &[usize]| indices.iter().map(|&i| sorted[i].version.clone()).collect();
    let best = best_quality(&scored)?;
    if let Some(indices) = explore(estimates, tuning, request, &sorted, best, now) {
        return Some(Chain { versions: name(&indices), explores: true });
    }
    let is_behind = estimates.is_behind(request.workspace, request.target, now);
    let good: Vec<_> =
        scored.iter().filter(|c| c.quality >= request.target && !is_behind).collect();
    let lowest = good.iter().map(|chain| chain.price).fold(f64::INFINITY, f64::min);
    let chosen = good
        .into_iter()
        .filter(|chain| chain.price <= lowest * (1.0 + tuning.premium))
        .min_by(|a, b| a.millis.total_cmp(&b.millis).then_with(|| a.price.total_cmp(&b.price)))
        .unwrap_or(best);
    Some(Chain { versions: name(&chosen.indices), explores: false })
}

fn best_quality(scored: &[Scored]) -> Option<&Scored> {
    scored
        .iter()
        .max_by(|a, b| a.quality.total_cmp(&b.quality).then_with(|| b.price.total_cmp(&a.price)))
}

fn chains(
    estimates: &evidence::Estimates,
    tuning: Tuning,
    request: &Request<'_>,
    sorted: &[&Candidate],
    now: time::Tick,
) -> Vec<Scored> {
    let longest = if request.buffered { CHAIN_MAX } else { 1 };
    let mut found: Vec<Scored> = Vec::new();
    let mut pending: Vec<Vec<usize>> = (0..sorted.len()).map(|index| vec![index]).collect();
    while let Some(indices) = pending.pop() {
        if indices.len() > 1 && !fits_deadline(estimates, tuning, request, sorted, &indices) {
            continue;
        }
        found.push(score(estimates, request, sorted, &indices, now));
        let last = *indices.last().unwrap_or(&0);
        if indices.len() < longest {
            for next in last + 1..sorted.len() {
                let mut longer = indices.clone();
                longer.push(next);
                pending.push(longer);
            }
        }
    }
    found
}

// Whether the deadline leaves time for all runs and the ratings between them.
fn fits_deadline(
    estimates: &evidence::Estimates,
    tuning: Tuning,
    request: &Request<'_>,
    sorted: &[&Candidate],
    indices: &[usize],
) -> bool {
    let runs: f64 = indices.iter().map(|&i| estimates.run_time(&sorted[i].version)).sum();
    let ratings = estimates.rating_time() * (indices.len() - 1) as f64;
    (runs + ratings) * tuning.time_factor <= request.remaining.0 as f64
}

fn score(
    estimates: &evidence::Estimates,
    request: &Request<'_>,
    sorted: &[&Candidate],
    indices: &[usize],
    now: time::Tick,
) -> Scored {
    let response_rate = estimates.response_rate();
    let (mut reach, mut price, mut millis, mut quality) = (1.0, 0.0, 0.0, 0.0);
    for (step, &index) in indices.iter().enumerate() {
        let candidate = sorted[index];
        let estimate =
            estimates.estimate(request.workspace, request.class, candidate, step > 0, now);
        let last = step + 1 == indices.len();
        let rating = if last { 0.0 } else { estimates.rating_time() };
        millis += reach * (estimates.run_time(&candidate.version) + rating);
        price += reach * candidate.price.0 as f64;
        // An answer of low quality escalates only if the rating service responds in time.
        let escalates = if last { 0.0 } else { (1.0 - estimate.mean) * response_rate };
        quality += reach * estimate.lower;
        reach *= escalates;
    }
    Scored { indices: indices.to_vec(), price, millis, quality }
}

fn explore(
    estimates: &evidence::Estimates,
    tuning: Tuning,
    request: &Request<'_>,
    sorted: &[&Candidate],
    best: &Scored,
    now: time::Tick,
) -> Option<Vec<usize>> {
    let draw = (request.draw % DRAW_SCALE as u64) as f64 / DRAW_SCALE;
    let fallback = *best.indices.last()?;
    if !request.buffered || sorted.len() < 2 || draw >= tuning.explore * UNCERTAIN_FACTOR {
        return None;
    }
    let estimate =
        |i: usize| estimates.estimate(request.workspace, request.class, sorted[i], false, now);
    let cost = |i: &usize| {
        let ratings =
            estimates.rating_weight(request.workspace, request.class, &sorted[*i].version, now);
        ratings * sorted[*i].price.0 as f64 / explore_weight(estimate(*i), request.target)
    };
    let first = (0..sorted.len()).min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    let indices = if first < fallback { vec![first, fallback] } else { vec![first] };
    // The more expensive a version is, the less often it is explored.
    let cheapest = sorted[0].price.0.max(1) as f64;
    let weight = explore_weight(estimate(first), request.target);
    let is_due = draw < tuning.explore * weight * cheapest / sorted[first].price.0.max(1) as f64;
    let has_ratings = estimates.response_rate() > evidence::RESPONSE_RATE_MIN;
    // A low answer of a version more expensive than the fallback would not be escalated, so its
    // declared quality must meet the target.
    let is_safe = first <= fallback || sorted[first].quality >= request.target;
    let fits = indices.len() == 1 || fits_deadline(estimates, tuning, request, sorted, &indices);
    (has_ratings && is_due && is_safe && fits).then_some(indices)
}

// Exploration weight: higher while ratings leave open whether the version meets the target.
fn explore_weight(estimate: evidence::Estimate, target: f64) -> f64 {
    let margin = estimate.mean - estimate.lower;
    if (estimate.mean - target).abs() <= UNCERTAIN_DEVIATIONS * margin {
        UNCERTAIN_FACTOR
    } else {
        1.0
    }
}
