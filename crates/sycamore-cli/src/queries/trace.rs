//! `trace`: what the logs of several nodes say of one request.

use crate::args::Trace;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::json;
use std::path::Path;

/// A line of a log with the civil time that it carries, in milliseconds.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    time_ms: u64,
    text: String,
}

/// Prints the lines about the request that `trace` names, from all files in one order.
///
/// # Errors
/// [`CliError`] where a file can't be read, or no line names the request.
pub fn run(trace: &Trace, output: &Output) -> Result<(), Report<CliError>> {
    let mut lines = Vec::new();
    for file in &trace.files {
        lines.extend(lines_about(&trace.id, &read(file)?));
    }
    if lines.is_empty() {
        let error = format!("no line names request {:?}", trace.id);
        return Err(Report::new(CliError::NotFound(error)));
    }
    lines.sort();
    let texts: Vec<&str> = lines.iter().map(|line| line.text.as_str()).collect();
    output.answer(&json!({ "request": trace.id, "lines": texts }), texts.join("\n"));
    Ok(())
}

fn read(file: &Path) -> Result<String, Report<CliError>> {
    std::fs::read(file)
        .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
        .map_err(|err| Report::new(CliError::bad_input(format!("{}: {err}", file.display()))))
}

fn lines_about(id: &str, log: &str) -> Vec<Line> {
    log.lines()
        .filter(|line| value(line, "request").is_some_and(|request| is_about(id, request)))
        .map(|line| Line {
            time_ms: value(line, "time_ms").and_then(|time| time.parse().ok()).unwrap_or_default(),
            text: line.trim().to_owned(),
        })
        .collect()
}

/// Whether `request` is the request called `id` or a call that it made, directly or not: those have
/// its identifier, a dot, and more.
fn is_about(id: &str, request: &str) -> bool {
    request.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// The value of `key` in a line of key=value pairs; identifiers and times are written without
/// quotes.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value.trim_matches('"'))
}
