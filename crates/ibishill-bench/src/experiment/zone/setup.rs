//! What a run is about and what it counts.

use ibishill_config::{declared, yaml};
use ibishill_core::id;

// The part of a VM's settings that matters here.
#[derive(Debug, serde::Deserialize)]
pub(super) struct Vm {
    pub(super) vm: id::VmId,
    pub(super) zone: id::ZoneId,
    pub(super) peers: std::net::SocketAddr,
}

/// A deployment's name, declarations and settings of its VMs.
pub(super) struct Deployment {
    /// The name.
    pub(super) name: &'static str,
    /// The declarations.
    pub(super) declared: &'static str,
    /// The settings of each VM.
    pub(super) vms: [&'static str; 6],
}

/// How owners are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// As the daemon does.
    Ours,
    /// As the daemon does, but a zone gets all its work back at once.
    NoRamp,
    /// Any owner with equal right.
    Equal,
    /// Owners of the entry daemon's zone only.
    Local,
    /// A planner that knows what each endpoint bears at any moment.
    Planner,
    /// As the daemon does, but only the entry daemon checks zones.
    EntryCheck,
}

/// What happens to the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// Operators take it out and bring it back; its endpoints come back cold.
    TakenOut,
    /// It is cut off from the others and the platform for the same time.
    CutOff,
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setup {
    /// How owners are asked.
    pub(super) way: Way,
    /// What happens.
    pub(super) fault: Fault,
    /// The policy in force.
    pub(super) policy: declared::Policy,
    /// Offered load of each target, in requests a second for one of its slots.
    pub(super) rate: f64,
}

/// Counts of requests that began within one part of the run.
#[derive(Debug, Clone, Default)]
pub(super) struct Part {
    /// Requests asked.
    pub(super) asked: u64,
    /// Answered within the deadline.
    pub(super) useful: u64,
    /// Times to the first token.
    pub(super) first: Vec<f64>,
    /// Runs at an endpoint of another zone.
    pub(super) crossed: u64,
}

/// What a run counted.
#[derive(Debug, Clone, Default)]
pub(super) struct Result {
    /// Before the zone leaves.
    pub(super) before: Part,
    /// From leave to return.
    pub(super) away: Part,
    /// From the return on.
    pub(super) back: Part,
    /// Of `away`: requests that entered in the zone.
    pub(super) inside: Part,
    /// Latest dispatch to the zone after the change was accepted, in milliseconds.
    pub(super) latest: u64,
    /// Answers, in time or not, after the warm-up.
    pub(super) answered: u64,
}

/// Reads a deployment's declarations.
pub(super) fn declarations(deployment: &Deployment) -> declared::Declared {
    yaml::read(deployment.name, deployment.declared).expect("the declarations are valid")
}

/// Share of a deployment's VMs that stand in `zone`.
pub(super) fn share_of_vms(deployment: &Deployment, zone: &id::ZoneId) -> f64 {
    let zones = deployment.vms.map(|text| {
        let vm: Vm = yaml::read("vm", text).expect("the settings are valid");
        vm.zone
    });
    let here = zones.iter().filter(|name| *name == zone).count();
    here as f64 / zones.len() as f64
}

/// The zone that leaves: the one with the most slots.
pub(super) fn leaving(declared: &declared::Declared) -> id::ZoneId {
    let slots = |zone: &id::ZoneId| -> u32 {
        let here = declared.endpoints.values().filter(|endpoint| endpoint.zone == *zone);
        here.map(|endpoint| endpoint.slots).sum()
    };
    let most = declared.zones.keys().max_by_key(|zone| slots(zone));
    most.expect("a zone is declared").clone()
}

/// The versions that serve, with their slots outside `but`.
pub(super) fn targets(
    declared: &declared::Declared,
    but: Option<&id::ZoneId>,
) -> Vec<(id::Target, u32)> {
    let serving = declared
        .versions
        .iter()
        .filter(|(_, version)| version.state == declared::VersionState::Serving);
    serving
        .map(|(name, _)| {
            let target = id::Target::Version(name.clone());
            let runs = declared
                .endpoints
                .values()
                .filter(|endpoint| endpoint.serves(&target) && Some(&endpoint.zone) != but);
            let slots = runs.map(|endpoint| endpoint.slots).sum();
            (target, slots)
        })
        .collect()
}
