//! What goes wrong in a run, and what the endpoints tell of it.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use ibishill_decide::{admit, limiter};
use rand::RngExt;

use super::{
    DOWN_MS, ENDPOINTS, Event, Fault, PAUSE_MS, PERIODS, REPORT_LAG_MS, REPORT_MS, Run, VIEW_LAG_MS,
};
use crate::model;

impl Run {
    // A restart cuts the connections of all that ran there.
    fn cut(
        &mut self,
        running: BTreeMap<u64, (usize, admit::Admission)>,
        cut: &[id::EndpointId],
        now: u64,
    ) {
        let target = model::target();
        for (number, (index, admission)) in running {
            if !cut.contains(&admission.endpoint) {
                self.running.insert(number, (index, admission));
                continue;
            }
            let dispatcher = &mut self.daemons[index].dispatcher;
            dispatcher.finish(&target, &admission, limiter::Outcome::Disconnected, time::Tick(now));
        }
    }

    pub(super) fn report(&mut self, now: u64) {
        self.agenda.plan(now + REPORT_MS, Event::Report);
        for (name, endpoint) in &self.endpoints {
            if self.down.get(name).is_some_and(|&until| now < until) {
                continue;
            }
            let silent = self.fault == Fault::Unannounced;
            let report = limiter::Report {
                taken: time::Tick(now),
                running: endpoint.held(),
                cold: endpoint.is_cold() && !silent,
                start: Some(endpoint.start),
            };
            self.agenda.plan(now + REPORT_LAG_MS, Event::Deliver(name.clone(), report));
        }
    }

    pub(super) fn fault(&mut self, now: u64) {
        let restart = self.fault != Fault::Unannounced;
        let running = std::mem::take(&mut self.running);
        let all = matches!(self.fault, Fault::OwnerChange | Fault::OwnerPaused);
        let cold = if all { ENDPOINTS } else { 1 };
        let mut cut = Vec::new();
        for (name, endpoint) in self.endpoints.iter_mut().take(cold) {
            endpoint.turn_cold(restart);
            if restart {
                cut.push(name.clone());
                self.down.insert(name.clone(), now + DOWN_MS);
                self.signs.insert(name.clone(), now);
            }
        }
        self.cut(running, &cut, now);
        match self.fault {
            Fault::Restart | Fault::Unannounced => {}
            Fault::OwnerChange => {
                let lag = self.rng.random_range(0..VIEW_LAG_MS);
                self.agenda.plan(now + DOWN_MS, Event::See(1));
                self.agenda.plan(now + DOWN_MS + lag, Event::See(0));
            }
            Fault::OwnerPaused => {
                self.daemons[0].paused = true;
                self.daemons[0].until = now + PERIODS.lease.0;
                self.agenda.plan(now + PERIODS.lease.0, Event::See(1));
                self.agenda.plan(now + PAUSE_MS, Event::Wake);
            }
        }
    }
}
