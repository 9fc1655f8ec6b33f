//! Reports of commands, as text or as JSON.

use lagoonproxy::result_code::ResultCode;
use serde_json::Value;

/// The output and the result code of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// Result code, used as the exit code; always below 200.
    pub code: ResultCode,
    /// Lines of the text output.
    pub lines: Vec<String>,
    /// The same content for `--json`.
    pub json: Value,
}

impl CommandReport {
    /// Returns the printed text. As JSON, it also holds the result code under `code`.
    pub fn render(&self, as_json: bool) -> String {
        if !as_json {
            return self.lines.join("\n");
        }
        let mut json = self.json.clone();
        if let Some(object) = json.as_object_mut() {
            object.insert("code".to_owned(), self.code.number().into());
        }
        json.to_string()
    }
}

/// Pads the cells of each column to a common width, and returns one line per row. Rows may differ
/// in length. The first row is the header.
pub fn format_table(rows: &[Vec<String>]) -> Vec<String> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    rows.iter().map(|row| format_row(row, &widths)).collect()
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
