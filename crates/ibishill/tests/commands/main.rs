//! Tests of the command line: help, completions, exit codes, errors and hints.

mod check_config;
mod examples;
mod exits;
mod explain;
mod snapshots;

use std::process::Command;

/// Result of a run of the binary.
pub(crate) struct Run {
    /// Exit code.
    pub(crate) code: i32,
    /// Standard output.
    pub(crate) stdout: String,
    /// Standard error.
    pub(crate) stderr: String,
}

/// Runs the binary from the workspace's root.
pub(crate) fn run(args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ibishill"));
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let result = command.args(args).current_dir(root).output().unwrap();
    Run {
        code: result.status.code().unwrap(),
        stdout: String::from_utf8(result.stdout).unwrap(),
        stderr: String::from_utf8(result.stderr).unwrap(),
    }
}
