//! Help texts, made from the table of commands.

use std::fmt::Write;

use crate::table::{Opt, Spec, TABLE, Verb, spec};

const CODES: &str = "\
Exit codes: 0 done, 1 failed, 2 wrong command line, 3 not valid, 4 conflict,
5 not known whether it was done, 6 not in force in time, 7 not permitted.
";

const COMMON: &[(&str, &str)] =
    &[("-h, --help", "print help"), ("-V, --version", "print the version")];

/// Help on all commands.
pub(crate) fn all() -> String {
    let rows: Vec<_> = TABLE.iter().map(|spec| (usage(spec), spec.about.to_owned())).collect();
    let mut text = "ibishill routes requests to model versions and plain services.\n\n\
                    Usage: ibishill COMMAND [WORDS] [OPTIONS]\n\nCommands:\n"
        .to_owned();
    list(&mut text, &rows);
    text.push_str("\nOptions:\n");
    list(&mut text, &common());
    text.push_str("\n'ibishill COMMAND --help' shows the options of a command.\n\n");
    text.push_str(CODES);
    text
}

/// Help on one command.
pub(crate) fn on(verb: Verb) -> String {
    let spec = spec(verb);
    let mut text = format!("{}\n\nUsage: ibishill {}", spec.about, usage(spec));
    text.push_str(" [OPTIONS]\n");
    if !spec.details.is_empty() {
        let _written = write!(text, "\n{}\n", spec.details);
    }
    text.push_str("\nOptions:\n");
    let mut rows: Vec<_> = spec.options().map(row).collect();
    rows.extend(common());
    list(&mut text, &rows);
    text
}

fn usage(spec: &Spec) -> String {
    format!("{} {}", spec.name, spec.words).trim_end().to_owned()
}

fn row(option: &Opt) -> (String, String) {
    let name = match option.value {
        Some(value) => format!("--{} {value}", option.name),
        None => format!("--{}", option.name),
    };
    (name, option.about.to_owned())
}

fn common() -> Vec<(String, String)> {
    COMMON.iter().map(|(name, about)| ((*name).to_owned(), (*about).to_owned())).collect()
}

fn list(text: &mut String, rows: &[(String, String)]) {
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    for (name, about) in rows {
        let _written = writeln!(text, "  {name:width$}  {about}");
    }
}
