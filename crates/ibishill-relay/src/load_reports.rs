//! Reports of each relay's in-flight requests to its peers, as UDP datagrams.
//!
//! With many endpoints, a relay rarely gets a response from each of them, so responses tell it
//! little about the load that other relays cause there. A lost datagram is superseded by the next
//! one. The datagrams also carry the confirmations of the tables, since they reach every peer in
//! one hop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ibishill_core::{event, id, store_version};
use ibishill_decide::balance;
use ibishill_state::confirmation;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::packet;
use crate::state::{State, Table};
use crate::told::{Announcement, News};

/// Interval between reports; requests take about a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Peers that a report is sent to: 13 KB/s with 100 bytes each. In larger deployments, each report
/// goes to a different selection, besides those that share an endpoint's limit with this relay.
const FANOUT: usize = 64;

/// Maximum number of endpoints in one datagram, those with the most requests first.
const ENTRIES_MAX: usize = 160;

/// Maximum size of an endpoint's entry, in bytes.
const ENTRY_SIZE_MAX: usize = 7;

/// Size of the number of entries, in bytes, above that of an empty list.
const LENGTH_SIZE: usize = 1;

/// Maximum number of limits and of suspects that one datagram tells of.
const NEWS_MAX: (usize, usize) = (16, 8);

/// Delay of the datagram that announces new evidence, so that ends at the same moment share one.
const EVIDENCE_DELAY: Duration = Duration::from_millis(50);

#[derive(Serialize, Deserialize)]
struct Datagram {
    vm: id::VmId,
    /// By table, the sender's version and its confirmation.
    #[serde(rename = "have")]
    versions: Vec<confirmation::Told>,
    #[serde(rename = "shares")]
    in_flight: Vec<balance::reports::InFlight>,
    configuration: Announcement,
    /// Whether the sender reaches no endpoint, although its peers do.
    is_isolated: bool,
    /// Requests per second that the sender gets from callers.
    demand: f32,
    news: News,
}

/// Sends load reports.
pub(crate) async fn run(context: Shared, socket: Rc<UdpSocket>) {
    let mut ticks = clock::interval(REPORT_INTERVAL);
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
    let (datagram, in_flight, mut peers) = {
        let mut state = context.state();
        let mut in_flight = state.balancer.in_flight();
        in_flight.sort_by_key(|work| std::cmp::Reverse(work.running));
        in_flight.truncate(ENTRIES_MAX);
        let datagram = Datagram {
            vm: state.settings.vm.clone(),
            versions: state.table_versions(now),
            in_flight: Vec::new(),
            configuration: state.announcement(now),
            is_isolated: state.balancer.contacts().is_isolated(),
            demand: state.balancer.gate().limits().demands().own(now) as f32,
            news: state.news(NEWS_MAX, false, now),
        };
        let alive = state.peers.alive(now);
        let peers: Vec<_> = alive.into_iter().skip(1).cloned().collect();
        (datagram, in_flight, peers)
    };
    if peers.len() > FANOUT {
        let partners = context.state().balancer.gate().partners(&datagram.vm);
        peers.sort_by_key(|peer| {
            let hash = xxh3::xxh3_64_with_seed(peer.vm.as_str().as_bytes(), round);
            (!partners.contains(&peer.vm), hash)
        });
        peers.truncate(FANOUT);
    }
    let bytes = match encode(datagram, in_flight) {
        Ok(bytes) => bytes,
        Err(error) => {
            event::emit_json(event::Event::PeerRejected, &[event::field("error", &error)]);
            return;
        }
    };
    for peer in peers {
        // A report that can't be sent is superseded by the next one.
        let _sent = socket.send_to(&bytes, peer.address).await;
    }
}

// Encodes a datagram with as many of the entries as fit.
fn encode(
    mut datagram: Datagram,
    mut in_flight: Vec<balance::reports::InFlight>,
) -> Result<Vec<u8>, postcard::Error> {
    let size = packet::encode(packet::Kind::Report, &datagram)?.len();
    in_flight.truncate(packet::SIZE_MAX.saturating_sub(size + LENGTH_SIZE) / ENTRY_SIZE_MAX);
    datagram.in_flight = in_flight;
    packet::encode(packet::Kind::Report, &datagram)
}

/// Records a peer's report.
///
/// # Errors
///
/// Fails if the report can't be decoded.
pub(crate) fn receive(context: &Shared, payload: &[u8]) -> Result<(), postcard::Error> {
    let datagram: Datagram = postcard::from_bytes(payload)?;
    let now = context.now();
    let mut state = context.state();
    if let Some(sender) = state.peers.address(&datagram.vm) {
        let reported = datagram.versions.iter().map(|told| told.version);
        if record_versions(&mut state, reported, sender) {
            // Starts a gossip round, which gets the missing rows from the sender.
            state.ahead = Some(sender);
            context.rows_changed.notify_one();
        }
    }
    state.record_announcement(&datagram.configuration, now);
    state.record_confirmations(&datagram.versions, now);
    state.balancer.reports().record(&datagram.vm, datagram.in_flight, now);
    state.peers.record_isolation(&datagram.vm, datagram.is_isolated, now);
    let demand = f64::from(datagram.demand);
    state.balancer.gate().limits().demands().record_peer(&datagram.vm, demand, now);
    state.merge_news(datagram.news, now);
    Ok(())
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
