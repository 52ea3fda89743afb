//! `ibishill check`: validates settings and declarations without a daemon.

use ibishill_config::{document, finding};
use serde_json::{Value, json};

use crate::args::Options;
use crate::error::CommandError;
use crate::{connect, output};

/// Checks every file and reports all findings together.
pub(crate) fn run(files: &[String], options: &Options) -> Result<(), CommandError> {
    if files.is_empty() {
        return Err(CommandError::usage("expected at least one file"));
    }
    let mut findings = Vec::new();
    for file in files {
        let text = connect::read(file)?;
        let found = check_file(file, &text, options.partial);
        if found.is_empty() && !options.json {
            output::text(&format!("{file}: ok\n"));
        }
        findings.extend(found);
    }
    if options.json {
        let shown: Vec<_> = findings.iter().map(finding_json).collect();
        output::print(true, &shown.into(), &[]);
    }
    if findings.is_empty() {
        return Ok(());
    }
    Err(finding::Findings { findings }.into())
}

fn finding_json(finding: &finding::Finding) -> Value {
    let finding::Finding { file, line, column, path, message, hint } = finding;
    json!({"file": file, "line": line, "column": column, "path": path, "message": message,
        "hint": hint})
}

// A top-level key `vm` distinguishes settings from declarations.
fn check_file(file: &str, text: &str, partial: bool) -> Vec<finding::Finding> {
    let found = if text.lines().any(|line| line.starts_with("vm:")) {
        document::settings(file, text).map(drop)
    } else if partial {
        document::partial(file, text).map(drop)
    } else {
        document::declared(file, text).map(drop)
    };
    found.map_or_else(|found| found.findings, |()| Vec::new())
}
