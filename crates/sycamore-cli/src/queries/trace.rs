//! `trace`: prints the lines about one request from the log files of several nodes.

use crate::args::Trace;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::json;
use std::path::Path;

/// Log line with its wall clock time in milliseconds since the Unix epoch, 0 where it has none.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    time_ms: u64,
    text: String,
}

/// Prints the lines about the request in `trace` from all of its files, in order of time.
///
/// # Errors
/// [`CliError::BadInput`] where a file can't be read, [`CliError::NotFound`] where no line names
/// the request.
pub fn run(trace: &Trace, output: &Output) -> Result<(), Report<CliError>> {
    let mut lines = Vec::new();
    for file in &trace.files {
        lines.extend(find_lines(&trace.id, &read_log(file)?));
    }
    if lines.is_empty() {
        let error = format!("no log line names request {:?}", trace.id);
        return Err(Report::new(CliError::NotFound(error)));
    }
    lines.sort();
    let texts: Vec<&str> = lines.iter().map(|line| line.text.as_str()).collect();
    output.print_answer(&json!({ "request": trace.id, "lines": texts }), texts.join("\n"));
    Ok(())
}

/// Reads a log file; bytes that are not UTF-8 are replaced.
fn read_log(file: &Path) -> Result<String, Report<CliError>> {
    std::fs::read(file)
        .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
        .map_err(|err| Report::new(CliError::bad_input(format!("{}: {err}", file.display()))))
}

/// Returns the lines of `log` about the request called `id`.
fn find_lines(id: &str, log: &str) -> Vec<Line> {
    log.lines()
        .filter(|line| {
            field_value(line, "request").is_some_and(|request| is_same_or_descendant(id, request))
        })
        .map(|line| Line {
            time_ms: field_value(line, "time_ms")
                .and_then(|time| time.parse().ok())
                .unwrap_or_default(),
            text: line.trim().to_owned(),
        })
        .collect()
}

/// Returns whether `request` is the request called `id` or a call made for it, directly or through
/// other calls: the identifiers of such calls begin with its identifier and a dot.
fn is_same_or_descendant(id: &str, request: &str) -> bool {
    request.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// Returns the value of `key` in a log line of key=value pairs. It finds only values without
/// spaces, as identifiers and times are.
fn field_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value.trim_matches('"'))
}
