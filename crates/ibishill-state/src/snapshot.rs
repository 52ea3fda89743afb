//! Snapshots of the configuration and archives of old changes, in the object store.
//!
//! Objects are created once under a name that holds their digest, and a row of the
//! table points at the newest one. A torn or foreign object is therefore never taken.

use ibishill_config::{change, declared, in_force};
use ibishill_platform::{object, table};
use serde::{Deserialize, Serialize, de};
use sha2::Digest;
use snafu::ResultExt;

use crate::error::{self, StateError};
use crate::log;

const POINTER: &str = "snapshot";

/// Changes between two snapshots.
pub const INTERVAL_CHANGES: u64 = 256;

/// Where an object stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// The newest version that the object covers.
    pub version: change::ConfigVersion,
    /// The object's name, which ends with its digest.
    pub name: String,
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    version: change::ConfigVersion,
    declared: declared::Declared,
}

/// Snapshots and archives of one log.
#[derive(Clone)]
pub struct Snapshots {
    table: table::Table,
    objects: object::Objects,
}

fn pointer_row() -> table::RowKey {
    table::RowKey::new(log::TABLE, POINTER)
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
    /// Opens the snapshots.
    pub fn new(table: table::Table, objects: object::Objects) -> Self {
        Self { table, objects }
    }

    /// Reads the newest snapshot; none before the first.
    ///
    /// # Errors
    ///
    /// Fails if the platform does, or if the object is not the one that was written.
    pub async fn newest(&self) -> Result<Option<in_force::InForce>, StateError> {
        let row = self.table.row(pointer_row()).await.context(error::PlatformSnafu)?;
        let Some(pointer) = log::decode::<Pointer>(&row)? else { return Ok(None) };
        let snapshot: Snapshot = self.load(&pointer.name).await?;
        Ok(Some(in_force::InForce { version: snapshot.version, declared: snapshot.declared }))
    }

    /// Reads archived changes after `version`, oldest first; empty if none is archived.
    ///
    /// # Errors
    ///
    /// Fails if the platform does, or if the object is not the one that was written.
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

    /// Writes a snapshot if one is due, and archives the changes before the last one.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; a later call makes up for it.
    pub async fn maintain(&self, current: &in_force::InForce) -> Result<bool, StateError> {
        let row = self.table.row(pointer_row()).await.context(error::PlatformSnafu)?;
        let last: Pointer = log::decode(&row)?.unwrap_or_default();
        if current.version.0 < last.version.0 + INTERVAL_CHANGES {
            return Ok(false);
        }
        let snapshot = Snapshot { version: current.version, declared: current.declared.clone() };
        let name = self.store("snapshot", current.version, &snapshot).await?;
        let pointer = Pointer { version: current.version, name };
        let moved = table::Transaction::default()
            .check(pointer_row(), row.revision)
            .put(pointer_row(), log::encode(&pointer));
        let moved = self.archive(last.version, moved).await?;
        self.table.commit(moved).await.context(error::PlatformSnafu)?;
        Ok(true)
    }

    // Moves the changes up to `last` from rows into one object.
    async fn archive(
        &self,
        last: change::ConfigVersion,
        mut moved: table::Transaction,
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
        let Some(newest) = old.last().map(|change| change.version) else { return Ok(moved) };
        let name = self.store("archive", newest, &old).await?;
        let pointer = Pointer { version: newest, name };
        moved = moved.put(archive_row(newest), log::encode(&pointer));
        for change in old {
            moved = moved.remove(log::change_row(change.version));
        }
        Ok(moved)
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
        // An object of that name has the same digest, hence the same content.
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
            return Err(malformed(name, "the digest differs"));
        }
        serde_json::from_str(&content).map_err(|error| malformed(name, &error.to_string()))
    }
}
