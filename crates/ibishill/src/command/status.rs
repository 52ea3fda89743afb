//! `ibishill status`: shows the state of the deployment as one daemon sees it.

use ibishill_operator::generated;
use serde_json::{Value, json};

use crate::args::Options;
use crate::error::CommandError;
use crate::{connect, output};

/// Shows a daemon's zones, versions, roll-outs and endpoints.
pub(crate) async fn run(options: &Options) -> Result<(), CommandError> {
    let reply = connect::connect(options).await?.status(generated::StatusRequest {}).await?;
    output::print(options.json, &status_json(&reply), &lines(&reply));
    Ok(())
}

fn lines(reply: &generated::StatusReply) -> Vec<String> {
    let ready = if reply.ready { "ready" } else { "not ready" };
    let generated::StatusReply { vm, zone, version, .. } = reply;
    let mut lines = vec![format!("daemon {vm} in {zone}: {ready}, configuration {version}")];
    push_table(&mut lines, &["ZONE", "STATE", "VIEW", "VMS"], reply.zones.iter().map(zone_row));
    let versions = reply.versions.iter().map(|v| vec![v.version.clone(), v.state.clone()]);
    push_table(&mut lines, &["VERSION", "STATE"], versions);
    let header = ["ROLL-OUT", "FROM", "TO", "PERCENT", "STATE", "REASON"];
    push_table(&mut lines, &header, reply.rollouts.iter().map(rollout_row));
    let header = ["ENDPOINT", "ZONE", "STATE", "OWNER", "RUNNING", "LIMIT"];
    push_table(&mut lines, &header, reply.endpoints.iter().map(endpoint_row));
    lines
}

fn push_table<R>(lines: &mut Vec<String>, header: &[&str], rows: R)
where
    R: Iterator<Item = Vec<String>>,
{
    let header: Vec<_> = header.iter().map(|&name| name.to_owned()).collect();
    let mut table = vec![header];
    table.extend(rows);
    if table.len() > 1 {
        lines.push(String::new());
        lines.extend(output::columns(&table));
    }
}

fn service_state(in_service: bool) -> String {
    if in_service { "in".to_owned() } else { "out".to_owned() }
}

fn zone_row(zone: &generated::ZoneStatus) -> Vec<String> {
    vec![
        zone.zone.clone(),
        service_state(zone.in_service),
        zone.view.to_string(),
        zone.vms.join(" "),
    ]
}

fn rollout_row(rollout: &generated::RolloutStatus) -> Vec<String> {
    let generated::RolloutStatus { rollout, from_version, to_version, percent, state, reason } =
        rollout.clone();
    vec![rollout, from_version, to_version, percent.to_string(), state, reason]
}

// Only the endpoint's owner reports requests in flight and the limit; others are shown as '-'.
fn endpoint_row(endpoint: &generated::EndpointStatus) -> Vec<String> {
    let or_dash = |count: Option<u32>| count.map_or_else(|| "-".to_owned(), |n| n.to_string());
    let generated::EndpointStatus { endpoint, zone, in_service, owner, running, limit, .. } =
        endpoint.clone();
    vec![endpoint, zone, service_state(in_service), owner, or_dash(running), or_dash(limit)]
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
