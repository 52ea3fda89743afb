//! Tells peers at once when an engine begins and ends to read a long prompt of this relay, as UDP datagrams:
//! until the next report they would take the engine for free, or for busy.
//!
//! A datagram tells all that the relay has in flight at the endpoint, so a lost or late one is made up for by
//! the next report.

use std::rc::Rc;

use ibishill_core::id;
use ibishill_decide::{balance, report_targets};
use tokio::net::UdpSocket;

use crate::context::Shared;
use crate::{packet, peer_log};

type Message = (id::VmId, balance::reports::InFlight);

/// Sends a datagram for each beginning or end that is told of.
pub(crate) async fn run(context: Shared, socket: Rc<UdpSocket>) {
    let mut allowance = report_targets::Starts::new(context.now());
    loop {
        context.reading_changed.notified().await;
        let readings = std::mem::take(&mut *context.readings.borrow_mut());
        for (endpoint, prefill) in readings {
            send(&context, &socket, &mut allowance, &endpoint, prefill).await;
        }
    }
}

async fn send(
    context: &Shared,
    socket: &UdpSocket,
    allowance: &mut report_targets::Starts,
    endpoint: &id::EndpointId,
    prefill: f64,
) {
    let now = context.now();
    let (vm, work, listeners) = {
        let state = context.state();
        let Some(zone) = state.balancer.entry(endpoint).map(|found| found.zone.clone()) else {
            return;
        };
        let Some(work) = state.balancer.in_flight_at(endpoint) else { return };
        let formats = context.peer_formats.borrow();
        let alive = state.peers.alive(now).into_iter().skip(1);
        let alive: Vec<_> = alive.filter(|peer| formats.hears_starts(peer.address, now)).collect();
        let listeners = report_targets::listeners(endpoint, &zone, &alive);
        let listeners: Vec<_> = listeners.into_iter().map(|peer| peer.address).collect();
        (state.settings.vm.clone(), work, listeners)
    };
    if !allowance.try_take(prefill, listeners.len(), now) {
        return;
    }
    let bytes = match packet::encode(packet::Kind::Start, &(vm, work)) {
        Ok(bytes) => bytes,
        Err(error) => {
            let own = context.state().settings.peer;
            return peer_log::reject(own, &error.to_string());
        }
    };
    for listener in listeners {
        // A lost datagram is made up for by the next report.
        let _sent = socket.send_to(&bytes, listener).await;
    }
}

/// Records what a peer tells of an endpoint.
///
/// # Errors
///
/// Fails if the datagram can't be decoded.
pub(crate) fn receive(context: &Shared, payload: &[u8]) -> Result<(), postcard::Error> {
    let (vm, work): Message = postcard::from_bytes(payload)?;
    let now = context.now();
    let mut state = context.state();
    let ttl = state.peers.report_ttl(&vm);
    state.balancer.reports().update(&vm, work, ttl, now);
    Ok(())
}
