//! A deployment's daemons and endpoints as its examples declare them, run through a zone's
//! leave and return.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use ibishill_config::{change, declared, in_force, yaml};
use ibishill_core::{id, time, view};
use ibishill_decide::{admit, dispatch, limiter, plan, queue, spill, zone};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::setup::{Deployment, Fault, Result, Setup, Vm, Way, declarations, leaving, targets};
use crate::model;

/// When the zone leaves.
pub(super) const LEAVE_MS: u64 = 30_000;

/// When it is back.
pub(super) const RETURN_MS: u64 = 70_000;

const LENGTH_MS: u64 = 110_000;
const RESTART_MS: u64 = 50_000;
pub(super) const WARM_UP_MS: u64 = 20_000;
pub(super) const DEADLINE_MS: u64 = 6_000;
const TURN_MS: u64 = 50;
const REPORT_MS: u64 = 500;
const POLL: time::Millis = time::Millis(2_000);

/// Time of a read from the platform.
const READ_MS: u64 = 20;

/// Way to another daemon and back.
pub(super) const HOP_MS: u64 = 1;

/// Time until a connection to a daemon that can't be reached is given up.
const CONNECT_MS: u64 = 1_000;

pub(super) struct Daemon {
    pub(super) place: plan::Location,
    pub(super) dispatcher: dispatch::Dispatcher,
    pub(super) spill: spill::Spill,
    pub(super) config: Arc<in_force::InForce>,
}

#[derive(Debug, Clone)]
pub(super) struct Asked {
    pub(super) number: u64,
    pub(super) entry: usize,
    pub(super) target: id::Target,
    pub(super) prompt: model::Prompt,
    pub(super) at: u64,
    pub(super) tries: std::vec::IntoIter<spill::Attempt>,
}

impl Asked {
    fn request(&self) -> id::RequestId {
        model::name(&format!("req-{}", self.number))
    }
}

pub(super) enum Event {
    Arrive(usize),
    Offer(usize, bool, Box<Asked>),
    Refused(Box<Asked>),
    First(usize, admit::Admission),
    End(usize, Box<Asked>, admit::Admission),
    Planned(id::EndpointId, Box<Asked>),
    Poll(usize),
    Apply(usize, Arc<in_force::InForce>),
    Report,
    Restart,
    Turn,
}

/// One run in progress.
pub(super) struct World {
    pub(super) setup: Setup,
    pub(super) rng: ChaCha8Rng,
    pub(super) agenda: model::Agenda<Event>,
    pub(super) targets: Vec<(id::Target, f64)>,
    pub(super) configs: [Arc<in_force::InForce>; 3],
    pub(super) views: view::Views,
    pub(super) daemons: Vec<Daemon>,
    pub(super) endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    pub(super) waiting: BTreeMap<(usize, queue::Ticket), Asked>,
    pub(super) planned: VecDeque<Asked>,
    pub(super) gone: id::ZoneId,
    pub(super) result: Result,
}

/// Seconds of a run that are counted.
pub(super) fn counted_seconds() -> f64 {
    (LENGTH_MS - WARM_UP_MS) as f64 / 1_000.0
}

impl World {
    /// Makes the deployment, its endpoints warm and its owners' gates cold.
    pub(super) fn new(deployment: &Deployment, setup: Setup, seed: u64) -> Self {
        let mut base = declarations(deployment);
        base.policy = setup.policy;
        let gone = leaving(&base);
        let mut away = base.clone();
        if let Some(zone) = away.zones.get_mut(&gone)
            && setup.fault == Fault::TakenOut
        {
            zone.state = declared::AdminState::Out;
        }
        let config = |version, declared: &declared::Declared| {
            Arc::new(in_force::InForce {
                version: change::ConfigVersion(version),
                declared: declared.clone(),
            })
        };
        let configs = [config(1, &base), config(2, &away), config(3, &base)];
        let mut views = view::Views::default();
        let mut daemons = Vec::new();
        for text in deployment.vms {
            let vm: Vm = yaml::read("vm", text).expect("the settings are valid");
            let view = views.zones.entry(vm.zone.clone()).or_default();
            view.members.push(view::Member { vm: vm.vm.clone(), peers: vm.peers });
            let periods = admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) };
            let ramp = if setup.way == Way::NoRamp { time::Millis(0) } else { zone::RAMP };
            daemons.push(Daemon {
                place: plan::Location { vm: vm.vm, zone: vm.zone },
                dispatcher: dispatch::Dispatcher::new(admit::Owner::new(periods)),
                spill: spill::Spill::new(ramp),
                config: Arc::clone(&configs[0]),
            });
        }
        let mut agenda = model::Agenda::default();
        let found = targets(&base, None);
        let targets: Vec<_> = found
            .into_iter()
            .map(|(target, slots)| (target, 1_000.0 / (setup.rate * f64::from(slots))))
            .collect();
        (0..targets.len()).for_each(|at| agenda.plan(2_000, Event::Arrive(at)));
        (0..daemons.len()).for_each(|at| agenda.plan(0, Event::Poll(at)));
        agenda.plan(0, Event::Turn);
        agenda.plan(0, Event::Report);
        agenda.plan(RESTART_MS, Event::Restart);
        let endpoints = base
            .endpoints
            .iter()
            .map(|(name, endpoint)| (name.clone(), model::Endpoint::new(shape(endpoint), true)));
        let endpoints = endpoints.collect();
        Self {
            setup,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            targets,
            configs,
            views,
            daemons,
            endpoints,
            waiting: BTreeMap::new(),
            planned: VecDeque::new(),
            gone,
            result: Result::default(),
        }
    }

    /// Runs to the end.
    pub(super) fn run(mut self) -> Result {
        while let Some((now, event)) = self.agenda.pop() {
            if now >= LENGTH_MS {
                break;
            }
            self.step(event, now);
        }
        self.result
    }

    fn step(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive(at) => self.arrive(at, now),
            Event::Offer(owner, waits, asked) => self.offer(owner, waits, *asked, now),
            Event::Refused(asked) => self.next(*asked, now),
            Event::First(owner, admission) => {
                self.daemons[owner]
                    .dispatcher
                    .owner
                    .record_first_token(&admission, time::Tick(now));
            }
            Event::End(owner, asked, admission) => self.end(owner, &asked, &admission, now),
            Event::Planned(name, asked) => self.end_planned(&name, &asked, now),
            Event::Poll(at) => self.poll(at, now),
            Event::Apply(at, config) => {
                self.daemons[at].config = config;
                self.turn(at, now);
            }
            Event::Report => self.report(now),
            Event::Restart => self.restart(),
            Event::Turn => {
                self.agenda.plan(now + TURN_MS, Event::Turn);
                (0..self.daemons.len()).for_each(|at| self.turn(at, now));
            }
        }
    }

    fn is_cut(&self, a: usize, b: usize, now: u64) -> bool {
        let inside = |at: usize| self.daemons[at].place.zone == self.gone;
        self.setup.fault == Fault::CutOff
            && (LEAVE_MS..RETURN_MS).contains(&now)
            && inside(a) != inside(b)
    }

    fn poll(&mut self, at: usize, now: u64) {
        let wait = zone::poll_delay(POLL, self.rng.random());
        self.agenda.plan(now + wait.0 + READ_MS, Event::Poll(at));
        let accepted = usize::from(now >= LEAVE_MS) + usize::from(now >= RETURN_MS);
        let config = Arc::clone(&self.configs[accepted]);
        self.agenda.plan(now + READ_MS, Event::Apply(at, config));
    }

    fn report(&mut self, now: u64) {
        self.agenda.plan(now + REPORT_MS, Event::Report);
        for (name, endpoint) in &self.endpoints {
            let report = limiter::Report {
                taken: time::Tick(now),
                running: endpoint.held(),
                cold: endpoint.is_cold(),
                start: Some(endpoint.start),
            };
            for daemon in &mut self.daemons {
                daemon.dispatcher.owner.record_report(name, report);
            }
        }
    }

    fn restart(&mut self) {
        if self.setup.fault == Fault::CutOff {
            return;
        }
        let declared = &self.configs[0].declared;
        for (name, endpoint) in &mut self.endpoints {
            if declared.endpoints[name].zone == self.gone {
                endpoint.turn_cold(true);
            }
        }
    }

    fn arrive(&mut self, at: usize, now: u64) {
        let (target, gap) = self.targets[at].clone();
        let gap = model::exponential(&mut self.rng, gap).round() as u64;
        self.agenda.plan(now + gap, Event::Arrive(at));
        let entry = self.rng.random_range(0..self.daemons.len());
        let prompt = model::Prompt {
            tokens: self.rng.random_range(100..900),
            output: self.rng.random_range(20..100),
            prefix: self.rng.random(),
        };
        let number = self.rng.random();
        let tries = Vec::new().into_iter();
        let mut asked = Asked { number, entry, target, prompt, at: now, tries };
        self.parts(&asked, now, |part| part.asked += 1);
        if self.setup.way == Way::Planner {
            self.planned.push_back(asked);
            return self.plan_all(now);
        }
        asked.tries = self.tries(&asked, now).into_iter();
        self.next(asked, now);
    }

    fn tries(&mut self, asked: &Asked, now: u64) -> Vec<spill::Attempt> {
        let request = asked.request();
        let daemon = &mut self.daemons[asked.entry];
        let ask = plan::Request {
            request: request.clone(),
            workspace: space(&daemon.config.declared, &asked.target),
            selector: wanted(&asked.target),
            session: None,
            pinned: None,
        };
        let planned = plan::plan(&daemon.config, &self.views, &daemon.place, &ask);
        let Ok(mut plan) = planned else { return Vec::new() };
        match self.setup.way {
            Way::Ours | Way::NoRamp | Way::EntryCheck => {
                let facts = spill::Facts {
                    config: &daemon.config,
                    place: &daemon.place,
                    now: time::Tick(now),
                };
                daemon.spill.attempts(&facts, &plan, &request)
            }
            Way::Equal | Way::Planner => {
                plan.routes.shuffle(&mut self.rng);
                plan.routes.into_iter().map(|route| spill::Attempt { route, waits: true }).collect()
            }
            Way::Local => {
                let zone = daemon.place.zone.clone();
                let near = plan.routes.into_iter().filter(|route| route.zone == zone);
                near.map(|route| spill::Attempt { route, waits: true }).collect()
            }
        }
    }

    // A request without a further owner to ask is refused for good, and so never useful.
    fn next(&mut self, mut asked: Asked, now: u64) {
        let Some(next) = asked.tries.next() else { return };
        let same = |daemon: &Daemon| daemon.place.vm == next.route.owner.vm;
        let owner = self.daemons.iter().position(same).expect("the owner is a daemon");
        if self.is_cut(asked.entry, owner, now) {
            let vm = &next.route.owner.vm;
            let tick = time::Tick(now + CONNECT_MS);
            self.daemons[asked.entry].spill.record(
                vm,
                &asked.target,
                spill::Feedback::Unreachable,
                tick,
            );
            self.agenda.plan(now + CONNECT_MS, Event::Refused(Box::new(asked)));
            return;
        }
        self.daemons[asked.entry].spill.sent(&next.route.owner.vm, &asked.target, time::Tick(now));
        let hop = if owner == asked.entry { 0 } else { HOP_MS };
        self.agenda.plan(now + hop, Event::Offer(owner, next.waits, Box::new(asked)));
    }
}

fn wanted(target: &id::Target) -> plan::Selector {
    match target {
        id::Target::Version(version) => plan::Selector::Version(version.clone()),
        id::Target::Service(service) => plan::Selector::Service(service.clone()),
    }
}

pub(super) fn space(declared: &declared::Declared, target: &id::Target) -> id::WorkspaceId {
    let allows = |space: &declared::Workspace| match target {
        id::Target::Version(version) => space.allows(version),
        id::Target::Service(service) => space.services.contains(service),
    };
    let found = declared.workspaces.iter().find(|(_, space)| allows(space));
    found.expect("a workspace may use the target").0.clone()
}

fn shape(endpoint: &declared::Endpoint) -> model::Shape {
    model::Shape {
        slots: endpoint.slots,
        cold: endpoint.cold_slots,
        prefill_ms: 0.1,
        token_ms: 10.0,
        batch_ms: 1.0,
        prefixes: 64,
        warming: (30, 100),
    }
}
