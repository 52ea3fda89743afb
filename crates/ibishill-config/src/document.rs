//! Reading whole documents with every finding at its place.

use serde::de;

use crate::shape::{Shape, Validator};
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
    read(file, text, &schema::DECLARED, check_complete)
}

/// Reads declarations that add to others, so their references are not checked.
///
/// # Errors
///
/// Returns every finding, in the order of the document.
pub fn partial(file: &str, text: &str) -> Result<declared::Partial, finding::Findings> {
    let objects: declared::Declared = read(file, text, &schema::DECLARED, |_, _| Vec::new())?;
    let named = tree::parse(file, text).is_ok_and(|root| root.has_key("policy"));
    Ok(declared::Partial { policy: named.then_some(objects.policy), objects })
}

fn check_complete(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut found = check::declared(file, declared);
    found.extend(check::unused(file, declared));
    found
}

fn read<T>(file: &str, text: &str, shape: &Shape, check: Check<T>) -> Result<T, finding::Findings>
where
    T: de::DeserializeOwned,
{
    let root =
        tree::parse(file, text).map_err(|finding| finding::Findings { findings: vec![finding] })?;
    let mut walk = Validator { file, findings: Vec::new() };
    let part = walk.node(shape, &root, "").unwrap_or_default();
    let mut findings = walk.findings;
    if findings.is_empty() {
        let value = yaml::read(file, text)?;
        findings = check(file, &value);
        if findings.is_empty() {
            return Ok(value);
        }
    } else if let Ok(value) = serde_json::from_value(part.clone()) {
        let found = check(file, &value).into_iter();
        findings.extend(found.filter(|finding| !is_consequence(finding, &root, &part)));
    }
    locate(&mut findings, &root);
    Err(finding::Findings { findings })
}

// Whether a finding only stands because something with a mistake was left out.
fn is_consequence(finding: &finding::Finding, root: &tree::Node, part: &serde_json::Value) -> bool {
    let section = finding.path.split('.').next().unwrap_or_default();
    let left_out = root.has_key(section) && part.get(section).is_none();
    let kinds = ["zones", "versions", "services"];
    let stands = |name: &str| {
        let fits = |key: &&str| *key == name || key.split('@').next() == Some(name);
        kinds.iter().any(|kind| root.keys_under(kind).iter().any(fits))
    };
    let missing = finding.message.strip_suffix(" is not declared");
    let name = missing.and_then(|text| text.rsplit(' ').next());
    left_out || name.is_some_and(stands) || finding.message.ends_with(check::ZONE_UNUSED)
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
