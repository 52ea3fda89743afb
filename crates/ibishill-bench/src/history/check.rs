//! The invariants of a history.

use std::collections::{BTreeMap, BTreeSet};

use super::{History, Outcome, head};

/// Longest time from the acceptance of a change until a daemon has it in force, in milliseconds.
pub const IN_FORCE_MS: u64 = 8_000;

/// Returns the violated invariants of a history.
pub fn check(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    if !head::is_linearizable(&history.proposals, &history.log) {
        violations.push("head: the orders are not linearizable".into());
    }
    check_audit(history, &mut violations);
    check_winners(history, &mut violations);
    check_reverts(history, &mut violations);
    check_in_force(history, &mut violations);
    violations.extend(history.overlaps.iter().take(3).map(|text| format!("owner: {text}")));
    violations.extend(history.unowned.iter().take(3).map(|text| format!("idle: {text}")));
    violations
}

fn check_audit(history: &History, violations: &mut Vec<String>) {
    for (index, change) in history.log.iter().enumerate() {
        if change.version.0 != index as u64 + 1 {
            violations.push(format!("audit: entry {} holds version {}", index + 1, change.version));
        }
    }
    for proposal in &history.proposals {
        let rows = history.log.iter().filter(|change| change.id == proposal.id);
        let rows: Vec<_> = rows.map(|change| change.version.0).collect();
        let matches = match proposal.outcome {
            Outcome::Accepted(version) => rows == [version],
            Outcome::Conflict(_) | Outcome::NotDone => rows.is_empty(),
            Outcome::Unknown => rows.len() <= 1,
        };
        if !matches {
            violations.push(format!(
                "audit: {} ended as {:?}, entries {rows:?}",
                proposal.id, proposal.outcome
            ));
        }
    }
}

fn check_winners(history: &History, violations: &mut Vec<String>) {
    let mut win_counts = BTreeMap::new();
    for proposal in &history.proposals {
        if let (Some(expected), Outcome::Accepted(_)) = (proposal.expected, &proposal.outcome) {
            *win_counts.entry(expected).or_insert(0) += 1;
        }
    }
    for (expected, count) in win_counts.into_iter().filter(|(_, count)| *count > 1) {
        violations.push(format!("conflict: {count} orders won version {expected}"));
    }
}

fn check_reverts(history: &History, violations: &mut Vec<String>) {
    let mut newest_by_vm = BTreeMap::new();
    for applied in &history.applied {
        let newest = newest_by_vm.entry(&applied.vm).or_insert(0);
        if applied.version < *newest {
            let (vm, version) = (&applied.vm, applied.version);
            violations.push(format!("revert: {vm} went from {newest} to {version}"));
        }
        *newest = applied.version.max(*newest);
    }
}

// A daemon that is undisturbed for `IN_FORCE_MS` after acceptance has the change in force by then.
fn check_in_force(history: &History, violations: &mut Vec<String>) {
    let mut late = BTreeSet::new();
    for proposal in &history.proposals {
        let Outcome::Accepted(version) = proposal.outcome else { continue };
        let (from, until) = (proposal.answered_ms, proposal.answered_ms + IN_FORCE_MS);
        for vm in &history.started {
            let is_disturbed = history.disturbances.iter().any(|disturbance| {
                disturbance.vm.as_ref().is_none_or(|disturbed| disturbed == vm)
                    && disturbance.from < until
                    && disturbance.until > from
            });
            let mut by_vm = history.applied.iter().filter(|applied| applied.vm == *vm);
            let in_force =
                by_vm.any(|applied| applied.version >= version && applied.at_ms <= until);
            if !is_disturbed && !in_force {
                late.insert(format!("in force: {vm} lacks version {version} after 8 s"));
            }
        }
    }
    violations.extend(late.into_iter().take(3));
}
