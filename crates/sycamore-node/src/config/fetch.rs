//! Fetches objects of configurations from peers and from the object store.

use super::driver::{Driver, Fetch};
use crate::tasks::TaskGroup;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_config::manifest::object_key;
use sycamore_config::{FetchAnswer, Input, Source};
use sycamore_platform::Objects;
use sycamore_types::prelude::*;
use tokio::sync::mpsc;

/// Fetches under way at once.
const WORKERS: usize = 4;
/// Part of the fetches that go to any data centre rather than the own one.
const FAR_PERCENT: u32 = 50;

type Queue = Rc<tokio::sync::Mutex<mpsc::Receiver<Fetch>>>;

/// Starts the workers.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup, fetches: mpsc::Receiver<Fetch>) {
    let queue = Rc::new(tokio::sync::Mutex::new(fetches));
    for _ in 0..WORKERS {
        tasks.spawn_until_stop(work(driver.clone(), queue.clone()));
    }
    tasks.spawn_until_stop(tick(driver.clone()));
}

async fn work(driver: Rc<Driver>, queue: Queue) {
    loop {
        let next = queue.lock().await.recv().await;
        let Some(fetch) = next else { return };
        let head = fetch.head;
        let answer = run(&driver, fetch).await;
        driver.input(Input::Fetched { head, answer });
    }
}

async fn run(driver: &Driver, fetch: Fetch) -> FetchAnswer {
    match (fetch.source, choose_peer(driver, fetch.head)) {
        (Source::Peer, Some(to)) => from_peer(driver, fetch.head, to, &fetch.hashes).await,
        // A node that knows no peer has nobody else to ask.
        (Source::Peer, None) | (Source::Store, _) => from_store(driver, fetch.head).await,
    }
}

async fn from_peer(
    driver: &Driver,
    head: ConfigHead,
    to: SocketAddr,
    hashes: &[ContentHash],
) -> FetchAnswer {
    let limit: Duration = driver.hub.settings.config.fetch_timeout;
    let fetched = monoio::time::timeout(limit, driver.peers.calls().fetch(to, hashes)).await;
    match fetched {
        Ok(Ok(objects)) if !objects.is_empty() => {
            driver.metrics.fetched_from_peer();
            FetchAnswer::Objects(objects.into_iter().map(|(_, body)| body).collect())
        }
        _ => {
            driver.note_miss(head);
            driver.metrics.missed_at_peer();
            FetchAnswer::Failed
        }
    }
}

async fn from_store(driver: &Driver, head: ConfigHead) -> FetchAnswer {
    match driver.platform.http().fetch(&object_key(head.manifest)).await {
        Ok(Some(pack)) => {
            driver.metrics.fetched_from_store();
            FetchAnswer::Pack(pack)
        }
        Ok(None) => FetchAnswer::Absent,
        Err(_) => FetchAnswer::Failed,
    }
}

/// The peer that told of the head, which holds a fetch until it has the objects itself; after a
/// miss there, a random peer, half of the time one in the own data centre.
fn choose_peer(driver: &Driver, head: ConfigHead) -> Option<SocketAddr> {
    let teller = driver.hub.facts.head_source(&head);
    teller.filter(|_| !driver.missed(head)).or_else(|| random_peer(driver))
}

fn random_peer(driver: &Driver) -> Option<SocketAddr> {
    let view = driver.hub.members.borrow().clone();
    let own = &driver.hub.settings.node;
    let others: Vec<&Member> =
        view.members.values().filter(|member| member.instance != own.instance).collect();
    let near: Vec<&Member> =
        others.iter().filter(|member| member.data_centre == own.data_centre).copied().collect();
    let far = near.is_empty() || rand::random_ratio(FAR_PERCENT, 100);
    let among = if far { &others } else { &near };
    among.choose(&mut rand::rng()).map(|member| member.endpoints.peer)
}

/// Ticks the machine when it has something to try again.
async fn tick(driver: Rc<Driver>) {
    loop {
        let now = driver.hub.clock.now();
        match driver.read(|apply| apply.next_tick()) {
            Some(due) if due <= now => driver.input(Input::Tick),
            Some(due) => {
                let changed = driver.changed.notified();
                let _ = monoio::time::timeout(due.since(now), changed).await;
            }
            None => driver.changed.notified().await,
        }
    }
}
