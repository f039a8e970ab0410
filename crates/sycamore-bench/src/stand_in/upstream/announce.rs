//! The upstream's words to its node.

use super::Options;
use crate::http::Client;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two announcements.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time between two tries while the node can't be reached.
const RETRY: Duration = Duration::from_millis(100);

/// Time that the node has to answer.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Announces the upstream to `node` until the future is dropped; `first` is called once, when the
/// node has heard it.
pub async fn announce(options: &Options, node: SocketAddr, first: impl FnOnce()) {
    let client = Client::default();
    let mut first = Some(first);
    loop {
        let heard = post(&client, node, "/shift/announce", body(options)).await;
        if let (true, Some(first)) = (heard, first.take_if(|_| heard)) {
            first();
        }
        monoio::time::sleep(if heard { INTERVAL } else { RETRY }).await;
    }
}

/// Tells `node` that its upstream leaves.
pub async fn drain(node: SocketAddr) {
    post(&Client::default(), node, "/shift/drain", Bytes::new()).await;
}

fn body(options: &Options) -> Bytes {
    let announcement = json!({
        "version": options.version,
        "address": options.announced.unwrap_or(options.listen),
        "slots": options.slots,
        "connections": options.connections,
        "cold_ms": u64::try_from(options.cold.as_millis()).unwrap_or(u64::MAX),
    });
    Bytes::from(announcement.to_string())
}

async fn post(client: &Client, node: SocketAddr, path: &str, body: Bytes) -> bool {
    let req = Request::post(path).header(http::header::HOST, node.to_string());
    let Ok(req) = req.body(Full::new(body)) else { return false };
    match monoio::time::timeout(TIMEOUT, client.send(node, req)).await {
        Ok(Ok(exchange)) => exchange.status.is_success(),
        Ok(Err(_)) | Err(_) => false,
    }
}
