//! Second attempts: which are safe, and how many a caller and a zone may cause.

use std::collections::BTreeMap;

use ibishill_core::{fleet, id, outcome, repeat};

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
    pub fn first(&mut self, space: &id::WorkspaceId, zone: &id::ZoneId) {
        self.spaces.entry(space.clone()).or_default().earn();
        self.zones.entry(zone.clone()).or_default().earn();
    }

    /// Takes the right to a further attempt after one in `zone`, if there is one left.
    pub fn take(&mut self, space: &id::WorkspaceId, zone: &id::ZoneId) -> bool {
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

/// Share of the deployment's ratio that one daemon uses, as requests and their repeats may
/// fall into different windows.
const RATIO_USED: f64 = 0.85;

/// Share of the deployment's slack that all daemons together use.
const SLACK_USED: f64 = 0.6;

/// Second attempts that one daemon may cause at a service, without asking the others.
///
/// Each request earns a part of one, so the sum over all daemons stays under the
/// deployment's ratio; the slack is divided by the daemons that may be alive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    tokens: f64,
}

impl Default for Allowance {
    fn default() -> Self {
        Self { tokens: 1.0 }
    }
}

impl Allowance {
    /// Notes the first attempt of a request.
    pub fn earn(&mut self, bounds: &fleet::Bounds, daemons: usize) {
        let most = (bounds.retry_slack * SLACK_USED / daemons.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + bounds.retry_ratio * RATIO_USED).min(most);
    }

    /// Whether there is a right to a further attempt left.
    pub fn has(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the right to a further attempt, if there is one left.
    pub fn take(&mut self) -> bool {
        let has = self.has();
        if has {
            self.tokens -= 1.0;
        }
        has
    }
}
