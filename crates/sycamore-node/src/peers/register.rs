//! The platform's table as meeting point: one registration per process, pages of contacts, and the
//! clearing of rows of the dead.

use super::driver::Driver;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use sycamore_member::Input;
use sycamore_platform::backoff::{Backoff, BackoffSettings};
use sycamore_platform::{
    Condition, Page, PageQuery, Result, Revision, Row, Table, Transacted, Transaction, Write,
};
use sycamore_types::prelude::*;

/// Prefix of members' rows.
const MEMBER_PREFIX: &str = "member/";
/// Rows read at the start: contacts, of which one that answers is enough.
const CONTACT_ROWS: usize = 16;
/// Rows read at each later refresh.
const REFRESH_ROWS: usize = 64;
/// Reads of members' rows per second that the whole fleet spends on refreshes.
const FLEET_REFRESHES_PER_S: f64 = 2.0;
/// Least time between two refreshes of one node.
const MIN_REFRESH: Duration = Duration::from_secs(15);
/// Longest random delay before the first read, so that a herd doesn't arrive at once.
const START_JITTER: Duration = Duration::from_millis(300);
/// Rows of members dead for this long are deleted.
const CLEAR_AFTER: Duration = Duration::from_secs(600);

/// Starts registration and refreshes.
pub(super) fn start(driver: &Rc<Driver>, platform: &Rc<Platform>, tasks: &TaskGroup) {
    let (driver, platform) = (driver.clone(), platform.clone());
    tasks.spawn_until_stop(async move {
        monoio::time::sleep(random_up_to(START_JITTER)).await;
        until_done(|| contact(&driver, &platform)).await;
        until_done(|| register(&driver, &platform)).await;
        // Of two nodes that start at once, the later to read here finds the other's row.
        until_done(|| contact(&driver, &platform)).await;
        loop {
            monoio::time::sleep(refresh_interval(&driver)).await;
            // A refresh that fails is made up for by the next one.
            let _ = refresh(&driver, &platform).await;
        }
    });
}

/// The key of an instance's row.
pub(super) fn member_key(instance: &InstanceId) -> String {
    format!("{MEMBER_PREFIX}{instance}")
}

/// The member in `row`; `None` where it is not one.
pub(super) fn row_member(row: &Row) -> Option<Member> {
    let member: Member = serde_json::from_value(row.value.clone()).ok()?;
    (member_key(&member.instance) == row.key).then_some(member)
}

/// Tries `step` with full-jitter backoff until it says that it is done.
async fn until_done<F>(step: impl Fn() -> F)
where
    F: std::future::Future<Output = Result<bool>>,
{
    let mut backoff = Backoff::new(BackoffSettings::default(), rand::random());
    while !matches!(step().await, Ok(true)) {
        monoio::time::sleep(backoff.fail()).await;
    }
}

/// Reads contacts: the rows that follow this node's own, from the start where there are too few.
/// Nodes thereby start at different places.
async fn contact(driver: &Driver, platform: &Platform) -> Result<bool> {
    let own = member_key(&driver.hub.settings.node.instance);
    let mut rows = page(platform, &own, CONTACT_ROWS).await?.rows;
    if rows.len() < CONTACT_ROWS {
        rows.extend(page(platform, "", CONTACT_ROWS).await?.rows);
    }
    driver.input(Input::Rows(rows.iter().filter_map(row_member).collect()));
    Ok(true)
}

/// Writes this node's row. A lost answer is settled by the next try, which reads first.
async fn register(driver: &Driver, platform: &Platform) -> Result<bool> {
    let me = driver.me();
    let key = member_key(&me.instance);
    let row = platform.http().get(&key).await?;
    let held = row.as_ref().and_then(row_member);
    if held.as_ref().is_some_and(|held| held.incarnation >= driver.hub.incarnation) {
        // Written by this process, or by a later one, which this one's refutation outbids.
        driver.input(Input::Rows(held.into_iter().collect()));
        return Ok(true);
    }
    let revision = row.map_or(Revision::ABSENT, |row| row.revision);
    // The row says where this process is; what it does is told by its peers.
    let record = Member { incarnation: driver.hub.incarnation, state: MemberState::Joining, ..me };
    let value = serde_json::to_value(record).ok();
    let transaction = Transaction {
        conditions: vec![Condition { key: key.clone(), revision }],
        writes: vec![Write { key, value }],
    };
    let transacted = platform.http().transact(&transaction).await?;
    Ok(matches!(transacted, Transacted::Committed { .. }))
}

/// Reads a page of rows, so that groups of nodes that lost sight of each other meet again.
async fn refresh(driver: &Driver, platform: &Platform) -> Result<()> {
    let after = random_member(driver).map_or_else(String::new, |instance| member_key(&instance));
    let page = page(platform, &after, REFRESH_ROWS).await?;
    clear_dead(driver, platform, &page).await?;
    driver.input(Input::Rows(page.rows.iter().filter_map(row_member).collect()));
    Ok(())
}

/// Deletes one row whose member has been dead for long, if there is one on `page`.
async fn clear_dead(driver: &Driver, platform: &Platform, page: &Page) -> Result<()> {
    let Some(row) = page.rows.iter().find(|row| is_long_dead(driver, row)) else { return Ok(()) };
    let transaction = Transaction {
        conditions: vec![Condition { key: row.key.clone(), revision: row.revision }],
        writes: vec![Write { key: row.key.clone(), value: None }],
    };
    platform.http().transact(&transaction).await.map(|_| ())
}

fn is_long_dead(driver: &Driver, row: &Row) -> bool {
    let Some(member) = row_member(row) else { return false };
    let now = driver.hub.clock.now();
    driver.read(|machine| {
        let known = machine.table().member(&member.instance);
        let no_later = known.is_some_and(|known| known.incarnation >= member.incarnation);
        let dead_for = machine.table().dead_for(&member.instance, now);
        no_later && dead_for.is_some_and(|time| time >= CLEAR_AFTER)
    })
}

async fn page(platform: &Platform, after: &str, limit: usize) -> Result<Page> {
    platform.http().list(PageQuery { prefix: MEMBER_PREFIX, after, limit }).await
}

fn random_member(driver: &Driver) -> Option<InstanceId> {
    let members = driver.hub.members.borrow();
    let len = members.members.len();
    let place = (len > 0).then(|| rand::rng().random_range(0..len))?;
    members.members.keys().nth(place).cloned()
}

/// The fleet's budget of refreshes, divided among the members, with jitter.
fn refresh_interval(driver: &Driver) -> Duration {
    let nodes = driver.hub.members.borrow().members.len() as f64;
    let interval = Duration::from_secs_f64(nodes / FLEET_REFRESHES_PER_S).max(MIN_REFRESH);
    interval / 2 + random_up_to(interval)
}

fn random_up_to(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random::<f64>())
}
