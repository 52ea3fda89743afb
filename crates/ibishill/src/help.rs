//! Help texts.

use crate::args::Verb;

/// Help on all commands.
pub(crate) const MAIN: &str = "\
ibishill routes requests to model versions and plain services.

Usage: ibishill COMMAND [WORDS] [OPTIONS]

Commands:
  serve FILE               run a daemon with the settings in FILE
  check FILE...            check settings and declarations
  apply FILE               put declarations in force
  diff FILE                show what apply would change
  rollout start NAME       start a roll-out (--from, --to, --stages 1,10,50,100)
  rollout pause|resume|advance|halt NAME
  withdraw VERSION         give a version no new work
  zone out|in NAME         take an availability zone out or bring it back
  endpoint out|in NAME     take an endpoint out or bring it back
  status                   show what a daemon knows
  wait VERSION             wait until a configuration version is in force
  audit                    list accepted changes
  refusals                 list minutes with a refusal
  billing                  show totals of billing
  certs ZONE/VM...         make a certificate authority and certificates (--out DIR)
  key-hash                 hash the key on standard input
  try                      run everything on loopback with embedded defaults

Options:
  --daemon URL       operators' address of a daemon [http://127.0.0.1:7102]
  --token-file FILE  file with the operator's token
  --change-id ID     id of the change; the same id is never carried out twice
  --expect VERSION   refuse unless this configuration version is in force
  --partial          keep objects that the document does not name
  --workspace NAME   show only this workspace
  --timeout-ms N     how long to wait [8000]
  --json             print JSON
  -h, --help         print help
  -V, --version      print the version

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 not valid, 4 conflict,
5 not known whether it was done, 6 not in force in time.
";

/// Help on one command.
pub(crate) fn of(verb: Verb) -> String {
    let name = crate::args::VERBS.iter().find(|(_, found)| *found == verb);
    let Some((name, _)) = name else { return MAIN.to_owned() };
    let lines = MAIN.lines().filter(|line| line.trim_start().starts_with(name));
    let usage: Vec<_> = lines.map(|line| format!("ibishill {}", line.trim_start())).collect();
    let options = MAIN.split_once("Options:").map_or("", |(_, rest)| rest);
    format!("{}\n\nOptions:{options}", usage.join("\n"))
}
