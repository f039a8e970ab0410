//! Leaves the fleet at shutdown: notifies peers and deletes this node's row from the platform's
//! table, unless it holds a leave of the upstream.

use super::driver::Driver;
use super::register::member_key;
use crate::hub::Phase;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use std::rc::Rc;
use std::time::Duration;
use sycamore_platform::{Condition, Table, Transaction, Write};

/// Timeout for deleting the row and for closing the connections to peers, each. Peers detect a
/// node whose row stays as dead.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Spawns the task that waits for the node to stop and then leaves the fleet.
pub(super) fn start(driver: &Rc<Driver>, platform: &Rc<Platform>, tasks: &TaskGroup) {
    let (driver, platform) = (driver.clone(), platform.clone());
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        let mut phases = driver.hub.phases();
        let stopped = phases.wait_for(|phase| *phase == Phase::Stopped);
        // The node also leaves if the task group stops before that phase is reached.
        let _ = stop.or(stopped).await;
        for (to, packet) in driver.leave() {
            let _ = driver.datagrams.send(&packet, driver.hub.stamp(), to).await;
        }
        let _ = monoio::time::timeout(LEAVE_TIMEOUT, delete_row(&driver, &platform)).await;
        let _ = monoio::time::timeout(LEAVE_TIMEOUT, driver.calls.close()).await;
    });
}

/// Deletes the row that this node has written, unless another process has replaced it since. A row
/// with a leave of the upstream stays: a later process of the node may find it nowhere else.
async fn delete_row(driver: &Driver, platform: &Platform) {
    let Some(revision) = driver.own_row.get() else { return };
    if driver.hub.left().is_some() {
        return;
    }
    let key = member_key(&driver.hub.settings.node.instance);
    let conditions = vec![Condition { key: key.clone(), revision }];
    let writes = vec![Write { key, value: None }];
    // Other nodes delete a row that stays once this node has been dead for long enough.
    let _ = platform.http().transact(&Transaction { conditions, writes }).await;
}
