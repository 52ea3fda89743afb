//! Demand by model version, the input of placement.

use std::collections::BTreeMap;

use ibishill_core::{id, outcome};
use ibishill_decide::{admit, place::target};

/// Requests in flight by endpoint and version; no entry is zero.
pub type Active = BTreeMap<(id::EndpointId, id::VersionRef), u32>;

/// Demand for the versions of this daemon's endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Running, queued and refused requests by version.
    pub counts: BTreeMap<id::VersionRef, target::Count>,
}

/// Counts admissions and refusals of the router.
#[derive(Debug, Default)]
pub(super) struct Tally {
    not_admitted: BTreeMap<id::VersionRef, target::Count>,
    active: Active,
}

impl Tally {
    pub(super) fn record_decision(
        &mut self,
        target: &id::Target,
        result: &Result<admit::Admission, outcome::Refusal>,
    ) {
        let id::Target::Version(version) = target else { return };
        match result {
            Ok(admission) => {
                let key = (admission.endpoint.clone(), version.clone());
                *self.active.entry(key).or_default() += 1;
            }
            Err(refusal) => {
                let count = self.not_admitted.entry(version.clone()).or_default();
                match refusal.reason {
                    outcome::Reason::NoEndpoint => count.missed += 1,
                    outcome::Reason::Overloaded | outcome::Reason::Deadline => count.refused += 1,
                    _ => {}
                }
            }
        }
    }

    pub(super) fn record_end(&mut self, target: &id::Target, endpoint: &id::EndpointId) {
        let id::Target::Version(version) = target else { return };
        let key = (endpoint.clone(), version.clone());
        if let Some(count) = self.active.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.active.remove(&key);
            }
        }
    }

    pub(super) fn active(&self) -> &Active {
        &self.active
    }

    pub(super) fn take<'a, Q>(&mut self, queued: Q) -> Demand
    where
        Q: Iterator<Item = (&'a id::VersionRef, usize)>,
    {
        let mut counts = std::mem::take(&mut self.not_admitted);
        for ((_, version), running) in &self.active {
            counts.entry(version.clone()).or_default().running += running;
        }
        for (version, waiting) in queued {
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            counts.entry(version.clone()).or_default().queued += waiting;
        }
        Demand { counts }
    }
}
