//! Cost of the cascade at its quality target, compared with the optimal chains for known
//! probabilities, while probabilities shift, ratings get lost and the rating service is down.

use std::collections::BTreeMap;

use ibishill_config::declared;
use ibishill_core::{cost, id, time};
use ibishill_decide::cascade::{self, evidence};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::{Bound, Figure, Report, Series};

const QUALITY_TARGET: f64 = 0.9;
const WINDOW_MILLIS: u64 = 60_000;
const WINDOW_REQUESTS: u64 = 2_000;
const PHASE_WINDOWS: u64 = 12;
/// Windows at the start of each phase that count neither towards price nor towards quality.
const LEARNING_WINDOWS: u64 = 3;
/// Factor on the probability of a good answer after an earlier version failed.
const ESCALATED_FACTOR: f64 = 0.95;
const RATING_MILLIS: u64 = 150;
const CLASSES: usize = 3;
/// Name, price in millionths, declared quality and run time in milliseconds.
const VERSIONS: [(&str, u64, f64, u64); 3] = [
    ("assistant@small", 100, 0.8, 500),
    ("assistant@medium", 400, 0.9, 900),
    ("assistant@large", 2_000, 0.95, 1_800),
];

/// True probabilities of a good answer, by class and then by version.
type Probabilities = [[f64; 3]; CLASSES];
const INITIAL: Probabilities = [[0.94, 0.96, 0.97], [0.75, 0.9, 0.96], [0.3, 0.7, 0.95]];
const SHIFTED: Probabilities = [[0.7, 0.95, 0.97], [0.85, 0.93, 0.96], [0.1, 0.4, 0.95]];

struct Phase {
    probabilities: Probabilities,
    /// Share of ratings that get lost.
    rating_loss: f64,
}

const PHASES: [Phase; 4] = [
    Phase { probabilities: INITIAL, rating_loss: 0.0 },
    Phase { probabilities: SHIFTED, rating_loss: 0.0 },
    Phase { probabilities: SHIFTED, rating_loss: 0.2 },
    Phase { probabilities: SHIFTED, rating_loss: 1.0 },
];

#[derive(Default, Clone)]
struct Totals {
    price: f64,
    millis: f64,
    requests: f64,
    // Price and share of good answers of each window.
    windows: Vec<(f64, f64)>,
    below_target: f64,
}

#[derive(Clone, Copy)]
enum Strategy {
    Router(declared::Policy),
    Optimum,
    Fixed(&'static [usize]),
    Threshold,
}

struct Simulation {
    rng: ChaCha8Rng,
    names: Vec<id::VersionRef>,
    candidates: Vec<cascade::Candidate>,
    workspace: id::WorkspaceId,
    estimates: evidence::Estimates,
    // Ratings not yet delivered, by delivery time and sequence number.
    pending: BTreeMap<(u64, u64), (evidence::Key, bool)>,
    sequence: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let names: Vec<id::VersionRef> =
            VERSIONS.iter().map(|v| v.0.parse().expect("a valid name")).collect();
        let candidates = VERSIONS
            .iter()
            .zip(&names)
            .map(|(row, name)| cascade::Candidate {
                version: name.clone(),
                price: cost::Micros(row.1),
                quality: row.2,
            })
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            names,
            candidates,
            workspace: "field-reports".parse().expect("a valid name"),
            estimates: evidence::Estimates::default(),
            pending: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn choose(
        &mut self,
        strategy: Strategy,
        class: usize,
        phase: &Phase,
        now: time::Tick,
    ) -> Vec<usize> {
        match strategy {
            Strategy::Fixed(chain) => chain.to_vec(),
            // Starts with the cheap version if its declared quality reaches 0.5, for every class.
            Strategy::Threshold if VERSIONS[0].2 >= 0.5 => vec![0, 2],
            Strategy::Threshold => vec![2],
            Strategy::Optimum => optimum(&phase.probabilities[class], phase.rating_loss),
            Strategy::Router(policy) => self.choose_cascade(policy, class, now),
        }
    }

    fn choose_cascade(
        &mut self,
        policy: declared::Policy,
        class: usize,
        now: time::Tick,
    ) -> Vec<usize> {
        let input = cascade::Request {
            workspace: &self.workspace,
            class: cascade::Class(class as u8),
            candidates: &self.candidates,
            target: QUALITY_TARGET,
            buffered: true,
            remaining: time::Millis::from_secs(20),
            draw: self.rng.random(),
        };
        let tuning = cascade::Tuning::of(policy);
        let chain =
            cascade::choose(&self.estimates, tuning, &input, now).expect("there are versions");
        let index = |name| self.names.iter().position(|candidate| candidate == name);
        chain.versions.iter().filter_map(index).collect()
    }

    // Runs one request and returns its price, its duration in milliseconds and whether the answer
    // is good.
    fn request(&mut self, strategy: Strategy, phase: &Phase, now: time::Tick) -> (f64, f64, bool) {
        let class = self.rng.random_range(0..CLASSES);
        let chain = self.choose(strategy, class, phase, now);
        let (mut price, mut millis) = (0.0, 0.0);
        for (step, &pick) in chain.iter().enumerate() {
            let factor = if step > 0 { ESCALATED_FACTOR } else { 1.0 };
            let good = self.rng.random_bool(phase.probabilities[class][pick] * factor);
            price += VERSIONS[pick].1 as f64;
            millis += VERSIONS[pick].3 as f64;
            self.estimates.record_run(&self.names[pick], time::Millis(VERSIONS[pick].3));
            let rated = !self.rng.random_bool(phase.rating_loss);
            let last = step + 1 == chain.len();
            millis += if last { 0.0 } else { RATING_MILLIS as f64 };
            self.record_evidence(class, pick, step > 0, rated.then_some(good), now);
            if last || good || !rated {
                if rated {
                    self.estimates.record_delivery(&self.workspace, good, now);
                }
                return (price, millis, good);
            }
        }
        unreachable!("a chain has at least one version")
    }

    fn record_evidence(
        &mut self,
        class: usize,
        pick: usize,
        escalated: bool,
        good: Option<bool>,
        now: time::Tick,
    ) {
        self.estimates.record_query(good.map(|_| time::Millis(RATING_MILLIS)));
        let Some(good) = good else { return };
        let key = evidence::Key {
            workspace: self.workspace.clone(),
            class: cascade::Class(class as u8),
            version: self.names[pick].clone(),
            escalated,
        };
        self.sequence += 1;
        let delay = self.rng.random_range(0..2_000);
        self.pending.insert((now.0 + delay, self.sequence), (key, good));
    }

    fn deliver_ratings(&mut self, now: time::Tick) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > now.0 {
                return;
            }
            let (key, good) = entry.remove();
            self.estimates.record_rating(key, good, now);
        }
    }
}

// Returns the cheapest chain that meets the quality target for known probabilities, or the
// costliest version alone if none does.
fn optimum(probabilities: &[f64; 3], rating_loss: f64) -> Vec<usize> {
    let mut best = (f64::INFINITY, vec![2]);
    for mask in 1_usize..8 {
        let chain: Vec<usize> = (0..3).filter(|bit| mask & (1 << bit) != 0).collect();
        let (mut reach, mut price, mut quality) = (1.0, 0.0, 0.0);
        for (step, &pick) in chain.iter().enumerate() {
            let good = probabilities[pick] * if step > 0 { ESCALATED_FACTOR } else { 1.0 };
            let last = step + 1 == chain.len();
            price += reach * VERSIONS[pick].1 as f64;
            quality += reach * good;
            reach *= if last { 0.0 } else { (1.0 - good) * (1.0 - rating_loss) };
        }
        if quality >= QUALITY_TARGET && price < best.0 {
            best = (price, chain);
        }
    }
    best.1
}

fn simulate(seed: u64, strategy: Strategy) -> Totals {
    let mut simulation = Simulation::new(seed);
    let mut totals = Totals::default();
    for window in 0..PHASE_WINDOWS * PHASES.len() as u64 {
        let phase = &PHASES[(window / PHASE_WINDOWS) as usize];
        let (mut price, mut good) = (0.0, 0.0);
        for request in 0..WINDOW_REQUESTS {
            let offset = request * WINDOW_MILLIS / WINDOW_REQUESTS;
            let now = time::Tick(window * WINDOW_MILLIS + offset);
            simulation.deliver_ratings(now);
            let (paid, millis, accepted) = simulation.request(strategy, phase, now);
            price += paid;
            good += f64::from(u8::from(accepted));
            totals.millis += millis;
            totals.requests += 1.0;
        }
        let share = good / WINDOW_REQUESTS as f64;
        totals.windows.push((price, share));
        if window % PHASE_WINDOWS >= LEARNING_WINDOWS {
            totals.price += price;
            totals.below_target += f64::from(u8::from(share < QUALITY_TARGET));
        }
    }
    totals
}

/// Runs each strategy on the same phases and reports its cost and quality.
pub fn run(seed: u64) -> Report {
    let router = simulate(seed, Strategy::Router(declared::Policy::Cost));
    let latency = simulate(seed, Strategy::Router(declared::Policy::Latency));
    let best = simulate(seed, Strategy::Optimum);
    let others = [
        ("always cheap", simulate(seed, Strategy::Fixed(&[0]))),
        ("always costly", simulate(seed, Strategy::Fixed(&[2]))),
        ("fixed threshold", simulate(seed, Strategy::Threshold)),
        ("always cascade", simulate(seed, Strategy::Fixed(&[0, 1, 2]))),
    ];
    let mut price =
        Figure::new("price against optimum, policy cost", "ratio", router.price / best.price)
            .bound(Bound::AtMost(1.10))
            .optimum(1.0)
            .baseline("policy latency", latency.price / best.price);
    let mut below =
        Figure::new("learned windows below the quality target", "windows", router.below_target)
            .bound(Bound::AtMost(0.0))
            .optimum(best.below_target)
            .baseline("policy latency", latency.below_target);
    for (name, totals) in &others {
        price = price.baseline(*name, totals.price / best.price);
        below = below.baseline(*name, totals.below_target);
    }
    let mut figures = vec![price, below];
    for (index, name) in ["steady", "shifted", "ratings lost", "service away"].iter().enumerate() {
        figures.push(phase_figure(name, index, &router, &best));
    }
    let mean = |totals: &Totals| totals.millis / totals.requests;
    figures.push(
        Figure::new("mean time of a request, policy latency", "ms", mean(&latency))
            .baseline("policy cost", mean(&router))
            .baseline("optimum of price", mean(&best)),
    );
    let series = [("policy cost", &router), ("policy latency", &latency), ("optimum", &best)]
        .iter()
        .map(|(name, totals)| series(name, totals))
        .collect();
    let axes = ("window".into(), "price of a window, millionths".into());
    Report { name: "cascade".into(), seed, figures, axes, series }
}

fn phase_figure(name: &str, index: usize, router: &Totals, best: &Totals) -> Figure {
    let first = index * PHASE_WINDOWS as usize + LEARNING_WINDOWS as usize;
    let last = (index + 1) * PHASE_WINDOWS as usize;
    let sum = |totals: &Totals| totals.windows[first..last].iter().map(|w| w.0).sum::<f64>();
    Figure::new(format!("price against optimum, {name}"), "ratio", sum(router) / sum(best))
}

fn series(name: &str, totals: &Totals) -> Series {
    let points = totals.windows.iter().enumerate().map(|(x, window)| (x as f64, window.0));
    Series { name: name.into(), points: points.collect() }
}
