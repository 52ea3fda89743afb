//! `ibishill try`: a complete deployment in one process on loopback.

use std::net::SocketAddr;

use ibishill_config::{declared, key, settings, yaml};
use ibishill_core::{clock, id};
use ibishill_daemon::start;
use ibishill_peer::tls;
use ibishill_platform::Platform;
use ibishill_standin::{engine, memory};
use ibishill_state::log;

use super::serve;
use crate::connect;
use crate::error::CommandError;

const SETTINGS: &str = include_str!("trial/settings.yaml");
const DECLARED: &str = include_str!("trial/declared.yaml");
const KEY: &str = "try-key";
const SEED: u64 = 1;

/// Runs a daemon, an in-memory platform and two stand-in engines until SIGTERM or SIGINT.
pub(crate) async fn run() -> Result<(), CommandError> {
    serve::log_to_stderr()?;
    let mut settings: settings::Settings = yaml::read("settings.yaml", SETTINGS)?;
    settings.periods.drain = ibishill_core::time::Millis(100);
    let declared = declarations()?;
    for endpoint in declared.endpoints.values() {
        let engine = engine::Engine::new(engine::Behaviour::default());
        tokio::spawn(engine::server(engine, endpoint.address).launch());
    }
    let platform = memory::Memory::new(SEED).platform();
    commit_declarations(&platform, declared).await?;
    let authority = tls::Authority::generate().map_err(to_error)?;
    let identity = authority.sign(&settings.vm, &settings.zone).map_err(to_error)?;
    let (callers, operators) = (settings.callers, settings.operators);
    let daemon = tokio::task::spawn_blocking(move || start::start(settings, &platform, &identity))
        .await
        .map_err(|error| CommandError::Other { detail: error.to_string() })?
        .map_err(|source| CommandError::Start { source })?;
    while !daemon.context.lifecycle.is_ready() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    print_guide(callers, operators);
    serve::wait_for_signal().await?;
    daemon.stop().await;
    Ok(())
}

fn to_error<E>(error: E) -> CommandError
where
    E: std::fmt::Display,
{
    CommandError::Other { detail: error.to_string() }
}

fn declarations() -> Result<declared::Declared, CommandError> {
    let mut declared: declared::Declared = yaml::read("declared.yaml", DECLARED)?;
    for workspace in declared.workspaces.values_mut() {
        workspace.keys.push(key::KeyHash::of(KEY.as_bytes()));
    }
    Ok(declared)
}

async fn commit_declarations(
    platform: &Platform,
    declared: declared::Declared,
) -> Result<(), CommandError> {
    let steps = ibishill_config::change::diff(&declared::Declared::default(), &declared);
    let parse_id = |text: &str| text.parse::<id::ChangeId>().map_err(to_error);
    let proposal = log::Proposal {
        id: parse_id("try-defaults")?,
        author: "try".parse().map_err(to_error)?,
        action: "apply".into(),
        expected: None,
        steps,
    };
    let log = log::Log::new(platform);
    log.accept(&proposal, clock::wall_now()).await.map(drop).map_err(to_error)
}

fn print_guide(callers: SocketAddr, operators: SocketAddr) {
    let default = connect::DEFAULT_DAEMON;
    println!("callers:   http://{callers}");
    println!("operators: http://{operators} (the default of --daemon is {default})");
    println!();
    println!("A streamed chat request:");
    println!(
        "  curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer {KEY}' \
         -H 'content-type: application/json' -d '{{\"model\":\"auto\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hail dings on the roof\"}}]}}'"
    );
    println!("Operators' commands to try next:");
    for command in [
        "status",
        "rollout start v2 --from assistant@v1 --to assistant@v2 --stages 10,50,100",
        "withdraw assistant@v2",
        "zone out zone-a",
        "zone in zone-a",
        "audit",
        "billing",
    ] {
        println!("  cargo run -p ibishill -- {command}");
    }
}
