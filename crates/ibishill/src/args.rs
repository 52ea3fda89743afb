//! Parsing of the command line.

use std::ffi::OsStr;

use ibishill_config::finding;
use lexopt::ValueExt;

use crate::error::CommandError;
use crate::table::{Opt, Spec, Subcommand, TABLE};

/// What the command line asks for.
pub(crate) enum Command {
    /// Print the overview of all commands.
    Help,
    /// Print the program's version.
    Version,
    /// Print the help of one command.
    HelpOn(Subcommand),
    /// Run a command.
    Run(Box<Invocation>),
}

/// A command with its arguments and options.
pub(crate) struct Invocation {
    pub(crate) subcommand: Subcommand,
    /// Positional arguments.
    pub(crate) args: Vec<String>,
    pub(crate) options: Options,
}

/// Options of all commands; each command accepts those that its table entry lists.
#[derive(Debug, Clone, Default)]
pub(crate) struct Options {
    /// URL of a daemon's operator API; `connect::DEFAULT_DAEMON` if absent.
    pub(crate) daemon: Option<String>,
    /// File that holds the operator's token.
    pub(crate) token_file: Option<String>,
    /// PEM file of the certificate authority that signed the daemon's certificate.
    pub(crate) ca: Option<String>,
    /// Name expected in the daemon's certificate; the URL's host if absent.
    pub(crate) server_name: Option<String>,
    /// Id of the change, which makes a retry idempotent; random if absent.
    pub(crate) change_id: Option<String>,
    /// Configuration version on which the change is based; the change is rejected unless it is the
    /// newest. Not checked if absent.
    pub(crate) expect: Option<u64>,
    /// Audit: list only changes after this version.
    pub(crate) after: Option<u64>,
    /// Audit: maximum number of entries; all if absent.
    pub(crate) limit: Option<usize>,
    /// Whether objects that the document does not name stay declared.
    pub(crate) partial: bool,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Workspace to show; all if absent.
    pub(crate) workspace: Option<String>,
    /// Roll-out: version that serves today, as `model@version`.
    pub(crate) from: Option<String>,
    /// Roll-out: version to roll out, as `model@version`.
    pub(crate) to: Option<String>,
    /// Roll-out: percent of sessions in each stage, separated by commas.
    pub(crate) stages: Option<String>,
    /// Roll-out: reason recorded with a halt.
    pub(crate) reason: Option<String>,
    /// Total time to wait, in milliseconds.
    pub(crate) timeout_ms: Option<u64>,
    /// Memory of the smallest VM, in megabytes; not checked if absent.
    pub(crate) memory: Option<f64>,
    /// File with a relay's settings; not checked if absent.
    pub(crate) settings: Option<String>,
    /// Directory to write to; the current one if absent.
    pub(crate) out: Option<String>,
}

/// Parses the command line.
pub(crate) fn parse(mut parser: lexopt::Parser) -> Result<Command, CommandError> {
    let spec = match parser.next()? {
        None | Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) => {
            return Ok(Command::Help);
        }
        Some(lexopt::Arg::Short('V') | lexopt::Arg::Long("version")) => {
            return Ok(Command::Version);
        }
        Some(lexopt::Arg::Value(word)) => find_spec(&word)?,
        Some(other) => return Err(other.unexpected().into()),
    };
    let mut args = Vec::new();
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                return Ok(Command::HelpOn(spec.subcommand));
            }
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => return Ok(Command::Version),
            lexopt::Arg::Value(value) => args.push(value.string()?),
            lexopt::Arg::Long(name) => {
                let option = find_option(spec, name)?;
                set_option(&mut parser, &mut options, option)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Run(Box::new(Invocation { subcommand: spec.subcommand, args, options })))
}

fn find_spec(word: &OsStr) -> Result<&'static Spec, CommandError> {
    let word = word.to_string_lossy();
    if let Some(found) = TABLE.iter().find(|spec| spec.name == word) {
        return Ok(found);
    }
    let names: Vec<_> = TABLE.iter().map(|spec| spec.name).collect();
    let hint = finding::suggest(&word, &names);
    Err(CommandError::Usage { detail: format!("unrecognized command {word:?}"), hint })
}

fn find_option(spec: &'static Spec, name: &str) -> Result<&'static Opt, CommandError> {
    if let Some(found) = spec.options().find(|option| option.name == name) {
        return Ok(found);
    }
    let names: Vec<_> = spec.options().map(|option| format!("--{}", option.name)).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let hint = finding::suggest(&format!("--{name}"), &names);
    let hint = hint.unwrap_or_else(|| format!("see 'ibishill {} --help'", spec.name));
    let detail = format!("unexpected option --{name} for 'ibishill {}'", spec.name);
    Err(CommandError::Usage { detail, hint: Some(hint) })
}

fn set_option(
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
        "memory-mb" => options.memory = Some(parser.value()?.parse()?),
        "settings" => options.settings = Some(parser.value()?.string()?),
        "out" => options.out = Some(parser.value()?.string()?),
        name => {
            let detail = format!("option --{name} is not implemented");
            return Err(CommandError::Usage { detail, hint: None });
        }
    }
    Ok(())
}
