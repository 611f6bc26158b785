//! Tables for people and JSON for programs, from the same rows.

use crate::args::OutputForm;
use serde_json::{Map, Value};
use std::io::Write;
use std::process::ExitCode;

/// A heading and its rows; all rows have the same columns.
pub struct ReportTable {
    /// Heading, and key in the JSON.
    pub name: &'static str,
    /// Rows.
    pub rows: Vec<Map<String, Value>>,
}

/// A row from a JSON object.
pub fn row(value: Value) -> Map<String, Value> {
    match value {
        Value::Object(map) => map,
        other => Map::from_iter([("value".to_owned(), other)]),
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn table_text(table: &ReportTable) -> String {
    let mut lines = vec![format!("{}:", table.name)];
    let Some(first) = table.rows.first() else {
        lines.push("  (none)".to_owned());
        return lines.join("\n");
    };
    let columns: Vec<&String> = first.keys().collect();
    let text = |row: &Map<String, Value>, column: &str| row.get(column).map_or(String::new(), cell);
    let width = |column: &&String| {
        let cells = table.rows.iter().map(|row| text(row, column).len());
        cells.chain([column.len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = columns.iter().map(width).collect();
    let line = |cells: Vec<String>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        format!("  {}", padded.collect::<Vec<_>>().join("  ").trim_end())
    };
    lines.push(line(columns.iter().map(|column| (*column).clone()).collect()));
    let rows = table.rows.iter().map(|row| line(columns.iter().map(|c| text(row, c)).collect()));
    lines.extend(rows);
    lines.join("\n")
}

/// Writes a text and a line break to standard output; whether all of it was taken.
///
/// A reader that has seen enough closes its end, as `head` does. That is no error of ours, and no
/// reason for a panic's trace, but the exit code must not claim that all was read.
pub fn say(text: &str) -> ExitCode {
    match writeln!(std::io::stdout().lock(), "{text}") {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// Writes an error's text to standard error.
pub fn complain(text: &str) {
    // Nobody is left to be told if standard error is closed; the exit code tells the rest.
    drop(writeln!(std::io::stderr().lock(), "{}", text.trim_end()));
}

/// Prints tables in the form asked for.
pub fn print(form: OutputForm, tables: &[ReportTable]) -> ExitCode {
    match form {
        OutputForm::Table => say(&tables.iter().map(table_text).collect::<Vec<_>>().join("\n")),
        OutputForm::Json => {
            let object: Map<String, Value> = tables
                .iter()
                .map(|table| {
                    let rows = table.rows.iter().cloned().map(Value::Object).collect();
                    (table.name.to_owned(), Value::Array(rows))
                })
                .collect();
            say(&Value::Object(object).to_string())
        }
    }
}
