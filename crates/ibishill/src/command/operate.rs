//! Commands that change declarations.

use ibishill_config::finding;
use ibishill_operator::generated;
use serde_json::json;

use crate::args::Options;
use crate::error::CommandError;
use crate::table::{Verb, spec};
use crate::{connect, output};

fn print_applied(options: &Options, reply: &generated::ApplyReply) {
    let value = json!({"version": reply.version, "steps": reply.steps});
    let mut lines = reply.steps.clone();
    lines.push(format!("accepted as version {}", reply.version));
    output::print(options.json, &value, &lines);
}

/// Puts declarations in force.
pub(crate) async fn apply(words: &[String], options: &Options) -> Result<(), CommandError> {
    let document = connect::read(super::one(words, "declarations file")?)?;
    let order = connect::order(options);
    let failed = connect::failed(&order);
    let message =
        generated::ApplyRequest { order: Some(order), document, partial: options.partial };
    let reply = connect::connect(options).await?.apply(message).await.map_err(failed)?;
    print_applied(options, &reply);
    Ok(())
}

/// Shows what `apply` would change.
pub(crate) async fn diff(words: &[String], options: &Options) -> Result<(), CommandError> {
    let document = connect::read(super::one(words, "declarations file")?)?;
    let message = generated::DiffRequest { document, partial: options.partial };
    let reply = connect::connect(options).await?.diff(message).await?;
    let value = json!({"version": reply.version, "steps": reply.steps});
    let mut lines = reply.steps.clone();
    lines.push(format!("{} step(s) from version {}", reply.steps.len(), reply.version));
    output::print(options.json, &value, &lines);
    Ok(())
}

fn two<'a>(words: &'a [String], usage: &str) -> Result<(&'a str, &'a str), CommandError> {
    match words {
        [action, name] => Ok((action, name)),
        _ => Err(CommandError::usage(format!("usage: ibishill {usage}"))),
    }
}

/// Steers a roll-out.
pub(crate) async fn rollout(words: &[String], options: &Options) -> Result<(), CommandError> {
    let (action, name) = two(words, "rollout start|pause|resume|advance|halt NAME")?;
    let action = match action {
        "start" => generated::RolloutAction::Start,
        "pause" => generated::RolloutAction::Pause,
        "resume" => generated::RolloutAction::Resume,
        "advance" => generated::RolloutAction::Advance,
        "halt" => generated::RolloutAction::Halt,
        _ => {
            let detail = format!("{action:?} is no action of a roll-out");
            let hint = finding::suggest(action, spec(Verb::Rollout).choices);
            return Err(CommandError::Usage { detail, hint });
        }
    };
    let order = connect::order(options);
    let failed = connect::failed(&order);
    if action == generated::RolloutAction::Start {
        needs(options.from.as_ref(), "--from")?;
        needs(options.to.as_ref(), "--to")?;
    }
    let message = generated::RolloutRequest {
        order: Some(order),
        rollout: name.to_owned(),
        action: action.into(),
        from_version: options.from.clone().unwrap_or_default(),
        to_version: options.to.clone().unwrap_or_default(),
        stages: stages(options)?,
        reason: options.reason.clone().unwrap_or_else(|| "halted by an operator".into()),
    };
    let reply = connect::connect(options).await?.rollout(message).await.map_err(failed)?;
    print_applied(options, &reply);
    Ok(())
}

fn needs(option: Option<&String>, name: &str) -> Result<(), CommandError> {
    let missing = || CommandError::usage(format!("{name} is needed to start a roll-out"));
    option.map(drop).ok_or_else(missing)
}

fn stages(options: &Options) -> Result<Vec<u32>, CommandError> {
    let text = options.stages.as_deref().unwrap_or("1,10,50,100");
    let parsed: Result<Vec<u32>, _> = text.split(',').map(|stage| stage.trim().parse()).collect();
    parsed.map_err(|error| CommandError::usage(format!("--stages {text:?}: {error}")))
}

/// Withdraws a version.
pub(crate) async fn withdraw(words: &[String], options: &Options) -> Result<(), CommandError> {
    let version = super::one(words, "version (model@version)")?.to_owned();
    let order = connect::order(options);
    let failed = connect::failed(&order);
    let message = generated::WithdrawRequest { order: Some(order), version };
    let reply = connect::connect(options).await?.withdraw(message).await.map_err(failed)?;
    print_applied(options, &reply);
    Ok(())
}

fn direction(word: &str) -> Result<bool, CommandError> {
    match word {
        "in" => Ok(true),
        "out" => Ok(false),
        _ => Err(CommandError::usage(format!("{word:?} is neither 'in' nor 'out'"))),
    }
}

/// Takes an availability zone out or brings it back.
pub(crate) async fn zone(words: &[String], options: &Options) -> Result<(), CommandError> {
    let (word, name) = two(words, "zone out|in NAME")?;
    let order = connect::order(options);
    let failed = connect::failed(&order);
    let message = generated::ZoneRequest {
        order: Some(order),
        zone: name.to_owned(),
        in_service: direction(word)?,
    };
    let reply = connect::connect(options).await?.zone(message).await.map_err(failed)?;
    print_applied(options, &reply);
    Ok(())
}

/// Takes an endpoint out or brings it back.
pub(crate) async fn endpoint(words: &[String], options: &Options) -> Result<(), CommandError> {
    let (word, name) = two(words, "endpoint out|in NAME")?;
    let order = connect::order(options);
    let failed = connect::failed(&order);
    let message = generated::EndpointRequest {
        order: Some(order),
        endpoint: name.to_owned(),
        in_service: direction(word)?,
    };
    let reply = connect::connect(options).await?.endpoint(message).await.map_err(failed)?;
    print_applied(options, &reply);
    Ok(())
}
