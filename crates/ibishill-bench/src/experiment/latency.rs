//! Time to the first token and between tokens under each way to choose an endpoint.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{id, time};
use ibishill_decide::{admit, limiter, prefix};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, report};

const SHAPE: model::Shape = model::Shape {
    slots: 64,
    cold: 64,
    prefill_ms: 0.2,
    token_ms: 10.0,
    batch_ms: 0.3,
    prefixes: 32,
    warming: (0, 0),
};
const ENDPOINTS: usize = 12;
const REQUESTS: u64 = 20_000;
const WARM_UP: u64 = 2_000;
const TOKENS_MEAN: f64 = 500.0;
const REPORT_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 500;
const SHARED_PREFIXES: u64 = 400;
const EVENT_LAG_MS: u64 = 300;
const EVENT_LOSS: f64 = 0.2;
/// The users' targets for 95 in 100.
const FIRST_TARGET_MS: f64 = 470.0;
const BETWEEN_TARGET_MS: f64 = 42.0;

const LOADS: &[f64] = &[0.5, 0.8, 0.95];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Ours,
    RoundRobin,
    Random,
    LeastConnections,
    Perfect,
}

const BASELINES: &[(Way, &str)] = &[
    (Way::RoundRobin, "round robin"),
    (Way::Random, "random"),
    (Way::LeastConnections, "least connections on lagging reports"),
];

enum Event {
    Arrive,
    First(admit::Admission),
    End(id::EndpointId, Option<admit::Admission>),
    Report,
    Deliver(Vec<u32>),
    Cached(id::EndpointId, u64),
}

struct Run {
    way: Way,
    skewed: bool,
    load: f64,
    rng: ChaCha8Rng,
    // Separate, so that all ways see the same arrivals.
    noise: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    config: ibishill_config::in_force::InForce,
    owner: admit::Owner,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    names: Vec<id::EndpointId>,
    reports: Vec<u32>,
    held: VecDeque<(u64, model::Prompt, u64)>,
    arrived: u64,
    first: Vec<f64>,
    between: Vec<f64>,
}

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    let mut report = report::Report {
        name: "latency".into(),
        seed,
        axes: ("share of capacity in percent".into(), "p95 to first token in ms".into()),
        ..report::Report::default()
    };
    for skewed in [false, true] {
        for &load in LOADS {
            figures(&mut report, skewed, load, seed);
        }
    }
    report
}

fn figures(report: &mut report::Report, skewed: bool, load: f64, seed: u64) {
    let measure = |way| Run::new(way, skewed, load, seed).run();
    let mut ours = measure(Way::Ours);
    let mut perfect = measure(Way::Perfect);
    let mut others: Vec<_> = BASELINES.iter().map(|&(way, name)| (name, measure(way))).collect();
    let kind = if skewed { "skewed" } else { "flat" };
    let percent = load * 100.0;
    for share in [0.5, 0.95, 0.99] {
        let at = share * 100.0;
        let name = format!("{kind} at {percent}%: p{at} to first token");
        let value = model::percentile(&mut ours.0, share);
        let optimum = model::percentile(&mut perfect.0, share);
        let mut figure = report::Figure::new(name, "ms", value)
            .baseline("greedy with perfect knowledge", optimum);
        let mut best = if share == 0.95 { FIRST_TARGET_MS } else { f64::INFINITY };
        for (name, other) in &mut others {
            let value = model::percentile(&mut other.0, share);
            best = best.min(value);
            figure = figure.baseline(*name, value);
        }
        if share > 0.9 {
            figure = figure.bound(report::Bound::AtMost(best));
        }
        report.figures.push(figure);
    }
    for share in [0.5, 0.95, 0.99] {
        let at = share * 100.0;
        let name = format!("{kind} at {percent}%: p{at} between tokens");
        let mut figure = report::Figure::new(name, "ms", model::percentile(&mut ours.1, share));
        for (name, other) in &mut others {
            figure = figure.baseline(*name, model::percentile(&mut other.1, share));
        }
        if share == 0.95 {
            figure = figure.bound(report::Bound::AtMost(BETWEEN_TARGET_MS));
        }
        report.figures.push(figure);
    }
    let p95 = report.figures[report.figures.len() - 5].clone();
    line(report, &format!("ours, {kind}"), percent, p95.ours);
    for other in &p95.baselines {
        line(report, &format!("{}, {kind}", other.name), percent, other.value);
    }
}

fn line(report: &mut report::Report, name: &str, x: f64, y: f64) {
    match report.series.iter_mut().find(|series| series.name == name) {
        Some(series) => series.points.push((x, y)),
        None => {
            report.series.push(report::Series { name: name.into(), points: vec![(x, y)] });
        }
    }
}

impl Run {
    fn new(way: Way, skewed: bool, load: f64, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(2_000, Event::Arrive);
        agenda.plan(0, Event::Report);
        let endpoints = model::endpoints(ENDPOINTS, SHAPE);
        let periods = admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) };
        Self {
            way,
            skewed,
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            noise: ChaCha8Rng::seed_from_u64(seed + 1),
            agenda,
            config: model::zone(ENDPOINTS, &SHAPE, &[("w", 1)]),
            owner: admit::Owner::new(periods),
            names: endpoints.keys().cloned().collect(),
            endpoints,
            reports: vec![0; ENDPOINTS],
            held: VecDeque::new(),
            arrived: 0,
            first: Vec::new(),
            between: Vec::new(),
        }
    }

    fn run(mut self) -> (Vec<f64>, Vec<f64>) {
        while let Some((now, event)) = self.agenda.pop() {
            if self.arrived >= REQUESTS {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::First(admission) => {
                    self.owner.record_first_token(&admission, time::Tick(now))
                }
                Event::End(name, admission) => self.end(&name, admission.as_ref(), now),
                Event::Report => self.report(now),
                Event::Deliver(held) => self.reports = held,
                Event::Cached(name, key) => {
                    let key = ibishill_core::prefix::PrefixKey(key);
                    self.owner.record_cache_event(
                        &name,
                        key,
                        prefix::Event::Stored,
                        time::Tick(now),
                    );
                }
            }
            while self.held.front().is_some() && self.place(now) {}
        }
        (self.first, self.between)
    }

    fn arrive(&mut self, now: u64) {
        // Capacity is that of the prefills without any cache hit.
        let mean = TOKENS_MEAN * SHAPE.prefill_ms / ENDPOINTS as f64 / self.load;
        let gap = model::exponential(&mut self.rng, mean).round() as u64;
        self.agenda.plan(now + gap, Event::Arrive);
        self.arrived += 1;
        let prompt = model::Prompt {
            tokens: self.rng.random_range(100..900),
            output: self.rng.random_range(20..100),
            prefix: self.prefix(),
        };
        self.held.push_back((self.arrived, prompt, now));
    }

    // Skewed: a few prefixes make up most requests. Flat: hardly any comes twice.
    fn prefix(&mut self) -> u64 {
        if !self.skewed {
            return self.rng.random();
        }
        let uniform: f64 = self.rng.random();
        (SHARED_PREFIXES as f64 * uniform.powi(3)) as u64
    }

    fn place(&mut self, now: u64) -> bool {
        let Some(&(number, prompt, arrived)) = self.held.front() else { return false };
        let (name, admission) = match self.way {
            Way::Ours => {
                let Some(admission) = self.admit(number, &prompt, now) else { return false };
                (admission.endpoint.clone(), Some(admission))
            }
            way => (self.pick(way, &prompt, now), None),
        };
        self.held.pop_front();
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return true };
        let times = endpoint.begin(&prompt, now as f64);
        if number > WARM_UP {
            self.first.push(times.first - arrived as f64);
            self.between.push(times.between);
        }
        let first = (times.first as u64).max(now + 1);
        if let Some(admission) = &admission {
            self.agenda.plan(first, Event::First(admission.clone()));
            if !self.noise.random_bool(EVENT_LOSS) {
                let event = Event::Cached(name.clone(), prompt.prefix);
                self.agenda.plan(first + EVENT_LAG_MS, event);
            }
        }
        self.agenda.plan((times.last as u64).max(first), Event::End(name, admission));
        true
    }

    fn admit(&mut self, number: u64, prompt: &model::Prompt, now: u64) -> Option<admit::Admission> {
        let job = model::job(number, "w", prompt, u64::MAX);
        let (view, place) = (model::view(1, &["vm-a"]), model::place("vm-a"));
        let facts = admit::Facts {
            config: &self.config,
            view: &view,
            location: &place,
            lease: admit::Lease { until: time::Tick(u64::MAX) },
            now: time::Tick(now),
        };
        self.owner.admit(&facts, &job).ok()
    }

    fn pick(&mut self, way: Way, prompt: &model::Prompt, now: u64) -> id::EndpointId {
        let count = self.names.len();
        let at = match way {
            Way::RoundRobin => self.arrived as usize % count,
            Way::LeastConnections => {
                let least = self.reports.iter().min().copied().unwrap_or(0);
                let same = |at: &usize| self.reports[*at] == least;
                let best: Vec<_> = (0..count).filter(same).collect();
                best[self.noise.random_range(0..best.len())]
            }
            Way::Perfect => {
                let first = |at: &usize| {
                    self.endpoints[&self.names[*at]].clone().begin(prompt, now as f64).first
                };
                (0..count).min_by(|a, b| first(a).total_cmp(&first(b))).unwrap_or(0)
            }
            Way::Random | Way::Ours => self.noise.random_range(0..count),
        };
        self.names[at].clone()
    }

    fn end(&mut self, name: &id::EndpointId, admission: Option<&admit::Admission>, now: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.end();
        }
        if let Some(admission) = admission {
            self.owner.finish(admission, limiter::Outcome::Good, time::Tick(now));
        }
    }

    fn report(&mut self, now: u64) {
        self.agenda.plan(now + REPORT_MS, Event::Report);
        let held = self.names.iter().map(|name| self.endpoints[name].held()).collect();
        self.agenda.plan(now + REPORT_LAG_MS, Event::Deliver(held));
    }
}
