//! Tables for people and JSON for programs, from the same rows.

use crate::args::OutputForm;
use serde_json::{Map, Value};

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

fn print_table(table: &ReportTable) {
    println!("{}:", table.name);
    let Some(first) = table.rows.first() else {
        println!("  (none)");
        return;
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
        println!("  {}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(columns.iter().map(|column| (*column).clone()).collect());
    table.rows.iter().for_each(|row| line(columns.iter().map(|c| text(row, c)).collect()));
}

/// Prints tables in the form asked for.
pub fn print(form: OutputForm, tables: &[ReportTable]) {
    match form {
        OutputForm::Table => tables.iter().for_each(print_table),
        OutputForm::Json => {
            let object: Map<String, Value> = tables
                .iter()
                .map(|table| {
                    let rows = table.rows.iter().cloned().map(Value::Object).collect();
                    (table.name.to_owned(), Value::Array(rows))
                })
                .collect();
            println!("{}", Value::Object(object));
        }
    }
}
