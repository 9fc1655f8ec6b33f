//! What a command found, for people and for programs.

use lagoonproxy::result_code::ResultCode;
use serde_json::Value;

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// Becomes the exit code; always below 200.
    pub code: ResultCode,
    /// Lines for people.
    pub lines: Vec<String>,
    /// The same for programs.
    pub json: Value,
}

impl CommandReport {
    /// The report as it is printed.
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

/// Lays out rows in columns of equal width; the first row is the head.
pub fn layout_table(rows: &[Vec<String>]) -> Vec<String> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    rows.iter().map(|row| layout_row(row, &widths)).collect()
}

fn layout_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
