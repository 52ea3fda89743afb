//! Findings about a file, each with its place.

use std::fmt;

use snafu::Snafu;

// Jaro-Winkler likeness, from 0 to 1.
const SIMILAR: f64 = 0.8;

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The file.
    pub file: String,
    /// Line, from 1; 0 if the place is not known.
    pub line: u64,
    /// Column, from 1; 0 if the place is not known.
    pub column: u64,
    /// Path of keys within the document, such as `workspaces.acme.keys`.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)?;
        match &self.hint {
            Some(hint) => write!(f, "\n  hint: {hint}"),
            None => Ok(()),
        }
    }
}

/// All findings about one document.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", list(findings)))]
pub struct Findings {
    /// The findings, in the order of the document.
    pub findings: Vec<Finding>,
}

fn list(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// The most similar of `names`, as a hint, if one is similar enough.
pub fn suggest(given: &str, names: &[&str]) -> Option<String> {
    let near = names.iter().map(|name| (strsim::jaro_winkler(given, name), name));
    let (likeness, name) = near.max_by(|left, right| left.0.total_cmp(&right.0))?;
    (likeness >= SIMILAR).then(|| format!("did you mean '{name}'?"))
}
