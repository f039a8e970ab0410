//! `sheet import`: turns the planners' sheet into a plan of moves.

use super::{check, file, op_id};
use crate::args::Import;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde_json::{json, Value};

/// Checks the sheet here, then imports it through a node.
///
/// # Errors
/// [`CliError`] where it is faulty, somebody else won, or no node or platform answers.
pub async fn run(
    client: &Client,
    import: &Import,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let sheet = file::text(&import.file)?;
    check::sheet(&sheet)?;
    let body = json!({
        "operator": import.operator,
        "op": op_id(),
        "plan": import.plan,
        "sheet": sheet,
    });
    let answer = client.command("sheet-import", &body).await?;
    let text = format!(
        "plan {}: {} moves added, {} changed, {} as before",
        import.plan,
        count(&answer["added"]),
        count(&answer["changed"]),
        count(&answer["same"])
    );
    output.answer(&answer, text);
    Ok(())
}

/// Number of the moves that a node listed.
fn count(moves: &Value) -> usize {
    moves.as_array().map_or(0, Vec::len)
}
