//! `sheet import`: imports a CSV sheet of release moves as a plan.

use super::{check, file, new_op_id};
use crate::args::Import;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::{json, Value};

/// Checks the sheet locally, then sends it to a node.
///
/// # Errors
/// [`CliError::BadInput`] where the sheet has faults, [`CliError::Conflict`] where another change
/// was first, [`CliError::Failed`] where no node answers or the platform doesn't.
pub async fn run(
    client: &Client,
    import: &Import,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let sheet = file::read_text(&import.file)?;
    check::check_sheet(&sheet)?;
    let body = json!({
        "operator": import.operator,
        "op": new_op_id(),
        "plan": import.plan,
        "sheet": sheet,
    });
    let answer = client.command("sheet-import", &body).await?;
    let text = format!(
        "plan {}: {} moves added, {} changed, {} as before",
        import.plan,
        count_moves(&answer["added"]),
        count_moves(&answer["changed"]),
        count_moves(&answer["same"])
    );
    output.print_answer(&answer, text);
    Ok(())
}

/// Returns the length of a list of moves in a node's answer; 0 where there is none.
fn count_moves(moves: &Value) -> usize {
    moves.as_array().map_or(0, Vec::len)
}
