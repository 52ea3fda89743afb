//! Parts of answers.

use ibishill_config::change;

use crate::generated::{AuditEntry, WaitReply};
use crate::service::DaemonVersion;

pub(super) fn audit_entry(change: change::Change) -> AuditEntry {
    AuditEntry {
        version: change.version.0,
        change_id: change.id.into(),
        author: change.author.into(),
        action: change.action,
        at_ms: change.at.0,
        steps: change.steps.iter().map(ToString::to_string).collect(),
    }
}

pub(super) fn wait(known: &[DaemonVersion], version: u64) -> WaitReply {
    let has = |daemon: &&DaemonVersion| daemon.version.is_some_and(|v| v.0 >= version);
    let name = |daemon: &DaemonVersion| daemon.vm.to_string();
    let confirmed: Vec<_> = known.iter().filter(has).map(name).collect();
    let missing: Vec<_> = known.iter().filter(|d| !has(d)).map(name).collect();
    let mut cut: Vec<_> = known.iter().map(|d| d.zone.to_string()).collect();
    cut.dedup();
    cut.retain(|zone| {
        let silent = |d: &DaemonVersion| d.version.is_none();
        known.iter().filter(|d| d.zone.as_str() == zone).all(silent)
    });
    WaitReply { in_force: missing.is_empty(), confirmed, missing, cut_zones: cut }
}
