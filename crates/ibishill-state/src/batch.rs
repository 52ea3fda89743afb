//! Create-only batches of entries in the object store.
//!
//! A batch keeps its name until its write is confirmed, so that a retry after a lost
//! answer is idempotent.

use ibishill_core::id;
use ibishill_platform::object;
use serde::{Serialize, de};
use snafu::ResultExt;

use crate::error::{self, StateError};

/// Writes a batch under a name made of `vm` and `serial`; the call is idempotent.
///
/// # Errors
///
/// Fails if the object store does; the caller then has to retry with the same batch.
pub async fn write<T>(
    objects: &object::Objects,
    prefix: &str,
    vm: &id::VmId,
    serial: u64,
    entries: &[T],
) -> Result<(), StateError>
where
    T: Serialize,
{
    let name = format!("{prefix}/{vm}/{serial:020}");
    let content = serde_json::to_string(entries).expect("entries have text keys and encode");
    let put = objects.create(object::Object { name, content }).await;
    put.map(drop).context(error::PlatformSnafu)
}

/// Reads the entries of all batches under a prefix, ordered by batch name.
///
/// # Errors
///
/// Fails if the object store does or a batch is malformed.
pub async fn read<T>(objects: &object::Objects, prefix: &str) -> Result<Vec<T>, StateError>
where
    T: de::DeserializeOwned,
{
    let names = objects.list(format!("{prefix}/")).await;
    let mut entries = Vec::new();
    for name in names.context(error::PlatformSnafu)? {
        let content = objects.get(name.clone()).await.context(error::PlatformSnafu)?;
        let batch: Vec<T> = serde_json::from_str(&content.unwrap_or_default())
            .map_err(|error| StateError::Malformed { name, detail: error.to_string() })?;
        entries.extend(batch);
    }
    Ok(entries)
}
