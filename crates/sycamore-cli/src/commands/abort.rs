//! `abort`: aborts a release move, so that its new version loses its traffic.

use super::new_op_id;
use crate::args::Abort;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::json;

/// Sends the abort of a move to a node.
///
/// # Errors
/// [`CliError::NotFound`] where there is no such move, [`CliError::Conflict`] where it has ended,
/// [`CliError::Failed`] where no node answers.
pub async fn run(client: &Client, abort: &Abort, output: &Output) -> Result<(), Report<CliError>> {
    let body = json!({
        "operator": abort.operator,
        "op": new_op_id(),
        "move": abort.mv,
        "reason": abort.reason,
    });
    let answer = client.command("move-abort", &body).await?;
    let text = match answer["revision"].is_null() {
        true => format!("move {} is being taken back; not yet recorded on the platform", abort.mv),
        false => format!("move {} is being taken back", abort.mv),
    };
    output.print_answer(&answer, text);
    Ok(())
}
