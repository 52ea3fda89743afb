//! Reports of each relay's in-flight requests to its peers, as UDP datagrams.
//!
//! With many endpoints, a relay rarely gets a response from each of them, so responses tell it
//! little about the load that other relays cause there. A lost datagram is superseded by the next
//! one. The datagrams also carry the confirmations of the tables, since they reach every peer in
//! one hop.

use std::collections::{BTreeMap, btree_map};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ibishill_core::store_version;
use ibishill_decide::report_targets;
use tokio::net::UdpSocket;
use tokio::time as clock;

use crate::context::Shared;
use crate::state::{State, Table};
use crate::wire::Format;
use crate::{packet, peer_log, wire};

/// Maximum number of endpoints in one datagram, those with the most requests first.
const ENTRIES_MAX: usize = 160;

/// Maximum size of an endpoint's entry, in bytes.
const ENTRY_SIZE_MAX: usize = 7;

/// Size of what precedes the entries, in bytes, above that of an empty list, and of the kind of datagram.
const HEADER_SIZE: usize = 8;

/// Maximum number of limits and of suspects that one datagram tells of.
const NEWS_MAX: (usize, usize) = (16, 8);

/// Delay of the datagram that announces new evidence, so that ends at the same moment share one.
const EVIDENCE_DELAY: Duration = Duration::from_millis(50);

/// Sends load reports.
pub(crate) async fn run(context: Shared, socket: Rc<UdpSocket>) {
    let mut ticks = clock::interval(report_targets::INTERVAL.to_std());
    ticks.set_missed_tick_behavior(clock::MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                round += 1;
                send(&context, &socket, round).await;
            }
            () = context.evidence_added.notified() => {
                clock::sleep(EVIDENCE_DELAY).await;
                round += 1;
                send(&context, &socket, round).await;
            }
        }
    }
}

async fn send(context: &Shared, socket: &UdpSocket, round: u64) {
    let now = context.now();
    let (report, peers) = {
        let mut state = context.state();
        let mut in_flight = state.balancer.in_flight();
        in_flight.sort_by_key(|work| std::cmp::Reverse(work.running));
        in_flight.truncate(ENTRIES_MAX);
        let mut report = wire::Report {
            vm: state.settings.vm.clone(),
            versions: state.table_versions(now),
            in_flight,
            configuration: state.announcement(now),
            is_isolated: state.balancer.contacts().is_isolated(),
            demand: state.balancer.gate().limits().demands().own(now) as f32,
            hears_starts: true,
            speeds: state.balancer.speeds(now),
            news: state.news(NEWS_MAX, false, now),
            usage: state.fair_share.tell(now),
            is_refusing: state.promises.is_refusing(now),
        };
        let partners = state.balancer.gate().partners(&report.vm);
        let alive: Vec<_> = state.peers.alive(now).into_iter().skip(1).collect();
        let peers = report_targets::select(state.peers.own(), &alive, &partners, round);
        let count = peers.len();
        let hears_usage = |vm| report_targets::hears_usage(vm, count, round);
        let peers: Vec<_> =
            peers.into_iter().map(|peer| (peer.address, hears_usage(&peer.vm))).collect();
        report.news.exposures = state.exposures.report(count, now);
        (report, peers)
    };
    let mut encoded: BTreeMap<(Format, bool), Vec<u8>> = BTreeMap::new();
    for (peer, hears_usage) in peers {
        let format = context.peer_formats.borrow().of_datagram(peer, now);
        let key = (format, hears_usage);
        if let btree_map::Entry::Vacant(entry) = encoded.entry(key) {
            match encode(&report, format, hears_usage) {
                Ok(bytes) => entry.insert(bytes),
                Err(error) => {
                    peer_log::reject(peer, &error);
                    return;
                }
            };
        }
        // A report that can't be sent is superseded by the next one.
        let _sent = socket.send_to(&encoded[&key], peer).await;
    }
}

// Encodes a report with as many of the endpoints as fit into a datagram, with the use by workspaces or without.
fn encode(report: &wire::Report, format: Format, hears_usage: bool) -> Result<Vec<u8>, String> {
    let mut fitting = wire::Report { in_flight: Vec::new(), ..report.clone() };
    if !hears_usage {
        fitting.usage.clear();
    }
    let mut size = wire::encode_report(&fitting, format)?.len() + HEADER_SIZE;
    // What does not fit goes out with the gossip.
    while size > packet::SIZE_MAX && !fitting.news.exposures.is_empty() {
        fitting.news.exposures.truncate(fitting.news.exposures.len() / 2);
        size = wire::encode_report(&fitting, format)?.len() + HEADER_SIZE;
    }
    let count = packet::SIZE_MAX.saturating_sub(size) / ENTRY_SIZE_MAX;
    fitting.in_flight = report.in_flight.iter().take(count).copied().collect();
    let kind = match format {
        Format::Layout => packet::Kind::Report,
        Format::Parts => packet::Kind::Parts,
    };
    Ok(packet::mark(kind, wire::encode_report(&fitting, format)?))
}

/// Records a peer's report, which came in this encoding.
pub(crate) fn receive(context: &Shared, report: wire::Report, format: Format) {
    let now = context.now();
    let mut state = context.state();
    if let Some(sender) = state.peers.address(&report.vm) {
        let mut formats = context.peer_formats.borrow_mut();
        formats.record(sender, format, now);
        formats.record_starts(sender, report.hears_starts, now);
        drop(formats);
        let reported = report.versions.iter().map(|told| told.version);
        if record_versions(&mut state, reported, sender) {
            // Starts a gossip round, which gets the missing rows from the sender.
            state.ahead = Some(sender);
            context.rows_changed.notify_one();
        }
    }
    state.record_announcement(&report.configuration, now);
    state.record_confirmations(&report.versions, now);
    let ttl = state.peers.report_ttl(&report.vm);
    state.balancer.merge_speeds(&report.speeds);
    state.balancer.reports().record(&report.vm, report.in_flight, ttl, now);
    state.peers.record_isolation(&report.vm, report.is_isolated, now);
    let demand = f64::from(report.demand);
    state.balancer.gate().limits().demands().record_peer(&report.vm, demand, now);
    state.fair_share.record_peer(&report.vm, report.usage, now);
    state.promises.record_peer(&report.vm, report.is_refusing, now);
    state.merge_news(report.news, now);
}

// Records which versions a peer has; returns whether this relay lacks one that it isn't fetching.
fn record_versions<I>(state: &mut State, reported: I, sender: SocketAddr) -> bool
where
    I: Iterator<Item = store_version::StoreVersion>,
{
    let mut is_behind = false;
    for (table, version) in Table::ALL.into_iter().zip(reported) {
        let own = state.replica(table).table.version();
        let transfer = state.transfer(table);
        transfer.add_source(version, sender);
        is_behind |= version > own.max(transfer.pending_version().unwrap_or_default());
    }
    is_behind
}
