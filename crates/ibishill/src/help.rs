//! Help texts, generated from the table of commands.

use std::fmt::Write;

use crate::table::{Opt, Spec, Subcommand, TABLE, spec};

const EXIT_CODES: &str = "\
Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid input, 4 conflict,
5 outcome unknown, 6 timeout, 7 not permitted.
";

const COMMON_OPTIONS: &[(&str, &str)] =
    &[("-h, --help", "print help"), ("-V, --version", "print the version")];

/// Returns the overview of all commands.
pub(crate) fn all() -> String {
    let rows: Vec<_> = TABLE.iter().map(|spec| (usage(spec), spec.about.to_owned())).collect();
    let mut text = "ibishill routes requests to model versions and plain services.\n\n\
                    Usage: ibishill COMMAND [ARGS] [OPTIONS]\n\nCommands:\n"
        .to_owned();
    push_rows(&mut text, &rows);
    text.push_str("\nOptions:\n");
    push_rows(&mut text, &common_rows());
    text.push_str("\n'ibishill COMMAND --help' shows the options of a command.\n\n");
    text.push_str(EXIT_CODES);
    text
}

/// Returns the help of one command.
pub(crate) fn on(subcommand: Subcommand) -> String {
    let spec = spec(subcommand);
    let mut text = format!("{}\n\nUsage: ibishill {}", spec.about, usage(spec));
    text.push_str(" [OPTIONS]\n");
    if !spec.details.is_empty() {
        let _written = write!(text, "\n{}\n", spec.details);
    }
    text.push_str("\nOptions:\n");
    let mut rows: Vec<_> = spec.options().map(option_row).collect();
    rows.extend(common_rows());
    push_rows(&mut text, &rows);
    text
}

fn usage(spec: &Spec) -> String {
    format!("{} {}", spec.name, spec.args).trim_end().to_owned()
}

fn option_row(option: &Opt) -> (String, String) {
    let name = match option.value {
        Some(value) => format!("--{} {value}", option.name),
        None => format!("--{}", option.name),
    };
    (name, option.about.to_owned())
}

fn common_rows() -> Vec<(String, String)> {
    COMMON_OPTIONS.iter().map(|(name, about)| ((*name).to_owned(), (*about).to_owned())).collect()
}

fn push_rows(text: &mut String, rows: &[(String, String)]) {
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    for (name, about) in rows {
        let _written = writeln!(text, "  {name:width$}  {about}");
    }
}
