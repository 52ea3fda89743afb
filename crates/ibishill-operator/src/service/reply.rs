//! Replies built from changes and daemon versions.

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

pub(super) fn wait(daemons: &[DaemonVersion], version: u64) -> WaitReply {
    let is_confirmed = |daemon: &&DaemonVersion| daemon.version.is_some_and(|v| v.0 >= version);
    let name = |daemon: &DaemonVersion| daemon.vm.to_string();
    let confirmed: Vec<_> = daemons.iter().filter(is_confirmed).map(name).collect();
    let missing: Vec<_> = daemons.iter().filter(|d| !is_confirmed(d)).map(name).collect();
    let mut silent_zones: Vec<_> = daemons.iter().map(|d| d.zone.to_string()).collect();
    silent_zones.dedup();
    silent_zones.retain(|zone| {
        let is_silent = |d: &DaemonVersion| d.version.is_none();
        daemons.iter().filter(|d| d.zone.as_str() == zone).all(is_silent)
    });
    WaitReply { in_force: missing.is_empty(), confirmed, missing, cut_zones: silent_zones }
}
