//! The owners' side of the run: admission, answers, and what entry daemons hear of room.

use std::collections::VecDeque;

use ibishill_config::declared;
use ibishill_core::{capacity, id, time, view};
use ibishill_decide::{admit, dispatch, limiter, spill};

use super::setup::{Part, Way};
use super::world::{
    Asked, DEADLINE_MS, Daemon, Event, LEAVE_MS, RETURN_MS, WARM_UP_MS, World, space,
};
use crate::model;

impl World {
    pub(super) fn offer(&mut self, owner: usize, waits: bool, asked: Asked, now: u64) {
        let declared = &self.daemons[owner].config.declared;
        let space = space(declared, &asked.target);
        let mut job = model::job(asked.number, "any", &asked.prompt, asked.at + DEADLINE_MS);
        job.waits = waits;
        job.workspace = space;
        job.target = asked.target.clone();
        let (ticket, decisions) =
            self.decide(owner, now, |dispatcher, facts| dispatcher.enqueue(facts, job));
        self.waiting.insert((owner, ticket), asked);
        decisions.into_iter().for_each(|decision| self.decided(owner, decision, now));
        self.turn(owner, now);
    }

    fn room(&mut self, owner: usize, asked: &Asked, now: u64) -> capacity::Capacity {
        self.decide(owner, now, |dispatcher, facts| {
            dispatcher.owner.refresh(facts);
            dispatcher.capacity(&asked.target, facts.now)
        })
    }

    fn hear(&mut self, owner: usize, asked: &Asked, now: u64) {
        let room = spill::Feedback::Capacity(self.room(owner, asked, now));
        let vm = self.daemons[owner].place.vm.clone();
        self.daemons[asked.entry].spill.record(&vm, &asked.target, room, time::Tick(now));
    }

    fn refuse(&mut self, owner: usize, asked: Asked, now: u64) {
        let hop = if owner == asked.entry { 0 } else { super::world::HOP_MS };
        self.agenda.plan(now + hop, Event::Refused(Box::new(asked)));
    }

    fn decide<R, F>(&mut self, owner: usize, now: u64, decide: F) -> R
    where
        F: FnOnce(&mut dispatch::Dispatcher, &admit::Facts<'_>) -> R,
    {
        let Daemon { place, dispatcher, config, .. } = &mut self.daemons[owner];
        let unchecked = self.setup.way == Way::EntryCheck;
        let empty = view::View::default();
        let facts = admit::Facts {
            config: if unchecked { &self.configs[0] } else { config },
            view: self.views.zones.get(&place.zone).unwrap_or(&empty),
            location: place,
            lease: admit::Lease { until: time::Tick(u64::MAX) },
            now: time::Tick(now),
        };
        decide(dispatcher, &facts)
    }

    pub(super) fn turn(&mut self, owner: usize, now: u64) {
        let decisions = self.decide(owner, now, dispatch::Dispatcher::dispatch);
        decisions.into_iter().for_each(|decision| self.decided(owner, decision, now));
    }

    fn decided(&mut self, owner: usize, decision: dispatch::Decision, now: u64) {
        let Some(asked) = self.waiting.remove(&(owner, decision.ticket)) else { return };
        match decision.result {
            Ok(admission) => self.begin(owner, asked, admission, now),
            Err(refusal) => {
                if let Some(after) = refusal.retry_after {
                    let vm = self.daemons[owner].place.vm.clone();
                    let news = spill::Feedback::Full(after);
                    let entry = &mut self.daemons[asked.entry];
                    entry.spill.record(&vm, &asked.target, news, time::Tick(now));
                }
                self.refuse(owner, asked, now);
            }
        }
    }

    fn begin(&mut self, owner: usize, asked: Asked, admission: admit::Admission, now: u64) {
        self.hear(owner, &asked, now);
        let zone = &self.daemons[owner].place.zone;
        let away = (LEAVE_MS..RETURN_MS).contains(&now);
        let is_out = self.configs[1].declared.zones[zone].state == declared::AdminState::Out;
        if away && is_out {
            self.result.latest = self.result.latest.max(now - LEAVE_MS);
        }
        let crossed = *zone != self.daemons[asked.entry].place.zone;
        let Some(endpoint) = self.endpoints.get_mut(&admission.endpoint) else { return };
        let times = endpoint.begin(&asked.prompt, now as f64);
        let first = (times.first as u64).max(now + 1);
        self.parts(&asked, asked.at, |part| {
            part.crossed += u64::from(crossed);
            part.first.push((first - asked.at) as f64);
        });
        // An answer that is late is cut off at its deadline.
        let last = (times.last as u64).max(first).min(asked.at + DEADLINE_MS + 1);
        if first <= last {
            self.agenda.plan(first, Event::First(owner, admission.clone()));
        }
        self.agenda.plan(last, Event::End(owner, Box::new(asked), admission));
    }

    pub(super) fn end(
        &mut self,
        owner: usize,
        asked: &Asked,
        admission: &admit::Admission,
        now: u64,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(&admission.endpoint) {
            endpoint.end();
        }
        let is_useful = now <= asked.at + DEADLINE_MS;
        let answer = if is_useful { limiter::Outcome::Good } else { limiter::Outcome::Failed };
        let dispatcher = &mut self.daemons[owner].dispatcher;
        dispatcher.finish(&asked.target, admission, answer, time::Tick(now));
        self.count(asked, now);
        self.turn(owner, now);
    }

    fn count(&mut self, asked: &Asked, now: u64) {
        if now <= asked.at + DEADLINE_MS {
            self.result.answered += u64::from(now >= WARM_UP_MS);
            self.parts(asked, asked.at, |part| part.useful += 1);
        }
    }

    /// Begins all that the endpoints bear, the earliest request first.
    pub(super) fn plan_all(&mut self, now: u64) {
        let mut later = VecDeque::new();
        while let Some(asked) = self.planned.pop_front() {
            if now > asked.at + DEADLINE_MS / 2 {
                continue;
            }
            match self.best(&asked.target, now) {
                Some(name) => self.begin_planned(name, asked, now),
                None => later.push_back(asked),
            }
        }
        self.planned = later;
    }

    fn best(&self, target: &id::Target, now: u64) -> Option<id::EndpointId> {
        let is_away = (LEAVE_MS..RETURN_MS).contains(&now);
        let config = &self.configs[usize::from(is_away)].declared;
        let usable = config.endpoints.iter().filter(|(_, endpoint)| {
            let zone = &config.zones[&endpoint.zone];
            zone.state == declared::AdminState::In && endpoint.serves(target)
        });
        let share = |name: &id::EndpointId| {
            let endpoint = &self.endpoints[name];
            f64::from(endpoint.held()) / f64::from(endpoint.bears())
        };
        let free = usable.map(|(name, _)| name).filter(|name| share(name) < 1.0);
        free.min_by(|a, b| share(a).total_cmp(&share(b))).cloned()
    }

    fn begin_planned(&mut self, name: id::EndpointId, asked: Asked, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return };
        let times = endpoint.begin(&asked.prompt, now as f64);
        let first = (times.first as u64).max(now + 1);
        self.parts(&asked, asked.at, |part| part.first.push((first - asked.at) as f64));
        let last = (times.last as u64).max(first).min(asked.at + DEADLINE_MS + 1);
        self.agenda.plan(last, Event::Planned(name, Box::new(asked)));
    }

    pub(super) fn end_planned(&mut self, name: &id::EndpointId, asked: &Asked, now: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.end();
        }
        self.count(asked, now);
        self.plan_all(now);
    }

    pub(super) fn parts<F>(&mut self, asked: &Asked, at: u64, mut change: F)
    where
        F: FnMut(&mut Part),
    {
        let inside = self.daemons[asked.entry].place.zone == self.gone;
        let result = &mut self.result;
        match at {
            ..WARM_UP_MS => {}
            WARM_UP_MS..LEAVE_MS => change(&mut result.before),
            LEAVE_MS..RETURN_MS => {
                change(&mut result.away);
                if inside {
                    change(&mut result.inside);
                }
            }
            RETURN_MS.. => change(&mut result.back),
        }
    }
}
