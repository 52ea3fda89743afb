//! Commands that change declarations, and `diff`, which previews a change.

use ibishill_config::finding;
use ibishill_operator::generated;
use serde_json::json;

use crate::args::Options;
use crate::error::CommandError;
use crate::table::{Subcommand, spec};
use crate::{connect, output};

fn print_applied(options: &Options, reply: &generated::ApplyReply) {
    let value = json!({"version": reply.version, "steps": reply.steps});
    let mut lines = reply.steps.clone();
    lines.push(format!("accepted as version {}", reply.version));
    output::print(options.json, &value, &lines);
}

/// Submits declarations.
pub(crate) async fn apply(args: &[String], options: &Options) -> Result<(), CommandError> {
    let document = connect::read(super::single_arg(args, "declarations file")?)?;
    let order = connect::order(options);
    let to_error = connect::change_error(&order);
    let message =
        generated::ApplyRequest { order: Some(order), document, partial: options.partial };
    let reply = connect::connect(options).await?.apply(message).await.map_err(to_error)?;
    print_applied(options, &reply);
    Ok(())
}

/// Shows what `apply` would change.
pub(crate) async fn diff(args: &[String], options: &Options) -> Result<(), CommandError> {
    let document = connect::read(super::single_arg(args, "declarations file")?)?;
    let message = generated::DiffRequest { document, partial: options.partial };
    let reply = connect::connect(options).await?.diff(message).await?;
    let value = json!({"version": reply.version, "steps": reply.steps});
    let mut lines = reply.steps.clone();
    lines.push(format!("{} step(s) from version {}", reply.steps.len(), reply.version));
    output::print(options.json, &value, &lines);
    Ok(())
}

fn two_args<'a>(args: &'a [String], usage: &str) -> Result<(&'a str, &'a str), CommandError> {
    match args {
        [action, name] => Ok((action, name)),
        _ => Err(CommandError::usage(format!("usage: ibishill {usage}"))),
    }
}

/// Starts, pauses, resumes, advances or halts a roll-out.
pub(crate) async fn rollout(args: &[String], options: &Options) -> Result<(), CommandError> {
    let (action, name) = two_args(args, "rollout start|pause|resume|advance|halt NAME")?;
    let action = match action {
        "start" => generated::RolloutAction::Start,
        "pause" => generated::RolloutAction::Pause,
        "resume" => generated::RolloutAction::Resume,
        "advance" => generated::RolloutAction::Advance,
        "halt" => generated::RolloutAction::Halt,
        _ => {
            let detail = format!("unrecognized roll-out action {action:?}");
            let hint = finding::suggest(action, spec(Subcommand::Rollout).choices);
            return Err(CommandError::Usage { detail, hint });
        }
    };
    let order = connect::order(options);
    let to_error = connect::change_error(&order);
    if action == generated::RolloutAction::Start {
        require(options.from.as_ref(), "--from")?;
        require(options.to.as_ref(), "--to")?;
    }
    let message = generated::RolloutRequest {
        order: Some(order),
        rollout: name.to_owned(),
        action: action.into(),
        from_version: options.from.clone().unwrap_or_default(),
        to_version: options.to.clone().unwrap_or_default(),
        stages: parse_stages(options)?,
        reason: options.reason.clone().unwrap_or_else(|| "halted by an operator".into()),
    };
    let reply = connect::connect(options).await?.rollout(message).await.map_err(to_error)?;
    print_applied(options, &reply);
    Ok(())
}

fn require(option: Option<&String>, name: &str) -> Result<(), CommandError> {
    let missing = || CommandError::usage(format!("{name} is required to start a roll-out"));
    option.map(drop).ok_or_else(missing)
}

fn parse_stages(options: &Options) -> Result<Vec<u32>, CommandError> {
    let text = options.stages.as_deref().unwrap_or("1,10,50,100");
    let parsed: Result<Vec<u32>, _> = text.split(',').map(|stage| stage.trim().parse()).collect();
    parsed.map_err(|error| CommandError::usage(format!("--stages {text:?}: {error}")))
}

/// Withdraws a version, so that it gets no new requests.
pub(crate) async fn withdraw(args: &[String], options: &Options) -> Result<(), CommandError> {
    let version = super::single_arg(args, "version (model@version)")?.to_owned();
    let order = connect::order(options);
    let to_error = connect::change_error(&order);
    let message = generated::WithdrawRequest { order: Some(order), version };
    let reply = connect::connect(options).await?.withdraw(message).await.map_err(to_error)?;
    print_applied(options, &reply);
    Ok(())
}

fn parse_in_service(word: &str) -> Result<bool, CommandError> {
    match word {
        "in" => Ok(true),
        "out" => Ok(false),
        _ => Err(CommandError::usage(format!("{word:?} is neither 'in' nor 'out'"))),
    }
}

/// Takes an availability zone out of service or brings it back.
pub(crate) async fn zone(args: &[String], options: &Options) -> Result<(), CommandError> {
    let (word, name) = two_args(args, "zone out|in NAME")?;
    let order = connect::order(options);
    let to_error = connect::change_error(&order);
    let message = generated::ZoneRequest {
        order: Some(order),
        zone: name.to_owned(),
        in_service: parse_in_service(word)?,
    };
    let reply = connect::connect(options).await?.zone(message).await.map_err(to_error)?;
    print_applied(options, &reply);
    Ok(())
}

/// Takes an endpoint out of service or brings it back.
pub(crate) async fn endpoint(args: &[String], options: &Options) -> Result<(), CommandError> {
    let (word, name) = two_args(args, "endpoint out|in NAME")?;
    let order = connect::order(options);
    let to_error = connect::change_error(&order);
    let message = generated::EndpointRequest {
        order: Some(order),
        endpoint: name.to_owned(),
        in_service: parse_in_service(word)?,
    };
    let reply = connect::connect(options).await?.endpoint(message).await.map_err(to_error)?;
    print_applied(options, &reply);
    Ok(())
}
