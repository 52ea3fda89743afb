//! Endpoints whose end is to be expected, and those that are compared with each other once some have ended: a version
//! that is withdrawn, a zone that is taken out of service and an endpoint that leaves take along the prompts that
//! happen to be there.

use ibishill_core::{fleet, id, time};
use ibishill_decide::endpoint_key;
use xxhash_rust::xxh3;

use super::State;

impl State {
    /// Records that an endpoint is registered.
    pub(super) fn place(&mut self, registration: &fleet::Registration, now: time::Tick) {
        let key = endpoint_key::EndpointKey::of(registration);
        let earlier = self.balancer.entry(&registration.id).map(endpoint_key::EndpointKey::of);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != key) {
            self.displace(earlier, now);
        }
        let group = format!("{}/{}", registration.zone, registration.version);
        self.exposures.place(key, xxh3::xxh3_64(group.as_bytes()) as u32, now);
        self.endpoint_ids.insert(key, registration.id.clone());
    }

    /// Records that an endpoint is gone, or was replaced.
    pub(super) fn displace(&mut self, key: endpoint_key::EndpointKey, now: time::Tick) {
        self.exposures.displace(key, now);
        self.endpoint_ids.remove(&key);
    }

    /// Registration of the incarnation with a key.
    pub(crate) fn entry_of(&self, key: endpoint_key::EndpointKey) -> Option<&fleet::Registration> {
        let entry = self.balancer.entry(self.endpoint_ids.get(&key)?)?;
        (endpoint_key::EndpointKey::of(entry) == key).then_some(entry)
    }

    /// Whether an endpoint gets no new requests by what is known of it, its zone and its version, so that it may end
    /// at any time.
    pub(crate) fn is_end_expected(&self, registration: &fleet::Registration) -> bool {
        let is_withdrawn = self.canaries.get(&registration.service).is_some_and(|canary| {
            let has_version =
                |version: &id::VersionId| self.balancer.has_version(&registration.service, version);
            canary.is_end_expected(&registration.version, has_version)
        });
        is_withdrawn || !self.balancer.is_serving(&registration.id)
    }

    /// Finds out anew which ends are to be expected, after a change of zones or versions.
    pub(crate) fn expect_ends(&mut self) {
        let ends = self
            .balancer
            .entries()
            .map(|entry| (endpoint_key::EndpointKey::of(entry), self.is_end_expected(entry)));
        let ends: Vec<_> = ends.collect();
        for (key, is_expected) in ends {
            self.exposures.expect_end(key, is_expected);
        }
    }
}
