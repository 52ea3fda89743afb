//! The `ibishill` binary: the daemon and the operators' commands.

mod args;
mod command;
mod complete;
mod connect;
mod error;
mod help;
mod output;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    match args::parse(lexopt::Parser::from_env()) {
        Ok(command) => exit_with(command::run(command)),
        Err(error) => exit_with(Err(error)),
    }
}

fn exit_with(result: Result<(), error::CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            if let Some(hint) = error.hint() {
                eprintln!("hint: {hint}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}
