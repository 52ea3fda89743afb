//! A mixture of sequential probability ratio tests that stays valid however often one looks.

use super::counts::Proportion;
use super::moments::Moments;

const DEVIATIONS: f64 = 1.0;
const PSEUDO_HITS: f64 = 0.5;
// Shares of the way from the stable version's share to one.
const ALTERNATIVES: [f64; 3] = [0.05, 0.1, 0.3];
const SHARE_MAX: f64 = 0.99;
// Doublings by which answers may be slower beyond the null shift: a part of them is slow, most
// are, or all are many times slower.
const SHIFTS: [f64; 3] = [0.4, 0.8, 1.6];
// Least variance of logarithms of times, in squared doublings, as few samples look alike.
const VARIANCE_MIN: f64 = 0.25;
// Times of the stable version below which nothing is known of how they spread.
const STABLE_MIN: u64 = 8;
// Times of the new version below which a few prompts that none of its endpoints has read yet
// would decide: five were enough on one day in 36.
const CANDIDATE_MIN: u64 = 16;

/// Natural logarithm of the likelihood ratio between worse shares and the stable one.
///
/// By Ville's inequality the ratio exceeds `1 / alpha` with a chance of at most `alpha`
/// over all looks, if the candidate's share is at most the null share: an upper bound of
/// the stable version's share plus `tolerance`.
pub fn share_evidence(stable: Proportion, candidate: Proportion, tolerance: f64) -> f64 {
    let null = (upper(stable) + tolerance).min(SHARE_MAX);
    let (hits, misses) = (candidate.hits as f64, (candidate.total - candidate.hits) as f64);
    let ratios = ALTERNATIVES.map(|step| {
        let worse = null + (1.0 - null) * step;
        hits * (worse / null).ln() + misses * ((1.0 - worse) / (1.0 - null)).ln()
    });
    mixture(&ratios)
}

/// Natural logarithm of the likelihood ratio between slower times and those of the stable
/// version, over pairs of stable and new version that are alike but for the version.
///
/// The null mean of each pair is an upper bound of the stable version's mean plus its
/// tolerance, in doublings. Few times tell nothing.
pub fn slowdown_evidence<'a, I>(pairs: I) -> f64
where
    I: IntoIterator<Item = (&'a Moments, &'a Moments, f64)>,
{
    let mut ratios = SHIFTS.map(|_| 0.0);
    let mut seen = 0;
    for (stable, candidate, tolerance) in pairs {
        if stable.count < STABLE_MIN || candidate.count == 0 {
            continue;
        }
        let spread = stable.variance().max(VARIANCE_MIN);
        let null = stable.mean() + DEVIATIONS * (spread / stable.count as f64).sqrt() + tolerance;
        seen += candidate.count;
        let excess = candidate.mean() - null;
        for (ratio, shift) in ratios.iter_mut().zip(SHIFTS) {
            *ratio += candidate.count as f64 * shift * (excess - shift / 2.0) / spread;
        }
    }
    if seen < CANDIDATE_MIN {
        return f64::NEG_INFINITY;
    }
    mixture(&ratios)
}

// The mean of the ratios, computed around the largest so that nothing overflows.
fn mixture(ratios: &[f64]) -> f64 {
    let largest = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = ratios.iter().map(|ratio| (ratio - largest).exp()).sum();
    largest + (sum / ratios.len() as f64).ln()
}

// Upper bound of a share.
fn upper(trials: Proportion) -> f64 {
    let all = trials.total as f64 + 2.0 * PSEUDO_HITS;
    let share = (trials.hits as f64 + PSEUDO_HITS) / all;
    share + DEVIATIONS * (share * (1.0 - share) / all).sqrt()
}
