//! Load reports and gossip between the relays, with the peers that relays choose for them.

use std::collections::BTreeSet;

use ibishill_decide::{peers, report_targets};
use rand::RngExt;

use super::{Event, GOSSIP_INTERVAL, Play, timed};
use crate::experiment::crowd::setup::number;

impl Play {
    /// Sends a relay's report.
    pub(super) fn report(&mut self, at: usize, is_extra: bool) {
        let (now, own) = (self.now, &self.members[at]);
        if !is_extra {
            let next = now + report_targets::INTERVAL;
            self.agenda.plan(next.0, Event::Report { relay: at, is_extra });
        }
        self.relays[at].round += 1;
        let round = self.relays[at].round;
        let alive: Vec<_> = self.members.iter().filter(|peer| peer.vm != own.vm).collect();
        let targets = report_targets::select(own, &alive, &BTreeSet::new(), round);
        let count = targets.len();
        let hears = |peer: &peers::Member| report_targets::hears_usage(&peer.vm, count, round);
        let hearing = targets.iter().filter(|peer| hears(peer)).count();
        let report = self.relays[at].report(count, hearing, now);
        let near = alive.iter().filter(|peer| peer.zone == own.zone).count();
        for peer in targets {
            let ttl = report_targets::ttl(peer.zone == own.zone, near, alive.len() - near);
            let usage = if hears(peer) { report.usage.clone() } else { Vec::new() };
            let receiver = &mut self.relays[number(peer.vm.as_str())];
            let is_observed = receiver.is_observed;
            timed(&mut self.times, "merge of a load report", is_observed, || {
                receiver.balancer.merge_speeds(&report.speeds);
                if is_observed {
                    let flights = report.flights.clone();
                    receiver.balancer.reports().record(&own.vm, flights, ttl, now);
                }
                receiver.shares.record_peer(&own.vm, usage, now);
                receiver.promises.record_peer(&own.vm, report.is_refusing, now);
                receiver.exposures.merge(report.exposures.clone(), now);
            });
        }
    }

    /// Exchanges messages of the gossip with a peer.
    pub(super) fn gossip(&mut self, at: usize) {
        let (now, zones) = (self.now, self.zones);
        self.agenda.plan(now.0 + GOSSIP_INTERVAL, Event::Gossip(at));
        let any = self.rng.random_range(0..self.relays.len());
        // Two of three rounds stay in the zone.
        let is_near = self.rng.random_range(0..3) > 0;
        let to = if is_near { any / zones * zones + at % zones } else { any };
        if to == at || to >= self.relays.len() {
            return;
        }
        for (from, to) in [(at, to), (to, at)] {
            let told = self.relays[from].gossip(now);
            self.relays[to].exposures.merge(told, now);
        }
    }
}
