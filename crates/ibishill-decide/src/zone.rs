//! Zones taken out of service and put back: polling for the change, and the ramp-up of a zone
//! that is back.

use std::collections::BTreeMap;

use ibishill_config::{change, declared, in_force};
use ibishill_core::{id, time};
use xxhash_rust::xxh3;

/// Ramp-up time, after which a zone that is back in service gets its full share.
pub const RAMP: time::Millis = time::Millis(20_000);

/// Share of its requests that a zone gets at the start of its ramp-up.
const RAMP_START: f64 = 0.1;

/// Jitter of the poll period to either side, as a share of the period.
const POLL_JITTER: f64 = 0.25;

/// Delay until the next read of the configuration's head; `unit` is uniform in 0 to 1.
///
/// Jitter keeps daemons from reading in step; it is small, since the longest delay bounds
/// how late an accepted change is in force.
pub fn poll_delay(period: time::Millis, unit: f64) -> time::Millis {
    let factor = 1.0 + POLL_JITTER * (2.0 * unit - 1.0);
    time::Millis((period.0 as f64 * factor) as u64)
}

/// State of zones over time, as one daemon has observed it.
#[derive(Debug, Clone)]
pub struct Zones {
    ramp: time::Millis,
    seen: Option<change::ConfigVersion>,
    states: BTreeMap<id::ZoneId, declared::AdminState>,
    restored: BTreeMap<id::ZoneId, time::Tick>,
}

impl Default for Zones {
    fn default() -> Self {
        Self::new(RAMP)
    }
}

impl Zones {
    /// Creates an observer with the ramp-up time `ramp`.
    pub fn new(ramp: time::Millis) -> Self {
        Self { ramp, seen: None, states: BTreeMap::new(), restored: BTreeMap::new() }
    }

    /// Observes a configuration, if it has changed.
    ///
    /// Zones in service at the first call get their full share at once.
    pub fn observe(&mut self, config: &in_force::InForce, now: time::Tick) {
        if self.seen == Some(config.version) {
            return;
        }
        let is_first = self.seen.replace(config.version).is_none();
        for (name, zone) in &config.declared.zones {
            let before = self.states.insert(name.clone(), zone.state);
            let was_in = is_first || before == Some(declared::AdminState::In);
            if zone.state == declared::AdminState::In && !was_in {
                self.restored.insert(name.clone(), now);
            }
        }
        let zones = &config.declared.zones;
        self.states.retain(|name, _| zones.contains_key(name));
        self.restored.retain(|name, _| {
            zones.get(name).is_some_and(|zone| zone.state == declared::AdminState::In)
        });
    }

    /// Share of its requests that a zone gets now, 0 to 1.
    pub fn share(&self, zone: &id::ZoneId, now: time::Tick) -> f64 {
        let Some(restored) = self.restored.get(zone) else { return 1.0 };
        let age = now.since(*restored);
        if age >= self.ramp {
            return 1.0;
        }
        RAMP_START + (1.0 - RAMP_START) * age.0 as f64 / self.ramp.0 as f64
    }

    /// Whether a zone in ramp-up should get this request only if no other zone has capacity.
    pub fn holds_back(&self, zone: &id::ZoneId, request: &id::RequestId, now: time::Tick) -> bool {
        let share = self.share(zone, now);
        let seed = xxh3::xxh3_64(zone.as_str().as_bytes());
        let hash = xxh3::xxh3_64_with_seed(request.as_str().as_bytes(), seed);
        share < 1.0 && hash as f64 / u64::MAX as f64 >= share
    }
}
