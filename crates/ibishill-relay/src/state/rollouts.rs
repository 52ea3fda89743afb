//! Orders of roll-outs and what the store says of their progress.

use ibishill_adapter::row;
use ibishill_core::{event, fleet, store_version, time};
use ibishill_decide::canary;

use super::{State, Table};
use crate::rollout_log;

impl State {
    /// Applies an order; `is_initial` if it is in the first rows that this process has of the table.
    pub(super) fn apply_rollout(
        &mut self,
        order: fleet::Rollout,
        version: store_version::StoreVersion,
        is_initial: bool,
        now: time::Tick,
    ) {
        if let Some(known) = self.canaries.get_mut(&order.service)
            && *known.order() == order
        {
            let named = known.version().unwrap_or(version);
            let is_new = named.era == version.era && named < version && known.is_over(now);
            if !is_new {
                known.set_version(named.max(version));
                return;
            }
        }
        let service = order.service.clone();
        let bounds = &self.settings.bounds;
        let mut canary = canary::Canary::new(order, bounds, now);
        canary.set_version(version);
        if let Some(last) = self.canaries.get(&service) {
            canary.succeed(last);
        }
        if is_initial {
            canary.require_news();
        }
        for session in self.recent_sessions.active(bounds.session_gap, now) {
            canary.pin(session);
        }
        rollout_log::log(event::Event::RolloutChanged, &canary, "ordered", "store", now);
        self.canaries.insert(service.clone(), canary);
        self.expect_ends();
        let stored = self.replica(Table::Statuses).table.row(&row::status_key(&service)).cloned();
        if let Some(stored) = stored {
            self.apply_record(Table::Statuses, &stored, is_initial, now);
        }
        self.inform_canaries();
    }

    /// Applies what operators were told of the present roll-out of a service, or of one before it.
    pub(super) fn apply_status(
        &mut self,
        status: &fleet::Status,
        version: store_version::StoreVersion,
        now: time::Tick,
    ) {
        let Some(canary) = self.canaries.get_mut(&status.service) else { return };
        let is_about = canary.is_about(version, status.progress);
        let is_news = if status.to != canary.order().to {
            canary.record_earlier(status, version)
        } else {
            is_about && canary.merge_stored(status.progress)
        };
        if is_news {
            let state = format!("{} {:?}", status.to, status.progress);
            rollout_log::log(event::Event::RolloutHeard, canary, &state, "store", now);
            self.expect_ends();
        }
    }

    /// A roll-out whose status would be in the replica counts as known.
    pub(super) fn inform_canaries(&mut self) {
        let table = &self.replicas[&Table::Statuses].table;
        let (is_loaded, version) = (table.is_loaded(), table.version());
        let canaries = self.canaries.values_mut().filter(|canary| !canary.is_informed());
        for canary in canaries {
            if is_loaded && canary.version().is_none_or(|order| order <= version) {
                canary.inform();
            }
        }
    }
}
