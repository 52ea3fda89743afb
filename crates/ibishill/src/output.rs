//! Output of results as text or JSON.

use std::io::Write;

use serde_json::Value;

/// Writes text to standard output. Write errors, such as a closed pipe, are ignored.
pub(crate) fn text(text: &str) {
    let _written = std::io::stdout().write_all(text.as_bytes());
}

/// Aligns the cells of rows in columns, one line for each row.
pub(crate) fn columns(rows: &[Vec<String>]) -> Vec<String> {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..count).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}

/// Prints `value` if `json` is set, otherwise the lines.
pub(crate) fn print(json: bool, value: &Value, lines: &[String]) {
    if json {
        return text(&format!("{value:#}\n"));
    }
    for line in lines {
        text(&format!("{line}\n"));
    }
}
