//! Cold starts: admissions over the limit in each fault, and time to full service.

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
const ARRIVAL_MS: f64 = 30.0;
const DEADLINE_MS: u64 = 15_000;
const REPORT_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 400;
const DOWN_MS: u64 = 800;
const VIEW_LAG_MS: u64 = 2_000;
const PAUSE_MS: u64 = 16_000;
const PERIODS: admit::Periods =
    admit::Periods { lease: time::Millis(10_000), run_max: time::Millis(DEADLINE_MS) };

/// What happens to an endpoint or its owner.
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

/// What the owners leave out, to show that the count can rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    Takeover,
    Lease,
}

enum Event {
    Arrive,
    First(usize, admit::Admission),
    End(u64),
    Report,
    Deliver(id::EndpointId, limiter::Report),
    Fault,
    See(usize),
    Wake,
}

/// Admissions of one run that went over a limit.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    // Over the cold limit once the owner could have had a sign.
    over: u64,
    // Over the cold limit before any sign had left the endpoint.
    blind: u64,
    // Over what a warming endpoint bears.
    warming: u64,
    served: u64,
    // Milliseconds until admission, of all.
    waited: u64,
}

struct Daemon {
    place: plan::Location,
    view: view::View,
    dispatcher: dispatch::Dispatcher,
    until: u64,
    paused: bool,
}

struct Run {
    fault: Fault,
    without: Without,
    rng: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    config: ibishill_config::in_force::InForce,
    daemons: Vec<Daemon>,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    down: BTreeMap<id::EndpointId, u64>,
    // First sign of cold that reached an owner, by endpoint.
    signs: BTreeMap<id::EndpointId, u64>,
    running: BTreeMap<u64, (usize, admit::Admission)>,
    prompts: BTreeMap<(usize, queue::Ticket), (model::Prompt, u64)>,
    requests: u64,
    count: Count,
}

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    for &(fault, name) in FAULTS {
        let ours = total(fault, Without::Nothing, seed);
        let mut figure = report::Figure::new(
            format!("{name}: admissions over the limit"),
            "requests",
            (ours.over + ours.blind) as f64,
        )
        .bound(report::Bound::AtMost(0.0))
        .optimum(0.0);
        let broken = match fault {
            Fault::OwnerChange => Some((Without::Takeover, "without takeover wait")),
            Fault::OwnerPaused => Some((Without::Lease, "without lease check")),
            Fault::Restart | Fault::Unannounced => None,
        };
        if let Some((without, label)) = broken {
            figure = figure.baseline(label, total(fault, without, seed).over as f64);
        }
        figures.push(figure);
        let signed = format!("{name}: admissions over the limit after the first sign of cold");
        let signed = report::Figure::new(signed, "requests", ours.over as f64);
        figures.push(signed.bound(report::Bound::AtMost(0.0)));
        let warming = format!("{name}: admissions over what a warming endpoint bears");
        figures.push(report::Figure::new(warming, "requests a run", per_run(ours.warming)));
        figures.push(report::Figure::new(
            format!("{name}: requests admitted"),
            "requests a run",
            per_run(ours.served),
        ));
        let mean = ours.waited as f64 / ours.served.max(1) as f64;
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

fn total(fault: Fault, without: Without, seed: u64) -> Count {
    (0..RUNS).fold(Count::default(), |sum, run| {
        let count = Run::new(fault, without, seed * 1_000 + run).run();
        Count {
            over: sum.over + count.over,
            blind: sum.blind + count.blind,
            warming: sum.warming + count.warming,
            served: sum.served + count.served,
            waited: sum.waited + count.waited,
        }
    })
}

impl Run {
    fn new(fault: Fault, without: Without, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(1_500, Event::Arrive);
        agenda.plan(0, Event::Report);
        agenda.plan(FAULT_MS, Event::Fault);
        let daemon = |vm: &str| Daemon {
            place: model::place(vm),
            view: model::view(1, &["vm-a"]),
            dispatcher: dispatch::Dispatcher::new(admit::Owner::new(match without {
                Without::Takeover => {
                    admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) }
                }
                Without::Nothing | Without::Lease => PERIODS,
            })),
            until: u64::MAX,
            paused: false,
        };
        Self {
            fault,
            without,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            config: model::zone(ENDPOINTS, &SHAPE, &[("w", 1)]),
            daemons: vec![daemon("vm-a"), daemon("vm-b")],
            endpoints: model::endpoints(ENDPOINTS, SHAPE),
            down: BTreeMap::new(),
            signs: BTreeMap::new(),
            running: BTreeMap::new(),
            prompts: BTreeMap::new(),
            requests: 0,
            count: Count::default(),
        }
    }

    fn run(mut self) -> Count {
        while let Some((now, event)) = self.agenda.pop() {
            if now > LENGTH_MS {
                break;
            }
            self.step(event, now);
            for index in 0..self.daemons.len() {
                self.turn(index, now);
            }
        }
        self.count
    }

    fn step(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::First(index, admission) => {
                if !self.daemons[index].paused {
                    let owner = &mut self.daemons[index].dispatcher.owner;
                    owner.record_first_token(&admission, time::Tick(now));
                }
                self.sign(&admission, now);
            }
            Event::End(number) => self.end(number, now),
            Event::Report => self.report(now),
            Event::Deliver(endpoint, report) => {
                if report.cold {
                    self.signs.entry(endpoint.clone()).or_insert(now);
                }
                for daemon in self.daemons.iter_mut().filter(|daemon| !daemon.paused) {
                    daemon.dispatcher.owner.record_report(&endpoint, report);
                }
            }
            Event::Fault => self.fault(now),
            Event::See(index) => {
                self.daemons[index].view = self.next_view();
                if self.fault == Fault::OwnerChange {
                    self.daemons[index].until = u64::MAX;
                }
            }
            Event::Wake => self.daemons[0].paused = false,
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
        let gap = model::exponential(&mut self.rng, ARRIVAL_MS).max(1.0) as u64;
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
                self.decide(index, now, |dispatcher, facts| dispatcher.enqueue(facts, job));
            self.prompts.insert((index, ticket), (prompt, now));
        }
    }

    fn decide<R, F>(&mut self, index: usize, now: u64, decide: F) -> R
    where
        F: FnOnce(&mut dispatch::Dispatcher, &admit::Facts<'_>) -> R,
    {
        let daemon = &mut self.daemons[index];
        let lease = if self.without == Without::Lease { u64::MAX } else { daemon.until };
        let facts = admit::Facts {
            config: &self.config,
            view: &daemon.view,
            location: &daemon.place,
            lease: admit::Lease { until: time::Tick(lease) },
            now: time::Tick(now),
        };
        decide(&mut daemon.dispatcher, &facts)
    }

    fn turn(&mut self, index: usize, now: u64) {
        if self.daemons[index].paused {
            return;
        }
        for decision in self.decide(index, now, dispatch::Dispatcher::dispatch) {
            let prompt = self.prompts.remove(&(index, decision.ticket));
            if let (Ok(admission), Some((prompt, arrived))) = (decision.result, prompt) {
                self.count.waited += now - arrived;
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
        if self.down.get(&name).is_some_and(|&until| now < until) {
            self.signs.entry(name).or_insert(now);
            let dispatcher = &mut self.daemons[index].dispatcher;
            dispatcher.finish(&target, &admission, limiter::Outcome::Disconnected, time::Tick(now));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return };
        let times = endpoint.begin(prompt, now as f64);
        let over = endpoint.held() > endpoint.bears();
        let signed = self.signs.get(&name).is_some_and(|&at| at < now);
        match (over, endpoint.is_cold(), signed) {
            (false, _, _) => {}
            (true, true, true) => self.count.over += 1,
            // A new owner has to start cold without any sign.
            (true, true, false) if self.fault != Fault::Unannounced => self.count.over += 1,
            (true, true, false) => self.count.blind += 1,
            (true, false, _) => self.count.warming += 1,
        }
        self.count.served += 1;
        let first = (times.first as u64).max(now + 1);
        self.agenda.plan(first, Event::First(index, admission.clone()));
        self.agenda.plan((times.last as u64).max(first), Event::End(self.count.served));
        self.running.insert(self.count.served, (index, admission));
    }

    fn sign(&mut self, admission: &admit::Admission, now: u64) {
        let cold = self.endpoints[&admission.endpoint].is_cold();
        // The first token of a request that the cold endpoint has begun is a sign.
        if cold && admission.admitted.0 >= FAULT_MS {
            self.signs.entry(admission.endpoint.clone()).or_insert(now);
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
