//! Each invalid document yields all of its findings, in order and with their positions.

use std::fs;
use std::path::{Path, PathBuf};

use ibishill_config::{declared, document, finding};

struct Case {
    name: &'static str,
    findings: usize,
}

const CASES: &[Case] = &[
    Case { name: "keys", findings: 18 },
    Case { name: "memory", findings: 6 },
    Case { name: "mixed", findings: 5 },
    Case { name: "references", findings: 24 },
    Case { name: "settings-many", findings: 8 },
    Case { name: "settings-no-credential", findings: 2 },
    Case { name: "settings-security", findings: 8 },
    Case { name: "settings-right-names", findings: 3 },
    Case { name: "settings-rights", findings: 3 },
    Case { name: "syntax", findings: 1 },
];

fn path(name: &str, extension: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad").join(format!("{name}.{extension}"))
}

fn findings(name: &str) -> finding::Findings {
    let file = format!("{name}.yaml");
    let text = fs::read_to_string(path(name, "yaml")).unwrap();
    if name.starts_with("settings") {
        return document::settings(&file, &text).unwrap_err();
    }
    document::declared(&file, &text).unwrap_err()
}

// Run with IBISHILL_BLESS=1 to rewrite the snapshots after an intended change of a message.
#[test]
fn findings_match_snapshots() {
    for Case { name, findings: expected } in CASES {
        let found = findings(name);
        let text = format!("{found}\n");
        let snapshot = path(name, "txt");
        if std::env::var_os("IBISHILL_BLESS").is_some() {
            fs::write(&snapshot, &text).unwrap();
        }
        assert_eq!(text, fs::read_to_string(&snapshot).unwrap(), "{name}");
        assert_eq!(found.findings.len(), *expected, "{name}");
        for finding in &found.findings {
            assert!(finding.line > 0 && finding.column > 0, "{finding}");
        }
    }
}

#[test]
fn every_invalid_document_has_a_case() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad");
    let files = fs::read_dir(folder).unwrap().count();
    assert_eq!(files, CASES.len() * 2);
}

#[test]
fn valid_documents_are_accepted() {
    let cases = [
        "",
        "# only a comment\n",
        "zones: {}\n",
        "zones: {a: &zone {region: r}, b: *zone}\nendpoints:\n  \
         e: {zone: a, address: '127.0.0.1:1', versions: [m@1], slots: 1}\n  \
         f: {zone: b, address: '127.0.0.1:2', versions: [m@1], slots: 1}\n\
         versions: {m@1: {prompt-price: 1, output-price: 1, quality: 1}}\n",
    ];
    for text in cases {
        let read = document::declared("good.yaml", text);
        assert!(read.is_ok(), "{text}: {}", read.unwrap_err());
    }
}

#[test]
fn partial_document_may_refer_to_existing_objects() {
    let text = "endpoints:\n  e: {zone: a, address: '127.0.0.1:1', slots: 1}\n";
    assert!(document::partial("part.yaml", text).is_ok());
    assert!(document::declared("whole.yaml", text).is_err());
}

#[test]
fn empty_document_declares_nothing() {
    assert_eq!(document::declared("empty", "").unwrap(), declared::Declared::default());
}
