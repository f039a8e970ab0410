//! Fetches configuration objects from peers and from the platform's object store.

use super::driver::{millis, Driver, Fetch};
use crate::tasks::TaskGroup;
use bytes::Bytes;
use rand::seq::IndexedRandom;
use slog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use sycamore_config::manifest::object_key;
use sycamore_config::{Apply, Delta, FetchAnswer, Input, Source};
use sycamore_peer::{Error, FetchRequest, Fetched};
use sycamore_platform::Objects;
use sycamore_types::prelude::*;
use tokio::sync::mpsc;

/// Number of configuration fetches that run concurrently.
const WORKERS: usize = 4;
/// Share of random fetches, in percent, that may go to a peer in any data centre; the others stay
/// in this node's own.
const ANY_DATA_CENTRE_PERCENT: u32 = 20;

type Queue = Rc<tokio::sync::Mutex<mpsc::Receiver<Fetch>>>;

/// Spawns the fetch workers and the task that ticks the state machine.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup, fetches: mpsc::Receiver<Fetch>) {
    let queue = Rc::new(tokio::sync::Mutex::new(fetches));
    for _ in 0..WORKERS {
        tasks.spawn_until_stop(run_worker(driver.clone(), queue.clone()));
    }
    tasks.spawn_until_stop(tick(driver.clone()));
}

async fn run_worker(driver: Rc<Driver>, queue: Queue) {
    loop {
        let next = queue.lock().await.recv().await;
        let Some(fetch) = next else { return };
        let head = fetch.head;
        let answer = fetch_objects(&driver, fetch).await;
        driver.input(Input::Fetched { head, answer });
    }
}

/// Result of a fetch, with its name for the log.
struct Finished {
    answer: FetchAnswer,
    result: String,
}

impl Finished {
    fn new(answer: FetchAnswer, result: impl Into<String>) -> Self {
        Self { answer, result: result.into() }
    }
}

async fn fetch_objects(driver: &Driver, fetch: Fetch) -> FetchAnswer {
    let started = driver.hub.clock.now();
    // Without a known peer the object store is the only source.
    let peer = choose_peer(driver, fetch.head).filter(|_| fetch.source == Source::Peer);
    let finished = monoio::select! {
        finished = fetch_from(driver, &fetch, peer) => finished,
        () = wait_until_superseded(driver, fetch.head) => {
            Finished::new(FetchAnswer::Failed, "superseded")
        }
    };
    info!(driver.hub.log, "configuration fetch finished"; "version" => fetch.head.version.0,
        "from" => peer.map_or(Source::Store, |_| Source::Peer).as_str(),
        "source" => peer.map(|peer| peer.to_string()).unwrap_or_default(),
        "wanted" => fetch.hashes.len(), "result" => finished.result,
        "limit_ms" => peer.map(|_| millis(fetch.limit.silence).to_string()).unwrap_or_default(),
        "took_ms" => millis(driver.hub.clock.now().since(started)));
    finished.answer
}

async fn fetch_from(driver: &Driver, fetch: &Fetch, peer: Option<SocketAddr>) -> Finished {
    match peer {
        Some(to) => fetch_from_peer(driver, fetch, to).await,
        None => fetch_from_store(driver, fetch.head).await,
    }
}

/// Waits until the configuration of `head` is no longer being fetched, for example because a newer
/// one is in force.
async fn wait_until_superseded(driver: &Driver, head: ConfigHead) {
    loop {
        let changed = driver.candidates_changed.notified();
        if !driver.with_state(|apply| apply.is_fetching(&head.manifest)) {
            return;
        }
        changed.await;
    }
}

async fn fetch_from_peer(driver: &Driver, fetch: &Fetch, to: SocketAddr) -> Finished {
    let base = Some(driver.with_state(Apply::delta_base));
    let req = FetchRequest { hashes: fetch.hashes.clone(), base };
    let fetched = driver.peers.calls().fetch(to, &req, &fetch.limit).await;
    let (answer, result) = match fetched {
        Ok(Fetched::Delta(encoded)) => match Delta::decode(&encoded) {
            Some(delta) => {
                driver.metrics.count_peer_fetch();
                let result = format!("delta:{}", encoded.len());
                return Finished::new(FetchAnswer::Delta(delta), result);
            }
            None => (FetchAnswer::Failed, "malformed delta".to_owned()),
        },
        Ok(Fetched::Objects(objects)) if !objects.is_empty() => {
            driver.metrics.count_peer_fetch();
            let bodies: Vec<Bytes> = objects.into_iter().map(|(_, body)| body).collect();
            let result = format!("objects:{}", bodies.len());
            return Finished::new(FetchAnswer::Objects(bodies), result);
        }
        Ok(Fetched::Objects(_)) => (FetchAnswer::Failed, "none".to_owned()),
        Err(report) => match report.current_context() {
            Error::Timeout => (FetchAnswer::TimedOut, "timeout".to_owned()),
            error => (FetchAnswer::Failed, error.to_string()),
        },
    };
    driver.record_peer_miss(fetch.head);
    driver.metrics.count_peer_miss();
    Finished::new(answer, result)
}

async fn fetch_from_store(driver: &Driver, head: ConfigHead) -> Finished {
    match driver.platform.http().fetch(&object_key(head.manifest)).await {
        Ok(Some(pack)) => {
            driver.metrics.count_store_fetch();
            Finished::new(FetchAnswer::Pack(pack), "pack")
        }
        Ok(None) => Finished::new(FetchAnswer::Absent, "absent"),
        Err(report) => Finished::new(FetchAnswer::Failed, report.current_context().to_string()),
    }
}

/// Chooses the peer that offered `head`, or else the one from which it was learnt, as that holds a
/// fetch until it has the objects itself. After a miss there, chooses a random peer, mostly in this
/// node's data centre.
fn choose_peer(driver: &Driver, head: ConfigHead) -> Option<SocketAddr> {
    let offered = driver.offered_by.get().filter(|(offered, _)| *offered == head);
    let source = offered.map(|(_, by)| by).or_else(|| driver.hub.facts.head_source(&head));
    source.filter(|_| !driver.has_peer_miss(head)).or_else(|| random_peer(driver))
}

/// Chooses a random other node, mostly in this node's data centre.
pub(super) fn random_peer(driver: &Driver) -> Option<SocketAddr> {
    let view = driver.hub.members.borrow().clone();
    let own = &driver.hub.settings.node;
    let others: Vec<&Member> =
        view.members.values().filter(|member| member.instance != own.instance).collect();
    let local: Vec<&Member> =
        others.iter().filter(|member| member.data_centre == own.data_centre).copied().collect();
    let any = local.is_empty() || rand::random_ratio(ANY_DATA_CENTRE_PERCENT, 100);
    let candidates = if any { &others } else { &local };
    candidates.choose(&mut rand::rng()).map(|member| member.endpoints.peer)
}

/// Ticks the state machine whenever one of its delayed fetches is due.
async fn tick(driver: Rc<Driver>) {
    loop {
        let now = driver.hub.clock.now();
        match driver.with_state(|apply| apply.next_tick()) {
            Some(due) if due <= now => driver.input(Input::Tick),
            Some(due) => {
                let changed = driver.state_changed.notified();
                let _ = monoio::time::timeout(due.since(now), changed).await;
            }
            None => driver.state_changed.notified().await,
        }
    }
}
