//! Reads the store's tables and follows their change feeds by long polling.
//!
//! Calls are billed, and each change ends every pending poll, so a few daemons read and pass rows
//! on to their peers; the others read only if confirmations are overdue.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use ibishill_adapter::error::DecodeError;
use ibishill_adapter::store;
use ibishill_core::{event, time};
use ibishill_decide::readers;
use ibishill_state::replica;
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::state::Table;
use crate::upstream;

/// Time beyond the poll's own wait after which a call is abandoned, since its connection may be
/// dead. Reads of a whole table do not wait, so this is their whole timeout for each page.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// Delay after a change of the orders, during which further changes accumulate for one call.
const ORDERS_BATCH_DELAY: Duration = Duration::from_millis(120);

/// The same for endpoints, which change more often and tolerate more delay.
const ENDPOINTS_BATCH_DELAY: Duration = Duration::from_millis(350);

/// Time after the deployment's first start in which daemons discover each other and none reads.
const DISCOVERY_TIME: time::Millis = time::Millis(600);

/// Time after the deployment's first start in which only the readers call the store and pass on
/// what they read; no callers are waiting yet.
const READERS_ONLY_TIME: time::Millis = time::Millis(2_000);

/// Interval of checks whether this daemon has to read.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Keeps the replica of a table up to date.
pub(crate) async fn run(context: Shared, table: Table) {
    loop {
        if !reader_status(&context, table).is_some_and(readers::should_read) {
            clock::sleep(POLL_INTERVAL).await;
            continue;
        }
        let started = context.now();
        match read_changes(&context, table).await {
            Ok(delta) => {
                let is_changed = delta.is_some();
                record_read(&context, table, delta, started);
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

const fn batch_delay(table: Table) -> Duration {
    match table {
        Table::Orders => ORDERS_BATCH_DELAY,
        Table::Endpoints => ENDPOINTS_BATCH_DELAY,
    }
}

// None while daemons discover each other after the deployment's first start.
fn reader_status(context: &Shared, table: Table) -> Option<readers::Status> {
    let now = context.now();
    let state = context.state();
    let status = readers::Status {
        rank: state.peers.rank(table.name(), now),
        count: state.peers.alive_count(now),
        age: state.table_age(table, now),
        silent_rounds: state.silent_rounds,
        apply: state.settings.bounds.apply,
    };
    let delay = if readers::is_reader(status) { DISCOVERY_TIME } else { READERS_ONLY_TIME };
    let is_discovering = state.settings.is_bootstrap && context.uptime() < delay;
    (!is_discovering).then_some(status)
}

// Waits before the next call; returns early if a peer has delivered what was overdue.
async fn back_off(context: &Shared, table: Table) {
    let failures = context.state().store_failures;
    let seed = xxh3::xxh3_64_with_seed(context.vm().as_str().as_bytes(), u64::from(failures));
    let jitter = seed as f64 / u64::MAX as f64;
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

async fn read_changes(context: &Shared, table: Table) -> Result<Option<replica::Delta>, String> {
    let (version, is_loaded, wait) = {
        let state = context.state();
        let table = &state.replica(table).table;
        (table.version(), table.is_loaded(), readers::feed_timeout(state.settings.bounds.apply))
    };
    if !is_loaded {
        return read_all(context, table).await.map(Some);
    }
    let host = context.state().settings.store.to_string();
    let request = store::feed(&host, table.name(), version, wait);
    match call(context, request, wait.to_std() + CALL_MARGIN).await {
        Ok(rows) if rows.rows.is_empty() && rows.version <= version => Ok(None),
        Ok(rows) => {
            let mut sorted = rows.rows;
            sorted.sort_by(|a, b| a.key.cmp(&b.key).then(a.version.cmp(&b.version)));
            let version = rows.version;
            Ok(Some(replica::Delta { is_whole: false, version, rows: sorted }))
        }
        // The feed no longer has the changes since this version.
        Err(Failure::Gone) => read_all(context, table).await.map(Some),
        Err(Failure::Other(detail)) => Err(detail),
    }
}

async fn read_all(context: &Shared, table: Table) -> Result<replica::Delta, String> {
    let host = context.state().settings.store.to_string();
    let mut all = Vec::new();
    let mut oldest: Option<u64> = None;
    loop {
        let after = all.last().map(|row: &ibishill_core::fleet::RawRow| row.key.clone());
        let request = store::read(&host, table.name(), after.as_deref());
        let rows = match call(context, request, CALL_MARGIN).await {
            Ok(rows) => rows,
            Err(Failure::Gone) => return Err("store responded 410 to a full read".into()),
            Err(Failure::Other(detail)) => return Err(detail),
        };
        // Pages may be of different versions; the feed continues from the first one's, so that no
        // change is missed.
        let version = *oldest.get_or_insert(rows.version);
        let is_last = !rows.truncated || rows.rows.is_empty();
        all.extend(rows.rows);
        if is_last {
            return Ok(replica::Delta { is_whole: true, version, rows: all });
        }
    }
}

enum Failure {
    /// The store responded 410.
    Gone,
    Other(String),
}

async fn call(
    context: &Shared,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<store::Rows, Failure> {
    let address = context.state().settings.store;
    let received = upstream::Received::default();
    let response = upstream::exchange(address, request, timeout, &received).await;
    context.metrics.record_store_call(response.is_ok(), received.get());
    let response = response.map_err(|error| Failure::Other(error.to_string()))?;
    match store::decode_rows(response.status(), response.body()) {
        Ok(rows) => Ok(rows),
        Err(DecodeError::Refused { status: 410 }) => Err(Failure::Gone),
        Err(error) => Err(Failure::Other(error.to_string())),
    }
}

fn record_read(context: &Shared, table: Table, delta: Option<replica::Delta>, started: time::Tick) {
    let now = context.now();
    let mut state = context.state();
    // A poll that ended without changes confirms the table as of its end, a read as of its start.
    let at = if delta.is_some() { started } else { now };
    state.confirm(table, at);
    state.stale_until = state.stale_until.min(now);
    let had_failed = state.record_store_success();
    let merged = delta.map(|delta| state.merge(table, delta, &"store", now)).unwrap_or_default();
    drop(state);
    if let Some(delay) = merged.delay {
        context.metrics.record_catalog(delay);
    }
    if had_failed {
        event::emit_json(event::Event::StoreRegained, &[event::field("table", &table.name())]);
    }
    if merged.is_changed {
        context.rows_changed.notify_one();
    }
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
