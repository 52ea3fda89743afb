//! Checks of declared objects.

use std::collections::BTreeMap;
use std::fmt;

use ibishill_core::id;

use crate::check::{Report, ZONE_UNUSED};
use crate::{declared, finding};

const MAX_PERCENT: u8 = 100;

fn path<N>(kind: &str, name: N, field: &str) -> String
where
    N: fmt::Display,
{
    format!("{kind}.{name}.{field}")
}

fn suggest<'a, N, K>(name: N, known: K) -> Option<String>
where
    N: fmt::Display,
    K: Iterator<Item = &'a dyn fmt::Display>,
{
    let known: Vec<_> = known.map(ToString::to_string).collect();
    let known: Vec<_> = known.iter().map(String::as_str).collect();
    finding::suggest(&name.to_string(), &known)
}

fn suggest_version(name: &str, declared: &declared::Declared) -> Option<String> {
    suggest(name, declared.versions.keys().map(|name| name as &dyn fmt::Display))
}

pub(super) fn endpoints(declared: &declared::Declared, report: &mut Report<'_>) {
    let mut addresses: BTreeMap<_, &id::EndpointId> = BTreeMap::new();
    for (name, endpoint) in &declared.endpoints {
        let at = |field: &str| path("endpoints", name, field);
        if !declared.zones.contains_key(&endpoint.zone) {
            let zones = declared.zones.keys().map(|name| name as &dyn fmt::Display);
            let message = format!("zone {} is not declared", endpoint.zone);
            report.add_with_hint(at("zone"), message, suggest(&endpoint.zone, zones));
        }
        for version in endpoint.versions.iter().filter(|v| !declared.versions.contains_key(v)) {
            let message = format!("version {version} is not declared");
            let hint = suggest_version(&version.to_string(), declared);
            report.add_with_hint(at("versions"), message, hint);
        }
        for service in endpoint.services.iter().filter(|s| !declared.services.contains_key(s)) {
            report.add(at("services"), format!("service {service} is not declared"));
        }
        if endpoint.slots == 0 {
            report.add(at("slots"), "an endpoint must have at least one slot");
        }
        if endpoint.slots > 0 && endpoint.cold_slots > endpoint.slots {
            report.add(at("cold-slots"), "cold-slots must not exceed slots");
        }
        memory(declared, endpoint, &at, report);
        if let Some(other) = addresses.insert(endpoint.address, name) {
            let message = format!("endpoint {other} already has the address {}", endpoint.address);
            report.add(at("address"), message);
        }
    }
}

fn memory<A>(
    declared: &declared::Declared,
    endpoint: &declared::Endpoint,
    at: &A,
    report: &mut Report<'_>,
) where
    A: Fn(&str) -> String,
{
    let Some(memory) = endpoint.memory else {
        if endpoint.adapters > 0 {
            report.add(at("adapters"), "adapters require that memory is declared");
        }
        return;
    };
    if memory == 0 {
        report.add(at("memory"), "memory must hold at least one version");
    }
    for name in &endpoint.versions {
        let base = declared.versions.get(name).and_then(|version| version.base.as_ref());
        let Some(base) = base else { continue };
        if !endpoint.versions.contains(base) {
            report.add(
                at("versions"),
                format!("{name} is an adapter of {base}, which is not listed"),
            );
        }
        if endpoint.adapters == 0 {
            report.add(at("adapters"), format!("adapters is 0, but {name} is an adapter"));
        }
    }
}

fn base_version(
    declared: &declared::Declared,
    name: &id::VersionRef,
    base: &id::VersionRef,
    report: &mut Report<'_>,
) {
    let at = path("versions", name, "base");
    match declared.versions.get(base) {
        None => {
            let hint = suggest_version(&base.to_string(), declared);
            report.add_with_hint(at, format!("version {base} is not declared"), hint);
        }
        Some(found) if found.base.is_some() => {
            report.add(at, format!("{base} is itself an adapter"));
        }
        Some(_) => {}
    }
}

pub(super) fn versions(declared: &declared::Declared, report: &mut Report<'_>) {
    for (name, version) in &declared.versions {
        if !(0.0..=1.0).contains(&version.quality) {
            report.add(path("versions", name, "quality"), "quality must be between 0 and 1");
        }
        if let Some(found) = &version.base {
            base_version(declared, name, found, report);
        }
    }
}

pub(super) fn services(declared: &declared::Declared, report: &mut Report<'_>) {
    for (name, service) in &declared.services {
        for (index, call) in service.calls.iter().enumerate() {
            let at = |field: &str| path("services", name, &format!("calls[{index}].{field}"));
            if !call.path.starts_with('/') {
                report.add(at("path"), "a path must start with '/'");
            }
            let is_upper = call.method.bytes().all(|byte| byte.is_ascii_uppercase());
            if call.method.is_empty() || (call.method != "*" && !is_upper) {
                report.add(at("method"), "a method must be in upper case or '*'");
            }
        }
    }
}

pub(super) fn workspaces(declared: &declared::Declared, report: &mut Report<'_>) {
    let mut keys: BTreeMap<String, &id::WorkspaceId> = BTreeMap::new();
    for (name, workspace) in &declared.workspaces {
        let at = |field: &str| path("workspaces", name, field);
        if !(0.0..=1.0).contains(&workspace.quality_target) {
            report.add(at("quality-target"), "a quality target must be between 0 and 1");
        }
        for selector in &workspace.models {
            if !declared.versions.keys().any(|version| selector.covers(version)) {
                let shown = String::from(selector.clone());
                let hint = suggest_version(&shown, declared);
                report.add_with_hint(at("models"), format!("{shown} is not declared"), hint);
            }
        }
        for service in workspace.services.iter().filter(|s| !declared.services.contains_key(s)) {
            report.add(at("services"), format!("service {service} is not declared"));
        }
        if workspace.share == 0 {
            report.add(at("share"), "a share must be at least 1");
        }
        for (index, key) in workspace.keys.iter().enumerate() {
            if let Some(other) = keys.insert(key.to_string(), name) {
                let message = format!("workspace {other} already has this key");
                report.add(at(&format!("keys[{index}]")), message);
            }
        }
    }
}

pub(super) fn rollouts(declared: &declared::Declared, report: &mut Report<'_>) {
    for (name, rollout) in &declared.rollouts {
        let at = |field: &str| path("rollouts", name, field);
        for (field, version) in [("from", &rollout.from), ("to", &rollout.to)] {
            if !declared.versions.contains_key(version) {
                let hint = suggest_version(&version.to_string(), declared);
                report.add_with_hint(at(field), format!("version {version} is not declared"), hint);
            }
        }
        if rollout.from.model != rollout.to.model {
            report.add(at("to"), "both versions must be of the same model");
        }
        if rollout.from == rollout.to {
            report.add(at("to"), "the new version must differ from the old one");
        }
        stages(rollout, &at("stages"), report);
        if rollout.stage >= rollout.stages.len() && !rollout.stages.is_empty() {
            report.add(
                at("stage"),
                format!("there are only {} stages, counted from 0", rollout.stages.len()),
            );
        }
    }
}

fn stages(rollout: &declared::Rollout, at: &str, report: &mut Report<'_>) {
    if rollout.stages.is_empty() {
        report.add(at.to_owned(), "a roll-out must have at least one stage");
    }
    if rollout.stages.iter().any(|stage| !(1..=MAX_PERCENT).contains(stage)) {
        report.add(at.to_owned(), "a stage must be between 1 and 100 percent");
    }
    if !rollout.stages.is_sorted_by(|left, right| left < right) {
        report.add(at.to_owned(), "each stage must be larger than the one before");
    }
}

pub(super) fn unused(declared: &declared::Declared, report: &mut Report<'_>) {
    for name in declared.zones.keys() {
        if !declared.endpoints.values().any(|endpoint| endpoint.zone == *name) {
            report.add(format!("zones.{name}"), ZONE_UNUSED);
        }
    }
    for (name, endpoint) in &declared.endpoints {
        if endpoint.versions.is_empty() && endpoint.services.is_empty() {
            report.add(
                format!("endpoints.{name}"),
                "the endpoint runs neither a version nor a service",
            );
        }
    }
    for (name, workspace) in &declared.workspaces {
        if workspace.keys.is_empty() {
            report.add(path("workspaces", name, "keys"), "a workspace must have at least one key");
        }
        if workspace.models.is_empty() && workspace.services.is_empty() {
            report.add(
                format!("workspaces.{name}"),
                "the workspace may use neither a model nor a service",
            );
        }
    }
}
