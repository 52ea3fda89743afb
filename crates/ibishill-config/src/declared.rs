//! The declared objects: zones, models, workspaces, endpoints, services, roll-outs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ibishill_core::{cost, id, repeat, time};
use serde::{Deserialize, Serialize};

use crate::key;

/// Everything that operators declare.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Declared {
    /// Which of the users' measures weighs more.
    pub policy: Policy,
    /// Availability zones by name.
    pub zones: BTreeMap<id::ZoneId, Zone>,
    /// Model versions by `model@version`.
    pub versions: BTreeMap<id::VersionRef, Version>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<id::WorkspaceId, Workspace>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<id::EndpointId, Endpoint>,
    /// Plain services by name.
    pub services: BTreeMap<id::ServiceId, Service>,
    /// Roll-outs by name.
    pub rollouts: BTreeMap<id::RolloutId, Rollout>,
}

/// Declarations that add to others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Partial {
    /// The policy, if the document names one.
    pub policy: Option<Policy>,
    /// The objects; their policy has no meaning.
    pub objects: Declared,
}

/// Which measure decides where two of them pull apart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Latency and service during zone changes weigh more.
    #[default]
    Latency,
    /// Cost and exposure to bad versions weigh more.
    Cost,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Zone {
    /// The region that holds the zone.
    pub region: id::RegionId,
    /// Whether the zone takes new work.
    #[serde(default)]
    pub state: AdminState,
}

/// Whether a zone or endpoint takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminState {
    /// It takes new work.
    #[default]
    In,
    /// Operators have taken it out.
    Out,
}

/// A model version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Version {
    /// Price of 1,000 prompt tokens, in millionths of the currency unit.
    pub prompt_price: cost::Micros,
    /// Price of 1,000 output tokens, in millionths of the currency unit.
    pub output_price: cost::Micros,
    /// Expected share of accepted answers before ratings are known, 0 to 1.
    pub quality: f64,
    /// The version that it is an adapter of, if it is one.
    #[serde(default)]
    pub base: Option<id::VersionRef>,
    /// Whether the version may get new work.
    #[serde(default)]
    pub state: VersionState,
}

/// Whether a version may get new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// It serves all that ask for its model.
    #[default]
    Serving,
    /// It serves only by a roll-out's cohort or by its full name.
    Candidate,
    /// It gets no new work.
    Withdrawn,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Workspace {
    /// Hashes of the keys that callers present.
    pub keys: Vec<key::KeyHash>,
    /// Models and versions that the workspace may use, as `model` or `model@version`.
    #[serde(default)]
    pub models: BTreeSet<ModelSelector>,
    /// Plain services that the workspace may use.
    #[serde(default)]
    pub services: BTreeSet<id::ServiceId>,
    /// Share of answers that must be accepted, 0 to 1.
    #[serde(default = "default_target")]
    pub quality_target: f64,
    /// Weight of the workspace when capacity is short.
    #[serde(default = "default_share")]
    pub share: u32,
}

const fn default_target() -> f64 {
    0.9
}

const fn default_share() -> u32 {
    1
}

/// A model with all its versions, or one version of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum ModelSelector {
    /// Every version of the model.
    Model(id::ModelId),
    /// One version.
    Version(id::VersionRef),
}

impl ModelSelector {
    /// Whether `version` is covered.
    pub fn covers(&self, version: &id::VersionRef) -> bool {
        match self {
            Self::Model(model) => *model == version.model,
            Self::Version(exact) => exact == version,
        }
    }
}

impl TryFrom<String> for ModelSelector {
    type Error = id::NameError;

    fn try_from(text: String) -> Result<Self, id::NameError> {
        if text.contains('@') {
            return Ok(Self::Version(text.parse()?));
        }
        Ok(Self::Model(text.parse()?))
    }
}

impl From<ModelSelector> for String {
    fn from(allowed: ModelSelector) -> String {
        match allowed {
            ModelSelector::Model(model) => model.to_string(),
            ModelSelector::Version(version) => version.to_string(),
        }
    }
}

impl Workspace {
    /// Whether the workspace may use `version`.
    pub fn allows(&self, version: &id::VersionRef) -> bool {
        self.models.iter().any(|allowed| allowed.covers(version))
    }
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Endpoint {
    /// The zone where it stands.
    pub zone: id::ZoneId,
    /// Address as `ip:port`.
    pub address: std::net::SocketAddr,
    /// Versions that it may run.
    #[serde(default)]
    pub versions: BTreeSet<id::VersionRef>,
    /// Plain services that it runs.
    #[serde(default)]
    pub services: BTreeSet<id::ServiceId>,
    /// Requests that it can run at once when warm.
    pub slots: u32,
    /// Requests that it can run at once in a cold start.
    #[serde(default = "default_cold")]
    pub cold_slots: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Versions, without adapters, that fit at once; without it, all are always loaded.
    #[serde(default)]
    pub memory: Option<u32>,
    /// Adapters that fit at once beside the versions.
    #[serde(default)]
    pub adapters: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: AdminState,
}

const fn default_cold() -> u32 {
    1
}

impl Endpoint {
    /// Whether the endpoint can run `target`.
    pub fn serves(&self, target: &id::Target) -> bool {
        match target {
            id::Target::Version(version) => self.versions.contains(version),
            id::Target::Service(service) => self.services.contains(service),
        }
    }
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// Repeat classes by method and path prefix; the first match counts.
    #[serde(default)]
    pub calls: Vec<CallRule>,
}

impl Service {
    /// Repeat class of a call; a call that no rule covers may not be repeated.
    pub fn repeat(&self, method: &str, path: &str) -> repeat::Repeat {
        let rule = self.calls.iter().find(|call| call.matches(method, path));
        rule.map_or(repeat::Repeat::Never, |call| call.repeat)
    }
}

/// Repeat class of some calls of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method in capitals, or `*`.
    pub method: String,
    /// Prefix of the path below the service, starting with `/`.
    pub path: String,
    /// The class.
    pub repeat: repeat::Repeat,
}

impl CallRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == "*" || self.method == method;
        method_fits && path.starts_with(&self.path)
    }
}

/// A roll-out of a version in stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Rollout {
    /// The version that serves today.
    pub from: id::VersionRef,
    /// The version that is rolled out.
    pub to: id::VersionRef,
    /// Share of sessions on the new version in each stage, in percent.
    pub stages: Vec<u8>,
    /// Index of the stage in force.
    #[serde(default)]
    pub stage: usize,
    /// Least time in one stage.
    #[serde(default = "default_dwell")]
    pub dwell: time::Millis,
    /// What the roll-out does now.
    #[serde(default)]
    pub state: RolloutState,
    /// Why it was halted, if it was.
    #[serde(default)]
    pub reason: Option<String>,
}

const fn default_dwell() -> time::Millis {
    time::Millis::from_secs(600)
}

/// What a roll-out does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// It advances by itself.
    #[default]
    Running,
    /// It stays in its stage.
    Paused,
    /// It ended badly: all sessions without a pin are on the old version.
    Halted,
    /// The new version serves everything.
    Done,
}

impl fmt::Display for RolloutState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Halted => "halted",
            Self::Done => "done",
        })
    }
}

impl Rollout {
    /// Share of sessions on the new version now, in percent.
    pub fn percent(&self) -> u8 {
        match self.state {
            RolloutState::Halted => 0,
            RolloutState::Done => 100,
            RolloutState::Running | RolloutState::Paused => {
                self.stages.get(self.stage).copied().unwrap_or(0)
            }
        }
    }
}
