//! The commands.

mod certs;
mod check;
mod operate;
mod serve;
mod show;
mod trial;

use std::future::Future;
use std::io::Read;

use crate::args::{Command, Verb};
use crate::error::CommandError;
use crate::help;

/// Runs a command to its end.
pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    if command.options.help {
        print!("{}", help::of(command.verb));
        return Ok(());
    }
    let Command { verb, words, options } = command;
    match verb {
        Verb::Help => {
            print!("{}", help::MAIN);
            Ok(())
        }
        Verb::Version => {
            println!("ibishill {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Verb::Check => check::run(&words),
        Verb::Certs => certs::run(&words, &options),
        Verb::KeyHash => key_hash(),
        Verb::Serve => block_on(serve::run(&words)),
        Verb::Try => block_on(trial::run()),
        Verb::Apply => block_on(operate::apply(&words, &options)),
        Verb::Diff => block_on(operate::diff(&words, &options)),
        Verb::Rollout => block_on(operate::rollout(&words, &options)),
        Verb::Withdraw => block_on(operate::withdraw(&words, &options)),
        Verb::Zone => block_on(operate::zone(&words, &options)),
        Verb::Endpoint => block_on(operate::endpoint(&words, &options)),
        Verb::Status => block_on(show::status(&options)),
        Verb::Wait => block_on(show::wait(&words, &options)),
        Verb::Audit => block_on(show::audit(&options)),
        Verb::Refusals => block_on(show::refusals(&options)),
        Verb::Billing => block_on(show::billing(&options)),
    }
}

fn block_on<F>(work: F) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), CommandError>>,
{
    let built = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = built.map_err(|error| CommandError::Other { detail: error.to_string() })?;
    runtime.block_on(work)
}

/// The only word of a command.
pub(crate) fn one<'a>(words: &'a [String], what: &str) -> Result<&'a str, CommandError> {
    match words {
        [word] => Ok(word),
        _ => Err(CommandError::Usage { detail: format!("exactly one {what} is needed") }),
    }
}

fn key_hash() -> Result<(), CommandError> {
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    read.map_err(|source| CommandError::File { path: "standard input".into(), source })?;
    println!("{}", ibishill_config::key::KeyHash::of(key.trim().as_bytes()));
    Ok(())
}
