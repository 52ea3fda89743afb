//! `ibishill wait`: until a configuration version is in force everywhere.

use std::time::{Duration, Instant};

use ibishill_operator::{client, generated};
use serde_json::json;

use crate::args::Options;
use crate::error::CommandError;
use crate::{connect, output};

const WAIT_MS: u64 = 8_000;
const CALL_MS: u64 = 5_000;
const RETRY: Duration = Duration::from_millis(200);

/// Waits until a configuration version is in force everywhere.
pub(crate) async fn run(words: &[String], options: &Options) -> Result<(), CommandError> {
    let word = super::one(words, "configuration version")?;
    let version = word
        .parse()
        .map_err(|_| CommandError::usage(format!("{word:?} is no configuration version")))?;
    let end = Instant::now() + Duration::from_millis(options.timeout_ms.unwrap_or(WAIT_MS));
    let reply = poll(options, version, end).await?;
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

// One call is short, so a daemon that stops meanwhile does not end the waiting.
async fn poll(
    options: &Options,
    version: u64,
    end: Instant,
) -> Result<generated::WaitReply, CommandError> {
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let message = generated::WaitRequest { version, timeout_ms: left_ms.min(CALL_MS) };
        match ask(options, message).await {
            Ok(reply) if reply.in_force || left.is_zero() => return Ok(reply),
            Err(error) if left.is_zero() || !passes(&error) => return Err(error),
            Ok(_) => {}
            Err(_) => tokio::time::sleep(RETRY).await,
        }
    }
}

async fn ask(
    options: &Options,
    message: generated::WaitRequest,
) -> Result<generated::WaitReply, CommandError> {
    Ok(connect::connect(options).await?.wait_in_force(message).await?)
}

fn passes(error: &CommandError) -> bool {
    match error {
        CommandError::Call { source: client::ClientError::Unreachable { .. } } => true,
        CommandError::Call { source: client::ClientError::Status { status } } => {
            matches!(status.code(), tonic::Code::Unavailable | tonic::Code::Unknown)
        }
        _ => false,
    }
}
