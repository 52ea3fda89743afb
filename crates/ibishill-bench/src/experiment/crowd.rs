//! What shares, promises, speeds and exposures cost each relay, and how wrong its estimates are, by size of the
//! deployment.
//!
//! All are at work at once: demand exceeds the slots, one of 24 workspaces sends ten times as much as each other one,
//! and engines of different speeds end for a cause that is in no prompt. All relays run the code of shares, promises
//! and exposures. The observed ones also choose by a balancer of all engines, and only they are measured; the others
//! try engines of their zone at random, as often, and know the speeds of these only.
//! Messages arrive at once, prompts are read at once, an engine that ends is replaced at once, a request that finds no
//! slot is refused, and its caller does not return.

mod play;
mod relay;
mod setup;

use std::collections::BTreeMap;

use crate::{model, report};
pub use play::play;
use relay::{KINDS, PARTS};

/// What a relay may send for control, in bytes a second.
pub const BYTES_MAX: f64 = 12_000.0;

/// Relays, engines and zones of the deployments, with 5.3 engines a relay.
pub const SIZES: [(usize, usize, usize); 4] =
    [(6, 32, 4), (75, 396, 6), (195, 1_032, 12), (910, 4_800, 12)];

/// Costs and errors of the observed relays.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Bytes per second of each relay, by kind.
    pub bytes: Vec<[f64; KINDS.len()]>,
    /// Mean and largest error of the workspaces' shares, in parts of all used slots; none if no workspace lacked slots.
    pub share: Option<(f64, f64)>,
    /// Mean error of the loads of engines in the own zone and elsewhere, in parts of their slots.
    pub load: (f64, f64),
    /// Share of the requests that are refused at relays that are not observed, and at those that are.
    pub refused: [f64; 2],
    /// Segments that a judgement blames, although none ends engines.
    pub blamed: usize,
}

impl Outcome {
    /// Bytes per second for shares, promises, speeds and exposures together, and for all messages, each of the relay
    /// that sends most.
    pub fn totals(&self) -> (f64, f64) {
        let most = |kinds: usize| {
            let sums = self.bytes.iter().map(|bytes| bytes[..kinds].iter().sum());
            sums.fold(0.0, f64::max)
        };
        (most(PARTS), most(KINDS.len()))
    }

    fn mean(&self, kind: usize) -> f64 {
        average(&self.bytes.iter().map(|bytes| bytes[kind]).collect::<Vec<_>>())
    }
}

/// Processor times at the observed relays by decision, in nanoseconds.
pub type Times = BTreeMap<&'static str, Vec<f64>>;

fn average(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    for size in SIZES {
        let (outcome, times) = play(size, seed);
        let figure = |name: &str, unit: &str, value: f64| {
            report::Figure::new(format!("{} relays: {name}", size.0), unit, value)
        };
        let (parts, all) = outcome.totals();
        let sent = |name: &str, value: f64, kinds: std::ops::Range<usize>| {
            let sent = figure(name, "bytes/s, most", value).bound(report::Bound::AtMost(BYTES_MAX));
            kinds.fold(sent, |sent, kind| sent.baseline(KINDS[kind], outcome.mean(kind)))
        };
        figures.push(sent("sent for shares, promises, speeds, exposures", parts, 0..PARTS));
        figures.push(sent("sent for all messages", all, PARTS..KINDS.len()));
        for (name, mut nanos) in times {
            let tail = model::percentile(&mut nanos, 0.99) / 1_000.0;
            figures.push(figure(name, "us", average(&nanos) / 1_000.0).baseline("p99", tail));
        }
        let percent = |name: &str, value: f64| figure(name, "%", value * 100.0);
        let share = outcome.share.map(|(mean, largest)| {
            percent("error of a workspace's share", mean).baseline("largest", largest * 100.0)
        });
        figures.extend(share);
        figures.push(percent("error of an engine's load in the own zone", outcome.load.0));
        figures.push(percent("error of an engine's load elsewhere", outcome.load.1));
        figures.push(
            percent("requests refused at observed relays", outcome.refused[1])
                .baseline("at others", outcome.refused[0] * 100.0),
        );
        figures.push(figure("harmless segments that are blamed", "", outcome.blamed as f64));
    }
    report::Report { name: "crowd".into(), seed, figures, ..report::Report::default() }
}
