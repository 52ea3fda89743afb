//! State of one relay, updated from store rows, peers and responses.

mod expected_ends;
mod news;
mod rollouts;
mod rows;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use ibishill_adapter::row;
use ibishill_core::{event, fleet, id, route, store_version, time};
use ibishill_decide::{
    balance, canary, endpoint_key, escalation, exposure, fair_share, peers, promise, quarantine,
    retry, wait_queue,
};
use ibishill_state::{chunk, confirmation, replica, transfer};

use crate::told::Announcement;
use crate::{early_end, restored};

/// Time after a store outage for which endpoints whose registration lapsed are kept: live ones
/// register again within about two seconds.
const LAPSE_GRACE: time::Millis = time::Millis(2_300);

/// Duration of a store outage from which on registrations of live endpoints may have lapsed:
/// endpoints write a heartbeat about once a second, and lapse after three missed ones.
const OUTAGE_MIN: time::Millis = time::Millis(2_000);

/// Tables of the store that every relay replicates; a table's index in [`Table::ALL`] is part of
/// the gossip format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Table {
    /// The configuration and operators' orders.
    Orders,
    /// Registrations of endpoints.
    Endpoints,
    /// What operators are told of roll-outs.
    Statuses,
}

impl Table {
    pub(crate) const ALL: [Self; 3] = [Self::Orders, Self::Endpoints, Self::Statuses];

    /// Name of the table in the store.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Orders => row::ORDERS,
            Self::Endpoints => row::ENDPOINTS,
            Self::Statuses => row::STATUS,
        }
    }
}

/// Replica of a table.
#[derive(Debug, Clone, Default)]
pub(crate) struct Replica {
    pub(crate) table: replica::Table,
    /// When the store last confirmed to any daemon that it is current.
    confirmed: confirmation::Confirmation,
    transfer: transfer::Transfer,
}

/// Maximum number of announced configurations that are not in force yet; later ones are dropped.
const ANNOUNCED_MAX: usize = 64;

/// Time before a configuration must be in force at which a relay without it stops serving by an
/// older one: its first notice may come that much later than the store's acknowledgement.
const OUTDATED_MARGIN: time::Millis = time::Millis(500);

/// Time after the last notice of a newer configuration from which on a relay counts as cut off
/// from those that have it; notices come several times a second.
const NOTICE_MAX: time::Millis = time::Millis(1_500);

/// Result of merging a delta.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Merged {
    /// Whether any row changed.
    pub(crate) is_changed: bool,
    /// Whether chunks are missing.
    pub(crate) is_pending: bool,
    /// Time from the first notice of the configuration that came into force.
    pub(crate) delay: Option<time::Millis>,
}

impl Merged {
    /// Combines the results for two tables.
    pub(crate) fn and(self, other: Self) -> Self {
        Self {
            is_changed: self.is_changed || other.is_changed,
            is_pending: self.is_pending || other.is_pending,
            delay: self.delay.or(other.delay),
        }
    }
}

/// State of one relay.
pub(crate) struct State {
    pub(crate) settings: fleet::Settings,
    pub(crate) catalog: Option<Rc<route::Catalog>>,
    /// Versions of configurations that are not in force here yet, and when this relay first heard
    /// of them.
    announced: BTreeMap<u64, time::Tick>,
    /// When a peer last announced one of them.
    notice: time::Tick,
    /// When any relay first had the configuration in force.
    catalog_since: time::Tick,
    /// Peer that is known to have rows which this relay lacks.
    pub(crate) ahead: Option<SocketAddr>,
    /// Whether rows have changed that peers may lack.
    pub(crate) is_update_due: bool,
    pub(crate) balancer: balance::Balancer,
    /// Recently active sessions, which a new roll-out pins to the old version.
    pub(crate) recent_sessions: canary::RecentSessions,
    pub(crate) canaries: BTreeMap<id::ServiceId, canary::Canary>,
    pub(crate) peers: peers::Peers,
    pub(crate) wait_queue: wait_queue::Queue,
    /// Shares of workspaces in the services.
    pub(crate) fair_share: fair_share::FairShare,
    /// When refused callers may return.
    pub(crate) promises: promise::Promises,
    /// When it was last logged that a workspace yields in a service.
    pub(crate) yielding: BTreeMap<(id::ServiceId, id::WorkspaceId), time::Tick>,
    /// Prompt segments that end endpoints.
    pub(crate) quarantine: quarantine::Quarantine,
    /// Prompts sent to endpoints, and what became of these.
    pub(crate) exposures: exposure::Exposures,
    // Registered endpoints by key.
    endpoint_ids: BTreeMap<endpoint_key::EndpointKey, id::EndpointId>,
    pub(crate) allowances: BTreeMap<id::ServiceId, retry::Allowance>,
    pub(crate) pressures: BTreeMap<id::ServiceId, escalation::Pressure>,
    /// In-flight requests by workspace.
    pub(crate) in_flight: BTreeMap<Option<id::WorkspaceId>, u32>,
    pub(crate) is_stopping: bool,
    /// When a relay that stops sends no more requests; those sent later may not be finished.
    pub(crate) sends_until: Option<time::Tick>,
    /// Open connections of callers.
    pub(crate) connections: u32,
    /// Consecutive gossip rounds in which no peer has responded.
    pub(crate) silent_rounds: u32,
    /// Whether the last call to the store failed.
    is_store_down: bool,
    /// Consecutive failed calls to the store, for any table.
    pub(crate) store_failures: u32,
    /// When a call of this relay to the store last failed.
    store_failed: Option<time::Tick>,
    /// Until when a removal of an endpoint may be due to a store outage only.
    lapse_until: time::Tick,
    /// Until when the state counts as stale after a suspension.
    pub(crate) stale_until: time::Tick,
    replicas: BTreeMap<Table, Replica>,
    /// Endpoints whose registration lapsed, and when they are removed.
    lapsed: BTreeMap<id::EndpointId, time::Tick>,
    /// Rows of a restored store that do not count yet.
    restored: restored::Restored,
    /// Number of restores of the store that this relay has seen.
    pub(crate) restores: u64,
}

impl State {
    pub(crate) fn new(settings: fleet::Settings, own: peers::Member) -> Self {
        Self {
            catalog: None,
            announced: BTreeMap::new(),
            notice: time::Tick(0),
            catalog_since: time::Tick(0),
            ahead: None,
            is_update_due: false,
            balancer: balance::Balancer::new(settings.vm.clone(), settings.zone.clone()),
            recent_sessions: canary::RecentSessions::default(),
            canaries: BTreeMap::new(),
            peers: peers::Peers::new(own),
            wait_queue: wait_queue::Queue::default(),
            fair_share: fair_share::FairShare::default(),
            promises: promise::Promises::default(),
            yielding: BTreeMap::new(),
            quarantine: quarantine::Quarantine::default(),
            exposures: exposure::Exposures::default(),
            endpoint_ids: BTreeMap::new(),
            allowances: BTreeMap::new(),
            pressures: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            is_stopping: false,
            sends_until: None,
            connections: 0,
            silent_rounds: 0,
            is_store_down: false,
            store_failures: 0,
            store_failed: None,
            lapse_until: time::Tick(0),
            stale_until: time::Tick(0),
            replicas: Table::ALL.into_iter().map(|table| (table, Replica::default())).collect(),
            lapsed: BTreeMap::new(),
            restored: restored::Restored::default(),
            restores: 0,
            settings,
        }
    }

    /// Replica of a table.
    pub(crate) fn replica(&self, table: Table) -> &Replica {
        &self.replicas[&table]
    }

    /// Version of the configuration in force; 0 before the first.
    pub(crate) fn catalog_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Configuration in force, to be told to peers.
    pub(crate) fn announcement(&self, now: time::Tick) -> Announcement {
        Announcement { version: self.catalog_version(), age: now.since(self.catalog_since) }
    }

    /// Records that a peer has a configuration.
    pub(crate) fn record_announcement(&mut self, announcement: &Announcement, now: time::Tick) {
        let Announcement { version, age } = *announcement;
        let own = self.catalog_version();
        let first = time::Tick(now.0.saturating_sub(age.0));
        if version == own {
            self.catalog_since = self.catalog_since.min(first);
        }
        if version <= own {
            return;
        }
        self.notice = now;
        if let Some(known) = self.announced.get_mut(&version) {
            *known = first.min(*known);
        } else if self.announced.len() < ANNOUNCED_MAX {
            event::emit_json(
                event::Event::CatalogAnnounced,
                &[
                    event::field("version", &version),
                    event::field("own", &own),
                    event::field("age", &age),
                ],
            );
            self.announced.insert(version, first);
        }
    }

    /// Time since a configuration that is not in force here was first in force at another relay;
    /// none if there is no such configuration.
    pub(crate) fn catalog_missing_for(&self, now: time::Tick) -> Option<time::Millis> {
        self.announced.values().min().map(|first| now.since(*first))
    }

    /// Whether the configuration in force is known to be the newest, so that a route or key that it
    /// lacks does not exist.
    pub(crate) fn is_catalog_confirmed(&self, now: time::Tick) -> bool {
        let apply = self.settings.bounds.apply;
        let is_recent = self.table_age(Table::Orders, now).is_some_and(|age| age <= apply);
        is_recent && self.announced.is_empty()
    }

    /// Whether a newer configuration ought to be in force by now, which peers within reach have. A
    /// relay that is cut off from them serves by what it knows.
    pub(crate) fn is_catalog_outdated(&self, now: time::Tick) -> bool {
        let limit = self.settings.bounds.apply.saturating_sub(OUTDATED_MARGIN);
        let is_late = self.catalog_missing_for(now).is_some_and(|missing| missing >= limit);
        is_late && now.since(self.notice) <= NOTICE_MAX
    }

    /// Whether new requests of callers are served.
    pub(crate) fn is_ready(&self, now: time::Tick) -> bool {
        self.is_loaded() && !self.is_stopping && !self.is_catalog_outdated(now)
    }

    /// Transfer of a table's deltas.
    pub(crate) fn transfer(&mut self, table: Table) -> &mut transfer::Transfer {
        &mut self.replicas.entry(table).or_default().transfer
    }

    /// Content of a chunk of any table.
    pub(crate) fn chunk(&self, digest: chunk::Digest) -> Option<&Bytes> {
        self.replicas.values().find_map(|replica| replica.transfer.chunk(digest))
    }

    /// Delta for a peer whose replica of a table is at `version`; none if it lacks nothing.
    pub(crate) fn delta(
        &self,
        table: Table,
        version: store_version::StoreVersion,
    ) -> Option<transfer::Delta> {
        let replica = self.replica(table);
        Some(replica.transfer.pack(replica.table.since(version)?))
    }

    /// Accepts a delta from a peer, and merges it unless chunks are missing.
    pub(crate) fn accept(
        &mut self,
        table: Table,
        delta: transfer::Delta,
        source: SocketAddr,
        now: time::Tick,
    ) -> Merged {
        let version = self.replica(table).table.version();
        let complete = self.transfer(table).accept(delta, source, version);
        self.merge_if_complete(table, complete, &source, now)
    }

    /// Records chunks from a peer, and merges the delta that lacked them if it is complete.
    pub(crate) fn receive_chunks(
        &mut self,
        table: Table,
        contents: Vec<Bytes>,
        now: time::Tick,
    ) -> Merged {
        let complete = self.transfer(table).receive(contents);
        self.merge_if_complete(table, complete, &"chunks of peers", now)
    }

    fn merge_if_complete(
        &mut self,
        table: Table,
        complete: Option<replica::Delta>,
        source: &(dyn std::fmt::Display + Sync),
        now: time::Tick,
    ) -> Merged {
        let merged = complete.map(|delta| self.merge(table, delta, source, now));
        let is_pending = self.transfer(table).missing_count() > 0;
        Merged { is_pending, ..merged.unwrap_or_default() }
    }

    /// Whether the configuration and the endpoints are loaded, so that requests can be served.
    pub(crate) fn is_loaded(&self) -> bool {
        self.catalog.is_some() && self.replica(Table::Endpoints).table.is_loaded()
    }

    /// Time since the store last confirmed the replica to any daemon; `None` if it never has.
    pub(crate) fn table_age(&self, table: Table, now: time::Tick) -> Option<time::Millis> {
        self.replica(table).confirmed.at().map(|at| now.since(at))
    }

    /// The same for a reader of the table: none while nobody needs the table, and no more than the time for which
    /// it has been needed.
    pub(crate) fn reading_age(
        &self,
        table: Table,
        now: time::Tick,
    ) -> Option<Option<time::Millis>> {
        let age = self.table_age(table, now);
        if table != Table::Statuses {
            return Some(age);
        }
        let needed = self.canaries.values().filter_map(|canary| canary.follows_store(now)).max()?;
        Some(Some(age.map_or(needed, |age| age.min(needed))))
    }

    /// Versions of the replicas and their confirmations, for peers.
    pub(crate) fn table_versions(&self, now: time::Tick) -> Vec<confirmation::Told> {
        let told = |table: &Table| {
            let replica = self.replica(*table);
            replica.confirmed.tell(replica.table.version(), now)
        };
        Table::ALL.iter().map(told).collect()
    }

    /// Records a peer's confirmations of tables whose versions are the same here.
    pub(crate) fn record_confirmations(&mut self, told: &[confirmation::Told], now: time::Tick) {
        for (table, told) in Table::ALL.into_iter().zip(told) {
            let is_same = self.replica(table).table.version() == told.version;
            if let Some(age) = told.age.filter(|_| is_same) {
                self.record_outage(table, time::Tick(now.0.saturating_sub(age.0)));
                self.replicas.entry(table).or_default().confirmed.hear(told, now);
            }
        }
    }

    /// Records that the store confirmed a replica as of `at`, at `stamp` by its own clock.
    pub(crate) fn confirm(&mut self, table: Table, stamp: confirmation::Stamp, at: time::Tick) {
        self.record_outage(table, at);
        self.replicas.entry(table).or_default().confirmed.record(stamp, at);
        self.inform_canaries();
    }

    /// Records a failed call to the store; returns whether the previous call succeeded.
    pub(crate) fn record_store_failure(&mut self, now: time::Tick) -> bool {
        self.store_failed = Some(now);
        self.store_failures += 1;
        !std::mem::replace(&mut self.is_store_down, true)
    }

    /// Records a successful call to the store; returns whether the previous call failed.
    pub(crate) fn record_store_success(&mut self) -> bool {
        self.store_failures = 0;
        std::mem::take(&mut self.is_store_down)
    }

    // Registrations may have lapsed if no daemon got a confirmation for OUTAGE_MIN and a call of
    // this relay failed meanwhile. Both are required: the store may fail for this relay only, while
    // peers still confirm the table, or just the reading daemons may be cut off.
    fn record_outage(&mut self, table: Table, at: time::Tick) {
        let Some(last) = self.replica(table).confirmed.at() else { return };
        let has_failed = self.store_failed.is_some_and(|failed| failed >= last);
        if table == Table::Endpoints && has_failed && at.since(last) >= OUTAGE_MIN {
            self.lapse_until = self.lapse_until.max(at + LAPSE_GRACE);
        }
    }

    /// Removes lapsed endpoints that have not registered again, dead peers and old load reports.
    pub(crate) fn expire(&mut self, now: time::Tick) {
        let expired: BTreeSet<_> =
            self.lapsed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.lapsed.remove(&id);
            self.remove_endpoint(&id, "lapsed", now);
        }
        for (table, key) in self.restored.take_due(now) {
            self.apply_current(table, key, now);
        }
        self.peers.expire(now);
        self.balancer.reports().expire(now);
        self.balancer.expire(now);
        self.fair_share.expire(now);
        self.promises.expire(now);
        self.divide(now);
        early_end::judge(self, now);
    }

    /// Slow-start rule for the endpoints of a service.
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

    /// Rank of this daemon among those that share the rate of a cold endpoint.
    pub(crate) fn cold_rank(&self, endpoint: &id::EndpointId) -> usize {
        self.peers.known_rank(endpoint.as_str())
    }
}
