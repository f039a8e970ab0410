//! Dispatch of operators' commands, the requests that change state.

use super::OperatorError;
use crate::run::Node;
use serde_json::Value;

/// Runs the command `name` with `body`.
///
/// # Errors
/// [`OperatorError`] if the command is unknown or fails.
pub async fn run(node: &Node, name: &str, body: &[u8]) -> Result<Value, OperatorError> {
    match name {
        "config-apply" => node.config.apply(body).await,
        "sheet-import" => node.moves.import(body).await,
        "move-abort" => node.moves.abort(body).await,
        _ => Err(OperatorError::NotFound(format!("command {name:?}"))),
    }
}
