//! A mixture of sequential probability ratio tests, valid however often it is evaluated.

use super::counts::Proportion;
use super::moments::Moments;

const DEVIATIONS: f64 = 1.0;
const PSEUDO_HITS: f64 = 0.5;
// Alternative hypotheses: fractions of the distance from the null share to one.
const ALTERNATIVES: [f64; 3] = [0.05, 0.1, 0.3];
const SHARE_MAX: f64 = 0.99;
// A bad version for the test of soundness: the fraction of the distance from the null share to one,
// and the doublings by which it is slower.
const UNSOUND_STEP: f64 = 0.3;
const UNSOUND_SHIFT: f64 = 0.8;
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

/// Natural logarithm of the likelihood ratio between the null share and that of a bad version: the
/// proof that the candidate is sound, where [`share_evidence`] is the proof that it is not.
///
/// If the candidate is as bad as that, the ratio ever exceeds `1 / alpha` with a probability of at most
/// `alpha`.
pub fn share_soundness(stable: Proportion, candidate: Proportion, tolerance: f64) -> f64 {
    let null = (upper_bound(stable) + tolerance).min(SHARE_MAX);
    let worse = null + (1.0 - null) * UNSOUND_STEP;
    let (hits, misses) = (candidate.hits as f64, (candidate.total - candidate.hits) as f64);
    hits * (null / worse).ln() + misses * ((1.0 - null) / (1.0 - worse)).ln()
}

/// The same for times, over pairs as in [`slowdown_evidence`].
pub fn slowdown_soundness<'a, I>(pairs: I) -> f64
where
    I: IntoIterator<Item = (&'a Moments, &'a Moments, f64)>,
{
    let ratio = |stable: &Moments, candidate: &Moments, tolerance: f64| {
        let (null, spread) = null_times(stable, tolerance);
        let excess = candidate.mean() - null;
        candidate.count as f64 * UNSOUND_SHIFT * (UNSOUND_SHIFT / 2.0 - excess) / spread
    };
    let pairs = pairs.into_iter().filter(|(stable, _, _)| stable.count >= STABLE_MIN);
    pairs.map(|(stable, candidate, tolerance)| ratio(stable, candidate, tolerance)).sum()
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
        let (null, spread) = null_times(stable, tolerance);
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

// Null mean and variance of the candidate's times, from those of the stable version.
fn null_times(stable: &Moments, tolerance: f64) -> (f64, f64) {
    let spread = stable.variance().max(VARIANCE_MIN);
    let deviation = (spread / stable.count as f64).sqrt();
    (stable.mean() + DEVIATIONS * deviation + tolerance, spread)
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
