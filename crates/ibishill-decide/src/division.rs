//! Division of what an endpoint takes between the daemons that send to it.
//!
//! Designed for members that come, go or can't reach each other: the senders are chosen from all that are
//! known, live or not, so that nobody's part is used twice. One that is not heard of counts for as much
//! demand as the daemon itself.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

/// Age at which a peer's demand no longer counts.
const DEMAND_TTL: time::Millis = time::Millis(1_600);

/// Time over which a daemon's demand is averaged, in seconds.
const DEMAND_WINDOW_S: f64 = 2.0;

/// Demand that counts for a lower one, in requests per second.
const DEMAND_MIN: f64 = 0.1;

/// Requests per second that a daemon gets, decaying.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    rate: f64,
    at: time::Tick,
}

impl Demand {
    fn rate(&self, now: time::Tick) -> f64 {
        let passed = now.since(self.at).0 as f64 / 1_000.0;
        self.rate * (-passed / DEMAND_WINDOW_S).exp()
    }

    fn record(&mut self, now: time::Tick) {
        let rate = self.rate(now) + 1.0 / DEMAND_WINDOW_S;
        *self = Self { rate, at: now };
    }
}

/// Demand of this daemon and of its peers.
#[derive(Debug, Clone, Default)]
pub struct Demands {
    own: Demand,
    peers: BTreeMap<id::VmId, (f64, time::Tick)>,
}

impl Demands {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: time::Tick) {
        self.own.record(now);
    }

    /// This daemon's demand, in requests per second.
    pub fn own(&self, now: time::Tick) -> f64 {
        self.own.rate(now)
    }

    /// Records the demand that a peer tells, in requests per second.
    pub fn record_peer(&mut self, vm: &id::VmId, demand: f64, now: time::Tick) {
        self.peers.insert(vm.clone(), (demand, now));
    }

    /// Forgets what is out of date.
    pub fn expire(&mut self, now: time::Tick) {
        self.peers.retain(|_, (_, at)| now.since(*at) < DEMAND_TTL);
    }
}

/// Daemons that send to one endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Division {
    senders: Vec<id::VmId>,
    // Membership that the senders are from.
    generation: Option<u64>,
}

impl Division {
    /// Takes the senders anew if the membership has changed.
    pub fn refresh<F>(&mut self, generation: u64, senders: F)
    where
        F: FnOnce() -> Vec<id::VmId>,
    {
        if self.generation != Some(generation) {
            self.senders = senders();
            self.generation = Some(generation);
        }
    }

    /// Number of senders.
    pub const fn count(&self) -> usize {
        self.senders.len()
    }

    /// The senders.
    pub fn senders(&self) -> &[id::VmId] {
        &self.senders
    }

    /// Position of a daemon among the senders; none if it is not one.
    pub fn rank(&self, own: &id::VmId) -> Option<usize> {
        self.senders.iter().position(|vm| vm == own)
    }

    /// Senders other than a daemon that is one itself.
    pub fn partners<'a>(&'a self, own: &'a id::VmId) -> impl Iterator<Item = &'a id::VmId> {
        let is_sender = self.rank(own).is_some();
        self.senders.iter().filter(move |vm| is_sender && *vm != own)
    }

    /// Part of a daemon by demand, 0 to 1; 0 if it is no sender.
    pub fn demand_share(&self, own: &id::VmId, demands: &Demands, now: time::Tick) -> f64 {
        if self.rank(own).is_none() {
            return 0.0;
        }
        let demand = demands.own(now).max(DEMAND_MIN);
        let others = self
            .partners(own)
            .map(|vm| demands.peers.get(vm).map_or(demand, |(told, _)| told.max(DEMAND_MIN)));
        demand / (demand + others.sum::<f64>())
    }
}
