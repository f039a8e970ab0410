//! Queries: what only tells.

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

const PLANS: [Column; 5] = [
    ("plan", "/plan"),
    ("revision", "/revision"),
    ("by", "/operator"),
    ("moves", "/moves"),
    ("state", "/state"),
];

const MOVES: [Column; 6] = [
    ("move", "/move"),
    ("service", "/service"),
    ("from", "/from"),
    ("to", "/to"),
    ("state", "/state"),
    ("share in basis points", "/share"),
];

const NODES: [Column; 7] = [
    ("instance", "/instance"),
    ("service", "/service"),
    ("version", "/version"),
    ("state", "/state"),
    ("data centre", "/data_centre"),
    ("region", "/region"),
    ("slots", "/slots"),
];

/// Shows the configuration in force on a node.
///
/// # Errors
/// [`CliError`], as the node says.
pub async fn config(client: &Client, output: &Output) -> Result<(), Report<CliError>> {
    let value = client.query("config").await?;
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    output.answer(&value, text);
    Ok(())
}

/// Lists the plans.
///
/// # Errors
/// [`CliError`], as the node says.
pub async fn plans(client: &Client, output: &Output) -> Result<(), Report<CliError>> {
    let value = client.query("plans").await?;
    output.rows(&value, list(&value, "plans"), &PLANS);
    Ok(())
}

/// Lists the moves of `plan`, or of all plans.
///
/// # Errors
/// [`CliError`], as the node says.
pub async fn moves(
    client: &Client,
    plan: Option<&PlanId>,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let value = client.query(&of_plan("moves", plan)).await?;
    output.rows(&value, list(&value, "moves"), &MOVES);
    Ok(())
}

/// Tells how each move of `plan`, or of all plans, ended.
///
/// # Errors
/// [`CliError`], as the node says.
pub async fn report(
    client: &Client,
    plan: Option<&PlanId>,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let value = client.query(&of_plan("report", plan)).await?;
    let unreadable = || CliError::Failed("the node's report can't be read".to_owned());
    let moves = Vec::<MoveReport>::deserialize(&value["moves"]).change_context_lazy(unreadable)?;
    output.answer(&value, sycamore_moves::report::table(&moves).trim_end());
    Ok(())
}

/// Lists the nodes that a node knows.
///
/// # Errors
/// [`CliError`], as the node says.
pub async fn nodes(client: &Client, output: &Output) -> Result<(), Report<CliError>> {
    let value = client.query("nodes").await?;
    output.rows(&value, list(&value, "members"), &NODES);
    Ok(())
}

fn of_plan(query: &str, plan: Option<&PlanId>) -> String {
    match plan {
        None => query.to_owned(),
        Some(plan) => format!("{query}?plan={plan}"),
    }
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map(Vec::as_slice).unwrap_or_default()
}
