//! Log lines of roll-outs: what this relay knows of one, and from whom.

use ibishill_core::{event, time};
use ibishill_decide::canary;

/// Relays whose counts one line names, those with the most answers first.
const SOURCES_MAX: usize = 12;

/// Logs a change of a roll-out; `source` is who told it.
pub(crate) fn log(
    event: event::Event,
    canary: &canary::Canary,
    state: &str,
    source: &str,
    now: time::Tick,
) {
    let order = canary.order();
    let version = canary.version().map_or("-".to_owned(), |version| version.to_string());
    let totals = canary.totals();
    let mut sources = canary.sources(now);
    sources.sort_by_key(|source| std::cmp::Reverse(source.answers.all + source.answers.lost));
    sources.truncate(SOURCES_MAX);
    let earlier: Vec<String> = canary.earlier().iter().map(ToString::to_string).collect();
    let sources: Vec<String> = sources.iter().map(ToString::to_string).collect();
    event::emit_json(
        event,
        &[
            event::field("service", &order.service),
            event::field("to", &order.to),
            event::field("order", &version),
            event::field("state", &state),
            event::field("source", &source),
            event::field("age", &canary.age(now)),
            event::field("is_informed", &canary.is_informed()),
            event::field("evidence", &format!("{:.1}", canary.evidence())),
            event::field("stable", &totals.stable.all),
            event::field("stable_failed", &totals.stable.failed),
            event::field("stable_lost", &totals.stable.lost),
            event::field("candidate", &totals.candidate.all),
            event::field("candidate_failed", &totals.candidate.failed),
            event::field("candidate_lost", &totals.candidate.lost),
            event::field("counts", &sources.join(" ")),
            event::field("earlier", &earlier.join(" ")),
        ],
    );
}
