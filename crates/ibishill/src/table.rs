//! The table of commands, from which parsing, help and completions are derived.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Subcommand {
    Serve,
    Relay,
    Explain,
    Check,
    CheckConfig,
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
    Completions,
    Try,
}

/// Description of one command.
pub(crate) struct Spec {
    pub(crate) subcommand: Subcommand,
    pub(crate) name: &'static str,
    /// Positional arguments, as the usage line shows them.
    pub(crate) args: &'static str,
    /// Values that the first argument can have, if they are fixed.
    pub(crate) choices: &'static [&'static str],
    pub(crate) about: &'static str,
    /// Longer description, shown below the usage line; may be empty.
    pub(crate) details: &'static str,
    pub(crate) options: &'static [&'static [Opt]],
}

/// Description of one option.
pub(crate) struct Opt {
    pub(crate) name: &'static str,
    /// Placeholder of the value in help texts; `None` for a flag.
    pub(crate) value: Option<&'static str>,
    pub(crate) about: &'static str,
}

const fn flag(name: &'static str, about: &'static str) -> Opt {
    Opt { name, value: None, about }
}

const fn valued(name: &'static str, value: &'static str, about: &'static str) -> Opt {
    Opt { name, value: Some(value), about }
}

const JSON: &[Opt] = &[flag("json", "print JSON")];

const CONNECTION: &[Opt] = &[
    valued("daemon", "URL", "operators' address of a daemon [http://127.0.0.1:7102]"),
    valued("token-file", "FILE", "file with the operator's token"),
    valued("ca", "FILE", "certificate authority of an https daemon, as PEM"),
    valued("server-name", "NAME", "name in the daemon's certificate [the URL's host]"),
];

const CHANGE: &[Opt] = &[
    valued("change-id", "ID", "id of the change; the same id is never carried out twice"),
    valued("expect", "VERSION", "refuse unless this configuration version is the newest"),
];

const PARTIAL: &[Opt] = &[flag("partial", "the document adds to what is declared")];

const ROLLOUT: &[Opt] = &[
    valued("from", "MODEL@VERSION", "start: the version that serves today"),
    valued("to", "MODEL@VERSION", "start: the version that is rolled out"),
    valued("stages", "LIST", "start: percent of sessions in each stage [1,10,50,100]"),
    valued("reason", "TEXT", "halt: why"),
];

const TIMEOUT: &[Opt] = &[valued("timeout-ms", "N", "how long to wait [8000]")];

const RANGE: &[Opt] = &[
    valued("after", "VERSION", "only changes after this version"),
    valued("limit", "N", "at most so many changes"),
];

const WORKSPACE: &[Opt] = &[valued("workspace", "NAME", "only this workspace")];

const RESOURCES: &[Opt] = &[
    valued("memory-mb", "N", "memory of the smallest VM [that of the settings]"),
    valued("settings", "FILE", "settings of a relay, for its memory and retry budget"),
];

const OUT: &[Opt] = &[valued("out", "DIR", "directory to write to [.]")];

const IN_OUT: &[&str] = &["out", "in"];

/// All commands, in the order in which the help lists them.
pub(crate) const TABLE: &[Spec] = &[
    Spec {
        subcommand: Subcommand::Serve,
        name: "serve",
        args: "FILE",
        choices: &[],
        about: "run a daemon with the settings in FILE",
        details: "On SIGTERM or SIGINT, requests in flight are drained before the daemon exits; SIGHUP\n\
                  reloads credentials.",
        options: &[],
    },
    Spec {
        subcommand: Subcommand::Relay,
        name: "relay",
        args: "",
        choices: &[],
        about: "run a daemon on the users' platform",
        details: "The environment variable IBISHILL_SETTINGS names the settings file, which the platform\n\
                  writes. On SIGTERM or SIGINT, requests in flight may finish within the grace period;\n\
                  SIGHUP reloads the settings.",
        options: &[],
    },
    Spec {
        subcommand: Subcommand::Explain,
        name: "explain",
        args: "ID",
        choices: &[],
        about: "show what the relays' logs tell of a request",
        details: "Reads the logs of one or more relays, sorted by time, from standard input. Prints the\n\
                  log lines of the request, preceded by the latest state changes at the daemon that\n\
                  logged them.",
        options: &[],
    },
    Spec {
        subcommand: Subcommand::Check,
        name: "check",
        args: "FILE...",
        choices: &[],
        about: "check settings and declarations",
        details: "Reports the findings of all files together. A file with the top-level key 'vm' is read\n\
                  as settings, any other file as declarations.",
        options: &[PARTIAL, JSON],
    },
    Spec {
        subcommand: Subcommand::CheckConfig,
        name: "check-config",
        args: "FILE [IN-FORCE]",
        choices: &[],
        about: "check a configuration of the users' platform",
        details: "FILE is the JSON document with the configuration, IN-FORCE the one that is in force now.\n\
                  Reports errors, entries that never match, limits that contradict each other and limits\n\
                  beyond the memory or retry budget of relays, all together, and the differences from\n\
                  IN-FORCE. Exits with 1 if there is an error.",
        options: &[RESOURCES, JSON],
    },
    Spec {
        subcommand: Subcommand::Apply,
        name: "apply",
        args: "FILE",
        choices: &[],
        about: "put declarations in force",
        details: "",
        options: &[PARTIAL, CHANGE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Diff,
        name: "diff",
        args: "FILE",
        choices: &[],
        about: "show what apply would change",
        details: "Marks: + added, ~ changed (old and new values), - removed.",
        options: &[PARTIAL, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Rollout,
        name: "rollout",
        args: "start|pause|resume|advance|halt NAME",
        choices: &["start", "pause", "resume", "advance", "halt"],
        about: "steer a roll-out",
        details: "A halted roll-out can be resumed, in the stage where it was halted.",
        options: &[ROLLOUT, CHANGE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Withdraw,
        name: "withdraw",
        args: "MODEL@VERSION",
        choices: &[],
        about: "give a version no new work",
        details: "Also halts roll-outs to this version.",
        options: &[CHANGE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Zone,
        name: "zone",
        args: "out|in NAME",
        choices: IN_OUT,
        about: "take an availability zone out or bring it back",
        details: "",
        options: &[CHANGE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Endpoint,
        name: "endpoint",
        args: "out|in NAME",
        choices: IN_OUT,
        about: "take an endpoint out or bring it back",
        details: "",
        options: &[CHANGE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Status,
        name: "status",
        args: "",
        choices: &[],
        about: "show what a daemon knows",
        details: "",
        options: &[CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Wait,
        name: "wait",
        args: "VERSION",
        choices: &[],
        about: "wait until a configuration version is in force",
        details: "",
        options: &[TIMEOUT, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Audit,
        name: "audit",
        args: "",
        choices: &[],
        about: "list accepted changes",
        details: "",
        options: &[RANGE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Refusals,
        name: "refusals",
        args: "",
        choices: &[],
        about: "list minutes with a refusal",
        details: "",
        options: &[WORKSPACE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Billing,
        name: "billing",
        args: "",
        choices: &[],
        about: "show totals of billing",
        details: "",
        options: &[WORKSPACE, CONNECTION, JSON],
    },
    Spec {
        subcommand: Subcommand::Certs,
        name: "certs",
        args: "ZONE/VM...",
        choices: &[],
        about: "make a certificate authority and daemons' certificates",
        details: "Writes authority.pem and, for each VM, VM.pem and VM.key. The authority's key \
                  is not\nsaved, so list all VMs in one call.",
        options: &[OUT, JSON],
    },
    Spec {
        subcommand: Subcommand::KeyHash,
        name: "key-hash",
        args: "",
        choices: &[],
        about: "hash the key or token on standard input",
        details: "",
        options: &[JSON],
    },
    Spec {
        subcommand: Subcommand::Completions,
        name: "completions",
        args: "bash|zsh|fish",
        choices: &["bash", "zsh", "fish"],
        about: "print shell completions",
        details: "",
        options: &[],
    },
    Spec {
        subcommand: Subcommand::Try,
        name: "try",
        args: "",
        choices: &[],
        about: "run everything on loopback with embedded defaults",
        details: "",
        options: &[],
    },
];

/// Returns the table entry of a command.
pub(crate) fn spec(subcommand: Subcommand) -> &'static Spec {
    let found = TABLE.iter().find(|spec| spec.subcommand == subcommand);
    found.expect("every command has a table entry")
}

impl Spec {
    /// Options that only some commands have, without `--help` and `--version`.
    pub(crate) fn options(&self) -> impl Iterator<Item = &'static Opt> {
        self.options.iter().copied().flatten()
    }
}
