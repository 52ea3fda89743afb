//! Reads and validates whole documents, reporting all findings with their positions.

use serde::de;

use crate::shape::{Shape, Validator};
use crate::{check, declared, finding, schema, settings, tree, yaml};

/// Check that spans several values of a document; takes the file name and the document.
type Check<T> = fn(&str, &T) -> Vec<finding::Finding>;

/// Reads a daemon's settings.
///
/// # Errors
///
/// Returns every finding, in the order of the document.
pub fn settings(file: &str, text: &str) -> Result<settings::Settings, finding::Findings> {
    read(file, text, &schema::SETTINGS, check::settings)
}

/// Reads declarations that are complete by themselves.
///
/// # Errors
///
/// Returns every finding, in the order of the document.
pub fn declared(file: &str, text: &str) -> Result<declared::Declared, finding::Findings> {
    read(file, text, &schema::DECLARED, check_complete)
}

/// Reads declarations that are merged into existing ones; references are not checked, as they
/// may name existing objects.
///
/// # Errors
///
/// Returns every finding, in the order of the document.
pub fn partial(file: &str, text: &str) -> Result<declared::Partial, finding::Findings> {
    let objects: declared::Declared = read(file, text, &schema::DECLARED, |_, _| Vec::new())?;
    let has_policy = tree::parse(file, text).is_ok_and(|root| root.has_key("policy"));
    Ok(declared::Partial { policy: has_policy.then_some(objects.policy), objects })
}

fn check_complete(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut findings = check::declared(file, declared);
    findings.extend(check::unused(file, declared));
    findings
}

fn read<T>(file: &str, text: &str, shape: &Shape, check: Check<T>) -> Result<T, finding::Findings>
where
    T: de::DeserializeOwned,
{
    let root =
        tree::parse(file, text).map_err(|finding| finding::Findings { findings: vec![finding] })?;
    let mut validator = Validator { file, findings: Vec::new() };
    let valid = validator.node(shape, &root, "").unwrap_or_default();
    let mut findings = validator.findings;
    if findings.is_empty() {
        let value = yaml::read(file, text)?;
        findings = check(file, &value);
        if findings.is_empty() {
            return Ok(value);
        }
    } else if let Ok(value) = serde_json::from_value(valid.clone()) {
        let found = check(file, &value).into_iter();
        findings.extend(found.filter(|finding| !is_consequence(finding, &root, &valid)));
    }
    locate(&mut findings, &root);
    Err(finding::Findings { findings })
}

// Whether a finding is only a consequence of an invalid object having been left out of `valid`.
fn is_consequence(
    finding: &finding::Finding,
    root: &tree::Node,
    valid: &serde_json::Value,
) -> bool {
    let section = finding.path.split('.').next().unwrap_or_default();
    let is_left_out = root.has_key(section) && valid.get(section).is_none();
    let sections = ["zones", "versions", "services"];
    let is_present = |name: &str| {
        let matches = |key: &&str| *key == name || key.split('@').next() == Some(name);
        sections.iter().any(|section| root.keys_under(section).iter().any(matches))
    };
    let missing = finding.message.strip_suffix(" is not declared");
    let name = missing.and_then(|text| text.rsplit(' ').next());
    is_left_out || name.is_some_and(is_present) || finding.message.ends_with(check::ZONE_UNUSED)
}

fn locate(findings: &mut [finding::Finding], root: &tree::Node) {
    for finding in findings.iter_mut().filter(|finding| finding.line == 0) {
        let position = root.locate(&finding.path);
        (finding.line, finding.column) = (position.line, position.column);
    }
    findings.sort_by(|left, right| {
        (left.line, left.column, &left.path).cmp(&(right.line, right.column, &right.path))
    });
}
