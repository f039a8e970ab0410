//! `timeline`: the events of all nodes named, and of those that are gone, in one order.

use crate::args::Timeline;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::time::Duration;
use sycamore_timeline::merge::{Cursor, Filter};
use sycamore_types::prelude::*;

/// Time between two looks for new events.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Page {
    events: Vec<Event>,
}

/// Shows events, and goes on where `args` say so. What a node has told before is known by its
/// number and its process' generation, so that a restarted node's events are shown as well.
///
/// # Errors
/// [`CliError`] where a node named does not answer, or the object store where `args` ask for it.
pub async fn run(
    client: &Client,
    args: &Timeline,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let filter =
        Filter { mv: args.mv.clone(), instance: args.instance.clone(), kind: args.kind.clone() };
    let mut cursor = Cursor::default();
    loop {
        let fresh = cursor.advance(fetch(client, args).await?);
        fresh.iter().filter(|event| filter.passes(event)).for_each(|event| show(event, output));
        if !args.follow {
            return Ok(());
        }
        monoio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

async fn fetch(client: &Client, args: &Timeline) -> Result<Vec<Event>, Report<CliError>> {
    let mut events = Vec::new();
    if args.archive {
        events.extend(page(client.query("timeline?archive=true").await?)?);
    }
    for node in client.nodes() {
        events.extend(page(client.query_node(*node, "timeline").await?)?);
    }
    Ok(events)
}

fn page(value: serde_json::Value) -> Result<Vec<Event>, Report<CliError>> {
    let unreadable = || CliError::Failed("a node sent events that can't be read".to_owned());
    let page: Page = serde_json::from_value(value).change_context_lazy(unreadable)?;
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
    output.answer(&value, text);
}
