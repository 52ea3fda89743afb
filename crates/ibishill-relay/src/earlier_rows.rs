//! Keeps in the store how earlier roll-outs of a service ended. Relays learn of them from their peers; one that starts
//! while there is an order reads them from the store, as all its peers may have started as well.

use std::collections::BTreeMap;
use std::time::Duration;

use ibishill_adapter::{row, store};
use ibishill_core::{event, fleet, id};
use tokio::time as clock;

use crate::context::Shared;
use crate::state::State;
use crate::{rollout_log, store_row};

/// Interval of checks whether there is something to write.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of checks whether the orders are known after a start.
const START_INTERVAL: Duration = Duration::from_millis(10);

/// Pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(800);

/// What is known to be in a row, and the number of its version.
#[derive(Default)]
struct Stored {
    earlier: Vec<fleet::EarlierRollout>,
    number: u64,
}

/// Writes the rows of the services for which this relay is the first of those that are alive.
pub(crate) async fn write(context: Shared) {
    let mut rows: BTreeMap<id::ServiceId, Stored> = BTreeMap::new();
    let mut era = context.state().era();
    loop {
        clock::sleep(POLL_INTERVAL).await;
        let current = context.state().era();
        if std::mem::replace(&mut era, current) != current {
            // A store that was restored may lack what was written.
            rows.clear();
        }
        for (service, earlier) in own(&context) {
            let stored = rows.entry(service.clone()).or_default();
            if stored.earlier == earlier {
                continue;
            }
            if let Err(detail) = write_row(&context, &service, earlier, stored).await {
                event::emit_json(
                    event::Event::StatusDelayed,
                    &[event::field("service", &service), event::field("detail", &detail)],
                );
                clock::sleep(BACKOFF).await;
            }
        }
    }
}

// Earlier roll-outs of the services whose rows this relay writes.
fn own(context: &Shared) -> Vec<(id::ServiceId, Vec<fleet::EarlierRollout>)> {
    let (state, now) = (context.state(), context.now());
    let is_writer = |service: &id::ServiceId| state.peers.rank(service.as_str(), now) == 0;
    let known = state.canaries.iter().map(|(service, canary)| (service.clone(), canary.earlier()));
    known.filter(|(service, earlier)| !earlier.is_empty() && is_writer(service)).collect()
}

async fn write_row(
    context: &Shared,
    service: &id::ServiceId,
    earlier: Vec<fleet::EarlierRollout>,
    stored: &mut Stored,
) -> Result<(), String> {
    let (table, key) = (row::EARLIER_ROLLOUTS, service.to_string());
    let value = row::encode_earlier(&earlier);
    match store_row::write(context, table, &key, &value, stored.number).await? {
        store::WriteOutcome::Committed(number) => {
            *stored = Stored { earlier, number };
        }
        store::WriteOutcome::Conflict { rows, .. } => {
            // What is new in the row is written with the rest in the next round.
            let found = rows.first();
            stored.number = found.map_or(0, |found| found.version.number);
            stored.earlier = found.and_then(decode).map_or(Vec::new(), |(_, earlier)| earlier);
            merge(context, service, stored.earlier.clone());
        }
    }
    Ok(())
}

/// Reads the rows once after a start, if there is an order of a roll-out by then.
pub(crate) async fn read(context: Shared) {
    // Nothing is stored at the deployment's first start.
    if context.state().settings.is_bootstrap {
        return;
    }
    while !context.state().is_loaded() {
        clock::sleep(START_INTERVAL).await;
    }
    if context.state().canaries.is_empty() {
        return;
    }
    loop {
        match store_row::read(&context, row::EARLIER_ROLLOUTS).await {
            Ok(rows) => {
                for (service, earlier) in rows.iter().filter_map(decode) {
                    merge(&context, &service, earlier);
                }
                return;
            }
            // The store's loss is logged by those who follow its tables.
            Err(_) => clock::sleep(BACKOFF).await,
        }
    }
}

fn decode(found: &fleet::RawRow) -> Option<(id::ServiceId, Vec<fleet::EarlierRollout>)> {
    match row::decode_earlier(&found.key, found.value.as_ref()?) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            event::emit_json(
                event::Event::RowInvalid,
                &[event::field("row", &found.key), event::field("error", &error)],
            );
            None
        }
    }
}

fn merge(context: &Shared, service: &id::ServiceId, earlier: Vec<fleet::EarlierRollout>) {
    let now = context.now();
    let state: &mut State = &mut context.state();
    let Some(canary) = state.canaries.get_mut(service) else { return };
    let mut is_new = false;
    for told in earlier {
        is_new |= canary.record_told(told);
    }
    if is_new {
        rollout_log::log(event::Event::RolloutHeard, canary, "earlier", "store", now);
        state.expect_ends();
    }
}
