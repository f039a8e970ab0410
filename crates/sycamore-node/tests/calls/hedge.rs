//! Second attempts for calls to an upstream that has stopped answering.

use super::world::{get, post, run, settle, Cluster, Options};
use futures::future::join_all;
use http::StatusCode;
use std::time::{Duration, Instant};
use sycamore_settings::hedge::Hedge;
use sycamore_types::prelude::*;

fn options() -> Options {
    let extra = Share::from_basis_points(2_000);
    let hedge = Hedge { extra, ..Hedge::default() };
    Options { nodes: 3, slots: 32, timeout: Duration::from_secs(3), hedge, ..Options::default() }
}

/// Sends `count` calls one after the other; returns the time of each.
async fn send_calls(cluster: &Cluster, count: usize) -> Vec<Duration> {
    let mut times = Vec::new();
    for _ in 0..count {
        let began = Instant::now();
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::OK);
        times.push(began.elapsed());
    }
    times
}

/// Guards against calls that wait for a frozen upstream until their deadline while others are idle.
#[test]
fn calls_to_a_frozen_upstream_are_answered_by_another_one() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        settle().await;
        send_calls(&cluster, 200).await;
        cluster.nodes[1].upstream.mute();
        let slowest = send_calls(&cluster, 60).await.into_iter().max().unwrap();
        assert!(slowest < Duration::from_millis(1_500), "the slowest call took {slowest:?} of 3 s");
        cluster.stop().await;
    });
}

/// Guards against a call that may run once at most and is sent twice since it is slow.
#[test]
fn a_call_that_may_run_once_gets_no_second_attempt() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        settle().await;
        send_calls(&cluster, 200).await;
        let slow = (0..8).map(|_| cluster.call(post("/counter/wait"), "x"));
        let release = async {
            monoio::time::sleep(Duration::from_millis(300)).await;
            cluster.nodes.iter().for_each(|node| node.upstream.release());
        };
        let (answers, ()) = futures::join!(join_all(slow), release);
        assert!(answers.iter().all(|resp| resp.status() == StatusCode::OK));
        assert_eq!(cluster.runs("wait"), 8);
        cluster.stop().await;
    });
}
