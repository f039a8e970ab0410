//! The `baseline` policy of `measure converge`: every emulated node polls the whole configuration
//! from the platform, without a cache.

use super::report::Report;
use super::{change, Options};
use crate::fleet::{Deployment, Fleet, Options as FleetOptions};
use crate::http::Client;
use crate::{BenchError, Result};
use bytes::Bytes;
use error_stack::ResultExt;
use futures::future::{join_all, select, Either};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Mean time between two polls of one node; each poll draws 50% to 150% of it.
const INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait until every node has polled a change.
const LIMIT: Duration = Duration::from_secs(20);
/// Size of a request's and its answer's HTTP head together, without the path, as the bench's client
/// and the platform's stand-in send them.
const HEAD_BYTES: usize = 180;
/// Key of the row that names the current configuration.
const HEAD: &str = "config/head";

/// Emulated nodes that poll the platform, with the times and traffic measured so far.
struct Pollers {
    platform: SocketAddr,
    /// Configuration version that each node polled last, by the node's index.
    versions: RefCell<Vec<u64>>,
    /// Times from a change to a node's first poll that returns it, in milliseconds.
    times: RefCell<Vec<f64>>,
    /// Version of the latest change, and when it was made.
    changed: Cell<Option<(u64, Instant)>>,
    /// Number of bytes sent and received by all nodes.
    bytes: Cell<usize>,
    /// Number of requests sent by all nodes.
    reads: Cell<u64>,
}

/// Runs the changes of `options` against the platform's stand-in and `options.nodes` polling nodes.
pub(super) async fn run(options: &Options) -> Result<Report> {
    let deployment = Deployment::scaled(options.nodes);
    let fleet = Fleet::prepare(FleetOptions { deployment, ..FleetOptions::default() }).await?;
    let pollers = Pollers {
        platform: fleet.platform_addr(),
        versions: RefCell::new(vec![0; options.nodes]),
        times: RefCell::default(),
        changed: Cell::new(None),
        bytes: Cell::new(0),
        reads: Cell::new(0),
    };
    let all = join_all((0..options.nodes).map(|node| pollers.poll(node, options.seed)));
    let report = match select(pin!(measure(options, &fleet, &pollers)), pin!(all)).await {
        Either::Left((report, _)) => report?,
        Either::Right(_) => Report::new(options, Vec::new()),
    };
    fleet.stop().await;
    Ok(report)
}

async fn measure(options: &Options, fleet: &Fleet, pollers: &Pollers) -> Result<Report> {
    apply_change(fleet, 0).await?;
    monoio::time::sleep(INTERVAL).await;
    let (began, bytes, reads) = (Instant::now(), pollers.bytes.get(), pollers.reads.get());
    monoio::time::sleep(Duration::from_secs(options.idle)).await;
    let idle = (pollers.bytes.get() - bytes) as f64 / began.elapsed().as_secs_f64();
    for number in 1..=options.changes {
        pollers.changed.set(Some((number as u64 + 1, Instant::now())));
        apply_change(fleet, number).await?;
        pollers.wait_for_version(number as u64 + 1).await;
    }
    let seconds = began.elapsed().as_secs_f64();
    let total = (pollers.bytes.get() - bytes) as f64;
    let nodes = options.nodes as f64;
    let mut report = Report::new(options, pollers.times.take());
    report.seconds = seconds;
    report.idle_bytes_per_node_s = idle / nodes;
    let extra = (total - idle * seconds).max(0.0);
    report.bytes_per_change_per_node = extra / (options.changes.max(1) as f64 * nodes);
    report.platform_reads_per_s = (pollers.reads.get() - reads) as f64 / seconds;
    report.platform_writes_per_s = (2 * options.changes) as f64 / seconds;
    report.platform_refused = fleet.platform_stats().await?.refused;
    Ok(report)
}

/// Stores the configuration after `number` changes as an object and writes it into the head row.
async fn apply_change(fleet: &Fleet, number: usize) -> Result<()> {
    let resources = change::resources(&fleet.options().deployment, number);
    let key = format!("config/{number}");
    let body = Value::from(resources).to_string();
    send(fleet.platform_addr(), Method::PUT, &format!("/objects/{key}"), body).await?;
    let transaction = json!({
        "conditions": [{ "key": HEAD, "revision": number }],
        "writes": [{ "key": HEAD, "value": { "version": number + 1, "object": key } }],
    });
    send(fleet.platform_addr(), Method::POST, "/table/transact", transaction.to_string()).await
}

async fn send(addr: SocketAddr, method: Method, path: &str, body: String) -> Result<()> {
    let answer = crate::fleet::operator(addr, method, path, body).await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => {
            Err(BenchError::Http(format!("{path}: status {}, expected 2xx", answer.status)).into())
        }
    }
}

impl Pollers {
    /// Polls as the node with index `node` until the future is dropped.
    async fn poll(&self, node: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ (node as u64) << 32);
        let client = Client::default();
        loop {
            monoio::time::sleep(INTERVAL.mul_f64(rng.random_range(0.5..1.5))).await;
            // A failed poll is ignored: the next one reads the same state.
            if let Ok(version) = self.poll_version(&client).await {
                self.record_version(node, version);
            }
        }
    }

    async fn poll_version(&self, client: &Client) -> Result<u64> {
        let row: Value = self.get(client, &format!("/table/row/{HEAD}")).await?;
        let object = row["value"]["object"].as_str().unwrap_or_default().to_owned();
        let _: Value = self.get(client, &format!("/objects/{object}")).await?;
        Ok(row["value"]["version"].as_u64().unwrap_or_default())
    }

    async fn get(&self, client: &Client, path: &str) -> Result<Value> {
        let failed = || BenchError::Http(path.to_owned());
        let req = Request::builder().uri(path).header(http::header::HOST, "platform");
        let req = req.body(Full::new(Bytes::new())).change_context_lazy(failed)?;
        self.reads.set(self.reads.get() + 1);
        let answer = client.send(self.platform, req).await.map_err(|_| failed())?;
        self.bytes.set(self.bytes.get() + HEAD_BYTES + path.len() + answer.body.len());
        match answer.status {
            StatusCode::OK => answer.json(),
            _ => Err(failed().into()),
        }
    }

    fn record_version(&self, node: usize, version: u64) {
        let before = std::mem::replace(&mut self.versions.borrow_mut()[node], version);
        match self.changed.get() {
            Some((changed, at)) if version >= changed && before < changed => {
                self.times.borrow_mut().push(at.elapsed().as_secs_f64() * 1_000.0);
            }
            _ => {}
        }
    }

    /// Waits until every node has polled `version`; records an infinite time for each node that has
    /// not within [`LIMIT`].
    async fn wait_for_version(&self, version: u64) {
        let end = Instant::now() + LIMIT;
        let count_behind = || self.versions.borrow().iter().filter(|v| **v < version).count();
        while count_behind() > 0 && Instant::now() < end {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        self.times.borrow_mut().extend(std::iter::repeat_n(f64::INFINITY, count_behind()));
    }
}
