//! Reading whole documents with every finding at its place.

use serde::de;

use crate::shape::{Shape, Walk};
use crate::{check, declared, finding, schema, settings, tree, yaml};

/// Checks that span several values of one document.
type Check<T> = fn(&str, &T) -> Vec<finding::Finding>;

/// Reads a daemon's settings.
///
/// # Errors
///
/// Returns every finding, in the order of the document.
pub fn settings(file: &str, text: &str) -> Result<settings::Settings, finding::Findings> {
    read(file, text, &schema::SETTINGS, check::settings)
}

/// Reads declarations that stand for themselves.
///
/// # Errors
///
/// Returns every finding, in the order of the document.
pub fn declared(file: &str, text: &str) -> Result<declared::Declared, finding::Findings> {
    read(file, text, &schema::DECLARED, whole)
}

/// Reads declarations that add to others, so their references are not checked.
///
/// # Errors
///
/// Returns every finding, in the order of the document.
pub fn part(file: &str, text: &str) -> Result<declared::Declared, finding::Findings> {
    read(file, text, &schema::DECLARED, |_, _| Vec::new())
}

fn whole(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut found = check::check(file, declared);
    found.extend(check::unused(file, declared));
    found
}

fn read<T>(file: &str, text: &str, shape: &Shape, check: Check<T>) -> Result<T, finding::Findings>
where
    T: de::DeserializeOwned,
{
    let root =
        tree::parse(file, text).map_err(|finding| finding::Findings { findings: vec![finding] })?;
    let mut walk = Walk { file, findings: Vec::new() };
    let partial = walk.node(shape, &root, "");
    let clean = walk.findings.is_empty();
    let value: Option<T> = if clean {
        Some(yaml::read(file, text)?)
    } else {
        partial.and_then(|value| serde_json::from_value(value).ok())
    };
    let mut findings = walk.findings;
    if let Some(value) = &value {
        let found = check(file, value);
        findings.extend(found.into_iter().filter(|f| !follows(f, &root, clean)));
    }
    locate(&mut findings, &root);
    match value {
        Some(value) if findings.is_empty() => Ok(value),
        _ => Err(finding::Findings { findings }),
    }
}

// A name may only be missing because its own object has a finding and was left out.
fn follows(finding: &finding::Finding, root: &tree::Node, clean: bool) -> bool {
    let kinds = ["zones", "versions", "services", "endpoints", "workspaces"];
    let declared = |name: &str| {
        kinds.iter().any(|kind| {
            root.names(kind).iter().any(|key| *key == name || key.starts_with(&format!("{name}@")))
        })
    };
    let missing = finding.message.strip_suffix(" is not declared");
    let name = missing.and_then(|text| text.rsplit(' ').next());
    !clean && (name.is_some_and(declared) || finding.message.ends_with(check::NO_USE))
}

fn locate(findings: &mut [finding::Finding], root: &tree::Node) {
    for finding in findings.iter_mut().filter(|finding| finding.line == 0) {
        let place = root.locate(&finding.path);
        (finding.line, finding.column) = (place.line, place.column);
    }
    findings.sort_by(|left, right| {
        (left.line, left.column, &left.path).cmp(&(right.line, right.column, &right.path))
    });
}
