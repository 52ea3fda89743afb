//! `ibishill serve`: runs one daemon until it is signalled to stop.

use ibishill_config::{document, settings};
use ibishill_core::{event, secret};
use ibishill_daemon::{context, reload, start};
use ibishill_peer::tls;
use ibishill_platform::http;
use tokio::signal;

use crate::connect;
use crate::error::CommandError;

/// Environment variable that sets the log level; `info` if absent or invalid.
const LOG_LEVEL: &str = "IBISHILL_LOG";

/// Starts a daemon with the settings in a file, reloads it on SIGHUP and stops it on SIGTERM or
/// SIGINT.
pub(crate) async fn run(args: &[String]) -> Result<(), CommandError> {
    let file = super::single_arg(args, "settings file")?;
    let settings = document::settings(file, &connect::read(file)?)?;
    log_to_stderr()?;
    start::check_security(&settings).map_err(|source| CommandError::Start { source })?;
    let platform = http::connect(&settings.platform)
        .map_err(|error| CommandError::Other { detail: error.to_string() })?;
    let (from_files, identity) = load_identity(&settings)?;
    let sighup = signal::unix::signal(signal::unix::SignalKind::hangup()).map_err(signal_error)?;
    let daemon = tokio::task::spawn_blocking(move || start::start(settings, &platform, &identity))
        .await
        .map_err(|error| CommandError::Other { detail: error.to_string() })?
        .map_err(|source| CommandError::Start { source })?;
    tokio::select! {
        stop = wait_for_signal() => stop?,
        () = reload_on_sighup(sighup, file, from_files, &daemon.context) => {}
    }
    daemon.stop().await;
    Ok(())
}

// Whether the identity was read from files; a reload then reads it again, and otherwise keeps it.
type FromFiles = bool;

async fn reload_on_sighup(
    mut sighup: signal::unix::Signal,
    file: &str,
    from_files: FromFiles,
    context: &context::Context,
) {
    while sighup.recv().await.is_some() {
        if let Err(error) = reload(file, from_files, context) {
            event::emit(event::Event::SecurityInvalid, &[event::field("error", &error)]);
        }
    }
}

fn reload(
    file: &str,
    from_files: FromFiles,
    context: &context::Context,
) -> Result<(), CommandError> {
    let settings = document::settings(file, &connect::read(file)?)?;
    let identity = if from_files { Some(load_identity(&settings)?.1) } else { None };
    let applied = reload::apply(context, &settings, identity.as_ref());
    applied.map(|_changes| ()).map_err(|source| CommandError::Start { source })
}

/// Sends this project's log events to standard error.
pub(crate) fn log_to_stderr() -> Result<(), CommandError> {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(simplelog::LevelFilter::Off)
        .set_thread_level(simplelog::LevelFilter::Off)
        .add_filter_allow_str("ibishill")
        .build();
    let output = std::io::stderr();
    let level = std::env::var(LOG_LEVEL).ok().and_then(|text| text.parse().ok());
    let level = level.unwrap_or(simplelog::LevelFilter::Info);
    simplelog::WriteLogger::init(level, config, output)
        .map_err(|error| CommandError::Other { detail: error.to_string() })
}

fn load_identity(
    settings: &settings::Settings,
) -> Result<(FromFiles, tls::Identity), CommandError> {
    let security = &settings.security;
    match (&security.authority, &security.certificate, &security.private_key) {
        (Some(authority), Some(certificate), Some(key)) => {
            let identity = tls::Identity {
                authority: connect::read(authority)?,
                certificate: connect::read(certificate)?,
                private_key: secret::Secret::new(connect::read(key)?),
            };
            Ok((true, identity))
        }
        (None, None, None) if security.insecure => Ok((false, generate_identity(settings)?)),
        _ => Err(CommandError::Other {
            detail: "security requires authority, certificate and private-key; create them with 'ibishill certs'".into(),
        }),
    }
}

// Signs a certificate with a new authority. The daemon can serve alone, but no other daemon
// trusts it.
fn generate_identity(settings: &settings::Settings) -> Result<tls::Identity, CommandError> {
    let to_error =
        |error: ibishill_peer::error::LinkError| CommandError::Other { detail: error.to_string() };
    let authority = tls::Authority::generate().map_err(to_error)?;
    authority.sign(&settings.vm, &settings.zone).map_err(to_error)
}

fn signal_error(source: std::io::Error) -> CommandError {
    CommandError::File { path: "signal handler".into(), source }
}

/// Returns on SIGTERM or SIGINT.
pub(crate) async fn wait_for_signal() -> Result<(), CommandError> {
    let kind = signal::unix::SignalKind::terminate();
    let mut terminate = signal::unix::signal(kind).map_err(signal_error)?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupt = signal::ctrl_c() => interrupt.map_err(signal_error),
    }
}
