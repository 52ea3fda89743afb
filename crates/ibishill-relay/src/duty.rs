//! Roll-outs: every relay acts on its own verdict, and one of them tells the operator.

use std::time::Duration;

use ibishill_adapter::{row, store};
use ibishill_core::{event, fleet, id, time};
use ibishill_decide::canary;
use tokio::time as clock;

use crate::context::Shared;
use crate::state::State;
use crate::{gossip, upstream};

/// Time between two looks at the counts.
const LOOK: Duration = Duration::from_millis(100);

/// Looks for which each relay further down the order leaves the writing to those before it.
const LOOKS_PER_RANK: u32 = 12;

/// Longest time for a write.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_millis(400);

/// Tells the operator how roll-outs stand; a slow write holds up no verdict.
pub(crate) async fn report(context: Shared) {
    let mut written: std::collections::BTreeMap<id::ServiceId, Written> = Default::default();
    loop {
        clock::sleep(LOOK).await;
        for (service, to, progress) in standing(&context) {
            let known = written.entry(service.clone()).or_default();
            if known.to.as_ref() != Some(&to) || known.progress != Some(progress) {
                *known = Written {
                    to: Some(to.clone()),
                    progress: Some(progress),
                    version: known.version,
                    waited: 0,
                    is_done: false,
                };
            }
            if known.is_done {
                continue;
            }
            known.waited += 1;
            if !is_due(&context, &service, known.waited) {
                continue;
            }
            match write(&context, &service, &to, progress, known.version).await {
                Ok(Outcome::Done) => known.is_done = true,
                Ok(Outcome::Retry(version)) => known.version = version,
                Err(detail) => {
                    event::emit_json(
                        event::Event::StatusDelayed,
                        &[event::field("service", &service), event::field("detail", &detail)],
                    );
                    clock::sleep(PAUSE).await;
                    // The write may have been done although its answer is lost.
                    match read_back(&context, &service, &to, progress).await {
                        Ok(Outcome::Done) => known.is_done = true,
                        Ok(Outcome::Retry(version)) => known.version = version,
                        Err(_) => {}
                    }
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct Written {
    to: Option<id::VersionId>,
    progress: Option<fleet::Progress>,
    /// Version of the row as last seen.
    version: u64,
    waited: u32,
    is_done: bool,
}

fn is_due(context: &Shared, service: &id::ServiceId, waited: u32) -> bool {
    let now = context.now();
    let rank = context.state().peers.rank(service.as_str(), now);
    waited > u32::try_from(rank).unwrap_or(u32::MAX).saturating_mul(LOOKS_PER_RANK)
}

/// Settles roll-outs whose time is over or that peers' counts decide.
pub(crate) async fn watch(context: Shared) {
    loop {
        clock::sleep(LOOK).await;
        let now = context.now();
        let mut state = context.state();
        let services: Vec<_> = state.canaries.keys().cloned().collect();
        for service in services {
            judge(&mut state, &service, now);
        }
    }
}

/// Settles the roll-out of a service by what is known here.
pub(crate) fn judge(state: &mut State, service: &id::ServiceId, now: time::Tick) {
    let decides = state.peers.rank(service.as_str(), now) < gossip::DECIDERS;
    let Some(canary) = state.canaries.get_mut(service) else { return };
    let verdict = canary.verdict(decides, now);
    if verdict == canary.progress() {
        return;
    }
    canary.merge_progress(verdict);
    let sums = canary.totals();
    event::emit_json(
        event::Event::RolloutChanged,
        &[
            event::field("service", service),
            event::field("to", &canary.order().to),
            event::field("state", &format!("{verdict:?}")),
            event::field("age", &canary.age(now)),
            event::field("evidence", &format!("{:.1}", canary.evidence())),
            event::field("stable", &sums.stable.all),
            event::field("stable_failed", &sums.stable.failed),
            event::field("candidate", &sums.candidate.all),
            event::field("candidate_failed", &sums.candidate.failed),
        ],
    );
}

fn standing(context: &Shared) -> Vec<(id::ServiceId, id::VersionId, fleet::Progress)> {
    let state = context.state();
    let of = |(service, canary): (&id::ServiceId, &canary::Canary)| {
        (service.clone(), canary.order().to.clone(), canary.progress())
    };
    state.canaries.iter().map(of).collect()
}

enum Outcome {
    Done,
    /// The row has this version, with another state.
    Retry(u64),
}

async fn write(
    context: &Shared,
    service: &id::ServiceId,
    to: &id::VersionId,
    progress: fleet::Progress,
    expected: u64,
) -> Result<Outcome, String> {
    let address = context.state().place.store;
    let key = row::status_key(service);
    let value = row::encode_status(to, progress);
    let request = store::write(&address.to_string(), row::STATUS, &key, &value, expected);
    let answer = upstream::exchange(address, request, LIMIT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    match store::decode_write(answer.status(), answer.body()) {
        Ok(store::WriteOutcome::Committed(_)) => Ok(Outcome::Done),
        Ok(store::WriteOutcome::Conflict(rows)) => Ok(rows
            .first()
            .map_or(Outcome::Retry(0), |row| compare(context, service, to, progress, row))),
        Err(error) => Err(error.to_string()),
    }
}

async fn read_back(
    context: &Shared,
    service: &id::ServiceId,
    to: &id::VersionId,
    progress: fleet::Progress,
) -> Result<Outcome, String> {
    let address = context.state().place.store;
    let request = store::read(&address.to_string(), row::STATUS, None);
    let answer = upstream::exchange(address, request, LIMIT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let rows = store::decode_rows(answer.status(), answer.body());
    let rows = rows.map_err(|error| error.to_string())?.rows;
    let key = row::status_key(service);
    let found = rows.iter().find(|row| row.key == key);
    Ok(found.map_or(Outcome::Retry(0), |row| compare(context, service, to, progress, row)))
}

// Whether the row that is there says what is to be written, or an end, which stands.
fn compare(
    context: &Shared,
    service: &id::ServiceId,
    to: &id::VersionId,
    progress: fleet::Progress,
    found: &fleet::Record,
) -> Outcome {
    match found.value.as_ref().map(|value| row::decode_status(value)) {
        Some(Ok((at, state))) if at == *to && is_final(state) => {
            if let Some(canary) = context.state().canaries.get_mut(service) {
                canary.set_progress(state);
            }
            Outcome::Done
        }
        Some(Ok((at, state))) if at == *to && state == progress => Outcome::Done,
        _ => Outcome::Retry(found.version),
    }
}

const fn is_final(progress: fleet::Progress) -> bool {
    !matches!(progress, fleet::Progress::Running)
}
