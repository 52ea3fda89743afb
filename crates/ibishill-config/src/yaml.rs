//! Deserializes YAML documents; errors become findings with a position.

use serde::de;

use crate::{finding, shape};

/// Deserializes one document.
///
/// # Errors
///
/// Returns a finding at the first position where the document does not match the type.
pub fn read<T>(file: &str, text: &str) -> Result<T, finding::Findings>
where
    T: de::DeserializeOwned,
{
    serde_saphyr::from_str(text).map_err(|error| {
        let (line, column) =
            error.location().map_or((0, 0), |location| (location.line(), location.column()));
        finding::Findings {
            findings: vec![finding::Finding {
                file: file.to_owned(),
                line,
                column,
                path: String::new(),
                message: shape::message(&error),
                hint: None,
            }],
        }
    })
}
