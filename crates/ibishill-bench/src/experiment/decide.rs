//! Time of one decision: planning at the entry daemon and admission at the owner.

use std::time::Instant;

use ibishill_config::{change, declared, in_force, yaml};
use ibishill_core::{id, outcome, time, view};
use ibishill_decide::{admit, limiter, plan};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, report};

const VERSIONS: usize = 15;
const ENDPOINTS: usize = 400;
const DAEMONS: usize = 76;
const REPEATS: usize = 21;
const DECISIONS: u64 = 200;

/// Time budget of one request: 3.1% of a core per daemon, at 14,000 requests a second on
/// 910 daemons.
const BUDGET_NS: f64 = 0.031 * 1e9 / (14_000.0 / 910.0);

struct Fixture {
    config: in_force::InForce,
    views: view::Views,
    location: plan::Location,
}

/// Times planning and admission and compares their sum with the time budget.
pub fn run(seed: u64) -> report::Report {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let zone = Fixture::new(DAEMONS);
    let single = Fixture::new(1);
    let planned = time_batches(|| plan_batch(&zone, &mut rng));
    let (mut shared, mut whole) = (zone.owner(), single.owner());
    let shared = time_batches(|| admit_batch(&zone, &mut shared));
    let whole = time_batches(|| admit_batch(&single, &mut whole));
    let mut figures = Vec::new();
    for (name, (median, low, high)) in [
        ("plan, 400 endpoints of 76 daemons", planned),
        ("admit, a 76th of 400 endpoints", shared),
        ("admit, owner of all 400 endpoints", whole),
    ] {
        let figure = report::Figure::new(name, "ns", median)
            .baseline("lowest repeat", low)
            .baseline("highest repeat", high);
        figures.push(figure);
    }
    let sum =
        report::Figure::new("plan and admit in a zone of 76 daemons", "ns", planned.0 + shared.0);
    figures.push(sum.bound(report::Bound::AtMost(BUDGET_NS)));
    report::Report { name: "decide".into(), seed, figures, ..report::Report::default() }
}

// Returns the median, lowest and highest time of one decision over all repeats.
fn time_batches<F>(mut batch: F) -> (f64, f64, f64)
where
    F: FnMut(),
{
    let mut times: Vec<_> = (0..REPEATS)
        .map(|_| {
            let began = Instant::now();
            batch();
            began.elapsed().as_nanos() as f64 / DECISIONS as f64
        })
        .collect();
    let median = model::percentile(&mut times, 0.5);
    (median, times[0], times[times.len() - 1])
}

impl Fixture {
    fn new(daemons: usize) -> Self {
        let mut text = String::from("zones: {z: {region: r}}\nversions:\n");
        for n in 0..VERSIONS {
            let line = "{prompt-price: 1, output-price: 1, quality: 0.9}";
            text += &format!("  m{n}@v1: {line}\n");
        }
        let models: Vec<_> = (0..VERSIONS).map(|n| format!("m{n}")).collect();
        text += &format!("workspaces:\n  w: {{keys: [], models: [{}]}}\n", models.join(", "));
        text += "endpoints:\n";
        for n in 0..ENDPOINTS {
            let (first, second) = (n % VERSIONS, (n + 1) % VERSIONS);
            text += &format!(
                "  e{n:03}: {{zone: z, address: '127.0.0.1:8000', \
                 versions: [m{first}@v1, m{second}@v1], slots: 64, cold-slots: 64}}\n"
            );
        }
        let declared: declared::Declared =
            yaml::read("zone", &text).expect("the zone's declarations are valid");
        let config = in_force::InForce { version: change::ConfigVersion(1), declared };
        let vms: Vec<_> = (0..daemons).map(|n| format!("vm-{n}")).collect();
        let vms: Vec<_> = vms.iter().map(String::as_str).collect();
        let mut views = view::Views::default();
        views.zones.insert(model::name("z"), model::view(1, &vms));
        Self { config, views, location: model::place("vm-0") }
    }

    fn facts(&self, now: u64) -> admit::Facts<'_> {
        admit::Facts {
            config: &self.config,
            view: &self.views.zones[&self.location.zone],
            location: &self.location,
            lease: admit::Lease { until: time::Tick(u64::MAX) },
            now: time::Tick(now),
        }
    }

    // Returns an owner that has completed its takeover.
    fn owner(&self) -> admit::Owner {
        let periods = admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) };
        let mut owner = admit::Owner::new(periods);
        owner.refresh(&self.facts(0));
        owner
    }
}

fn version(n: u64) -> id::VersionRef {
    model::name(&format!("m{}@v1", n % VERSIONS as u64))
}

fn plan_batch(fixture: &Fixture, rng: &mut ChaCha8Rng) {
    let base: u64 = rng.random();
    for n in 0..DECISIONS {
        let request = plan::Request {
            request: model::name(&format!("req-{base}-{n}")),
            workspace: model::name("w"),
            selector: plan::Selector::Version(version(n)),
            session: None,
            pinned: None,
        };
        let planned = plan::plan(&fixture.config, &fixture.views, &fixture.location, &request);
        std::hint::black_box(planned.is_ok());
    }
}

fn admit_batch(fixture: &Fixture, owner: &mut admit::Owner) {
    let prompt = model::Prompt { tokens: 500, output: 50, prefix: 1 };
    for n in 0..DECISIONS {
        let facts = fixture.facts(1_000 + n);
        let mut job = model::job(n, "w", &prompt, u64::MAX);
        job.target = id::Target::Version(version(n));
        let result: Result<_, outcome::Refusal> = owner.admit(&facts, &job);
        // A daemon of a large zone may own no endpoint of the target.
        let Ok(admission) = result else { continue };
        owner.record_first_token(&admission, time::Tick(1_001 + n));
        owner.finish(&admission, limiter::Outcome::Good, time::Tick(1_002 + n));
    }
}
