//! Heartbeats to a few daemons of the zone and, in turn, to other zones.
//!
//! They carry views and configuration versions, so that a zone that is cut off from
//! the platform still spreads what one of its daemons knows. Replies pass on who else
//! was heard and how long ago, so that the cost of a daemon does not grow with its zone.

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

/// Age after which a daemon's version counts as not known.
const KNOWN_FOR: time::Millis = time::Millis(15_000);

/// Age up to which a daemon of another zone gets the heartbeats again.
const ALIVE_FOR: time::Millis = time::Millis(10_000);

const NOW: time::Millis = time::Millis(0);

/// Daemons of the own zone that a daemon sends heartbeats to.
const NEIGHBOURS: usize = 4;

/// Other zones that a daemon sends a heartbeat to in one period.
const FAR_ZONES: usize = 2;

/// Daemons that a reply within the zone tells of.
const TOLD_MAX: usize = 24;

#[derive(Debug, Clone)]
struct Heard {
    zone: id::ZoneId,
    config: change::ConfigVersion,
    at: time::Tick,
}

/// What is known of other daemons; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    heard: Arc<Mutex<BTreeMap<id::VmId, Heard>>>,
    /// Wakes the membership duty.
    pub wake: Arc<Notify>,
}

impl Peers {
    fn record(&self, zone: &id::ZoneId, known: &frame::PeerConfig) {
        let config = change::ConfigVersion(known.config);
        let at = time::Tick(clock::boot_now().0.saturating_sub(known.age.0));
        let heard = Heard { zone: zone.clone(), config, at };
        let mut all = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        // What others tell may be older than what was heard before.
        if all.get(&known.vm).is_none_or(|before| before.at <= at) {
            all.insert(known.vm.clone(), heard);
        }
    }

    /// The version of a daemon, if it was heard lately.
    fn version(&self, vm: &id::VmId, now: time::Tick) -> Option<change::ConfigVersion> {
        let all = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(vm).filter(|heard| now.since(heard.at) < KNOWN_FOR).map(|heard| heard.config)
    }

    fn alive(&self, vm: &id::VmId, now: time::Tick) -> bool {
        let all = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(vm).is_some_and(|heard| now.since(heard.at) < ALIVE_FOR)
    }

    fn within(&self, zone: &id::ZoneId, now: time::Tick) -> Vec<frame::PeerConfig> {
        let all = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh =
            all.iter().filter(|(_, heard)| heard.zone == *zone && now.since(heard.at) < KNOWN_FOR);
        let known = |(vm, heard): (&id::VmId, &Heard)| frame::PeerConfig {
            vm: vm.clone(),
            config: heard.config.0,
            age: now.since(heard.at),
        };
        fresh.map(known).collect()
    }

    /// The daemons of a zone that were heard last, and its first members, who move the view.
    fn latest(
        &self,
        view: &view::View,
        zone: &id::ZoneId,
        now: time::Tick,
    ) -> Vec<frame::PeerConfig> {
        let mut known = self.within(zone, now);
        let is_first = |vm: &id::VmId| view.members.iter().take(2).any(|first| first.vm == *vm);
        known.sort_by_key(|known| (!is_first(&known.vm), known.age));
        known.truncate(TOLD_MAX);
        known
    }
}

/// What each daemon of the views has in force, none where it was not heard lately.
pub fn confirmed(context: &context::Context) -> Vec<service::DaemonVersion> {
    let now = clock::boot_now();
    let mut all = vec![service::DaemonVersion {
        vm: context.location.vm.clone(),
        zone: context.location.zone.clone(),
        version: Some(context.config.get().version),
    }];
    for (zone, view) in &context.views.get().zones {
        for member in view.members.iter().filter(|member| member.vm != context.location.vm) {
            all.push(service::DaemonVersion {
                vm: member.vm.clone(),
                zone: zone.clone(),
                version: context.peers.version(&member.vm, now),
            });
        }
    }
    all
}

/// Answers another daemon.
pub fn reply(
    context: &context::Context,
    caller: &frame::Caller,
    ask: frame::Query,
) -> frame::Reply {
    match ask {
        frame::Query::Heartbeat(beat) => frame::Reply::Heartbeat(echo(context, caller, &beat)),
        frame::Query::ConfigSince(from) => give(context, change::ConfigVersion(from)),
        frame::Query::Hold(records) => frame::Reply::Held(context.ledger.hold(&records)),
        frame::Query::Written(requests) => frame::Reply::Held(context.ledger.confirm(&requests)),
    }
}

fn echo(
    context: &context::Context,
    caller: &frame::Caller,
    beat: &frame::Heartbeat,
) -> frame::HeartbeatReply {
    let now = clock::boot_now();
    let config = context.config.get().version.0;
    let known = frame::PeerConfig { vm: caller.vm.clone(), config: beat.config, age: NOW };
    context.peers.record(&caller.zone, &known);
    let view = context.membership.view().number;
    let near = caller.zone == context.location.zone;
    if near {
        context.membership.hear(caller.vm.clone(), now);
        if beat.view > view {
            context.peers.wake.notify_one();
        }
    }
    let granted = near && beat.wants_grant && context.membership.issue_grant(beat.view, now);
    let zone = &context.location.zone;
    let mut known = if near {
        context.peers.latest(&context.membership.view(), zone, now)
    } else {
        context.peers.within(zone, now)
    };
    known.push(frame::PeerConfig { vm: context.location.vm.clone(), config, age: NOW });
    frame::HeartbeatReply { view, config, granted, peers: known }
}

fn give(context: &context::Context, from: change::ConfigVersion) -> frame::Reply {
    if let Some(changes) = context.log.delta(from) {
        let text = serde_json::to_vec(&changes).expect("changes always encode");
        return frame::Reply::ConfigChanges(Bytes::from(text));
    }
    let config = context.config.get();
    let whole = (config.version, &config.declared);
    let text = serde_json::to_vec(&whole).expect("declarations always encode");
    frame::Reply::ConfigSnapshot(Bytes::from(text))
}

/// Sends heartbeats until the daemon has closed.
pub async fn run(context: Arc<context::Context>) {
    while !context.lifecycle.is_closed() || context.lifecycle.running() > 0 {
        for (zone, member) in targets(&context) {
            tokio::spawn(beat(Arc::clone(&context), zone, member));
        }
        membership::publish(&context.membership, &context.lease, &context.lifecycle);
        let wait = rand::rng().random_range(PERIOD.0 * 3 / 4..=PERIOD.0 * 5 / 4);
        tokio::time::sleep(time::Millis(wait).to_std()).await;
    }
}

// The own zone's neighbours and some other zones; all members while grants are needed.
fn targets(context: &context::Context) -> Vec<(id::ZoneId, view::Member)> {
    let views = context.views.get();
    let mut targets = Vec::new();
    if let Some(view) = views.zones.get(&context.location.zone) {
        let others = view.members.iter().filter(|member| member.vm != context.location.vm).cloned();
        let mut near: Vec<view::Member> = others.collect();
        if !context.membership.needs_grants(clock::boot_now()) {
            near.sort_by_key(|member| owner::pair_weight(&context.location.vm, &member.vm));
            near.truncate(NEIGHBOURS);
        }
        targets.extend(near.into_iter().map(|member| (context.location.zone.clone(), member)));
    }
    let far = views.zones.iter().filter(|(zone, _)| **zone != context.location.zone);
    for (zone, view) in far.sample(&mut rand::rng(), FAR_ZONES) {
        if let Some(member) = far_neighbour(context, view) {
            targets.push((zone.clone(), member.clone()));
        }
    }
    targets
}

// The same member each time, so that its connection stays open, while it shows signs of life.
fn far_neighbour<'a>(context: &context::Context, view: &'a view::View) -> Option<&'a view::Member> {
    let now = clock::boot_now();
    let alive = view.members.iter().filter(|member| context.peers.alive(&member.vm, now));
    let nearest = alive.min_by_key(|member| owner::pair_weight(&context.location.vm, &member.vm));
    nearest.or_else(|| view.members.choose(&mut rand::rng()))
}

async fn beat(context: Arc<context::Context>, zone: id::ZoneId, member: view::Member) {
    let start = clock::boot_now();
    let number = context.membership.view().number;
    let near = zone == context.location.zone;
    let beat = frame::Heartbeat {
        view: number,
        config: context.config.get().version.0,
        wants_grant: near && context.membership.needs_grants(start),
    };
    let reply = context.link.query(&zone, &member, frame::Query::Heartbeat(beat)).await;
    let Ok(frame::Reply::Heartbeat(echo)) = reply else { return };
    let known = frame::PeerConfig { vm: member.vm.clone(), config: echo.config, age: NOW };
    context.peers.record(&zone, &known);
    for known in echo.peers.iter().filter(|known| known.vm != context.location.vm) {
        context.peers.record(&zone, known);
        if near {
            let at = clock::boot_now().0.saturating_sub(known.age.0);
            context.membership.hear(known.vm.clone(), time::Tick(at));
        }
    }
    if near {
        context.membership.hear(member.vm.clone(), clock::boot_now());
        if echo.granted {
            context.membership.record_grant(member.vm.clone(), number, start);
            membership::publish(&context.membership, &context.lease, &context.lifecycle);
        }
        if echo.view > number {
            context.peers.wake.notify_one();
        }
    }
    if echo.config > context.config.get().version.0 {
        pull(&context, &zone, &member).await;
    }
}

/// Pulls the changes of the daemon `caller`, if a view lists it.
pub async fn pull_from(context: &context::Context, caller: &frame::Caller) {
    let views = context.views.get();
    let member = views.zones.get(&caller.zone).and_then(|view| view.member(&caller.vm));
    if let Some(member) = member {
        pull(context, &caller.zone, member).await;
    }
}

/// Pulls the changes that a peer has and this daemon lacks.
pub async fn pull(context: &context::Context, zone: &id::ZoneId, member: &view::Member) {
    let current = context.config.get();
    let asked =
        context.link.query(zone, member, frame::Query::ConfigSince(current.version.0)).await;
    let next = match asked {
        Ok(frame::Reply::ConfigChanges(text)) => follow(context, &current, &text),
        Ok(frame::Reply::ConfigSnapshot(text)) => whole(&text),
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

fn follow(
    context: &context::Context,
    current: &in_force::InForce,
    text: &Bytes,
) -> Option<in_force::InForce> {
    let changes: Vec<change::Change> = serde_json::from_slice(text).ok()?;
    context.log.apply_delta(current, changes).ok()
}

fn whole(text: &Bytes) -> Option<in_force::InForce> {
    let (version, declared): (change::ConfigVersion, declared::Declared) =
        serde_json::from_slice(text).ok()?;
    Some(in_force::InForce { version, declared })
}
