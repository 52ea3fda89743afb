//! What relays know of each other's long prompts, by size of the deployment: how wrong it is, and how long
//! callers wait for it.
//!
//! Engines read one prompt after the other. Each relay chooses among a few engines by what it believes to be
//! left to read there. Compared are reports of all relays in the same order, reports in turn with datagrams for
//! single prompts, and perfect knowledge.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, link, time};
use ibishill_decide::{peers, report_targets};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

use crate::report;

/// Duration of a run.
const DURATION: u64 = 12_000;

/// Time from the start that is not counted.
const WARM_UP: u64 = 3_000;

/// Mean time in which an engine reads a long prompt, and the longest, in milliseconds.
const READING: (f64, f64) = (440.0, 3_000.0);

/// Share of the engines' time that is spent reading.
const UTILIZATION: f64 = 0.4;

/// Time within which callers want the first event, less that of other work, in milliseconds.
const TARGET: f64 = 2_000.0;

/// Size of a datagram for a single prompt, in bytes.
const DATAGRAM: f64 = 60.0;

/// Size of a report, in bytes.
const REPORT: f64 = 100.0;

/// What an engine of another zone costs more, in milliseconds of reading: a bonus of 0.12 of its slots.
const FAR_COST: f64 = 75.0;

/// Engines compared in the own zone and elsewhere.
const SAMPLE_NEAR: usize = 16;
const SAMPLE_FAR: usize = 4;

/// Engines compared wherever they are.
const SAMPLE_ANY: usize = 6;

/// How relays learn of each other's prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Reports to 64 peers in an order that all relays share.
    SameOrder,
    /// Reports in turn, and a datagram for each beginning and end.
    InTurn,
    /// Everything is known at once.
    Perfect,
}

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Relays.
    pub relays: usize,
    /// Engines.
    pub engines: usize,
    /// Availability zones.
    pub zones: usize,
}

/// Sizes that are compared.
pub const SIZES: [Size; 4] = [
    Size { relays: 6, engines: 12, zones: 4 },
    Size { relays: 83, engines: 112, zones: 5 },
    Size { relays: 195, engines: 124, zones: 6 },
    Size { relays: 910, engines: 4_800, zones: 12 },
];

/// What callers and relays got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Share of prompts read later than callers want.
    pub late: f64,
    /// Time until a prompt was read that 99 in 100 did not exceed, in milliseconds.
    pub p99: f64,
    /// Mean difference between what was believed of the chosen engine and what was left there, in milliseconds.
    pub error: f64,
    /// Bytes that a relay sends in a second.
    pub bytes: f64,
}

#[derive(Debug, Clone, Copy)]
struct Work {
    sender: usize,
    until: u64,
    left: f64,
}

struct Run {
    size: Size,
    way: Way,
    rng: ChaCha8Rng,
    members: Vec<peers::Member>,
    // When each engine has read all that it was sent.
    free: Vec<f64>,
    // By relay, then by engine.
    own: Vec<BTreeMap<usize, f64>>,
    told: Vec<BTreeMap<usize, Vec<Work>>>,
    // By relay, then by sender: the engines of its last report.
    reported: Vec<BTreeMap<usize, Vec<usize>>>,
    allowances: Vec<report_targets::Starts>,
    bytes: f64,
    waits: Vec<f64>,
    errors: Vec<f64>,
}

/// Plays a load of long prompts.
pub fn play(size: Size, way: Way, seed: u64) -> Outcome {
    let zone = |at: usize| format!("z{}", at % size.zones).parse().expect("a valid id");
    let member = |at: usize| peers::Member {
        vm: format!("vm{at}").parse().expect("a valid id"),
        zone: zone(at),
        address: ([127, 0, 0, 1], 80).into(),
        start: 1,
        beat: 1,
        is_ready: true,
        link: link::Bandwidth::default(),
    };
    let mut run = Run {
        size,
        way,
        rng: ChaCha8Rng::seed_from_u64(seed),
        members: (0..size.relays).map(member).collect(),
        free: vec![0.0; size.engines],
        own: vec![BTreeMap::new(); size.relays],
        told: vec![BTreeMap::new(); size.relays],
        reported: vec![BTreeMap::new(); size.relays],
        allowances: vec![report_targets::Starts::new(time::Tick(0)); size.relays],
        bytes: 0.0,
        waits: Vec::new(),
        errors: Vec::new(),
    };
    run.play();
    run.outcome()
}

impl Run {
    fn play(&mut self) {
        let mut ends: BTreeMap<u64, Vec<(usize, usize, f64)>> = BTreeMap::new();
        let per_ms = UTILIZATION * self.size.engines as f64 / READING.0;
        let mut due = 0.0;
        for now in 0..DURATION {
            for (relay, engine, work) in ends.remove(&now).unwrap_or_default() {
                let left = self.own[relay].entry(engine).or_default();
                *left -= work;
                if *left < 1.0 {
                    self.own[relay].remove(&engine);
                }
                self.tell(relay, engine, work, now);
            }
            if now % report_targets::INTERVAL.0 == 0 && self.way != Way::Perfect {
                self.report(now);
            }
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
                let (relay, engine, work) = self.send(now);
                ends.entry(self.free[engine].ceil() as u64)
                    .or_default()
                    .push((relay, engine, work));
                self.tell(relay, engine, work, now);
            }
        }
    }

    fn send(&mut self, now: u64) -> (usize, usize, f64) {
        let relay = self.rng.random_range(0..self.size.relays);
        // Exponential, as prompts differ much in length.
        let work = (-(1.0 - self.rng.random::<f64>()).ln() * READING.0).min(READING.1);
        let candidates = self.candidates(relay);
        let left = |engine: usize| (self.free[engine] - now as f64).max(0.0);
        let believed: Vec<(usize, f64)> = candidates
            .into_iter()
            .map(|engine| match self.way {
                Way::Perfect => (engine, left(engine)),
                _ => (engine, self.believed(relay, engine, now)),
            })
            .collect();
        let cost = |(engine, left): &(usize, f64)| {
            let is_near = engine % self.size.zones == relay % self.size.zones;
            if is_near || self.way == Way::Perfect { *left } else { *left + FAR_COST }
        };
        let best = believed.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let (engine, expected) = best.expect("there are engines");
        if now >= WARM_UP {
            self.errors.push((expected - left(engine)).abs());
            self.waits.push(left(engine) + work);
        }
        self.free[engine] = self.free[engine].max(now as f64) + work;
        *self.own[relay].entry(engine).or_default() += work;
        (relay, engine, work)
    }

    fn candidates(&mut self, relay: usize) -> Vec<usize> {
        let (engines, zones) = (self.size.engines, self.size.zones);
        let mut any = |count: usize| -> Vec<usize> {
            (0..count).map(|_| self.rng.random_range(0..engines)).collect()
        };
        match self.way {
            Way::Perfect => (0..engines).collect(),
            Way::SameOrder => any(SAMPLE_ANY),
            Way::InTurn => {
                let far = any(SAMPLE_FAR);
                let in_zone = engines / zones;
                let start = self.rng.random_range(0..in_zone);
                let near = (0..in_zone.min(SAMPLE_NEAR))
                    .map(|at| (start + at) % in_zone * zones + relay % zones);
                near.chain(far).collect()
            }
        }
    }

    fn believed(&self, relay: usize, engine: usize, now: u64) -> f64 {
        let own = self.own[relay].get(&engine).copied().unwrap_or_default();
        let told = self.told[relay].get(&engine).into_iter().flatten();
        own + told.filter(|work| work.until > now).map(|work| work.left).sum::<f64>()
    }

    fn report(&mut self, now: u64) {
        let round = now / report_targets::INTERVAL.0;
        for sender in 0..self.size.relays {
            let targets = self.targets(sender, round);
            let works: Vec<(usize, f64)> = self.own[sender]
                .iter()
                .filter(|(_, left)| **left > 0.0)
                .map(|(engine, left)| (*engine, *left))
                .collect();
            for target in targets {
                self.bytes += REPORT;
                let until = now + self.ttl(target, sender).0;
                let engines = works.iter().map(|(engine, _)| *engine).collect();
                let earlier = self.reported[target].insert(sender, engines).unwrap_or_default();
                for engine in earlier {
                    let told = self.told[target].entry(engine).or_default();
                    told.retain(|work| work.sender != sender && work.until > now);
                }
                for (engine, left) in &works {
                    let work = Work { sender, until, left: *left };
                    let told = self.told[target].entry(*engine).or_default();
                    told.retain(|work| work.sender != sender);
                    told.push(work);
                }
            }
        }
    }

    fn ttl(&self, own: usize, sender: usize) -> time::Millis {
        if self.way == Way::SameOrder {
            return time::Millis(1_600);
        }
        let near = self.size.relays / self.size.zones;
        let is_near = own % self.size.zones == sender % self.size.zones;
        report_targets::ttl(is_near, near, self.size.relays - near)
    }

    fn targets(&self, sender: usize, round: u64) -> Vec<usize> {
        let others = (0..self.size.relays).filter(|at| *at != sender);
        if self.way == Way::SameOrder {
            let mut others: Vec<usize> = others.collect();
            others.sort_by_key(|at| {
                xxh3::xxh3_64_with_seed(self.members[*at].vm.as_str().as_bytes(), round)
            });
            others.truncate(report_targets::FANOUT);
            return others;
        }
        let alive: Vec<_> = others.map(|at| &self.members[at]).collect();
        let own = &self.members[sender];
        let chosen = report_targets::select(own, &alive, &BTreeSet::new(), round);
        chosen.into_iter().map(|peer| number(&peer.vm)).collect()
    }

    fn tell(&mut self, relay: usize, engine: usize, work: f64, now: u64) {
        if self.way != Way::InTurn {
            return;
        }
        let endpoint: id::EndpointId = format!("e{engine}").parse().expect("a valid id");
        let zone = format!("z{}", engine % self.size.zones).parse().expect("a valid id");
        let others = self.members.iter().enumerate().filter(|(at, _)| *at != relay);
        let alive: Vec<_> = others.map(|(_, member)| member).collect();
        let listeners = report_targets::listeners(&endpoint, &zone, &alive);
        let listeners: Vec<usize> = listeners.into_iter().map(|peer| number(&peer.vm)).collect();
        // A prompt of the mean length costs as much as 12,000 tokens.
        let prefill = work / READING.0 * 12.0;
        if !self.allowances[relay].try_take(prefill, listeners.len(), time::Tick(now)) {
            return;
        }
        let left = self.own[relay].get(&engine).copied().unwrap_or_default();
        for listener in listeners {
            self.bytes += DATAGRAM;
            let until = now + self.ttl(listener, relay).0;
            let told = self.told[listener].entry(engine).or_default();
            told.retain(|work| work.sender != relay);
            told.push(Work { sender: relay, until, left });
            self.reported[listener].entry(relay).or_default().push(engine);
        }
    }

    fn outcome(mut self) -> Outcome {
        self.waits.sort_by(f64::total_cmp);
        let count = self.waits.len() as f64;
        let late = self.waits.iter().filter(|wait| **wait > TARGET).count() as f64;
        Outcome {
            late: late / count,
            p99: self.waits[(count * 0.99) as usize],
            error: self.errors.iter().sum::<f64>() / count,
            bytes: self.bytes / self.size.relays as f64 / DURATION as f64 * 1_000.0,
        }
    }
}

fn number(vm: &id::VmId) -> usize {
    vm.as_str()[2..].parse().expect("a number")
}

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    for size in SIZES {
        let [before, ours, perfect] =
            [Way::SameOrder, Way::InTurn, Way::Perfect].map(|way| play(size, way, seed));
        let relays = size.relays;
        let figure = |name: &str, unit: &str, value: fn(&Outcome) -> f64| {
            report::Figure::new(format!("{relays} relays: {name}"), unit, value(&ours))
                .baseline("same order", value(&before))
        };
        figures.push(
            figure("prompts read late", "%", |outcome| outcome.late * 100.0)
                .optimum(perfect.late * 100.0),
        );
        figures.push(
            figure("time until a prompt is read, p99", "ms", |outcome| outcome.p99)
                .optimum(perfect.p99),
        );
        figures.push(figure("error of what is believed", "ms", |outcome| outcome.error));
        figures.push(figure("sent by each relay", "bytes/s", |outcome| outcome.bytes));
    }
    let axes = (String::new(), String::new());
    report::Report { name: "knowledge".into(), seed, figures, axes, series: Vec::new() }
}
