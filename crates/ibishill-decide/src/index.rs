//! The endpoints that a daemon owns, by what they run; rebuilt only when something changed.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_config::{change, declared, in_force};
use ibishill_core::{id, view};

use crate::{owner, plan};

/// Endpoints of one owner by target.
#[derive(Debug, Clone, Default)]
pub struct Index {
    built: Option<(change::ConfigVersion, view::View)>,
    mine: BTreeSet<id::EndpointId>,
    targets: BTreeMap<id::Target, Vec<id::EndpointId>>,
}

impl Index {
    /// Whether the index stands for this configuration and view.
    pub fn is_current(&self, config: &in_force::InForce, view: &view::View) -> bool {
        self.built
            .as_ref()
            .is_some_and(|(version, known)| *version == config.version && known == view)
    }

    /// Rebuilds the index for a configuration and view.
    pub fn refresh(&mut self, config: &in_force::InForce, view: &view::View, place: &plan::Place) {
        self.built = Some((config.version, view.clone()));
        self.mine.clear();
        self.targets.clear();
        for (name, endpoint) in &config.declared.endpoints {
            let here = endpoint.zone == place.zone;
            if here && owner::owner(view, name).is_some_and(|owner| owner.vm == place.vm) {
                self.insert(name, endpoint);
            }
        }
    }

    fn insert(&mut self, name: &id::EndpointId, endpoint: &declared::Endpoint) {
        self.mine.insert(name.clone());
        if endpoint.state == declared::ServiceState::Out {
            return;
        }
        let versions = endpoint.versions.iter().cloned().map(id::Target::Version);
        let services = endpoint.services.iter().cloned().map(id::Target::Service);
        for target in versions.chain(services) {
            self.targets.entry(target).or_default().push(name.clone());
        }
    }

    /// The view that the index stands for.
    pub fn view(&self) -> Option<&view::View> {
        self.built.as_ref().map(|(_, view)| view)
    }

    /// All endpoints owned, in or out of service.
    pub fn mine(&self) -> &BTreeSet<id::EndpointId> {
        &self.mine
    }

    /// Endpoints in service that run `target`.
    pub fn of(&self, target: &id::Target) -> &[id::EndpointId] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }
}
