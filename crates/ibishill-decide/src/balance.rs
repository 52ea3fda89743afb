//! Which endpoint of a service gets a request, from what one daemon knows of all of them.
//!
//! The loads this is for: prompts that share their first parts, which are cheap where they
//! were read before; bursts, in which many daemons see the same reports and must not all
//! choose the same endpoint; endpoints that restart cold, fail or leave. Each daemon knows
//! its own work exactly and that of others from what answers tell.

pub mod reports;

use std::collections::BTreeMap;

use ibishill_core::{fleet, id, time};
use xxhash_rust::xxh3;

use crate::{outlier, rate, reach};

/// Time after which what an answer told of an endpoint's load no longer counts.
const HEARD: time::Millis = time::Millis(1_500);

/// Worth of finding a prompt's shared tokens read, in load, for each 1,000 of them.
const READ_BONUS: f64 = 0.03;

/// Most load that a shared prompt is worth.
const READ_BONUS_MAX: f64 = 0.25;

/// Load that a request rather meets in its own zone than go to another one, which costs bytes
/// between zones and time.
const NEAR_BONUS: f64 = 0.12;

/// Load by which endpoints differ at random, so that daemons spread.
const SPREAD: f64 = 0.04;

/// Slots that 1,000 tokens of a prompt take up, at the largest model, until they are read:
/// reading holds up every request of the batch.
const READING: f64 = 0.7;

/// Slots that a request takes up which another daemon sent and which has not begun.
const WAITING: f64 = 3.0;

/// Share of a service's engines that the smallest model prefers; the largest prefers the
/// others. A batch of one model takes shorter steps than a mixed one, and each engine keeps
/// more prompts of its model.
const SMALL_SHARE: f64 = 0.2;

/// Load that a request rather meets at an engine of its model than go to another one.
const MODEL_BONUS: f64 = 0.25;

/// Requests at once for each slot of a plain service; the rest queue there for a few
/// milliseconds.
const PLAIN_DEPTH: f64 = 2.0;

/// Requests at once for each slot of an engine, which batches.
const ENGINE_DEPTH: f64 = 1.0;

/// Share of an engine's memory that running requests may fill.
const MEMORY_SHARE: f64 = 0.9;

/// Mean load of the old version's endpoints from which on the new version's few requests go to
/// as few endpoints as bear the same load; below, the loss of an endpoint would pass for a
/// fault of the version.
const PACK_FROM: f64 = 0.5;

/// Endpoints that a request compares, besides the home of its prompt. Many daemons know
/// the same loads; if all of them compared all endpoints, all would choose the same one.
const COMPARED: usize = 6;

/// Endpoints up to which all are compared.
const COMPARED_ALL: usize = 12;

/// Daemons that share the admissions of one cold endpoint.
pub const COLD_SHARERS: usize = 6;

/// Share of a cold endpoint's declared rate that is used, as daemons may disagree on who
/// the sharers are.
const COLD_SHARE: f64 = 0.8;

/// Rate at which one daemon sends to a cold endpoint.
pub fn cold_rate(declared: f64, rank: usize) -> rate::Rate {
    let per_second =
        if rank < COLD_SHARERS { declared * COLD_SHARE / COLD_SHARERS as f64 } else { 0.0 };
    rate::Rate { per_second, burst: 1.0 }
}

/// Versions that a request may run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Versions<'a> {
    /// Any.
    Any,
    /// Only this one.
    Only(&'a id::VersionId),
    /// All but this one.
    Except(&'a id::VersionId),
}

impl Versions<'_> {
    fn allows(&self, version: &id::VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => *only == version,
            Self::Except(except) => *except != version,
        }
    }
}

/// Which engines of a service a request prefers for its model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// Any.
    Any,
    /// Those of the smallest model.
    Small,
    /// Those of the largest model.
    Large,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a id::ServiceId,
    /// Versions that it may run on.
    pub versions: Versions<'a>,
    /// Endpoints that it has been to.
    pub avoid: &'a [id::EndpointId],
    /// Identity of the prompt's shared part, with its tokens.
    pub shared: Option<(u64, u64)>,
    /// Tokens that it takes of an engine's memory.
    pub tokens: u64,
    /// Tokens of an engine's memory; 0 for a plain service.
    pub capacity: u64,
    /// What its prompt costs to read, in thousands of tokens at the largest model.
    pub reading: f64,
    /// Which engines its model prefers.
    pub tier: Tier,
    /// Whether it tries a new version, whose endpoints are to bear what those of others bear.
    pub is_trial: bool,
    /// Spreads requests over endpoints that are alike.
    pub seed: u64,
}

/// What is found for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// This endpoint.
    Send(id::EndpointId),
    /// There are endpoints, but none has room now.
    Full,
    /// No endpoint may run it.
    Nobody,
}

/// What an answer told of an endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that ran.
    pub running: u32,
    /// Requests that had not begun.
    pub waiting: u32,
}

/// What one request takes up at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Tokens of an engine's memory.
    pub tokens: u64,
    /// What its prompt costs to read, in thousands of tokens at the largest model.
    pub reading: f64,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    others: f64,
    waiting: f64,
    at: time::Tick,
}

#[derive(Debug, Clone)]
struct Node {
    entry: fleet::Entry,
    // Hash of the id, by which reports name it.
    short: u32,
    running: u32,
    tokens: u64,
    // Own requests that have not begun, and what their prompts cost to read.
    opening: u32,
    reading: f64,
    heard: Option<Heard>,
    breaker: outlier::Breaker,
    // It took no connection; it may have restarted since.
    was_down: bool,
    cold_until: time::Tick,
    admitted: rate::Bucket,
}

impl Node {
    fn heard(&self, now: time::Tick) -> (f64, f64) {
        let Some(heard) = self.heard else { return (0.0, 0.0) };
        let age = now.since(heard.at).0 as f64 / HEARD.0 as f64;
        let left = (1.0 - age).max(0.0);
        (heard.others * left, heard.waiting * left)
    }
}

/// How many endpoints are in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Census {
    /// Take requests.
    pub ready: u32,
    /// Take few requests, as they have just started.
    pub cold: u32,
    /// Failed of late, or are out of reach.
    pub ejected: u32,
    /// Take none: they leave, are not ready, or their zone is out of service.
    pub out: u32,
}

/// The endpoints that are known.
#[derive(Debug, Clone)]
pub struct Balance {
    reports: reports::Reports,
    zone: id::ZoneId,
    nodes: BTreeMap<id::EndpointId, Node>,
    zones_out: BTreeMap<id::ZoneId, ()>,
    reach: reach::Reach,
}

/// What decides whether an endpoint counts as cold, and how much one daemon sends it then.
#[derive(Debug, Clone, Copy)]
pub struct ColdRule {
    /// How long an endpoint is cold after a start.
    pub span: time::Millis,
    /// Requests a second that a cold endpoint bears; 0 for no bound.
    pub declared: f64,
    /// Whether beliefs are too old to tell a warm endpoint from a cold one.
    pub is_stale: bool,
}

impl Balance {
    /// Starts without endpoints, for a daemon in `zone`.
    pub fn new(zone: id::ZoneId) -> Self {
        Self {
            reports: reports::Reports::default(),
            zone,
            nodes: BTreeMap::new(),
            zones_out: BTreeMap::new(),
            reach: reach::Reach::default(),
        }
    }

    /// Which zones this daemon reaches.
    pub const fn reach(&mut self) -> &mut reach::Reach {
        &mut self.reach
    }

    /// What this daemon has under way, for its peers.
    pub fn shares(&self) -> Vec<reports::Share> {
        let busy = self.nodes.values().filter(|node| node.running > 0);
        busy.map(|node| reports::Share::new(node.short, node.running, node.reading)).collect()
    }

    /// What peers have under way.
    pub const fn reports(&mut self) -> &mut reports::Reports {
        &mut self.reports
    }

    // Requests that others have under way at an endpoint, and what they have to read there.
    fn others(&self, node: &Node, now: time::Tick) -> (f64, f64) {
        let (held, waiting) = node.heard(now);
        let (running, reading) = self.reports.at(node.short);
        (held.max(running), reading.max(waiting * (WAITING - 1.0) / READING))
    }

    // Requests for each slot.
    fn load(&self, node: &Node, now: time::Tick) -> f64 {
        let all = f64::from(node.running) + self.others(node, now).0;
        all / f64::from(node.entry.slots.max(1))
    }

    // Load with what prompts that are not read yet add to it.
    fn pressure(&self, node: &Node, now: time::Tick) -> f64 {
        let reading = (node.reading + self.others(node, now).1) * READING;
        self.load(node, now) + reading / f64::from(node.entry.slots.max(1))
    }

    /// Takes in what an endpoint says of itself.
    pub fn register(&mut self, entry: fleet::Entry, now: time::Tick) {
        let cold_until = if entry.cold.0 > 0 { now + entry.cold } else { time::Tick(0) };
        match self.nodes.get_mut(&entry.id) {
            Some(node) if node.entry.born == entry.born => {
                node.cold_until = node.cold_until.max(cold_until);
                node.entry = entry;
            }
            _ => {
                let node = Node {
                    short: short(&entry.id),
                    entry: entry.clone(),
                    running: 0,
                    tokens: 0,
                    opening: 0,
                    reading: 0.0,
                    heard: None,
                    breaker: outlier::Breaker::default(),
                    was_down: false,
                    cold_until,
                    admitted: rate::Bucket::new(0.0, now),
                };
                self.nodes.insert(entry.id, node);
            }
        }
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, id: &id::EndpointId) {
        self.nodes.remove(id);
    }

    /// The entry of an endpoint.
    pub fn entry(&self, id: &id::EndpointId) -> Option<&fleet::Entry> {
        self.nodes.get(id).map(|node| &node.entry)
    }

    /// Takes a zone out of service.
    pub fn take_out(&mut self, zone: id::ZoneId) {
        self.zones_out.insert(zone, ());
    }

    /// Takes a zone back; its endpoints count as cold for `span`.
    pub fn take_back(&mut self, zone: &id::ZoneId, span: time::Millis, now: time::Tick) {
        if self.zones_out.remove(zone).is_none() {
            return;
        }
        for node in self.nodes.values_mut().filter(|node| node.entry.zone == *zone) {
            node.cold_until = node.cold_until.max(now + span);
        }
    }

    /// Whether a version has an endpoint in service.
    pub fn has_version(&self, service: &id::ServiceId, version: &id::VersionId) -> bool {
        self.nodes.values().any(|node| {
            node.entry.service == *service
                && node.entry.version == *version
                && self.is_in_service(node)
        })
    }

    fn is_in_service(&self, node: &Node) -> bool {
        node.entry.standing == fleet::Standing::Ready
            && !self.zones_out.contains_key(&node.entry.zone)
    }

    /// Whether an endpoint has just started.
    pub fn is_cold(&self, id: &id::EndpointId, now: time::Tick) -> bool {
        self.nodes.get(id).is_some_and(|node| node.was_down || node.cold_until > now)
    }

    /// How many endpoints are in each state.
    pub fn census(&self, now: time::Tick) -> Census {
        let mut census = Census::default();
        for node in self.nodes.values() {
            let is_trusted = node.breaker.allows(now) && self.reach.allows(&node.entry.zone, now);
            let count = if !self.is_in_service(node) {
                &mut census.out
            } else if !is_trusted {
                &mut census.ejected
            } else if self.is_cold(&node.entry.id, now) {
                &mut census.cold
            } else {
                &mut census.ready
            };
            *count += 1;
        }
        census
    }

    /// Chooses an endpoint; `rank` is this daemon's place among the sharers of a cold one.
    pub fn pick<R>(&self, ask: &Ask<'_>, cold: ColdRule, rank: R, now: time::Tick) -> Choice
    where
        R: Fn(&id::EndpointId) -> usize,
    {
        let allowed = |node: &&Node| {
            node.entry.service == *ask.service
                && ask.versions.allows(&node.entry.version)
                && self.is_in_service(node)
        };
        let all: Vec<&Node> = self.nodes.values().filter(allowed).collect();
        if all.is_empty() {
            return Choice::Nobody;
        }
        let fresh = |node: &&&Node| !ask.avoid.contains(&node.entry.id);
        let trusted =
            |node: &&&Node| node.breaker.allows(now) && self.reach.allows(&node.entry.zone, now);
        let mut pool: Vec<&Node> = all.iter().filter(fresh).filter(trusted).copied().collect();
        if pool.is_empty() {
            // All fail or were tried: a second look is better than none.
            pool = all.iter().filter(fresh).copied().collect();
        }
        if pool.is_empty() {
            return Choice::Nobody;
        }
        let is_open =
            |node: &&&Node| self.has_room(node, ask, now) && admits(node, cold, &rank, now);
        let mut open: Vec<&Node> = pool.iter().filter(is_open).copied().collect();
        if ask.is_trial {
            self.pack(&mut open, ask, now);
        }
        let small = smalls(&all);
        let is_preferred = |node: &Node| match ask.tier {
            Tier::Any => true,
            Tier::Small => node_hash(node) >= small,
            Tier::Large => node_hash(node) < small,
        };
        let preferred: Vec<&Node> = open.iter().copied().filter(|n| is_preferred(n)).collect();
        let home = home(if preferred.is_empty() { &open } else { &preferred }, ask);
        let price = |node: &Node| {
            let away = if is_preferred(node) { 0.0 } else { MODEL_BONUS };
            self.price(node, ask, home, now) + away
        };
        let is_home = |node: &Node| home.is_some_and(|home| home == node.short);
        // The sample is drawn from the preferred engines first.
        let mut compared = if preferred.len() > COMPARED { preferred } else { open };
        if compared.len() > COMPARED_ALL {
            compared.sort_by_key(|node| (!is_home(node), spread(node, ask)));
            compared.truncate(COMPARED + 1);
        }
        let best = compared.into_iter().min_by(|a, b| price(a).total_cmp(&price(b)));
        best.map_or(Choice::Full, |node| Choice::Send(node.entry.id.clone()))
    }

    // Leaves one endpoint of a new version that has less load than those of the others.
    fn pack(&self, open: &mut Vec<&Node>, ask: &Ask<'_>, now: time::Tick) {
        let is_other = |node: &&Node| {
            node.entry.service == *ask.service
                && !ask.versions.allows(&node.entry.version)
                && self.is_in_service(node)
        };
        let loads = self.nodes.values().filter(is_other).map(|node| self.load(node, now));
        let (sum, count) = loads.fold((0.0, 0.0), |(sum, count), load| (sum + load, count + 1.0));
        let mean = sum / f64::max(count, 1.0);
        let is_less = |node: &&&Node| self.load(node, now) < mean;
        let first = open.iter().filter(is_less).min_by_key(|node| node_hash(node)).copied();
        if let Some(first) = first.filter(|_| mean >= PACK_FROM) {
            open.retain(|node| node.short == first.short);
        }
    }

    fn price(&self, node: &Node, ask: &Ask<'_>, home: Option<u32>, now: time::Tick) -> f64 {
        let is_engine = ask.capacity > 0;
        let mut price = if is_engine { self.pressure(node, now) } else { self.load(node, now) };
        if node.entry.zone == self.zone {
            price -= NEAR_BONUS;
        }
        if let Some((_, tokens)) = ask.shared
            && home == Some(node.short)
        {
            price -= (tokens as f64 / 1_000.0 * READ_BONUS).min(READ_BONUS_MAX);
        }
        price + SPREAD * (spread(node, ask) as f64 / u64::MAX as f64)
    }

    fn has_room(&self, node: &Node, ask: &Ask<'_>, now: time::Tick) -> bool {
        let is_engine = ask.capacity > 0;
        let depth = if is_engine { ENGINE_DEPTH } else { PLAIN_DEPTH };
        if self.load(node, now) >= depth {
            return false;
        }
        let is_free = node.running == 0 || !is_engine;
        is_free || (node.tokens + ask.tokens) as f64 <= ask.capacity as f64 * MEMORY_SHARE
    }

    /// Notes that a request is sent.
    pub fn begin(
        &mut self,
        id: &id::EndpointId,
        work: Work,
        cold: ColdRule,
        rank: usize,
        now: time::Tick,
    ) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.running += 1;
        node.tokens += work.tokens;
        node.opening += 1;
        node.reading += work.reading;
        node.breaker.begin(now);
        self.reach.begin(&node.entry.zone, now);
        // The bucket runs while the endpoint is warm, too, so that it is not full if that ends.
        if cold.declared > 0.0 {
            node.admitted.try_take(cold_rate(cold.declared, rank), now);
        }
    }

    /// Notes that a request has begun to be answered.
    pub fn opened(&mut self, id: &id::EndpointId, work: Work) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.opening = node.opening.saturating_sub(1);
            node.reading = (node.reading - work.reading).max(0.0);
        }
    }

    /// Notes that a request has left an endpoint.
    pub fn end(&mut self, id: &id::EndpointId, work: Work) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.running = node.running.saturating_sub(1);
            node.tokens = node.tokens.saturating_sub(work.tokens);
        }
    }

    /// Notes how an attempt went, with what the answer told of the load.
    ///
    /// An endpoint that took no connection may have restarted: it counts as cold from the
    /// first answer on.
    pub fn judge(
        &mut self,
        id: &id::EndpointId,
        attempt: outlier::Attempt,
        load: Option<Load>,
        cold: ColdRule,
        now: time::Tick,
    ) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.breaker.end(attempt, now);
        match attempt {
            outlier::Attempt::Unreachable => node.was_down = true,
            _ if node.was_down => {
                node.was_down = false;
                node.cold_until = node.cold_until.max(now + cold.span);
            }
            _ => {}
        }
        if let Some(load) = load {
            let held = f64::from(load.running) + f64::from(load.waiting);
            let others = (held - f64::from(node.running)).max(0.0);
            let waiting = (f64::from(load.waiting) - f64::from(node.opening)).max(0.0);
            node.heard = Some(Heard { others, waiting, at: now });
        }
    }

    /// Notes that an endpoint refused a request for want of room.
    pub fn refused(&mut self, id: &id::EndpointId, now: time::Tick) {
        if let Some(node) = self.nodes.get_mut(id) {
            let slots = f64::from(node.entry.slots);
            node.heard = Some(Heard { others: slots, waiting: 0.0, at: now });
        }
    }

    /// Share of the places of a service that are taken, by what this daemon knows.
    pub fn taken(&self, service: &id::ServiceId, now: time::Tick) -> f64 {
        let nodes = self.nodes.values().filter(|node| node.entry.service == *service);
        let (mut load, mut count) = (0.0, 0.0);
        for node in nodes.filter(|node| self.is_in_service(node)) {
            load += self.load(node, now);
            count += 1.0;
        }
        load / f64::max(count, 1.0)
    }
}

fn node_hash(node: &Node) -> u64 {
    xxh3::xxh3_64(node.entry.id.as_str().as_bytes())
}

// The least hash of the engines that the smallest model prefers.
fn smalls(nodes: &[&Node]) -> u64 {
    let mut hashes: Vec<u64> = nodes.iter().map(|node| node_hash(node)).collect();
    hashes.sort_unstable_by(|a, b| b.cmp(a));
    let count = (nodes.len() as f64 * SMALL_SHARE).round().max(1.0) as usize;
    hashes.get(count - 1).copied().unwrap_or_default()
}

fn admits<R>(node: &Node, cold: ColdRule, rank: &R, now: time::Tick) -> bool
where
    R: Fn(&id::EndpointId) -> usize,
{
    let is_cold = cold.is_stale || node.was_down || node.cold_until > now;
    if !is_cold || cold.declared <= 0.0 {
        return true;
    }
    node.admitted.has_token(cold_rate(cold.declared, rank(&node.entry.id)), now)
}

fn spread(node: &Node, ask: &Ask<'_>) -> u64 {
    xxh3::xxh3_64_with_seed(node.entry.id.as_str().as_bytes(), ask.seed)
}

fn short(id: &id::EndpointId) -> u32 {
    xxh3::xxh3_64(id.as_str().as_bytes()) as u32
}

// The endpoint of the highest hash, on which all daemons that know the same ones agree; where
// it fails or is full, the next one takes its place.
fn home(nodes: &[&Node], ask: &Ask<'_>) -> Option<u32> {
    let (part, _) = ask.shared?;
    let weight = |node: &&&Node| xxh3::xxh3_64_with_seed(node.entry.id.as_str().as_bytes(), part);
    nodes.iter().max_by_key(weight).map(|node| node.short)
}
