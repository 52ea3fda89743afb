//! One lease row per daemon and one view row per zone, updated by compare-and-set.
//!
//! Rows contain no times and wall clocks are never compared: a lease has expired for
//! another daemon when its row keeps the same revision for the lease duration, measured on
//! that daemon's own clock.

use ibishill_core::{id, view};
use ibishill_platform::{failure, table};
use serde::{Deserialize, Serialize};

pub mod keeper;
pub mod membership;

const LEASE_TABLE: &str = "lease";
const VIEW_TABLE: &str = "view";
const SCAN_LIMIT: usize = 4_096;

/// Lease row of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the daemon's VM and its address for peers.
    pub member: view::Member,
    /// Random number of the process, which distinguishes it from one started before.
    pub process: u64,
    /// Number of the lease, increased by each renewal.
    pub number: u64,
    /// Number of the view that the daemon follows.
    pub view: view::ViewNumber,
}

/// View row of one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// The current view of the zone.
    pub view: view::View,
    /// The view that the current one replaced.
    pub before: view::View,
}

/// A value with the revision of its row, which is checked when the row is replaced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The revision; 0 if the row is absent.
    pub revision: u64,
    /// The value; `None` if the row is absent.
    pub value: Option<T>,
}

/// Client of the lease and view rows in the platform's table.
#[derive(Clone)]
pub struct Rows {
    table: table::Table,
}

/// Returns the key of a daemon's lease row.
pub fn lease_row(zone: &id::ZoneId, vm: &id::VmId) -> table::RowKey {
    table::RowKey::new(LEASE_TABLE, format!("{zone}/{vm}"))
}

/// Returns the key of a zone's view row.
pub fn view_row(zone: &id::ZoneId) -> table::RowKey {
    table::RowKey::new(VIEW_TABLE, zone.to_string())
}

fn decode<T>(row: &table::Row) -> Result<Versioned<T>, failure::Failure>
where
    T: serde::de::DeserializeOwned,
{
    let value = row.value.as_deref().map(serde_json::from_str).transpose();
    let value = value.map_err(|error| failure::Failure::NotApplied {
        detail: format!("row {} can't be decoded: {error}", row.name.key),
    })?;
    Ok(Versioned { revision: row.revision, value })
}

pub(crate) fn encode<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("rows have text keys and always encode")
}

impl Rows {
    /// Creates a client of the rows in `table`.
    pub fn new(table: table::Table) -> Self {
        Self { table }
    }

    /// Reads the view rows of all zones in one call.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row can't be decoded.
    pub async fn views(&self) -> Result<Vec<(id::ZoneId, Versioned<ZoneRow>)>, failure::Failure> {
        let rows = self.scan(VIEW_TABLE, String::new()).await?;
        let keyed = rows.iter().filter_map(|row| Some((row.name.key.parse().ok()?, row)));
        keyed.map(|(zone, row)| Ok((zone, decode(row)?))).collect()
    }

    /// Reads the leases of one zone in one call.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row can't be decoded.
    pub async fn leases(
        &self,
        zone: &id::ZoneId,
    ) -> Result<Vec<(id::VmId, Versioned<Lease>)>, failure::Failure> {
        let prefix = format!("{zone}/");
        let rows = self.scan(LEASE_TABLE, prefix.clone()).await?;
        let keyed = rows
            .iter()
            .filter_map(|row| Some((row.name.key.strip_prefix(&prefix)?.parse().ok()?, row)));
        keyed.map(|(vm, row)| Ok((vm, decode(row)?))).collect()
    }

    /// Reads one daemon's lease and its zone's view in one call.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row can't be decoded.
    pub async fn own(
        &self,
        zone: &id::ZoneId,
        vm: &id::VmId,
    ) -> Result<(Versioned<Lease>, Versioned<ZoneRow>), failure::Failure> {
        let names = vec![lease_row(zone, vm), view_row(zone)];
        let rows = self.table.read(table::Query::Rows(names)).await?;
        let [lease, view] = rows.as_slice() else {
            return Err(failure::Failure::NotApplied {
                detail: "the platform did not return exactly the lease row and the view row".into(),
            });
        };
        Ok((decode(lease)?, decode(view)?))
    }

    async fn scan(&self, table: &str, prefix: String) -> Result<Vec<table::Row>, failure::Failure> {
        let scan =
            table::Scan { table: table.into(), prefix, after: String::new(), limit: SCAN_LIMIT };
        self.table.read(table::Query::Scan(scan)).await
    }

    /// Commits a transaction over the rows.
    ///
    /// # Errors
    ///
    /// Returns the failure of [`table::Table::commit`].
    pub async fn commit(&self, transaction: table::Transaction) -> Result<(), failure::Failure> {
        self.table.commit(transaction).await
    }
}
