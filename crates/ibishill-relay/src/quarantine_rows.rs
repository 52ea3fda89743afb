//! Keeps refused requests and prompt segments in the store. Relays learn of them from their peers; who starts, or
//! hears of no peer, reads them from the store.

use std::time::Duration;

use ibishill_adapter::{row, store};
use ibishill_core::{call, clock as wall, event, fleet};
use tokio::time as clock;

use crate::context::Shared;
use crate::{early_end, store_row};

/// Interval of checks whether there is something to write.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a failed call; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(800);

/// Longest pause after a failed call.
const BACKOFF_MAX: Duration = Duration::from_millis(6_400);

/// Interval of reads by a relay that hears of no peer.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of conflicts of one write; further ones are tried after a pause.
const CONFLICTS_MAX: u32 = 3;

/// Rounds without an answer of a peer after which a relay counts as alone.
const SILENT_ROUNDS: u32 = 2;

/// Writes the keys for which this relay is the first of those that are alive.
pub(crate) async fn write(context: Shared) {
    let (mut era, mut backoff) = (context.state().era(), BACKOFF_MIN);
    loop {
        clock::sleep(POLL_INTERVAL).await;
        let current = context.state().era();
        if std::mem::replace(&mut era, current) != current {
            // A store that was restored may lack what was written.
            context.state().quarantine.mark_unstored();
        }
        let pending = {
            let (state, now) = (context.state(), context.now());
            let is_writer = |key: call::SuspectKey| state.peers.rank(&key.to_string(), now) == 0;
            state.quarantine.unstored(is_writer, wall::wall_now().0, now)
        };
        for hold in pending {
            if let Err(detail) = write_hold(&context, &hold).await {
                event::emit_json(
                    event::Event::QuarantineDelayed,
                    &[event::field("key", &hold.key), event::field("detail", &detail)],
                );
                clock::sleep(backoff).await;
                backoff = (2 * backoff).min(BACKOFF_MAX);
            } else {
                backoff = BACKOFF_MIN;
            }
        }
    }
}

async fn write_hold(context: &Shared, hold: &fleet::QuarantineHold) -> Result<(), String> {
    let (key, value) = row::encode_hold(hold);
    let mut expected = 0;
    for _ in 0..CONFLICTS_MAX {
        match store_row::write(context, row::QUARANTINE, &key, &value, expected).await? {
            store::WriteOutcome::Committed(_) => {
                context.state().quarantine.mark_stored(hold.key, hold.epoch);
                return Ok(());
            }
            store::WriteOutcome::Conflict { rows, .. } => {
                let found = rows.first();
                let stored = found.and_then(|found| decode(&found.key, found));
                if let Some(stored) = stored.filter(|stored| stored.epoch >= hold.epoch) {
                    merge(context, &stored);
                    return Ok(());
                }
                expected = found.map_or(0, |found| found.version.number);
            }
        }
    }
    Err(format!("{CONFLICTS_MAX} conflicts"))
}

/// Reads the rows once after a start, and again and again while no peer is heard of.
pub(crate) async fn read(context: Shared) {
    // Nothing is stored at the deployment's first start.
    let (mut is_due, mut backoff) = (!context.state().settings.is_bootstrap, BACKOFF_MIN);
    loop {
        if !is_due {
            clock::sleep(READ_INTERVAL).await;
            is_due = is_alone(&context);
            continue;
        }
        match store_row::read(&context, row::QUARANTINE).await {
            Ok(rows) => {
                let holds = rows.iter().filter_map(|found| decode(&found.key, found));
                holds.for_each(|hold| merge(&context, &hold));
                (is_due, backoff) = (false, BACKOFF_MIN);
            }
            // The store's loss is logged by those who follow its tables.
            Err(_) => {
                clock::sleep(backoff).await;
                backoff = (2 * backoff).min(BACKOFF_MAX);
            }
        }
    }
}

fn is_alone(context: &Shared) -> bool {
    let now = context.now();
    let state = context.state();
    state.silent_rounds >= SILENT_ROUNDS || state.peers.alive_count(now) == 1
}

fn decode(key: &str, found: &fleet::RawRow) -> Option<fleet::QuarantineHold> {
    match row::decode_hold(key, found.value.as_ref()?) {
        Ok(hold) => Some(hold),
        Err(error) => {
            event::emit_json(
                event::Event::RowInvalid,
                &[event::field("row", &found.key), event::field("error", &error)],
            );
            None
        }
    }
}

fn merge(context: &Shared, hold: &fleet::QuarantineHold) {
    let now = context.now();
    let mut state = context.state();
    state.quarantine.merge_stored(hold, wall::wall_now().0, now);
    early_end::judge(&mut state, now);
}
