//! Checks that span several declared objects.

use std::fmt;

use crate::{declared, finding};

/// Checks references and ranges; returns every finding.
pub fn check(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut found = Vec::new();
    let mut add = |path: String, message: String| {
        found.push(finding::Finding {
            file: file.to_owned(),
            line: 0,
            column: 0,
            path,
            message,
            hint: None,
        });
    };
    for (name, endpoint) in &declared.endpoints {
        if !declared.zones.contains_key(&endpoint.zone) {
            add(path("endpoints", name, "zone"), format!("zone {} is not declared", endpoint.zone));
        }
        for version in endpoint.versions.iter().filter(|v| !declared.versions.contains_key(v)) {
            add(path("endpoints", name, "versions"), format!("version {version} is not declared"));
        }
        for service in endpoint.services.iter().filter(|s| !declared.services.contains_key(s)) {
            add(path("endpoints", name, "services"), format!("service {service} is not declared"));
        }
        if endpoint.slots == 0 {
            add(path("endpoints", name, "slots"), "an endpoint has at least one slot".into());
        }
        if endpoint.cold_slots > endpoint.slots {
            add(path("endpoints", name, "cold-slots"), "more cold slots than slots".into());
        }
    }
    for (name, version) in &declared.versions {
        if !(0.0..=1.0).contains(&version.quality) {
            add(path("versions", name, "quality"), "quality lies between 0 and 1".into());
        }
    }
    for (name, space) in &declared.workspaces {
        if !(0.0..=1.0).contains(&space.quality_target) {
            add(path("workspaces", name, "quality-target"), "a target lies between 0 and 1".into());
        }
        for allowed in &space.models {
            if !declared.versions.keys().any(|version| allowed.covers(version)) {
                let shown = String::from(allowed.clone());
                add(path("workspaces", name, "models"), format!("{shown} is not declared"));
            }
        }
    }
    for (name, rollout) in &declared.rollouts {
        for version in [&rollout.from, &rollout.to] {
            if !declared.versions.contains_key(version) {
                add(path("rollouts", name, "to"), format!("version {version} is not declared"));
            }
        }
    }
    found
}

fn path<N>(kind: &str, name: N, field: &str) -> String
where
    N: fmt::Display,
{
    format!("{kind}.{name}.{field}")
}
