//! `ibishill serve`: one daemon until it is asked to stop.

use ibishill_config::{document, settings};
use ibishill_core::secret;
use ibishill_daemon::start;
use ibishill_peer::tls;
use ibishill_platform::http;

use crate::connect;
use crate::error::CommandError;

/// Starts a daemon with the settings in a file, and stops it on SIGTERM or SIGINT.
pub(crate) async fn run(words: &[String]) -> Result<(), CommandError> {
    let file = super::one(words, "settings file")?;
    let settings = document::settings(file, &connect::read(file)?)?;
    log_to_stderr()?;
    start::check_security(&settings).map_err(|source| CommandError::Start { source })?;
    let platform = http::connect(&settings.platform)
        .map_err(|error| CommandError::Other { detail: error.to_string() })?;
    let identity = identity(&settings)?;
    let daemon = tokio::task::spawn_blocking(move || start::start(settings, &platform, &identity))
        .await
        .map_err(|error| CommandError::Other { detail: error.to_string() })?
        .map_err(|source| CommandError::Start { source })?;
    wait_for_signal().await?;
    daemon.stop().await;
    Ok(())
}

/// Sends log events to standard error.
pub(crate) fn log_to_stderr() -> Result<(), CommandError> {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(simplelog::LevelFilter::Off)
        .set_thread_level(simplelog::LevelFilter::Off)
        .add_filter_allow_str("ibishill")
        .build();
    let output = std::io::stderr();
    simplelog::WriteLogger::init(simplelog::LevelFilter::Info, config, output)
        .map_err(|error| CommandError::Other { detail: error.to_string() })
}

fn identity(settings: &settings::Settings) -> Result<tls::Identity, CommandError> {
    let security = &settings.security;
    match (&security.authority, &security.certificate, &security.private_key) {
        (Some(authority), Some(certificate), Some(key)) => Ok(tls::Identity {
            authority: connect::read(authority)?,
            certificate: connect::read(certificate)?,
            private_key: secret::Secret::new(connect::read(key)?),
        }),
        (None, None, None) if security.insecure => own_authority(settings),
        _ => Err(CommandError::Other {
            detail: "security needs authority, certificate and private-key; make them with 'ibishill certs'".into(),
        }),
    }
}

// A daemon without certificates can serve alone, but no other daemon trusts it.
fn own_authority(settings: &settings::Settings) -> Result<tls::Identity, CommandError> {
    let other =
        |error: ibishill_peer::error::LinkError| CommandError::Other { detail: error.to_string() };
    let authority = tls::Authority::generate().map_err(other)?;
    authority.sign(&settings.vm, &settings.zone).map_err(other)
}

/// Returns once the process is asked to stop.
pub(crate) async fn wait_for_signal() -> Result<(), CommandError> {
    let failed =
        |source: std::io::Error| CommandError::File { path: "signal handler".into(), source };
    let kind = tokio::signal::unix::SignalKind::terminate();
    let mut terminate = tokio::signal::unix::signal(kind).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupt = tokio::signal::ctrl_c() => interrupt.map_err(failed),
    }
}
