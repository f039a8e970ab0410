//! Connections to nodes and upstreams that stop transferring data without being closed.

use super::world::{get, run, wait_until, Cluster, Options};
use http::StatusCode;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use sycamore_settings::calls::Calls;

/// Timer code of a connection with TCP keepalive in `/proc/net/tcp`.
const KEEPALIVE_TIMER: &str = "02";
/// Longest life of the connection by which a node asks whether it is in a member's view. It isn't
/// pooled; pooled ones live longer.
const QUERY_TIME: Duration = Duration::from_secs(1);
/// Timeout of calls to an upstream that stops answering.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the timer codes in `/proc/net/tcp` of the established connections to `address`.
fn timers(address: SocketAddr) -> Vec<String> {
    let SocketAddr::V4(address) = address else { unreachable!("the tests use IPv4") };
    let ip = u32::from_le_bytes(Ipv4Addr::octets(address.ip()));
    let remote = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    // Columns: number, local address, remote address, state (01: established), queues, timer.
    let ours = rows.filter(|row| row.get(2) == Some(&&*remote) && row.get(3) == Some(&"01"));
    ours.map(|row| row[5].split(':').next().unwrap().to_owned()).collect()
}

/// A pooled connection without TCP keepalive would stay in the pool after its network path broke.
#[test]
fn idle_connections_to_upstreams_and_nodes_have_keepalive() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        for _ in 0..10 {
            assert_eq!(cluster.call(get("/counter/echo"), "").await.status(), StatusCode::OK);
        }
        for node in &cluster.nodes {
            for address in [node.upstream.address(), node.member.endpoints.relay] {
                assert!(!timers(address).is_empty(), "no idle connection to {address} is pooled");
                let all = || timers(address).iter().all(|timer| timer == KEEPALIVE_TIMER);
                let waited = monoio::time::timeout(QUERY_TIME, wait_until(all)).await;
                assert!(
                    waited.is_ok(),
                    "timers of connections to {address}: {:?}",
                    timers(address)
                );
                assert!(!timers(address).is_empty(), "the pooled connection to {address} is gone");
            }
        }
        cluster.stop().await;
    });
}

/// Several pooled connections stop answering at once: if only the one in use were dropped, each of
/// the next calls would run into its deadline on another.
#[test]
fn one_call_without_an_answer_closes_pooled_connections_of_the_same_age() {
    run(async {
        let cluster = start_with_silent_connections().await;
        let late = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(late.status(), StatusCode::GATEWAY_TIMEOUT);
        let next = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(next.status(), StatusCode::OK, "{next:?}");
        cluster.stop().await;
    });
}

/// The caller's node reaches the deadline before the one beside the upstream and closes its
/// connection: taken for a caller that left early, the silent connections would stay pooled.
#[test]
fn a_call_given_up_just_before_its_deadline_closes_pooled_connections_of_the_same_age() {
    run(async {
        let cluster = start_with_silent_connections().await;
        let given_up = cluster.call(get("/counter/echo"), "");
        let left_early =
            monoio::time::timeout(TIMEOUT - Duration::from_millis(150), given_up).await;
        assert!(left_early.is_err(), "{left_early:?}");
        cluster.nodes[0].hub.wait_until_idle().await;
        let next = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(next.status(), StatusCode::OK, "{next:?}");
        cluster.stop().await;
    });
}

/// Starts a node with four pooled connections to its upstream that answer nothing more.
async fn start_with_silent_connections() -> Cluster {
    let options = Options { nodes: 1, timeout: TIMEOUT, ..Options::default() };
    let cluster = Cluster::start(&options).await;
    let upstream = &cluster.nodes[0].upstream;
    let together = (0..4).map(|_| cluster.call(get("/counter/wait"), ""));
    let release = async {
        wait_until(|| upstream.most_running() == 4).await;
        upstream.release();
    };
    futures::join!(futures::future::join_all(together), release);
    upstream.mute();
    cluster
}

/// An upstream that announces itself every 2.5 s must not be lost when one announcement doesn't
/// arrive and the next one is late; it must be lost after that.
#[test]
fn an_upstream_is_lost_by_the_interval_of_its_announcements() {
    run(async {
        let calls = Calls {
            announce_interval: Some(Duration::from_millis(2_500)),
            key_memory: Duration::ZERO,
            ..Calls::default()
        };
        let cluster = Cluster::start(&Options { nodes: 1, calls, ..Options::default() }).await;
        monoio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(cluster.call(get("/counter/echo"), "").await.status(), StatusCode::OK);
        wait_until(|| cluster.nodes[0].hub.upstream.borrow().is_none()).await;
        cluster.stop().await;
    });
}

/// A request on a connection that the upstream is about to close, by its own word, may be lost; one that
/// must not run twice then ends with an unknown outcome.
#[test]
fn a_connection_is_not_used_up_to_the_idle_timeout_that_the_upstream_names() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let upstream = &cluster.nodes[0].upstream;
        let call_after = async |pause: u64| {
            monoio::time::sleep(Duration::from_millis(pause)).await;
            assert_eq!(cluster.call(get("/counter/echo"), "").await.status(), StatusCode::OK);
            upstream.opened()
        };
        upstream.set_fields("keep-alive: timeout=1, max=9\r\n");
        assert_eq!(call_after(0).await, 1);
        assert_eq!(call_after(300).await, 1, "reused well before the timeout");
        assert_eq!(call_after(900).await, 2, "not reused just before the timeout");
        upstream.set_fields("");
        assert_eq!(call_after(0).await, 2);
        assert_eq!(call_after(900).await, 2, "reused without a stated timeout");
        cluster.stop().await;
    });
}
