//! Steps of each call, computed from the current declarations.

use ibishill_config::{change, declared, document as documents};
use ibishill_core::{id, time};
use tonic::Status;

use super::proposal::invalid;
use crate::generated::{RolloutAction, RolloutRequest};

const STAGE_DWELL: time::Millis = time::Millis::from_secs(600);

type StepsResult = Result<Vec<change::Step>, Status>;

/// Returns the steps that apply a document. A partial one keeps the objects that it doesn't name.
pub(super) fn document(base: &declared::Declared, text: &str, partial: bool) -> StepsResult {
    let next = if partial {
        let added = documents::partial("document", text).map_err(invalid)?;
        change::merge(base, added)
    } else {
        documents::declared("document", text).map_err(invalid)?
    };
    Ok(change::diff(base, &next))
}

fn admin_state(in_service: bool) -> declared::AdminState {
    if in_service { declared::AdminState::In } else { declared::AdminState::Out }
}

/// Action name in the audit log, such as `zone out`.
pub(super) fn admin_action(in_service: bool, kind: &str) -> String {
    if in_service { format!("{kind} in") } else { format!("{kind} out") }
}

/// Returns the steps that take a zone out of service or put it back.
pub(super) fn zone(base: &declared::Declared, name: &str, in_service: bool) -> StepsResult {
    let name: id::ZoneId = name.parse().map_err(invalid)?;
    let Some(mut zone) = base.zones.get(&name).cloned() else {
        return Err(Status::not_found(format!("zone {name} is not declared")));
    };
    zone.state = admin_state(in_service);
    Ok(vec![change::Step::PutZone(name, zone)])
}

/// Returns the steps that take an endpoint out of service or put it back.
pub(super) fn endpoint(base: &declared::Declared, name: &str, in_service: bool) -> StepsResult {
    let name: id::EndpointId = name.parse().map_err(invalid)?;
    let Some(mut endpoint) = base.endpoints.get(&name).cloned() else {
        return Err(Status::not_found(format!("endpoint {name} is not declared")));
    };
    endpoint.state = admin_state(in_service);
    Ok(vec![change::Step::PutEndpoint(name, endpoint)])
}

/// Returns the steps that withdraw a version and halt the active roll-outs to it.
pub(super) fn withdraw(base: &declared::Declared, name: &str) -> StepsResult {
    let name: id::VersionRef = name.parse().map_err(invalid)?;
    let Some(mut version) = base.versions.get(&name).cloned() else {
        return Err(Status::not_found(format!("version {name} is not declared")));
    };
    version.state = declared::VersionState::Withdrawn;
    let mut steps = vec![change::Step::PutVersion(name.clone(), version)];
    let affected = base.rollouts.iter().filter(|(_, rollout)| rollout.to == name);
    for (id, rollout) in affected.filter(|(_, rollout)| is_active(rollout)) {
        let mut halted = rollout.clone();
        halted.state = declared::RolloutState::Halted;
        halted.reason = Some(format!("{name} was withdrawn"));
        steps.push(change::Step::PutRollout(id.clone(), halted));
    }
    Ok(steps)
}

fn is_active(rollout: &declared::Rollout) -> bool {
    matches!(rollout.state, declared::RolloutState::Running | declared::RolloutState::Paused)
}

/// Returns the steps of an action on a roll-out.
pub(super) fn rollout(base: &declared::Declared, message: &RolloutRequest) -> StepsResult {
    let name: id::RolloutId = message.rollout.parse().map_err(invalid)?;
    let existing = base.rollouts.get(&name);
    let next = match (message.action(), existing) {
        (RolloutAction::Unspecified, _) => {
            return Err(Status::invalid_argument("field 'action' is missing"));
        }
        (RolloutAction::Start, Some(_)) => {
            let text = format!("roll-out {name} exists; resume it or choose another name");
            return Err(Status::failed_precondition(text));
        }
        (RolloutAction::Start, None) => start(message)?,
        (_, None) => {
            return Err(Status::not_found(format!("roll-out {name} is not declared")));
        }
        (action, Some(rollout)) => transition(rollout, action, message)
            .map_err(|hint| wrong_state(&name, rollout, hint))?,
    };
    let target = base.versions.get(&next.to);
    let withdrawn = target.is_some_and(|to| to.state == declared::VersionState::Withdrawn);
    if withdrawn && is_active(&next) {
        let text = format!("version {} is withdrawn; roll out another one", next.to);
        return Err(Status::failed_precondition(text));
    }
    Ok(vec![change::Step::PutRollout(name, next)])
}

fn wrong_state(name: &id::RolloutId, rollout: &declared::Rollout, hint: &str) -> Status {
    let state = rollout.state;
    Status::failed_precondition(format!("roll-out {name} is {state}; {hint}"))
}

// Returns the roll-out after `action`. The error is a hint at what is possible in its state.
fn transition(
    rollout: &declared::Rollout,
    action: RolloutAction,
    message: &RolloutRequest,
) -> Result<declared::Rollout, &'static str> {
    use declared::RolloutState::{Done, Halted, Paused, Running};
    let mut next = rollout.clone();
    match (action, rollout.state) {
        (_, Done) => return Err("start another one"),
        (RolloutAction::Pause, Running) => next.state = Paused,
        (RolloutAction::Pause, Paused) => return Err("resume, advance or halt it"),
        (RolloutAction::Resume, Paused | Halted) => {
            next.state = Running;
            next.reason = None;
        }
        (RolloutAction::Resume, Running) => return Err("pause, advance or halt it"),
        (RolloutAction::Advance, Running | Paused) if next.stage + 1 < next.stages.len() => {
            next.stage += 1;
        }
        (RolloutAction::Advance, Running | Paused) => next.state = Done,
        (RolloutAction::Halt, Running | Paused) => {
            next.state = Halted;
            next.reason = Some(message.reason.clone()).filter(|reason| !reason.is_empty());
        }
        (_, Halted) => return Err("resume it first"),
        (RolloutAction::Start | RolloutAction::Unspecified, _) => return Err("it already exists"),
    }
    Ok(next)
}

fn start(message: &RolloutRequest) -> Result<declared::Rollout, Status> {
    let version = |text: &str, field: &str| {
        text.parse::<id::VersionRef>().map_err(|error| invalid(format!("{field}: {error}")))
    };
    let stages: Result<Vec<u8>, _> = message.stages.iter().map(|&s| u8::try_from(s)).collect();
    Ok(declared::Rollout {
        from: version(&message.from_version, "from")?,
        to: version(&message.to_version, "to")?,
        stages: stages
            .map_err(|_| Status::invalid_argument("stages must be percentages from 1 to 100"))?,
        stage: 0,
        dwell: STAGE_DWELL,
        state: declared::RolloutState::Running,
        reason: None,
    })
}
