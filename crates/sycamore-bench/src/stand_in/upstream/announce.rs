//! Announcements and drain notices that an upstream sends to its node.

use super::Options;
use crate::http::Client;
use crate::witness::now_us;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two attempts while the node does not accept an announcement.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the node's answer.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Announces the upstream to `node` periodically until the future is dropped; calls `first` once, when
/// the node has accepted the first announcement.
pub async fn announce(options: &Options, node: SocketAddr, first: impl FnOnce()) {
    let client = Client::default();
    let mut first = Some(first);
    loop {
        let accepted = post(&client, node, "/shift/announce", announcement(options)).await;
        if let (true, Some(first)) = (accepted, first.take_if(|_| accepted)) {
            first();
        }
        monoio::time::sleep(if accepted { ANNOUNCE_INTERVAL } else { RETRY_INTERVAL }).await;
    }
}

/// Notifies `node` once that its upstream begins to drain. Returns whether the node acknowledged it.
pub async fn drain(options: &Options, node: SocketAddr) -> bool {
    let body = json!({ "process": process(options), "started_ms": started_ms() });
    post(&Client::default(), node, "/shift/drain", Bytes::from(body.to_string())).await
}

/// Returns the name of this process, which no other one has.
fn process(options: &Options) -> String {
    format!("{}-{}", options.instance, std::process::id())
}

/// Returns the time of the first call, in milliseconds since the Unix epoch.
fn started_ms() -> u64 {
    static STARTED_US: OnceLock<u64> = OnceLock::new();
    *STARTED_US.get_or_init(now_us) / 1_000
}

fn announcement(options: &Options) -> Bytes {
    let announcement = json!({
        "process": process(options),
        "started_ms": started_ms(),
        "version": options.version,
        "address": options.announced.unwrap_or(options.listen),
        "slots": options.slots,
        "connections": options.connections,
        "cold_ms": u64::try_from(options.cold.as_millis()).unwrap_or(u64::MAX),
    });
    Bytes::from(announcement.to_string())
}

/// Sends a POST request and returns whether it was answered with a success status.
async fn post(client: &Client, node: SocketAddr, path: &str, body: Bytes) -> bool {
    let req = Request::post(path).header(http::header::HOST, node.to_string());
    let Ok(req) = req.body(Full::new(body)) else { return false };
    match monoio::time::timeout(TIMEOUT, client.send(node, req)).await {
        Ok(Ok(exchange)) => exchange.status.is_success(),
        Ok(Err(_)) | Err(_) => false,
    }
}
