//! Printed texts compared with the committed snapshots.

use std::fs;
use std::path::Path;

use crate::run;

const COMMANDS: &[&str] = &[
    "serve",
    "relay",
    "explain",
    "check",
    "check-config",
    "apply",
    "diff",
    "rollout",
    "withdraw",
    "zone",
    "endpoint",
    "status",
    "wait",
    "audit",
    "refusals",
    "billing",
    "certs",
    "key-hash",
    "completions",
    "try",
];

// IBISHILL_BLESS=1 rewrites the snapshots after an intended change of a text.
fn assert_snapshot(name: &str, text: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/commands/snapshots");
    let path = dir.join(name);
    if std::env::var_os("IBISHILL_BLESS").is_some() {
        fs::write(&path, text).unwrap();
    }
    assert_eq!(text, fs::read_to_string(path).unwrap(), "{name}");
}

#[test]
fn help_matches_snapshot() {
    let main = run(&["--help"]);
    let mut text = main.stdout.clone();
    assert_eq!((main.code, run(&[]).stdout), (0, main.stdout));
    for command in COMMANDS {
        let help = run(&[command, "--help"]);
        assert_eq!((help.code, help.stderr.as_str()), (0, ""), "{command}");
        text.push_str(&format!("\n$ ibishill {command} --help\n{}", help.stdout));
    }
    assert_snapshot("help.txt", &text);
    let listed = text.split_once("Options:").unwrap().0;
    assert_eq!(listed.lines().filter(|line| line.starts_with("  ")).count(), COMMANDS.len());
}

#[test]
fn completions_match_snapshots() {
    for shell in ["bash", "zsh", "fish"] {
        let result = run(&["completions", shell]);
        assert_eq!(result.code, 0);
        assert_snapshot(&format!("completions.{shell}"), &result.stdout);
    }
}

#[test]
fn version_is_that_of_the_package() {
    let expected = format!("ibishill {}\n", env!("CARGO_PKG_VERSION"));
    for args in [&["--version"][..], &["-V"], &["status", "-V"]] {
        assert_eq!(run(args).stdout, expected);
    }
}

#[test]
fn check_reports_all_files_together() {
    let dir = "crates/ibishill-config/tests/bad";
    let files = [format!("{dir}/mixed.yaml"), format!("{dir}/settings-security.yaml")];
    let result = run(&["check", &files[0], "examples/local/declared.yaml", &files[1]]);
    assert_eq!(result.code, 3);
    assert_eq!(result.stdout, "examples/local/declared.yaml: ok\n");
    assert_snapshot("check.txt", &result.stderr);
    let json = run(&["check", "--json", &files[0]]);
    assert_eq!(json.code, 3);
    let shown: Vec<serde_json::Value> = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(shown.len(), 5);
    assert_eq!((shown[0]["line"].as_u64(), shown[0]["column"].as_u64()), (Some(3), Some(30)));
}
