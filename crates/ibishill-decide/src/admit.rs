//! The owner's decision: whether a request may run now, and at which endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ibishill_config::{declared, in_force};
use ibishill_core::{id, outcome, time, view};

use crate::{choose, cold, owner, plan};

const RETRY_AFTER: time::Millis = time::Millis(1_000);

/// A request as the owner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What runs.
    pub target: id::Target,
}

/// Where an admitted request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// The owner's state: one gate per endpoint.
#[derive(Debug, Clone, Default)]
pub struct Owner {
    gates: BTreeMap<id::EndpointId, cold::Gate>,
}

impl Owner {
    /// Admits a request to one of the endpoints that this daemon owns.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run.
    pub fn admit(
        &mut self,
        config: &in_force::InForce,
        view: &view::View,
        place: &plan::Place,
        job: &Job,
        now: time::Tick,
    ) -> Result<Admission, outcome::Refusal> {
        check_job(&config.declared, place, job)?;
        let loads = self.loads(&config.declared, view, place, &job.target, now);
        if loads.is_empty() {
            let detail = format!("{} owns no endpoint of {}", place.vm, job.target);
            return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
        }
        let Some(load) = choose::choose(&loads, &job.request) else {
            let detail = format!("all endpoints of {} are at their limit", job.target);
            let refusal = outcome::Refusal::not_run(outcome::Reason::Overloaded, detail);
            return Err(refusal.retry_after(RETRY_AFTER));
        };
        let endpoint = load.endpoint.clone();
        if let Some(gate) = self.gates.get_mut(&endpoint) {
            gate.admit();
        }
        let address = config.declared.endpoints[&endpoint].address;
        Ok(Admission { endpoint, address })
    }

    fn loads(
        &mut self,
        declared: &declared::Declared,
        view: &view::View,
        place: &plan::Place,
        target: &id::Target,
        now: time::Tick,
    ) -> Vec<choose::Load> {
        let mut loads = Vec::new();
        for (name, endpoint) in &declared.endpoints {
            let usable = endpoint.zone == place.zone
                && endpoint.state == declared::ServiceState::In
                && endpoint.serves(target);
            let mine = || owner::owner(view, name).is_some_and(|owner| owner.vm == place.vm);
            if !usable || !mine() {
                continue;
            }
            let limits = cold::Limits { cold: endpoint.cold_slots, warm: endpoint.slots };
            let gate =
                self.gates.entry(name.clone()).or_insert_with(|| cold::Gate::cold(limits, now));
            gate.set_limits(limits);
            loads.push(choose::Load {
                endpoint: name.clone(),
                running: gate.running(),
                limit: gate.limit(),
            });
        }
        loads
    }

    /// Ends a request that ran at `endpoint`.
    pub fn finish(&mut self, endpoint: &id::EndpointId, answer: cold::Answer, now: time::Tick) {
        if let Some(gate) = self.gates.get_mut(endpoint) {
            gate.finish(answer, now);
        }
    }

    /// The gates by endpoint.
    pub fn gates(&self) -> &BTreeMap<id::EndpointId, cold::Gate> {
        &self.gates
    }
}

fn check_job(
    declared: &declared::Declared,
    place: &plan::Place,
    job: &Job,
) -> Result<(), outcome::Refusal> {
    let Some(space) = declared.workspaces.get(&job.workspace) else {
        let detail = "the workspace is not declared";
        return Err(outcome::Refusal::not_run(outcome::Reason::Unauthorized, detail));
    };
    let zone = declared.zones.get(&place.zone);
    if zone.is_none_or(|zone| zone.state == declared::ServiceState::Out) {
        let detail = format!("zone {} is out of service", place.zone);
        return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
    }
    match &job.target {
        id::Target::Version(version) => plan::check_version(declared, space, version),
        id::Target::Service(service) if space.services.contains(service) => Ok(()),
        id::Target::Service(service) => {
            let detail = format!("the workspace may not use {service}");
            Err(outcome::Refusal::not_run(outcome::Reason::NotAllowed, detail))
        }
    }
}
