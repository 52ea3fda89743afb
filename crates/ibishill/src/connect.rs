//! Connection from a command to a daemon's operator API, and what its requests share.

use std::fs;

use ibishill_core::secret;
use ibishill_operator::{client, generated};

use crate::args::Options;
use crate::error::CommandError;

/// URL of the operator API unless `--daemon` is given.
pub(crate) const DEFAULT_DAEMON: &str = "http://127.0.0.1:7102";

/// Connects to the daemon that the options select.
pub(crate) async fn connect(options: &Options) -> Result<client::Client, CommandError> {
    let address = options.daemon.as_deref().unwrap_or(DEFAULT_DAEMON);
    let token = options.token_file.as_deref().map(read_token).transpose()?;
    let trust = match &options.ca {
        None => None,
        Some(file) => Some(client::Tls {
            ca_certificate: read(file)?,
            server_name: options.server_name.clone(),
        }),
    };
    Ok(client::Client::connect_with(address, token.as_ref(), trust.as_ref()).await?)
}

fn read_token(path: &str) -> Result<secret::Secret, CommandError> {
    let text = read(path)?;
    Ok(secret::Secret::new(text.trim()))
}

pub(crate) fn read(path: &str) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|source| CommandError::File { path: path.to_owned(), source })
}

/// Builds the identity of a change from the options, with a random id if they give none.
pub(crate) fn order(options: &Options) -> generated::Order {
    let random = || format!("change-{:032x}", rand::random::<u128>());
    generated::Order {
        change_id: options.change_id.clone().unwrap_or_else(random),
        expected_version: options.expect,
    }
}

/// Attaches the id of a change to its error, so that the hint can offer an idempotent retry.
pub(crate) fn change_error<F>(order: &generated::Order) -> impl Fn(F) -> CommandError + use<F>
where
    F: Into<client::ClientError>,
{
    let id = order.change_id.clone();
    move |error| CommandError::Change { id: id.clone(), source: error.into() }
}
