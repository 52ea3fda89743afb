//! What one relay believes, changed by rows, peers and answers.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ibishill_adapter::row;
use ibishill_core::{event, fleet, id, route, time};
use ibishill_decide::{balance, canary, escalation, peers, retry, wait_queue};
use ibishill_state::replica;

/// Time after the store's return for which endpoints that lapsed meanwhile are kept: those
/// that live register again within about two seconds.
const LAPSE: time::Millis = time::Millis(2_300);

/// Outage of the store from which on endpoints that live may have lapsed: they write every
/// heartbeat, about a second apart, and lapse after three that are missed.
const OUTAGE_MIN: time::Millis = time::Millis(2_000);

/// Tables that every relay keeps a replica of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// Configuration and operators' orders.
    Orders,
    /// Endpoints.
    Endpoints,
}

impl Kind {
    /// Both.
    pub(crate) const ALL: [Self; 2] = [Self::Orders, Self::Endpoints];

    /// The table's name in the store.
    pub(crate) const fn table(self) -> &'static str {
        match self {
            Self::Orders => row::ORDERS,
            Self::Endpoints => row::ENDPOINTS,
        }
    }
}

/// A replica of a table, and when somebody last confirmed it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Copy {
    pub(crate) table: replica::Table,
    confirmed: Option<time::Tick>,
}

/// What one relay believes.
pub(crate) struct State {
    pub(crate) place: fleet::Settings,
    pub(crate) catalog: Option<Rc<route::Catalog>>,
    pub(crate) balance: balance::Balancer,
    /// Sessions that ran lately.
    pub(crate) recent: canary::RecentSessions,
    pub(crate) canaries: BTreeMap<id::ServiceId, canary::Canary>,
    pub(crate) peers: peers::Peers,
    pub(crate) line: wait_queue::Queue,
    pub(crate) allowances: BTreeMap<id::ServiceId, retry::Allowance>,
    pub(crate) strains: BTreeMap<id::ServiceId, escalation::Pressure>,
    /// Requests under way by workspace.
    pub(crate) running: BTreeMap<Option<id::WorkspaceId>, u32>,
    pub(crate) is_stopping: bool,
    /// Connections of callers.
    pub(crate) open: u32,
    /// Rounds in a row in which no peer has answered.
    pub(crate) alone: u32,
    /// Whether the store's last answer is missing.
    is_lost: bool,
    /// Calls of the store, of any table, that have failed in a row.
    pub(crate) failures: u32,
    /// When a call of the store last failed here.
    failed: Option<time::Tick>,
    /// Until when a removed endpoint may only have lapsed with the store.
    lapse_until: time::Tick,
    /// Until when beliefs count as too old after a suspension.
    pub(crate) stale_until: time::Tick,
    copies: BTreeMap<Kind, Copy>,
    lapsed: BTreeMap<id::EndpointId, time::Tick>,
}

impl State {
    pub(crate) fn new(place: fleet::Settings, own: peers::Member) -> Self {
        Self {
            catalog: None,
            balance: balance::Balancer::new(place.zone.clone()),
            recent: canary::RecentSessions::default(),
            canaries: BTreeMap::new(),
            peers: peers::Peers::new(own),
            line: wait_queue::Queue::default(),
            allowances: BTreeMap::new(),
            strains: BTreeMap::new(),
            running: BTreeMap::new(),
            is_stopping: false,
            open: 0,
            alone: 0,
            is_lost: false,
            failures: 0,
            failed: None,
            lapse_until: time::Tick(0),
            stale_until: time::Tick(0),
            copies: Kind::ALL.into_iter().map(|kind| (kind, Copy::default())).collect(),
            lapsed: BTreeMap::new(),
            place,
        }
    }

    /// The replica of a table.
    pub(crate) fn copy(&self, kind: Kind) -> &Copy {
        &self.copies[&kind]
    }

    /// Whether requests can be served.
    pub(crate) fn is_informed(&self) -> bool {
        self.catalog.is_some() && self.copy(Kind::Endpoints).table.is_loaded()
    }

    /// Age of what is known of a table: how long ago the store confirmed it to anybody.
    pub(crate) fn age(&self, kind: Kind, now: time::Tick) -> Option<time::Millis> {
        self.copy(kind).confirmed.map(|at| now.since(at))
    }

    /// Versions of the tables with the ages of their confirmation, for peers.
    pub(crate) fn have(&self, now: time::Tick) -> Vec<(u64, Option<u64>)> {
        let have = |kind: &Kind| {
            let age = self.age(*kind, now).map(|age| age.0);
            (self.copy(*kind).table.version(), age)
        };
        Kind::ALL.iter().map(have).collect()
    }

    /// Takes over a peer's confirmations of tables that are the same here.
    pub(crate) fn hear_ages(&mut self, have: &[(u64, Option<u64>)], now: time::Tick) {
        for (kind, (version, age)) in Kind::ALL.into_iter().zip(have) {
            let is_same = self.copy(kind).table.version() == *version;
            if let Some(age) = age.filter(|_| is_same) {
                self.confirm(kind, time::Tick(now.0.saturating_sub(age)));
            }
        }
    }

    /// Notes that a table was confirmed as of `at`.
    pub(crate) fn confirm(&mut self, kind: Kind, at: time::Tick) {
        self.note_outage(kind, at);
        let copy = self.copies.entry(kind).or_default();
        copy.confirmed = copy.confirmed.max(Some(at));
    }

    /// Notes that the store failed; returns whether that is news.
    pub(crate) fn lose_store(&mut self, now: time::Tick) -> bool {
        self.failed = Some(now);
        self.failures += 1;
        !std::mem::replace(&mut self.is_lost, true)
    }

    /// Notes that the store has answered; returns whether it had failed before.
    pub(crate) fn regain_store(&mut self) -> bool {
        self.failures = 0;
        std::mem::take(&mut self.is_lost)
    }

    // Endpoints may have lapsed if nobody has heard of the store for long and it failed here
    // meanwhile: neither if it failed for this daemon only, while peers went on to confirm the
    // table, nor if just the daemons that read were cut off.
    fn note_outage(&mut self, kind: Kind, at: time::Tick) {
        let Some(last) = self.copy(kind).confirmed else { return };
        let has_failed = self.failed.is_some_and(|failed| failed >= last);
        if kind == Kind::Endpoints && has_failed && at.since(last) >= OUTAGE_MIN {
            self.lapse_until = self.lapse_until.max(at + LAPSE);
        }
    }

    /// Takes in news of a table; returns whether anything has changed.
    pub(crate) fn merge(&mut self, kind: Kind, delta: replica::Delta, now: time::Tick) -> bool {
        self.note_outage(kind, now);
        let copy = self.copies.entry(kind).or_default();
        let is_first = copy.table.version() == 0;
        let changed = copy.table.merge(delta);
        for record in &changed {
            self.apply(kind, record, is_first, now);
        }
        !changed.is_empty()
    }

    fn apply(&mut self, kind: Kind, record: &fleet::Record, is_first: bool, now: time::Tick) {
        let table = kind.table();
        let Some(value) = &record.value else {
            self.removed(kind, record, now);
            return;
        };
        match row::decode(table, &record.key, value) {
            Ok(Some(found)) => self.found(found, record.version, is_first, now),
            Ok(None) => {}
            Err(error) => {
                event::emit_json(
                    event::Event::RowInvalid,
                    &[event::field("row", &record.key), event::field("error", &error)],
                );
                if kind == Kind::Endpoints {
                    self.removed(kind, record, now);
                }
            }
        }
    }

    fn found(&mut self, found: fleet::Row, version: u64, is_first: bool, now: time::Tick) {
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
            fleet::Row::Rollout(order) => self.ordered(order, now),
            fleet::Row::ZoneOut(zone) => {
                event::emit_json(
                    event::Event::ZoneChanged,
                    &[
                        event::field("zone", &zone),
                        event::field("is_out", &true),
                        event::field("row", &version),
                    ],
                );
                self.balance.disable_zone(zone);
            }
            fleet::Row::Registration(mut entry) => {
                if is_first {
                    // A first read tells an entry's age by nothing; its cold time may be over.
                    entry.cold_remaining = entry.cold_remaining.min(LAPSE);
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
                self.balance.register(entry, now);
            }
        }
    }

    fn ordered(&mut self, order: fleet::Rollout, now: time::Tick) {
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
        let bounds = &self.place.bounds;
        let mut canary = canary::Canary::new(order.clone(), bounds, now);
        for session in self.recent.active(bounds.session_gap, now) {
            canary.pin(session);
        }
        self.canaries.insert(order.service, canary);
    }

    fn removed(&mut self, kind: Kind, record: &fleet::Record, now: time::Tick) {
        match kind {
            Kind::Endpoints => {
                let Ok(id) = record.key.parse::<id::EndpointId>() else { return };
                let is_ready = self
                    .balance
                    .entry(&id)
                    .is_some_and(|entry| entry.readiness == fleet::Readiness::Ready);
                if is_ready && self.lapse_until > now {
                    self.lapsed.insert(id, self.lapse_until);
                } else {
                    self.forget(&id, "removed");
                }
            }
            Kind::Orders => {
                if let Some(zone) = row::zone_out(&record.key) {
                    event::emit_json(
                        event::Event::ZoneChanged,
                        &[event::field("zone", &zone), event::field("is_out", &false)],
                    );
                    let span = self.longest_cold();
                    self.balance.enable_zone(&zone, span, now);
                }
            }
        }
    }

    fn longest_cold(&self) -> time::Millis {
        let services = self.catalog.iter().flat_map(|catalog| catalog.services.values());
        services.map(|service| service.cold_start).max().unwrap_or_default()
    }

    fn forget(&mut self, id: &id::EndpointId, why: &str) {
        event::emit_json(
            event::Event::EndpointGone,
            &[event::field("endpoint", id), event::field("why", &why)],
        );
        self.balance.remove(id);
    }

    /// Forgets endpoints that lapsed with the store and have not come back.
    pub(crate) fn expire(&mut self, now: time::Tick) {
        let due: BTreeSet<_> =
            self.lapsed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.lapsed.remove(&id);
            self.forget(&id, "lapsed");
        }
        self.peers.expire(now);
        self.balance.reports().expire(now);
    }

    /// The rule for cold endpoints of a service.
    pub(crate) fn cold_rule(&self, service: &id::ServiceId, now: time::Tick) -> balance::SlowStart {
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
