//! Fetches chunks of large values from peers, and serves them.
//!
//! One fetch runs at a time, so that it never competes with itself on a narrow link.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use ibishill_core::event;
use ibishill_decide::portion;
use ibishill_state::chunk;
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::state::Table;
use crate::{gossip, message, peer_log, upstream};

/// Path of requests for chunks.
pub(crate) const PATH: &str = "/chunks";

/// Requests for chunks that are served at the same time; more would slow down all of them, and
/// those served first pass on what they have.
const SERVED_MAX: u32 = 4;

/// Pause after a peer had no room for a request.
const BUSY_PAUSE: Duration = Duration::from_millis(30);

/// Pause after a failed request, in which other peers may announce the version.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Timeout of one request, whose size adapts to the link.
const TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Debug, Clone)]
struct Job {
    table: Table,
    source: SocketAddr,
    wanted: Vec<chunk::Digest>,
}

/// Fetches the chunks that pending deltas lack.
pub(crate) async fn run(context: Shared) {
    let mut portion = portion::Portion::default();
    let mut round = 0_u64;
    loop {
        round += 1;
        let Some(job) = next_job(&context, portion.chunks(), round) else {
            context.chunks_wanted.notified().await;
            continue;
        };
        match fetch(&context, &job).await {
            Ok(Some(contents)) if !contents.is_empty() => {
                portion.record_success();
                let now = context.now();
                let (merged, is_progress) = {
                    let mut state = context.state();
                    let before = state.transfer(job.table).missing_count();
                    let merged = state.receive_chunks(job.table, contents, now);
                    (merged, state.transfer(job.table).missing_count() < before)
                };
                gossip::finish_merge(&context, merged);
                if !is_progress {
                    drop_source(&context, &job).await;
                }
            }
            // The peer has moved on to another version.
            Ok(Some(_)) => drop_source(&context, &job).await,
            Ok(None) => clock::sleep(BUSY_PAUSE).await,
            Err(error) => {
                portion.record_failure();
                event::emit_json(
                    event::Event::ExchangeFailed,
                    &[
                        event::field("peer", &job.source),
                        event::field("chunks", &job.wanted.len()),
                        event::field("received", &error.received),
                        event::field("detail", &error.detail),
                    ],
                );
                drop_source(&context, &job).await;
            }
        }
    }
}

async fn drop_source(context: &Shared, job: &Job) {
    let is_last = {
        let mut state = context.state();
        let transfer = state.transfer(job.table);
        transfer.drop_source(job.source);
        transfer.sources().is_empty()
    };
    if is_last {
        // Asks other peers for the version.
        context.rows_changed.notify_one();
    }
    clock::sleep(FAILURE_PAUSE).await;
}

// Prefers sources in the same zone, where traffic is free.
fn next_job(context: &Shared, max: usize, round: u64) -> Option<Job> {
    let mut state = context.state();
    for table in Table::ALL {
        let sources = state.transfer(table).sources().to_vec();
        let shuffle = |source: &SocketAddr| {
            let seed = xxh3::xxh3_64_with_seed(source.to_string().as_bytes(), round);
            (!state.peers.is_in_own_zone(*source), seed)
        };
        if let Some(source) = sources.into_iter().min_by_key(shuffle) {
            let wanted = state.transfer(table).wanted(max);
            return Some(Job { table, source, wanted });
        }
    }
    None
}

#[derive(Debug)]
struct FetchError {
    detail: String,
    /// Part of the response's body that had arrived, in bytes.
    received: usize,
}

// None if the peer has no room for the request.
async fn fetch(context: &Shared, job: &Job) -> Result<Option<Vec<Bytes>>, FetchError> {
    let body = message::encode(&job.wanted);
    let body = body.map_err(|detail| FetchError { detail, received: 0 })?;
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    if let Ok(host) = job.source.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let progress = upstream::Progress::default();
    let limits = upstream::Limits::small(TIMEOUT);
    let response = upstream::exchange(job.source, request, limits, &progress).await;
    let received = progress.received.get();
    context.metrics.record_exchange(response.is_ok(), received);
    let fail = |detail: String| FetchError { detail, received };
    let response = response.map_err(|error| fail(error.to_string()))?;
    match response.status() {
        StatusCode::OK => message::decode(response.body()).map(Some).map_err(fail),
        StatusCode::SERVICE_UNAVAILABLE => Ok(None),
        status => Err(fail(format!("peer responded {status}"))),
    }
}

/// Place of a request for chunks, held until the connection ends.
pub(crate) struct Place(Shared);

impl Place {
    /// Takes a place; none if all are taken.
    pub(crate) fn take(context: &Shared) -> Option<Self> {
        let taken = context.chunks_serving.get();
        (taken < SERVED_MAX).then(|| {
            context.chunks_serving.set(taken + 1);
            Self(context.clone())
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.chunks_serving.set(self.0.chunks_serving.get() - 1);
    }
}

/// Contents of the chunks that this relay has.
pub(crate) fn found(context: &Shared, wanted: &[chunk::Digest]) -> Vec<Bytes> {
    let state = context.state();
    let wanted = wanted.iter().take(portion::CHUNKS_MAX);
    wanted.filter_map(|digest| state.chunk(*digest).cloned()).collect()
}

/// Answers a peer's request for chunks.
///
/// # Errors
///
/// Fails if a message can't be decoded or encoded.
pub(crate) fn answer(context: &Shared, body: &[u8]) -> Result<Bytes, StatusCode> {
    let own_address = context.state().settings.peer;
    let wanted: Vec<chunk::Digest> = message::decode(body).map_err(|error| {
        peer_log::reject(own_address, &error);
        StatusCode::BAD_REQUEST
    })?;
    message::encode(&found(context, &wanted)).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
