//! What one relay of the experiment tells its peers, and how many bytes that takes.
//!
//! The encoding of `ibishill-relay` is private to it. Sizes are those of the same types in postcard, in parts as
//! docs/design/messages.md states them, without headers of UDP, TCP and HTTP and without compression.

use std::collections::BTreeMap;

use ibishill_core::time;
use ibishill_decide::{balance, exposure, fair_share, peers, promise};
use serde::Serialize;

/// Kinds of content; shares, promises, speeds and exposures are the first [`PARTS`].
pub(super) const KINDS: [&str; 6] =
    ["shares", "promises", "speeds", "exposures", "rest of load reports", "rest of gossip"];
pub(super) const PARTS: usize = 4;

/// Size of a message's build, sender, versions of three tables, configuration and demand, about, in bytes.
const BASE: usize = 100;

/// Limits of a load report as in `ibishill-relay`: endpoints, bytes, and bytes of an endpoint.
const ENTRIES_MAX: usize = 160;
const DATAGRAM_MAX: usize = 1_400;
const ENTRY_SIZE: usize = 7;

/// Heartbeats in a message of the gossip.
const HEARTBEATS: usize = 6;

/// Content of a load report.
pub(super) struct Report {
    pub flights: Vec<balance::reports::InFlight>,
    pub speeds: Vec<balance::speed::Told>,
    pub usage: Vec<fair_share::Told>,
    pub is_refusing: bool,
    pub exposures: Vec<exposure::Told>,
}

/// State of a relay.
pub(super) struct Relay {
    pub member: peers::Member,
    pub shares: fair_share::FairShare,
    pub promises: promise::Promises,
    pub exposures: exposure::Exposures,
    /// Of all engines if the relay is observed, otherwise of those in its zone.
    pub balancer: balance::Balancer,
    pub is_observed: bool,
    /// Requests in flight by the engine's key in reports.
    pub running: BTreeMap<u32, u32>,
    pub round: u64,
    /// Bytes sent, by kind.
    pub sent: [usize; KINDS.len()],
}

impl Relay {
    /// Builds and counts the report to so many peers, of which `hearing` are told of the use by workspaces.
    pub(super) fn report(&mut self, peers: usize, hearing: usize, now: time::Tick) -> Report {
        let running = self.running.iter().filter(|(_, count)| **count > 0);
        let entry = |(key, count): (&u32, &u32)| balance::reports::InFlight::new(*key, *count, 0.0);
        let mut report = Report {
            flights: running.map(entry).collect(),
            speeds: self.balancer.speeds(now),
            usage: self.shares.tell(now),
            is_refusing: self.promises.is_refusing(now),
            exposures: self.exposures.report(peers, now),
        };
        let (speeds, usage) = (list_size(&report.speeds), list_size(&report.usage));
        while BASE + speeds + usage + items_size(&report.exposures) > DATAGRAM_MAX {
            report.exposures.truncate(report.exposures.len() / 2);
        }
        let exposures = items_size(&report.exposures);
        let left = DATAGRAM_MAX - BASE - speeds - usage - exposures;
        report.flights.sort_by_key(|work| std::cmp::Reverse(work.running));
        report.flights.truncate(ENTRIES_MAX.min(left / ENTRY_SIZE));
        // A flag takes three bytes.
        let each = [0, usize::from(report.is_refusing) * 3, speeds, exposures];
        each.into_iter().enumerate().for_each(|(kind, size)| self.sent[kind] += peers * size);
        self.sent[0] += hearing * usage;
        self.sent[4] += peers * (BASE + list_size(&report.flights));
        report
    }

    /// Builds and counts a message of the gossip.
    pub(super) fn gossip(&mut self, now: time::Tick) -> Vec<exposure::Told> {
        let told = self.exposures.gossip(now);
        self.sent[3] += items_size(&told);
        self.sent[5] += BASE + HEARTBEATS * part_size(&self.member);
        told
    }
}

// A part with a number above 15: number, length and payload.
fn part_size<T>(value: &T) -> usize
where
    T: Serialize + ?Sized,
{
    let payload = postcard::to_stdvec(value).expect("it can be serialized").len();
    2 + if payload < 128 { 1 } else { 2 } + payload
}

fn list_size<T>(items: &[T]) -> usize
where
    T: Serialize,
{
    if items.is_empty() { 0 } else { part_size(items) }
}

fn items_size<T>(items: &[T]) -> usize
where
    T: Serialize,
{
    items.iter().map(part_size).sum()
}
