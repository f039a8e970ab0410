//! `abort`: takes a move back at once.

use super::op_id;
use crate::args::Abort;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::json;

/// Aborts the move through a node.
///
/// # Errors
/// [`CliError`] where there is no such move, it has ended, or no node answers.
pub async fn run(client: &Client, abort: &Abort, output: &Output) -> Result<(), Report<CliError>> {
    let body = json!({
        "operator": abort.operator,
        "op": op_id(),
        "move": abort.mv,
        "reason": abort.reason,
    });
    let answer = client.command("move-abort", &body).await?;
    let text = match answer["revision"].is_null() {
        true => format!("move {} is being taken back; the platform will record it later", abort.mv),
        false => format!("move {} is being taken back", abort.mv),
    };
    output.answer(&answer, text);
    Ok(())
}
