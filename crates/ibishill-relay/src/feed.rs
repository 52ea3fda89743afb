//! Reads the store's tables and follows their change feeds by long polling.
//!
//! Calls are billed, and each change ends every pending poll, so a few daemons read and pass rows
//! on to their peers; the others read only if confirmations are overdue.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use ibishill_adapter::error::DecodeError;
use ibishill_adapter::store;
use ibishill_core::{event, fleet, id, store_version, time};
use ibishill_decide::readers;
use ibishill_state::{confirmation, replica};
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::state::Table;
use crate::{gossip, store_answer, upstream};

/// Time beyond the poll's own wait after which a call is abandoned, since its connection may be
/// dead. Reads of a whole table do not wait, so this is their whole timeout for each page.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// Time beyond the timeout of a call for the body of its response: a large configuration takes
/// several hundred milliseconds on a narrow link.
const BODY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay after a change of the orders, during which further changes accumulate for one call.
const ORDERS_BATCH_DELAY: Duration = Duration::from_millis(120);

/// The same for endpoints, which change more often and tolerate more delay.
const ENDPOINTS_BATCH_DELAY: Duration = Duration::from_millis(350);

/// Time after the deployment's first start in which daemons discover each other and none reads.
const DISCOVERY_TIME: time::Millis = time::Millis(600);

/// Time after the deployment's first start in which only the readers call the store and pass on
/// what they read; no callers are waiting yet.
const READERS_ONLY_TIME: time::Millis = time::Millis(2_000);

/// Range of the pauses before whole tables are read again.
const READ_AGAIN_SPREAD: Duration = Duration::from_millis(200);

/// Interval of checks whether this daemon has to read.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Keeps the replica of a table up to date.
pub(crate) async fn run(context: Shared, table: Table) {
    let mut superseded = 0;
    loop {
        if !is_due(&context, table) || is_redundant(&context, table) {
            clock::sleep(POLL_INTERVAL).await;
            continue;
        }
        match read_changes(&context, table, superseded).await {
            Ok(read) => {
                let is_changed = read.delta.is_some();
                superseded = read.superseded;
                record_read(&context, table, read);
                if is_changed {
                    clock::sleep(batch_delay(table)).await;
                }
            }
            Err(detail) => {
                record_failure(&context, &detail);
                back_off(&context, table).await;
            }
        }
    }
}

fn is_due(context: &Shared, table: Table) -> bool {
    reader_status(context, table).is_some_and(readers::should_read)
}

// Whether the reading of another table finds out whether the store is back, so that a relay that reads for
// itself only does not call for each.
fn is_redundant(context: &Shared, table: Table) -> bool {
    let is_reader = reader_status(context, table).is_some_and(readers::is_reader);
    let is_down = context.state().store_failures > 0;
    let mut earlier = Table::ALL.into_iter().take_while(|other| *other != table);
    is_down && !is_reader && earlier.any(|other| is_due(context, other))
}

const fn batch_delay(table: Table) -> Duration {
    match table {
        Table::Orders => ORDERS_BATCH_DELAY,
        Table::Endpoints => ENDPOINTS_BATCH_DELAY,
        Table::Statuses => ORDERS_BATCH_DELAY,
    }
}

// None while daemons discover each other after the deployment's first start, or nobody needs the table.
fn reader_status(context: &Shared, table: Table) -> Option<readers::Status> {
    let now = context.now();
    let state = context.state();
    let status = readers::Status {
        rank: state.peers.rank_by_link(table.name(), now),
        count: state.peers.alive_count(now),
        age: state.reading_age(table, now)?,
        behind: state.catalog_missing_for(now).filter(|_| table == Table::Orders),
        silent_rounds: state.silent_rounds,
        apply: state.settings.bounds.apply,
        spread: spread(&state.settings.vm, state.store_failures),
    };
    let delay = if readers::is_reader(status) { DISCOVERY_TIME } else { READERS_ONLY_TIME };
    let is_discovering = state.settings.is_bootstrap && context.uptime() < delay;
    (!is_discovering).then_some(status)
}

// Where this relay stands in what all of them spread, from 0 to 1; anew after each failure.
fn spread(vm: &id::VmId, failures: u32) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(failures));
    hash as f64 / u64::MAX as f64
}

// Waits before the next call; returns early if a peer has delivered what was overdue.
async fn back_off(context: &Shared, table: Table) {
    let failures = context.state().store_failures;
    let jitter = spread(&context.vm(), failures);
    let started = context.now();
    while let Some(status) =
        reader_status(context, table).filter(|status| readers::should_read(*status))
    {
        let remaining =
            readers::backoff(status, failures, jitter).saturating_sub(context.now().since(started));
        if remaining.0 == 0 {
            return;
        }
        clock::sleep(remaining.to_std().min(POLL_INTERVAL)).await;
    }
}

/// Result of a read.
struct Read {
    /// Changes; none if there were none.
    delta: Option<replica::Delta>,
    /// Time as of which the replica is current.
    at: time::Tick,
    /// The same by the store's clock.
    stamp: confirmation::Stamp,
    /// Size of rows that the same answer replaced, in bytes.
    superseded: usize,
}

async fn read_changes(context: &Shared, table: Table, superseded: usize) -> Result<Read, String> {
    let (version, is_loaded, wait) = {
        let state = context.state();
        let known = &state.replica(table).table;
        let wait = readers::feed_timeout(state.settings.bounds.apply);
        (known.version(), known.is_loaded(), wait)
    };
    let status = reader_status(context, table);
    let is_whole = status.is_some_and(|status| readers::should_read_whole(superseded, status));
    if !is_loaded || is_whole {
        return read_all(context, table).await;
    }
    let host = context.state().settings.store.to_string();
    let request = store::feed(&host, table.name(), version.number, wait);
    match call(context, request, wait.to_std() + CALL_MARGIN).await {
        // The numbers of another era say nothing of what this replica lacks.
        Ok((rows, _)) if rows.version.era != version.era => read_again(context, table).await,
        Ok((rows, at)) if rows.rows.is_empty() && rows.version <= version => {
            Ok(Read { delta: None, at, stamp: stamp(&rows), superseded: 0 })
        }
        Ok((rows, at)) => {
            let stamp = stamp(&rows);
            let mut sorted = rows.rows;
            sorted.sort_by(|a, b| a.key.cmp(&b.key).then(a.version.cmp(&b.version)));
            let replaced = sorted.windows(2).filter(|pair| pair[0].key == pair[1].key);
            let size = |row: &fleet::RawRow| row.value.as_ref().map_or(0, Bytes::len);
            let superseded = replaced.map(|pair| size(&pair[0])).sum();
            let delta = replica::Delta { is_whole: false, version: rows.version, rows: sorted };
            Ok(Read { delta: Some(delta), at, stamp, superseded })
        }
        // The feed no longer has the changes since this version.
        Err(Failure::Gone) => read_again(context, table).await,
        Err(Failure::Other(detail)) => Err(detail),
    }
}

fn stamp(rows: &store::Rows) -> confirmation::Stamp {
    confirmation::Stamp { era: rows.version.era, millis: rows.stamp }
}

// Reads the whole table after a pause that differs between daemons, as the feeds of all readers end at
// the same moment.
async fn read_again(context: &Shared, table: Table) -> Result<Read, String> {
    clock::sleep(READ_AGAIN_SPREAD.mul_f64(spread(&context.vm(), 0))).await;
    read_all(context, table).await
}

async fn read_all(context: &Shared, table: Table) -> Result<Read, String> {
    let at = context.now();
    let host = context.state().settings.store.to_string();
    let mut all = Vec::new();
    let mut oldest: Option<(store_version::StoreVersion, confirmation::Stamp)> = None;
    loop {
        let after = all.last().map(|row: &fleet::RawRow| row.key.clone());
        let request = store::read(&host, table.name(), after.as_deref());
        let rows = match call(context, request, CALL_MARGIN).await {
            Ok((rows, _)) => rows,
            Err(Failure::Gone) => return Err("store responded 410 to a full read".into()),
            Err(Failure::Other(detail)) => return Err(detail),
        };
        // Pages may be of different versions; the feed continues from the first one's, so that no
        // change is missed.
        let (version, stamp) = *oldest.get_or_insert((rows.version, stamp(&rows)));
        if rows.version.era != version.era {
            return Err("store was restored during a full read".into());
        }
        let is_last = !rows.truncated || rows.rows.is_empty();
        all.extend(rows.rows);
        if is_last {
            let delta = replica::Delta { is_whole: true, version, rows: all };
            return Ok(Read { delta: Some(delta), at, stamp, superseded: 0 });
        }
    }
}

enum Failure {
    /// The store responded 410.
    Gone,
    Other(String),
}

// Rows, and when the store had begun to answer.
async fn call(
    context: &Shared,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<(store::Rows, time::Tick), Failure> {
    let address = context.state().settings.store;
    let progress = upstream::Progress::default();
    let limits =
        upstream::Limits { head: timeout, pause: CALL_MARGIN, total: timeout + BODY_TIMEOUT };
    let response = upstream::exchange(address, request, limits, &progress).await;
    context.metrics.record_store_call(response.is_ok(), progress.received.get());
    let response = response.map_err(|error| Failure::Other(error.to_string()))?;
    let answered = progress.head.get().map_or_else(|| context.now(), |head| context.at(head));
    let era = store_answer::accept_era(context, response.headers()).map_err(Failure::Other)?;
    match store_answer::decode_rows(&response, era) {
        Ok(rows) => Ok((rows, answered)),
        Err(DecodeError::Refused { status: 410 }) => Err(Failure::Gone),
        Err(error) => Err(Failure::Other(error.to_string())),
    }
}

fn record_read(context: &Shared, table: Table, read: Read) {
    let now = context.now();
    let mut state = context.state();
    state.confirm(table, read.stamp, read.at);
    state.stale_until = state.stale_until.min(now);
    let had_failed = state.record_store_success();
    let merged =
        read.delta.map(|delta| state.merge(table, delta, &"store", now)).unwrap_or_default();
    drop(state);
    if had_failed {
        event::emit_json(event::Event::StoreRegained, &[event::field("table", &table.name())]);
    }
    gossip::finish_merge(context, merged);
}

fn record_failure(context: &Shared, detail: &str) {
    let now = context.now();
    let mut state = context.state();
    let is_first = state.record_store_failure(now);
    drop(state);
    if is_first {
        event::emit_json(event::Event::StoreLost, &[event::field("detail", &detail)]);
    }
}
