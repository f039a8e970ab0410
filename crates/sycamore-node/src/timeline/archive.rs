//! Events of processes that may be gone, from the object store.

use crate::operator::OperatorError;
use crate::platform::Platform;
use sycamore_platform::Objects;
use sycamore_timeline::merge;
use sycamore_types::prelude::*;

const PREFIX: &str = "events/";
/// Batches read for one query at most.
const MAX_BATCHES: usize = 256;

/// The events in the object store, of `instance` only where one is given, in one order. Of more than
/// the allowed number of batches the last of each process come first.
///
/// # Errors
/// [`OperatorError::Unavailable`] where the object store is out.
pub async fn read_archive(
    platform: &Platform,
    instance: Option<&InstanceId>,
) -> Result<Vec<Event>, OperatorError> {
    let prefix = instance.map_or_else(|| PREFIX.to_owned(), |name| format!("{PREFIX}{name}/"));
    let mut keys = platform.http().keys(&prefix).await.map_err(unavailable)?;
    keys.sort_by(|a, b| recency(b).cmp(recency(a)));
    let mut events = Vec::new();
    for key in keys.iter().take(MAX_BATCHES) {
        let Some(body) = platform.http().fetch(key).await.map_err(unavailable)? else { continue };
        // A batch that can't be read leaves a gap in its process' numbers, which shows.
        if let Ok(batch) = serde_json::from_slice::<Vec<Event>>(&body) {
            events.extend(batch);
        }
    }
    Ok(merge(events))
}

/// The part of a key after its instance: generation and first number.
fn recency(key: &str) -> &str {
    key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/')).map_or("", |(_, rest)| rest)
}

fn unavailable(report: error_stack::Report<sycamore_platform::Error>) -> OperatorError {
    OperatorError::Unavailable(format!("the object store is out: {}", report.current_context()))
}
