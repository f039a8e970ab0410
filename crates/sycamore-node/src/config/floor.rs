//! Asks peers for the version floor while the head row can't be read.

use super::driver::Driver;
use crate::tasks::TaskGroup;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time given to the head row before peers are asked.
const HEAD_ROW_TIME: Duration = Duration::from_secs(1);
/// Time between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the task, which ends once the floor is known.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup) {
    tasks.spawn_until_stop(ask(driver.clone()));
}

async fn ask(driver: Rc<Driver>) {
    monoio::time::sleep(HEAD_ROW_TIME).await;
    let mut asked: BTreeMap<DataCentre, usize> = BTreeMap::new();
    while driver.floor().is_none() {
        if let Some(peer) = choose(&driver, &asked) {
            *asked.entry(peer.data_centre.clone()).or_default() += 1;
            let limit = driver.hub.settings.config.fetch_timeout;
            let head = driver.peers.calls().head(peer.endpoints.peer);
            if let Ok(Ok(Some(head))) = monoio::time::timeout(limit, head).await {
                driver.told(&peer, head);
            }
        }
        monoio::time::sleep(ASK_INTERVAL).await;
    }
}

/// A random serving peer, which has a floor itself, of the data centre asked least.
fn choose(driver: &Driver, asked: &BTreeMap<DataCentre, usize>) -> Option<Member> {
    let view = driver.hub.members.borrow().clone();
    let own = &driver.hub.settings.node.instance;
    let serving = view
        .members
        .values()
        .filter(|member| member.state == MemberState::Serving && member.instance != *own);
    let times = |member: &Member| asked.get(&member.data_centre).copied().unwrap_or_default();
    let least = serving.clone().map(times).min()?;
    let fewest: Vec<&Member> = serving.filter(|member| times(member) == least).collect();
    fewest.choose(&mut rand::rng()).map(|member| (*member).clone())
}
