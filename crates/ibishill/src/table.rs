//! The one table of commands: parsing, help and completions come from it.

/// The commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verb {
    Serve,
    Relay,
    Explain,
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
    Completions,
    Try,
}

/// One command.
pub(crate) struct Spec {
    pub(crate) verb: Verb,
    pub(crate) name: &'static str,
    /// Words after the name, as the usage line shows them.
    pub(crate) words: &'static str,
    /// Fixed choices of the first word.
    pub(crate) choices: &'static [&'static str],
    pub(crate) about: &'static str,
    /// More on the command, below its usage.
    pub(crate) details: &'static str,
    pub(crate) options: &'static [&'static [Opt]],
}

/// One option.
pub(crate) struct Opt {
    pub(crate) name: &'static str,
    /// Name of the value; a flag has none.
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

const CALL: &[Opt] = &[
    valued("daemon", "URL", "operators' address of a daemon [http://127.0.0.1:7102]"),
    valued("token-file", "FILE", "file with the operator's token"),
    valued("ca", "FILE", "certificate authority of an https daemon, as PEM"),
    valued("server-name", "NAME", "name in the daemon's certificate [the URL's host]"),
];

const ORDER: &[Opt] = &[
    valued("change-id", "ID", "id of the change; the same id is never carried out twice"),
    valued("expect", "VERSION", "refuse unless this configuration version is the newest"),
];

const PARTIAL: &[Opt] = &[flag("partial", "the document adds to what is declared")];

const START: &[Opt] = &[
    valued("from", "MODEL@VERSION", "start: the version that serves today"),
    valued("to", "MODEL@VERSION", "start: the version that is rolled out"),
    valued("stages", "LIST", "start: percent of sessions in each stage [1,10,50,100]"),
    valued("reason", "TEXT", "halt: why"),
];

const WAIT: &[Opt] = &[valued("timeout-ms", "N", "how long to wait [8000]")];

const PAGE: &[Opt] = &[
    valued("after", "VERSION", "only changes after this version"),
    valued("limit", "N", "at most so many changes"),
];

const SPACE: &[Opt] = &[valued("workspace", "NAME", "only this workspace")];

const OUT: &[Opt] = &[valued("out", "DIR", "directory to write to [.]")];

const SWITCH: &[&str] = &["out", "in"];

/// Every command, in the order of the help.
pub(crate) const TABLE: &[Spec] = &[
    Spec {
        verb: Verb::Serve,
        name: "serve",
        words: "FILE",
        choices: &[],
        about: "run a daemon with the settings in FILE",
        details: "SIGTERM or SIGINT stops it without cutting a request; SIGHUP reloads credentials.",
        options: &[],
    },
    Spec {
        verb: Verb::Relay,
        name: "relay",
        words: "",
        choices: &[],
        about: "run a daemon on the users' platform",
        details: "The environment names the settings file, which the platform writes; SIGTERM \
                  stops it without cutting a request, SIGHUP reads the settings again.",
        options: &[],
    },
    Spec {
        verb: Verb::Explain,
        name: "explain",
        words: "ID",
        choices: &[],
        about: "show what the relays' logs tell of a request",
        details: "Reads the logs of one or more relays from standard input, in order of time, and \
                  prints the lines of the request with the beliefs that were in force.",
        options: &[],
    },
    Spec {
        verb: Verb::Check,
        name: "check",
        words: "FILE...",
        choices: &[],
        about: "check settings and declarations",
        details: "All findings of all files are reported together. A file with the key 'vm' at \
                  its top\nholds settings, any other one declarations.",
        options: &[PARTIAL, JSON],
    },
    Spec {
        verb: Verb::Apply,
        name: "apply",
        words: "FILE",
        choices: &[],
        about: "put declarations in force",
        details: "",
        options: &[PARTIAL, ORDER, CALL, JSON],
    },
    Spec {
        verb: Verb::Diff,
        name: "diff",
        words: "FILE",
        choices: &[],
        about: "show what apply would change",
        details: "+ is added, ~ changed with old and new values, - removed.",
        options: &[PARTIAL, CALL, JSON],
    },
    Spec {
        verb: Verb::Rollout,
        name: "rollout",
        words: "start|pause|resume|advance|halt NAME",
        choices: &["start", "pause", "resume", "advance", "halt"],
        about: "steer a roll-out",
        details: "A halted roll-out can be resumed, in the stage where it was halted.",
        options: &[START, ORDER, CALL, JSON],
    },
    Spec {
        verb: Verb::Withdraw,
        name: "withdraw",
        words: "MODEL@VERSION",
        choices: &[],
        about: "give a version no new work",
        details: "Roll-outs towards the version are halted with it.",
        options: &[ORDER, CALL, JSON],
    },
    Spec {
        verb: Verb::Zone,
        name: "zone",
        words: "out|in NAME",
        choices: SWITCH,
        about: "take an availability zone out or bring it back",
        details: "",
        options: &[ORDER, CALL, JSON],
    },
    Spec {
        verb: Verb::Endpoint,
        name: "endpoint",
        words: "out|in NAME",
        choices: SWITCH,
        about: "take an endpoint out or bring it back",
        details: "",
        options: &[ORDER, CALL, JSON],
    },
    Spec {
        verb: Verb::Status,
        name: "status",
        words: "",
        choices: &[],
        about: "show what a daemon knows",
        details: "",
        options: &[CALL, JSON],
    },
    Spec {
        verb: Verb::Wait,
        name: "wait",
        words: "VERSION",
        choices: &[],
        about: "wait until a configuration version is in force",
        details: "",
        options: &[WAIT, CALL, JSON],
    },
    Spec {
        verb: Verb::Audit,
        name: "audit",
        words: "",
        choices: &[],
        about: "list accepted changes",
        details: "",
        options: &[PAGE, CALL, JSON],
    },
    Spec {
        verb: Verb::Refusals,
        name: "refusals",
        words: "",
        choices: &[],
        about: "list minutes with a refusal",
        details: "",
        options: &[SPACE, CALL, JSON],
    },
    Spec {
        verb: Verb::Billing,
        name: "billing",
        words: "",
        choices: &[],
        about: "show totals of billing",
        details: "",
        options: &[SPACE, CALL, JSON],
    },
    Spec {
        verb: Verb::Certs,
        name: "certs",
        words: "ZONE/VM...",
        choices: &[],
        about: "make a certificate authority and daemons' certificates",
        details: "Writes authority.pem and, for each VM, VM.pem and VM.key. The authority's key \
                  is not\nkept: name all VMs in one call.",
        options: &[OUT, JSON],
    },
    Spec {
        verb: Verb::KeyHash,
        name: "key-hash",
        words: "",
        choices: &[],
        about: "hash the key or token on standard input",
        details: "",
        options: &[JSON],
    },
    Spec {
        verb: Verb::Completions,
        name: "completions",
        words: "bash|zsh|fish",
        choices: &["bash", "zsh", "fish"],
        about: "print shell completions",
        details: "",
        options: &[],
    },
    Spec {
        verb: Verb::Try,
        name: "try",
        words: "",
        choices: &[],
        about: "run everything on loopback with embedded defaults",
        details: "",
        options: &[],
    },
];

/// The entry of a command.
pub(crate) fn spec(verb: Verb) -> &'static Spec {
    let found = TABLE.iter().find(|spec| spec.verb == verb);
    found.expect("every command stands in the table")
}

impl Spec {
    /// The command's options, besides those of all commands.
    pub(crate) fn options(&self) -> impl Iterator<Item = &'static Opt> {
        self.options.iter().copied().flatten()
    }
}
