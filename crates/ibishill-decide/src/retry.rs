//! Retries: which are safe, and how many a workspace, a zone and a service may cause.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{fleet, id, outcome, repeat, time};

/// Retries that one request adds to a budget.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Most retries that a budget can accumulate.
const BURST: f64 = 20.0;

/// Whether a request may be retried after an attempt with this outcome.
///
/// A request that may have run is retried only if its call is declared as idempotent.
pub fn is_safe(outcome: outcome::Outcome, repeat: repeat::Repeat) -> bool {
    match outcome {
        outcome::Outcome::NotRun => true,
        outcome::Outcome::Unknown => repeat == repeat::Repeat::Safe,
        outcome::Outcome::Ran => false,
    }
}

/// A token bucket that requests fill and retries drain.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    fn refill(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(BURST);
    }

    // The margin keeps rounding of the summed fractions from withholding a whole token.
    fn has_token(self) -> bool {
        self.tokens >= 1.0 - 1e-9
    }

    fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The retry budgets of one daemon.
///
/// A zone's budget bounds the load that all retries cause there; a workspace's budget keeps
/// one workspace from exhausting the zone's.
#[derive(Debug, Clone, Default)]
pub struct Budgets {
    workspaces: BTreeMap<id::WorkspaceId, Budget>,
    zones: BTreeMap<id::ZoneId, Budget>,
}

impl Budgets {
    /// Records the first attempt of a request, in the zone where it was made.
    pub fn record_request(&mut self, workspace: &id::WorkspaceId, zone: &id::ZoneId) {
        self.workspaces.entry(workspace.clone()).or_default().refill();
        self.zones.entry(zone.clone()).or_default().refill();
    }

    /// Spends one retry after an attempt in `zone`; returns false if either budget is exhausted.
    pub fn try_acquire(&mut self, workspace: &id::WorkspaceId, zone: &id::ZoneId) -> bool {
        let (Some(workspace), Some(zone)) =
            (self.workspaces.get_mut(workspace), self.zones.get_mut(zone))
        else {
            return false;
        };
        if !workspace.has_token() || !zone.has_token() {
            return false;
        }
        workspace.spend();
        zone.spend();
        true
    }

    /// Drops the budgets of workspaces for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::WorkspaceId) -> bool,
    {
        self.workspaces.retain(|workspace, _| keep(workspace));
    }
}

/// Share of the deployment's retry ratio that one daemon uses, since the daemons' windows are not
/// aligned.
const RATIO_USED: f64 = 0.92;

/// Share of the deployment's retry slack that all daemons together use.
const SLACK_USED: f64 = 0.8;

/// Buckets into which a window is divided.
const BUCKETS: u64 = 10;

/// Retries that one daemon may cause at a service, without coordination with other daemons.
///
/// In each sliding window they are at most a share of this daemon's requests, so the sum over
/// all daemons stays under the deployment's ratio; the slack is divided by the daemons that may
/// be alive, but is at least 1 for each. Retries not used earlier in the window are available
/// when many streams break at once.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allowance {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

impl Allowance {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, bounds: &fleet::Bounds, now: time::Tick) {
        self.bucket(bounds, now).requests += 1;
    }

    /// Whether a retry is allowed, with the slack divided between `daemons`.
    pub fn is_available(&self, bounds: &fleet::Bounds, daemons: usize, now: time::Tick) -> bool {
        let index = bucket_index(bounds, now);
        // The oldest bucket is only partly inside the window: counting its retries but not its
        // requests errs on the side of fewer retries.
        let sum = |count: fn(&Bucket) -> u32, span: u64| -> f64 {
            let inside = self.buckets.iter().filter(|bucket| bucket.index + span > index);
            inside.map(|bucket| f64::from(count(bucket))).sum()
        };
        let requests = sum(|bucket| bucket.requests, BUCKETS);
        let retries = sum(|bucket| bucket.retries, BUCKETS + 1);
        let slack = (bounds.retry_slack * SLACK_USED / daemons.max(1) as f64).max(1.0);
        retries + 1.0 <= requests * bounds.retry_ratio * RATIO_USED + slack
    }

    /// Spends one retry if one is allowed; returns whether it was.
    pub fn try_acquire(&mut self, bounds: &fleet::Bounds, daemons: usize, now: time::Tick) -> bool {
        let granted = self.is_available(bounds, daemons, now);
        if granted {
            self.bucket(bounds, now).retries += 1;
        }
        granted
    }

    fn bucket(&mut self, bounds: &fleet::Bounds, now: time::Tick) -> &mut Bucket {
        let index = bucket_index(bounds, now);
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, requests: 0, retries: 0 });
        }
        while self.buckets.len() as u64 > BUCKETS + 1 {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

fn bucket_index(bounds: &fleet::Bounds, now: time::Tick) -> u64 {
    now.0 / (bounds.retry_window.0 / BUCKETS).max(1)
}
