//! Declared objects: zones, model versions, workspaces, endpoints, services and roll-outs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ibishill_core::{cost, id, repeat, time};
use serde::{Deserialize, Serialize};

use crate::key;

/// All declarations of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Declared {
    /// Measure that takes precedence in a trade-off.
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

/// Declarations that are merged into existing ones.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Partial {
    /// The policy; none if the document does not set it.
    pub policy: Option<Policy>,
    /// The objects; the field `policy` in them is ignored.
    pub objects: Declared,
}

/// Measure that takes precedence where two measures conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Latency and availability during zone changes take precedence.
    #[default]
    Latency,
    /// Cost and low exposure to bad versions take precedence.
    Cost,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Zone {
    /// The region that contains the zone.
    pub region: id::RegionId,
    /// Whether operators let the zone receive new requests.
    #[serde(default)]
    pub state: AdminState,
}

/// Administrative state of a zone or endpoint, set by operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminState {
    /// In service: receives new requests.
    #[default]
    In,
    /// Taken out of service by operators.
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
    /// Expected share of accepted answers, 0 to 1, used until ratings are known.
    pub quality: f64,
    /// Base version if this version is an adapter.
    #[serde(default)]
    pub base: Option<id::VersionRef>,
    /// Whether the version may receive new requests.
    #[serde(default)]
    pub state: VersionState,
}

/// Whether a model version may receive new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Serves all requests for its model.
    #[default]
    Serving,
    /// Serves only the cohort of a roll-out and requests that name the version.
    Candidate,
    /// Receives no new requests.
    Withdrawn,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Workspace {
    /// Hashes of the API keys that callers present.
    pub keys: Vec<key::KeyHash>,
    /// Models and versions that the workspace may use, as `model` or `model@version`.
    #[serde(default)]
    pub models: BTreeSet<ModelSelector>,
    /// Plain services that the workspace may use.
    #[serde(default)]
    pub services: BTreeSet<id::ServiceId>,
    /// Target share of accepted answers, 0 to 1.
    #[serde(default = "default_target")]
    pub quality_target: f64,
    /// Weight of the workspace in fair sharing when capacity is short, at least 1.
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
    /// Whether the selector includes `version`.
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
    fn from(selector: ModelSelector) -> String {
        match selector {
            ModelSelector::Model(model) => model.to_string(),
            ModelSelector::Version(version) => version.to_string(),
        }
    }
}

impl Workspace {
    /// Whether the workspace may use `version`.
    pub fn allows(&self, version: &id::VersionRef) -> bool {
        self.models.iter().any(|selector| selector.covers(version))
    }
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Endpoint {
    /// The zone that contains the endpoint.
    pub zone: id::ZoneId,
    /// Address as `ip:port`.
    pub address: std::net::SocketAddr,
    /// Model versions that the endpoint may run.
    #[serde(default)]
    pub versions: BTreeSet<id::VersionRef>,
    /// Plain services that the endpoint runs.
    #[serde(default)]
    pub services: BTreeSet<id::ServiceId>,
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Maximum number of concurrent requests during a cold start.
    #[serde(default = "default_cold")]
    pub cold_slots: u32,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Number of versions, without adapters, that can be loaded at the same time; if absent, all
    /// versions are always loaded.
    #[serde(default)]
    pub memory: Option<u32>,
    /// Number of adapters that can be loaded in addition to the versions.
    #[serde(default)]
    pub adapters: u32,
    /// Whether operators let the endpoint receive new requests.
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
    /// Repeat classes by method and path prefix; the first matching rule applies.
    #[serde(default)]
    pub calls: Vec<CallRule>,
}

impl Service {
    /// Repeat class of a call; a call that matches no rule may not be repeated.
    pub fn repeat(&self, method: &str, path: &str) -> repeat::Repeat {
        let rule = self.calls.iter().find(|rule| rule.matches(method, path));
        rule.map_or(repeat::Repeat::Never, |rule| rule.repeat)
    }
}

/// Rule that sets the repeat class of matching calls of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method in upper case, or `*` for any.
    pub method: String,
    /// Prefix of the path below the service, starting with `/`.
    pub path: String,
    /// Repeat class of matching calls.
    pub repeat: repeat::Repeat,
}

impl CallRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method == method;
        method_matches && path.starts_with(&self.path)
    }
}

/// A staged roll-out of a model version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Rollout {
    /// The version that is replaced.
    pub from: id::VersionRef,
    /// The version that is rolled out.
    pub to: id::VersionRef,
    /// Share of sessions on the new version in each stage, in percent.
    pub stages: Vec<u8>,
    /// Index of the current stage, from 0.
    #[serde(default)]
    pub stage: usize,
    /// Minimum time in one stage.
    #[serde(default = "default_dwell")]
    pub dwell: time::Millis,
    /// Current state.
    #[serde(default)]
    pub state: RolloutState,
    /// Reason of the halt; absent if the roll-out was not halted.
    #[serde(default)]
    pub reason: Option<String>,
}

const fn default_dwell() -> time::Millis {
    time::Millis::from_secs(600)
}

/// State of a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Advances through its stages automatically.
    #[default]
    Running,
    /// Stays in the current stage.
    Paused,
    /// Stopped because of a problem: all sessions that are not pinned use the old version.
    Halted,
    /// Complete: the new version serves all sessions.
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
    /// Current share of sessions on the new version, in percent.
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
