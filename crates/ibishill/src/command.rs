//! Implementations of the commands.

mod certs;
mod check;
mod check_config;
mod explain;
mod operate;
mod serve;
mod show;
mod status;
mod trial;
mod wait;

use std::future::Future;
use std::io::Read;

use crate::args::{Command, Invocation, Options};
use crate::error::CommandError;
use crate::table::Subcommand;
use crate::{complete, help, output};

/// Runs a command to completion.
pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Help => output::text(&help::all()),
        Command::HelpOn(subcommand) => output::text(&help::on(subcommand)),
        Command::Version => {
            output::text(&format!("ibishill {}\n", env!("CARGO_PKG_VERSION")));
        }
        Command::Run(invocation) => return run_subcommand(*invocation),
    }
    Ok(())
}

fn run_subcommand(invocation: Invocation) -> Result<(), CommandError> {
    let Invocation { subcommand, args, options } = invocation;
    match subcommand {
        Subcommand::Relay => no_args(&args).and_then(|()| {
            ibishill_relay::start::run().map_err(|source| CommandError::Relay { source })
        }),
        Subcommand::Explain => explain::run(&args),
        Subcommand::Check => check::run(&args, &options),
        Subcommand::CheckConfig => check_config::run(&args, &options),
        Subcommand::Certs => certs::run(&args, &options),
        Subcommand::KeyHash => key_hash(&args, &options),
        Subcommand::Completions => completions(&args),
        Subcommand::Serve => block_on(serve::run(&args)),
        Subcommand::Try => no_args(&args).and_then(|()| block_on(trial::run())),
        Subcommand::Apply => block_on(operate::apply(&args, &options)),
        Subcommand::Diff => block_on(operate::diff(&args, &options)),
        Subcommand::Rollout => block_on(operate::rollout(&args, &options)),
        Subcommand::Withdraw => block_on(operate::withdraw(&args, &options)),
        Subcommand::Zone => block_on(operate::zone(&args, &options)),
        Subcommand::Endpoint => block_on(operate::endpoint(&args, &options)),
        Subcommand::Wait => block_on(wait::run(&args, &options)),
        Subcommand::Status => no_args(&args).and_then(|()| block_on(status::run(&options))),
        Subcommand::Audit => no_args(&args).and_then(|()| block_on(show::audit(&options))),
        Subcommand::Refusals => no_args(&args).and_then(|()| block_on(show::refusals(&options))),
        Subcommand::Billing => no_args(&args).and_then(|()| block_on(show::billing(&options))),
    }
}

fn block_on<F>(future: F) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), CommandError>>,
{
    let built = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = built.map_err(|error| CommandError::Other { detail: error.to_string() })?;
    runtime.block_on(future)
}

/// Returns the only argument of a command; `what` names it in the error.
pub(crate) fn single_arg<'a>(args: &'a [String], what: &str) -> Result<&'a str, CommandError> {
    match args {
        [arg] => Ok(arg),
        _ => Err(CommandError::usage(format!("expected exactly one {what}"))),
    }
}

/// Rejects arguments of a command that takes none.
fn no_args(args: &[String]) -> Result<(), CommandError> {
    match args {
        [] => Ok(()),
        [arg, ..] => Err(CommandError::usage(format!("unexpected argument {arg:?}"))),
    }
}

fn key_hash(args: &[String], options: &Options) -> Result<(), CommandError> {
    no_args(args)?;
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    read.map_err(|source| CommandError::File { path: "standard input".into(), source })?;
    let hash = ibishill_config::key::KeyHash::of(key.trim().as_bytes()).to_string();
    output::print(options.json, &serde_json::json!({ "hash": hash }), std::slice::from_ref(&hash));
    Ok(())
}

fn completions(args: &[String]) -> Result<(), CommandError> {
    let shell = single_arg(args, "shell (bash, zsh or fish)")?;
    let script = complete::script(shell);
    let unknown = || CommandError::usage(format!("no completions for {shell:?}"));
    output::text(&script.ok_or_else(unknown)?);
    Ok(())
}
