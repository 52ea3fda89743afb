//! Verdicts on roll-outs: every relay acts on its own, and one of them reports it to the operator
//! through the store.

use std::time::Duration;

use ibishill_adapter::{row, store};
use ibishill_core::{event, fleet, id, store_version, time};
use ibishill_decide::canary;
use tokio::time as clock;

use crate::context::Shared;
use crate::state::State;
use crate::{gossip, rollout_log, store_row};

/// Interval between evaluations of the counts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls that a relay waits per rank before it writes a status itself, so that those of lower
/// rank write first.
const POLLS_PER_RANK: u32 = 12;

/// Delay after a failed write.
const WRITE_BACKOFF: Duration = Duration::from_millis(400);

/// Writes the status of roll-outs to the store, apart from [`watch`], so that a slow write delays
/// no verdict.
pub(crate) async fn report(context: Shared) {
    let mut reports: std::collections::BTreeMap<id::ServiceId, Report> = Default::default();
    let mut era = context.state().era();
    loop {
        clock::sleep(POLL_INTERVAL).await;
        let current = context.state().era();
        if era != current {
            // A store that was restored may lack what was written.
            reports.clear();
            era = current;
        }
        for rollout in rollouts(&context) {
            let service = rollout.service.clone();
            let report = reports.entry(service.clone()).or_default();
            if report.rollout.as_ref() != Some(&rollout) {
                *report = Report {
                    rollout: Some(rollout.clone()),
                    version: report.version,
                    polls: 0,
                    is_done: false,
                };
            }
            if report.is_done {
                continue;
            }
            report.polls += 1;
            if !is_due(&context, &service, report.polls) {
                continue;
            }
            match write(&context, &rollout, report.version).await {
                Ok(Outcome::Done) => report.is_done = true,
                Ok(Outcome::Retry(version)) => report.version = version,
                Err(detail) => {
                    event::emit_json(
                        event::Event::StatusDelayed,
                        &[event::field("service", &service), event::field("detail", &detail)],
                    );
                    clock::sleep(WRITE_BACKOFF).await;
                    // The write may have taken effect although its response was lost.
                    match read_back(&context, &rollout).await {
                        Ok(Outcome::Done) => report.is_done = true,
                        Ok(Outcome::Retry(version)) => report.version = version,
                        Err(_) => {}
                    }
                }
            }
        }
    }
}

/// State of a roll-out that operators are told.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Rollout {
    service: id::ServiceId,
    to: id::VersionId,
    /// Version of the order's row.
    order: Option<store_version::StoreVersion>,
    progress: fleet::Progress,
}

#[derive(Debug, Default)]
struct Report {
    rollout: Option<Rollout>,
    /// Number of the row's last known version, for the conditional write.
    version: u64,
    polls: u32,
    is_done: bool,
}

fn is_due(context: &Shared, service: &id::ServiceId, polls: u32) -> bool {
    let now = context.now();
    let rank = context.state().peers.rank(service.as_str(), now);
    polls > u32::try_from(rank).unwrap_or(u32::MAX).saturating_mul(POLLS_PER_RANK)
}

/// Evaluates all roll-outs periodically, as their time passes and peers' counts arrive.
pub(crate) async fn watch(context: Shared) {
    loop {
        clock::sleep(POLL_INTERVAL).await;
        let now = context.now();
        let mut state = context.state();
        let services: Vec<_> = state.canaries.keys().cloned().collect();
        for service in services {
            judge(&mut state, &service, now);
        }
    }
}

/// Evaluates the roll-out of a service from the locally known counts, and logs a new verdict.
pub(crate) fn judge(state: &mut State, service: &id::ServiceId, now: time::Tick) {
    let is_decider = state.peers.rank(service.as_str(), now) < gossip::DECIDERS;
    let Some(canary) = state.canaries.get_mut(service) else { return };
    let verdict = canary.verdict(is_decider, now);
    if verdict == canary.progress() {
        return;
    }
    canary.merge_progress(verdict);
    let (progress, event) = (format!("{verdict:?}"), event::Event::RolloutChanged);
    rollout_log::log(event, canary, &progress, "own", now);
    state.expect_ends();
}

fn rollouts(context: &Shared) -> Vec<Rollout> {
    let state = context.state();
    let entry = |(service, canary): (&id::ServiceId, &canary::Canary)| Rollout {
        service: service.clone(),
        to: canary.order().to.clone(),
        order: canary.version(),
        progress: canary.progress(),
    };
    // A relay that would not know of a verdict has nothing to tell.
    let informed = state.canaries.iter().filter(|(_, canary)| canary.is_informed());
    informed.map(entry).collect()
}

enum Outcome {
    Done,
    /// The row's version has this number, and it holds another status.
    Retry(u64),
}

async fn write(context: &Shared, rollout: &Rollout, expected: u64) -> Result<Outcome, String> {
    let key = row::status_key(&rollout.service);
    let value = row::encode_status(&rollout.to, rollout.progress);
    match store_row::write(context, row::STATUS, &key, &value, expected).await? {
        store::WriteOutcome::Committed(_) => Ok(Outcome::Done),
        store::WriteOutcome::Conflict { rows, .. } => {
            Ok(rows.first().map_or(Outcome::Retry(0), |row| compare(context, rollout, row)))
        }
    }
}

async fn read_back(context: &Shared, rollout: &Rollout) -> Result<Outcome, String> {
    let rows = store_row::read(context, row::STATUS).await?;
    let key = row::status_key(&rollout.service);
    let found = rows.iter().find(|row| row.key == key);
    Ok(found.map_or(Outcome::Retry(0), |row| compare(context, rollout, row)))
}

// Compares the stored status with the one to be written. A final status of the same order that is already
// stored is adopted, unless this relay rolled back for evidence.
fn compare(context: &Shared, rollout: &Rollout, found: &fleet::RawRow) -> Outcome {
    let retry = Outcome::Retry(found.version.number);
    let stored = found.value.as_ref().map(|value| row::decode_status(value));
    let Some(Ok((to, stored))) = stored else { return retry };
    let now = context.now();
    let mut state = context.state();
    let Some(canary) = state.canaries.get_mut(&rollout.service) else { return retry };
    if to != rollout.to || !canary.is_about(found.version, stored) {
        return retry;
    }
    let is_changed = canary.merge_stored(stored);
    if is_changed {
        let progress = format!("{stored:?}");
        rollout_log::log(event::Event::RolloutHeard, canary, &progress, "store", now);
    }
    let is_done = canary.progress() == stored;
    if is_changed {
        state.expect_ends();
    }
    if is_done { Outcome::Done } else { retry }
}
