//! How fast engines are, by the shortest time in which their streams go on by some events.
//!
//! Designed for engines on VMs of different speeds. A stream's usual pace tells how busy its engine is; only the
//! shortest time, in which no prompt was read beside it, tells the speed. A daemon has few streams at each of
//! many engines, so daemons tell each other what they measure.

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

use super::Balancer;

/// Events over which the time is taken: events that the network has bunched do not look like a fast engine.
const WINDOW: usize = 4;

/// Time within which two events count as bunched by the network, and time after which the engine has read a prompt
/// between them: in both cases what follows does not tell the speed.
const GAP_RANGE: (time::Millis, time::Millis) = (time::Millis(2), time::Millis(400));

/// Time by which an engine is slower than half of its zone's, as a factor, from which on it counts as slow.
const SLOW_FACTOR: f64 = 1.15;

/// Change from which on a new time is told, as a factor.
const NEWS_FACTOR: f64 = 0.97;

/// Time for which a change is told.
const NEWS_TTL: time::Millis = time::Millis(2_000);

/// Engines that one report tells of, at most.
const NEWS_MAX: usize = 16;

/// Time of some events at an engine, as daemons tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Low 32 bits of the hash of the endpoint's id.
    pub endpoint: u32,
    /// Shortest time, in milliseconds.
    pub millis: u16,
}

/// Times of the last events of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Window {
    times: [time::Tick; WINDOW],
    last: time::Tick,
    count: usize,
    shortest: Option<time::Millis>,
}

impl Window {
    /// Records `events` that arrive at once; several of them begin a new window.
    pub fn record(&mut self, events: u64, now: time::Tick) {
        let (least, most) = GAP_RANGE;
        let gap = now.since(self.last);
        self.last = now;
        if events != 1 || gap < least || gap > most {
            self.count = 0;
        }
        let slot = self.count % WINDOW;
        if self.count >= WINDOW {
            let took = now.since(self.times[slot]);
            self.shortest = Some(self.shortest.map_or(took, |known| known.min(took)));
        }
        self.times[slot] = now;
        self.count += 1;
    }

    /// The shortest time so far; none while there are too few events.
    pub const fn shortest(&self) -> Option<time::Millis> {
        self.shortest
    }
}

/// What is known of one engine's speed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Speed {
    millis: Option<u16>,
    changed: Option<time::Tick>,
}

impl Speed {
    /// Records a time that this daemon has measured.
    pub(super) fn record(&mut self, took: time::Millis, now: time::Tick) {
        let millis = u16::try_from(took.0).unwrap_or(u16::MAX);
        let is_news =
            self.millis.is_none_or(|known| f64::from(millis) < f64::from(known) * NEWS_FACTOR);
        if is_news && millis > 0 {
            *self = Self { millis: Some(millis), changed: Some(now) };
        }
    }

    /// Records a time that a peer has measured.
    pub(super) fn merge(&mut self, millis: u16) {
        if millis > 0 && self.millis.is_none_or(|known| millis < known) {
            self.millis = Some(millis);
        }
    }

    /// The shortest time known, in milliseconds.
    pub(super) const fn millis(&self) -> Option<u16> {
        self.millis
    }

    fn is_news(&self, now: time::Tick) -> bool {
        self.changed.is_some_and(|at| now.since(at) < NEWS_TTL)
    }
}

/// Times to tell peers of.
pub(super) fn news<I>(speeds: I, now: time::Tick) -> Vec<Told>
where
    I: Iterator<Item = (u32, Speed)>,
{
    let changed = speeds.filter(|(_, speed)| speed.is_news(now));
    let told =
        changed.filter_map(|(endpoint, speed)| Some(Told { endpoint, millis: speed.millis? }));
    told.take(NEWS_MAX).collect()
}

/// Time above which an engine counts as slow, given those of its zone; none if none is known.
pub(super) fn slow_limit(mut known: Vec<u16>) -> Option<f64> {
    known.sort_unstable();
    let median = *known.get(known.len().checked_sub(1)? / 2)?;
    Some(f64::from(median) * SLOW_FACTOR)
}

impl Balancer {
    /// Records the shortest time of some events of a stream at an endpoint.
    pub fn record_speed(&mut self, id: &id::EndpointId, took: time::Millis, now: time::Tick) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.speed.record(took, now);
        }
    }

    /// What peers are to hear of the endpoints' speeds.
    pub fn speeds(&self, now: time::Tick) -> Vec<Told> {
        let known = self.endpoints.values();
        news(known.map(|endpoint| (endpoint.report_key, endpoint.speed)), now)
    }

    /// Merges what a peer tells of endpoints' speeds.
    pub fn merge_speeds(&mut self, told: &[Told]) {
        if told.is_empty() {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            let own = told.iter().find(|told| told.endpoint == endpoint.report_key);
            own.into_iter().for_each(|told| endpoint.speed.merge(told.millis));
        }
    }
}
