//! Checks that span several values of a document.

mod objects;
mod settings;

use crate::{declared, finding};

pub use self::settings::settings;

/// Message about a zone without endpoints, which may be a consequence of an invalid endpoint.
pub(crate) const ZONE_UNUSED: &str = "the zone has no endpoints";

/// Collects findings that have a path but no position yet.
pub(crate) struct Report<'a> {
    file: &'a str,
    found: Vec<finding::Finding>,
}

impl<'a> Report<'a> {
    fn new(file: &'a str) -> Self {
        Self { file, found: Vec::new() }
    }

    fn add<M>(&mut self, path: String, message: M)
    where
        M: Into<String>,
    {
        self.add_with_hint(path, message, None);
    }

    fn add_with_hint<M>(&mut self, path: String, message: M, hint: Option<String>)
    where
        M: Into<String>,
    {
        self.found.push(finding::Finding {
            file: self.file.to_owned(),
            line: 0,
            column: 0,
            path,
            message: message.into(),
            hint,
        });
    }
}

/// Checks references and ranges of declarations; returns all findings.
pub fn declared(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut report = Report::new(file);
    objects::endpoints(declared, &mut report);
    objects::versions(declared, &mut report);
    objects::services(declared, &mut report);
    objects::workspaces(declared, &mut report);
    objects::rollouts(declared, &mut report);
    report.found
}

/// Reports declared objects that could never be used.
///
/// Such objects are valid while a deployment is built up step by step, but an error in a complete
/// document.
pub fn unused(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut report = Report::new(file);
    objects::unused(declared, &mut report);
    report.found
}
