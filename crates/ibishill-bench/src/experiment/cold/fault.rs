//! Injects the fault of a run and sends the reports of its endpoints.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use ibishill_decide::{admit, limiter};
use rand::RngExt;

use super::{
    DOWNTIME_MS, ENDPOINTS, Event, Fault, PAUSE_MS, PERIODS, REPORT_LAG_MS, REPORT_MS, Run,
    VIEW_LAG_MS,
};
use crate::model;

impl Run {
    // Ends the requests that were running on the restarted endpoints as disconnected.
    fn disconnect(
        &mut self,
        running: BTreeMap<u64, (usize, admit::Admission)>,
        restarted: &[id::EndpointId],
        now: u64,
    ) {
        let target = model::target();
        for (number, (index, admission)) in running {
            if !restarted.contains(&admission.endpoint) {
                self.running.insert(number, (index, admission));
                continue;
            }
            let dispatcher = &mut self.daemons[index].dispatcher;
            dispatcher.finish(&target, &admission, limiter::Outcome::Disconnected, time::Tick(now));
        }
    }

    pub(super) fn send_reports(&mut self, now: u64) {
        self.agenda.plan(now + REPORT_MS, Event::Report);
        for (name, endpoint) in &self.endpoints {
            if self.down_until.get(name).is_some_and(|&until| now < until) {
                continue;
            }
            let unannounced = self.fault == Fault::Unannounced;
            let report = limiter::Report {
                taken: time::Tick(now),
                running: endpoint.held(),
                cold: endpoint.is_cold() && !unannounced,
                start: Some(endpoint.start),
            };
            self.agenda.plan(now + REPORT_LAG_MS, Event::DeliverReport(name.clone(), report));
        }
    }

    pub(super) fn inject_fault(&mut self, now: u64) {
        let restart = self.fault != Fault::Unannounced;
        let running = std::mem::take(&mut self.running);
        let all = matches!(self.fault, Fault::OwnerChange | Fault::OwnerPaused);
        let cold = if all { ENDPOINTS } else { 1 };
        let mut restarted = Vec::new();
        for (name, endpoint) in self.endpoints.iter_mut().take(cold) {
            endpoint.turn_cold(restart);
            if restart {
                restarted.push(name.clone());
                self.down_until.insert(name.clone(), now + DOWNTIME_MS);
                self.detected_at.insert(name.clone(), now);
            }
        }
        self.disconnect(running, &restarted, now);
        match self.fault {
            Fault::Restart | Fault::Unannounced => {}
            Fault::OwnerChange => {
                let lag = self.rng.random_range(0..VIEW_LAG_MS);
                self.agenda.plan(now + DOWNTIME_MS, Event::UpdateView(1));
                self.agenda.plan(now + DOWNTIME_MS + lag, Event::UpdateView(0));
            }
            Fault::OwnerPaused => {
                self.daemons[0].paused = true;
                self.daemons[0].lease_end = now + PERIODS.lease.0;
                self.agenda.plan(now + PERIODS.lease.0, Event::UpdateView(1));
                self.agenda.plan(now + PAUSE_MS, Event::Resume);
            }
        }
    }
}
