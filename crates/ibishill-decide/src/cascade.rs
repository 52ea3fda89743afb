//! Which versions answer a request that leaves the choice to the router: a cheap one
//! first with escalation after a low rating, or one version at once.

pub mod evidence;

use ibishill_config::declared;
use ibishill_core::{cost, id, time};

const CHAIN_MAX: usize = 3;
const OPEN_FACTOR: f64 = 12.0;
const OPEN_DEVIATIONS: f64 = 3.0;
const DRAW_SCALE: f64 = 1_000_000.0;

/// Kind of a request by the length of its prompt, so that easy and hard ones are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(pub u8);

impl Class {
    const FIRST_BYTES: usize = 1_024;
    const LAST: u8 = 4;

    /// Class of a prompt of so many bytes; each class spans four times the one before.
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

/// How the deployment's policy steers the cascade.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Share of requests that explore at the cheapest version's price.
    pub explore: f64,
    /// Share of the lowest price that may be spent on top for a shorter expected time.
    pub extra: f64,
    /// Multiple of the expected time that the deadline must leave for several runs.
    pub slack: f64,
}

impl Tuning {
    /// The tuning of a policy.
    pub const fn of(policy: declared::Policy) -> Self {
        match policy {
            declared::Policy::Latency => Self { explore: 0.02, extra: 0.25, slack: 3.0 },
            declared::Policy::Cost => Self { explore: 0.05, extra: 0.0, slack: 1.5 },
        }
    }
}

/// A version that may answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The version.
    pub version: id::VersionRef,
    /// Expected price of one run.
    pub price: cost::Micros,
    /// Declared share of accepted answers.
    pub quality: f64,
}

/// A request as the cascade sees it.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The workspace.
    pub workspace: &'a id::WorkspaceId,
    /// The request's class.
    pub class: Class,
    /// The versions that may answer.
    pub candidates: &'a [Candidate],
    /// Share of answers that must be accepted.
    pub target: f64,
    /// Whether an answer can be rated before the caller sees it.
    pub buffered: bool,
    /// Time left until the deadline.
    pub remaining: time::Millis,
    /// Evenly spread number that decides on exploration.
    pub draw: u64,
}

/// The versions to run in order; each is followed by the next after a low rating.
#[derive(Debug, Clone, PartialEq)]
pub struct Chain {
    /// The versions, at least one.
    pub versions: Vec<id::VersionRef>,
    /// Whether the chain was chosen to learn from it.
    pub explores: bool,
}

#[derive(Debug, Clone)]
struct Scored {
    picks: Vec<usize>,
    price: f64,
    // Expected time until the last answer.
    millis: f64,
    // Lower bound of the accepted share.
    quality: f64,
}

/// Chooses the cheapest chain whose lower bound of quality meets the target, or a faster
/// one if the policy pays for it.
///
/// Falls back to the chain of highest quality if none does, or if the
/// workspace's current window is behind its target.
pub fn choose(
    known: &evidence::Estimates,
    tuning: Tuning,
    input: &Request<'_>,
    now: time::Tick,
) -> Option<Chain> {
    let mut sorted: Vec<&Candidate> = input.candidates.iter().collect();
    sorted.sort_by(|a, b| a.price.cmp(&b.price).then_with(|| a.version.cmp(&b.version)));
    let scored = chains(known, tuning, input, &sorted, now);
    let name = |picks: &[usize]| picks.iter().map(|&i| sorted[i].version.clone()).collect();
    let best = best_quality(&scored)?;
    if let Some(picks) = explore(known, tuning, input, &sorted, best, now) {
        return Some(Chain { versions: name(&picks), explores: true });
    }
    let behind = known.is_behind(input.workspace, input.target, now);
    let good: Vec<_> = scored.iter().filter(|c| c.quality >= input.target && !behind).collect();
    let lowest = good.iter().map(|chain| chain.price).fold(f64::INFINITY, f64::min);
    let chosen = good
        .into_iter()
        .filter(|chain| chain.price <= lowest * (1.0 + tuning.extra))
        .min_by(|a, b| a.millis.total_cmp(&b.millis).then_with(|| a.price.total_cmp(&b.price)))
        .unwrap_or(best);
    Some(Chain { versions: name(&chosen.picks), explores: false })
}

fn best_quality(scored: &[Scored]) -> Option<&Scored> {
    scored
        .iter()
        .max_by(|a, b| a.quality.total_cmp(&b.quality).then_with(|| b.price.total_cmp(&a.price)))
}

fn chains(
    known: &evidence::Estimates,
    tuning: Tuning,
    input: &Request<'_>,
    sorted: &[&Candidate],
    now: time::Tick,
) -> Vec<Scored> {
    let longest = if input.buffered { CHAIN_MAX } else { 1 };
    let mut found: Vec<Scored> = Vec::new();
    let mut open: Vec<Vec<usize>> = (0..sorted.len()).map(|index| vec![index]).collect();
    while let Some(picks) = open.pop() {
        if picks.len() > 1 && !bears(known, tuning, input, sorted, &picks) {
            continue;
        }
        found.push(score(known, input, sorted, &picks, now));
        let last = *picks.last().unwrap_or(&0);
        if picks.len() < longest {
            for next in last + 1..sorted.len() {
                let mut longer = picks.clone();
                longer.push(next);
                open.push(longer);
            }
        }
    }
    found
}

// Whether the deadline leaves time for every run and the ratings between them.
fn bears(
    known: &evidence::Estimates,
    tuning: Tuning,
    input: &Request<'_>,
    sorted: &[&Candidate],
    picks: &[usize],
) -> bool {
    let runs: f64 = picks.iter().map(|&i| known.run_time(&sorted[i].version)).sum();
    let ratings = known.rating_time() * (picks.len() - 1) as f64;
    (runs + ratings) * tuning.slack <= input.remaining.0 as f64
}

fn score(
    known: &evidence::Estimates,
    input: &Request<'_>,
    sorted: &[&Candidate],
    picks: &[usize],
    now: time::Tick,
) -> Scored {
    let answered = known.response_rate();
    let (mut reach, mut price, mut millis, mut quality) = (1.0, 0.0, 0.0, 0.0);
    for (step, &index) in picks.iter().enumerate() {
        let candidate = sorted[index];
        let belief = known.estimate(input.workspace, input.class, candidate, step > 0, now);
        let last = step + 1 == picks.len();
        let rating = if last { 0.0 } else { known.rating_time() };
        millis += reach * (known.run_time(&candidate.version) + rating);
        price += reach * candidate.price.0 as f64;
        // A low answer goes on only if the rating service tells so in time.
        let onward = if last { 0.0 } else { (1.0 - belief.mean) * answered };
        quality += reach * belief.lower;
        reach *= onward;
    }
    Scored { picks: picks.to_vec(), price, millis, quality }
}

fn explore(
    known: &evidence::Estimates,
    tuning: Tuning,
    input: &Request<'_>,
    sorted: &[&Candidate],
    best: &Scored,
    now: time::Tick,
) -> Option<Vec<usize>> {
    let draw = (input.draw % DRAW_SCALE as u64) as f64 / DRAW_SCALE;
    let safe = *best.picks.last()?;
    if !input.buffered || sorted.len() < 2 || draw >= tuning.explore * OPEN_FACTOR {
        return None;
    }
    let belief = |i: usize| known.estimate(input.workspace, input.class, sorted[i], false, now);
    let share = |i: &usize| {
        let known = known.rating_weight(input.workspace, input.class, &sorted[*i].version, now);
        known * sorted[*i].price.0 as f64 / wish(belief(*i), input.target)
    };
    let first = (0..sorted.len()).min_by(|a, b| share(a).total_cmp(&share(b)))?;
    let picks = if first < safe { vec![first, safe] } else { vec![first] };
    // The dearer a version, the less often it is explored.
    let cheapest = sorted[0].price.0.max(1) as f64;
    let wish = wish(belief(first), input.target);
    let affordable = draw < tuning.explore * wish * cheapest / sorted[first].price.0.max(1) as f64;
    let learns = known.response_rate() > evidence::RESPONSE_RATE_MIN;
    // A costlier version of lower quality would not be caught by an escalation.
    let harmless = first <= safe || sorted[first].quality >= input.target;
    let bearable = picks.len() == 1 || bears(known, tuning, input, sorted, &picks);
    (learns && affordable && harmless && bearable).then_some(picks)
}

// A version is worth more exploration while ratings leave open whether it meets the target.
fn wish(belief: evidence::Estimate, target: f64) -> f64 {
    let margin = belief.mean - belief.lower;
    if (belief.mean - target).abs() <= OPEN_DEVIATIONS * margin { OPEN_FACTOR } else { 1.0 }
}
