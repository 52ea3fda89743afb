//! What one relay believes, changed by rows, peers and answers.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ibishill_adapter::row;
use ibishill_core::{event, fleet, id, route, time};
use ibishill_decide::{balance, canary, escalation, peers, retry, wait_queue};
use ibishill_state::replica;

/// Time after the store's return for which endpoints that lapsed meanwhile are kept: those
/// that live register again within about two seconds.
const LAPSE_GRACE: time::Millis = time::Millis(2_300);

/// Outage of the store from which on endpoints that live may have lapsed: they write every
/// heartbeat, about a second apart, and lapse after three that are missed.
const OUTAGE_MIN: time::Millis = time::Millis(2_000);

/// Tables that every relay keeps a replica of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Table {
    /// Configuration and operators' orders.
    Orders,
    /// Endpoints.
    Endpoints,
}

impl Table {
    /// Both.
    pub(crate) const ALL: [Self; 2] = [Self::Orders, Self::Endpoints];

    /// The table's name in the store.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Orders => row::ORDERS,
            Self::Endpoints => row::ENDPOINTS,
        }
    }
}

/// A replica of a table, and when somebody last confirmed it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Replica {
    pub(crate) table: replica::Table,
    confirmed: Option<time::Tick>,
}

/// What one relay believes.
pub(crate) struct State {
    pub(crate) settings: fleet::Settings,
    pub(crate) catalog: Option<Rc<route::Catalog>>,
    pub(crate) balancer: balance::Balancer,
    /// Sessions that ran lately.
    pub(crate) recent_sessions: canary::RecentSessions,
    pub(crate) canaries: BTreeMap<id::ServiceId, canary::Canary>,
    pub(crate) peers: peers::Peers,
    pub(crate) wait_queue: wait_queue::Queue,
    pub(crate) allowances: BTreeMap<id::ServiceId, retry::Allowance>,
    pub(crate) pressures: BTreeMap<id::ServiceId, escalation::Pressure>,
    /// Requests under way by workspace.
    pub(crate) in_flight: BTreeMap<Option<id::WorkspaceId>, u32>,
    pub(crate) is_stopping: bool,
    /// Connections of callers.
    pub(crate) connections: u32,
    /// Rounds in a row in which no peer has answered.
    pub(crate) silent_rounds: u32,
    /// Whether the store's last answer is missing.
    is_store_down: bool,
    /// Calls of the store, of any table, that have failed in a row.
    pub(crate) store_failures: u32,
    /// When a call of the store last failed here.
    store_failed: Option<time::Tick>,
    /// Until when a removed endpoint may only have lapsed with the store.
    lapse_until: time::Tick,
    /// Until when beliefs count as too old after a suspension.
    pub(crate) stale_until: time::Tick,
    replicas: BTreeMap<Table, Replica>,
    lapsed: BTreeMap<id::EndpointId, time::Tick>,
}

impl State {
    pub(crate) fn new(settings: fleet::Settings, own: peers::Member) -> Self {
        Self {
            catalog: None,
            balancer: balance::Balancer::new(settings.zone.clone()),
            recent_sessions: canary::RecentSessions::default(),
            canaries: BTreeMap::new(),
            peers: peers::Peers::new(own),
            wait_queue: wait_queue::Queue::default(),
            allowances: BTreeMap::new(),
            pressures: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            is_stopping: false,
            connections: 0,
            silent_rounds: 0,
            is_store_down: false,
            store_failures: 0,
            store_failed: None,
            lapse_until: time::Tick(0),
            stale_until: time::Tick(0),
            replicas: Table::ALL.into_iter().map(|table| (table, Replica::default())).collect(),
            lapsed: BTreeMap::new(),
            settings,
        }
    }

    /// The replica of a table.
    pub(crate) fn replica(&self, table: Table) -> &Replica {
        &self.replicas[&table]
    }

    /// Whether requests can be served.
    pub(crate) fn is_loaded(&self) -> bool {
        self.catalog.is_some() && self.replica(Table::Endpoints).table.is_loaded()
    }

    /// Age of what is known of a table: how long ago the store confirmed it to anybody.
    pub(crate) fn table_age(&self, table: Table, now: time::Tick) -> Option<time::Millis> {
        self.replica(table).confirmed.map(|at| now.since(at))
    }

    /// Versions of the tables with the ages of their confirmation, for peers.
    pub(crate) fn table_versions(&self, now: time::Tick) -> Vec<(u64, Option<u64>)> {
        let versions = |table: &Table| {
            let age = self.table_age(*table, now).map(|age| age.0);
            (self.replica(*table).table.version(), age)
        };
        Table::ALL.iter().map(versions).collect()
    }

    /// Takes over a peer's confirmations of tables that are the same here.
    pub(crate) fn record_confirmations(
        &mut self,
        versions: &[(u64, Option<u64>)],
        now: time::Tick,
    ) {
        for (table, (version, age)) in Table::ALL.into_iter().zip(versions) {
            let is_same = self.replica(table).table.version() == *version;
            if let Some(age) = age.filter(|_| is_same) {
                self.confirm(table, time::Tick(now.0.saturating_sub(age)));
            }
        }
    }

    /// Notes that a table was confirmed as of `at`.
    pub(crate) fn confirm(&mut self, table: Table, at: time::Tick) {
        self.record_outage(table, at);
        let replica = self.replicas.entry(table).or_default();
        replica.confirmed = replica.confirmed.max(Some(at));
    }

    /// Notes that the store failed; returns whether that is news.
    pub(crate) fn record_store_failure(&mut self, now: time::Tick) -> bool {
        self.store_failed = Some(now);
        self.store_failures += 1;
        !std::mem::replace(&mut self.is_store_down, true)
    }

    /// Notes that the store has answered; returns whether it had failed before.
    pub(crate) fn record_store_success(&mut self) -> bool {
        self.store_failures = 0;
        std::mem::take(&mut self.is_store_down)
    }

    // Endpoints may have lapsed if nobody has heard of the store for long and it failed here
    // meanwhile: neither if it failed for this daemon only, while peers went on to confirm the
    // table, nor if just the daemons that read were cut off.
    fn record_outage(&mut self, table: Table, at: time::Tick) {
        let Some(last) = self.replica(table).confirmed else { return };
        let has_failed = self.store_failed.is_some_and(|failed| failed >= last);
        if table == Table::Endpoints && has_failed && at.since(last) >= OUTAGE_MIN {
            self.lapse_until = self.lapse_until.max(at + LAPSE_GRACE);
        }
    }

    /// Takes in news of a table; returns whether anything has changed.
    pub(crate) fn merge(&mut self, table: Table, delta: replica::Delta, now: time::Tick) -> bool {
        self.record_outage(table, now);
        let replica = self.replicas.entry(table).or_default();
        let is_initial = replica.table.version() == 0;
        let changed = replica.table.merge(delta);
        for record in &changed {
            self.apply_record(table, record, is_initial, now);
        }
        !changed.is_empty()
    }

    fn apply_record(
        &mut self,
        table: Table,
        record: &fleet::Record,
        is_initial: bool,
        now: time::Tick,
    ) {
        let Some(value) = &record.value else {
            self.apply_removal(table, record, now);
            return;
        };
        match row::decode(table.name(), &record.key, value) {
            Ok(Some(found)) => self.apply_row(found, record.version, is_initial, now),
            Ok(None) => {}
            Err(error) => {
                event::emit_json(
                    event::Event::RowInvalid,
                    &[event::field("row", &record.key), event::field("error", &error)],
                );
                if table == Table::Endpoints {
                    self.apply_removal(table, record, now);
                }
            }
        }
    }

    fn apply_row(&mut self, found: fleet::Row, version: u64, is_initial: bool, now: time::Tick) {
        match found {
            fleet::Row::Catalog(catalog) => {
                if self.catalog.as_ref().is_some_and(|known| known.version >= catalog.version) {
                    return;
                }
                event::emit_json(
                    event::Event::CatalogInForce,
                    &[event::field("version", &catalog.version), event::field("row", &version)],
                );
                self.catalog = Some(Rc::new(*catalog));
            }
            fleet::Row::Rollout(order) => self.apply_rollout(order, now),
            fleet::Row::ZoneOut(zone) => {
                event::emit_json(
                    event::Event::ZoneChanged,
                    &[
                        event::field("zone", &zone),
                        event::field("is_out", &true),
                        event::field("row", &version),
                    ],
                );
                self.balancer.disable_zone(zone);
            }
            fleet::Row::Registration(mut entry) => {
                if is_initial {
                    // A first read tells an entry's age by nothing; its cold time may be over.
                    entry.cold_remaining = entry.cold_remaining.min(LAPSE_GRACE);
                }
                self.lapsed.remove(&entry.id);
                event::emit_json(
                    event::Event::EndpointKnown,
                    &[
                        event::field("endpoint", &entry.id),
                        event::field("service", &entry.service),
                        event::field("version", &entry.version),
                        event::field("zone", &entry.zone),
                        event::field("is_ready", &(entry.readiness == fleet::Readiness::Ready)),
                        event::field("cold", &entry.cold_remaining),
                        event::field("row", &version),
                    ],
                );
                self.balancer.register(entry, now);
            }
        }
    }

    fn apply_rollout(&mut self, order: fleet::Rollout, now: time::Tick) {
        let is_known = self.canaries.get(&order.service).is_some_and(|c| *c.order() == order);
        if is_known {
            return;
        }
        event::emit_json(
            event::Event::RolloutChanged,
            &[
                event::field("service", &order.service),
                event::field("to", &order.to),
                event::field("state", &"ordered"),
            ],
        );
        let bounds = &self.settings.bounds;
        let mut canary = canary::Canary::new(order.clone(), bounds, now);
        for session in self.recent_sessions.active(bounds.session_gap, now) {
            canary.pin(session);
        }
        self.canaries.insert(order.service, canary);
    }

    fn apply_removal(&mut self, table: Table, record: &fleet::Record, now: time::Tick) {
        match table {
            Table::Endpoints => {
                let Ok(id) = record.key.parse::<id::EndpointId>() else { return };
                let is_ready = self
                    .balancer
                    .entry(&id)
                    .is_some_and(|entry| entry.readiness == fleet::Readiness::Ready);
                if is_ready && self.lapse_until > now {
                    self.lapsed.insert(id, self.lapse_until);
                } else {
                    self.remove_endpoint(&id, "removed");
                }
            }
            Table::Orders => {
                if let Some(zone) = row::zone_of(&record.key) {
                    event::emit_json(
                        event::Event::ZoneChanged,
                        &[event::field("zone", &zone), event::field("is_out", &false)],
                    );
                    let duration = self.max_cold_start();
                    self.balancer.enable_zone(&zone, duration, now);
                }
            }
        }
    }

    fn max_cold_start(&self) -> time::Millis {
        let services = self.catalog.iter().flat_map(|catalog| catalog.services.values());
        services.map(|service| service.cold_start).max().unwrap_or_default()
    }

    fn remove_endpoint(&mut self, id: &id::EndpointId, why: &str) {
        event::emit_json(
            event::Event::EndpointGone,
            &[event::field("endpoint", id), event::field("why", &why)],
        );
        self.balancer.remove(id);
    }

    /// Forgets endpoints that lapsed with the store and have not come back.
    pub(crate) fn expire(&mut self, now: time::Tick) {
        let expired: BTreeSet<_> =
            self.lapsed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.lapsed.remove(&id);
            self.remove_endpoint(&id, "lapsed");
        }
        self.peers.expire(now);
        self.balancer.reports().expire(now);
    }

    /// The rule for cold endpoints of a service.
    pub(crate) fn slow_start(
        &self,
        service: &id::ServiceId,
        now: time::Tick,
    ) -> balance::SlowStart {
        let found = self.catalog.as_ref().and_then(|catalog| catalog.services.get(service));
        balance::SlowStart {
            duration: found.map_or(time::Millis(0), |service| service.cold_start),
            rate: found.map_or(0.0, |service| service.cold_rate),
            is_stale: self.stale_until > now,
        }
    }

    /// This daemon's place among those that share a cold endpoint.
    pub(crate) fn cold_rank(&self, endpoint: &id::EndpointId) -> usize {
        self.peers.known_rank(endpoint.as_str())
    }
}
