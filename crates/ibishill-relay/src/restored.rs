//! Rows of a store that was restored from an older copy. Such a copy may lack orders, and have others
//! that were replaced; operators and endpoints write theirs again. Until then a row that would undo
//! what is known does not count, and neither does a registration of an earlier start, which was written late.

use std::collections::BTreeMap;

use ibishill_adapter::row;
use ibishill_core::{fleet, id, time};
use ibishill_decide::{balance, canary};

use crate::state::Table;

/// Time after which the store's rows count as they are: live endpoints have written their heartbeats
/// again, and those of endpoints that have left are removed after three that were missed.
const HOLD: time::Millis = balance::doubt::EARLIER_HOLD;

/// Maximum number of endpoints that are remembered after they have left.
const GONE_MAX: usize = 1_024;

/// Rows that do not count yet.
#[derive(Debug, Default)]
pub(crate) struct Restored {
    // By table and key, until when.
    held: BTreeMap<(Table, String), time::Tick>,
    // Endpoints that have left, with their start times, and when.
    gone: BTreeMap<(id::EndpointId, Option<u64>), time::Tick>,
}

impl Restored {
    /// Whether a row of the first read after a restore does not count yet, since it would undo an
    /// order, or bring back an endpoint that is leaving or has left.
    pub(crate) fn defers(
        &self,
        table: Table,
        record: &fleet::RawRow,
        balancer: &balance::Balancer,
        canaries: &BTreeMap<id::ServiceId, canary::Canary>,
    ) -> bool {
        let Some(value) = &record.value else {
            return table == Table::Orders && row::zone_out(&record.key).is_some();
        };
        match row::decode(table.name(), &record.key, value) {
            Ok(Some(fleet::Row::Rollout(order))) => canaries.contains_key(&order.service),
            Ok(Some(fleet::Row::Registration(found))) => {
                let known = balancer.entry(&found.id);
                let known = known.filter(|known| known.started == found.started);
                let has_left = self.gone.contains_key(&(found.id.clone(), found.started));
                has_left || known.is_some_and(|known| known.readiness == fleet::Readiness::Draining)
            }
            _ => false,
        }
    }

    /// Keeps a row from counting for a while.
    pub(crate) fn hold(&mut self, table: Table, key: &str, now: time::Tick) {
        self.held.insert((table, key.to_owned()), now + HOLD);
    }

    /// The row was written again and counts.
    pub(crate) fn release(&mut self, table: Table, key: &str) {
        if !self.held.is_empty() {
            self.held.remove(&(table, key.to_owned()));
        }
    }

    /// Rows that count from now on.
    pub(crate) fn take_due(&mut self, now: time::Tick) -> Vec<(Table, String)> {
        let due: Vec<_> =
            self.held.iter().filter(|(_, at)| **at <= now).map(|(key, _)| key.clone()).collect();
        for key in &due {
            self.held.remove(key);
        }
        due
    }

    /// Remembers an endpoint that has left.
    pub(crate) fn record_gone(&mut self, registration: &fleet::Registration, now: time::Tick) {
        if self.gone.len() >= GONE_MAX {
            let first = self.gone.iter().min_by_key(|(_, at)| **at);
            if let Some(first) = first.map(|(endpoint, _)| endpoint.clone()) {
                self.gone.remove(&first);
            }
        }
        self.gone.insert((registration.id.clone(), registration.started), now);
    }

    /// Forgets that an endpoint has left, as it has registered again.
    pub(crate) fn record_back(&mut self, registration: &fleet::Registration) {
        self.gone.remove(&(registration.id.clone(), registration.started));
    }
}
