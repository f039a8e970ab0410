//! `timeline`: the events of all nodes named, in one order.

use crate::args::Timeline;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::Report;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time between two looks for new events.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Page {
    events: Vec<Event>,
}

/// Shows events, and goes on where `args` say so.
///
/// # Errors
/// [`CliError`] where a node named does not answer.
pub async fn run(
    client: &Client,
    args: &Timeline,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let mut seen: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    loop {
        let mut events = Vec::new();
        for node in client.nodes() {
            let after = seen.entry(*node).or_default();
            let page = fetch(client, *node, *after, args).await?;
            *after = page.iter().map(|event| event.seq).fold(*after, u64::max);
            events.extend(page);
        }
        events.retain(|event| args.instance.as_ref().is_none_or(|wanted| event.by == *wanted));
        events.sort_by(|a, b| (a.at, &a.by, a.seq).cmp(&(b.at, &b.by, b.seq)));
        events.iter().for_each(|event| show(event, output));
        if !args.follow {
            return Ok(());
        }
        monoio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

async fn fetch(
    client: &Client,
    node: SocketAddr,
    after: u64,
    args: &Timeline,
) -> Result<Vec<Event>, Report<CliError>> {
    let mut query = format!("timeline?after={after}");
    if let Some(kind) = &args.kind {
        query.push_str(&format!("&kind={kind}"));
    }
    if let Some(mv) = &args.mv {
        query.push_str(&format!("&move={mv}"));
    }
    let value = client.query_node(node, &query).await?;
    let page: Page = serde_json::from_value(value).map_err(|error| {
        Report::new(CliError::Failed(format!(
            "node {node} sent events that can't be read: {error}"
        )))
    })?;
    Ok(page.events)
}

fn show(event: &Event, output: &Output) {
    let value = serde_json::to_value(event).unwrap_or_default();
    let detail = serde_json::to_string(&event.kind).unwrap_or_default();
    let text = format!(
        "{}.{:<3} {:<16} {:<16} {detail}",
        event.at.wall.0,
        event.at.logical,
        event.by.as_str(),
        event.kind.name()
    );
    output.line(&value, text);
}
