//! The endpoints that a daemon owns, by what they run; rebuilt only when something changed.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_config::{change, declared, in_force};
use ibishill_core::{id, view};

use crate::{owner, plan};

/// Endpoints of one owner by target.
#[derive(Debug, Clone, Default)]
pub struct Index {
    built: Option<(change::ConfigVersion, view::View)>,
    // What engines have said they hold; without it, what is declared counts as loaded.
    loaded: BTreeMap<id::EndpointId, BTreeSet<id::VersionRef>>,
    stale: bool,
    mine: BTreeSet<id::EndpointId>,
    targets: BTreeMap<id::Target, Vec<id::EndpointId>>,
}

impl Index {
    /// Whether the index stands for this configuration and view.
    pub fn is_current(&self, config: &in_force::InForce, view: &view::View) -> bool {
        !self.stale
            && self
                .built
                .as_ref()
                .is_some_and(|(version, known)| *version == config.version && known == view)
    }

    /// Notes the versions that an engine holds; returns whether they differ.
    pub fn set_loaded(
        &mut self,
        endpoint: &id::EndpointId,
        loaded: BTreeSet<id::VersionRef>,
    ) -> bool {
        let changed = self.loaded.get(endpoint) != Some(&loaded);
        if changed {
            self.loaded.insert(endpoint.clone(), loaded);
            self.stale = true;
        }
        changed
    }

    /// Rebuilds the index for a configuration and view.
    pub fn refresh(
        &mut self,
        config: &in_force::InForce,
        view: &view::View,
        place: &plan::Location,
    ) {
        self.built = Some((config.version, view.clone()));
        self.stale = false;
        self.mine.clear();
        self.targets.clear();
        for (name, endpoint) in &config.declared.endpoints {
            let here = endpoint.zone == place.zone;
            if here && owner::owner(view, name).is_some_and(|owner| owner.vm == place.vm) {
                self.insert(name, endpoint);
            }
        }
        let mine = &self.mine;
        self.loaded.retain(|name, _| mine.contains(name));
    }

    fn insert(&mut self, name: &id::EndpointId, endpoint: &declared::Endpoint) {
        self.mine.insert(name.clone());
        if endpoint.state == declared::ServiceState::Out {
            return;
        }
        // Only where memory is declared does a declared version need to be loaded first.
        let loaded = endpoint.memory.and_then(|_| self.loaded.get(name));
        let held = |version: &&id::VersionRef| loaded.is_none_or(|held| held.contains(*version));
        let versions = endpoint.versions.iter().filter(held).cloned().map(id::Target::Version);
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
