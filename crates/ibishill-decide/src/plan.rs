//! The entry daemon's decision: which version runs, and which owners to ask, in order.

use std::collections::BTreeSet;

use ibishill_config::{declared, in_force};
use ibishill_core::{id, outcome, view};
use xxhash_rust::xxh3;

use crate::{cohort, owner};

/// What the caller wants to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selector {
    /// The cheapest allowed version that meets the quality target.
    Auto,
    /// A version of this model, chosen by its roll-outs for the session or request.
    Model(id::ModelId),
    /// Exactly this version.
    Version(id::VersionRef),
    /// A plain service.
    Service(id::ServiceId),
}

/// The part of a request that planning depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Assigns a request without a session to a roll-out cohort, and spreads requests over owners.
    pub request: id::RequestId,
    /// The caller's workspace, which has to be declared.
    pub workspace: id::WorkspaceId,
    /// What the caller wants to run.
    pub selector: Selector,
    /// The caller's session, if it named one.
    pub session: Option<id::SessionId>,
    /// The version that the session is pinned to, if any.
    pub pinned: Option<id::VersionRef>,
}

/// An owner that may admit the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The owner's zone.
    pub zone: id::ZoneId,
    /// The daemon that owns at least one suitable endpoint.
    pub owner: view::Member,
}

/// The target of a request and its possible owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The chosen version, or the service.
    pub target: id::Target,
    /// The owners to ask, in order of preference; never empty.
    pub routes: Vec<Route>,
}

/// Where a daemon runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The daemon's VM.
    pub vm: id::VmId,
    /// The VM's availability zone.
    pub zone: id::ZoneId,
}

/// Chooses the target and orders the owners: those in this daemon's zone first, the daemon itself
/// before the others.
///
/// # Errors
///
/// Refuses, as not run, a request that the workspace may not make or that no endpoint in service
/// can run.
pub fn plan(
    config: &in_force::InForce,
    views: &view::Views,
    location: &Location,
    request: &Request,
) -> Result<Plan, outcome::Refusal> {
    let target = choose_target(&config.declared, request)?;
    let routes = routes(&config.declared, views, location, &target, &request.request);
    if routes.is_empty() {
        let detail = format!("no endpoint in service runs {target}");
        return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
    }
    Ok(Plan { target, routes })
}

fn choose_target(
    declared: &declared::Declared,
    request: &Request,
) -> Result<id::Target, outcome::Refusal> {
    let refuse = outcome::Refusal::not_run::<String>;
    let Some(workspace) = declared.workspaces.get(&request.workspace) else {
        return Err(refuse(outcome::Reason::Unauthorized, "the workspace is not declared".into()));
    };
    if let Selector::Service(service) = &request.selector {
        if !workspace.services.contains(service) {
            let detail = format!("the workspace may not use {service}");
            return Err(refuse(outcome::Reason::NotAllowed, detail));
        }
        return Ok(id::Target::Service(service.clone()));
    }
    choose_version(declared, workspace, request).map(id::Target::Version)
}

fn choose_version(
    declared: &declared::Declared,
    workspace: &declared::Workspace,
    request: &Request,
) -> Result<id::VersionRef, outcome::Refusal> {
    if let Some(pinned) =
        request.pinned.as_ref().filter(|pinned| request.selector.honors_pin(pinned))
        && check_version(declared, workspace, pinned).is_ok()
    {
        return Ok(pinned.clone());
    }
    let version = match &request.selector {
        Selector::Version(version) => {
            check_version(declared, workspace, version)?;
            return Ok(version.clone());
        }
        Selector::Model(model) => model_version(declared, workspace, request, model)?,
        Selector::Auto | Selector::Service(_) => cheapest_version(declared, workspace)?,
    };
    Ok(follow_rollouts(declared, workspace, request, version))
}

impl Selector {
    /// Whether the session's pin to `pinned` applies: only where the router chooses the version,
    /// and only within the selected model.
    pub fn honors_pin(&self, pinned: &id::VersionRef) -> bool {
        match self {
            Self::Auto => true,
            Self::Model(model) => pinned.model == *model,
            Self::Version(_) | Self::Service(_) => false,
        }
    }
}

/// Checks that a workspace may use a version now.
///
/// # Errors
///
/// Refuses a version that is not declared, not allowed to the workspace, or withdrawn.
pub fn check_version(
    declared: &declared::Declared,
    workspace: &declared::Workspace,
    version: &id::VersionRef,
) -> Result<(), outcome::Refusal> {
    let Some(found) = declared.versions.get(version) else {
        let detail = format!("{version} is not declared");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotFound, detail));
    };
    if !workspace.allows(version) {
        let detail = format!("the workspace may not use {version}");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotAllowed, detail));
    }
    if found.state == declared::VersionState::Withdrawn {
        let detail = format!("{version} was withdrawn");
        return Err(outcome::Refusal::not_run(outcome::Reason::Withdrawn, detail));
    }
    Ok(())
}

fn serving_versions<'a>(
    declared: &'a declared::Declared,
    workspace: &'a declared::Workspace,
) -> impl Iterator<Item = (&'a id::VersionRef, &'a declared::Version)> {
    declared.versions.iter().filter(|(name, version)| {
        let serves = match version.state {
            declared::VersionState::Serving => true,
            declared::VersionState::Candidate => is_rolled_out(declared, name),
            declared::VersionState::Withdrawn => false,
        };
        serves && workspace.allows(name)
    })
}

// A candidate rolled out to 100 percent serves even if its predecessor is withdrawn.
fn is_rolled_out(declared: &declared::Declared, version: &id::VersionRef) -> bool {
    declared.rollouts.values().any(|rollout| rollout.to == *version && rollout.percent() == 100)
}

fn model_version(
    declared: &declared::Declared,
    workspace: &declared::Workspace,
    request: &Request,
    model: &id::ModelId,
) -> Result<id::VersionRef, outcome::Refusal> {
    let newest =
        serving_versions(declared, workspace).filter(|(name, _)| name.model == *model).last();
    if let Some((name, _)) = newest {
        return Ok(name.clone());
    }
    let mut known = declared.versions.keys().filter(|name| name.model == *model).peekable();
    if known.peek().is_none() {
        let detail = format!("model {model} is not declared");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotFound, detail));
    }
    let reason = if known.any(|name| workspace.allows(name)) {
        outcome::Reason::Withdrawn
    } else {
        outcome::Reason::NotAllowed
    };
    let detail = format!("no version of {model} serves workspace {}", request.workspace);
    Err(outcome::Refusal::not_run(reason, detail))
}

fn cheapest_version(
    declared: &declared::Declared,
    workspace: &declared::Workspace,
) -> Result<id::VersionRef, outcome::Refusal> {
    let meets_target = serving_versions(declared, workspace)
        .filter(|(_, v)| v.quality >= workspace.quality_target);
    let cheapest = meets_target.min_by_key(|(_, v)| v.prompt_price + v.output_price);
    let best = || {
        serving_versions(declared, workspace)
            .max_by(|(_, a), (_, b)| a.quality.total_cmp(&b.quality))
    };
    match cheapest.or_else(best) {
        Some((name, _)) => Ok(name.clone()),
        None => Err(outcome::Refusal::not_run(
            outcome::Reason::NotAllowed,
            "the workspace may use no version that serves",
        )),
    }
}

// Follows a chain of roll-outs, as the new version of one may be the old one of the next.
fn follow_rollouts(
    declared: &declared::Declared,
    workspace: &declared::Workspace,
    request: &Request,
    version: id::VersionRef,
) -> id::VersionRef {
    let key = request.session.as_ref().map_or(request.request.as_str(), id::SessionId::as_str);
    let mut version = version;
    // A session keeps its version even if the request is refused for it; a request without a
    // session falls back to a version that an endpoint serves.
    let may_run = |to: &id::VersionRef| request.session.is_some() || has_endpoint(declared, to);
    // Bounds the loop if the roll-outs form a cycle.
    for _ in 0..declared.rollouts.len() {
        let next = declared.rollouts.iter().find(|(name, rollout)| {
            rollout.from == version
                && cohort::contains(name, rollout, key)
                && check_version(declared, workspace, &rollout.to).is_ok()
                && may_run(&rollout.to)
        });
        let Some((_, rollout)) = next else { break };
        version = rollout.to.clone();
    }
    version
}

/// The versions that may answer a request without a session, with roll-outs applied to each.
pub fn candidates(
    declared: &declared::Declared,
    request: &Request,
) -> Vec<(id::VersionRef, declared::Version)> {
    let Some(workspace) = declared.workspaces.get(&request.workspace) else { return Vec::new() };
    let versions: BTreeSet<_> = serving_versions(declared, workspace)
        .map(|(name, _)| follow_rollouts(declared, workspace, request, name.clone()))
        .filter(|name| has_endpoint(declared, name))
        .collect();
    let with_declaration =
        |name: id::VersionRef| Some((name.clone(), declared.versions.get(&name)?.clone()));
    versions.into_iter().filter_map(with_declaration).collect()
}

fn has_endpoint(declared: &declared::Declared, version: &id::VersionRef) -> bool {
    let target = id::Target::Version(version.clone());
    declared.endpoints.values().any(|endpoint| {
        let zone = declared.zones.get(&endpoint.zone);
        let open = zone.is_some_and(|zone| zone.state == declared::AdminState::In);
        open && endpoint.state == declared::AdminState::In && endpoint.serves(&target)
    })
}

fn routes(
    declared: &declared::Declared,
    views: &view::Views,
    location: &Location,
    target: &id::Target,
    request: &id::RequestId,
) -> Vec<Route> {
    let mut seen = BTreeSet::new();
    let mut routes = Vec::new();
    let open = |zone: &id::ZoneId| {
        declared.zones.get(zone).is_some_and(|zone| zone.state == declared::AdminState::In)
    };
    for (name, endpoint) in &declared.endpoints {
        let usable = endpoint.state == declared::AdminState::In && endpoint.serves(target);
        if !usable || !open(&endpoint.zone) {
            continue;
        }
        let Some(view) = views.zones.get(&endpoint.zone) else { continue };
        let Some(owner) = owner::owner(view, name) else { continue };
        if seen.insert(owner.vm.clone()) {
            routes.push(Route { zone: endpoint.zone.clone(), owner: owner.clone() });
        }
    }
    routes.sort_by_key(|route| {
        let local = route.owner.vm == location.vm;
        let same_zone = route.zone == location.zone;
        let spread = xxh3::xxh3_64_with_seed(
            route.owner.vm.as_str().as_bytes(),
            xxh3::xxh3_64(request.as_str().as_bytes()),
        );
        (!same_zone, !local, spread)
    });
    routes
}
