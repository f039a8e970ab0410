//! Upstreams that send bytes without end, in a head or a body, until the caller closes: the node
//! answers in time, keeps no more of them than its bounds allow, and closes the connection.
//!
//! The tests have a process of their own and run one after the other, as they measure its memory.
#![allow(clippy::unwrap_used, dead_code, reason = "tests; shared with the tests of calls")]

mod busy;
#[path = "../calls/upstream.rs"]
mod upstream;
#[path = "../calls/world.rs"]
mod world;

use http::StatusCode;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use sycamore_http::ClientError;
use sycamore_types::headers;
use world::{field, get, post, run, wait_until, Cluster, Options};

/// Timeout of the route, after which a call has its answer at the latest.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Time over the timeout within which a call must have ended.
const SLACK: Duration = Duration::from_millis(500);
/// Bytes that a node may use for an answer that it doesn't accept.
const MAX_GROWTH: u64 = 8 << 20;

/// Answers that end before a head or in one, so that the caller gets the node's own answer.
const IN_HEAD: [&str; 4] = ["endless-junk", "endless-status", "endless-fields", "endless-interim"];
/// Answers that end after the head was passed on.
const IN_BODY: [&str; 3] = ["endless-extension", "endless-trailers", "endless-body"];

/// Lets one test run at a time.
fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn options() -> Options {
    Options { nodes: 1, timeout: TIMEOUT, ..Options::default() }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() << 10
}

/// Guards against a call that waits for a head without end beyond its timeout, a node whose memory
/// grows with it, and a caller that is told that its request has not run.
#[test]
fn a_head_without_end_is_an_unknown_outcome_in_time() {
    let _alone = alone();
    for suffix in ["", "-drip"] {
        for name in IN_HEAD {
            run(async {
                let cluster = Cluster::start(&options()).await;
                let (before, started) = (resident(), Instant::now());
                let path = format!("/counter/{name}{suffix}");
                let resp = cluster.call(post(&path), "x").await;
                let took = started.elapsed();
                assert!(took < TIMEOUT + SLACK, "{name}{suffix}: answered after {took:?}");
                let is_failure =
                    [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT].contains(&resp.status());
                assert!(is_failure, "{name}{suffix}: {}", resp.status());
                assert_eq!(field(&resp, headers::OUTCOME), "unknown", "{name}{suffix}");
                assert_eq!(cluster.runs(&format!("{name}{suffix}")), 1, "sent once");
                wait_until(|| cluster.nodes[0].upstream.ended() == 1).await;
                let grown = resident().saturating_sub(before);
                assert!(grown < MAX_GROWTH, "{name}{suffix}: {grown} bytes more");
                cluster.stop().await;
            });
        }
    }
}

/// Guards against a body without end that looks complete, or that keeps a call beyond its timeout.
#[test]
fn a_body_without_end_is_cut_in_time() {
    let _alone = alone();
    for suffix in ["", "-drip"] {
        for name in IN_BODY {
            run(async {
                let cluster = Cluster::start(&options()).await;
                let (before, started) = (resident(), Instant::now());
                let path = format!("/counter/{name}{suffix}");
                let answer = cluster.try_call(0, post(&path), "x").await;
                let took = started.elapsed();
                assert!(took < TIMEOUT + SLACK, "{name}{suffix}: ended after {took:?}");
                match answer {
                    Ok(resp) => assert!(!resp.status().is_success(), "{name}{suffix} is complete"),
                    Err(why) => assert_eq!(why, ClientError::Broken, "{name}{suffix}"),
                }
                wait_until(|| cluster.nodes[0].upstream.ended() == 1).await;
                let grown = resident().saturating_sub(before);
                assert!(grown < MAX_GROWTH, "{name}{suffix}: {grown} bytes more");
                cluster.stop().await;
            });
        }
    }
}

/// Guards against bytes after a whole answer that reach the next call, or that keep the connection
/// open.
#[test]
fn bytes_without_end_after_an_answer_belong_to_no_call() {
    let _alone = alone();
    for suffix in ["", "-drip"] {
        run(async {
            let cluster = Cluster::start(&options()).await;
            let resp = cluster.call(get(&format!("/counter/endless-extra{suffix}")), "").await;
            assert_eq!(&resp.body()[..], b"ok");
            for i in 0..3 {
                let (body, started) = (format!("own {i}"), Instant::now());
                let resp = cluster.call(post("/counter/echo"), &body).await;
                if resp.status() == StatusCode::OK {
                    assert_eq!(resp.body(), body.as_bytes());
                    continue;
                }
                // The bytes came after the connection was taken for this call.
                assert_eq!(field(&resp, headers::OUTCOME), "unknown");
                let took = started.elapsed();
                assert!(took < TIMEOUT / 2, "junk was taken for a head for {took:?}");
            }
            wait_until(|| cluster.nodes[0].upstream.ended() == 1).await;
            cluster.stop().await;
        });
    }
}
