//! Printed texts against the committed ones.

use std::fs;
use std::path::Path;

use crate::run;

const COMMANDS: &[&str] = &[
    "serve",
    "relay",
    "explain",
    "check",
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

// After a wanted change of a text: IBISHILL_BLESS=1 writes the snapshots anew.
fn compare(name: &str, text: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/commands/snapshots");
    let path = folder.join(name);
    if std::env::var_os("IBISHILL_BLESS").is_some() {
        fs::write(&path, text).unwrap();
    }
    assert_eq!(text, fs::read_to_string(path).unwrap(), "{name}");
}

#[test]
fn help_of_every_command() {
    let main = run(&["--help"]);
    let mut text = main.output.clone();
    assert_eq!((main.code, run(&[]).output), (0, main.output));
    for command in COMMANDS {
        let help = run(&[command, "--help"]);
        assert_eq!((help.code, help.errors.as_str()), (0, ""), "{command}");
        text.push_str(&format!("\n$ ibishill {command} --help\n{}", help.output));
    }
    compare("help.txt", &text);
    let listed = text.split_once("Options:").unwrap().0;
    assert_eq!(listed.lines().filter(|line| line.starts_with("  ")).count(), COMMANDS.len());
}

#[test]
fn completions_of_every_shell() {
    for shell in ["bash", "zsh", "fish"] {
        let done = run(&["completions", shell]);
        assert_eq!(done.code, 0);
        compare(&format!("completions.{shell}"), &done.output);
    }
}

#[test]
fn version_is_the_packages() {
    let wanted = format!("ibishill {}\n", env!("CARGO_PKG_VERSION"));
    for args in [&["--version"][..], &["-V"], &["status", "-V"]] {
        assert_eq!(run(args).output, wanted);
    }
}

#[test]
fn check_reports_all_files_together() {
    let folder = "crates/ibishill-config/tests/bad";
    let files = [format!("{folder}/mixed.yaml"), format!("{folder}/settings-security.yaml")];
    let done = run(&["check", &files[0], "examples/local/declared.yaml", &files[1]]);
    assert_eq!(done.code, 3);
    assert_eq!(done.output, "examples/local/declared.yaml: ok\n");
    compare("check.txt", &done.errors);
    let json = run(&["check", "--json", &files[0]]);
    assert_eq!(json.code, 3);
    let shown: Vec<serde_json::Value> = serde_json::from_str(&json.output).unwrap();
    assert_eq!(shown.len(), 5);
    assert_eq!((shown[0]["line"].as_u64(), shown[0]["column"].as_u64()), (Some(3), Some(30)));
}
