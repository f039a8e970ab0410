//! Records the timeline of this process and archives it in the object store.

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

/// Time between two checks of whether a batch is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of batches of events written at shutdown.
const MAX_FINAL_BATCHES: usize = 8;
/// Timeout for writing the batches at shutdown, together.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Spawns the task that archives events in the object store, if the settings ask for it.
///
/// # Errors
/// None at present.
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
        let _ = monoio::time::timeout(FINAL_WRITE_TIMEOUT, write_remaining(&hub, &platform)).await;
    });
    Ok(())
}

async fn write_batches(hub: &Hub, platform: &Platform) {
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let nodes = hub.members.borrow().members.len();
        let due = hub.timeline().borrow_mut().due(hub.clock.now(), nodes);
        if let Some(batch) = due {
            write_batch(hub, platform, &batch).await;
        }
    }
}

async fn write_remaining(hub: &Hub, platform: &Platform) {
    for _ in 0..MAX_FINAL_BATCHES {
        let next = hub.timeline().borrow_mut().flush();
        let Some(batch) = next else { return };
        if !write_batch(hub, platform, &batch).await {
            return;
        }
    }
}

/// Writes a batch to the object store and returns whether it is stored. A batch that exists counts
/// as stored: an earlier attempt wrote it and its answer was lost.
async fn write_batch(hub: &Hub, platform: &Platform, batch: &Batch) -> bool {
    let Ok(body) = serde_json::to_vec(&batch.events) else { return false };
    match platform.http().put(&batch.key, Bytes::from(body)).await {
        Ok(_) => {
            hub.timeline().borrow_mut().record_stored(&batch.key);
            true
        }
        Err(report) => {
            debug!(hub.log, "events could not be archived"; "error" => %report.current_context());
            false
        }
    }
}
