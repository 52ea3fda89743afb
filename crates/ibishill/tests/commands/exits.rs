//! Exit codes and hints of mistakes in the command line.

use crate::run;

struct Case {
    args: &'static [&'static str],
    code: i32,
    errors: &'static str,
}

const CASES: &[Case] = &[
    Case {
        args: &["statsu"],
        code: 2,
        errors: "error: \"statsu\" is no command\nhint: did you mean 'status'?\n",
    },
    Case {
        args: &["frobnicate"],
        code: 2,
        errors: "error: \"frobnicate\" is no command\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["apply", "--partail", "x.yaml"],
        code: 2,
        errors: "error: --partail is no option of 'ibishill apply'\nhint: did you mean '--partial'?\n",
    },
    Case {
        args: &["status", "--stages", "1"],
        code: 2,
        errors: "error: --stages is no option of 'ibishill status'\nhint: see 'ibishill status --help'\n",
    },
    Case {
        args: &["status", "now"],
        code: 2,
        errors: "error: \"now\" is one word too many\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["apply"],
        code: 2,
        errors: "error: exactly one declarations file is needed\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["rollout", "strat", "v2"],
        code: 2,
        errors: "error: \"strat\" is no action of a roll-out\nhint: did you mean 'start'?\n",
    },
    Case {
        args: &["rollout", "start", "v2", "--from", "m@1"],
        code: 2,
        errors: "error: --to is needed to start a roll-out\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["zone", "off", "natal"],
        code: 2,
        errors: "error: \"off\" is neither 'in' nor 'out'\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["certs", "vm-1"],
        code: 2,
        errors: "error: \"vm-1\" is not of the form ZONE/VM\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["completions", "tcsh"],
        code: 2,
        errors: "error: no completions for \"tcsh\"\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["check", "no-such-file.yaml"],
        code: 1,
        errors: "error: no-such-file.yaml: No such file or directory (os error 2)\n",
    },
    Case {
        args: &["status", "--daemon", "http://10.0.0.1:7102", "--token-file", "README.md"],
        code: 1,
        errors: "error: a token is sent by TLS or on loopback only; use https and --ca\n",
    },
];

#[test]
fn mistakes_have_their_code_and_hint() {
    for Case { args, code, errors } in CASES {
        let done = run(args);
        assert_eq!((done.code, done.errors.as_str()), (*code, *errors), "{args:?}");
    }
}

#[test]
fn serve_refuses_settings_with_findings() {
    for (name, text) in [
        ("settings-rights", "without TLS, operators' tokens would cross the network"),
        ("settings-no-credential", "no operator's token is set"),
        ("settings-security", "security.insecure needs a loopback address"),
    ] {
        let file = format!("crates/ibishill-config/tests/bad/{name}.yaml");
        let done = run(&["serve", &file]);
        assert_eq!(done.code, 3, "{name}");
        assert!(done.errors.contains(text), "{}", done.errors);
    }
}
