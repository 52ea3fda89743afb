//! Verdicts on roll-outs: every relay acts on its own, and one of them reports it to the operator
//! through the store.

use std::time::Duration;

use ibishill_adapter::{row, store};
use ibishill_core::{event, fleet, id, time};
use ibishill_decide::canary;
use tokio::time as clock;

use crate::context::Shared;
use crate::state::State;
use crate::{gossip, store_row};

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
        for (service, to, progress) in rollouts(&context) {
            let report = reports.entry(service.clone()).or_default();
            if report.to.as_ref() != Some(&to) || report.progress != Some(progress) {
                *report = Report {
                    to: Some(to.clone()),
                    progress: Some(progress),
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
            match write(&context, &service, &to, progress, report.version).await {
                Ok(Outcome::Done) => report.is_done = true,
                Ok(Outcome::Retry(version)) => report.version = version,
                Err(detail) => {
                    event::emit_json(
                        event::Event::StatusDelayed,
                        &[event::field("service", &service), event::field("detail", &detail)],
                    );
                    clock::sleep(WRITE_BACKOFF).await;
                    // The write may have taken effect although its response was lost.
                    match read_back(&context, &service, &to, progress).await {
                        Ok(Outcome::Done) => report.is_done = true,
                        Ok(Outcome::Retry(version)) => report.version = version,
                        Err(_) => {}
                    }
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct Report {
    to: Option<id::VersionId>,
    progress: Option<fleet::Progress>,
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
    let totals = canary.totals();
    event::emit_json(
        event::Event::RolloutChanged,
        &[
            event::field("service", service),
            event::field("to", &canary.order().to),
            event::field("state", &format!("{verdict:?}")),
            event::field("age", &canary.age(now)),
            event::field("evidence", &format!("{:.1}", canary.evidence())),
            event::field("stable", &totals.stable.all),
            event::field("stable_failed", &totals.stable.failed),
            event::field("stable_lost", &totals.stable.lost),
            event::field("candidate", &totals.candidate.all),
            event::field("candidate_failed", &totals.candidate.failed),
            event::field("candidate_lost", &totals.candidate.lost),
        ],
    );
}

fn rollouts(context: &Shared) -> Vec<(id::ServiceId, id::VersionId, fleet::Progress)> {
    let state = context.state();
    let entry = |(service, canary): (&id::ServiceId, &canary::Canary)| {
        (service.clone(), canary.order().to.clone(), canary.progress())
    };
    state.canaries.iter().map(entry).collect()
}

enum Outcome {
    Done,
    /// The row's version has this number, and it holds another status.
    Retry(u64),
}

async fn write(
    context: &Shared,
    service: &id::ServiceId,
    to: &id::VersionId,
    progress: fleet::Progress,
    expected: u64,
) -> Result<Outcome, String> {
    let key = row::status_key(service);
    let value = row::encode_status(to, progress);
    match store_row::write(context, row::STATUS, &key, &value, expected).await? {
        store::WriteOutcome::Committed(_) => Ok(Outcome::Done),
        store::WriteOutcome::Conflict(rows) => Ok(rows
            .first()
            .map_or(Outcome::Retry(0), |row| compare(context, service, to, progress, row))),
    }
}

async fn read_back(
    context: &Shared,
    service: &id::ServiceId,
    to: &id::VersionId,
    progress: fleet::Progress,
) -> Result<Outcome, String> {
    let rows = store_row::read(context, row::STATUS).await?;
    let key = row::status_key(service);
    let found = rows.iter().find(|row| row.key == key);
    Ok(found.map_or(Outcome::Retry(0), |row| compare(context, service, to, progress, row)))
}

// Compares the stored status with the one to be written. A final status that is already stored
// prevails and is adopted.
fn compare(
    context: &Shared,
    service: &id::ServiceId,
    to: &id::VersionId,
    progress: fleet::Progress,
    found: &fleet::RawRow,
) -> Outcome {
    match found.value.as_ref().map(|value| row::decode_status(value)) {
        Some(Ok((at, state))) if at == *to && is_final(state) => {
            if let Some(canary) = context.state().canaries.get_mut(service) {
                canary.set_progress(state);
            }
            Outcome::Done
        }
        Some(Ok((at, state))) if at == *to && state == progress => Outcome::Done,
        _ => Outcome::Retry(found.version.number),
    }
}

const fn is_final(progress: fleet::Progress) -> bool {
    !matches!(progress, fleet::Progress::Running)
}
