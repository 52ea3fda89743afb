//! The configuration log: a head moved by compare-and-set, one row per change.
//!
//! The row of a change is its audit row too, so that no change can be in force
//! without its entry in the audit trail.

use ibishill_config::{change, check, declared, finding, in_force};
use ibishill_core::{id, time};
use ibishill_platform::{failure, table};
use snafu::ResultExt;

use crate::error::{self, StateError};

const TABLE: &str = "config";
const HEAD: &str = "head";
const TAIL_LIMIT: usize = 256;
const READ_BACK_TRIES: u32 = 5;

/// An order to change the declarations.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Chosen by the operator's client.
    pub id: id::ChangeId,
    /// Who orders.
    pub author: id::OperatorId,
    /// What was called.
    pub action: String,
    /// The version that the order is based on; none means whichever is in force.
    pub expected: Option<change::ConfigVersion>,
    /// The steps.
    pub steps: Vec<change::Step>,
}

/// The log in the platform's table.
#[derive(Clone)]
pub struct Log {
    table: table::Table,
}

fn head_row() -> table::RowKey {
    table::RowKey::new(TABLE, HEAD)
}

fn change_row(version: change::ConfigVersion) -> table::RowKey {
    table::RowKey::new(TABLE, format!("change/{:020}", version.0))
}

fn id_row(id: &id::ChangeId) -> table::RowKey {
    table::RowKey::new(TABLE, format!("id/{id}"))
}

fn decode<T>(row: &table::Row) -> Result<Option<T>, StateError>
where
    T: serde::de::DeserializeOwned,
{
    let Some(value) = &row.value else { return Ok(None) };
    serde_json::from_str(value).map(Some).map_err(|error| StateError::Malformed {
        name: row.name.key.clone(),
        detail: error.to_string(),
    })
}

fn encode<T>(value: &T) -> String
where
    T: serde::Serialize,
{
    serde_json::to_string(value).expect("declared types have text keys and always encode")
}

impl Log {
    /// Opens the log.
    pub fn new(table: table::Table) -> Self {
        Self { table }
    }

    /// Reads the version of the newest change.
    ///
    /// # Errors
    ///
    /// Fails if the platform does.
    pub async fn head(&self) -> Result<change::ConfigVersion, StateError> {
        let row = self.table.row(head_row()).await.context(error::PlatformSnafu)?;
        Ok(decode(&row)?.unwrap_or_default())
    }

    /// Reads changes after `version`, oldest first, at most a page of them.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row is malformed.
    pub async fn tail(
        &self,
        version: change::ConfigVersion,
    ) -> Result<Vec<change::Change>, StateError> {
        let scan = table::Scan {
            table: TABLE.into(),
            prefix: "change/".into(),
            after: change_row(version).key,
            limit: TAIL_LIMIT,
        };
        let rows = self.table.read(table::Query::Scan(scan)).await;
        let rows = rows.context(error::PlatformSnafu)?;
        rows.iter().filter_map(|row| decode(row).transpose()).collect()
    }

    /// Brings `current` up to the newest change.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or the log has a gap.
    pub async fn catch_up(
        &self,
        current: &in_force::InForce,
    ) -> Result<in_force::InForce, StateError> {
        let mut next = current.clone();
        loop {
            let tail = self.tail(next.version).await?;
            let last = tail.len() < TAIL_LIMIT;
            for change in tail {
                follow(&mut next, change)?;
            }
            if last {
                return Ok(next);
            }
        }
    }

    /// Accepts an order: returns only once the change is known to have taken effect.
    ///
    /// # Errors
    ///
    /// `Conflict` names the change that came first; `Undecided` means that the same
    /// order, with the same id, should be sent again.
    pub async fn accept(
        &self,
        order: &Order,
        now: time::Tick,
    ) -> Result<change::Change, StateError> {
        for _ in 0..READ_BACK_TRIES {
            if let Some(done) = self.find(&order.id).await? {
                return same_order(done, order);
            }
            let current = self.catch_up(&in_force::InForce::default()).await?;
            if let Some(expected) = order.expected.filter(|e| *e != current.version) {
                return Err(self.conflict(expected, current.version).await?);
            }
            let change = prepare(&current, order, now)?;
            match self.append(&change, &current).await {
                Ok(()) => return Ok(change),
                // The next round reads back what happened.
                Err(failure::Failure::Conflict { .. } | failure::Failure::Unknown { .. }) => {}
                Err(source) => return Err(StateError::Platform { source }),
            }
        }
        Err(StateError::Undecided)
    }

    async fn append(
        &self,
        change: &change::Change,
        current: &in_force::InForce,
    ) -> Result<(), failure::Failure> {
        let head = self.table.row(head_row()).await?;
        let read: change::ConfigVersion = decode(&head).ok().flatten().unwrap_or_default();
        if read != current.version {
            return Err(failure::Failure::Conflict { rows: vec![head] });
        }
        let transaction = table::Transaction::default()
            .check(head_row(), head.revision)
            .check(id_row(&change.id), 0)
            .put(head_row(), encode(&change.version))
            .put(change_row(change.version), encode(change))
            .put(id_row(&change.id), encode(&change.version));
        self.table.commit(transaction).await
    }

    /// Finds the change that an id has made.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row is malformed.
    pub async fn find(&self, id: &id::ChangeId) -> Result<Option<change::Change>, StateError> {
        let row = self.table.row(id_row(id)).await.context(error::PlatformSnafu)?;
        match decode::<change::ConfigVersion>(&row)? {
            Some(version) => self.change(version).await,
            None => Ok(None),
        }
    }

    async fn change(
        &self,
        version: change::ConfigVersion,
    ) -> Result<Option<change::Change>, StateError> {
        let row = self.table.row(change_row(version)).await.context(error::PlatformSnafu)?;
        decode(&row)
    }

    async fn conflict(
        &self,
        expected: change::ConfigVersion,
        newest: change::ConfigVersion,
    ) -> Result<StateError, StateError> {
        let winner = self.change(newest).await?;
        let malformed = || StateError::Malformed {
            name: change_row(newest).key,
            detail: "the row is missing".into(),
        };
        let winner = Box::new(winner.ok_or_else(malformed)?);
        Ok(StateError::Conflict { expected, winner })
    }
}

fn same_order(done: change::Change, order: &Order) -> Result<change::Change, StateError> {
    if done.steps == order.steps && done.author == order.author {
        return Ok(done);
    }
    Err(StateError::IdReused { id: order.id.clone() })
}

fn prepare(
    current: &in_force::InForce,
    order: &Order,
    now: time::Tick,
) -> Result<change::Change, StateError> {
    let mut next = current.declared.clone();
    for step in order.steps.clone() {
        change::apply(&mut next, step);
    }
    validate(&next)?;
    Ok(change::Change {
        version: current.version.next(),
        id: order.id.clone(),
        author: order.author.clone(),
        at: now,
        action: order.action.clone(),
        steps: order.steps.clone(),
    })
}

fn validate(next: &declared::Declared) -> Result<(), StateError> {
    let findings = check::check("declarations", next);
    if findings.is_empty() {
        return Ok(());
    }
    Err(StateError::Invalid { source: finding::Findings { findings } })
}

/// Applies the next change of the log.
///
/// # Errors
///
/// Fails if `change` does not follow directly.
pub fn follow(next: &mut in_force::InForce, change: change::Change) -> Result<(), StateError> {
    if change.version != next.version.next() {
        return Err(StateError::Malformed {
            name: change_row(change.version).key,
            detail: format!("it does not follow version {}", next.version),
        });
    }
    next.version = change.version;
    for step in change.steps {
        change::apply(&mut next.declared, step);
    }
    Ok(())
}
