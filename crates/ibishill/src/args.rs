//! The command line.

use std::ffi::OsString;

use lexopt::ValueExt;

use crate::error::CommandError;

/// What to do.
pub(crate) struct Command {
    /// The command.
    pub(crate) verb: Verb,
    /// Words after the command.
    pub(crate) words: Vec<String>,
    /// Options.
    pub(crate) options: Options,
}

/// The commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verb {
    Serve,
    Check,
    Apply,
    Diff,
    Rollout,
    Withdraw,
    Zone,
    Endpoint,
    Status,
    Wait,
    Audit,
    Refusals,
    Billing,
    Certs,
    KeyHash,
    Try,
    Help,
    Version,
}

/// Every command with its name.
pub(crate) const VERBS: &[(&str, Verb)] = &[
    ("serve", Verb::Serve),
    ("check", Verb::Check),
    ("apply", Verb::Apply),
    ("diff", Verb::Diff),
    ("rollout", Verb::Rollout),
    ("withdraw", Verb::Withdraw),
    ("zone", Verb::Zone),
    ("endpoint", Verb::Endpoint),
    ("status", Verb::Status),
    ("wait", Verb::Wait),
    ("audit", Verb::Audit),
    ("refusals", Verb::Refusals),
    ("billing", Verb::Billing),
    ("certs", Verb::Certs),
    ("key-hash", Verb::KeyHash),
    ("try", Verb::Try),
];

/// Options of all commands.
#[derive(Debug, Clone, Default)]
pub(crate) struct Options {
    /// Address of the operators' side of a daemon.
    pub(crate) daemon: Option<String>,
    /// File that holds the operator's token.
    pub(crate) token_file: Option<String>,
    /// Id of the change, for a repeated call.
    pub(crate) change_id: Option<String>,
    /// Version that the order is based on.
    pub(crate) expect: Option<u64>,
    /// Whether objects that the document does not name are kept.
    pub(crate) partial: bool,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Workspace to show.
    pub(crate) workspace: Option<String>,
    /// Roll-out: old version.
    pub(crate) from: Option<String>,
    /// Roll-out: new version.
    pub(crate) to: Option<String>,
    /// Roll-out: stages in percent.
    pub(crate) stages: Option<String>,
    /// Roll-out: why it is halted.
    pub(crate) reason: Option<String>,
    /// Time to wait, in milliseconds.
    pub(crate) timeout_ms: Option<u64>,
    /// Directory to write to.
    pub(crate) out: Option<String>,
    /// Whether help is wanted.
    pub(crate) help: bool,
}

/// Reads the command line.
pub(crate) fn parse(mut parser: lexopt::Parser) -> Result<Command, CommandError> {
    let mut verb = None;
    let mut words = Vec::new();
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                verb = Some(Verb::Version);
            }
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => options.help = true,
            lexopt::Arg::Value(word) if verb.is_none() => verb = Some(find(&word)?),
            lexopt::Arg::Value(word) => words.push(word.string()?),
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                option(&mut parser, &mut options, &name)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let verb = verb.unwrap_or(Verb::Help);
    Ok(Command { verb, words, options })
}

fn find(word: &OsString) -> Result<Verb, CommandError> {
    let word = word.to_string_lossy();
    let found = VERBS.iter().find(|(name, _)| *name == word);
    found
        .map(|(_, verb)| *verb)
        .ok_or_else(|| CommandError::Usage { detail: format!("{word:?} is no command") })
}

fn option(
    parser: &mut lexopt::Parser,
    options: &mut Options,
    name: &str,
) -> Result<(), CommandError> {
    match name {
        "daemon" => options.daemon = Some(parser.value()?.string()?),
        "token-file" => options.token_file = Some(parser.value()?.string()?),
        "change-id" => options.change_id = Some(parser.value()?.string()?),
        "expect" => options.expect = Some(parser.value()?.parse()?),
        "partial" => options.partial = true,
        "json" => options.json = true,
        "workspace" => options.workspace = Some(parser.value()?.string()?),
        "from" => options.from = Some(parser.value()?.string()?),
        "to" => options.to = Some(parser.value()?.string()?),
        "stages" => options.stages = Some(parser.value()?.string()?),
        "reason" => options.reason = Some(parser.value()?.string()?),
        "timeout-ms" => options.timeout_ms = Some(parser.value()?.parse()?),
        "out" => options.out = Some(parser.value()?.string()?),
        _ => {
            return Err(CommandError::Usage { detail: format!("--{name} is no option") });
        }
    }
    Ok(())
}
