//! The entry daemon's decision: which version, then which owners to ask, in order.

use std::collections::BTreeSet;

use ibishill_config::{declared, in_force};
use ibishill_core::{id, outcome, view};
use xxhash_rust::xxh3;

use crate::{cohort, owner};

/// What the caller asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selector {
    /// The cheapest allowed version that meets the quality target.
    Auto,
    /// The version of this model that the roll-out gives the session.
    Model(id::ModelId),
    /// Exactly this version.
    Version(id::VersionRef),
    /// A plain service.
    Service(id::ServiceId),
}

/// A request as the plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The request.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What the caller asked for.
    pub selector: Selector,
    /// The caller's session.
    pub session: Option<id::SessionId>,
    /// The version that the session is pinned to.
    pub pinned: Option<id::VersionRef>,
}

/// One owner to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The owner's zone.
    pub zone: id::ZoneId,
    /// The owner.
    pub owner: view::Member,
}

/// The decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What runs.
    pub target: id::Target,
    /// The owners to ask, best first.
    pub routes: Vec<Route>,
}

/// Where the daemon that plans stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Its VM.
    pub vm: id::VmId,
    /// Its zone.
    pub zone: id::ZoneId,
}

/// Decides version and owners.
///
/// # Errors
///
/// A refusal of a request that has not run.
pub fn plan(
    config: &in_force::InForce,
    views: &view::Views,
    place: &Location,
    ask: &Request,
) -> Result<Plan, outcome::Refusal> {
    let target = target(&config.declared, ask)?;
    let routes = routes(&config.declared, views, place, &target, &ask.request);
    if routes.is_empty() {
        let detail = format!("no endpoint in service runs {target}");
        return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
    }
    Ok(Plan { target, routes })
}

fn target(declared: &declared::Declared, ask: &Request) -> Result<id::Target, outcome::Refusal> {
    let refuse = outcome::Refusal::not_run::<String>;
    let Some(space) = declared.workspaces.get(&ask.workspace) else {
        return Err(refuse(outcome::Reason::Unauthorized, "the workspace is not declared".into()));
    };
    if let Selector::Service(service) = &ask.selector {
        if !space.services.contains(service) {
            let detail = format!("the workspace may not use {service}");
            return Err(refuse(outcome::Reason::NotAllowed, detail));
        }
        return Ok(id::Target::Service(service.clone()));
    }
    version(declared, space, ask).map(id::Target::Version)
}

fn version(
    declared: &declared::Declared,
    space: &declared::Workspace,
    ask: &Request,
) -> Result<id::VersionRef, outcome::Refusal> {
    if let Some(pinned) = ask.pinned.as_ref().filter(|pinned| ask.selector.honors_pin(pinned))
        && check_version(declared, space, pinned).is_ok()
    {
        return Ok(pinned.clone());
    }
    let version = match &ask.selector {
        Selector::Version(version) => {
            check_version(declared, space, version)?;
            return Ok(version.clone());
        }
        Selector::Model(model) => model_version(declared, space, ask, model)?,
        Selector::Auto | Selector::Service(_) => cheapest(declared, space)?,
    };
    Ok(cohort(declared, space, ask, version))
}

impl Selector {
    /// Whether a pin decides: within its own model, and where the choice is the router's.
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
/// A refusal that says what stands against it.
pub fn check_version(
    declared: &declared::Declared,
    space: &declared::Workspace,
    version: &id::VersionRef,
) -> Result<(), outcome::Refusal> {
    let Some(found) = declared.versions.get(version) else {
        let detail = format!("{version} is not declared");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotFound, detail));
    };
    if !space.allows(version) {
        let detail = format!("the workspace may not use {version}");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotAllowed, detail));
    }
    if found.state == declared::VersionState::Withdrawn {
        let detail = format!("{version} was withdrawn");
        return Err(outcome::Refusal::not_run(outcome::Reason::Withdrawn, detail));
    }
    Ok(())
}

fn serving<'a>(
    declared: &'a declared::Declared,
    space: &'a declared::Workspace,
) -> impl Iterator<Item = (&'a id::VersionRef, &'a declared::Version)> {
    declared.versions.iter().filter(|(name, version)| {
        let serves = match version.state {
            declared::VersionState::Serving => true,
            declared::VersionState::Candidate => rolled_out(declared, name),
            declared::VersionState::Withdrawn => false,
        };
        serves && space.allows(name)
    })
}

// A candidate that has got everything serves also when its predecessor is withdrawn.
fn rolled_out(declared: &declared::Declared, version: &id::VersionRef) -> bool {
    declared.rollouts.values().any(|rollout| rollout.to == *version && rollout.percent() == 100)
}

fn model_version(
    declared: &declared::Declared,
    space: &declared::Workspace,
    ask: &Request,
    model: &id::ModelId,
) -> Result<id::VersionRef, outcome::Refusal> {
    let newest = serving(declared, space).filter(|(name, _)| name.model == *model).last();
    if let Some((name, _)) = newest {
        return Ok(name.clone());
    }
    let mut known = declared.versions.keys().filter(|name| name.model == *model).peekable();
    if known.peek().is_none() {
        let detail = format!("model {model} is not declared");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotFound, detail));
    }
    let reason = if known.any(|name| space.allows(name)) {
        outcome::Reason::Withdrawn
    } else {
        outcome::Reason::NotAllowed
    };
    let detail = format!("no version of {model} serves workspace {}", ask.workspace);
    Err(outcome::Refusal::not_run(reason, detail))
}

fn cheapest(
    declared: &declared::Declared,
    space: &declared::Workspace,
) -> Result<id::VersionRef, outcome::Refusal> {
    let good = serving(declared, space).filter(|(_, v)| v.quality >= space.quality_target);
    let cheap = good.min_by_key(|(_, v)| v.prompt_price + v.output_price);
    let best = || serving(declared, space).max_by(|(_, a), (_, b)| a.quality.total_cmp(&b.quality));
    match cheap.or_else(best) {
        Some((name, _)) => Ok(name.clone()),
        None => Err(outcome::Refusal::not_run(
            outcome::Reason::NotAllowed,
            "the workspace may use no version that serves",
        )),
    }
}

// Follows roll-outs one after another, as the new version of one may be the old one of the next.
fn cohort(
    declared: &declared::Declared,
    space: &declared::Workspace,
    ask: &Request,
    version: id::VersionRef,
) -> id::VersionRef {
    let key = ask.session.as_ref().map_or(ask.request.as_str(), id::SessionId::as_str);
    let mut version = version;
    // A session keeps its version even if that means a refusal; a lone request has none to keep.
    let may_run = |to: &id::VersionRef| ask.session.is_some() || served(declared, to);
    // Each round follows one roll-out, so that a circle of them ends.
    for _ in 0..declared.rollouts.len() {
        let next = declared.rollouts.iter().find(|(name, rollout)| {
            rollout.from == version
                && cohort::contains(name, rollout, key)
                && check_version(declared, space, &rollout.to).is_ok()
                && may_run(&rollout.to)
        });
        let Some((_, rollout)) = next else { break };
        version = rollout.to.clone();
    }
    version
}

/// The versions that may answer a request without a session, each in place of the one
/// that a roll-out has moved the request from.
pub fn candidates(
    declared: &declared::Declared,
    ask: &Request,
) -> Vec<(id::VersionRef, declared::Version)> {
    let Some(space) = declared.workspaces.get(&ask.workspace) else { return Vec::new() };
    let placed: BTreeSet<_> = serving(declared, space)
        .map(|(name, _)| cohort(declared, space, ask, name.clone()))
        .filter(|name| served(declared, name))
        .collect();
    let known = |name: id::VersionRef| Some((name.clone(), declared.versions.get(&name)?.clone()));
    placed.into_iter().filter_map(known).collect()
}

fn served(declared: &declared::Declared, version: &id::VersionRef) -> bool {
    let target = id::Target::Version(version.clone());
    declared.endpoints.values().any(|endpoint| {
        let zone = declared.zones.get(&endpoint.zone);
        let open = zone.is_some_and(|zone| zone.state == declared::ServiceState::In);
        open && endpoint.state == declared::ServiceState::In && endpoint.serves(&target)
    })
}

fn routes(
    declared: &declared::Declared,
    views: &view::Views,
    place: &Location,
    target: &id::Target,
    request: &id::RequestId,
) -> Vec<Route> {
    let mut seen = BTreeSet::new();
    let mut routes = Vec::new();
    let open = |zone: &id::ZoneId| {
        declared.zones.get(zone).is_some_and(|zone| zone.state == declared::ServiceState::In)
    };
    for (name, endpoint) in &declared.endpoints {
        let usable = endpoint.state == declared::ServiceState::In && endpoint.serves(target);
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
        let local = route.owner.vm == place.vm;
        let near = route.zone == place.zone;
        let spread = xxh3::xxh3_64_with_seed(
            route.owner.vm.as_str().as_bytes(),
            xxh3::xxh3_64(request.as_str().as_bytes()),
        );
        (!near, !local, spread)
    });
    routes
}
