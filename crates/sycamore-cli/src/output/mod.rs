//! Printing: tables for people, JSON for programs.

use crate::args::Format;
use crate::error::CliError;
use comfy_table::{presets, ContentArrangement, Table};
use serde_json::{json, Value};

/// Prints answers in the format that was asked for.
pub struct Output {
    format: Format,
}

/// A column of a table: its title, and where a row's value is (a JSON pointer).
pub type Column = (&'static str, &'static str);

impl Output {
    /// Prints in `format`.
    pub fn new(format: Format) -> Self {
        Self { format }
    }

    /// Prints `value` as JSON, or `text` for people.
    pub fn answer(&self, value: &Value, text: impl AsRef<str>) {
        match self.format {
            Format::Json => println!("{value}"),
            Format::Table => println!("{}", text.as_ref()),
        }
    }

    /// Prints `value` as JSON, or its `rows` as a table with `columns`.
    pub fn rows(&self, value: &Value, rows: &[Value], columns: &[Column]) {
        match self.format {
            Format::Json => println!("{value}"),
            Format::Table if rows.is_empty() => println!("none"),
            Format::Table => println!("{}", table(rows, columns)),
        }
    }

    /// Prints an error, to standard error.
    pub fn error(&self, error: &CliError) {
        match self.format {
            Format::Json => {
                eprintln!("{}", json!({ "error": error.to_string(), "faults": error.faults() }));
            }
            Format::Table => {
                eprintln!("sycamoreshift: {error}");
                error.faults().iter().for_each(|fault| eprintln!("  {fault}"));
            }
        }
    }
}

fn table(rows: &[Value], columns: &[Column]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(columns.iter().map(|(title, _)| *title));
    for row in rows {
        table.add_row(columns.iter().map(|(_, pointer)| cell(row.pointer(pointer))));
    }
    table
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
