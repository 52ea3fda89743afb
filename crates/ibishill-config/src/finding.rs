//! Findings about a file, each with its position.

use std::fmt;

use snafu::Snafu;

// Minimum Jaro-Winkler similarity of a suggestion, 0 to 1.
const MIN_SIMILARITY: f64 = 0.8;

/// One problem in a document, and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// File name as given by the caller.
    pub file: String,
    /// Line, from 1; 0 if the position is unknown.
    pub line: u64,
    /// Column, from 1; 0 if the position is unknown.
    pub column: u64,
    /// Path of keys within the document, such as `workspaces.acme.keys`.
    pub path: String,
    /// Description of the problem.
    pub message: String,
    /// Advice on how to fix it, if there is any.
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

/// All findings about one document, as an error.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", list(findings)))]
pub struct Findings {
    /// The findings, in the order of the document.
    pub findings: Vec<Finding>,
}

fn list(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Returns a hint with the name most similar to `given`, if one is similar enough.
pub fn suggest(given: &str, names: &[&str]) -> Option<String> {
    let scored = names.iter().map(|name| (strsim::jaro_winkler(given, name), name));
    let (similarity, name) = scored.max_by(|left, right| left.0.total_cmp(&right.0))?;
    (similarity >= MIN_SIMILARITY).then(|| format!("did you mean '{name}'?"))
}
