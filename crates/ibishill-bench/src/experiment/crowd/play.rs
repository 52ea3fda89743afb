//! The course of a deployment's demand and of what its relays tell each other.

mod exchange;

use std::collections::BTreeSet;

use ibishill_core::{call, id, time};
use ibishill_decide::report_targets;
use ibishill_decide::{balance, endpoint_key, exposure, fair_share, outlier, peers, promise};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

use super::relay::Relay;
use super::setup::{Engine, SLOTS, engine, member, number, relay};
use super::{Outcome, Times, average};
use crate::model;

/// Duration of a run, and the time from its start that is not counted, in milliseconds.
const DURATION: u64 = 14_000;
const WARM_UP: u64 = 7_000;

/// Requests per second of each relay: 14,000 at 910.
const RATE: f64 = 14_000.0 / 910.0;

/// Mean time for which a request holds a slot: demand is 1.09 times the slots.
const HOLD_MS: f64 = 9_000.0;

const WORKSPACES: usize = 24;
const SURGE: f64 = 10.0;

/// Mean prompt, in thousands of tokens; shorter ones than the limit go to the smallest model.
const PREFILL: f64 = 3.0;
const SMALL: f64 = 1.0;

/// Time of four events at an engine of speed 1, in milliseconds, and speeds.
const PACE_MS: f64 = 168.0;
const SPEEDS: std::ops::Range<f64> = 0.7..1.7;

/// Engines for which one ends each second.
const ENGINES_PER_END: usize = 1_200;

/// Time from the end of a response until its engine is known to be alive, and from an end to the report that
/// announces it, in milliseconds.
const ALIVE_DELAY: u64 = 2_200;
const EVIDENCE_DELAY: u64 = 50;

/// Interval of the gossip, in milliseconds.
const GOSSIP_INTERVAL: u64 = 400;

/// Interval in which what relays know is judged and sampled, in milliseconds.
const JUDGE_INTERVAL: u64 = 200;

/// Wait that a refused request counts with, and the time that its caller has left.
const WAIT_LIMIT: time::Millis = time::Millis(2_000);
const LEFT: time::Millis = time::Millis(20_000);

/// Engines that a request is sent to until one has a free slot.
const ATTEMPTS: usize = 3;

const SLOW_START: balance::SlowStart =
    balance::SlowStart { duration: time::Millis(0), rate: 0.0, is_stale: false };

#[derive(Clone, Copy)]
enum Event {
    Tick,
    Report { relay: usize, is_extra: bool },
    Gossip(usize),
    Ended(usize),
    Alive(usize),
}

struct Request {
    relay: usize,
    workspace: usize,
    engine: usize,
    key: endpoint_key::EndpointKey,
    sent: time::Tick,
    ticket: exposure::Ticket,
}

struct Play {
    zones: usize,
    rng: ChaCha8Rng,
    now: time::Tick,
    agenda: model::Agenda<Event>,
    service: id::ServiceId,
    workspaces: Vec<id::WorkspaceId>,
    relays: Vec<Relay>,
    members: Vec<peers::Member>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    // Slots in use by workspace.
    held: Vec<u32>,
    // Requests that came and that were refused, at the relays that are not observed and at those that are.
    counts: [(usize, usize); 2],
    blamed: BTreeSet<call::SegmentId>,
    // Errors of shares, and of loads in the own zone and elsewhere.
    errors: [Vec<f64>; 3],
    times: Times,
}

/// Plays a deployment; the outcome depends on the seed only, the times also on the host.
pub fn play((relays, engines, zones): (usize, usize, usize), seed: u64) -> (Outcome, Times) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let engines = (0..engines).map(|at| engine(at, 0, zones, rng.random_range(SPEEDS)));
    let engines: Vec<_> = engines.collect();
    let mut play = Play {
        zones,
        now: time::Tick(0),
        agenda: model::Agenda::default(),
        service: model::name("pool"),
        workspaces: (0..WORKSPACES).map(|at| model::name(&format!("w{at}"))).collect(),
        relays: (0..relays).map(|at| relay(at, zones, &engines)).collect(),
        members: (0..relays).map(|at| member(at, zones)).collect(),
        engines,
        requests: Vec::new(),
        held: vec![0; WORKSPACES],
        counts: [(0, 0); 2],
        blamed: BTreeSet::new(),
        errors: Default::default(),
        times: Times::new(),
        rng,
    };
    play.begin();
    while let Some((at, event)) = play.agenda.pop().filter(|(at, _)| *at < DURATION) {
        play.now = time::Tick(at);
        match event {
            Event::Tick => play.tick(),
            Event::Report { relay, is_extra } => play.report(relay, is_extra),
            Event::Gossip(relay) => play.gossip(relay),
            Event::Ended(request) => play.end(request),
            Event::Alive(request) => play.check(request),
        }
    }
    play.outcome()
}

impl Play {
    // Begins with one free slot at each engine, and requests of relays of its zone in the others.
    fn begin(&mut self) {
        for engine in (0..self.engines.len()).flat_map(|at| std::iter::repeat_n(at, SLOTS - 1)) {
            let ((relay, workspace), zone) = (self.caller(), engine % self.zones);
            let near = relay / self.zones * self.zones + zone;
            let relay = if near < self.relays.len() { near } else { zone };
            self.send(relay, workspace, engine, balance::Work::default());
        }
        self.agenda.plan(0, Event::Tick);
        for relay in 0..self.relays.len() {
            let report = Event::Report { relay, is_extra: false };
            self.agenda.plan(self.rng.random_range(0..report_targets::INTERVAL.0), report);
            self.agenda.plan(self.rng.random_range(0..GOSSIP_INTERVAL), Event::Gossip(relay));
        }
    }

    fn caller(&mut self) -> (usize, usize) {
        let drawn = self.rng.random_range(0.0..SURGE + WORKSPACES as f64 - 1.0);
        let workspace = (drawn - SURGE + 1.0).max(0.0) as usize;
        (self.rng.random_range(0..self.relays.len()), workspace)
    }

    fn tick(&mut self) {
        let now = self.now;
        self.agenda.plan(now.0 + 1, Event::Tick);
        let due = |at: u64| (RATE * self.relays.len() as f64 * at as f64 / 1_000.0) as usize;
        for _ in due(now.0)..due(now.0 + 1) {
            self.request();
        }
        if now.0.is_multiple_of(1_000 / (self.engines.len() / ENGINES_PER_END).max(1) as u64) {
            self.replace();
        }
        if now.0 == WARM_UP {
            self.relays.iter_mut().for_each(|relay| relay.sent = Default::default());
        }
        for relay in self.relays.iter_mut().filter(|_| now.0.is_multiple_of(JUDGE_INTERVAL)) {
            relay.shares.expire(now);
            relay.promises.expire(now);
            if !relay.is_observed {
                continue;
            }
            relay.balancer.reports().expire(now);
            let judge = || relay.exposures.judge(|_| false, now);
            let blames = timed(&mut self.times, "judgement of exposures", true, judge);
            self.blamed.extend(blames.into_iter().map(|blame| blame.segment));
        }
        if now.0.is_multiple_of(JUDGE_INTERVAL) && now.0 >= WARM_UP {
            self.sample();
        }
    }

    fn request(&mut self) {
        let (now, (at, workspace)) = (self.now, self.caller());
        let slots = (self.engines.len() * SLOTS) as f64;
        let truth = f64::from(self.held.iter().sum::<u32>()) / slots;
        let Relay { shares, balancer, is_observed, .. } = &mut self.relays[at];
        let (service, name) = (&self.service, &self.workspaces[workspace]);
        let used = || if *is_observed { balancer.utilization(service, now) } else { truth };
        shares.record_request(service, name, now);
        let yields = timed(&mut self.times, "shares and rank", *is_observed, || {
            shares.refresh(service, used, now);
            shares.rank(service, Some(name)) >= fair_share::YIELDING
        });
        let prefill = model::exponential(&mut self.rng, PREFILL);
        let tier = if prefill < SMALL { balance::Tier::Small } else { balance::Tier::Large };
        let work = balance::Work { tokens: 3_000, prefill, tier };
        self.counts[usize::from(self.relays[at].is_observed)].0 += 1;
        if !yields && let Some(engine) = self.choose(at, &work) {
            return self.send(at, workspace, engine, work);
        }
        self.counts[usize::from(self.relays[at].is_observed)].1 += 1;
        let (alive, seed) = (self.relays.len(), self.rng.random());
        let Relay { shares, promises, balancer, is_observed, .. } = &mut self.relays[at];
        let (service, name) = (&self.service, &self.workspaces[workspace]);
        let used = if *is_observed { balancer.utilization(service, now) } else { truth };
        if !yields {
            shares.record_full(service, used, now);
        }
        shares.record_refused(service, name, WAIT_LIMIT, now);
        let running = used * slots;
        let refusal = promise::Refusal { left: LEFT, waiting: 0, running, alive, seed };
        let promise = || promises.promise(service, refusal, now);
        timed(&mut self.times, "promise", *is_observed, promise);
    }

    fn choose(&mut self, at: usize, work: &balance::Work) -> Option<usize> {
        let is_free = |engine: &usize| self.engines[*engine].running.len() < SLOTS;
        let Relay { balancer, is_observed, .. } = &mut self.relays[at];
        if !*is_observed {
            let (all, zones) = (self.engines.len() / self.zones, self.zones);
            let any = || self.rng.random_range(0..all) * zones + at % zones;
            return std::iter::repeat_with(any).take(ATTEMPTS).find(is_free);
        }
        let mut tried = Vec::new();
        for _ in 0..ATTEMPTS {
            let request = balance::Request {
                service: &self.service,
                versions: balance::Versions::Any,
                tried: &tried,
                prefix: Some((self.rng.random_range(0..200), 800)),
                model: None,
                tokens: work.tokens,
                capacity: 200_000,
                prefill: work.prefill,
                saved: work.prefill.min(0.8),
                tier: work.tier,
                uses_subset: false,
                seed: self.rng.random(),
            };
            let pick = || balancer.pick(&request, SLOW_START, |_| 0, self.now);
            let choice = timed(&mut self.times, "choice of an engine", true, pick);
            let balance::Choice::Send(id) = choice else { return None };
            let engine = number(id.as_str());
            if is_free(&engine) {
                return Some(engine);
            }
            balancer.record_refusal(&id, self.now);
            tried.push(id);
        }
        None
    }

    fn send(&mut self, at: usize, workspace: usize, to: usize, work: balance::Work) {
        let (now, engine, relay) = (self.now, &mut self.engines[to], &mut self.relays[at]);
        let kinds = [WORKSPACES as u32, 200, 5_000, u32::MAX];
        let count = self.rng.random_range(2..=kinds.len());
        let segment = |kind: u32| {
            let name = self.rng.random_range(0..kind).to_le_bytes();
            call::SegmentId(xxh3::xxh3_64_with_seed(&name, kind.into()))
        };
        let segments = kinds.into_iter().take(count).map(segment).collect();
        let prompt = exposure::Prompt { request: self.rng.random(), service: u32::MAX, segments };
        let ticket = relay.exposures.begin(prompt, engine.key, false, now);
        relay.shares.begin(&self.service, &self.workspaces[workspace], now);
        *relay.running.entry(engine.flight).or_default() += 1;
        engine.running.insert(self.requests.len());
        let (balancer, id) = (&mut relay.balancer, &engine.entry.id);
        balancer.begin(id, work, SLOW_START, 0, now);
        balancer.record_response_start(id, work);
        let load = balance::Load { running: engine.running.len() as u32, waiting: 0 };
        balancer.record_attempt(id, outlier::Attempt::Good, Some(load), SLOW_START, (now, now));
        self.held[workspace] += 1;
        let hold = model::exponential(&mut self.rng, HOLD_MS) as u64 + 1;
        self.agenda.plan(now.0 + hold, Event::Ended(self.requests.len()));
        let key = engine.key;
        self.requests.push(Request { relay: at, workspace, engine: to, key, sent: now, ticket });
    }

    // Frees the slot of a request.
    fn leave(&mut self, number: usize) {
        let request = &self.requests[number];
        let (relay, engine) = (&mut self.relays[request.relay], &self.engines[request.engine]);
        relay.shares.end(&self.service, &self.workspaces[request.workspace], self.now);
        self.held[request.workspace] -= 1;
        relay.running.entry(engine.flight).and_modify(|count| *count -= 1);
        let work = balance::Work { tokens: 3_000, ..balance::Work::default() };
        relay.balancer.end(&engine.entry.id, work, self.now);
    }

    fn end(&mut self, number: usize) {
        let to = self.requests[number].engine;
        // Those of an engine that has ended have left.
        if !self.engines[to].running.remove(&number) {
            return;
        }
        self.leave(number);
        let (request, engine) = (&self.requests[number], &self.engines[to]);
        let relay = &mut self.relays[request.relay];
        relay.promises.record_hold(&self.service, self.now.since(request.sent));
        relay.exposures.finish(request.ticket, self.now);
        let pace = PACE_MS * engine.speed * self.rng.random_range(1.0..1.1);
        relay.balancer.record_speed(&engine.entry.id, time::Millis(pace as u64), self.now);
        self.agenda.plan(self.now.0 + ALIVE_DELAY, Event::Alive(number));
    }

    // An engine ends with all its requests, and another one takes its place.
    fn replace(&mut self) {
        let at = self.rng.random_range(0..self.engines.len());
        let lost = std::mem::take(&mut self.engines[at].running);
        lost.iter().for_each(|request| self.leave(*request));
        let relays: BTreeSet<_> = lost.iter().map(|lost| self.requests[*lost].relay).collect();
        relays.into_iter().for_each(|relay| self.record_end(relay, self.engines[at].key));
        let next = engine(at, self.now.0 + 1, self.zones, self.rng.random_range(SPEEDS));
        let old = std::mem::replace(&mut self.engines[at], next);
        let is_known =
            |relay: &&mut Relay| relay.is_observed || relay.member.zone == old.entry.zone;
        for relay in self.relays.iter_mut().filter(is_known) {
            relay.balancer.remove(&old.entry.id, self.now);
            relay.balancer.register(self.engines[at].entry.clone(), self.now);
        }
    }

    fn check(&mut self, number: usize) {
        let Request { relay, engine, key, .. } = self.requests[number];
        if self.engines[engine].key == key {
            self.relays[relay].exposures.record_alive(key, self.now, self.now);
        } else {
            self.record_end(relay, key);
        }
    }

    fn record_end(&mut self, relay: usize, key: endpoint_key::EndpointKey) {
        if self.relays[relay].exposures.record_end(key, self.now) > 0 {
            let at = self.now.0 + EVIDENCE_DELAY;
            self.agenda.plan(at, Event::Report { relay, is_extra: true });
        }
    }

    fn sample(&mut self) {
        let total = f64::from(self.held.iter().sum::<u32>());
        for relay in self.relays.iter().filter(|relay| relay.is_observed) {
            for (name, held) in self.workspaces.iter().zip(&self.held) {
                let known = relay.shares.standing(&self.service, name);
                let error = known.map(|known| (known.share - f64::from(*held) / total).abs());
                self.errors[0].extend(error);
            }
            for engine in &self.engines {
                let known = relay.balancer.load_at(&engine.entry.id, self.now).unwrap_or_default();
                let error = known - engine.running.len() as f64 / SLOTS as f64;
                let is_near = engine.entry.zone == relay.member.zone;
                self.errors[if is_near { 1 } else { 2 }].push(error.abs());
            }
        }
    }

    fn outcome(self) -> (Outcome, Times) {
        let observed = self.relays.iter().filter(|relay| relay.is_observed);
        let seconds = (DURATION - WARM_UP) as f64 / 1_000.0;
        let bytes = observed.map(|relay| relay.sent.map(|bytes| bytes as f64 / seconds));
        let [share, near, far] = &self.errors;
        let largest = share.iter().copied().max_by(f64::total_cmp);
        let refused = self.counts.map(|(came, refused)| refused as f64 / came.max(1) as f64);
        let outcome = Outcome {
            bytes: bytes.collect(),
            share: largest.map(|largest| (average(share), largest)),
            load: (average(near), average(far)),
            refused,
            blamed: self.blamed.len(),
        };
        (outcome, self.times)
    }
}

fn timed<F, T>(times: &mut Times, name: &'static str, is_observed: bool, decide: F) -> T
where
    F: FnOnce() -> T,
{
    if !is_observed {
        return decide();
    }
    let nanos = || {
        let spec = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
        spec.tv_sec as f64 * 1e9 + spec.tv_nsec as f64
    };
    let began = nanos();
    let result = decide();
    times.entry(name).or_default().push(nanos() - began);
    result
}
