//! Reads the store's tables and waits for their changes.
//!
//! Calls are priced, and each change ends every long wait, so a few daemons read and pass rows
//! on to their peers; the others read only when confirmations stay away.

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
use crate::state::Kind;
use crate::upstream;

/// Time beyond the wait after which a call is given up, as its connection may be silent.
const SLACK: Duration = Duration::from_millis(500);

/// Pause after a change of the orders, in which further changes are collected for one call.
const COLLECT_ORDERS: Duration = Duration::from_millis(120);

/// The same for endpoints, which change more often and may be known a little later.
const COLLECT_ENDPOINTS: Duration = Duration::from_millis(350);

/// Time at the deployment's first start in which daemons find each other.
const SETTLE: time::Millis = time::Millis(600);

/// Time at the deployment's first start in which only the readers call the store, and pass on
/// what they read. No caller waits then.
const SETTLE_OTHERS: time::Millis = time::Millis(2_000);

/// Time between two looks at whether this daemon reads.
const LOOK: Duration = Duration::from_millis(150);

/// Keeps a table up to date.
pub(crate) async fn run(context: Shared, kind: Kind) {
    loop {
        if !stand(&context, kind).is_some_and(readers::should_read) {
            clock::sleep(LOOK).await;
            continue;
        }
        let begun = context.now();
        match read(&context, kind).await {
            Ok(delta) => {
                let is_changed = delta.is_some();
                took(&context, kind, delta, begun);
                if is_changed {
                    clock::sleep(collect(kind)).await;
                }
            }
            Err(detail) => {
                lost(&context, &detail);
                pause(&context, kind).await;
            }
        }
    }
}

const fn collect(kind: Kind) -> Duration {
    match kind {
        Kind::Orders => COLLECT_ORDERS,
        Kind::Endpoints => COLLECT_ENDPOINTS,
    }
}

// Nothing while daemons still find each other at the deployment's first start.
fn stand(context: &Shared, kind: Kind) -> Option<readers::Status> {
    let now = context.now();
    let state = context.state();
    let stand = readers::Status {
        rank: state.peers.rank(kind.table(), now),
        count: state.peers.alive_count(now),
        age: state.age(kind, now),
        silent_rounds: state.alone,
        apply: state.place.bounds.apply,
    };
    let settle = if readers::is_reader(stand) { SETTLE } else { SETTLE_OTHERS };
    let is_settling = state.place.is_bootstrap && context.age() < settle;
    (!is_settling).then_some(stand)
}

// Waits before the next call, unless a peer has brought what is lacking.
async fn pause(context: &Shared, kind: Kind) {
    let failures = context.state().failures;
    let seed = xxh3::xxh3_64_with_seed(context.vm().as_str().as_bytes(), u64::from(failures));
    let spread = seed as f64 / u64::MAX as f64;
    let begun = context.now();
    while let Some(stand) = stand(context, kind).filter(|stand| readers::should_read(*stand)) {
        let left =
            readers::backoff(stand, failures, spread).saturating_sub(context.now().since(begun));
        if left.0 == 0 {
            return;
        }
        clock::sleep(left.to_std().min(LOOK)).await;
    }
}

async fn read(context: &Shared, kind: Kind) -> Result<Option<replica::Delta>, String> {
    let (version, is_known, wait) = {
        let state = context.state();
        let table = &state.copy(kind).table;
        (table.version(), table.is_loaded(), readers::feed_timeout(state.place.bounds.apply))
    };
    if !is_known {
        return whole(context, kind).await.map(Some);
    }
    let host = context.state().place.store.to_string();
    let request = store::feed(&host, kind.table(), version, wait);
    match call(context, request, wait.to_std() + SLACK).await {
        Ok(rows) if rows.rows.is_empty() && rows.version <= version => Ok(None),
        Ok(rows) => {
            let mut rows_sorted = rows.rows;
            rows_sorted.sort_by(|a, b| a.key.cmp(&b.key).then(a.version.cmp(&b.version)));
            let version = rows.version;
            Ok(Some(replica::Delta { is_whole: false, version, rows: rows_sorted }))
        }
        // The history that the feed would go on from is dropped.
        Err(Failed::Gone) => whole(context, kind).await.map(Some),
        Err(Failed::Other(detail)) => Err(detail),
    }
}

async fn whole(context: &Shared, kind: Kind) -> Result<replica::Delta, String> {
    let host = context.state().place.store.to_string();
    let mut all = Vec::new();
    let mut oldest: Option<u64> = None;
    loop {
        let after = all.last().map(|row: &ibishill_core::fleet::Record| row.key.clone());
        let request = store::read(&host, kind.table(), after.as_deref());
        let rows = match call(context, request, SLACK).await {
            Ok(rows) => rows,
            Err(Failed::Gone) => return Err("a read answered as gone".into()),
            Err(Failed::Other(detail)) => return Err(detail),
        };
        // Pages are of different moments; the feed goes on from the first one's.
        let version = *oldest.get_or_insert(rows.version);
        let is_last = !rows.truncated || rows.rows.is_empty();
        all.extend(rows.rows);
        if is_last {
            return Ok(replica::Delta { is_whole: true, version, rows: all });
        }
    }
}

enum Failed {
    Gone,
    Other(String),
}

async fn call(
    context: &Shared,
    request: Request<Bytes>,
    limit: Duration,
) -> Result<store::Rows, Failed> {
    let address = context.state().place.store;
    let answer = upstream::exchange(address, request, limit).await;
    context.metrics.called(answer.is_ok());
    let answer = answer.map_err(|error| Failed::Other(error.to_string()))?;
    match store::decode_rows(answer.status(), answer.body()) {
        Ok(rows) => Ok(rows),
        Err(DecodeError::Refused { status: 410 }) => Err(Failed::Gone),
        Err(error) => Err(Failed::Other(error.to_string())),
    }
}

fn took(context: &Shared, kind: Kind, delta: Option<replica::Delta>, begun: time::Tick) {
    let now = context.now();
    let mut state = context.state();
    // A wait that ended without news confirms the table as of its end.
    let at = if delta.is_some() { begun } else { now };
    state.confirm(kind, at);
    state.stale_until = state.stale_until.min(now);
    let was_lost = state.regain_store();
    let is_news = delta.is_some_and(|delta| state.merge(kind, delta, now));
    drop(state);
    if was_lost {
        event::emit_json(event::Event::StoreRegained, &[event::field("table", &kind.table())]);
    }
    if is_news {
        context.news.notify_one();
    }
}

fn lost(context: &Shared, detail: &str) {
    let now = context.now();
    let mut state = context.state();
    let is_news = state.lose_store(now);
    drop(state);
    if is_news {
        event::emit_json(event::Event::StoreLost, &[event::field("detail", &detail)]);
    }
}
