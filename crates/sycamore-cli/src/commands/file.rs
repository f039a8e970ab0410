//! Reads the text and JSON files that an operator gives to a command.

use crate::error::CliError;
use error_stack::{Report, ResultExt};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Reads the text of the file at `path`.
///
/// # Errors
/// [`CliError::BadInput`] where the file can't be read or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, Report<CliError>> {
    std::fs::read_to_string(path)
        .change_context_lazy(|| CliError::bad_input(format!("can't read {}", path.display())))
}

/// Reads the resources of a configuration from the JSON file at `path`; where `path` is a folder,
/// from all of its JSON files in name order.
///
/// # Errors
/// [`CliError::BadInput`] with every file that can't be read or holds no JSON list.
pub fn read_resources(path: &Path) -> Result<Vec<Value>, Report<CliError>> {
    let mut resources = Vec::new();
    let mut faults = Vec::new();
    for file in list_json_files(path)? {
        match read_list(&file) {
            Ok(more) => resources.extend(more),
            Err(fault) => faults.push(format!("{}: {fault}", file.display())),
        }
    }
    match faults.is_empty() {
        true => Ok(resources),
        false => {
            let error = "some files of the configuration can't be read".to_owned();
            Err(Report::new(CliError::BadInput { error, faults }))
        }
    }
}

/// Returns `path` itself, or the JSON files of the folder at `path` in name order.
fn list_json_files(path: &Path) -> Result<Vec<PathBuf>, Report<CliError>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let unreadable = || CliError::bad_input(format!("can't read {}", path.display()));
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).change_context_lazy(unreadable)? {
        let file = entry.change_context_lazy(unreadable)?.path();
        if file.extension().is_some_and(|extension| extension == "json") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Reads a JSON list from `file`.
fn read_list(file: &Path) -> Result<Vec<Value>, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}
