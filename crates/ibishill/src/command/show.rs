//! Commands that only read.

use ibishill_operator::generated;
use serde_json::{Value, json};

use crate::args::Options;
use crate::error::CommandError;
use crate::{connect, output};

const WAIT_MS: u64 = 8_000;

/// Shows what a daemon knows.
pub(crate) async fn status(options: &Options) -> Result<(), CommandError> {
    let reply = connect::connect(options).await?.status(generated::StatusRequest {}).await?;
    let mut lines = vec![format!(
        "daemon {} in {}: {}, configuration {}",
        reply.vm,
        reply.zone,
        if reply.ready { "ready" } else { "not ready" },
        reply.version
    )];
    lines.extend(reply.zones.iter().map(|zone| {
        let state = if zone.in_service { "in" } else { "out" };
        format!("zone {} {state}, view {}: {}", zone.zone, zone.view, zone.vms.join(" "))
    }));
    lines.extend(reply.versions.iter().map(|v| format!("version {} {}", v.version, v.state)));
    lines.extend(reply.rollouts.iter().map(rollout_line));
    lines.extend(reply.endpoints.iter().map(endpoint_line));
    output::print(options.json, &status_json(&reply), &lines);
    Ok(())
}

fn rollout_line(rollout: &generated::RolloutStatus) -> String {
    let generated::RolloutStatus { rollout, from_version, to_version, percent, state, reason } =
        rollout;
    format!("roll-out {rollout} {from_version} -> {to_version}: {percent} % {state} {reason}")
        .trim_end()
        .to_owned()
}

fn endpoint_line(endpoint: &generated::EndpointStatus) -> String {
    let state = if endpoint.in_service { "in" } else { "out" };
    let load = match (endpoint.running, endpoint.limit) {
        (Some(running), Some(limit)) => format!(", {running} of {limit}"),
        _ => String::new(),
    };
    let generated::EndpointStatus { endpoint, zone, owner, .. } = endpoint;
    format!("endpoint {endpoint} in {zone} {state}, owner {owner}{load}")
}

fn status_json(reply: &generated::StatusReply) -> Value {
    let zones: Vec<_> = reply
        .zones
        .iter()
        .map(|z| json!({"zone": z.zone, "in-service": z.in_service, "view": z.view, "vms": z.vms}))
        .collect();
    let endpoints: Vec<_> = reply
        .endpoints
        .iter()
        .map(|e| {
            json!({"endpoint": e.endpoint, "zone": e.zone, "in-service": e.in_service,
            "owner": e.owner, "running": e.running, "limit": e.limit})
        })
        .collect();
    let rollouts: Vec<_> = reply
        .rollouts
        .iter()
        .map(|r| {
            json!({"rollout": r.rollout, "from": r.from_version, "to": r.to_version,
            "percent": r.percent, "state": r.state, "reason": r.reason})
        })
        .collect();
    let versions: Vec<_> =
        reply.versions.iter().map(|v| json!({"version": v.version, "state": v.state})).collect();
    json!({"vm": reply.vm, "zone": reply.zone, "ready": reply.ready, "version": reply.version,
        "zones": zones, "endpoints": endpoints, "rollouts": rollouts, "versions": versions})
}

/// Waits until a configuration version is in force everywhere.
pub(crate) async fn wait(words: &[String], options: &Options) -> Result<(), CommandError> {
    let word = super::one(words, "configuration version")?;
    let version = word.parse().map_err(|_| CommandError::Usage {
        detail: format!("{word:?} is no configuration version"),
    })?;
    let timeout_ms = options.timeout_ms.unwrap_or(WAIT_MS);
    let message = generated::WaitRequest { version, timeout_ms };
    let reply = connect::connect(options).await?.wait_in_force(message).await?;
    let value = json!({"in-force": reply.in_force, "confirmed": reply.confirmed,
        "missing": reply.missing, "cut-zones": reply.cut_zones});
    let line = format!(
        "confirmed: {}; missing: {}; zones cut off: {}",
        reply.confirmed.join(" "),
        reply.missing.join(" "),
        reply.cut_zones.join(" ")
    );
    output::print(options.json, &value, &[line]);
    if reply.in_force {
        return Ok(());
    }
    Err(CommandError::Timeout { detail: format!("version {version} is not in force everywhere") })
}

/// Lists accepted changes.
pub(crate) async fn audit(options: &Options) -> Result<(), CommandError> {
    let message = generated::AuditRequest { after: options.expect.unwrap_or(0), limit: 0 };
    let reply = connect::connect(options).await?.audit(message).await?;
    let entries: Vec<_> = reply
        .entries
        .iter()
        .map(|e| {
            json!({"version": e.version, "change-id": e.change_id, "author": e.author,
            "action": e.action, "at-ms": e.at_ms, "steps": e.steps})
        })
        .collect();
    let lines: Vec<_> = reply
        .entries
        .iter()
        .map(|e| {
            let (version, author, action) = (e.version, &e.author, &e.action);
            format!("{version} {} {author} {action}: {}", e.at_ms, e.steps.join(", "))
        })
        .collect();
    output::print(options.json, &entries.into(), &lines);
    Ok(())
}

/// Lists minutes with a refusal.
pub(crate) async fn refusals(options: &Options) -> Result<(), CommandError> {
    let workspace = options.workspace.clone().unwrap_or_default();
    let message = generated::RefusalsRequest { workspace };
    let reply = connect::connect(options).await?.refusals(message).await?;
    let minutes: Vec<_> = reply
        .minutes
        .iter()
        .map(|m| {
            json!({"workspace": m.workspace, "minute": m.minute, "reason": m.reason,
            "refused": m.refused})
        })
        .collect();
    let lines: Vec<_> = reply
        .minutes
        .iter()
        .map(|m| format!("{} {} {} {}", m.minute, m.workspace, m.reason, m.refused))
        .collect();
    output::print(options.json, &minutes.into(), &lines);
    Ok(())
}

/// Shows totals of billing.
pub(crate) async fn billing(options: &Options) -> Result<(), CommandError> {
    let workspace = options.workspace.clone().unwrap_or_default();
    let message = generated::BillingRequest { workspace };
    let reply = connect::connect(options).await?.billing(message).await?;
    let totals: Vec<_> = reply
        .lines
        .iter()
        .map(|line| {
            json!({"workspace": line.workspace, "target": line.target, "requests": line.requests,
            "prompt-tokens": line.prompt_tokens, "output-tokens": line.output_tokens,
            "price-micros": line.price_micros})
        })
        .collect();
    let lines: Vec<_> = reply
        .lines
        .iter()
        .map(|line| {
            let price = ibishill_core::cost::Micros(line.price_micros);
            let (space, target, requests) = (&line.workspace, &line.target, line.requests);
            let tokens = format!("{} + {}", line.prompt_tokens, line.output_tokens);
            format!("{space} {target}: {requests} requests, {tokens} tokens, {price}")
        })
        .collect();
    output::print(options.json, &totals.into(), &lines);
    Ok(())
}
