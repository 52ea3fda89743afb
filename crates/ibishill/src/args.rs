//! The command line.

use std::ffi::OsStr;

use ibishill_config::finding;
use lexopt::ValueExt;

use crate::error::CommandError;
use crate::table::{Opt, Spec, TABLE, Verb};

/// What to do.
pub(crate) enum Command {
    /// Print help on all commands.
    Help,
    /// Print the program's version.
    Version,
    /// Print help on one command.
    HelpOn(Verb),
    /// Run a command.
    Run(Box<Call>),
}

/// A command with its words and options.
pub(crate) struct Call {
    /// The command.
    pub(crate) verb: Verb,
    /// Words after the command.
    pub(crate) words: Vec<String>,
    /// Options.
    pub(crate) options: Options,
}

/// Options of all commands.
#[derive(Debug, Clone, Default)]
pub(crate) struct Options {
    /// Address of the operators' side of a daemon.
    pub(crate) daemon: Option<String>,
    /// File that holds the operator's token.
    pub(crate) token_file: Option<String>,
    /// File of the certificate authority that the daemon's certificate is from.
    pub(crate) ca: Option<String>,
    /// Name in the daemon's certificate.
    pub(crate) server_name: Option<String>,
    /// Id of the change, for a repeated call.
    pub(crate) change_id: Option<String>,
    /// Version that the order is based on.
    pub(crate) expect: Option<u64>,
    /// Audit: version to start after.
    pub(crate) after: Option<u64>,
    /// Audit: most entries.
    pub(crate) limit: Option<usize>,
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
}

/// Reads the command line.
pub(crate) fn parse(mut parser: lexopt::Parser) -> Result<Command, CommandError> {
    let spec = match parser.next()? {
        None | Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) => {
            return Ok(Command::Help);
        }
        Some(lexopt::Arg::Short('V') | lexopt::Arg::Long("version")) => {
            return Ok(Command::Version);
        }
        Some(lexopt::Arg::Value(word)) => find(&word)?,
        Some(other) => return Err(other.unexpected().into()),
    };
    let mut words = Vec::new();
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                return Ok(Command::HelpOn(spec.verb));
            }
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => return Ok(Command::Version),
            lexopt::Arg::Value(word) => words.push(word.string()?),
            lexopt::Arg::Long(name) => {
                let option = known(spec, name)?;
                set(&mut parser, &mut options, option)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Run(Box::new(Call { verb: spec.verb, words, options })))
}

fn find(word: &OsStr) -> Result<&'static Spec, CommandError> {
    let word = word.to_string_lossy();
    if let Some(found) = TABLE.iter().find(|spec| spec.name == word) {
        return Ok(found);
    }
    let names: Vec<_> = TABLE.iter().map(|spec| spec.name).collect();
    let hint = finding::suggest(&word, &names);
    Err(CommandError::Usage { detail: format!("{word:?} is no command"), hint })
}

fn known(spec: &'static Spec, name: &str) -> Result<&'static Opt, CommandError> {
    if let Some(found) = spec.options().find(|option| option.name == name) {
        return Ok(found);
    }
    let names: Vec<_> = spec.options().map(|option| format!("--{}", option.name)).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let hint = finding::suggest(&format!("--{name}"), &names);
    let hint = hint.unwrap_or_else(|| format!("see 'ibishill {} --help'", spec.name));
    let detail = format!("--{name} is no option of 'ibishill {}'", spec.name);
    Err(CommandError::Usage { detail, hint: Some(hint) })
}

fn set(
    parser: &mut lexopt::Parser,
    options: &mut Options,
    option: &Opt,
) -> Result<(), CommandError> {
    match option.name {
        "partial" => options.partial = true,
        "json" => options.json = true,
        "daemon" => options.daemon = Some(parser.value()?.string()?),
        "token-file" => options.token_file = Some(parser.value()?.string()?),
        "ca" => options.ca = Some(parser.value()?.string()?),
        "server-name" => options.server_name = Some(parser.value()?.string()?),
        "change-id" => options.change_id = Some(parser.value()?.string()?),
        "expect" => options.expect = Some(parser.value()?.parse()?),
        "after" => options.after = Some(parser.value()?.parse()?),
        "limit" => options.limit = Some(parser.value()?.parse()?),
        "workspace" => options.workspace = Some(parser.value()?.string()?),
        "from" => options.from = Some(parser.value()?.string()?),
        "to" => options.to = Some(parser.value()?.string()?),
        "stages" => options.stages = Some(parser.value()?.string()?),
        "reason" => options.reason = Some(parser.value()?.string()?),
        "timeout-ms" => options.timeout_ms = Some(parser.value()?.parse()?),
        "out" => options.out = Some(parser.value()?.string()?),
        name => {
            let detail = format!("--{name} is not read by this version");
            return Err(CommandError::Usage { detail, hint: None });
        }
    }
    Ok(())
}
