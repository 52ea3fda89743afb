//! Commands that list changes, refusals and billing totals.

use ibishill_operator::generated;
use serde_json::json;

use crate::args::Options;
use crate::error::CommandError;
use crate::{connect, output};

/// Lists accepted changes, oldest first.
pub(crate) async fn audit(options: &Options) -> Result<(), CommandError> {
    let found = audit_entries(options).await?;
    let entries: Vec<_> = found
        .iter()
        .map(|e| {
            json!({"version": e.version, "change-id": e.change_id, "author": e.author,
            "action": e.action, "at-ms": e.at_ms, "steps": e.steps})
        })
        .collect();
    let lines: Vec<_> = found
        .iter()
        .map(|e| {
            let (version, author, action) = (e.version, &e.author, &e.action);
            format!("{version} {} {author} {action}: {}", e.at_ms, e.steps.join(", "))
        })
        .collect();
    output::print(options.json, &entries.into(), &lines);
    Ok(())
}

// The daemon returns a page per call; reads pages until one is empty or the limit is reached.
async fn audit_entries(options: &Options) -> Result<Vec<generated::AuditEntry>, CommandError> {
    let mut client = connect::connect(options).await?;
    let limit = options.limit.unwrap_or(usize::MAX);
    let mut after = options.after.unwrap_or(0);
    let mut found = Vec::new();
    while found.len() < limit {
        let message = generated::AuditRequest { after, limit: 0 };
        let page = client.audit(message).await?.entries;
        let Some(last) = page.last() else { break };
        after = last.version;
        found.extend(page);
    }
    found.truncate(limit);
    Ok(found)
}

/// Lists the minutes in which requests were refused, by workspace and reason.
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

/// Shows billing totals by workspace and target.
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
            let (workspace, target, requests) = (&line.workspace, &line.target, line.requests);
            let tokens = format!("{} + {}", line.prompt_tokens, line.output_tokens);
            format!("{workspace} {target}: {requests} requests, {tokens} tokens, {price}")
        })
        .collect();
    output::print(options.json, &totals.into(), &lines);
    Ok(())
}
