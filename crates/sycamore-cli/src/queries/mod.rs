//! Queries that show the configuration, plans, moves and nodes, and change nothing.

pub mod timeline;
pub mod trace;

use crate::client::Client;
use crate::error::CliError;
use crate::output::{Column, Output};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::Value;
use sycamore_moves::report::MoveReport;
use sycamore_types::id::PlanId;

/// Columns of the table of plans.
const PLAN_COLUMNS: [Column; 5] = [
    ("plan", "/plan"),
    ("revision", "/revision"),
    ("by", "/operator"),
    ("moves", "/moves"),
    ("state", "/state"),
];

/// Columns of the table of moves.
const MOVE_COLUMNS: [Column; 6] = [
    ("move", "/move"),
    ("service", "/service"),
    ("from", "/from"),
    ("to", "/to"),
    ("state", "/state"),
    ("share in basis points", "/share"),
];

/// Columns of the table of nodes.
const NODE_COLUMNS: [Column; 7] = [
    ("instance", "/instance"),
    ("service", "/service"),
    ("version", "/version"),
    ("state", "/state"),
    ("data centre", "/data_centre"),
    ("region", "/region"),
    ("slots", "/slots"),
];

/// Prints the configuration in force on the node that answers.
///
/// # Errors
/// [`CliError`] of the node's response, or [`CliError::Failed`] where no node answers.
pub async fn show_config(client: &Client, output: &Output) -> Result<(), Report<CliError>> {
    let value = client.query("config").await?;
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    output.print_answer(&value, text);
    Ok(())
}

/// Prints the table of plans.
///
/// # Errors
/// [`CliError`] of the node's response, or [`CliError::Failed`] where no node answers.
pub async fn list_plans(client: &Client, output: &Output) -> Result<(), Report<CliError>> {
    let value = client.query("plans").await?;
    output.print_rows(&value, array_field(&value, "plans"), &PLAN_COLUMNS);
    Ok(())
}

/// Prints the table of the moves of `plan`, or of all plans.
///
/// # Errors
/// [`CliError`] of the node's response, or [`CliError::Failed`] where no node answers.
pub async fn list_moves(
    client: &Client,
    plan: Option<&PlanId>,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let value = client.query(&plan_query("moves", plan)).await?;
    output.print_rows(&value, array_field(&value, "moves"), &MOVE_COLUMNS);
    Ok(())
}

/// Prints how each move of `plan`, or of all plans, ended.
///
/// # Errors
/// [`CliError`] of the node's response, or [`CliError::Failed`] where no node answers.
pub async fn show_report(
    client: &Client,
    plan: Option<&PlanId>,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let value = client.query(&plan_query("report", plan)).await?;
    let invalid = || CliError::Failed("the node's report is not a valid list of moves".to_owned());
    let moves = Vec::<MoveReport>::deserialize(&value["moves"]).change_context_lazy(invalid)?;
    output.print_answer(&value, sycamore_moves::report::table(&moves).trim_end());
    Ok(())
}

/// Prints the table of the members that the node that answers knows.
///
/// # Errors
/// [`CliError`] of the node's response, or [`CliError::Failed`] where no node answers.
pub async fn list_nodes(client: &Client, output: &Output) -> Result<(), Report<CliError>> {
    let value = client.query("nodes").await?;
    output.print_rows(&value, array_field(&value, "members"), &NODE_COLUMNS);
    Ok(())
}

/// Returns the path of `query`, restricted to `plan` where one is given.
fn plan_query(query: &str, plan: Option<&PlanId>) -> String {
    match plan {
        None => query.to_owned(),
        Some(plan) => format!("{query}?plan={plan}"),
    }
}

/// Returns the array `key` of `value`; empty where there is none.
fn array_field<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map(Vec::as_slice).unwrap_or_default()
}
