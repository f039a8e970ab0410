//! Determines the version floor from peers' heads while the head row can't be read.

use super::driver::Driver;
use crate::tasks::TaskGroup;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time to read the head row before peers are queried.
const HEAD_ROW_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two queries of peers.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Spawns the task that queries peers until the floor is known.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup) {
    tasks.spawn_until_stop(query_peers(driver.clone()));
}

async fn query_peers(driver: Rc<Driver>) {
    monoio::time::sleep(HEAD_ROW_TIMEOUT).await;
    let mut queries: BTreeMap<DataCentre, usize> = BTreeMap::new();
    while driver.floor().is_none() {
        if let Some(peer) = choose_peer(&driver, &queries) {
            *queries.entry(peer.data_centre.clone()).or_default() += 1;
            let limit = driver.hub.settings.config.fetch_timeout;
            let head = driver.peers.calls().head(peer.endpoints.peer);
            if let Ok(Ok(Some(head))) = monoio::time::timeout(limit, head).await {
                driver.handle_peer_head(&peer, head);
            }
        }
        monoio::time::sleep(QUERY_INTERVAL).await;
    }
}

/// Chooses a random serving peer of the data centre queried least; serving peers have a floor
/// themselves.
fn choose_peer(driver: &Driver, queries: &BTreeMap<DataCentre, usize>) -> Option<Member> {
    let view = driver.hub.members.borrow().clone();
    let own = &driver.hub.settings.node.instance;
    let serving = view
        .members
        .values()
        .filter(|member| member.state == MemberState::Serving && member.instance != *own);
    let count = |member: &Member| queries.get(&member.data_centre).copied().unwrap_or_default();
    let least = serving.clone().map(count).min()?;
    let candidates: Vec<&Member> = serving.filter(|member| count(member) == least).collect();
    candidates.choose(&mut rand::rng()).map(|member| (*member).clone())
}
