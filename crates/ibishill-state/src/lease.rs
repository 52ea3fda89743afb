//! One lease row per daemon, and the zone views that follow from them.

use ibishill_core::{id, time, view};
use ibishill_platform::table;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{self, StateError};

const TABLE: &str = "lease";
const SCAN_LIMIT: usize = 4_096;

/// The row of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The zone.
    pub zone: id::ZoneId,
    /// How others reach the daemon.
    pub member: view::Member,
    /// Wall-clock time at which the lease lapses.
    pub expires: time::Tick,
}

/// The lease rows in the platform's table.
#[derive(Clone)]
pub struct Leases {
    table: table::Table,
}

fn row(zone: &id::ZoneId, vm: &id::VmId) -> table::RowKey {
    table::RowKey::new(TABLE, format!("{zone}/{vm}"))
}

impl Leases {
    /// Opens the leases.
    pub fn new(table: table::Table) -> Self {
        Self { table }
    }

    /// Writes a daemon's lease.
    ///
    /// # Errors
    ///
    /// Fails if the platform does.
    pub async fn renew(&self, lease: &Lease) -> Result<(), StateError> {
        let value = serde_json::to_string(lease).expect("a lease always encodes");
        let name = row(&lease.zone, &lease.member.vm);
        let transaction = table::Transaction::default().put(name, value);
        self.table.commit(transaction).await.context(error::PlatformSnafu)
    }

    /// Removes a daemon's lease.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the lease then lapses by itself.
    pub async fn release(&self, zone: &id::ZoneId, vm: &id::VmId) -> Result<(), StateError> {
        let transaction = table::Transaction::default().remove(row(zone, vm));
        self.table.commit(transaction).await.context(error::PlatformSnafu)
    }

    /// Reads the views of all zones as of `now` on the wall clock.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row is malformed.
    pub async fn views(&self, now: time::Tick) -> Result<view::Views, StateError> {
        let scan = table::Scan {
            table: TABLE.into(),
            prefix: String::new(),
            after: String::new(),
            limit: SCAN_LIMIT,
        };
        let rows = self.table.read(table::Query::Scan(scan)).await;
        let mut views = view::Views::default();
        for row in rows.context(error::PlatformSnafu)? {
            let value = row.value.unwrap_or_default();
            let lease: Lease = serde_json::from_str(&value).map_err(|error| {
                StateError::Malformed { name: row.name.key.clone(), detail: error.to_string() }
            })?;
            if lease.expires > now {
                views.zones.entry(lease.zone).or_default().members.push(lease.member);
            }
        }
        Ok(views)
    }
}
