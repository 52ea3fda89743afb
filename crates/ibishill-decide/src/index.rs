//! Index of the endpoints that a daemon owns, by target; rebuilt only after a change.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_config::{change, declared, in_force};
use ibishill_core::{id, view};

use crate::{owner, plan};

/// Endpoints of one owner by target.
#[derive(Debug, Clone, Default)]
pub struct Index {
    built: Option<(change::ConfigVersion, view::View)>,
    // Versions that engines report as loaded; without a report, the declared ones count as loaded.
    loaded: BTreeMap<id::EndpointId, BTreeSet<id::VersionRef>>,
    is_stale: bool,
    owned: BTreeSet<id::EndpointId>,
    targets: BTreeMap<id::Target, Vec<id::EndpointId>>,
}

impl Index {
    /// Whether the index is up to date for this configuration and view.
    pub fn is_current(&self, config: &in_force::InForce, view: &view::View) -> bool {
        !self.is_stale
            && self
                .built
                .as_ref()
                .is_some_and(|(version, known)| *version == config.version && known == view)
    }

    /// Records the versions that an engine has loaded; returns whether they changed.
    pub fn set_loaded(
        &mut self,
        endpoint: &id::EndpointId,
        loaded: BTreeSet<id::VersionRef>,
    ) -> bool {
        let changed = self.loaded.get(endpoint) != Some(&loaded);
        if changed {
            self.loaded.insert(endpoint.clone(), loaded);
            self.is_stale = true;
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
        self.is_stale = false;
        self.owned.clear();
        self.targets.clear();
        for (name, endpoint) in &config.declared.endpoints {
            let is_local = endpoint.zone == place.zone;
            if is_local && owner::owner(view, name).is_some_and(|owner| owner.vm == place.vm) {
                self.insert(name, endpoint);
            }
        }
        let owned = &self.owned;
        self.loaded.retain(|name, _| owned.contains(name));
    }

    fn insert(&mut self, name: &id::EndpointId, endpoint: &declared::Endpoint) {
        self.owned.insert(name.clone());
        if endpoint.state == declared::AdminState::Out {
            return;
        }
        // A declared version has to be loaded first only where memory is declared.
        let loaded = endpoint.memory.and_then(|_| self.loaded.get(name));
        let held = |version: &&id::VersionRef| loaded.is_none_or(|held| held.contains(*version));
        let versions = endpoint.versions.iter().filter(held).cloned().map(id::Target::Version);
        let services = endpoint.services.iter().cloned().map(id::Target::Service);
        for target in versions.chain(services) {
            self.targets.entry(target).or_default().push(name.clone());
        }
    }

    /// View that the index was built for; `None` before the first [`Index::refresh`].
    pub fn view(&self) -> Option<&view::View> {
        self.built.as_ref().map(|(_, view)| view)
    }

    /// All endpoints owned, in or out of service.
    pub fn owned(&self) -> &BTreeSet<id::EndpointId> {
        &self.owned
    }

    /// Owned endpoints in service that run `target`.
    pub fn endpoints(&self, target: &id::Target) -> &[id::EndpointId] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }
}
