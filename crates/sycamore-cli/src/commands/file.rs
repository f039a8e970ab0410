//! Reading what an operator hands in.

use crate::error::CliError;
use error_stack::{Report, ResultExt};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// The text of the file at `path`.
///
/// # Errors
/// [`CliError::BadInput`] where it can't be read or is no UTF-8.
pub fn text(path: &Path) -> Result<String, Report<CliError>> {
    std::fs::read_to_string(path)
        .change_context_lazy(|| CliError::bad_input(format!("can't read {}", path.display())))
}

/// The resources in the JSON file at `path`, or in all of a folder's JSON files in name order.
///
/// # Errors
/// [`CliError::BadInput`] with every file that can't be read or holds no list.
pub fn resources(path: &Path) -> Result<Vec<Value>, Report<CliError>> {
    let mut resources = Vec::new();
    let mut faults = Vec::new();
    for file in json_files(path)? {
        match list(&file) {
            Ok(more) => resources.extend(more),
            Err(fault) => faults.push(format!("{}: {fault}", file.display())),
        }
    }
    match faults.is_empty() {
        true => Ok(resources),
        false => {
            let error = "the configuration can't be read".to_owned();
            Err(Report::new(CliError::BadInput { error, faults }))
        }
    }
}

fn json_files(path: &Path) -> Result<Vec<PathBuf>, Report<CliError>> {
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

fn list(file: &Path) -> Result<Vec<Value>, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}
