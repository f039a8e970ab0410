//! Prints results and errors as tables and text, or as JSON.

use crate::args::Format;
use crate::error::CliError;
use comfy_table::{presets, ContentArrangement, Table};
use serde_json::{json, Value};

/// Printer for one output format.
pub struct Output {
    format: Format,
}

/// Table column: its title, and the JSON pointer to its value in a row.
pub type Column = (&'static str, &'static str);

impl Output {
    /// Creates a printer for `format`.
    pub fn new(format: Format) -> Self {
        Self { format }
    }

    /// Prints `value` as one line of JSON, or `text` in the table format.
    pub fn print_answer(&self, value: &Value, text: impl AsRef<str>) {
        match self.format {
            Format::Json => println!("{value}"),
            Format::Table => println!("{}", text.as_ref()),
        }
    }

    /// Prints `value` as one line of JSON, or its `rows` as a table with `columns`; `none` where
    /// there are no rows.
    pub fn print_rows(&self, value: &Value, rows: &[Value], columns: &[Column]) {
        match self.format {
            Format::Json => println!("{value}"),
            Format::Table if rows.is_empty() => println!("none"),
            Format::Table => println!("{}", build_table(rows, columns)),
        }
    }

    /// Prints an error and its faults to standard error.
    pub fn print_error(&self, error: &CliError) {
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

/// Builds a table with one line for each of `rows`.
fn build_table(rows: &[Value], columns: &[Column]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(columns.iter().map(|(title, _)| *title));
    for row in rows {
        table.add_row(columns.iter().map(|(_, pointer)| cell_text(row.pointer(pointer))));
    }
    table
}

/// Returns the text of a table cell: `-` where the value is absent or null, strings without quotes.
fn cell_text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
