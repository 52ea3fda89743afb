//! Reports of each relay's in-flight requests to its peers, as UDP datagrams.
//!
//! With many endpoints, a relay rarely gets a response from each of them, so responses tell it
//! little about the load that other relays cause there. A lost datagram is superseded by the next
//! one. The datagrams also carry the confirmations of the tables, since they reach every peer in
//! one hop.

use std::net::SocketAddr;
use std::time::Duration;

use ibishill_core::{event, id};
use ibishill_decide::{balance, quarantine};
use ibishill_state::confirmation;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::early_end;
use crate::state::{Announcement, State, Table};

/// Interval between reports; requests take about a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Peers that a report is sent to: 13 KB/s with 100 bytes each. In larger deployments, each report
/// goes to a different selection.
const FANOUT: usize = 64;

/// Maximum size of a datagram, in bytes; it fits into one packet.
const DATAGRAM_MAX: usize = 1_400;

/// Maximum number of endpoints in one datagram, those with the most requests first.
const ENTRIES_MAX: usize = 160;

/// The same beside evidence about prompt segments.
const ENTRIES_BESIDE_EVIDENCE: usize = 80;

/// Maximum number of prompt segments that one datagram has evidence about.
const EVIDENCE_MAX: usize = 4;

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
    evidence: Vec<quarantine::evidence::Evidence>,
}

/// Sends and receives load reports.
pub(crate) async fn run(context: Shared, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_MAX];
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
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&context, &buffer[..length], from),
                // An ICMP error from a peer that is down is reported here.
                Err(_) => clock::sleep(Duration::from_millis(1)).await,
            },
        }
    }
}

async fn send(context: &Shared, socket: &UdpSocket, round: u64) {
    let now = context.now();
    let (datagram, mut peers) = {
        let state = context.state();
        let mut in_flight = state.balancer.in_flight();
        in_flight.sort_by_key(|work| std::cmp::Reverse(work.running));
        let evidence = state.quarantine.evidence(EVIDENCE_MAX, false, now);
        let entries_max = if evidence.is_empty() { ENTRIES_MAX } else { ENTRIES_BESIDE_EVIDENCE };
        in_flight.truncate(entries_max);
        let alive = state.peers.alive(now);
        let peers: Vec<_> = alive.iter().skip(1).map(|member| member.address).collect();
        (
            Datagram {
                vm: state.settings.vm.clone(),
                versions: state.table_versions(now),
                in_flight,
                configuration: state.announcement(now),
                evidence,
            },
            peers,
        )
    };
    if peers.len() > FANOUT {
        peers.sort_by_key(|peer| xxh3::xxh3_64_with_seed(peer.to_string().as_bytes(), round));
        peers.truncate(FANOUT);
    }
    let bytes = match postcard::to_stdvec(&datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            event::emit_json(event::Event::PeerRejected, &[event::field("error", &error)]);
            return;
        }
    };
    for peer in peers {
        // A report that can't be sent is superseded by the next one.
        let _sent = socket.send_to(&bytes, peer).await;
    }
}

fn receive(context: &Shared, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes::<Datagram>(bytes) {
        Ok(datagram) => {
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
            state.quarantine.merge(datagram.evidence, now);
            early_end::judge(&mut state, now);
        }
        Err(error) => {
            event::emit_json(
                event::Event::PeerRejected,
                &[event::field("peer", &from), event::field("error", &error)],
            );
        }
    }
}

// Records which versions a peer has; returns whether this relay lacks one that it isn't fetching.
fn record_versions<I>(state: &mut State, reported: I, sender: SocketAddr) -> bool
where
    I: Iterator<Item = u64>,
{
    let mut is_behind = false;
    for (table, version) in Table::ALL.into_iter().zip(reported) {
        let own = state.replica(table).table.version();
        let transfer = state.transfer(table);
        transfer.add_source(version, sender);
        is_behind |= version > own.max(transfer.pending_version().unwrap_or(0));
    }
    is_behind
}
