//! Reading YAML documents with findings at their place.

use serde::de;

use crate::{finding, shape};

/// Reads one document.
///
/// # Errors
///
/// Returns the finding of the first place that does not fit the type.
pub fn read<T>(file: &str, text: &str) -> Result<T, finding::Findings>
where
    T: de::DeserializeOwned,
{
    serde_saphyr::from_str(text).map_err(|error| {
        let (line, column) =
            error.location().map_or((0, 0), |place| (place.line(), place.column()));
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
