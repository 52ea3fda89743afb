//! Changes of the declarations, as lists of objects that are put or removed.
//!
//! A change contains only the objects that it affects, so its size does not grow with the
//! deployment.

use std::fmt;
use std::num;
use std::str;

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

use crate::declared;

/// Version of the configuration, incremented by one with each accepted change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the version that follows this one.
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
    /// Adds or replaces a zone.
    PutZone(id::ZoneId, declared::Zone),
    /// Removes a zone.
    DropZone(id::ZoneId),
    /// Adds or replaces a model version.
    PutVersion(id::VersionRef, declared::Version),
    /// Removes a model version.
    DropVersion(id::VersionRef),
    /// Adds or replaces a workspace.
    PutWorkspace(id::WorkspaceId, declared::Workspace),
    /// Removes a workspace.
    DropWorkspace(id::WorkspaceId),
    /// Adds or replaces an endpoint.
    PutEndpoint(id::EndpointId, declared::Endpoint),
    /// Removes an endpoint.
    DropEndpoint(id::EndpointId),
    /// Adds or replaces a plain service.
    PutService(id::ServiceId, declared::Service),
    /// Removes a plain service.
    DropService(id::ServiceId),
    /// Adds or replaces a roll-out.
    PutRollout(id::RolloutId, declared::Rollout),
    /// Removes a roll-out.
    DropRollout(id::RolloutId),
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// Configuration version that results from the change.
    pub version: ConfigVersion,
    /// Id chosen by the operator's client, by which a repeated call is detected.
    pub id: id::ChangeId,
    /// Operator who made the change.
    pub author: id::OperatorId,
    /// Wall-clock time at which the change was accepted.
    pub at: time::Tick,
    /// Name of the operator's call, such as `apply` or `withdraw`.
    pub action: String,
    /// Steps, in the order in which they are applied.
    pub steps: Vec<Step>,
}

/// Applies one step to `declared`.
pub fn apply(declared: &mut declared::Declared, step: Step) {
    match step {
        Step::Policy(policy) => declared.policy = policy,
        Step::PutZone(name, zone) => drop(declared.zones.insert(name, zone)),
        Step::DropZone(name) => drop(declared.zones.remove(&name)),
        Step::PutVersion(name, version) => drop(declared.versions.insert(name, version)),
        Step::DropVersion(name) => drop(declared.versions.remove(&name)),
        Step::PutWorkspace(name, workspace) => drop(declared.workspaces.insert(name, workspace)),
        Step::DropWorkspace(name) => drop(declared.workspaces.remove(&name)),
        Step::PutEndpoint(name, endpoint) => drop(declared.endpoints.insert(name, endpoint)),
        Step::DropEndpoint(name) => drop(declared.endpoints.remove(&name)),
        Step::PutService(name, service) => drop(declared.services.insert(name, service)),
        Step::DropService(name) => drop(declared.services.remove(&name)),
        Step::PutRollout(name, rollout) => drop(declared.rollouts.insert(name, rollout)),
        Step::DropRollout(name) => drop(declared.rollouts.remove(&name)),
    }
}

/// Returns the steps that turn `old` into `new`.
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

/// Returns `base` with the objects of `partial` added or replaced.
pub fn merge(base: &declared::Declared, partial: declared::Partial) -> declared::Declared {
    let mut next = base.clone();
    let declared::Partial { policy, objects } = partial;
    next.policy = policy.unwrap_or(next.policy);
    next.zones.extend(objects.zones);
    next.versions.extend(objects.versions);
    next.workspaces.extend(objects.workspaces);
    next.endpoints.extend(objects.endpoints);
    next.services.extend(objects.services);
    next.rollouts.extend(objects.rollouts);
    next
}
