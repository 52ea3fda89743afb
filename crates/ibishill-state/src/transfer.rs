//! Transfer of a table's deltas between peers whose links may be narrow.
//!
//! A delta carries manifests in place of large values. The receiver fetches the chunks that it
//! lacks in small portions from any peer that has the same version, and keeps them across failed
//! exchanges and newer versions. Each step thus makes progress that is never lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use ibishill_core::{fleet, store_version};
use serde::{Deserialize, Serialize};

use crate::chunk::{self, Digest, Manifest};
use crate::replica;

/// Value of a row in transit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// The row was removed.
    Removed,
    /// A small value.
    Whole(Bytes),
    /// A large value, whose chunks are sent on request.
    Split(Manifest),
}

/// Row in transit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the transaction that last wrote or removed the row.
    pub version: store_version::StoreVersion,
    /// Value, or what is needed to fetch it.
    pub value: Value,
}

/// Delta in transit, as [`replica::Delta`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Whether it lists the whole table.
    pub is_whole: bool,
    /// Version of the store up to which the delta is complete.
    pub version: store_version::StoreVersion,
    /// Rows in ascending key order.
    pub rows: Vec<Row>,
}

#[derive(Debug, Clone)]
struct Pending {
    delta: Delta,
    missing: BTreeSet<Digest>,
    /// Peers that have this version.
    sources: Vec<SocketAddr>,
}

/// Chunks of a table's large values, and the delta whose chunks are being fetched.
#[derive(Debug, Clone, Default)]
pub struct Transfer {
    /// Manifests of the replica's large values, by key.
    manifests: BTreeMap<String, Manifest>,
    chunks: BTreeMap<Digest, Bytes>,
    pending: Option<Pending>,
}

impl Transfer {
    /// Records rows that changed in the replica, which is now at `version`.
    pub fn record(&mut self, changed: &[fleet::RawRow], version: store_version::StoreVersion) {
        for row in changed {
            self.manifests.remove(&row.key);
            if let Some(value) = row.value.as_ref().filter(|value| chunk::is_large(value)) {
                let (manifest, chunks) = chunk::split(value);
                // Replaces chunks of an older value, which keep that value in memory.
                self.chunks.extend(chunks);
                self.manifests.insert(row.key.clone(), manifest);
            }
        }
        self.pending.take_if(|pending| pending.delta.version <= version);
        self.release_chunks();
    }

    /// Replaces the large values of a delta of the replica by their manifests.
    pub fn pack(&self, delta: replica::Delta) -> Delta {
        let pack = |row: fleet::RawRow| {
            let value = match (row.value, self.manifests.get(&row.key)) {
                (None, _) => Value::Removed,
                (Some(value), Some(manifest)) if chunk::is_large(&value) => {
                    Value::Split(manifest.clone())
                }
                (Some(value), _) => Value::Whole(value),
            };
            Row { key: row.key, version: row.version, value }
        };
        let rows = delta.rows.into_iter().map(pack).collect();
        Delta { is_whole: delta.is_whole, version: delta.version, rows }
    }

    /// Accepts a delta from `source` for a replica at `version`; returns it if it is complete, and
    /// otherwise waits for its chunks.
    pub fn accept(
        &mut self,
        delta: Delta,
        source: SocketAddr,
        version: store_version::StoreVersion,
    ) -> Option<replica::Delta> {
        if delta.version <= version && version > store_version::StoreVersion::default() {
            return None;
        }
        self.add_source(delta.version, source);
        if self.pending_version().is_some_and(|pending| pending >= delta.version) {
            return None;
        }
        let missing: BTreeSet<Digest> =
            digests(&delta).filter(|digest| !self.chunks.contains_key(digest)).collect();
        self.pending = Some(Pending { delta, missing, sources: vec![source] });
        self.release_chunks();
        self.take_complete()
    }

    /// Records that `source` has `version`, in case that version is being fetched.
    pub fn add_source(&mut self, version: store_version::StoreVersion, source: SocketAddr) {
        if let Some(pending) = &mut self.pending {
            let is_same = pending.delta.version == version;
            if is_same && !pending.sources.contains(&source) {
                pending.sources.push(source);
            }
        }
    }

    /// Version that is being fetched.
    pub fn pending_version(&self) -> Option<store_version::StoreVersion> {
        self.pending.as_ref().map(|pending| pending.delta.version)
    }

    /// Number of chunks that are still missing.
    pub fn missing_count(&self) -> usize {
        self.pending.as_ref().map_or(0, |pending| pending.missing.len())
    }

    /// Peers that have the version being fetched, in the order in which they were heard of.
    pub fn sources(&self) -> &[SocketAddr] {
        self.pending.as_ref().map_or(&[], |pending| &pending.sources)
    }

    /// Up to `max` missing chunks.
    pub fn wanted(&self, max: usize) -> Vec<Digest> {
        let missing = self.pending.iter().flat_map(|pending| &pending.missing);
        missing.take(max).copied().collect()
    }

    /// Stops fetching from `source` until it is heard of again.
    pub fn drop_source(&mut self, source: SocketAddr) {
        if let Some(pending) = &mut self.pending {
            pending.sources.retain(|known| *known != source);
        }
    }

    /// Records fetched chunks, and returns the delta if it is complete now. Chunks that are not
    /// missing are ignored.
    pub fn receive(&mut self, contents: Vec<Bytes>) -> Option<replica::Delta> {
        let pending = self.pending.as_mut()?;
        for content in contents {
            let digest = Digest::of(&content);
            if pending.missing.remove(&digest) {
                self.chunks.insert(digest, content);
            }
        }
        self.take_complete()
    }

    /// Content of a chunk that this replica has or has fetched.
    pub fn chunk(&self, digest: Digest) -> Option<&Bytes> {
        self.chunks.get(&digest)
    }

    fn take_complete(&mut self) -> Option<replica::Delta> {
        let pending = self.pending.take_if(|pending| pending.missing.is_empty())?;
        let unpack = |row: Row| {
            let value = match row.value {
                Value::Removed => None,
                Value::Whole(value) => Some(value),
                Value::Split(manifest) => {
                    Some(manifest.join(|digest| self.chunks.get(&digest).cloned())?)
                }
            };
            Some(fleet::RawRow { key: row.key, version: row.version, value })
        };
        let Delta { is_whole, version, rows } = pending.delta;
        let rows = rows.into_iter().map(unpack).collect::<Option<Vec<_>>>()?;
        Some(replica::Delta { is_whole, version, rows })
    }

    fn release_chunks(&mut self) {
        let pending = self.pending.iter().flat_map(|pending| digests(&pending.delta));
        let own = self.manifests.values().flat_map(Manifest::digests);
        let used: BTreeSet<Digest> = own.chain(pending).collect();
        self.chunks.retain(|digest, _| used.contains(digest));
    }
}

fn digests(delta: &Delta) -> impl Iterator<Item = Digest> {
    let manifests = delta.rows.iter().filter_map(|row| match &row.value {
        Value::Split(manifest) => Some(manifest),
        Value::Removed | Value::Whole(_) => None,
    });
    manifests.flat_map(Manifest::digests)
}
