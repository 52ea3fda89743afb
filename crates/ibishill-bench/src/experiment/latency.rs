//! Time to the first token and between tokens for each strategy of choosing an endpoint.

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
const WARM_UP_REQUESTS: u64 = 2_000;
const MEAN_TOKENS: f64 = 500.0;
const REPORT_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 500;
const SHARED_PREFIXES: u64 = 400;
const EVENT_LAG_MS: u64 = 300;
const EVENT_LOSS: f64 = 0.2;
/// Users' targets for the 95th percentile.
const FIRST_TOKEN_TARGET_MS: f64 = 470.0;
const TOKEN_GAP_TARGET_MS: f64 = 42.0;

const LOADS: &[f64] = &[0.5, 0.8, 0.95];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Router,
    RoundRobin,
    Random,
    LeastConnections,
    Perfect,
}

const BASELINES: &[(Strategy, &str)] = &[
    (Strategy::RoundRobin, "round robin"),
    (Strategy::Random, "random"),
    (Strategy::LeastConnections, "least connections on lagging reports"),
];

enum Event {
    Arrive,
    FirstToken(admit::Admission),
    End(id::EndpointId, Option<admit::Admission>),
    Report,
    DeliverReport(Vec<u32>),
    Cached(id::EndpointId, u64),
}

struct Run {
    strategy: Strategy,
    skewed: bool,
    load: f64,
    rng: ChaCha8Rng,
    // Separate from `rng`, so that all strategies see the same arrivals.
    strategy_rng: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    config: ibishill_config::in_force::InForce,
    owner: admit::Owner,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    names: Vec<id::EndpointId>,
    reported: Vec<u32>,
    queue: VecDeque<(u64, model::Prompt, u64)>,
    arrivals: u64,
    first_token: Vec<f64>,
    token_gap: Vec<f64>,
}

/// Runs every strategy on flat and skewed prefixes at each load.
pub fn run(seed: u64) -> report::Report {
    let mut report = report::Report {
        name: "latency".into(),
        seed,
        axes: ("share of capacity in percent".into(), "p95 to first token in ms".into()),
        ..report::Report::default()
    };
    for skewed in [false, true] {
        for &load in LOADS {
            add_figures(&mut report, skewed, load, seed);
        }
    }
    report
}

fn add_figures(report: &mut report::Report, skewed: bool, load: f64, seed: u64) {
    let measure = |strategy| Run::new(strategy, skewed, load, seed).run();
    let mut router = measure(Strategy::Router);
    let mut perfect = measure(Strategy::Perfect);
    let mut others: Vec<_> =
        BASELINES.iter().map(|&(strategy, name)| (name, measure(strategy))).collect();
    let kind = if skewed { "skewed" } else { "flat" };
    let percent = load * 100.0;
    for share in [0.5, 0.95, 0.99] {
        let at = share * 100.0;
        let name = format!("{kind} at {percent}%: p{at} to first token");
        let value = model::percentile(&mut router.0, share);
        let optimum = model::percentile(&mut perfect.0, share);
        let mut figure = report::Figure::new(name, "ms", value)
            .baseline("greedy with perfect knowledge", optimum);
        let mut best = if share == 0.95 { FIRST_TOKEN_TARGET_MS } else { f64::INFINITY };
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
        let mut figure = report::Figure::new(name, "ms", model::percentile(&mut router.1, share));
        for (name, other) in &mut others {
            figure = figure.baseline(*name, model::percentile(&mut other.1, share));
        }
        if share == 0.95 {
            figure = figure.bound(report::Bound::AtMost(TOKEN_GAP_TARGET_MS));
        }
        report.figures.push(figure);
    }
    let p95 = report.figures[report.figures.len() - 5].clone();
    add_point(report, &format!("ours, {kind}"), percent, p95.ours);
    for other in &p95.baselines {
        add_point(report, &format!("{}, {kind}", other.name), percent, other.value);
    }
}

fn add_point(report: &mut report::Report, name: &str, x: f64, y: f64) {
    match report.series.iter_mut().find(|series| series.name == name) {
        Some(series) => series.points.push((x, y)),
        None => {
            report.series.push(report::Series { name: name.into(), points: vec![(x, y)] });
        }
    }
}

impl Run {
    fn new(strategy: Strategy, skewed: bool, load: f64, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(2_000, Event::Arrive);
        agenda.plan(0, Event::Report);
        let endpoints = model::endpoints(ENDPOINTS, SHAPE);
        let periods = admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) };
        Self {
            strategy,
            skewed,
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            strategy_rng: ChaCha8Rng::seed_from_u64(seed + 1),
            agenda,
            config: model::zone(ENDPOINTS, &SHAPE, &[("w", 1)]),
            owner: admit::Owner::new(periods),
            names: endpoints.keys().cloned().collect(),
            endpoints,
            reported: vec![0; ENDPOINTS],
            queue: VecDeque::new(),
            arrivals: 0,
            first_token: Vec::new(),
            token_gap: Vec::new(),
        }
    }

    fn run(mut self) -> (Vec<f64>, Vec<f64>) {
        while let Some((now, event)) = self.agenda.pop() {
            if self.arrivals >= REQUESTS {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::FirstToken(admission) => {
                    self.owner.record_first_token(&admission, time::Tick(now))
                }
                Event::End(name, admission) => self.end(&name, admission.as_ref(), now),
                Event::Report => self.send_report(now),
                Event::DeliverReport(held) => self.reported = held,
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
            while self.queue.front().is_some() && self.dispatch_next(now) {}
        }
        (self.first_token, self.token_gap)
    }

    fn arrive(&mut self, now: u64) {
        // The load is relative to the prefill capacity without any cache hit.
        let mean = MEAN_TOKENS * SHAPE.prefill_ms / ENDPOINTS as f64 / self.load;
        let gap = model::exponential(&mut self.rng, mean).round() as u64;
        self.agenda.plan(now + gap, Event::Arrive);
        self.arrivals += 1;
        let prompt = model::Prompt {
            tokens: self.rng.random_range(100..900),
            output: self.rng.random_range(20..100),
            prefix: self.prefix(),
        };
        self.queue.push_back((self.arrivals, prompt, now));
    }

    // Skewed: a few prefixes account for most requests. Flat: hardly any prefix repeats.
    fn prefix(&mut self) -> u64 {
        if !self.skewed {
            return self.rng.random();
        }
        let uniform: f64 = self.rng.random();
        (SHARED_PREFIXES as f64 * uniform.powi(3)) as u64
    }

    fn dispatch_next(&mut self, now: u64) -> bool {
        let Some(&(number, prompt, arrived)) = self.queue.front() else { return false };
        let (name, admission) = match self.strategy {
            Strategy::Router => {
                let Some(admission) = self.admit(number, &prompt, now) else { return false };
                (admission.endpoint.clone(), Some(admission))
            }
            strategy => (self.pick(strategy, &prompt, now), None),
        };
        self.queue.pop_front();
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return true };
        let times = endpoint.begin(&prompt, now as f64);
        if number > WARM_UP_REQUESTS {
            self.first_token.push(times.first - arrived as f64);
            self.token_gap.push(times.between);
        }
        let first = (times.first as u64).max(now + 1);
        if let Some(admission) = &admission {
            self.agenda.plan(first, Event::FirstToken(admission.clone()));
            if !self.strategy_rng.random_bool(EVENT_LOSS) {
                let event = Event::Cached(name.clone(), prompt.prefix);
                self.agenda.plan(first + EVENT_LAG_MS, event);
            }
        }
        self.agenda.plan((times.last as u64).max(first), Event::End(name, admission));
        true
    }

    fn admit(&mut self, number: u64, prompt: &model::Prompt, now: u64) -> Option<admit::Admission> {
        let job = model::job(number, "w", prompt, u64::MAX);
        let (view, location) = (model::view(1, &["vm-a"]), model::place("vm-a"));
        let facts = admit::Facts {
            config: &self.config,
            view: &view,
            location: &location,
            lease: admit::Lease { until: time::Tick(u64::MAX) },
            now: time::Tick(now),
        };
        self.owner.admit(&facts, &job).ok()
    }

    fn pick(&mut self, strategy: Strategy, prompt: &model::Prompt, now: u64) -> id::EndpointId {
        let count = self.names.len();
        let at = match strategy {
            Strategy::RoundRobin => self.arrivals as usize % count,
            Strategy::LeastConnections => {
                let least = self.reported.iter().min().copied().unwrap_or(0);
                let same = |at: &usize| self.reported[*at] == least;
                let best: Vec<_> = (0..count).filter(same).collect();
                best[self.strategy_rng.random_range(0..best.len())]
            }
            Strategy::Perfect => {
                let first = |at: &usize| {
                    self.endpoints[&self.names[*at]].clone().begin(prompt, now as f64).first
                };
                (0..count).min_by(|a, b| first(a).total_cmp(&first(b))).unwrap_or(0)
            }
            Strategy::Random | Strategy::Router => self.strategy_rng.random_range(0..count),
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

    fn send_report(&mut self, now: u64) {
        self.agenda.plan(now + REPORT_MS, Event::Report);
        let held = self.names.iter().map(|name| self.endpoints[name].held()).collect();
        self.agenda.plan(now + REPORT_LAG_MS, Event::DeliverReport(held));
    }
}
