//! Node discovery through the platform's table: registers this process, reads contacts and deletes
//! the rows of dead members.

use super::driver::Driver;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use rand::Rng;
use slog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use sycamore_member::Input;
use sycamore_platform::backoff::{Backoff, BackoffSettings};
use sycamore_platform::{
    Condition, Conflict, Page, PageQuery, Result, Revision, Row, Table, Transacted, Transaction,
    Write,
};
use sycamore_types::prelude::*;

/// Key prefix of members' rows.
const MEMBER_PREFIX: &str = "member/";
/// Number of members' rows read as contacts at the start; one contact that answers is enough to
/// join.
const CONTACT_ROWS: usize = 16;
/// Number of members' rows read per refresh.
const REFRESH_ROWS: usize = 64;
/// Refreshes per second of the whole fleet.
const FLEET_REFRESHES_PER_S: f64 = 0.5;
/// Shortest mean time between two refreshes of one node.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(15);
/// Longest pause between two attempts to store a leave, whose upstream waits some seconds for the
/// acknowledgement.
const LEAVE_RETRY_CAP: Duration = Duration::from_millis(500);
/// Longest random delay before the first read, so that nodes started together don't read at once.
const START_JITTER: Duration = Duration::from_millis(150);
/// Longest random delay before a node registers again in a new epoch of the table.
const EPOCH_JITTER: Duration = Duration::from_secs(2);
/// Time a member must be dead before its row is deleted.
const DEAD_ROW_RETENTION: Duration = Duration::from_secs(600);

/// Spawns the task that reads contacts, registers this node and then refreshes periodically.
pub(super) fn start(driver: &Rc<Driver>, platform: &Rc<Platform>, tasks: &TaskGroup) {
    driver.hub.set_awaits_own_row(true);
    tasks.spawn_until_stop(store_leaves(driver.clone(), platform.clone()));
    let (driver, platform) = (driver.clone(), platform.clone());
    tasks.spawn_until_stop(async move {
        monoio::time::sleep(random_up_to(START_JITTER)).await;
        // Of two nodes that start together, the one that registers last finds the other's row. A
        // platform that takes no writes may still serve reads.
        let is_registered = matches!(register(&driver, &platform).await, Ok(true));
        retry_until_done(|| read_contacts(&driver, &platform)).await;
        if !is_registered {
            retry_until_done(|| register(&driver, &platform)).await;
            retry_until_done(|| read_contacts(&driver, &platform)).await;
        }
        let mut epochs = platform.http().epochs();
        let mut registered_in = epochs.borrow_and_update().unwrap_or_default();
        loop {
            let next = refresh_interval(&driver);
            let rise = epochs.wait_for(|epoch| epoch.unwrap_or_default() > registered_in);
            match monoio::time::timeout(next, rise).await {
                Ok(Ok(epoch)) => {
                    registered_in = epoch.unwrap_or_default();
                    info!(driver.hub.log, "platform back from an older copy, member registered again";
                        "epoch" => registered_in);
                }
                // A failed refresh needs no retry: the next one replaces it.
                Err(_) => {
                    let _ = refresh(&driver, &platform).await;
                    continue;
                }
                // The client of the platform is gone, and so is the node.
                Ok(Err(_)) => return,
            }
            monoio::time::sleep(random_up_to(EPOCH_JITTER)).await;
            retry_until_done(|| register(&driver, &platform)).await;
            if driver.hub.left().is_some() {
                retry_until_done(|| store_leave(&driver, &platform)).await;
            }
        }
    });
}

/// Writes this node's row again with each leave of its upstream, which a later process of the node
/// then finds even if no other node remembers it.
async fn store_leaves(driver: Rc<Driver>, platform: Rc<Platform>) {
    let mut upstream = driver.hub.upstream.subscribe();
    loop {
        drop(upstream.borrow_and_update());
        if driver.hub.left().is_some_and(|left| !driver.hub.is_leave_stored(left)) {
            let settings = BackoffSettings { cap: LEAVE_RETRY_CAP, ..BackoffSettings::default() };
            retry_with(settings, || store_leave(&driver, &platform)).await;
        }
        if upstream.changed().await.is_err() {
            return;
        }
    }
}

/// Writes this node's row with the leave that it knows of. Returns whether the table holds it.
async fn store_leave(driver: &Driver, platform: &Platform) -> Result<bool> {
    driver.update_local();
    let revision = driver.own_row.get().unwrap_or(Revision::ABSENT);
    match write_row(driver, platform, revision).await? {
        None => Ok(true),
        Some(found) => {
            driver.own_row.set(Some(found.revision));
            Ok(false)
        }
    }
}

/// Returns the key of an instance's row.
pub(super) fn member_key(instance: &InstanceId) -> String {
    format!("{MEMBER_PREFIX}{instance}")
}

/// Decodes the member in `row`; `None` if the value is no member or belongs to another key.
fn decode_member(row: &Row) -> Option<Member> {
    let member: Member = serde_json::from_value(row.value.clone()).ok()?;
    (member_key(&member.instance) == row.key).then_some(member)
}

/// Decodes the members in `rows`, and logs the rows that hold none.
fn decode_members(driver: &Driver, rows: &[Row]) -> Vec<Member> {
    let decode = |row: &Row| {
        let member = decode_member(row);
        if member.is_none() {
            warn!(driver.hub.log, "member row rejected"; "key" => &row.key,
                "revision" => row.revision.0);
        }
        member
    };
    rows.iter().filter_map(decode).collect()
}

/// Repeats `step` with full-jitter backoff until it returns `Ok(true)`.
async fn retry_until_done<F>(step: impl Fn() -> F)
where
    F: std::future::Future<Output = Result<bool>>,
{
    retry_with(BackoffSettings::default(), step).await;
}

/// Repeats `step` with the delays of `settings` until it returns `Ok(true)`.
async fn retry_with<F>(settings: BackoffSettings, step: impl Fn() -> F)
where
    F: std::future::Future<Output = Result<bool>>,
{
    let mut backoff = Backoff::new(settings, rand::random());
    while !matches!(step().await, Ok(true)) {
        monoio::time::sleep(backoff.record_failure()).await;
    }
}

/// Reads contacts: the rows after this node's own key, and those at the start of the table if they
/// are too few. Nodes thus contact different members.
async fn read_contacts(driver: &Driver, platform: &Platform) -> Result<bool> {
    let own = member_key(&driver.hub.settings.node.instance);
    let mut rows = read_page(platform, &own, CONTACT_ROWS).await?.rows;
    if rows.len() < CONTACT_ROWS {
        rows.extend(read_page(platform, "", CONTACT_ROWS).await?.rows);
    }
    driver.input(Input::Rows(decode_members(driver, &rows)));
    Ok(true)
}

/// Writes this node's row, which an earlier process of the instance may have left. Returns whether
/// the table holds it; after a lost answer the next attempt finds out, as the write conflicts with
/// the row.
async fn register(driver: &Driver, platform: &Platform) -> Result<bool> {
    let key = member_key(&driver.hub.settings.node.instance);
    let Some(found) = write_row(driver, platform, Revision::ABSENT).await? else {
        driver.hub.set_awaits_own_row(false);
        return Ok(true);
    };
    let value = found.value.unwrap_or_default();
    let row = Row { key, value, revision: found.revision };
    let stored = decode_member(&row);
    // The row of an earlier process names the upstream process whose leave that one recorded.
    driver.input(Input::Rows(stored.iter().cloned().collect()));
    driver.hub.set_awaits_own_row(false);
    if stored.as_ref().is_some_and(|stored| stored.incarnation >= driver.hub.incarnation) {
        // Written by this process, or by one with a later incarnation, which this process refutes
        // with a higher one.
        driver.own_row.set(Some(row.revision));
        return Ok(true);
    }
    Ok(write_row(driver, platform, row.revision).await?.is_none())
}

/// Writes this node's row if it has `revision`, else returns what the table holds in its place.
async fn write_row(
    driver: &Driver,
    platform: &Platform,
    revision: Revision,
) -> Result<Option<Conflict>> {
    let me = driver.me();
    let key = member_key(&me.instance);
    // The row holds where to reach this process, and the leave of its upstream; peers learn its state
    // by gossip.
    let left = me.left;
    let record = Member { incarnation: driver.hub.incarnation, state: MemberState::Joining, ..me };
    let value = serde_json::to_value(record).ok();
    let transaction = Transaction {
        conditions: vec![Condition { key: key.clone(), revision }],
        writes: vec![Write { key: key.clone(), value }],
    };
    match platform.http().transact(&transaction).await? {
        Transacted::Committed { revisions } => {
            driver.own_row.set(revisions.get(&key).copied());
            left.iter().for_each(|process| driver.hub.record_stored_leave(*process));
            Ok(None)
        }
        Transacted::Conflicted { conflicts } => {
            let own = conflicts.into_iter().find(|conflict| conflict.key == key);
            own.map(Some).ok_or_else(|| {
                let why = format!("transaction on {key} conflicts without naming the row");
                error_stack::Report::new(sycamore_platform::Error::Malformed(why))
            })
        }
    }
}

/// Reads one page of members' rows from a random position, so that partitions of the fleet that
/// have lost contact find each other again.
async fn refresh(driver: &Driver, platform: &Platform) -> Result<()> {
    let after = random_member(driver).map_or_else(String::new, |instance| member_key(&instance));
    let page = read_page(platform, &after, REFRESH_ROWS).await?;
    delete_dead_row(driver, platform, &page).await?;
    driver.input(Input::Rows(decode_members(driver, &page.rows)));
    Ok(())
}

/// Deletes the first row on `page` whose member has been dead for [`DEAD_ROW_RETENTION`].
async fn delete_dead_row(driver: &Driver, platform: &Platform, page: &Page) -> Result<()> {
    let Some(row) = page.rows.iter().find(|row| is_long_dead(driver, row)) else { return Ok(()) };
    let transaction = Transaction {
        conditions: vec![Condition { key: row.key.clone(), revision: row.revision }],
        writes: vec![Write { key: row.key.clone(), value: None }],
    };
    platform.http().transact(&transaction).await.map(|_| ())
}

fn is_long_dead(driver: &Driver, row: &Row) -> bool {
    let Some(member) = decode_member(row) else { return false };
    let now = driver.hub.clock.now();
    driver.with_state(|machine| {
        let known = machine.table().member(&member.instance);
        let is_known = known.is_some_and(|known| known.incarnation >= member.incarnation);
        let dead_for = machine.table().dead_for(&member.instance, now);
        is_known && dead_for.is_some_and(|time| time >= DEAD_ROW_RETENTION)
    })
}

async fn read_page(platform: &Platform, after: &str, limit: usize) -> Result<Page> {
    platform.http().list(PageQuery { prefix: MEMBER_PREFIX, after, limit }).await
}

fn random_member(driver: &Driver) -> Option<InstanceId> {
    let members = driver.hub.members.borrow();
    let len = members.members.len();
    let index = (len > 0).then(|| rand::rng().random_range(0..len))?;
    members.members.keys().nth(index).cloned()
}

/// Returns the time until this node's next refresh: its part of the fleet's budget, with jitter.
fn refresh_interval(driver: &Driver) -> Duration {
    let nodes = driver.hub.members.borrow().members.len() as f64;
    let interval = Duration::from_secs_f64(nodes / FLEET_REFRESHES_PER_S).max(MIN_REFRESH_INTERVAL);
    interval / 2 + random_up_to(interval)
}

fn random_up_to(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random::<f64>())
}
