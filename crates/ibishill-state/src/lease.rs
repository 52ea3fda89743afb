//! One lease row per daemon and one view row per zone, moved by compare-and-set.
//!
//! No wall clock is written or compared: others see that a lease was not renewed by
//! its row's revision, which stays the same for a lease on their own clock.

use ibishill_core::{id, view};
use ibishill_platform::{failure, table};
use serde::{Deserialize, Serialize};

pub mod keeper;
pub mod membership;

const LEASES: &str = "lease";
const VIEWS: &str = "view";
const SCAN_LIMIT: usize = 4_096;

/// The row of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// How others reach the daemon.
    pub member: view::Member,
    /// Random number of the process, so that a restarted one is told apart.
    pub process: u64,
    /// The lease's number, raised by each renewal.
    pub number: u64,
    /// The view that the daemon follows.
    pub view: view::ViewNumber,
}

/// The row of one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// The view.
    pub view: view::View,
    /// The view that it replaced.
    pub before: view::View,
}

/// A value as read, with the revision to check when it is replaced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The revision; 0 if the row is absent.
    pub revision: u64,
    /// The value.
    pub value: Option<T>,
}

/// The lease and view rows in the platform's table.
#[derive(Clone)]
pub struct Rows {
    table: table::Table,
}

/// Name of a daemon's lease row.
pub fn lease_row(zone: &id::ZoneId, vm: &id::VmId) -> table::RowKey {
    table::RowKey::new(LEASES, format!("{zone}/{vm}"))
}

/// Name of a zone's view row.
pub fn view_row(zone: &id::ZoneId) -> table::RowKey {
    table::RowKey::new(VIEWS, zone.to_string())
}

fn decode<T>(row: &table::Row) -> Result<Versioned<T>, failure::Failure>
where
    T: serde::de::DeserializeOwned,
{
    let value = row.value.as_deref().map(serde_json::from_str).transpose();
    let value = value.map_err(|error| failure::Failure::NotApplied {
        detail: format!("row {} can't be read: {error}", row.name.key),
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
    /// Opens the rows.
    pub fn new(table: table::Table) -> Self {
        Self { table }
    }

    /// Reads the view rows of all zones in one call.
    ///
    /// # Errors
    ///
    /// Fails if the platform does.
    pub async fn views(&self) -> Result<Vec<(id::ZoneId, Versioned<ZoneRow>)>, failure::Failure> {
        let rows = self.scan(VIEWS, String::new()).await?;
        let named = rows.iter().filter_map(|row| Some((row.name.key.parse().ok()?, row)));
        named.map(|(zone, row)| Ok((zone, decode(row)?))).collect()
    }

    /// Reads the leases of one zone in one call.
    ///
    /// # Errors
    ///
    /// Fails if the platform does.
    pub async fn leases(
        &self,
        zone: &id::ZoneId,
    ) -> Result<Vec<(id::VmId, Versioned<Lease>)>, failure::Failure> {
        let prefix = format!("{zone}/");
        let rows = self.scan(LEASES, prefix.clone()).await?;
        let named = rows
            .iter()
            .filter_map(|row| Some((row.name.key.strip_prefix(&prefix)?.parse().ok()?, row)));
        named.map(|(vm, row)| Ok((vm, decode(row)?))).collect()
    }

    /// Reads one daemon's lease and its zone's view in one call.
    ///
    /// # Errors
    ///
    /// Fails if the platform does.
    pub async fn own(
        &self,
        zone: &id::ZoneId,
        vm: &id::VmId,
    ) -> Result<(Versioned<Lease>, Versioned<ZoneRow>), failure::Failure> {
        let names = vec![lease_row(zone, vm), view_row(zone)];
        let rows = self.table.read(table::Query::Rows(names)).await?;
        let [lease, view] = rows.as_slice() else {
            return Err(failure::Failure::NotApplied { detail: "rows are missing".into() });
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
    /// As the platform's table does.
    pub async fn commit(&self, transaction: table::Transaction) -> Result<(), failure::Failure> {
        self.table.commit(transaction).await
    }
}
