//! The time line of this process, and its way to the object store.

mod archive;
mod recorder;

pub use archive::read_archive;
pub use recorder::Recorder;

use crate::hub::Hub;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use bytes::Bytes;
use error_stack::Report;
use slog::debug;
use std::rc::Rc;
use std::time::Duration;
use sycamore_platform::Objects;
use sycamore_timeline::Batch;

/// Time between two looks at whether a batch is due.
const LOOK: Duration = Duration::from_millis(500);
/// Batches that a process which stops may write still.
const MAX_LAST_BATCHES: usize = 8;
/// Time that the last batches may take.
const LAST_TIME: Duration = Duration::from_secs(2);

/// Starts the tasks that keep events in the object store.
///
/// # Errors
/// None so far.
pub async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    platform: &Rc<Platform>,
) -> Result<(), Report<std::io::Error>> {
    if !hub.settings.moves.archive {
        return Ok(());
    }
    let (hub, platform) = (hub.clone(), platform.clone());
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        stop.or(write_batches(&hub, &platform)).await;
        let _ = monoio::time::timeout(LAST_TIME, write_last(&hub, &platform)).await;
    });
    Ok(())
}

async fn write_batches(hub: &Hub, platform: &Platform) {
    loop {
        monoio::time::sleep(LOOK).await;
        let nodes = hub.members.borrow().members.len();
        let due = hub.timeline().borrow_mut().due(hub.clock.now(), nodes);
        if let Some(batch) = due {
            write(hub, platform, &batch).await;
        }
    }
}

async fn write_last(hub: &Hub, platform: &Platform) {
    for _ in 0..MAX_LAST_BATCHES {
        let last = hub.timeline().borrow_mut().flush();
        let Some(batch) = last else { return };
        if !write(hub, platform, &batch).await {
            return;
        }
    }
}

/// Writes a batch; one that is there already was written by an earlier try whose answer was lost.
async fn write(hub: &Hub, platform: &Platform, batch: &Batch) -> bool {
    let Ok(body) = serde_json::to_vec(&batch.events) else { return false };
    match platform.http().put(&batch.key, Bytes::from(body)).await {
        Ok(_) => {
            hub.timeline().borrow_mut().stored(&batch.key);
            true
        }
        Err(report) => {
            debug!(hub.log, "events wait"; "error" => %report.current_context());
            false
        }
    }
}
