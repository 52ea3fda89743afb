//! The transactional table: rows with revisions, moved by compare-and-set.

use std::sync::Arc;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::failure;

/// Name of a row: its table and its key within the table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: String,
    /// The key.
    pub key: String,
}

impl RowKey {
    /// Makes a row's name.
    pub fn new<T, K>(table: T, key: K) -> Self
    where
        T: Into<String>,
        K: Into<String>,
    {
        Self { table: table.into(), key: key.into() }
    }
}

/// A row as read; an absent row has revision 0 and no value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's name.
    pub name: RowKey,
    /// Its revision, raised by each write.
    pub revision: u64,
    /// Its value.
    pub value: Option<String>,
}

/// A row that must still have the given revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's name.
    pub name: RowKey,
    /// The expected revision; 0 means absent.
    pub revision: u64,
}

/// A row to write, or to remove when there is no value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's name.
    pub name: RowKey,
    /// The new value.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a check.
    pub fn check(mut self, name: RowKey, revision: u64) -> Self {
        self.checks.push(Check { name, revision });
        self
    }

    /// Adds a write.
    pub fn put(mut self, name: RowKey, value: String) -> Self {
        self.writes.push(Write { name, value: Some(value) });
        self
    }

    /// Adds a removal.
    pub fn remove(mut self, name: RowKey) -> Self {
        self.writes.push(Write { name, value: None });
        self
    }
}

/// Which rows to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// The named rows, also when absent.
    Rows(Vec<RowKey>),
    /// Present rows of one table in order of key.
    Scan(Scan),
}

/// A range of one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The table.
    pub table: String,
    /// Keys start with this.
    pub prefix: String,
    /// Keys come after this.
    pub after: String,
    /// At most this many rows.
    pub limit: usize,
}

type Call<I, O> = Arc<dyn Fn(I) -> BoxFuture<'static, Result<O, failure::Failure>> + Send + Sync>;

/// The table service.
#[derive(Clone)]
pub struct Table {
    commit: Call<Transaction, ()>,
    read: Call<Query, Vec<Row>>,
}

impl Table {
    /// Makes a table service of two closures.
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
    /// `Conflict` and `NotDone` mean that nothing was written; after `Unknown` the
    /// caller reads back.
    pub async fn commit(&self, transaction: Transaction) -> Result<(), failure::Failure> {
        (self.commit)(transaction).await
    }

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// Any failure means that nothing was learnt.
    pub async fn read(&self, query: Query) -> Result<Vec<Row>, failure::Failure> {
        (self.read)(query).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Any failure means that nothing was learnt.
    pub async fn row(&self, name: RowKey) -> Result<Row, failure::Failure> {
        let rows = self.read(Query::Rows(vec![name.clone()])).await?;
        Ok(rows.into_iter().next().unwrap_or(Row { name, revision: 0, value: None }))
    }
}
