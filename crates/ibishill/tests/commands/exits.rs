//! Exit codes, errors and hints of invalid command lines and files.

use crate::run;

struct Case {
    args: &'static [&'static str],
    code: i32,
    stderr: &'static str,
}

const CASES: &[Case] = &[
    Case {
        args: &["statsu"],
        code: 2,
        stderr: "error: unrecognized command \"statsu\"\nhint: did you mean 'status'?\n",
    },
    Case {
        args: &["frobnicate"],
        code: 2,
        stderr: "error: unrecognized command \"frobnicate\"\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["apply", "--partail", "x.yaml"],
        code: 2,
        stderr: "error: unexpected option --partail for 'ibishill apply'\nhint: did you mean '--partial'?\n",
    },
    Case {
        args: &["status", "--stages", "1"],
        code: 2,
        stderr: "error: unexpected option --stages for 'ibishill status'\nhint: see 'ibishill status --help'\n",
    },
    Case {
        args: &["status", "now"],
        code: 2,
        stderr: "error: unexpected argument \"now\"\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["apply"],
        code: 2,
        stderr: "error: expected exactly one declarations file\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["rollout", "strat", "v2"],
        code: 2,
        stderr: "error: unrecognized roll-out action \"strat\"\nhint: did you mean 'start'?\n",
    },
    Case {
        args: &["rollout", "start", "v2", "--from", "m@1"],
        code: 2,
        stderr: "error: --to is required to start a roll-out\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["zone", "off", "natal"],
        code: 2,
        stderr: "error: \"off\" is neither 'in' nor 'out'\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["certs", "vm-1"],
        code: 2,
        stderr: "error: \"vm-1\" is not of the form ZONE/VM\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["completions", "tcsh"],
        code: 2,
        stderr: "error: no completions for \"tcsh\"\nhint: see 'ibishill --help'\n",
    },
    Case {
        args: &["check", "no-such-file.yaml"],
        code: 1,
        stderr: "error: no-such-file.yaml: No such file or directory (os error 2)\n",
    },
    Case {
        args: &["status", "--daemon", "http://10.0.0.1:7102", "--token-file", "README.md"],
        code: 1,
        stderr: "error: a token is sent by TLS or on loopback only; use https and --ca\n",
    },
];

#[test]
fn failure_has_exit_code_and_hint() {
    for Case { args, code, stderr } in CASES {
        let result = run(args);
        assert_eq!((result.code, result.stderr.as_str()), (*code, *stderr), "{args:?}");
    }
}

#[test]
fn serve_rejects_settings_with_findings() {
    for (name, text) in [
        ("settings-rights", "without TLS, operators' tokens would cross the network"),
        ("settings-no-credential", "no operator's token is set"),
        ("settings-security", "security.insecure needs a loopback address"),
    ] {
        let file = format!("crates/ibishill-config/tests/bad/{name}.yaml");
        let result = run(&["serve", &file]);
        assert_eq!(result.code, 3, "{name}");
        assert!(result.stderr.contains(text), "{}", result.stderr);
    }
}
