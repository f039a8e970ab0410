//! `check`: reports the faults of settings, sheet and configuration files, without a node.

use super::file;
use crate::args::Check;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::{json, Value};
use std::path::Path;
use sycamore_settings::SettingsError;

/// Checks the file that `check` names.
///
/// # Errors
/// [`CliError::BadInput`] with every fault found.
pub fn run(check: &Check, output: &Output) -> Result<(), Report<CliError>> {
    let checked = match check {
        Check::Settings { file } => check_settings(file)?,
        Check::Sheet { file } => {
            let moves = check_sheet(&file::read_text(file)?)?;
            format!("{}: {moves} moves, no fault", file.display())
        }
        Check::Config { path } => {
            let resources = file::read_resources(path)?;
            check_resources(&resources)?;
            format!("{}: {} resources, no fault", path.display(), resources.len())
        }
    };
    output.print_answer(&json!({ "checked": checked }), &checked);
    Ok(())
}

/// Checks a settings file; returns the text to print where it has no fault.
fn check_settings(file: &Path) -> Result<String, Report<CliError>> {
    match sycamore_settings::from_file(file) {
        Ok(_) => Ok(format!("{}: no fault", file.display())),
        Err(report) => Err(Report::new(match report.current_context() {
            SettingsError::Unreadable(error) => CliError::bad_input(error),
            SettingsError::Faulty(faults) => CliError::BadInput {
                error: format!("{} faults in {}", faults.len(), file.display()),
                faults: faults.iter().map(ToString::to_string).collect(),
            },
        })),
    }
}

/// Checks the text of a sheet; returns the number of its moves.
///
/// # Errors
/// [`CliError::BadInput`] with every fault by line and column.
pub fn check_sheet(text: &str) -> Result<usize, Report<CliError>> {
    sycamore_moves::sheet::parse(text.as_bytes()).map(|moves| moves.len()).map_err(|faults| {
        Report::new(CliError::BadInput {
            error: format!("{} faults in the sheet", faults.len()),
            faults: faults.iter().map(ToString::to_string).collect(),
        })
    })
}

/// Checks the resources of a configuration, including references between them.
///
/// # Errors
/// [`CliError::BadInput`] with every fault and its place, such as `resources[3].prefix`.
pub fn check_resources(resources: &[Value]) -> Result<(), Report<CliError>> {
    let resources = Value::Array(resources.to_vec());
    sycamore_config::Bundle::from_json(&resources).map(drop).map_err(|faults| {
        Report::new(CliError::BadInput {
            error: format!("{} faults in the configuration", faults.len()),
            faults: faults.iter().map(ToString::to_string).collect(),
        })
    })
}
