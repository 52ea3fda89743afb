//! Heartbeats to a few daemons of the own zone and to one daemon each of some other zones.
//!
//! Heartbeats carry view numbers and configuration versions, so that news spreads within a
//! zone that is cut off from the platform. Replies also tell which other daemons were heard
//! from and how long ago, so that a daemon's cost does not grow with its zone.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use ibishill_config::{change, declared, in_force};
use ibishill_core::{clock, event, id, time, view};
use ibishill_decide::owner;
use ibishill_operator::service;
use ibishill_peer::frame;
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use tokio::sync::Notify;

use crate::{context, membership};

const PERIOD: time::Millis = time::Millis(1_000);

/// Age after which a daemon's configuration version counts as unknown.
const VERSION_TTL: time::Millis = time::Millis(15_000);

/// Age up to which a daemon of another zone counts as alive and keeps getting heartbeats.
const ALIVE_TTL: time::Millis = time::Millis(10_000);

const ZERO_AGE: time::Millis = time::Millis(0);

/// Number of daemons of the own zone that get heartbeats.
const NEIGHBOUR_COUNT: usize = 4;

/// Number of other zones that get a heartbeat in one period.
const REMOTE_ZONES: usize = 2;

/// Largest number of daemons reported in a reply within the zone.
const MAX_REPORTED: usize = 24;

#[derive(Debug, Clone)]
struct Status {
    zone: id::ZoneId,
    config: change::ConfigVersion,
    at: time::Tick,
}

/// Last known status of other daemons; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    statuses: Arc<Mutex<BTreeMap<id::VmId, Status>>>,
    /// Wakes the membership task.
    pub wake: Arc<Notify>,
}

impl Peers {
    fn record(&self, zone: &id::ZoneId, peer: &frame::PeerConfig) {
        let config = change::ConfigVersion(peer.config);
        let at = time::Tick(clock::boot_now().0.saturating_sub(peer.age.0));
        let status = Status { zone: zone.clone(), config, at };
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        // A relayed status may be older than the one already recorded.
        if statuses.get(&peer.vm).is_none_or(|before| before.at <= at) {
            statuses.insert(peer.vm.clone(), status);
        }
    }

    /// Configuration version of a daemon, if it was heard from recently.
    fn version(&self, vm: &id::VmId, now: time::Tick) -> Option<change::ConfigVersion> {
        let statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses
            .get(vm)
            .filter(|status| now.since(status.at) < VERSION_TTL)
            .map(|status| status.config)
    }

    fn is_alive(&self, vm: &id::VmId, now: time::Tick) -> bool {
        let statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses.get(vm).is_some_and(|status| now.since(status.at) < ALIVE_TTL)
    }

    fn in_zone(&self, zone: &id::ZoneId, now: time::Tick) -> Vec<frame::PeerConfig> {
        let statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = statuses
            .iter()
            .filter(|(_, status)| status.zone == *zone && now.since(status.at) < VERSION_TTL);
        let peer_config = |(vm, status): (&id::VmId, &Status)| frame::PeerConfig {
            vm: vm.clone(),
            config: status.config.0,
            age: now.since(status.at),
        };
        fresh.map(peer_config).collect()
    }

    /// The most recently heard daemons of a zone, with the first two members of its view ahead
    /// of the others, because these change the view.
    fn most_recent(
        &self,
        view: &view::View,
        zone: &id::ZoneId,
        now: time::Tick,
    ) -> Vec<frame::PeerConfig> {
        let mut peers = self.in_zone(zone, now);
        let is_leading = |vm: &id::VmId| view.members.iter().take(2).any(|member| member.vm == *vm);
        peers.sort_by_key(|peer| (!is_leading(&peer.vm), peer.age));
        peers.truncate(MAX_REPORTED);
        peers
    }
}

/// Configuration version of each daemon in the views; none for those not heard from recently.
pub fn daemon_versions(context: &context::Context) -> Vec<service::DaemonVersion> {
    let now = clock::boot_now();
    let mut versions = vec![service::DaemonVersion {
        vm: context.location.vm.clone(),
        zone: context.location.zone.clone(),
        version: Some(context.config.get().version),
    }];
    for (zone, view) in &context.views.get().zones {
        for member in view.members.iter().filter(|member| member.vm != context.location.vm) {
            versions.push(service::DaemonVersion {
                vm: member.vm.clone(),
                zone: zone.clone(),
                version: context.peers.version(&member.vm, now),
            });
        }
    }
    versions
}

/// Answers a request of another daemon.
pub fn reply(
    context: &context::Context,
    caller: &frame::Caller,
    request: frame::Query,
) -> frame::Reply {
    match request {
        frame::Query::Heartbeat(heartbeat) => {
            frame::Reply::Heartbeat(answer_heartbeat(context, caller, &heartbeat))
        }
        frame::Query::ConfigSince(from) => changes_since(context, change::ConfigVersion(from)),
        frame::Query::Hold(records) => frame::Reply::Held(context.ledger.hold(&records)),
        frame::Query::Written(requests) => frame::Reply::Held(context.ledger.confirm(&requests)),
    }
}

fn answer_heartbeat(
    context: &context::Context,
    caller: &frame::Caller,
    heartbeat: &frame::Heartbeat,
) -> frame::HeartbeatReply {
    let now = clock::boot_now();
    let config = context.config.get().version.0;
    let peer = frame::PeerConfig { vm: caller.vm.clone(), config: heartbeat.config, age: ZERO_AGE };
    context.peers.record(&caller.zone, &peer);
    let view = context.membership.view().number;
    let is_local = caller.zone == context.location.zone;
    if is_local {
        context.membership.record_heard(caller.vm.clone(), now);
        if heartbeat.view > view {
            context.peers.wake.notify_one();
        }
    }
    let granted =
        is_local && heartbeat.wants_grant && context.membership.issue_grant(heartbeat.view, now);
    let zone = &context.location.zone;
    let mut peers = if is_local {
        context.peers.most_recent(&context.membership.view(), zone, now)
    } else {
        context.peers.in_zone(zone, now)
    };
    peers.push(frame::PeerConfig { vm: context.location.vm.clone(), config, age: ZERO_AGE });
    frame::HeartbeatReply { view, config, granted, peers }
}

fn changes_since(context: &context::Context, from: change::ConfigVersion) -> frame::Reply {
    if let Some(changes) = context.log.delta(from) {
        let text = serde_json::to_vec(&changes).expect("changes always encode");
        return frame::Reply::ConfigChanges(Bytes::from(text));
    }
    let config = context.config.get();
    let snapshot = (config.version, &config.declared);
    let text = serde_json::to_vec(&snapshot).expect("declarations always encode");
    frame::Reply::ConfigSnapshot(Bytes::from(text))
}

/// Sends heartbeats until the daemon is closed and its last request has ended.
pub async fn run(context: Arc<context::Context>) {
    while !context.lifecycle.is_closed() || context.lifecycle.caller_requests() > 0 {
        for (zone, member) in targets(&context) {
            tokio::spawn(send_heartbeat(Arc::clone(&context), zone, member));
        }
        membership::publish(&context.membership, &context.lease, &context.lifecycle);
        let wait = rand::rng().random_range(PERIOD.0 * 3 / 4..=PERIOD.0 * 5 / 4);
        tokio::time::sleep(time::Millis(wait).to_std()).await;
    }
}

// Neighbours in the own zone, or all its members while grants are needed, and one daemon each
// of some other zones.
fn targets(context: &context::Context) -> Vec<(id::ZoneId, view::Member)> {
    let views = context.views.get();
    let mut targets = Vec::new();
    if let Some(view) = views.zones.get(&context.location.zone) {
        let others = view.members.iter().filter(|member| member.vm != context.location.vm).cloned();
        let mut heartbeat_peers: Vec<view::Member> = others.collect();
        if !context.membership.needs_grants(clock::boot_now()) {
            heartbeat_peers
                .sort_by_key(|member| owner::pair_weight(&context.location.vm, &member.vm));
            heartbeat_peers.truncate(NEIGHBOUR_COUNT);
        }
        targets.extend(
            heartbeat_peers.into_iter().map(|member| (context.location.zone.clone(), member)),
        );
    }
    let remote_zones = views.zones.iter().filter(|(zone, _)| **zone != context.location.zone);
    for (zone, view) in remote_zones.sample(&mut rand::rng(), REMOTE_ZONES) {
        if let Some(member) = remote_peer(context, view) {
            targets.push((zone.clone(), member.clone()));
        }
    }
    targets
}

// Keeps to one member while it is alive, so that its connection stays open.
fn remote_peer<'a>(context: &context::Context, view: &'a view::View) -> Option<&'a view::Member> {
    let now = clock::boot_now();
    let alive = view.members.iter().filter(|member| context.peers.is_alive(&member.vm, now));
    let preferred = alive.min_by_key(|member| owner::pair_weight(&context.location.vm, &member.vm));
    preferred.or_else(|| view.members.choose(&mut rand::rng()))
}

async fn send_heartbeat(context: Arc<context::Context>, zone: id::ZoneId, member: view::Member) {
    let start = clock::boot_now();
    let number = context.membership.view().number;
    let is_local = zone == context.location.zone;
    let heartbeat = frame::Heartbeat {
        view: number,
        config: context.config.get().version.0,
        wants_grant: is_local && context.membership.needs_grants(start),
    };
    let reply = context.link.query(&zone, &member, frame::Query::Heartbeat(heartbeat)).await;
    let Ok(frame::Reply::Heartbeat(reply)) = reply else { return };
    let peer = frame::PeerConfig { vm: member.vm.clone(), config: reply.config, age: ZERO_AGE };
    context.peers.record(&zone, &peer);
    for peer in reply.peers.iter().filter(|peer| peer.vm != context.location.vm) {
        context.peers.record(&zone, peer);
        if is_local {
            let at = clock::boot_now().0.saturating_sub(peer.age.0);
            context.membership.record_heard(peer.vm.clone(), time::Tick(at));
        }
    }
    if is_local {
        context.membership.record_heard(member.vm.clone(), clock::boot_now());
        if reply.granted {
            context.membership.record_grant(member.vm.clone(), number, start);
            membership::publish(&context.membership, &context.lease, &context.lifecycle);
        }
        if reply.view > number {
            context.peers.wake.notify_one();
        }
    }
    if reply.config > context.config.get().version.0 {
        pull(&context, &zone, &member).await;
    }
}

/// Pulls newer configuration from the daemon `caller`, if a view lists it.
pub async fn pull_from(context: &context::Context, caller: &frame::Caller) {
    let views = context.views.get();
    let member = views.zones.get(&caller.zone).and_then(|view| view.member(&caller.vm));
    if let Some(member) = member {
        pull(context, &caller.zone, member).await;
    }
}

/// Pulls the configuration changes that a peer has and this daemon lacks.
pub async fn pull(context: &context::Context, zone: &id::ZoneId, member: &view::Member) {
    let current = context.config.get();
    let reply =
        context.link.query(zone, member, frame::Query::ConfigSince(current.version.0)).await;
    let next = match reply {
        Ok(frame::Reply::ConfigChanges(text)) => apply_changes(context, &current, &text),
        Ok(frame::Reply::ConfigSnapshot(text)) => decode_snapshot(&text),
        _ => return,
    };
    let Some(next) = next else {
        event::emit(event::Event::ConfigInvalid, &[event::field("peer", &member.vm)]);
        return;
    };
    let version = next.version;
    if context.refresh.update_if_newer(&context.config, next) {
        let fields = [event::field("version", &version), event::field("peer", &member.vm)];
        event::emit(event::Event::ConfigApplied, &fields);
        context.lifecycle.set_configured();
    }
}

fn apply_changes(
    context: &context::Context,
    current: &in_force::InForce,
    text: &Bytes,
) -> Option<in_force::InForce> {
    let changes: Vec<change::Change> = serde_json::from_slice(text).ok()?;
    context.log.apply_delta(current, changes).ok()
}

fn decode_snapshot(text: &Bytes) -> Option<in_force::InForce> {
    let (version, declared): (change::ConfigVersion, declared::Declared) =
        serde_json::from_slice(text).ok()?;
    Some(in_force::InForce { version, declared })
}
