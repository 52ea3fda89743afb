//! Merges rows of the store into the state, whoever delivers them.

use std::fmt;
use std::rc::Rc;

use bytes::Bytes;
use ibishill_adapter::row;
use ibishill_core::{event, fleet, id, store_version, time};
use ibishill_decide::balance::doubt;
use ibishill_decide::endpoint_key;
use ibishill_state::replica;

use super::{LAPSE_GRACE, Merged, State, Table};

impl State {
    /// Merges a delta into a table and applies its rows; `source` is who delivered it.
    pub(crate) fn merge(
        &mut self,
        table: Table,
        delta: replica::Delta,
        source: &(dyn std::fmt::Display + Sync),
        now: time::Tick,
    ) -> Merged {
        self.record_outage(table, now);
        let replica = self.replicas.entry(table).or_default();
        let is_initial = replica.table.version() == store_version::StoreVersion::default();
        let before = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let is_restore = delta.is_whole && replica.table.is_later_era(&delta);
        let delta = if is_restore { self.enter_era(table, delta, now) } else { delta };
        let replica = self.replicas.entry(table).or_default();
        let changed = replica.table.merge(delta);
        replica.transfer.record(&changed, replica.table.version());
        for record in &changed {
            if is_restore && self.restored.defers(table, record, &self.balancer, &self.canaries) {
                self.restored.hold(table, &record.key, now);
            } else {
                self.restored.release(table, &record.key);
                self.apply_record(table, record, is_initial, now);
            }
        }
        self.inform_canaries();
        let delay = self.record_catalog(before, &changed, source, now);
        self.is_update_due |= !changed.is_empty();
        Merged { is_changed: !changed.is_empty(), is_pending: false, delay }
    }

    /// Era of the store, as far as it is known.
    pub(crate) fn era(&self) -> store_version::Era {
        let eras = self.replicas.values().map(|replica| replica.table.version().era);
        eras.max().unwrap_or_default()
    }

    // Prepares for the first rows of a store that was restored from an older copy. Returns them with
    // the configuration that is in force, if the copy has an older one or none: the operator writes
    // it again, and until then relays that start get it from their peers.
    fn enter_era(
        &mut self,
        table: Table,
        mut delta: replica::Delta,
        now: time::Tick,
    ) -> replica::Delta {
        let before = self.replica(table).table.version();
        if delta.version.era > self.era() {
            self.restores += 1;
            event::emit_json(
                event::Event::StoreRestored,
                &[
                    event::field("table", &table.name()),
                    event::field("before", &before),
                    event::field("after", &delta.version),
                ],
            );
        }
        if table == Table::Endpoints {
            self.lapse_until = self.lapse_until.max(now + LAPSE_GRACE);
        }
        let known = self.replica(table).table.row(row::CATALOG).cloned();
        if let Some(known) = known.filter(|_| table == Table::Orders) {
            let at = delta.rows.binary_search_by(|found| found.key.as_str().cmp(row::CATALOG));
            let version = at.map_or(0, |at| catalog_version(&delta.rows[at]));
            if version < self.catalog_version() {
                let kept = fleet::RawRow { version: delta.version, ..known };
                match at {
                    Ok(at) => delta.rows[at] = kept,
                    Err(at) => delta.rows.insert(at, kept),
                }
            }
        }
        delta
    }

    // Logs the configuration if it is newer than `before`; returns the time from its first notice.
    fn record_catalog(
        &mut self,
        before: u64,
        changed: &[fleet::RawRow],
        source: &(dyn std::fmt::Display + Sync),
        now: time::Tick,
    ) -> Option<time::Millis> {
        let version = self.catalog_version();
        if version <= before {
            return None;
        }
        let later = self.announced.split_off(&(version + 1));
        let announced = std::mem::replace(&mut self.announced, later);
        self.catalog_since = announced.get(&version).copied().unwrap_or(now);
        let first = announced.into_values().min();
        let delay = first.map_or(time::Millis(0), |at| now.since(at));
        let bytes: usize =
            changed.iter().filter_map(|row| row.value.as_ref()).map(Bytes::len).sum();
        event::emit_json(
            event::Event::CatalogInForce,
            &[
                event::field("version", &version),
                event::field(
                    "row",
                    &changed.iter().map(|row| row.version).max().unwrap_or_default(),
                ),
                event::field("source", source),
                event::field("bytes", &bytes),
                event::field("delay", &delay),
            ],
        );
        Some(delay)
    }

    pub(super) fn apply_record(
        &mut self,
        table: Table,
        record: &fleet::RawRow,
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

    fn apply_row(
        &mut self,
        found: fleet::Row,
        version: store_version::StoreVersion,
        is_initial: bool,
        now: time::Tick,
    ) {
        match found {
            fleet::Row::Catalog(catalog) => {
                if self.catalog.as_ref().is_some_and(|known| known.version >= catalog.version) {
                    return;
                }
                self.catalog = Some(Rc::new(*catalog));
            }
            fleet::Row::Rollout(order) => self.apply_rollout(order, version, is_initial, now),
            fleet::Row::Status(status) => self.apply_status(&status, version, now),
            fleet::Row::ZoneOut(zone) => {
                event::emit_json(
                    event::Event::ZoneChanged,
                    &[
                        event::field("zone", &zone),
                        event::field("is_out", &true),
                        event::field("row", &version),
                    ],
                );
                self.balancer.take_zone_out(zone);
                self.expect_ends();
            }
            fleet::Row::Registration(registration) => {
                if self.balancer.is_earlier_start(&registration, now) {
                    self.hold_earlier(&registration, version, now);
                    return;
                }
                self.lapsed.remove(&registration.id);
                self.restored.record_back(&registration);
                event::emit_json(
                    event::Event::EndpointKnown,
                    &[
                        event::field("endpoint", &registration.id),
                        event::field("service", &registration.service),
                        event::field("version", &registration.version),
                        event::field("zone", &registration.zone),
                        event::field(
                            "is_ready",
                            &(registration.readiness == fleet::Readiness::Ready),
                        ),
                        event::field("cold", &registration.cold_remaining),
                        event::field("started", &Started(registration.started)),
                        event::field("row", &version),
                    ],
                );
                self.place(&registration, now);
                let (id, key) =
                    (registration.id.clone(), endpoint_key::EndpointKey::of(&registration));
                self.balancer.register(registration, now);
                self.log_doubts(now);
                let entry = self.balancer.entry(&id);
                let is_expected = entry.is_some_and(|entry| self.is_end_expected(entry));
                self.exposures.expect_end(key, is_expected);
            }
        }
    }

    // Keeps a registration of an earlier start from counting, which was written late. It counts if nothing replaces
    // it, as the endpoint's time of day may have been set back.
    fn hold_earlier(
        &mut self,
        registration: &fleet::Registration,
        version: store_version::StoreVersion,
        now: time::Tick,
    ) {
        event::emit_json(
            event::Event::EntryHeld,
            &[
                event::field("endpoint", &registration.id),
                event::field("started", &Started(registration.started)),
                event::field("row", &version),
            ],
        );
        self.restored.hold(Table::Endpoints, registration.id.as_str(), now);
        let cold = self.slow_start(&registration.service, now);
        let _is_news = self.balancer.doubt(&registration.id, doubt::Cause::EarlierEntry, cold, now);
        self.log_doubts(now);
    }

    fn apply_removal(&mut self, table: Table, record: &fleet::RawRow, now: time::Tick) {
        match table {
            Table::Endpoints => {
                let Ok(id) = record.key.parse::<id::EndpointId>() else { return };
                let is_ready = self
                    .balancer
                    .entry(&id)
                    .is_some_and(|registration| registration.readiness == fleet::Readiness::Ready);
                if is_ready && self.lapse_until > now {
                    self.lapsed.insert(id, self.lapse_until);
                } else {
                    self.remove_endpoint(&id, "removed", now);
                }
            }
            Table::Statuses => {}
            Table::Orders => {
                if let Some(zone) = row::zone_out(&record.key) {
                    event::emit_json(
                        event::Event::ZoneChanged,
                        &[event::field("zone", &zone), event::field("is_out", &false)],
                    );
                    let duration = self.max_cold_start();
                    self.balancer.put_zone_back(&zone, duration, now);
                    self.expect_ends();
                }
            }
        }
    }

    // Applies a row as the store has it now.
    pub(super) fn apply_current(&mut self, table: Table, key: String, now: time::Tick) {
        let current = self.replica(table).table.row(&key).cloned();
        let version = self.replica(table).table.version();
        let record = current.unwrap_or(fleet::RawRow { key, version, value: None });
        self.apply_record(table, &record, false, now);
    }

    fn max_cold_start(&self) -> time::Millis {
        let services = self.catalog.iter().flat_map(|catalog| catalog.services.values());
        services.map(|service| service.cold_start).max().unwrap_or_default()
    }

    pub(super) fn remove_endpoint(&mut self, id: &id::EndpointId, why: &str, now: time::Tick) {
        let started = Started(self.balancer.entry(id).and_then(|entry| entry.started));
        event::emit_json(
            event::Event::EndpointGone,
            &[
                event::field("endpoint", id),
                event::field("why", &why),
                event::field("started", &started),
            ],
        );
        if let Some(registration) = self.balancer.entry(id) {
            self.restored.record_gone(registration, now);
        }
        if let Some(key) = self.balancer.entry(id).map(endpoint_key::EndpointKey::of) {
            self.displace(key, now);
        }
        self.balancer.remove(id, now);
        self.log_doubts(now);
    }

    /// Logs which endpoints may have started again, and which doubts have ended.
    pub(crate) fn log_doubts(&mut self, now: time::Tick) {
        for change in self.balancer.take_doubts() {
            let kind = if change.is_doubted {
                event::Event::EndpointDoubted
            } else {
                event::Event::EndpointSettled
            };
            event::emit_json(
                kind,
                &[
                    event::field("endpoint", &change.endpoint),
                    event::field("cause", &change.cause),
                    event::field("cold", &change.cold_until.since(now)),
                ],
            );
        }
    }
}

/// Start time of an endpoint in the log; `-` if it is unknown.
struct Started(Option<u64>);

impl fmt::Display for Started {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(started) => started.fmt(f),
            None => f.write_str("-"),
        }
    }
}

fn catalog_version(row: &fleet::RawRow) -> u64 {
    let value = row.value.as_deref().unwrap_or_default();
    match row::decode(row::ORDERS, &row.key, value) {
        Ok(Some(fleet::Row::Catalog(catalog))) => catalog.version,
        _ => 0,
    }
}
