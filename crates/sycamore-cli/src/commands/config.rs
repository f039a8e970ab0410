//! `config apply`: makes a configuration the current one.

use super::{check, file, op_id};
use crate::args::Apply;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::json;

/// Checks the configuration here, then applies it through a node.
///
/// # Errors
/// [`CliError`] where it is faulty, somebody else won, or no node or platform answers.
pub async fn run(client: &Client, apply: &Apply, output: &Output) -> Result<(), Report<CliError>> {
    let resources = file::resources(&apply.path)?;
    check::resources(&resources)?;
    let body = json!({
        "operator": apply.operator,
        "op": op_id(),
        "expect": apply.expect,
        "resources": resources,
    });
    let answer = client.command("config-apply", &body).await?;
    output.answer(&answer, format!("configuration {} is current", answer["version"]));
    Ok(())
}
