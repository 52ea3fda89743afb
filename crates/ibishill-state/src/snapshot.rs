//! Configuration snapshots and archives of old changes in the object store.
//!
//! Each object is created once under a name that contains its digest, and table rows refer
//! to the objects. A truncated or replaced object is therefore detected.

use ibishill_config::{change, declared, in_force};
use ibishill_platform::{object, table};
use serde::{Deserialize, Serialize, de};
use sha2::Digest;
use snafu::ResultExt;

use crate::error::{self, StateError};
use crate::log;

const POINTER_KEY: &str = "snapshot";

/// Minimum number of changes between two snapshots.
pub const INTERVAL_CHANGES: u64 = 256;

/// Table entry that refers to an object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// Newest configuration version contained in the object.
    pub version: change::ConfigVersion,
    /// Name of the object, which ends with its digest.
    pub name: String,
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    version: change::ConfigVersion,
    declared: declared::Declared,
}

/// Client of the snapshots and archives of the configuration log.
#[derive(Clone)]
pub struct Snapshots {
    table: table::Table,
    objects: object::Objects,
}

fn pointer_row() -> table::RowKey {
    table::RowKey::new(log::TABLE, POINTER_KEY)
}

fn archive_row(version: change::ConfigVersion) -> table::RowKey {
    table::RowKey::new(log::TABLE, format!("archive/{:020}", version.0))
}

fn digest(content: &str) -> String {
    let hash = sha2::Sha256::digest(content.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn malformed(name: &str, detail: &str) -> StateError {
    StateError::Malformed { name: name.into(), detail: detail.into() }
}

impl Snapshots {
    /// Creates a client; `table` holds the pointers, `objects` the snapshots and archives.
    pub fn new(table: table::Table, objects: object::Objects) -> Self {
        Self { table, objects }
    }

    /// Reads the newest snapshot, or `None` if none has been written.
    ///
    /// # Errors
    ///
    /// Fails if the platform does, or if the object is missing or its digest differs.
    pub async fn newest(&self) -> Result<Option<in_force::InForce>, StateError> {
        let row = self.table.row(pointer_row()).await.context(error::PlatformSnafu)?;
        let Some(pointer) = log::decode::<Pointer>(&row)? else { return Ok(None) };
        let snapshot: Snapshot = self.load(&pointer.name).await?;
        Ok(Some(in_force::InForce { version: snapshot.version, declared: snapshot.declared }))
    }

    /// Reads the changes after `version` from one archive, oldest first; empty if no archive
    /// contains any.
    ///
    /// # Errors
    ///
    /// Fails if the platform does, or if the object is missing or its digest differs.
    pub async fn archived_after(
        &self,
        version: change::ConfigVersion,
    ) -> Result<Vec<change::Change>, StateError> {
        let scan = table::Scan {
            table: log::TABLE.into(),
            prefix: "archive/".into(),
            after: archive_row(version).key,
            limit: 1,
        };
        let rows = self.table.read(table::Query::Scan(scan)).await;
        let rows = rows.context(error::PlatformSnafu)?;
        let Some(row) = rows.first() else { return Ok(Vec::new()) };
        let Some(pointer) = log::decode::<Pointer>(row)? else { return Ok(Vec::new()) };
        let mut changes: Vec<change::Change> = self.load(&pointer.name).await?;
        changes.retain(|change| change.version > version);
        Ok(changes)
    }

    /// Writes a snapshot if at least [`INTERVAL_CHANGES`] changes follow the last one, and
    /// archives the changes up to the last one. Returns whether a snapshot was written.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; a later call catches up.
    pub async fn maintain(&self, current: &in_force::InForce) -> Result<bool, StateError> {
        let row = self.table.row(pointer_row()).await.context(error::PlatformSnafu)?;
        let last: Pointer = log::decode(&row)?.unwrap_or_default();
        if current.version.0 < last.version.0 + INTERVAL_CHANGES {
            return Ok(false);
        }
        let snapshot = Snapshot { version: current.version, declared: current.declared.clone() };
        let name = self.store("snapshot", current.version, &snapshot).await?;
        let pointer = Pointer { version: current.version, name };
        let transaction = table::Transaction::default()
            .check(pointer_row(), row.revision)
            .put(pointer_row(), log::encode(&pointer));
        let transaction = self.archive(last.version, transaction).await?;
        self.table.commit(transaction).await.context(error::PlatformSnafu)?;
        Ok(true)
    }

    // Copies the changes up to `last` into one object, and adds the removal of their rows to
    // the transaction.
    async fn archive(
        &self,
        last: change::ConfigVersion,
        mut transaction: table::Transaction,
    ) -> Result<table::Transaction, StateError> {
        let scan = table::Scan {
            table: log::TABLE.into(),
            prefix: "change/".into(),
            after: String::new(),
            limit: 4 * log::PAGE_SIZE,
        };
        let rows = self.table.read(table::Query::Scan(scan)).await;
        let mut old = Vec::new();
        for row in rows.context(error::PlatformSnafu)? {
            match log::decode::<change::Change>(&row)? {
                Some(change) if change.version <= last => old.push(change),
                _ => {}
            }
        }
        let Some(newest) = old.last().map(|change| change.version) else { return Ok(transaction) };
        let name = self.store("archive", newest, &old).await?;
        let pointer = Pointer { version: newest, name };
        transaction = transaction.put(archive_row(newest), log::encode(&pointer));
        for change in old {
            transaction = transaction.remove(log::change_row(change.version));
        }
        Ok(transaction)
    }

    async fn store<T>(
        &self,
        kind: &str,
        version: change::ConfigVersion,
        value: &T,
    ) -> Result<String, StateError>
    where
        T: Serialize,
    {
        let content = log::encode(value);
        let name = format!("config/{kind}/{:020}-{}", version.0, digest(&content));
        let object = object::Object { name: name.clone(), content };
        // The name contains the digest, so an existing object has the same content.
        let _put = self.objects.create(object).await.context(error::PlatformSnafu)?;
        Ok(name)
    }

    async fn load<T>(&self, name: &str) -> Result<T, StateError>
    where
        T: de::DeserializeOwned,
    {
        let found = self.objects.get(name.to_owned()).await.context(error::PlatformSnafu)?;
        let content = found.ok_or_else(|| malformed(name, "the object is missing"))?;
        if !name.ends_with(&digest(&content)) {
            return Err(malformed(name, "the content does not match the digest in the name"));
        }
        serde_json::from_str(&content).map_err(|error| malformed(name, &error.to_string()))
    }
}
