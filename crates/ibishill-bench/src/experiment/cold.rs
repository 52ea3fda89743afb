//! Cold starts: admissions over the limit under each fault, and time to full service.

use std::collections::BTreeMap;

use ibishill_core::{id, time, view};
use ibishill_decide::{admit, dispatch, limiter, plan, queue};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, report};

mod fault;
mod ramp;

const SHAPE: model::Shape = model::Shape {
    slots: 32,
    cold: 2,
    prefill_ms: 0.2,
    token_ms: 10.0,
    batch_ms: 0.3,
    prefixes: 64,
    warming: (20, 200),
};
const ENDPOINTS: usize = 4;
const RUNS: u64 = 20;
const LENGTH_MS: u64 = 60_000;
const FAULT_MS: u64 = 20_000;
/// Mean gap between arrivals.
const ARRIVAL_GAP_MS: f64 = 30.0;
const DEADLINE_MS: u64 = 15_000;
const REPORT_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 400;
const DOWNTIME_MS: u64 = 800;
const VIEW_LAG_MS: u64 = 2_000;
const PAUSE_MS: u64 = 16_000;
const PERIODS: admit::Periods =
    admit::Periods { lease: time::Millis(10_000), run_max: time::Millis(DEADLINE_MS) };

/// Fault injected into a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Restart,
    Unannounced,
    OwnerChange,
    OwnerPaused,
}

const FAULTS: &[(Fault, &str)] = &[
    (Fault::Restart, "restart"),
    (Fault::Unannounced, "unannounced cold"),
    (Fault::OwnerChange, "owner change"),
    (Fault::OwnerPaused, "owner paused over its lease"),
];

/// Safeguard that the owners leave out, to show that the counts rise without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ablation {
    None,
    Takeover,
    Lease,
}

enum Event {
    Arrive,
    FirstToken(usize, admit::Admission),
    End(u64),
    Report,
    DeliverReport(id::EndpointId, limiter::Report),
    Fault,
    UpdateView(usize),
    Resume,
}

/// Admissions of one run, among them those over a limit.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    // Over the cold limit once the owner could detect the cold endpoint or had to assume one.
    over: u64,
    // Over the cold limit before the endpoint had shown any sign of being cold.
    undetected: u64,
    // Over the current capacity of a warming endpoint.
    warming: u64,
    admitted: u64,
    // Sum of the waits for admission.
    wait_ms: u64,
}

struct Daemon {
    location: plan::Location,
    view: view::View,
    dispatcher: dispatch::Dispatcher,
    lease_end: u64,
    paused: bool,
}

struct Run {
    fault: Fault,
    ablation: Ablation,
    rng: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    config: ibishill_config::in_force::InForce,
    daemons: Vec<Daemon>,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    down_until: BTreeMap<id::EndpointId, u64>,
    // When an owner could first detect that the endpoint is cold.
    detected_at: BTreeMap<id::EndpointId, u64>,
    running: BTreeMap<u64, (usize, admit::Admission)>,
    queued: BTreeMap<(usize, queue::Ticket), (model::Prompt, u64)>,
    requests: u64,
    counts: Counts,
}

/// Runs every fault, with an ablation where there is one, and reports the counts.
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    for &(fault, name) in FAULTS {
        let counts = total(fault, Ablation::None, seed);
        let mut figure = report::Figure::new(
            format!("{name}: admissions over the limit"),
            "requests",
            (counts.over + counts.undetected) as f64,
        )
        .bound(report::Bound::AtMost(0.0))
        .optimum(0.0);
        let ablated = match fault {
            Fault::OwnerChange => Some((Ablation::Takeover, "without takeover wait")),
            Fault::OwnerPaused => Some((Ablation::Lease, "without lease check")),
            Fault::Restart | Fault::Unannounced => None,
        };
        if let Some((ablation, label)) = ablated {
            figure = figure.baseline(label, total(fault, ablation, seed).over as f64);
        }
        figures.push(figure);
        let detected = format!("{name}: admissions over the limit after the first sign of cold");
        let detected = report::Figure::new(detected, "requests", counts.over as f64);
        figures.push(detected.bound(report::Bound::AtMost(0.0)));
        let warming = format!("{name}: admissions over what a warming endpoint bears");
        figures.push(report::Figure::new(warming, "requests a run", per_run(counts.warming)));
        figures.push(report::Figure::new(
            format!("{name}: requests admitted"),
            "requests a run",
            per_run(counts.admitted),
        ));
        let mean = counts.wait_ms as f64 / counts.admitted.max(1) as f64;
        let wait = format!("{name}: mean wait for admission");
        figures.push(report::Figure::new(wait, "ms", mean));
    }
    let (full, series) = ramp::figures();
    figures.extend(full);
    report::Report {
        name: "cold".into(),
        seed,
        figures,
        axes: ("seconds since restart".into(), "answers a second".into()),
        series,
    }
}

fn per_run(count: u64) -> f64 {
    count as f64 / RUNS as f64
}

fn total(fault: Fault, ablation: Ablation, seed: u64) -> Counts {
    (0..RUNS).fold(Counts::default(), |sum, run| {
        let count = Run::new(fault, ablation, seed * 1_000 + run).run();
        Counts {
            over: sum.over + count.over,
            undetected: sum.undetected + count.undetected,
            warming: sum.warming + count.warming,
            admitted: sum.admitted + count.admitted,
            wait_ms: sum.wait_ms + count.wait_ms,
        }
    })
}

impl Run {
    fn new(fault: Fault, ablation: Ablation, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(1_500, Event::Arrive);
        agenda.plan(0, Event::Report);
        agenda.plan(FAULT_MS, Event::Fault);
        let daemon = |vm: &str| Daemon {
            location: model::place(vm),
            view: model::view(1, &["vm-a"]),
            dispatcher: dispatch::Dispatcher::new(admit::Owner::new(match ablation {
                Ablation::Takeover => {
                    admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) }
                }
                Ablation::None | Ablation::Lease => PERIODS,
            })),
            lease_end: u64::MAX,
            paused: false,
        };
        Self {
            fault,
            ablation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            config: model::zone(ENDPOINTS, &SHAPE, &[("w", 1)]),
            daemons: vec![daemon("vm-a"), daemon("vm-b")],
            endpoints: model::endpoints(ENDPOINTS, SHAPE),
            down_until: BTreeMap::new(),
            detected_at: BTreeMap::new(),
            running: BTreeMap::new(),
            queued: BTreeMap::new(),
            requests: 0,
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> Counts {
        while let Some((now, event)) = self.agenda.pop() {
            if now > LENGTH_MS {
                break;
            }
            self.handle(event, now);
            for index in 0..self.daemons.len() {
                self.dispatch(index, now);
            }
        }
        self.counts
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::FirstToken(index, admission) => {
                if !self.daemons[index].paused {
                    let owner = &mut self.daemons[index].dispatcher.owner;
                    owner.record_first_token(&admission, time::Tick(now));
                }
                self.detect_from_token(&admission, now);
            }
            Event::End(number) => self.end(number, now),
            Event::Report => self.send_reports(now),
            Event::DeliverReport(endpoint, report) => {
                if report.cold {
                    self.detected_at.entry(endpoint.clone()).or_insert(now);
                }
                for daemon in self.daemons.iter_mut().filter(|daemon| !daemon.paused) {
                    daemon.dispatcher.owner.record_report(&endpoint, report);
                }
            }
            Event::Fault => self.inject_fault(now),
            Event::UpdateView(index) => {
                self.daemons[index].view = self.next_view();
                if self.fault == Fault::OwnerChange {
                    self.daemons[index].lease_end = u64::MAX;
                }
            }
            Event::Resume => self.daemons[0].paused = false,
        }
    }

    fn next_view(&self) -> view::View {
        match self.fault {
            Fault::OwnerPaused => model::view(2, &["vm-b"]),
            _ => model::view(2, &["vm-a", "vm-b"]),
        }
    }

    fn arrive(&mut self, now: u64) {
        self.requests += 1;
        let gap = model::exponential(&mut self.rng, ARRIVAL_GAP_MS).max(1.0) as u64;
        self.agenda.plan(now + gap, Event::Arrive);
        let changing = matches!(self.fault, Fault::OwnerChange | Fault::OwnerPaused);
        let index = usize::from(changing && now >= FAULT_MS && self.rng.random_bool(0.5));
        let prompt = model::Prompt {
            tokens: self.rng.random_range(200..800),
            output: self.rng.random_range(20..120),
            prefix: self.rng.random(),
        };
        let job = model::job(self.requests, "w", &prompt, now + DEADLINE_MS);
        if !self.daemons[index].paused {
            let (ticket, _) =
                self.with_facts(index, now, |dispatcher, facts| dispatcher.enqueue(facts, job));
            self.queued.insert((index, ticket), (prompt, now));
        }
    }

    fn with_facts<R, F>(&mut self, index: usize, now: u64, call: F) -> R
    where
        F: FnOnce(&mut dispatch::Dispatcher, &admit::Facts<'_>) -> R,
    {
        let daemon = &mut self.daemons[index];
        let lease = if self.ablation == Ablation::Lease { u64::MAX } else { daemon.lease_end };
        let facts = admit::Facts {
            config: &self.config,
            view: &daemon.view,
            location: &daemon.location,
            lease: admit::Lease { until: time::Tick(lease) },
            now: time::Tick(now),
        };
        call(&mut daemon.dispatcher, &facts)
    }

    fn dispatch(&mut self, index: usize, now: u64) {
        if self.daemons[index].paused {
            return;
        }
        for decision in self.with_facts(index, now, dispatch::Dispatcher::dispatch) {
            let prompt = self.queued.remove(&(index, decision.ticket));
            if let (Ok(admission), Some((prompt, arrived))) = (decision.result, prompt) {
                self.counts.wait_ms += now - arrived;
                self.begin(index, admission, &prompt, now);
            }
        }
    }

    fn begin(
        &mut self,
        index: usize,
        admission: admit::Admission,
        prompt: &model::Prompt,
        now: u64,
    ) {
        let name = admission.endpoint.clone();
        let target = model::target();
        if self.down_until.get(&name).is_some_and(|&until| now < until) {
            self.detected_at.entry(name).or_insert(now);
            let dispatcher = &mut self.daemons[index].dispatcher;
            dispatcher.finish(&target, &admission, limiter::Outcome::Disconnected, time::Tick(now));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return };
        let times = endpoint.begin(prompt, now as f64);
        let over = endpoint.held() > endpoint.bears();
        let detected = self.detected_at.get(&name).is_some_and(|&at| at < now);
        match (over, endpoint.is_cold(), detected) {
            (false, _, _) => {}
            (true, true, true) => self.counts.over += 1,
            // A new owner has to assume cold endpoints without any sign.
            (true, true, false) if self.fault != Fault::Unannounced => self.counts.over += 1,
            (true, true, false) => self.counts.undetected += 1,
            (true, false, _) => self.counts.warming += 1,
        }
        self.counts.admitted += 1;
        let first = (times.first as u64).max(now + 1);
        self.agenda.plan(first, Event::FirstToken(index, admission.clone()));
        self.agenda.plan((times.last as u64).max(first), Event::End(self.counts.admitted));
        self.running.insert(self.counts.admitted, (index, admission));
    }

    fn detect_from_token(&mut self, admission: &admit::Admission, now: u64) {
        let cold = self.endpoints[&admission.endpoint].is_cold();
        // The owner can tell a cold endpoint by the first token of a request admitted after the
        // fault.
        if cold && admission.admitted.0 >= FAULT_MS {
            self.detected_at.entry(admission.endpoint.clone()).or_insert(now);
        }
    }

    fn end(&mut self, number: u64, now: u64) {
        let Some((index, admission)) = self.running.remove(&number) else { return };
        if let Some(endpoint) = self.endpoints.get_mut(&admission.endpoint) {
            endpoint.end();
        }
        let target = model::target();
        let dispatcher = &mut self.daemons[index].dispatcher;
        dispatcher.finish(&target, &admission, limiter::Outcome::Good, time::Tick(now));
    }
}
