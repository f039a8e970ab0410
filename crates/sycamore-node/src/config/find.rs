//! Discovers new configuration heads: polls the head row within the fleet-wide read budget, and
//! follows the heads that peers spread.

use super::driver::Driver;
use crate::tasks::TaskGroup;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use sycamore_config::head::HEAD_KEY;
use sycamore_config::{HeadRow, PollSettings};
use sycamore_platform::{Result, Row, Table};
use sycamore_types::prelude::*;

/// Longest random delay before the first read, so that nodes started together don't read at once.
const START_JITTER: Duration = Duration::from_millis(200);
/// Least fleet size assumed before the first exchange of membership tables with a peer.
const NODES_BEFORE_SYNC: usize = 100;
/// Factor on the read budget of a node without a version floor, which can't serve yet.
const START_BUDGET_FACTOR: f64 = 10.0;

/// Spawns the task that polls the head row.
pub(super) fn poll(driver: &Rc<Driver>, tasks: &TaskGroup) {
    tasks.spawn_until_stop(poll_head(driver.clone()));
}

/// Spawns the task that follows the heads that peers spread.
pub(super) fn follow(driver: &Rc<Driver>, tasks: &TaskGroup) {
    tasks.spawn_until_stop(follow_facts(driver.clone()));
}

async fn poll_head(driver: Rc<Driver>) {
    monoio::time::sleep(START_JITTER.mul_f64(rand::rng().random::<f64>())).await;
    let mut failures = 0;
    loop {
        match read_head(&driver).await {
            Ok(head) => {
                failures = 0;
                driver.handle_stored_head(head);
            }
            Err(_) => failures += 1,
        }
        driver.metrics.copy_platform_traffic(driver.platform.http().traffic());
        monoio::time::sleep(poll_delay(&driver, failures)).await;
    }
}

async fn read_head(driver: &Driver) -> Result<Option<ConfigHead>> {
    let row = driver.platform.http().get(HEAD_KEY).await?;
    row.map(|row| decode_head(&row)).transpose()
}

fn decode_head(row: &Row) -> Result<ConfigHead> {
    let read = HeadRow::read(&row.value).map(|row| row.body.head);
    read.ok_or_else(|| {
        let why = format!("row {HEAD_KEY} holds no valid head");
        error_stack::Report::new(sycamore_platform::Error::Malformed(why))
    })
}

fn poll_delay(driver: &Driver, failures: u32) -> Duration {
    let fleet_reads_per_s = f64::from(driver.hub.settings.platform.fleet_reads_per_s);
    let factor = if driver.floor().is_none() { START_BUDGET_FACTOR } else { 1.0 };
    let settings =
        PollSettings { fleet_reads_per_s: fleet_reads_per_s * factor, ..PollSettings::default() };
    let known = driver.hub.members.borrow().members.len();
    let nodes = if driver.peers.is_synced() { known } else { known.max(NODES_BEFORE_SYNC) };
    settings.delay(nodes, failures, rand::random())
}

async fn follow_facts(driver: Rc<Driver>) {
    let mut facts = driver.hub.facts.subscribe();
    loop {
        let known = facts.borrow_and_update().clone();
        if let Some(Fact::Head(head)) = known.get(&FactKey::Head) {
            driver.handle_spread_head(*head);
        }
        if facts.changed().await.is_err() {
            return;
        }
    }
}
