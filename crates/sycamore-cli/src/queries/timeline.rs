//! `timeline`: prints the events of the nodes given and of the archive, in order of their stamps.

use crate::args::Timeline;
use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::time::Duration;
use sycamore_timeline::merge::{Cursor, Filter};
use sycamore_types::prelude::*;

/// Pause between two queries for new events with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Answer to a node's `timeline` query.
#[derive(Deserialize)]
struct Page {
    events: Vec<Event>,
}

/// Prints the events that pass the filters in `args`, and with `follow` those recorded later. The
/// cursor skips events already printed by instance, incarnation and sequence number; the
/// incarnation keeps it from skipping the events of a restarted node, whose numbers begin again.
///
/// # Errors
/// [`CliError`] where one of the nodes does not answer, or with `archive` the object store doesn't.
pub async fn run(
    client: &Client,
    args: &Timeline,
    output: &Output,
) -> Result<(), Report<CliError>> {
    let filter =
        Filter { mv: args.mv.clone(), instance: args.instance.clone(), kind: args.kind.clone() };
    let mut cursor = Cursor::default();
    loop {
        let new_events = cursor.advance(fetch_events(client, args).await?);
        for event in new_events.iter().filter(|event| filter.passes(event)) {
            print_event(event, output);
        }
        if !args.follow {
            return Ok(());
        }
        monoio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

/// Fetches the events of all nodes, and of the archive where `args` ask for it.
async fn fetch_events(client: &Client, args: &Timeline) -> Result<Vec<Event>, Report<CliError>> {
    let mut events = Vec::new();
    if args.archive {
        events.extend(parse_events(client.query("timeline?archive=true").await?)?);
    }
    for node in client.nodes() {
        events.extend(parse_events(client.query_node(*node, "timeline").await?)?);
    }
    Ok(events)
}

/// Parses the answer to a `timeline` query.
fn parse_events(value: serde_json::Value) -> Result<Vec<Event>, Report<CliError>> {
    let invalid = || CliError::Failed("a node's timeline is not a valid list of events".to_owned());
    let page: Page = serde_json::from_value(value).change_context_lazy(invalid)?;
    Ok(page.events)
}

/// Prints one event: stamp, recording instance, kind and the kind's fields.
fn print_event(event: &Event, output: &Output) {
    let value = serde_json::to_value(event).unwrap_or_default();
    let detail = serde_json::to_string(&event.kind).unwrap_or_default();
    let text = format!(
        "{}.{:<3} {:<16} {:<16} {detail}",
        event.at.wall.0,
        event.at.logical,
        event.by.as_str(),
        event.kind.name()
    );
    output.print_answer(&value, text);
}
