//! Which peers a daemon tells of its load: those that use the same endpoints first.
//!
//! Designed for more peers than can be told each time. Requests mostly stay in their availability zone, so a
//! daemon's load matters to the peers of its zone; the others hear of it in turn. Each daemon takes the others
//! in an order of its own, so that none hears from all of them at once and then from nobody. What has just been
//! sent is told at once to the zone of the endpoint: a long prompt occupies an engine for about as long as
//! the time between two reports.

use std::collections::BTreeSet;

use ibishill_core::{id, time};
use xxhash_rust::xxh3;

use crate::{peers, rate};

/// Interval between reports.
pub const INTERVAL: time::Millis = time::Millis(500);

/// Peers that each report goes to: 13 KB/s with 100 bytes each.
pub const FANOUT: usize = 64;

/// Most of these that are in the daemon's own zone.
const NEAR_MAX: usize = 40;

/// Peers that are told at once of what was sent to an endpoint, at most.
const LISTENERS_MAX: usize = 32;

/// Peers of a report that are told of the use by workspaces as well, on average: at most 1.6 KB/s for each service that
/// is short of capacity. Shares are a matter of proportions, which a sample shows.
const USAGE_FANOUT: usize = 12;

/// Prefill cost from which on a request is told of at once, in thousands of tokens at the largest model.
const START_MIN: f64 = 1.0;

/// The same while most of the allowance is used up.
const LONG_START_MIN: f64 = 4.0;

/// Datagrams by which starts may be told: about 6 KB/s.
const START_RATE: rate::Rate = rate::Rate { per_second: 96.0, burst: 192.0 };

/// Datagrams that are kept for long prompts.
const LONG_RESERVE: f64 = 96.0;

/// Time by which a report may be late and counts all the same.
const DELAY_MAX: time::Millis = time::Millis(600);

/// Time above which a report counts no longer, however rarely its sender tells this daemon.
const TTL_MAX: time::Millis = time::Millis(4_000);

/// Time for which a report counts at least.
const TTL_MIN: time::Millis = time::Millis(1_600);

/// Peers that the report of a round goes to, first those in `partners`.
pub fn select<'a>(
    own: &peers::Member,
    alive: &[&'a peers::Member],
    partners: &BTreeSet<id::VmId>,
    round: u64,
) -> Vec<&'a peers::Member> {
    if alive.len() <= FANOUT {
        return alive.to_vec();
    }
    let (chosen, others): (Vec<_>, Vec<_>) =
        alive.iter().copied().partition(|peer| partners.contains(&peer.vm));
    let (near, far): (Vec<_>, Vec<_>) = others.into_iter().partition(|peer| peer.zone == own.zone);
    let mut chosen = chosen;
    chosen.truncate(FANOUT);
    let near = in_turn(own, near, NEAR_MAX.min(FANOUT - chosen.len()), round);
    chosen.extend(near);
    let far = in_turn(own, far, FANOUT - chosen.len(), round);
    chosen.extend(far);
    chosen
}

// The next `count` peers in the daemon's own order.
fn in_turn<'a>(
    own: &peers::Member,
    mut peers: Vec<&'a peers::Member>,
    count: usize,
    round: u64,
) -> Vec<&'a peers::Member> {
    let seed = xxh3::xxh3_64(own.vm.as_str().as_bytes());
    peers.sort_by_key(|peer| xxh3::xxh3_64_with_seed(peer.vm.as_str().as_bytes(), seed));
    let (total, count) = (peers.len(), count.min(peers.len()));
    let first = (round as usize).wrapping_mul(count).checked_rem(total).unwrap_or_default();
    peers.into_iter().cycle().skip(first).take(count).collect()
}

/// Whether a peer that gets the report of a round, as one of `count`, is told of the use by workspaces as well.
///
/// At random, as a fixed order would miss some peers in step with that of [`select`].
pub fn hears_usage(peer: &id::VmId, count: usize, round: u64) -> bool {
    let hash = xxh3::xxh3_64_with_seed(peer.as_str().as_bytes(), round);
    (hash % count.max(1) as u64) < USAGE_FANOUT as u64
}

/// Time for which a report of a peer counts, with `near` peers in this daemon's zone and `far` others.
pub fn ttl(is_near: bool, near: usize, far: usize) -> time::Millis {
    if near + far <= FANOUT {
        return TTL_MIN;
    }
    let told_near = near.min(NEAR_MAX);
    let (count, told) = if is_near { (near, told_near) } else { (far, FANOUT - told_near) };
    let rounds = count.div_ceil(told.max(1)) as u64;
    let cycle = time::Millis(rounds * INTERVAL.0 + DELAY_MAX.0);
    cycle.clamp(TTL_MIN, TTL_MAX)
}

/// Peers that are told at once of a request to an endpoint, by their hash: those of its zone.
pub fn listeners<'a>(
    endpoint: &id::EndpointId,
    zone: &id::ZoneId,
    alive: &[&'a peers::Member],
) -> Vec<&'a peers::Member> {
    let mut found: Vec<_> = alive.iter().copied().filter(|peer| peer.zone == *zone).collect();
    if found.len() > LISTENERS_MAX {
        let seed = xxh3::xxh3_64(endpoint.as_str().as_bytes());
        found.sort_by_key(|peer| xxh3::xxh3_64_with_seed(peer.vm.as_str().as_bytes(), seed));
        found.truncate(LISTENERS_MAX);
    }
    found
}

/// Whether a request of this prefill cost may be told of at once.
pub fn is_told(prefill: f64) -> bool {
    prefill >= START_MIN
}

/// Allowance of datagrams by which a daemon tells at once what it sends.
#[derive(Debug, Clone, Copy)]
pub struct Starts {
    level: f64,
    at: time::Tick,
}

impl Starts {
    /// Creates a full allowance.
    pub const fn new(now: time::Tick) -> Self {
        Self { level: START_RATE.burst, at: now }
    }

    /// Takes the datagrams by which a request of this prefill cost is told to `listeners`; returns whether it
    /// is told.
    pub fn try_take(&mut self, prefill: f64, listeners: usize, now: time::Tick) -> bool {
        let added = now.since(self.at).0 as f64 / 1_000.0 * START_RATE.per_second;
        self.level = (self.level + added).min(START_RATE.burst);
        self.at = now;
        let reserve = if prefill >= LONG_START_MIN { 0.0 } else { LONG_RESERVE };
        let is_taken = is_told(prefill) && self.level - listeners as f64 >= reserve;
        if is_taken {
            self.level -= listeners as f64;
        }
        is_taken
    }
}
