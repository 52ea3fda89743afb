//! Splits large values into chunks at boundaries that depend on their content.
//!
//! A change moves only the boundaries next to it, so two versions of a value share most chunks,
//! and a peer that has one version needs only a few chunks of the other.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use bytes::Bytes;
use fastcdc::v2020::FastCDC;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Size from which on a value is split, in bytes; a smaller one costs little more than its chunks'
/// digests.
const SPLIT_MIN: usize = 16 * 1_024;

/// Minimum size of a chunk, in bytes.
const CHUNK_MIN: usize = 1_024;

/// Average size of a chunk, in bytes: a change sends one or two of them and the digests of all.
const CHUNK_AVERAGE: usize = 4 * 1_024;

/// Maximum size of a chunk, in bytes.
const CHUNK_MAX: usize = 16 * 1_024;

/// Digest of a chunk's content. It detects accidental changes only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(xxh3::xxh3_128(content).to_be_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for Digest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(|value| Self(value.to_be_bytes()))
    }
}

/// Digests of a value's chunks, in order; one may occur several times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest(Vec<Digest>);

impl Manifest {
    /// Iterates over the digests in order.
    pub fn digests(&self) -> impl Iterator<Item = Digest> {
        self.0.iter().copied()
    }

    /// Joins the value's chunks, which `chunk` returns by their digests; none if one is missing.
    pub fn join<F>(&self, chunk: F) -> Option<Bytes>
    where
        F: Fn(Digest) -> Option<Bytes>,
    {
        let contents = self.digests().map(chunk).collect::<Option<Vec<_>>>()?;
        Some(Bytes::from(contents.concat()))
    }
}

/// Whether a value is large enough to be split.
pub const fn is_large(value: &Bytes) -> bool {
    value.len() >= SPLIT_MIN
}

/// Splits a value; the chunks share its memory.
pub fn split(value: &Bytes) -> (Manifest, Vec<(Digest, Bytes)>) {
    let mut manifest = Manifest::default();
    let mut contents = Vec::new();
    for found in FastCDC::new(value, CHUNK_MIN, CHUNK_AVERAGE, CHUNK_MAX) {
        let content = value.slice(found.offset..found.offset + found.length);
        let digest = Digest::of(&content);
        manifest.0.push(digest);
        contents.push((digest, content));
    }
    (manifest, contents)
}
