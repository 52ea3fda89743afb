//! Changes of the declarations, as lists of objects put or removed.
//!
//! A change carries only what it touches, so its size does not grow with the
//! deployment.

use std::fmt;
use std::num;
use std::str;

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

use crate::declared;

/// Number of the configuration, raised by one with each accepted change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for ConfigVersion {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.parse()?))
    }
}

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Sets the policy.
    Policy(declared::Policy),
    /// Puts a zone.
    PutZone(id::ZoneId, declared::Zone),
    /// Removes a zone.
    DropZone(id::ZoneId),
    /// Puts a version.
    PutVersion(id::VersionRef, declared::Version),
    /// Removes a version.
    DropVersion(id::VersionRef),
    /// Puts a workspace.
    PutWorkspace(id::WorkspaceId, declared::Workspace),
    /// Removes a workspace.
    DropWorkspace(id::WorkspaceId),
    /// Puts an endpoint.
    PutEndpoint(id::EndpointId, declared::Endpoint),
    /// Removes an endpoint.
    DropEndpoint(id::EndpointId),
    /// Puts a plain service.
    PutService(id::ServiceId, declared::Service),
    /// Removes a plain service.
    DropService(id::ServiceId),
    /// Puts a roll-out.
    PutRollout(id::RolloutId, declared::Rollout),
    /// Removes a roll-out.
    DropRollout(id::RolloutId),
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// The version that the change makes.
    pub version: ConfigVersion,
    /// Chosen by the operator's client, so that a repeated call is recognised.
    pub id: id::ChangeId,
    /// Who made it.
    pub author: id::OperatorId,
    /// Wall-clock time of acceptance.
    pub at: time::Tick,
    /// What was called, such as `apply` or `withdraw`.
    pub action: String,
    /// The steps, in order.
    pub steps: Vec<Step>,
}

/// Applies one step.
pub fn apply(declared: &mut declared::Declared, step: Step) {
    match step {
        Step::Policy(policy) => declared.policy = policy,
        Step::PutZone(name, zone) => drop(declared.zones.insert(name, zone)),
        Step::DropZone(name) => drop(declared.zones.remove(&name)),
        Step::PutVersion(name, version) => drop(declared.versions.insert(name, version)),
        Step::DropVersion(name) => drop(declared.versions.remove(&name)),
        Step::PutWorkspace(name, space) => drop(declared.workspaces.insert(name, space)),
        Step::DropWorkspace(name) => drop(declared.workspaces.remove(&name)),
        Step::PutEndpoint(name, endpoint) => drop(declared.endpoints.insert(name, endpoint)),
        Step::DropEndpoint(name) => drop(declared.endpoints.remove(&name)),
        Step::PutService(name, service) => drop(declared.services.insert(name, service)),
        Step::DropService(name) => drop(declared.services.remove(&name)),
        Step::PutRollout(name, rollout) => drop(declared.rollouts.insert(name, rollout)),
        Step::DropRollout(name) => drop(declared.rollouts.remove(&name)),
    }
}

/// Lists the steps that lead from `old` to `new`.
pub fn diff(old: &declared::Declared, new: &declared::Declared) -> Vec<Step> {
    let mut steps = Vec::new();
    if old.policy != new.policy {
        steps.push(Step::Policy(new.policy));
    }
    diff_map(&old.zones, &new.zones, &mut steps, Step::PutZone, Step::DropZone);
    diff_map(&old.versions, &new.versions, &mut steps, Step::PutVersion, Step::DropVersion);
    diff_map(&old.services, &new.services, &mut steps, Step::PutService, Step::DropService);
    diff_map(&old.workspaces, &new.workspaces, &mut steps, Step::PutWorkspace, Step::DropWorkspace);
    diff_map(&old.endpoints, &new.endpoints, &mut steps, Step::PutEndpoint, Step::DropEndpoint);
    diff_map(&old.rollouts, &new.rollouts, &mut steps, Step::PutRollout, Step::DropRollout);
    steps
}

fn diff_map<K, V, P, D>(
    old: &std::collections::BTreeMap<K, V>,
    new: &std::collections::BTreeMap<K, V>,
    steps: &mut Vec<Step>,
    put: P,
    remove: D,
) where
    K: Ord + Clone,
    V: PartialEq + Clone,
    P: Fn(K, V) -> Step,
    D: Fn(K) -> Step,
{
    for (name, value) in new {
        if old.get(name) != Some(value) {
            steps.push(put(name.clone(), value.clone()));
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(name)) {
        steps.push(remove(name.clone()));
    }
}

/// Puts the objects of `part` over those of `base`, which keeps all others.
pub fn merge(base: &declared::Declared, part: declared::Partial) -> declared::Declared {
    let mut next = base.clone();
    let declared::Partial { policy, objects } = part;
    next.policy = policy.unwrap_or(next.policy);
    next.zones.extend(objects.zones);
    next.versions.extend(objects.versions);
    next.workspaces.extend(objects.workspaces);
    next.endpoints.extend(objects.endpoints);
    next.services.extend(objects.services);
    next.rollouts.extend(objects.rollouts);
    next
}
