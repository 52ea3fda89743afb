//! A mixture of sequential probability ratio tests, valid however often it is evaluated.

use super::counts::Proportion;
use super::moments::Moments;

const DEVIATIONS: f64 = 1.0;
const PSEUDO_HITS: f64 = 0.5;
// Alternative hypotheses: fractions of the distance from the null share to one.
const ALTERNATIVES: [f64; 3] = [0.05, 0.1, 0.3];
const SHARE_MAX: f64 = 0.99;
// Alternative hypotheses: doublings by which answers are slower than the null mean. Some answers
// are slow, most are, or all are many times slower.
const SHIFTS: [f64; 3] = [0.4, 0.8, 1.6];
// Lower bound of the variance of the logarithms, in squared doublings, as a few samples may
// happen to be alike.
const VARIANCE_MIN: f64 = 0.25;
// Times of the stable version that are needed to estimate their variance.
const STABLE_MIN: u64 = 8;

/// Natural logarithm of the likelihood ratio between a higher share and the null share.
///
/// The null share is an upper bound of the stable version's share, plus `tolerance`. If the
/// candidate's share is at most that, then by Ville's inequality the ratio ever exceeds
/// `1 / alpha` with a probability of at most `alpha`, however often it is evaluated.
pub fn share_evidence(stable: Proportion, candidate: Proportion, tolerance: f64) -> f64 {
    let null = (upper_bound(stable) + tolerance).min(SHARE_MAX);
    let (hits, misses) = (candidate.hits as f64, (candidate.total - candidate.hits) as f64);
    let ratios = ALTERNATIVES.map(|step| {
        let worse = null + (1.0 - null) * step;
        hits * (worse / null).ln() + misses * ((1.0 - worse) / (1.0 - null)).ln()
    });
    mixture(&ratios)
}

/// Natural logarithm of the likelihood ratio between slower times and the null mean, over pairs
/// of stable and new version that are comparable except for the version.
///
/// The null mean of each pair is an upper bound of the stable version's mean, plus the pair's
/// tolerance in doublings. Negative infinity with fewer than `min` times of the new version.
pub fn slowdown_evidence<'a, I>(pairs: I, min: u64) -> f64
where
    I: IntoIterator<Item = (&'a Moments, &'a Moments, f64)>,
{
    let mut ratios = SHIFTS.map(|_| 0.0);
    let mut samples = 0;
    for (stable, candidate, tolerance) in pairs {
        if stable.count < STABLE_MIN || candidate.count == 0 {
            continue;
        }
        let spread = stable.variance().max(VARIANCE_MIN);
        let null = stable.mean() + DEVIATIONS * (spread / stable.count as f64).sqrt() + tolerance;
        samples += candidate.count;
        let excess = candidate.mean() - null;
        for (ratio, shift) in ratios.iter_mut().zip(SHIFTS) {
            *ratio += candidate.count as f64 * shift * (excess - shift / 2.0) / spread;
        }
    }
    if samples < min {
        return f64::NEG_INFINITY;
    }
    mixture(&ratios)
}

// Logarithm of the mean ratio (log-sum-exp), computed relative to the largest ratio so that it
// doesn't overflow.
fn mixture(ratios: &[f64]) -> f64 {
    let largest = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = ratios.iter().map(|ratio| (ratio - largest).exp()).sum();
    largest + (sum / ratios.len() as f64).ln()
}

// Upper confidence bound of a proportion.
fn upper_bound(proportion: Proportion) -> f64 {
    let all = proportion.total as f64 + 2.0 * PSEUDO_HITS;
    let share = (proportion.hits as f64 + PSEUDO_HITS) / all;
    share + DEVIATIONS * (share * (1.0 - share) / all).sqrt()
}
