//! `ibishill check-config`: checks a configuration of the users' platform before it is sent.

use ibishill_adapter::{config_check, config_diff, settings};
use ibishill_core::{fleet, time};
use ibishill_decide::{memory, retry, routing};
use serde_json::json;

use crate::args::Options;
use crate::error::CommandError;
use crate::{connect, output};

/// Retries of a request up to which a budget is examined; no route allows as many attempts.
const RETRIES_MAX: usize = 1_000;

/// Checks the configuration in the first file; reports its differences from that in the second file, if there is one.
pub(crate) fn run(files: &[String], options: &Options) -> Result<(), CommandError> {
    let (file, in_force) = match files {
        [file] => (file, None),
        [file, in_force] => (file, Some(in_force)),
        _ => {
            let detail = "expected a configuration, and the one in force at most";
            return Err(CommandError::usage(detail));
        }
    };
    let resources = resources(options)?;
    let text = connect::read(file)?;
    let before = in_force.map(|path| connect::read(path)).transpose()?;
    let mut findings = config_check::check(&text, resources, routing::find);
    let mut differences = Vec::new();
    if let (Some(before), Some(path)) = (before, in_force) {
        match config_diff::compare(&before, &text) {
            Ok(found) => differences = found,
            // Errors of the checked file have been found.
            Err(_) if serde_json::from_str::<serde_json::Value>(&text).is_err() => {}
            Err(error) => {
                return Err(CommandError::Other { detail: format!("{path}: {error}") });
            }
        }
        // What is in force may be sent again.
        if !differences.is_empty() {
            findings.extend(config_check::outdated(&before, &text));
        }
    }
    let is_error = |found: &&config_check::Finding| found.severity == config_check::Severity::Error;
    let errors = findings.iter().filter(is_error).count();
    if options.json {
        print_json(&findings, &differences);
    } else {
        print_text(file, &findings, &differences);
    }
    if errors == 0 {
        return Ok(());
    }
    let noun = if errors == 1 { "error" } else { "errors" };
    Err(CommandError::Other { detail: format!("{errors} {noun} in {file}") })
}

fn resources(options: &Options) -> Result<config_check::Resources, CommandError> {
    let is_valid = |memory: f64| memory.is_finite() && memory > 0.0;
    if options.memory.is_some_and(|memory| !is_valid(memory)) {
        return Err(CommandError::usage("--memory-mb must be above 0"));
    }
    let read = |path: &String| {
        let fail = |detail| CommandError::Other { detail: format!("{path}: {detail}") };
        settings::decode(&connect::read(path)?, settings::METRICS_PORT).map_err(fail)
    };
    let relay = options.settings.as_ref().map(read).transpose()?;
    let known = options.memory.and_then(settings::memory);
    let bytes = known.or(relay.as_ref().and_then(|relay| relay.memory));
    let bodies = bytes.map(|bytes| memory::Budget::of(Some(bytes), None).bodies);
    Ok(config_check::Resources { bodies, retries: relay.map(|relay| retries(&relay.bounds)) })
}

// Retries that a relay without peers grants to a single request; further relays divide the budget.
fn retries(bounds: &fleet::Bounds) -> u32 {
    let now = time::Tick(0);
    let mut allowance = retry::Allowance::default();
    allowance.record_request(bounds, now);
    let granted = (0..RETRIES_MAX).take_while(|_| allowance.try_acquire(bounds, 1, now));
    u32::try_from(granted.count()).unwrap_or(u32::MAX)
}

fn print_text(
    file: &str,
    findings: &[config_check::Finding],
    differences: &[config_diff::Difference],
) {
    if findings.is_empty() {
        output::text(&format!("{file}: ok\n"));
    }
    for finding in findings {
        output::text(&format!("{file}:{finding}\n"));
    }
    for difference in differences {
        output::text(&format!("{difference}\n"));
    }
}

fn print_json(findings: &[config_check::Finding], differences: &[config_diff::Difference]) {
    let finding = |found: &config_check::Finding| {
        json!({"severity": found.severity.to_string(), "line": found.line, "column": found.column,
            "path": found.path, "message": found.message})
    };
    let difference = |found: &config_diff::Difference| json!({"path": found.path, "before": found.before, "after": found.after});
    let findings: Vec<_> = findings.iter().map(finding).collect();
    let differences: Vec<_> = differences.iter().map(difference).collect();
    output::print(true, &json!({"findings": findings, "differences": differences}), &[]);
}
