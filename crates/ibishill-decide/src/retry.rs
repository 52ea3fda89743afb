//! Second attempts: which are safe, and how many a caller and a zone may cause.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{fleet, id, outcome, repeat, time};

/// Second attempts that one request allows.
const SHARE: f64 = 0.1;

/// Most second attempts that can be saved up.
const BURST: f64 = 20.0;

/// Whether an attempt that ended like this may be followed by another.
///
/// A request that may have run is sent again only if its call is declared as repeatable.
pub fn is_safe(outcome: outcome::Outcome, repeat: repeat::Repeat) -> bool {
    match outcome {
        outcome::Outcome::NotRun => true,
        outcome::Outcome::Unknown => repeat == repeat::Repeat::Safe,
        outcome::Outcome::Ran => false,
    }
}

/// A token bucket that requests fill and second attempts empty.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    fn earn(&mut self) {
        self.tokens = (self.tokens + SHARE).min(BURST);
    }

    // The sum of shares must not fail by rounding.
    fn has(self) -> bool {
        self.tokens >= 1.0 - 1e-9
    }

    fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The budgets of one daemon.
///
/// A zone's budget bounds the load that all retries cause there; a workspace's budget keeps
/// one caller from using up the zone's.
#[derive(Debug, Clone, Default)]
pub struct Budgets {
    spaces: BTreeMap<id::WorkspaceId, Budget>,
    zones: BTreeMap<id::ZoneId, Budget>,
}

impl Budgets {
    /// Notes the first attempt of a request, in the zone where it was made.
    pub fn record_request(&mut self, space: &id::WorkspaceId, zone: &id::ZoneId) {
        self.spaces.entry(space.clone()).or_default().earn();
        self.zones.entry(zone.clone()).or_default().earn();
    }

    /// Takes the right to a further attempt after one in `zone`, if there is one left.
    pub fn try_acquire(&mut self, space: &id::WorkspaceId, zone: &id::ZoneId) -> bool {
        let (Some(space), Some(zone)) = (self.spaces.get_mut(space), self.zones.get_mut(zone))
        else {
            return false;
        };
        if !space.has() || !zone.has() {
            return false;
        }
        space.spend();
        zone.spend();
        true
    }

    /// Forgets workspaces that are no longer declared.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::WorkspaceId) -> bool,
    {
        self.spaces.retain(|space, _| keep(space));
    }
}

/// Share of the deployment's ratio that one daemon uses, as its window is not the others'.
const RATIO_USED: f64 = 0.92;

/// Share of the deployment's slack that all daemons together use.
const SLACK_USED: f64 = 0.8;

/// Parts of a window that are counted apart.
const PARTS: u64 = 10;

/// Second attempts that one daemon may cause at a service, without asking the others.
///
/// In each window they are at most a share of this daemon's requests, so the sum over all
/// daemons stays under the deployment's ratio; the slack is divided by the daemons that may
/// be alive. What calm seconds leave over is there when many streams break at once.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allowance {
    parts: VecDeque<Part>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl Allowance {
    /// Notes the first attempt of a request.
    pub fn record_request(&mut self, bounds: &fleet::Bounds, now: time::Tick) {
        self.part(bounds, now).requests += 1;
    }

    /// Whether a further attempt is allowed, with `daemons` that share the slack.
    pub fn is_available(&self, bounds: &fleet::Bounds, daemons: usize, now: time::Tick) -> bool {
        let number = number(bounds, now);
        // The oldest part has partly left the window; its repeats count, its requests do not.
        let sum = |count: fn(&Part) -> u32, span: u64| -> f64 {
            let inside = self.parts.iter().filter(|part| part.number + span > number);
            inside.map(|part| f64::from(count(part))).sum()
        };
        let requests = sum(|part| part.requests, PARTS);
        let repeats = sum(|part| part.repeats, PARTS + 1);
        let slack = (bounds.retry_slack * SLACK_USED / daemons.max(1) as f64).max(1.0);
        repeats + 1.0 <= requests * bounds.retry_ratio * RATIO_USED + slack
    }

    /// Takes the right to a further attempt, if there is one.
    pub fn try_acquire(&mut self, bounds: &fleet::Bounds, daemons: usize, now: time::Tick) -> bool {
        let has = self.is_available(bounds, daemons, now);
        if has {
            self.part(bounds, now).repeats += 1;
        }
        has
    }

    fn part(&mut self, bounds: &fleet::Bounds, now: time::Tick) -> &mut Part {
        let number = number(bounds, now);
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part { number, requests: 0, repeats: 0 });
        }
        while self.parts.len() as u64 > PARTS + 1 {
            self.parts.pop_front();
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

fn number(bounds: &fleet::Bounds, now: time::Tick) -> u64 {
    now.0 / (bounds.retry_window.0 / PARTS).max(1)
}
