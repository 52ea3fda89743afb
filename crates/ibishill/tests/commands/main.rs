//! The command line: help, completions, exit codes and hints, as snapshots.

mod examples;
mod exits;
mod explain;
mod snapshots;

use std::process::Command;

/// What a run of the binary gave.
pub(crate) struct Run {
    /// The exit code.
    pub(crate) code: i32,
    /// Standard output.
    pub(crate) output: String,
    /// Standard error.
    pub(crate) errors: String,
}

/// Runs the binary from the workspace's root.
pub(crate) fn run(args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ibishill"));
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let done = command.args(args).current_dir(root).output().unwrap();
    Run {
        code: done.status.code().unwrap(),
        output: String::from_utf8(done.stdout).unwrap(),
        errors: String::from_utf8(done.stderr).unwrap(),
    }
}
