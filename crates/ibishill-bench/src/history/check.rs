//! The invariants that a history must keep.

use std::collections::{BTreeMap, BTreeSet};

use super::{End, History, head};

/// Longest time from acceptance until a daemon has a change in force, in milliseconds.
pub const IN_FORCE_MS: u64 = 8_000;

/// Lists what a history violates; empty if nothing.
pub fn check(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    if !head::is_linearizable(&history.orders, &history.log) {
        found.push("head: the orders are not linearizable".into());
    }
    audit(history, &mut found);
    winners(history, &mut found);
    reverts(history, &mut found);
    in_force(history, &mut found);
    found.extend(history.overlaps.iter().take(3).map(|text| format!("owner: {text}")));
    found.extend(history.idle.iter().take(3).map(|text| format!("idle: {text}")));
    found
}

fn audit(history: &History, found: &mut Vec<String>) {
    for (index, change) in history.log.iter().enumerate() {
        if change.version.0 != index as u64 + 1 {
            found.push(format!("audit: entry {} holds version {}", index + 1, change.version));
        }
    }
    for order in &history.orders {
        let rows = history.log.iter().filter(|change| change.id == order.id);
        let rows: Vec<_> = rows.map(|change| change.version.0).collect();
        let fits = match order.end {
            End::Accepted(version) => rows == [version],
            End::Conflict(_) | End::NotDone => rows.is_empty(),
            End::Unknown => rows.len() <= 1,
        };
        if !fits {
            found.push(format!("audit: {} ended as {:?}, entries {rows:?}", order.id, order.end));
        }
    }
}

fn winners(history: &History, found: &mut Vec<String>) {
    let mut wins = BTreeMap::new();
    for order in &history.orders {
        if let (Some(expected), End::Accepted(_)) = (order.expected, &order.end) {
            *wins.entry(expected).or_insert(0) += 1;
        }
    }
    for (expected, count) in wins.into_iter().filter(|(_, count)| *count > 1) {
        found.push(format!("conflict: {count} orders won version {expected}"));
    }
}

fn reverts(history: &History, found: &mut Vec<String>) {
    let mut newest = BTreeMap::new();
    for applied in &history.applied {
        let known = newest.entry(&applied.vm).or_insert(0);
        if applied.version < *known {
            let (vm, version) = (&applied.vm, applied.version);
            found.push(format!("revert: {vm} went from {known} to {version}"));
        }
        *known = applied.version.max(*known);
    }
}

// A daemon that was undisturbed from acceptance to the bound has the change in force.
fn in_force(history: &History, found: &mut Vec<String>) {
    let mut late = BTreeSet::new();
    for order in &history.orders {
        let End::Accepted(version) = order.end else { continue };
        let (from, until) = (order.answered, order.answered + IN_FORCE_MS);
        for vm in &history.started {
            let disturbed = history.disturbed.iter().any(|span| {
                span.vm.as_ref().is_none_or(|named| named == vm)
                    && span.from < until
                    && span.until > from
            });
            let mut own = history.applied.iter().filter(|applied| applied.vm == *vm);
            let done = own.any(|applied| applied.version >= version && applied.at <= until);
            if !disturbed && !done {
                late.insert(format!("in force: {vm} lacks version {version} after 8 s"));
            }
        }
    }
    found.extend(late.into_iter().take(3));
}
