//! `ibishill check`: settings and declarations without a daemon.

use ibishill_config::{document, finding};

use crate::connect;
use crate::error::CommandError;

/// Checks every file and reports all findings together.
pub(crate) fn run(files: &[String]) -> Result<(), CommandError> {
    if files.is_empty() {
        return Err(CommandError::Usage { detail: "at least one file is needed".into() });
    }
    let mut findings = Vec::new();
    for file in files {
        let text = connect::read(file)?;
        let found = check_file(file, &text);
        if found.is_empty() {
            println!("{file}: ok");
        }
        findings.extend(found);
    }
    if findings.is_empty() {
        return Ok(());
    }
    Err(finding::Findings { findings }.into())
}

// Settings name the daemon's VM at the top; declarations do not.
fn check_file(file: &str, text: &str) -> Vec<finding::Finding> {
    let found = if text.lines().any(|line| line.starts_with("vm:")) {
        document::settings(file, text).map(drop)
    } else {
        document::declared(file, text).map(drop)
    };
    found.map_or_else(|found| found.findings, |()| Vec::new())
}
