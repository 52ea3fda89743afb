//! A surge of prompts on engines of speeds 0.7 to 1.7, which read them one after the other: what callers get with and
//! without the forecast.

use std::collections::VecDeque;

use ibishill_core::{fleet, id, time};
use ibishill_decide::{balance, forecast};

const SLOW_START: balance::SlowStart =
    balance::SlowStart { duration: time::Millis(3_000), rate: 10.0, is_stale: false };

const DAEMONS: usize = 5;
const ENGINES: usize = 20;

/// Time in which an engine of speed 1 reads 1,000 tokens, and of a step, in milliseconds.
const READ_MS: f64 = 47.0;
const STEP_MS: f64 = 60.0;

/// Prefill of a prompt, in thousands of tokens, and time for which its stream goes on, in milliseconds.
const PREFILL: f64 = 10.0;
const LASTS: u64 = 1_500;

/// Times that callers wait for the first event, in turn, in milliseconds.
const PATIENCE: [u64; 4] = [20_000, 3_000, 20_000, 6_000];

/// Length of the simulated time, in milliseconds.
const END: u64 = 40_000;

fn speed(engine: usize) -> f64 {
    0.7 + engine as f64 / (ENGINES - 1) as f64
}

// Prompts a second that the engines read together.
fn capacity() -> f64 {
    let rate = |engine| speed(engine) * 1_000.0 / (READ_MS * PREFILL);
    (0..ENGINES).map(rate).sum()
}

struct Sent {
    daemon: usize,
    made: Option<forecast::Made>,
    arrived: u64,
    until: u64,
    // Time until it is read, at speed 1.
    left: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    callers: u32,
    /// Began before their deadline, and within 4 s.
    begun: u32,
    soon: u32,
    /// Left without a first event.
    lost: u32,
    refused: u32,
    /// Refused, though they could have begun in time at an engine.
    wrong: u32,
}

struct Simulation {
    daemons: Vec<balance::Balancer>,
    queues: Vec<VecDeque<Sent>>,
    // Engine, daemon and end of a stream.
    streams: Vec<(usize, usize, u64)>,
    work: balance::Work,
    uses_forecast: bool,
    outcome: Outcome,
}

fn engine_id(engine: usize) -> id::EndpointId {
    format!("e{engine}").parse().unwrap()
}

impl Simulation {
    fn new(uses_forecast: bool) -> Self {
        let daemon = |number: usize| {
            let vm = format!("vm{number}").parse().unwrap();
            let mut balancer = balance::Balancer::new(vm, "a".parse().unwrap());
            for engine in 0..ENGINES {
                let entry = fleet::Registration {
                    id: engine_id(engine),
                    service: "pool".parse().unwrap(),
                    address: "127.0.0.1:80".parse().unwrap(),
                    zone: "a".parse().unwrap(),
                    version: "v1".parse().unwrap(),
                    slots: 64,
                    readiness: fleet::Readiness::Ready,
                    cold_remaining: time::Millis(0),
                    started: Some(1),
                };
                balancer.register(entry, time::Tick(0));
            }
            balancer
        };
        Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            queues: (0..ENGINES).map(|_| VecDeque::new()).collect(),
            streams: Vec::new(),
            work: balance::Work { tokens: 0, prefill: PREFILL, tier: balance::Tier::Any },
            uses_forecast,
            outcome: Outcome::default(),
        }
    }

    fn arrive(&mut self, number: u64, at: u64) {
        self.outcome.callers += 1;
        let daemon = (number % DAEMONS as u64) as usize;
        let patience = PATIENCE[(number / DAEMONS as u64) as usize % PATIENCE.len()];
        let (service, now) = ("pool".parse().unwrap(), time::Tick(at));
        let request = balance::Request {
            service: &service,
            versions: balance::Versions::Any,
            tried: &[],
            prefix: None,
            model: None,
            tokens: 0,
            capacity: 400_000,
            prefill: PREFILL,
            saved: 0.0,
            tier: balance::Tier::Any,
            uses_subset: false,
            seed: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let balancer = &mut self.daemons[daemon];
        let balance::Choice::Send(mut id) = balancer.pick(&request, SLOW_START, |_| 0, now) else {
            self.outcome.refused += 1;
            return;
        };
        let mut made = balancer.forecast(&id, &request, now);
        if let Some(chosen) = made.filter(|_| self.uses_forecast) {
            let rule = (SLOW_START, |_: &id::EndpointId| 0);
            match balancer.check_start(&chosen, &request, rule, time::Millis(patience), now) {
                balance::Start::Chosen | balance::Start::OutOfReach => {}
                balance::Start::Other(other) => {
                    made = balancer.forecast(&other, &request, now);
                    id = other;
                }
                balance::Start::TooLate(_) => {
                    self.outcome.refused += 1;
                    let can_begin =
                        (0..ENGINES).any(|engine| self.wait(engine, at) < patience as f64);
                    self.outcome.wrong += u32::from(can_begin);
                    return;
                }
            }
        }
        balancer.begin(&id, self.work, SLOW_START, 0, now);
        let engine: usize = id.as_str()[1..].parse().unwrap();
        let left = STEP_MS + READ_MS * PREFILL;
        let until = at + patience;
        self.queues[engine].push_back(Sent { daemon, made, arrived: at, until, left });
    }

    // Time after which a prompt that comes now would begin at an engine.
    fn wait(&self, engine: usize, at: u64) -> f64 {
        let read = (STEP_MS + READ_MS * PREFILL) / speed(engine);
        let before = self.queues[engine].iter().fold(0.0, |wait, sent| {
            let left = sent.until.saturating_sub(at) as f64 - wait;
            wait + (sent.left / speed(engine)).min(left.max(0.0))
        });
        before + read
    }

    // Engines read for a millisecond; callers whose time is up leave.
    fn advance(&mut self, at: u64) {
        let now = time::Tick(at);
        for engine in 0..ENGINES {
            let id = engine_id(engine);
            let queue = std::mem::take(&mut self.queues[engine]);
            let (gone, mut queue): (VecDeque<Sent>, VecDeque<Sent>) =
                queue.into_iter().partition(|sent| sent.until <= at);
            for sent in gone {
                let balancer = &mut self.daemons[sent.daemon];
                balancer.record_response_start(&id, self.work);
                balancer.end(&id, self.work, now);
                if let Some(made) = sent.made {
                    let waited = time::Millis(at - sent.arrived);
                    balancer.forecasts().record_unstarted(&made, waited, now);
                }
                self.outcome.lost += 1;
            }
            if let Some(first) = queue.front_mut() {
                first.left -= speed(engine);
            }
            let begun = queue.pop_front_if(|first| first.left <= 0.0);
            if let Some(sent) = begun {
                let took = at - sent.arrived;
                let balancer = &mut self.daemons[sent.daemon];
                balancer.record_response_start(&id, self.work);
                let load =
                    balance::Load { running: queue.len() as u32, waiting: queue.len() as u32 };
                let attempt = ibishill_decide::outlier::Attempt::Good;
                balancer.record_attempt(&id, attempt, Some(load), SLOW_START, (now, now));
                if let Some(made) = sent.made {
                    balancer.forecasts().record_start(&made, time::Millis(took), now);
                }
                self.outcome.begun += 1;
                self.outcome.soon += u32::from(took <= 4_000);
                self.streams.push((engine, sent.daemon, at + LASTS));
            }
            self.queues[engine] = queue;
        }
        let (ended, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.streams).into_iter().partition(|stream| stream.2 <= at);
        self.streams = rest;
        for (engine, daemon, _) in ended {
            self.daemons[daemon].end(&engine_id(engine), self.work, now);
        }
    }

    // Each daemon hears what the others have in flight.
    fn report(&mut self, at: u64) {
        for from in 0..DAEMONS {
            let (work, vm) = (self.daemons[from].in_flight(), format!("vm{from}").parse().unwrap());
            for to in (0..DAEMONS).filter(|to| *to != from) {
                let reports = self.daemons[to].reports();
                reports.record(&vm, work.clone(), time::Millis(4_000), time::Tick(at));
            }
        }
    }
}

// Plays callers who come at `demand(time)` times the capacity.
fn play(uses_forecast: bool, demand: fn(u64) -> f64) -> Outcome {
    let mut simulation = Simulation::new(uses_forecast);
    let (mut due, mut number) = (0.0, 0);
    for at in 1..END {
        due += demand(at) * capacity() / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            simulation.arrive(number, at);
            number += 1;
        }
        simulation.advance(at);
        if at % 500 == 0 {
            simulation.report(at);
        }
    }
    simulation.outcome
}

struct Case {
    name: &'static str,
    demand: fn(u64) -> f64,
    is_surge: bool,
}

// Guards against refusals where capacity suffices, and in a surge against callers that wait until their deadline for
// nothing, by which engines read prompts for nobody.
#[test]
fn callers_of_a_surge_begin_or_hear_at_once_that_they_cannot() {
    let cases = [
        Case { name: "half", demand: |_| 0.5, is_surge: false },
        Case { name: "nearly full", demand: |_| 0.85, is_surge: false },
        Case {
            name: "a burst of two seconds",
            demand: |at| if (10_000..12_000).contains(&at) { 2.0 } else { 0.5 },
            is_surge: false,
        },
        Case {
            name: "a surge of twenty seconds",
            demand: |at| if (10_000..30_000).contains(&at) { 2.0 } else { 0.5 },
            is_surge: true,
        },
        Case {
            name: "too few engines all the time",
            demand: |at| if at < 5_000 { 0.5 } else { 1.6 },
            is_surge: true,
        },
    ];
    for case in cases {
        let (without, with) = (play(false, case.demand), play(true, case.demand));
        let both = format!("{}: without {without:?}, with {with:?}", case.name);
        println!("{both}");
        assert_eq!(with.callers, without.callers, "{both}");
        assert!(with.wrong * 50 <= with.refused, "{both}");
        if case.is_surge {
            assert!(with.lost * 3 < without.lost * 2, "{both}");
            assert!(with.refused * 4 > without.lost, "{both}");
            assert!(with.begun * 100 >= without.begun * 98, "{both}");
            assert!(with.soon * 100 >= without.soon * 95, "{both}");
        } else {
            assert_eq!(with.refused, 0, "{both}");
            assert!(with.begun >= without.begun, "{both}");
        }
    }
}
