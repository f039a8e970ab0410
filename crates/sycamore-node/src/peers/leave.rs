//! Leaving: tells other nodes and takes this node's row out of the platform's table.

use super::driver::Driver;
use super::register::{member_key, row_member};
use crate::hub::Phase;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use std::rc::Rc;
use std::time::Duration;
use sycamore_platform::{Condition, Table, Transaction, Write};

/// Time that deleting the row may take; members find a row that stays to be dead.
const DELETE_LIMIT: Duration = Duration::from_millis(500);

/// Starts the task that waits for the node to stop.
pub(super) fn start(driver: &Rc<Driver>, platform: &Rc<Platform>, tasks: &TaskGroup) {
    let (driver, platform) = (driver.clone(), platform.clone());
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        let mut phases = driver.hub.phases();
        let stopped = phases.wait_for(|phase| *phase == Phase::Stopped);
        // Where the group stops without the phase, the node leaves all the same.
        let _ = stop.or(stopped).await;
        for (to, packet) in driver.leave() {
            let _ = driver.datagrams.send(&packet, driver.hub.stamp(), to).await;
        }
        let _ = monoio::time::timeout(DELETE_LIMIT, delete_row(&driver, &platform)).await;
        let _ = monoio::time::timeout(DELETE_LIMIT, driver.calls.close()).await;
    });
}

/// Deletes the row unless a later incarnation holds it.
async fn delete_row(driver: &Driver, platform: &Platform) {
    let key = member_key(&driver.hub.settings.node.instance);
    let Ok(Some(row)) = platform.http().get(&key).await else { return };
    let ours = row_member(&row).is_some_and(|member| member.incarnation == driver.hub.incarnation);
    if ours {
        let conditions = vec![Condition { key: key.clone(), revision: row.revision }];
        let writes = vec![Write { key, value: None }];
        // A row that stays is cleared by others once they have found this node dead.
        let _ = platform.http().transact(&Transaction { conditions, writes }).await;
    }
}
