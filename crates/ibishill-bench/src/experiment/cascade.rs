//! Cost at the quality target of the cascade, against the best chains with known
//! probabilities, while probabilities shift, ratings get lost and the service is away.

use std::collections::BTreeMap;

use ibishill_config::declared;
use ibishill_core::{cost, id, time};
use ibishill_decide::cascade::{self, evidence};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::{Bound, Figure, Report, Series};

const TARGET: f64 = 0.9;
const WINDOW_MILLIS: u64 = 60_000;
const WINDOW_REQUESTS: u64 = 2_000;
const PHASE_WINDOWS: u64 = 12;
const LEARN_WINDOWS: u64 = 3;
const AFTER_FACTOR: f64 = 0.95;
const RATING_MILLIS: u64 = 150;
const CLASSES: usize = 3;
const VERSIONS: [(&str, u64, f64, u64); 3] = [
    ("assistant@small", 100, 0.8, 500),
    ("assistant@medium", 400, 0.9, 900),
    ("assistant@large", 2_000, 0.95, 1_800),
];

// True probabilities by class, then by version; the second set comes with the shift.
type Truth = [[f64; 3]; CLASSES];
const BEFORE: Truth = [[0.94, 0.96, 0.97], [0.75, 0.9, 0.96], [0.3, 0.7, 0.95]];
const SHIFTED: Truth = [[0.7, 0.95, 0.97], [0.85, 0.93, 0.96], [0.1, 0.4, 0.95]];

struct Phase {
    truth: Truth,
    lost: f64,
}

const PHASES: [Phase; 4] = [
    Phase { truth: BEFORE, lost: 0.0 },
    Phase { truth: SHIFTED, lost: 0.0 },
    Phase { truth: SHIFTED, lost: 0.2 },
    Phase { truth: SHIFTED, lost: 1.0 },
];

#[derive(Default, Clone)]
struct Tally {
    price: f64,
    millis: f64,
    requests: f64,
    // Price and accepted share of each window.
    windows: Vec<(f64, f64)>,
    below: f64,
}

#[derive(Clone, Copy)]
enum Way {
    Ours(declared::Policy),
    Optimum,
    Fixed(&'static [usize]),
    Threshold,
}

struct World {
    rng: ChaCha8Rng,
    names: Vec<id::VersionRef>,
    candidates: Vec<cascade::Candidate>,
    workspace: id::WorkspaceId,
    known: evidence::Estimates,
    // Ratings that are still under way, by when they arrive.
    late: BTreeMap<(u64, u64), (evidence::Key, bool)>,
    serial: u64,
}

impl World {
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
            known: evidence::Estimates::default(),
            late: BTreeMap::new(),
            serial: 0,
        }
    }

    fn choose(&mut self, way: Way, class: usize, phase: &Phase, now: time::Tick) -> Vec<usize> {
        match way {
            Way::Fixed(picks) => picks.to_vec(),
            // Cheap first where its declared quality reaches the threshold, whatever the class.
            Way::Threshold if VERSIONS[0].2 >= 0.5 => vec![0, 2],
            Way::Threshold => vec![2],
            Way::Optimum => optimum(&phase.truth[class], phase.lost),
            Way::Ours(policy) => self.ours(policy, class, now),
        }
    }

    fn ours(&mut self, policy: declared::Policy, class: usize, now: time::Tick) -> Vec<usize> {
        let input = cascade::Request {
            workspace: &self.workspace,
            class: cascade::Class(class as u8),
            candidates: &self.candidates,
            target: TARGET,
            buffered: true,
            remaining: time::Millis::from_secs(20),
            draw: self.rng.random(),
        };
        let tuning = cascade::Tuning::of(policy);
        let chain = cascade::choose(&self.known, tuning, &input, now).expect("there are versions");
        let index = |name| self.names.iter().position(|known| known == name);
        chain.versions.iter().filter_map(index).collect()
    }

    // Runs one request; returns price, duration and whether the answer is good.
    fn request(&mut self, way: Way, phase: &Phase, now: time::Tick) -> (f64, f64, bool) {
        let class = self.rng.random_range(0..CLASSES);
        let picks = self.choose(way, class, phase, now);
        let (mut price, mut millis) = (0.0, 0.0);
        for (step, &pick) in picks.iter().enumerate() {
            let factor = if step > 0 { AFTER_FACTOR } else { 1.0 };
            let good = self.rng.random_bool(phase.truth[class][pick] * factor);
            price += VERSIONS[pick].1 as f64;
            millis += VERSIONS[pick].3 as f64;
            self.known.record_run(&self.names[pick], time::Millis(VERSIONS[pick].3));
            let told = !self.rng.random_bool(phase.lost);
            let last = step + 1 == picks.len();
            millis += if last { 0.0 } else { RATING_MILLIS as f64 };
            self.learn(class, pick, step > 0, told.then_some(good), now);
            if last || good || !told {
                if told {
                    self.known.record_delivery(&self.workspace, good, now);
                }
                return (price, millis, good);
            }
        }
        unreachable!("a chain has at least one version")
    }

    fn learn(
        &mut self,
        class: usize,
        pick: usize,
        escalated: bool,
        good: Option<bool>,
        now: time::Tick,
    ) {
        self.known.record_query(good.map(|_| time::Millis(RATING_MILLIS)));
        let Some(good) = good else { return };
        let cell = evidence::Key {
            workspace: self.workspace.clone(),
            class: cascade::Class(class as u8),
            version: self.names[pick].clone(),
            escalated,
        };
        self.serial += 1;
        let delay = self.rng.random_range(0..2_000);
        self.late.insert((now.0 + delay, self.serial), (cell, good));
    }

    fn arrive(&mut self, now: time::Tick) {
        while let Some(entry) = self.late.first_entry() {
            if entry.key().0 > now.0 {
                return;
            }
            let (cell, good) = entry.remove();
            self.known.record_rating(cell, good, now);
        }
    }
}

// The cheapest chain that meets the target when the probabilities are known.
fn optimum(truth: &[f64; 3], lost: f64) -> Vec<usize> {
    let mut best = (f64::INFINITY, vec![2]);
    for mask in 1_usize..8 {
        let picks: Vec<usize> = (0..3).filter(|bit| mask & (1 << bit) != 0).collect();
        let (mut reach, mut price, mut quality) = (1.0, 0.0, 0.0);
        for (step, &pick) in picks.iter().enumerate() {
            let good = truth[pick] * if step > 0 { AFTER_FACTOR } else { 1.0 };
            let last = step + 1 == picks.len();
            price += reach * VERSIONS[pick].1 as f64;
            quality += reach * good;
            reach *= if last { 0.0 } else { (1.0 - good) * (1.0 - lost) };
        }
        if quality >= TARGET && price < best.0 {
            best = (price, picks);
        }
    }
    best.1
}

fn play(seed: u64, way: Way) -> Tally {
    let mut world = World::new(seed);
    let mut tally = Tally::default();
    for window in 0..PHASE_WINDOWS * PHASES.len() as u64 {
        let phase = &PHASES[(window / PHASE_WINDOWS) as usize];
        let (mut price, mut good) = (0.0, 0.0);
        for request in 0..WINDOW_REQUESTS {
            let offset = request * WINDOW_MILLIS / WINDOW_REQUESTS;
            let now = time::Tick(window * WINDOW_MILLIS + offset);
            world.arrive(now);
            let (paid, millis, accepted) = world.request(way, phase, now);
            price += paid;
            good += f64::from(u8::from(accepted));
            tally.millis += millis;
            tally.requests += 1.0;
        }
        let share = good / WINDOW_REQUESTS as f64;
        tally.windows.push((price, share));
        if window % PHASE_WINDOWS >= LEARN_WINDOWS {
            tally.price += price;
            tally.below += f64::from(u8::from(share < TARGET));
        }
    }
    tally
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let ours = play(seed, Way::Ours(declared::Policy::Cost));
    let latency = play(seed, Way::Ours(declared::Policy::Latency));
    let best = play(seed, Way::Optimum);
    let others = [
        ("always cheap", play(seed, Way::Fixed(&[0]))),
        ("always costly", play(seed, Way::Fixed(&[2]))),
        ("fixed threshold", play(seed, Way::Threshold)),
        ("always cascade", play(seed, Way::Fixed(&[0, 1, 2]))),
    ];
    let mut price =
        Figure::new("price against optimum, policy cost", "ratio", ours.price / best.price)
            .bound(Bound::AtMost(1.10))
            .optimum(1.0)
            .baseline("policy latency", latency.price / best.price);
    let mut below = Figure::new("learned windows below the quality target", "windows", ours.below)
        .bound(Bound::AtMost(0.0))
        .optimum(best.below)
        .baseline("policy latency", latency.below);
    for (name, tally) in &others {
        price = price.baseline(*name, tally.price / best.price);
        below = below.baseline(*name, tally.below);
    }
    let mut figures = vec![price, below];
    for (index, name) in ["steady", "shifted", "ratings lost", "service away"].iter().enumerate() {
        figures.push(phase_figure(name, index, &ours, &best));
    }
    let mean = |tally: &Tally| tally.millis / tally.requests;
    figures.push(
        Figure::new("mean time of a request, policy latency", "ms", mean(&latency))
            .baseline("policy cost", mean(&ours))
            .baseline("optimum of price", mean(&best)),
    );
    let series = [("policy cost", &ours), ("policy latency", &latency), ("optimum", &best)]
        .iter()
        .map(|(name, tally)| series(name, tally))
        .collect();
    let axes = ("window".into(), "price of a window, millionths".into());
    Report { name: "cascade".into(), seed, figures, axes, series }
}

fn phase_figure(name: &str, index: usize, ours: &Tally, best: &Tally) -> Figure {
    let first = index * PHASE_WINDOWS as usize + LEARN_WINDOWS as usize;
    let last = (index + 1) * PHASE_WINDOWS as usize;
    let sum = |tally: &Tally| tally.windows[first..last].iter().map(|w| w.0).sum::<f64>();
    Figure::new(format!("price against optimum, {name}"), "ratio", sum(ours) / sum(best))
}

fn series(name: &str, tally: &Tally) -> Series {
    let points = tally.windows.iter().enumerate().map(|(x, window)| (x as f64, window.0));
    Series { name: name.into(), points: points.collect() }
}
