//! Reads archived events from the object store, also those of processes that have ended.

use crate::operator::OperatorError;
use crate::platform::Platform;
use sycamore_platform::Objects;
use sycamore_timeline::merge;
use sycamore_types::prelude::*;

/// Key prefix of batches of events.
const EVENTS_PREFIX: &str = "events/";
/// Maximum number of batches read for one query; the latest are preferred.
const MAX_BATCHES: usize = 256;

/// Reads the archived events, of `instance` only if it is given, merged into one order. If there
/// are more than `MAX_BATCHES` batches, those with the latest incarnation and number are read.
///
/// # Errors
/// [`OperatorError::Unavailable`] if the object store does not answer.
pub async fn read_archive(
    platform: &Platform,
    instance: Option<&InstanceId>,
) -> Result<Vec<Event>, OperatorError> {
    let prefix =
        instance.map_or_else(|| EVENTS_PREFIX.to_owned(), |name| format!("{EVENTS_PREFIX}{name}/"));
    let mut keys = platform.http().keys(&prefix).await.map_err(unavailable)?;
    keys.sort_by(|a, b| age_key(b).cmp(age_key(a)));
    let mut events = Vec::new();
    for key in keys.iter().take(MAX_BATCHES) {
        let Some(body) = platform.http().fetch(key).await.map_err(unavailable)? else { continue };
        // A malformed batch leaves a visible gap in the event numbers of its process.
        if let Ok(batch) = serde_json::from_slice::<Vec<Event>>(&body) {
            events.extend(batch);
        }
    }
    Ok(merge(events))
}

/// Returns the part of a batch's key that sorts by age: incarnation and number of the first event.
fn age_key(key: &str) -> &str {
    key.strip_prefix(EVENTS_PREFIX)
        .and_then(|rest| rest.split_once('/'))
        .map_or("", |(_, rest)| rest)
}

fn unavailable(report: error_stack::Report<sycamore_platform::Error>) -> OperatorError {
    OperatorError::Unavailable(format!(
        "the object store is unavailable: {}",
        report.current_context()
    ))
}
