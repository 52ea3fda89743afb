//! A mixture of sequential probability ratio tests that stays valid however often one looks.

use super::counts::Trials;

const DEVIATIONS: f64 = 1.0;
const PSEUDO_HITS: f64 = 0.5;
// Shares of the way from the stable version's share to one.
const ALTERNATIVES: [f64; 3] = [0.05, 0.1, 0.3];
const SHARE_MAX: f64 = 0.99;

/// Natural logarithm of the likelihood ratio between worse shares and the stable one.
///
/// By Ville's inequality the ratio exceeds `1 / alpha` with a chance of at most `alpha`
/// over all looks, if the candidate's share is at most the null share: an upper bound of
/// the stable version's share plus `tolerance`.
pub fn evidence(stable: Trials, candidate: Trials, tolerance: f64) -> f64 {
    let null = (upper(stable) + tolerance).min(SHARE_MAX);
    let (hits, misses) = (candidate.hits as f64, (candidate.all - candidate.hits) as f64);
    let ratios = ALTERNATIVES.map(|step| {
        let worse = null + (1.0 - null) * step;
        hits * (worse / null).ln() + misses * ((1.0 - worse) / (1.0 - null)).ln()
    });
    // The mean of the ratios, computed around the largest so that nothing overflows.
    let largest = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = ratios.iter().map(|ratio| (ratio - largest).exp()).sum();
    largest + (sum / ALTERNATIVES.len() as f64).ln()
}

// Upper bound of a share.
fn upper(trials: Trials) -> f64 {
    let all = trials.all as f64 + 2.0 * PSEUDO_HITS;
    let share = (trials.hits as f64 + PSEUDO_HITS) / all;
    share + DEVIATIONS * (share * (1.0 - share) / all).sqrt()
}
