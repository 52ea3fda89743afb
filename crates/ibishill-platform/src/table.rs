//! Transactional tables: rows with revisions, updated by compare-and-set.

use std::sync::Arc;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::failure;

/// Identifies a row by its table and its key within the table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// Name of the table.
    pub table: String,
    /// Key within the table.
    pub key: String,
}

impl RowKey {
    /// Creates a row key.
    pub fn new<T, K>(table: T, key: K) -> Self
    where
        T: Into<String>,
        K: Into<String>,
    {
        Self { table: table.into(), key: key.into() }
    }
}

/// A row as read from a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Table and key.
    pub name: RowKey,
    /// Revision, which each write increases; 0 if the row is absent.
    pub revision: u64,
    /// Value; `None` if the row is absent.
    pub value: Option<String>,
}

/// A precondition: the row must still have the given revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Table and key.
    pub name: RowKey,
    /// The expected revision; 0 means that the row must be absent.
    pub revision: u64,
}

/// A write to one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Table and key.
    pub name: RowKey,
    /// The new value; `None` removes the row.
    pub value: Option<String>,
}

/// A set of writes that is applied atomically if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions of all writes.
    pub checks: Vec<Check>,
    /// Rows to write or remove.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a check that the row has `revision`.
    pub fn check(mut self, name: RowKey, revision: u64) -> Self {
        self.checks.push(Check { name, revision });
        self
    }

    /// Adds a write.
    pub fn put(mut self, name: RowKey, value: String) -> Self {
        self.writes.push(Write { name, value: Some(value) });
        self
    }

    /// Adds a write that removes the row.
    pub fn remove(mut self, name: RowKey) -> Self {
        self.writes.push(Write { name, value: None });
        self
    }
}

/// Selects the rows to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// The rows of these keys, absent ones included.
    Rows(Vec<RowKey>),
    /// Existing rows of one table, in key order.
    Scan(Scan),
}

/// A key range of one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Name of the table.
    pub table: String,
    /// Prefix that all returned keys have.
    pub prefix: String,
    /// Exclusive lower bound of the returned keys.
    pub after: String,
    /// Maximum number of rows returned.
    pub limit: usize,
}

type Call<I, O> = Arc<dyn Fn(I) -> BoxFuture<'static, Result<O, failure::Failure>> + Send + Sync>;

/// Client of the table service.
#[derive(Clone)]
pub struct Table {
    commit: Call<Transaction, ()>,
    read: Call<Query, Vec<Row>>,
}

impl Table {
    /// Creates a client from two closures: commit and read.
    pub fn new<C, R>(commit: C, read: R) -> Self
    where
        C: Fn(Transaction) -> BoxFuture<'static, Result<(), failure::Failure>>
            + Send
            + Sync
            + 'static,
        R: Fn(Query) -> BoxFuture<'static, Result<Vec<Row>, failure::Failure>>
            + Send
            + Sync
            + 'static,
    {
        Self { commit: Arc::new(commit), read: Arc::new(read) }
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// `Conflict` and `NotApplied` mean that nothing was written; after `Unknown` the
    /// caller has to read the rows to learn whether the writes took effect.
    pub async fn commit(&self, transaction: Transaction) -> Result<(), failure::Failure> {
        (self.commit)(transaction).await
    }

    /// Reads the rows that a query selects.
    ///
    /// # Errors
    ///
    /// Returns the platform's failure; there is no partial result.
    pub async fn read(&self, query: Query) -> Result<Vec<Row>, failure::Failure> {
        (self.read)(query).await
    }

    /// Reads one row, which may be absent.
    ///
    /// # Errors
    ///
    /// Returns the platform's failure.
    pub async fn row(&self, name: RowKey) -> Result<Row, failure::Failure> {
        let rows = self.read(Query::Rows(vec![name.clone()])).await?;
        Ok(rows.into_iter().next().unwrap_or(Row { name, revision: 0, value: None }))
    }
}
