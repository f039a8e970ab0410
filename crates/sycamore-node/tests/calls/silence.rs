//! Connections to nodes and upstreams are probed, so that one that has gone silent is noticed.

use super::world::{get, run, until, Options, World};
use http::StatusCode;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The timer of a connection that is probed when it is idle, in the kernel's table.
const PROBED: &str = "02";

/// The timers of this machine's connections to `address`, as the kernel's table gives them.
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

#[test]
fn idle_connections_to_upstreams_and_nodes_are_probed() {
    run(async {
        let world = World::start(&Options::default()).await;
        for _ in 0..10 {
            assert_eq!(world.call(get("/counter/echo"), "").await.status(), StatusCode::OK);
        }
        for node in &world.nodes {
            for address in [node.upstream.address(), node.member.endpoints.relay] {
                let timers = timers(address);
                assert!(!timers.is_empty(), "no connection to {address} is kept");
                assert!(timers.iter().all(|timer| timer == PROBED), "{address}: {timers:?}");
            }
        }
        world.stop().await;
    });
}

#[test]
fn one_call_without_an_answer_closes_the_connections_that_are_as_old() {
    run(async {
        let timeout = Duration::from_millis(400);
        let world = World::start(&Options { nodes: 1, timeout, ..Options::default() }).await;
        let upstream = &world.nodes[0].upstream;
        let together = (0..4).map(|_| world.call(get("/counter/wait"), ""));
        let release = async {
            until(|| upstream.most_running() == 4).await;
            upstream.release();
        };
        futures::join!(futures::future::join_all(together), release);
        upstream.mute();
        let late = world.call(get("/counter/echo"), "").await;
        assert_eq!(late.status(), StatusCode::GATEWAY_TIMEOUT);
        let next = world.call(get("/counter/echo"), "").await;
        assert_eq!(next.status(), StatusCode::OK, "{next:?}");
        world.stop().await;
    });
}
