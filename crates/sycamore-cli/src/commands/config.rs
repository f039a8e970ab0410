//! `config apply`: replaces the current configuration.

use super::{check, file, new_op_id};
use crate::args::Apply;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::json;

/// Checks the configuration locally, then sends it to a node.
///
/// # Errors
/// [`CliError::BadInput`] where the configuration has faults, [`CliError::Conflict`] where another
/// change was first, [`CliError::Failed`] where no node answers or the platform doesn't.
pub async fn run(client: &Client, apply: &Apply, output: &Output) -> Result<(), Report<CliError>> {
    let resources = file::read_resources(&apply.path)?;
    check::check_resources(&resources)?;
    let body = json!({
        "operator": apply.operator,
        "op": new_op_id(),
        "expect": apply.expect,
        "resources": resources,
    });
    let answer = client.command("config-apply", &body).await?;
    output.print_answer(&answer, format!("configuration {} is current", answer["version"]));
    Ok(())
}
