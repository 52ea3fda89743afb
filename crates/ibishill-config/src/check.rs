//! Checks that span several values of a document.

mod objects;
mod settings;

use crate::{declared, finding};

pub use self::settings::settings;

/// How the message ends that an object is of no use to others.
pub(crate) const ZONE_UNUSED: &str = "stands in it";

/// Collects findings that know their path but not yet their place.
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

/// Checks references and ranges of declarations; returns every finding.
pub fn declared(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut report = Report::new(file);
    objects::endpoints(declared, &mut report);
    objects::versions(declared, &mut report);
    objects::services(declared, &mut report);
    objects::workspaces(declared, &mut report);
    objects::rollouts(declared, &mut report);
    report.found
}

/// Checks that a whole document declares nothing that could never be used.
///
/// Such objects are valid on the way to a whole deployment, but a mistake at its end.
pub fn unused(file: &str, declared: &declared::Declared) -> Vec<finding::Finding> {
    let mut report = Report::new(file);
    objects::unused(declared, &mut report);
    report.found
}
