//! Rows that the relay itself keeps in the store.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use ibishill_adapter::store;
use ibishill_core::fleet;

use crate::context::Shared;
use crate::{store_answer, upstream};

/// Timeout of a write or a read.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Writes a row if its version's number is `expected`, 0 for a row that does not exist.
///
/// # Errors
///
/// Fails if the store gave no valid answer; the write may have taken effect.
pub(crate) async fn write(
    context: &Shared,
    table: &str,
    key: &str,
    value: &[u8],
    expected: u64,
) -> Result<store::WriteOutcome, String> {
    let host = context.state().settings.store.to_string();
    let response = call(context, store::write(&host, table, key, value, expected)).await?;
    let era = store_answer::accept_era(context, response.headers())?;
    let outcome = store_answer::decode_write(&response, era);
    outcome.map_err(|error| error.to_string())
}

/// Reads the first page of a table.
///
/// # Errors
///
/// Fails if the store gave no valid answer.
pub(crate) async fn read(context: &Shared, table: &str) -> Result<Vec<fleet::RawRow>, String> {
    let host = context.state().settings.store.to_string();
    let response = call(context, store::read(&host, table, None)).await?;
    let era = store_answer::accept_era(context, response.headers())?;
    let rows = store_answer::decode_rows(&response, era);
    Ok(rows.map_err(|error| error.to_string())?.rows)
}

async fn call(context: &Shared, request: Request<Bytes>) -> Result<Response<Bytes>, String> {
    let address = context.state().settings.store;
    let progress = upstream::Progress::default();
    let limits = upstream::Limits::small(TIMEOUT);
    let response = upstream::exchange(address, request, limits, &progress).await;
    context.metrics.record_store_call(response.is_ok(), progress.received.get());
    response.map_err(|error| error.to_string())
}
