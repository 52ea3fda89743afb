//! The commands.

mod certs;
mod check;
mod explain;
mod operate;
mod serve;
mod show;
mod status;
mod trial;
mod wait;

use std::future::Future;
use std::io::Read;

use crate::args::{Call, Command, Options};
use crate::error::CommandError;
use crate::table::Verb;
use crate::{complete, help, output};

/// Runs a command to its end.
pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Help => output::text(&help::all()),
        Command::HelpOn(verb) => output::text(&help::on(verb)),
        Command::Version => {
            output::text(&format!("ibishill {}\n", env!("CARGO_PKG_VERSION")));
        }
        Command::Run(call) => return run_call(*call),
    }
    Ok(())
}

fn run_call(call: Call) -> Result<(), CommandError> {
    let Call { verb, words, options } = call;
    match verb {
        Verb::Relay => none(&words).and_then(|()| {
            ibishill_relay::start::run().map_err(|source| CommandError::Relay { source })
        }),
        Verb::Explain => explain::run(&words),
        Verb::Check => check::run(&words, &options),
        Verb::Certs => certs::run(&words, &options),
        Verb::KeyHash => key_hash(&words, &options),
        Verb::Completions => completions(&words),
        Verb::Serve => block_on(serve::run(&words)),
        Verb::Try => none(&words).and_then(|()| block_on(trial::run())),
        Verb::Apply => block_on(operate::apply(&words, &options)),
        Verb::Diff => block_on(operate::diff(&words, &options)),
        Verb::Rollout => block_on(operate::rollout(&words, &options)),
        Verb::Withdraw => block_on(operate::withdraw(&words, &options)),
        Verb::Zone => block_on(operate::zone(&words, &options)),
        Verb::Endpoint => block_on(operate::endpoint(&words, &options)),
        Verb::Wait => block_on(wait::run(&words, &options)),
        Verb::Status => none(&words).and_then(|()| block_on(status::run(&options))),
        Verb::Audit => none(&words).and_then(|()| block_on(show::audit(&options))),
        Verb::Refusals => none(&words).and_then(|()| block_on(show::refusals(&options))),
        Verb::Billing => none(&words).and_then(|()| block_on(show::billing(&options))),
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
        _ => Err(CommandError::usage(format!("exactly one {what} is needed"))),
    }
}

/// Refuses words after a command that takes none.
fn none(words: &[String]) -> Result<(), CommandError> {
    match words {
        [] => Ok(()),
        [word, ..] => Err(CommandError::usage(format!("{word:?} is one word too many"))),
    }
}

fn key_hash(words: &[String], options: &Options) -> Result<(), CommandError> {
    none(words)?;
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    read.map_err(|source| CommandError::File { path: "standard input".into(), source })?;
    let hash = ibishill_config::key::KeyHash::of(key.trim().as_bytes()).to_string();
    output::print(options.json, &serde_json::json!({ "hash": hash }), std::slice::from_ref(&hash));
    Ok(())
}

fn completions(words: &[String]) -> Result<(), CommandError> {
    let shell = one(words, "shell (bash, zsh or fish)")?;
    let script = complete::script(shell);
    let unknown = || CommandError::usage(format!("no completions for {shell:?}"));
    output::text(&script.ok_or_else(unknown)?);
    Ok(())
}
