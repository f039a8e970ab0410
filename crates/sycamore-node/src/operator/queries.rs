//! Dispatch of operators' queries, the requests that change nothing.

use super::OperatorError;
use crate::run::Node;
use crate::timeline::read_archive;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeSet, HashMap};
use sycamore_types::prelude::*;

/// Arguments of a query, from the query string of its URL.
pub type Arguments = HashMap<String, String>;

/// Answers the query `name` with the arguments `args`.
///
/// # Errors
/// [`OperatorError`] if the query is unknown or fails.
pub async fn run(node: &Node, name: &str, args: &Arguments) -> Result<Value, OperatorError> {
    match name {
        "config" => node.config.query().await,
        "plans" => node.moves.plans().await,
        "moves" => node.moves.moves(args.get("plan").map(String::as_str)).await,
        "report" => node.moves.report(args.get("plan").map(String::as_str)).await,
        "nodes" => Ok(nodes(node)),
        "timeline" => timeline(node, args).await,
        _ => Err(OperatorError::NotFound(format!("query {name:?}"))),
    }
}

/// Answer to the query `nodes`: the state of this node and the members it knows.
#[derive(Serialize)]
struct Nodes<'a> {
    instance: &'a InstanceId,
    phase: String,
    config: ConfigVersion,
    in_flight: usize,
    /// Data centres that operators have taken out of use.
    out_of_use: BTreeSet<DataCentre>,
    /// Age of the proof that the configuration is the newest, in milliseconds; absent without one.
    proof_age_ms: Option<u64>,
    members: Vec<&'a Member>,
}

fn nodes(node: &Node) -> Value {
    let hub = &node.hub;
    let view = hub.members.borrow().clone();
    let nodes = Nodes {
        instance: &hub.settings.node.instance,
        phase: format!("{:?}", hub.phase()).to_lowercase(),
        config: hub.snapshot.borrow().version,
        in_flight: hub.in_flight(),
        out_of_use: hub.facts.data_centres_out_of_use(),
        proof_age_ms: hub.proof_age().map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        members: view.members.values().collect(),
    };
    serde_json::to_value(nodes).unwrap_or_default()
}

async fn timeline(node: &Node, args: &Arguments) -> Result<Value, OperatorError> {
    let after = match args.get("after") {
        None => 0,
        Some(text) => text.parse().map_err(|_| {
            OperatorError::bad_input(format!("after={text} is not an event number"))
        })?,
    };
    let mut events = match args.get("archive").map(String::as_str) {
        Some("true") => {
            let instance = args.get("instance").map(InstanceId::new).transpose();
            let instance = instance.map_err(OperatorError::bad_input)?;
            read_archive(&node.platform, instance.as_ref()).await?
        }
        _ => node.hub.timeline().borrow().after(after),
    };
    if let Some(kind) = args.get("kind") {
        events.retain(|event| event.kind.name() == kind);
    }
    if let Some(mv) = args.get("move") {
        events.retain(|event| event.kind.mv().is_some_and(|found| found.as_str() == mv));
    }
    Ok(json!({ "events": events }))
}
