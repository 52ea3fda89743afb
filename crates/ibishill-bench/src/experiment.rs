//! The list of experiments; each has a module of its own.

use crate::report;

pub mod cascade;
pub mod cold;
pub mod crowd;
pub mod decide;
pub mod knowledge;
pub mod latency;
pub mod overload;
pub mod place;
pub mod retry;
pub mod rollout;
pub mod session;
pub mod zone;

/// An experiment.
#[derive(Clone, Copy)]
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows, in one line.
    pub purpose: &'static str,
    /// Runs it with a seed.
    pub run: fn(u64) -> report::Report,
}

/// Every experiment, in order.
pub const ALL: &[Experiment] = &[
    Experiment {
        name: "cold",
        purpose: "cold starts: admissions over the limit, time to full service",
        run: cold::run,
    },
    Experiment {
        name: "latency",
        purpose: "time to the first token and between tokens by way of choosing",
        run: latency::run,
    },
    Experiment {
        name: "overload",
        purpose: "useful work, fair share and priority beyond capacity",
        run: overload::run,
    },
    Experiment {
        name: "cascade",
        purpose: "cost at the quality target of the choice between cheap and costly versions",
        run: cascade::run,
    },
    Experiment {
        name: "rollout",
        purpose: "requests exposed to a bad version before its roll-out halts",
        run: rollout::run,
    },
    Experiment {
        name: "session",
        purpose: "version changes of sessions over a roll-out, zone loss and VM replacement",
        run: session::run,
    },
    Experiment {
        name: "zone",
        purpose: "service while an availability zone leaves and returns",
        run: zone::run,
    },
    Experiment {
        name: "retry",
        purpose: "second attempts while endpoints fail, and what stays after",
        run: retry::run,
    },
    Experiment {
        name: "place",
        purpose: "orders to engines: time until a roll-out's demand is met, thrash, lost answers",
        run: place::run,
    },
    Experiment {
        name: "knowledge",
        purpose: "waits at engines by what relays know of each other, at four sizes",
        run: knowledge::run,
    },
    Experiment {
        name: "crowd",
        purpose: "bytes, processor time and errors of what relays tell each other, at four sizes",
        run: crowd::run,
    },
    Experiment { name: "decide", purpose: "processor time of one decision", run: decide::run },
];
