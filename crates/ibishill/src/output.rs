//! Printing of results, as text or JSON.

use serde_json::Value;

/// Prints JSON if asked, else the lines.
pub(crate) fn print(json: bool, value: &Value, lines: &[String]) {
    if json {
        println!("{value:#}");
        return;
    }
    for line in lines {
        println!("{line}");
    }
}
