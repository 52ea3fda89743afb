//! Runs a stand-in as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use ibishill_standin::{engine, memory, platform};

const USAGE: &str = "usage: ibishill-standin platform ADDRESS | engine ADDRESS";

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let mut arguments = Vec::new();
    while let Ok(Some(lexopt::Arg::Value(argument))) = parser.next() {
        arguments.push(argument.to_string_lossy().into_owned());
    }
    let [kind, address] = arguments.as_slice() else { return usage() };
    let Ok(address) = address.parse::<SocketAddr>() else { return usage() };
    let server = match kind.as_str() {
        "platform" => platform::server(memory::Memory::new(1), address),
        "engine" => engine::server(engine::Engine::new(engine::Behaviour::default()), address),
        _ => return usage(),
    };
    match rocket::execute(server.launch()) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage() -> ExitCode {
    eprintln!("{USAGE}");
    ExitCode::from(2)
}
