//! Claims on idempotency keys, which keep non-idempotent calls from running twice.
//!
//! A claim row is created before dispatch. The claimant whose nonce is in the row may
//! dispatch; any other request with the same idempotency key gets the recorded outcome,
//! or learns that the call is in progress. Claims of many requests share one transaction.

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

/// Largest answer body that is recorded for duplicate requests, in bytes.
pub const MAX_BODY_BYTES: usize = 32 * 1024;

/// SHA-256 of a request's service (empty unless it calls a plain service), method, path, content type and
/// body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Hashes the parts of a request. Each part is prefixed with its length, so that moving
    /// bytes between parts changes the hash.
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

/// Random number that identifies a claimant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Workspace that scopes the key.
    pub workspace: id::WorkspaceId,
    /// The caller's idempotency key.
    pub key: String,
    /// Hash of the request, to reject reuse of the key with a different request.
    pub fingerprint: Fingerprint,
    /// Id of the request.
    pub request: id::RequestId,
    /// Random number chosen by the claimant.
    pub nonce: Nonce,
    /// Wall-clock time of the claim.
    pub at: time::Tick,
}

/// Recorded result of a call that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Id of the request that ran.
    pub request: id::RequestId,
    /// Whether the call ran or may have run.
    pub outcome: outcome::Outcome,
    /// The answer; `None` if it was not complete.
    pub answer: Option<Answer>,
}

/// Recorded part of a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The model version or service that answered.
    pub target: id::Target,
    /// Availability zone in which the call ran.
    pub zone: id::ZoneId,
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content: String,
    /// Response headers of the endpoint that are forwarded to the caller.
    pub headers: Vec<header::Header>,
    /// The body; `None` if it is not text or is longer than [`MAX_BODY_BYTES`].
    pub body: Option<String>,
}

/// How the call of a won claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The call ran or may have run.
    Recorded(Recorded),
    /// No byte of the call was sent, so that a duplicate request may run.
    Abandoned,
}

/// Decision on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant may dispatch.
    Won,
    /// Another request with this key has ended with this result.
    Recorded(Recorded),
    /// Another request with this key is in progress.
    InProgress,
    /// Another request with this key made its claim longer than [`Timeouts::lapse_after`] ago
    /// and no result was recorded, or the claim row can't be decoded.
    Lapsed,
    /// The key was already used with a different request.
    Reused,
}

/// The platform could not decide the claim: the call must not be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the claim could not be recorded: {detail}"))]
pub struct Undecided {
    /// Cause, such as the failure of the platform call.
    pub detail: String,
    /// Whether the claim row may exist, or may still be created by a delayed write.
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

/// Ages at which claims lapse and are removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Age after which a claim without a recorded result counts as lapsed.
    pub lapse_after: time::Millis,
    /// Age after which a claim may be removed, which makes its key usable again.
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

/// Client of the claim rows in the platform's table.
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
    serde_json::to_string(entry).expect("claim entries always encode")
}

fn decode(row: &table::Row) -> Option<Entry> {
    serde_json::from_str(row.value.as_deref()?).ok()
}

impl Claims {
    /// Creates a client of the claim rows in `table`.
    pub fn new(table: table::Table, timeouts: Timeouts) -> Self {
        Self { table, timeouts }
    }

    /// Decides a batch of claims in as few transactions as possible.
    ///
    /// The results are in the order of `claims`. At most one claimant of a key gets
    /// [`Verdict::Won`] until the claim is abandoned or removed because of its age.
    pub async fn claim(&self, claims: &[Claim]) -> Vec<Result<Verdict, Undecided>> {
        let mut batch = Batch::new(claims);
        let mut attempts = 0;
        while !batch.undecided.is_empty() {
            match self.table.commit(batch.transaction(claims)).await {
                Ok(()) => batch.win_all(),
                Err(failure::Failure::Conflict { rows }) => {
                    batch.evaluate(claims, &rows, self.timeouts);
                    continue;
                }
                Err(failure) => {
                    batch.may_exist |= matches!(failure, failure::Failure::Unknown { .. });
                    batch.detail = failure.to_string();
                }
            }
            attempts += 1;
            if batch.undecided.is_empty() || attempts == MAX_ATTEMPTS {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        batch.results(claims)
    }

    /// Records how the calls of won claims ended, in one transaction.
    ///
    /// # Errors
    ///
    /// Fails if the platform does. The endings may have been recorded nevertheless; the call
    /// can be retried.
    pub async fn finish(&self, ended: &[(Claim, Ending)]) -> Result<(), failure::Failure> {
        let names = ended.iter().map(|(claim, _)| row(claim)).collect();
        let rows = self.table.read(table::Query::Rows(names)).await?;
        let mut transaction = table::Transaction::default();
        for ((claim, ending), found) in ended.iter().zip(&rows) {
            let Some(mut entry) = decode(found) else { continue };
            // Rows of other claimants, and rows with a recorded ending, are not changed.
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

    /// Removes expired claims, and rows that can't be decoded, from the page of `limit` rows
    /// after key `after`. Returns the key after which the next page starts, or `None` after
    /// the last page.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the page can be swept again.
    pub async fn sweep(
        &self,
        after: String,
        limit: usize,
        now: time::Tick,
    ) -> Result<Option<String>, failure::Failure> {
        let scan = table::Scan { table: TABLE.into(), prefix: String::new(), after, limit };
        let rows = self.table.read(table::Query::Scan(scan)).await?;
        let is_expired = |row: &&table::Row| {
            decode(row).is_none_or(|entry| now.since(entry.at) > self.timeouts.remove_after)
        };
        let mut transaction = table::Transaction::default();
        for row in rows.iter().filter(is_expired) {
            transaction = transaction.check(row.name.clone(), row.revision);
            transaction = transaction.remove(row.name.clone());
        }
        if !transaction.writes.is_empty() {
            self.table.commit(transaction).await?;
        }
        let has_more = rows.len() == limit;
        Ok(rows.into_iter().last().filter(|_| has_more).map(|row| row.name.key))
    }
}

/// A batch of claims that is being decided.
struct Batch {
    /// Indexes of undecided claims, one per row.
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
        let undecided = first.values().copied().collect::<BTreeSet<_>>().into_iter().collect();
        Self {
            undecided,
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

    fn evaluate(&mut self, claims: &[Claim], rows: &[table::Row], timeouts: Timeouts) {
        for found in rows {
            let Some(&index) = self.first.get(&found.name) else { continue };
            let verdict = evaluate(&claims[index], found, timeouts);
            self.verdicts.insert(index, verdict);
            self.undecided.retain(|&other| other != index);
        }
    }

    fn results(&self, claims: &[Claim]) -> Vec<Result<Verdict, Undecided>> {
        let indexed = claims.iter().enumerate();
        indexed.map(|(index, claim)| self.result(index, claim, claims)).collect()
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
        // Of several claims on one key in a batch, only the first can win.
        if claims[first].fingerprint != claim.fingerprint {
            return Ok(Verdict::Reused);
        }
        Ok(if verdict == Verdict::Won { Verdict::InProgress } else { verdict })
    }
}

fn evaluate(claim: &Claim, found: &table::Row, timeouts: Timeouts) -> Verdict {
    let Some(entry) = decode(found) else { return Verdict::Lapsed };
    // An earlier attempt of this claimant took effect although its answer was lost.
    if entry.nonce == claim.nonce && entry.ending.is_none() {
        return Verdict::Won;
    }
    if entry.fingerprint != claim.fingerprint {
        return Verdict::Reused;
    }
    match entry.ending {
        Some(recorded) => Verdict::Recorded(recorded),
        None if claim.at.since(entry.at) > timeouts.lapse_after => Verdict::Lapsed,
        None => Verdict::InProgress,
    }
}
