//! The configuration log: one row per change, and a head row updated by compare-and-set.
//!
//! Platform reads may be stale; only the checks of a transaction are authoritative. The
//! newest state read is cached, so that a proposal reads only the changes since then.
//!
//! The row of a change is also its audit record, so that no change can be in force
//! without its entry in the audit trail.

use std::time::Duration;

use ibishill_config::{change, check, declared, finding, in_force};
use ibishill_core::{id, time};
use ibishill_platform::{Platform, failure, table};
use snafu::ResultExt;

use crate::error::{self, StateError};
use crate::snapshot;

mod recent;

pub(crate) const TABLE: &str = "config";
const HEAD: &str = "head";
pub(crate) const PAGE_SIZE: usize = 256;
const MAX_ATTEMPTS: u32 = 6;
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);

/// A change to the declarations that is to be committed.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Idempotency key of the change, chosen by the operator's client.
    pub id: id::ChangeId,
    /// The operator who makes the change.
    pub author: id::OperatorId,
    /// Name of the operation that was called.
    pub action: String,
    /// The version on which the proposal is based; `None` means the one in force.
    pub expected: Option<change::ConfigVersion>,
    /// The steps of the change, in order.
    pub steps: Vec<change::Step>,
}

/// The configuration log; clones share the cached state.
#[derive(Clone)]
pub struct Log {
    table: table::Table,
    snapshots: snapshot::Snapshots,
    newest: in_force::Cell,
    recent: recent::Recent,
}

fn head_row() -> table::RowKey {
    table::RowKey::new(TABLE, HEAD)
}

pub(crate) fn change_row(version: change::ConfigVersion) -> table::RowKey {
    table::RowKey::new(TABLE, format!("change/{:020}", version.0))
}

fn id_row(id: &id::ChangeId) -> table::RowKey {
    table::RowKey::new(TABLE, format!("id/{id}"))
}

pub(crate) fn decode<T>(row: &table::Row) -> Result<Option<T>, StateError>
where
    T: serde::de::DeserializeOwned,
{
    let Some(value) = &row.value else { return Ok(None) };
    serde_json::from_str(value).map(Some).map_err(|error| StateError::Malformed {
        name: row.name.key.clone(),
        detail: error.to_string(),
    })
}

pub(crate) fn encode<T>(value: &T) -> String
where
    T: serde::Serialize,
{
    serde_json::to_string(value).expect("declared types have text keys and always encode")
}

impl Log {
    /// Creates a log client with an empty cache.
    pub fn new(platform: &Platform) -> Self {
        let (table, objects) = (platform.table.clone(), platform.objects.clone());
        let snapshots = snapshot::Snapshots::new(table.clone(), objects);
        Self {
            table,
            snapshots,
            newest: in_force::Cell::default(),
            recent: recent::Recent::default(),
        }
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

    /// Reads one page of changes after `version`, oldest first; old changes are read from
    /// the archive.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row is malformed.
    pub async fn tail(
        &self,
        version: change::ConfigVersion,
    ) -> Result<Vec<change::Change>, StateError> {
        let rows = self.rows(version).await?;
        let follows = |change: &change::Change| change.version == version.next();
        if rows.first().is_none_or(follows) {
            return Ok(rows);
        }
        let archived = self.snapshots.archived_after(version).await?;
        Ok(if archived.first().is_some_and(follows) { archived } else { rows })
    }

    async fn rows(
        &self,
        version: change::ConfigVersion,
    ) -> Result<Vec<change::Change>, StateError> {
        let scan = table::Scan {
            table: TABLE.into(),
            prefix: "change/".into(),
            after: change_row(version).key,
            limit: PAGE_SIZE,
        };
        let rows = self.table.read(table::Query::Scan(scan)).await;
        let rows = rows.context(error::PlatformSnafu)?;
        rows.iter().filter_map(|row| decode(row).transpose()).collect()
    }

    /// Returns `current` with all newer changes applied, starting from the newest snapshot
    /// if the next changes have been archived.
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
            let tail = self.rows(next.version).await?;
            if tail.first().is_some_and(|change| change.version > next.version.next()) {
                next = self.skip_to_snapshot(&next).await?;
                continue;
            }
            let last = tail.len() < PAGE_SIZE;
            for change in tail {
                apply_next(&mut next, change.clone())?;
                self.recent.push(change);
            }
            if last {
                let _newer = self.newest.update_if_newer(next.clone());
                return Ok(next);
            }
        }
    }

    async fn skip_to_snapshot(
        &self,
        from: &in_force::InForce,
    ) -> Result<in_force::InForce, StateError> {
        let snapshot = self.snapshots.newest().await?;
        let newer = snapshot.filter(|snapshot| snapshot.version > from.version);
        newer.ok_or_else(|| StateError::Malformed {
            name: change_row(from.version.next()).key,
            detail: "the row is missing and no snapshot contains the change".into(),
        })
    }

    /// Returns the changes after `version` from memory, for a peer; `None` if there are none
    /// or the next one is no longer in memory.
    pub fn delta(&self, version: change::ConfigVersion) -> Option<Vec<change::Change>> {
        self.recent.after(version)
    }

    /// Returns `current` with the newer ones of a peer's changes applied.
    ///
    /// # Errors
    ///
    /// Fails if the changes have a gap.
    pub fn apply_delta(
        &self,
        current: &in_force::InForce,
        changes: Vec<change::Change>,
    ) -> Result<in_force::InForce, StateError> {
        let mut next = current.clone();
        for change in changes.into_iter().filter(|change| change.version > current.version) {
            apply_next(&mut next, change.clone())?;
            self.recent.push(change);
        }
        let _newer = self.newest.update_if_newer(next.clone());
        Ok(next)
    }

    /// Reads the head, and the changes only if the head is newer than `current`. Returns
    /// `None` if there is nothing newer.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or the log has a gap.
    pub async fn poll(
        &self,
        current: &in_force::InForce,
    ) -> Result<Option<in_force::InForce>, StateError> {
        if self.head().await? <= current.version {
            return Ok(None);
        }
        let next = self.catch_up(current).await?;
        Ok(Some(next).filter(|next| next.version > current.version))
    }

    /// Commits a proposal. Returns once the change is known to be committed; repeating the
    /// call with the same id is idempotent.
    ///
    /// # Errors
    ///
    /// `Conflict` contains the change that was committed first; after `Undecided` the same
    /// proposal, with the same id, should be sent again.
    pub async fn accept(
        &self,
        proposal: &Proposal,
        now: time::Tick,
    ) -> Result<change::Change, StateError> {
        let mut may_exist = false;
        let mut ahead = None;
        let mut backoff = INITIAL_BACKOFF;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_accept(proposal, now, &mut may_exist).await {
                Ok(Some(change)) => return Ok(change),
                Ok(None) => {}
                // An earlier attempt may have been committed, so this failure is not final.
                Err(StateError::Platform { .. } | StateError::Malformed { .. }) if may_exist => {}
                // The read may be older than the version that the operator has seen.
                Err(error @ StateError::Ahead { .. }) => ahead = Some(error),
                Err(error) => return Err(error),
            }
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
        Err(ahead.filter(|_| !may_exist).unwrap_or(StateError::Undecided))
    }

    async fn try_accept(
        &self,
        proposal: &Proposal,
        now: time::Tick,
        may_exist: &mut bool,
    ) -> Result<Option<change::Change>, StateError> {
        if let Some(committed) = self.find(&proposal.id).await? {
            return ensure_same(committed, proposal).map(Some);
        }
        let current = self.catch_up(&self.newest.get()).await?;
        if let Some(expected) = proposal.expected.filter(|e| *e != current.version) {
            if expected > current.version {
                return Err(StateError::Ahead { expected, newest: current.version });
            }
            return self.resolve_conflict(proposal, expected, current.version).await;
        }
        let change = prepare(&current, proposal, now)?;
        match self.append(&change, &current).await {
            Ok(()) => {
                self.maintain(&current, &change).await;
                Ok(Some(change))
            }
            Err(failure::Failure::Conflict { .. }) => Ok(None),
            Err(failure::Failure::Unknown { .. }) => {
                *may_exist = true;
                Ok(None)
            }
            Err(source) => Err(StateError::Platform { source }),
        }
    }

    // Caches the new state and, every few changes, writes a snapshot if one is due. A failed
    // snapshot doesn't fail the change: a later change retries it.
    async fn maintain(&self, before: &in_force::InForce, change: &change::Change) {
        let mut current = before.clone();
        if apply_next(&mut current, change.clone()).is_ok() {
            let _newer = self.newest.update_if_newer(current.clone());
            if change.version.0.is_multiple_of(snapshot::INTERVAL_CHANGES / 8) {
                let _later = self.snapshots.maintain(&current).await;
            }
        }
    }

    // Decides a proposal whose expected version is outdated: a conflict, unless the change
    // after that version is the proposal itself. Reads may be stale, so a missing row means
    // another attempt (`None`).
    async fn resolve_conflict(
        &self,
        proposal: &Proposal,
        expected: change::ConfigVersion,
        newest: change::ConfigVersion,
    ) -> Result<Option<change::Change>, StateError> {
        match self.change(expected.next()).await? {
            Some(first) if first.id == proposal.id => {
                return ensure_same(first, proposal).map(Some);
            }
            Some(_) => {}
            None => return Ok(None),
        }
        let Some(winner) = self.change(newest).await? else { return Ok(None) };
        Err(StateError::Conflict { expected, winner: Box::new(winner) })
    }

    async fn append(
        &self,
        change: &change::Change,
        current: &in_force::InForce,
    ) -> Result<(), failure::Failure> {
        let head = self.table.row(head_row()).await?;
        let newest: change::ConfigVersion = decode(&head).ok().flatten().unwrap_or_default();
        if newest != current.version {
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

    /// Returns the change with this id, or `None` if there is none.
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
        if let Some(change) = decode(&row)? {
            return Ok(Some(change));
        }
        let before = change::ConfigVersion(version.0.saturating_sub(1));
        let archived = self.snapshots.archived_after(before).await?;
        Ok(archived.into_iter().find(|change| change.version == version))
    }
}

fn ensure_same(
    committed: change::Change,
    proposal: &Proposal,
) -> Result<change::Change, StateError> {
    if committed.steps == proposal.steps && committed.author == proposal.author {
        return Ok(committed);
    }
    Err(StateError::IdReused { id: proposal.id.clone() })
}

fn prepare(
    current: &in_force::InForce,
    proposal: &Proposal,
    now: time::Tick,
) -> Result<change::Change, StateError> {
    let mut next = current.declared.clone();
    for step in proposal.steps.clone() {
        change::apply(&mut next, step);
    }
    validate(&next)?;
    Ok(change::Change {
        version: current.version.next(),
        id: proposal.id.clone(),
        author: proposal.author.clone(),
        at: now,
        action: proposal.action.clone(),
        steps: proposal.steps.clone(),
    })
}

fn validate(next: &declared::Declared) -> Result<(), StateError> {
    let findings = check::declared("declarations", next);
    if findings.is_empty() {
        return Ok(());
    }
    Err(StateError::Invalid { source: finding::Findings { findings } })
}

/// Applies the next change of the log to `next`.
///
/// # Errors
///
/// Fails if `change` is not of the version directly after that of `next`.
pub fn apply_next(next: &mut in_force::InForce, change: change::Change) -> Result<(), StateError> {
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
