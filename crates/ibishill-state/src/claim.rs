//! Claims of calls that may not be repeated.
//!
//! A claim row is created before dispatch. Whoever created it, told by its own
//! nonce, may dispatch; every other copy of the idempotency key learns the
//! recorded outcome or that the call is in progress. Claims of many requests
//! share one transaction.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use ibishill_core::{header, id, outcome, time};
use ibishill_platform::{failure, table};
use serde::{Deserialize, Serialize};
use sha2::Digest;
use snafu::Snafu;

const TABLE: &str = "claim";
const MAX_ATTEMPTS: u32 = 4;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest answer that is kept for a later copy, in bytes.
pub const MAX_BODY_BYTES: usize = 32 * 1024;

/// SHA-256 of a request's method, path and body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Hashes the parts of a request, each with its length.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = sha2::Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hex(&hash.finalize()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// What tells one claimant from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A claim to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The workspace; keys of different workspaces never meet.
    pub workspace: id::WorkspaceId,
    /// The caller's idempotency key.
    pub key: String,
    /// Hash of the request, so that a key can't be used for another one.
    pub fingerprint: Fingerprint,
    /// The request.
    pub request: id::RequestId,
    /// Chosen at random by the claimant.
    pub nonce: Nonce,
    /// Wall-clock time of the claim.
    pub at: time::Tick,
}

/// What is kept of a call that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// The request that ran.
    pub request: id::RequestId,
    /// Whether it ran, or may have.
    pub outcome: outcome::Outcome,
    /// The answer, if it was whole.
    pub answer: Option<Answer>,
}

/// What is kept of a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// What ran.
    pub target: id::Target,
    /// Where it ran.
    pub zone: id::ZoneId,
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Headers of the endpoint that pass to the caller.
    pub headers: Vec<header::Header>,
    /// The body, if it is text of at most [`MAX_KEPT_BYTES`].
    pub body: Option<String>,
}

/// How a won claim ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The call ran or may have run.
    Recorded(Recorded),
    /// No byte of the call has left: a later copy may run.
    Abandoned,
}

/// The verdict on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant may dispatch.
    Won,
    /// Another copy has ended like this.
    Recorded(Recorded),
    /// Another copy runs.
    InProgress,
    /// Another copy was claimed long ago and its end was never recorded.
    Lapsed,
    /// The key was used with a different request.
    Reused,
}

/// The platform could not decide the claim: the call must not be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the claim could not be recorded: {detail}"))]
pub struct Undecided {
    /// What was seen.
    pub detail: String,
    /// Whether a row of this claimant may stand, or come to stand.
    pub may_exist: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Entry {
    nonce: Nonce,
    request: id::RequestId,
    fingerprint: Fingerprint,
    at: time::Tick,
    ending: Option<Recorded>,
}

/// Time spans of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Age after which an unfinished claim counts as lapsed.
    pub lapse_after: time::Millis,
    /// Age after which a claim may be removed; a key may then be used anew.
    pub remove_after: time::Millis,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            lapse_after: time::Millis::from_secs(600),
            remove_after: time::Millis::from_secs(24 * 3_600),
        }
    }
}

/// Claims in the platform's table.
#[derive(Clone)]
pub struct Claims {
    table: table::Table,
    timeouts: Timeouts,
}

fn row(claim: &Claim) -> table::RowKey {
    let digest = sha2::Sha256::digest(claim.key.as_bytes());
    table::RowKey::new(TABLE, format!("{}/{}", claim.workspace, hex(&digest)))
}

fn encode(entry: &Entry) -> String {
    serde_json::to_string(entry).expect("an entry always encodes")
}

fn decode(row: &table::Row) -> Option<Entry> {
    serde_json::from_str(row.value.as_deref()?).ok()
}

impl Claims {
    /// Opens the claims.
    pub fn new(table: table::Table, spans: Timeouts) -> Self {
        Self { table, timeouts: spans }
    }

    /// Decides a group of claims in as few transactions as possible.
    ///
    /// The results stand in the order of `claims`. At most one claimant of a key ever
    /// gets [`Verdict::Won`] until the claim is abandoned or removed by age.
    pub async fn claim(&self, claims: &[Claim]) -> Vec<Result<Verdict, Undecided>> {
        let mut group = Batch::new(claims);
        let mut tries = 0;
        while !group.undecided.is_empty() {
            match self.table.commit(group.transaction(claims)).await {
                Ok(()) => group.win_all(),
                Err(failure::Failure::Conflict { rows }) => {
                    group.evaluate(claims, &rows, self.timeouts);
                    continue;
                }
                Err(failure) => {
                    group.may_exist |= matches!(failure, failure::Failure::Unknown { .. });
                    group.detail = failure.to_string();
                }
            }
            tries += 1;
            if group.undecided.is_empty() || tries == MAX_ATTEMPTS {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        group.results(claims)
    }

    /// Records how won claims ended, in one transaction.
    ///
    /// # Errors
    ///
    /// Fails if it is not known to be recorded; the call may be repeated.
    pub async fn finish(&self, ended: &[(Claim, Ending)]) -> Result<(), failure::Failure> {
        let names = ended.iter().map(|(claim, _)| row(claim)).collect();
        let rows = self.table.read(table::Query::Rows(names)).await?;
        let mut transaction = table::Transaction::default();
        for ((claim, ending), found) in ended.iter().zip(&rows) {
            let Some(mut entry) = decode(found) else { continue };
            // A row of another claimant, or one that was settled before, stays as it is.
            if entry.nonce != claim.nonce || entry.ending.is_some() {
                continue;
            }
            transaction = transaction.check(found.name.clone(), found.revision);
            transaction = match ending {
                Ending::Abandoned => transaction.remove(found.name.clone()),
                Ending::Recorded(recorded) => {
                    entry.ending = Some(recorded.clone());
                    transaction.put(found.name.clone(), encode(&entry))
                }
            };
        }
        if transaction.writes.is_empty() {
            return Ok(());
        }
        self.table.commit(transaction).await
    }

    /// Removes claims past their age from one page; returns where the next page starts.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the page may be swept again.
    pub async fn sweep(
        &self,
        after: String,
        limit: usize,
        now: time::Tick,
    ) -> Result<Option<String>, failure::Failure> {
        let scan = table::Scan { table: TABLE.into(), prefix: String::new(), after, limit };
        let rows = self.table.read(table::Query::Scan(scan)).await?;
        let old = |row: &&table::Row| {
            decode(row).is_none_or(|entry| now.since(entry.at) > self.timeouts.remove_after)
        };
        let mut transaction = table::Transaction::default();
        for row in rows.iter().filter(old) {
            transaction = transaction.check(row.name.clone(), row.revision);
            transaction = transaction.remove(row.name.clone());
        }
        if !transaction.writes.is_empty() {
            self.table.commit(transaction).await?;
        }
        let full = rows.len() == limit;
        Ok(rows.into_iter().last().filter(|_| full).map(|row| row.name.key))
    }
}

/// A group of claims on its way through the table.
struct Batch {
    /// Indexes of claims that are not decided yet, one per row.
    undecided: Vec<usize>,
    /// Index of the first claim of each row.
    first: BTreeMap<table::RowKey, usize>,
    verdicts: BTreeMap<usize, Verdict>,
    may_exist: bool,
    detail: String,
}

impl Batch {
    fn new(claims: &[Claim]) -> Self {
        let mut first = BTreeMap::new();
        for (index, claim) in claims.iter().enumerate() {
            first.entry(row(claim)).or_insert(index);
        }
        let open = first.values().copied().collect::<BTreeSet<_>>().into_iter().collect();
        Self {
            undecided: open,
            first,
            verdicts: BTreeMap::new(),
            may_exist: false,
            detail: String::new(),
        }
    }

    fn transaction(&self, claims: &[Claim]) -> table::Transaction {
        let mut transaction = table::Transaction::default();
        for claim in self.undecided.iter().map(|&index| &claims[index]) {
            let entry = Entry {
                nonce: claim.nonce,
                request: claim.request.clone(),
                fingerprint: claim.fingerprint.clone(),
                at: claim.at,
                ending: None,
            };
            transaction = transaction.check(row(claim), 0).put(row(claim), encode(&entry));
        }
        transaction
    }

    fn win_all(&mut self) {
        for index in self.undecided.drain(..) {
            self.verdicts.insert(index, Verdict::Won);
        }
    }

    fn evaluate(&mut self, claims: &[Claim], rows: &[table::Row], spans: Timeouts) {
        for found in rows {
            let Some(&index) = self.first.get(&found.name) else { continue };
            let verdict = evaluate(&claims[index], found, spans);
            self.verdicts.insert(index, verdict);
            self.undecided.retain(|&open| open != index);
        }
    }

    fn results(&self, claims: &[Claim]) -> Vec<Result<Verdict, Undecided>> {
        let each = claims.iter().enumerate();
        each.map(|(index, claim)| self.result(index, claim, claims)).collect()
    }

    fn result(&self, index: usize, claim: &Claim, claims: &[Claim]) -> Result<Verdict, Undecided> {
        let first = self.first[&row(claim)];
        let verdict = self.verdicts.get(&first).cloned().ok_or_else(|| Undecided {
            detail: self.detail.clone(),
            may_exist: self.may_exist && first == index,
        })?;
        if first == index {
            return Ok(verdict);
        }
        // A second copy within the group stands behind the first.
        if claims[first].fingerprint != claim.fingerprint {
            return Ok(Verdict::Reused);
        }
        Ok(if verdict == Verdict::Won { Verdict::InProgress } else { verdict })
    }
}

fn evaluate(claim: &Claim, found: &table::Row, spans: Timeouts) -> Verdict {
    let Some(entry) = decode(found) else { return Verdict::Lapsed };
    // An earlier try of this claimant took effect although its answer was lost.
    if entry.nonce == claim.nonce && entry.ending.is_none() {
        return Verdict::Won;
    }
    if entry.fingerprint != claim.fingerprint {
        return Verdict::Reused;
    }
    match entry.ending {
        Some(recorded) => Verdict::Recorded(recorded),
        None if claim.at.since(entry.at) > spans.lapse_after => Verdict::Lapsed,
        None => Verdict::InProgress,
    }
}
