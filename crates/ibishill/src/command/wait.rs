//! `ibishill wait`: blocks until a configuration version is in force at every daemon.

use std::time::{Duration, Instant};

use ibishill_operator::{client, generated};
use serde_json::json;

use crate::args::Options;
use crate::error::CommandError;
use crate::{connect, output};

const DEFAULT_TIMEOUT_MS: u64 = 8_000;
const MAX_CALL_MS: u64 = 5_000;
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until a configuration version is in force at every daemon, or fails with a timeout.
pub(crate) async fn run(args: &[String], options: &Options) -> Result<(), CommandError> {
    let arg = super::single_arg(args, "configuration version")?;
    let version = arg
        .parse()
        .map_err(|_| CommandError::usage(format!("{arg:?} is not a configuration version")))?;
    let deadline =
        Instant::now() + Duration::from_millis(options.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
    let reply = poll(options, version, deadline).await?;
    let value = json!({"in-force": reply.in_force, "confirmed": reply.confirmed,
        "missing": reply.missing, "cut-zones": reply.cut_zones});
    let lines = [
        format!("confirmed: {}", list(&reply.confirmed)),
        format!("missing: {}", list(&reply.missing)),
        format!("zones cut off: {}", list(&reply.cut_zones)),
    ];
    output::print(options.json, &value, &lines);
    if reply.in_force {
        return Ok(());
    }
    Err(CommandError::Timeout { detail: format!("version {version} is not in force everywhere") })
}

fn list(names: &[String]) -> String {
    if names.is_empty() { "none".to_owned() } else { names.join(" ") }
}

// Each call is at most `MAX_CALL_MS` long and transient errors are retried, so that the wait
// survives a daemon that restarts meanwhile.
async fn poll(
    options: &Options,
    version: u64,
    deadline: Instant,
) -> Result<generated::WaitReply, CommandError> {
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let message = generated::WaitRequest { version, timeout_ms: remaining_ms.min(MAX_CALL_MS) };
        match call_once(options, message).await {
            Ok(reply) if reply.in_force || remaining.is_zero() => return Ok(reply),
            Err(error) if remaining.is_zero() || !is_transient(&error) => return Err(error),
            Ok(_) => {}
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn call_once(
    options: &Options,
    message: generated::WaitRequest,
) -> Result<generated::WaitReply, CommandError> {
    Ok(connect::connect(options).await?.wait_in_force(message).await?)
}

fn is_transient(error: &CommandError) -> bool {
    match error {
        CommandError::Call { source: client::ClientError::Unreachable { .. } } => true,
        CommandError::Call { source: client::ClientError::Status { status } } => {
            matches!(status.code(), tonic::Code::Unavailable | tonic::Code::Unknown)
        }
        _ => false,
    }
}
