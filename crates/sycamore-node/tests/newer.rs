//! Test of the daemon's answers to requests without a route while it knows of a newer configuration
//! that it can't fetch, or that it rejects.
//!
//! Guards against 404, which callers take as final, from a configuration that the node itself knows
//! to be out of date.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use sycamore_config::head::HEAD_KEY;
use sycamore_config::manifest::object_key;
use sycamore_config::{Encoded, HeadRow};
use sycamore_platform::settle::Stamped;
use sycamore_testing::unused_addr;
use sycamore_types::prelude::*;

/// Longest time for the daemon to act on what the platform holds.
const ACT_TIMEOUT: Duration = Duration::from_secs(10);

/// Answer of the daemon to a request without a route: status, reason, time until a retry.
type OwnAnswer = (u16, String, Option<String>);

/// Guard that kills the daemon when the test ends.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Bodies that the platform answers by path; all other reads find nothing.
type Store = Arc<Mutex<BTreeMap<String, Bytes>>>;

/// Starts a platform that holds `store` and returns its address. It rejects writes.
fn start_platform(store: Store) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let store = store.clone();
            std::thread::spawn(move || answer_once(&mut stream, &store));
        }
    });
    address
}

/// Answers the first request of a connection, which ends with it.
fn answer_once(stream: &mut TcpStream, store: &Store) {
    let (mut text, mut buf) = (String::new(), [0; 4096]);
    while !text.contains("\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(count @ 1..) => text.push_str(&String::from_utf8_lossy(&buf[..count])),
            Ok(_) | Err(_) => return,
        }
    }
    let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
    let found = store.lock().unwrap().get(&path).cloned();
    let (status, body) = match found {
        Some(body) => ("200 OK", body),
        None if path.starts_with("/table/rows") => {
            ("200 OK", json!({"rows": [], "more": false}).to_string().into())
        }
        None if text.starts_with("GET ") => ("404 Not Found", Bytes::new()),
        None => ("503 Service Unavailable", Bytes::new()),
    };
    let head =
        format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", body.len());
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body));
}

/// Starts a daemon alone in its fleet.
fn start_daemon(platform: SocketAddr, caller: SocketAddr) -> Daemon {
    let listeners = ["upstream", "relay", "peer", "operator"];
    let listen: String = listeners.map(|name| format!("{name} = {}\n", unused_addr())).concat();
    let settings = format!(
        "[node]\ndeployment = mesh\ninstance = counter-1\nservice = counter\ndata_centre = a\n\
         region = r\n[listen]\ncaller = {caller}\n{listen}[platform]\ntable = {platform}\n\
         objects = {platform}\nfleet_reads_per_s = 1000\n[config]\napply_within = 300ms\n"
    );
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("newer.ini");
    std::fs::write(&file, settings).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_sycamoreshiftd"));
    Daemon(program.arg("--settings").arg(&file).spawn().unwrap())
}

/// Returns the daemon's answer to a request without a route; `None` while it does not listen.
fn call(address: SocketAddr) -> Option<OwnAnswer> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = "GET /added-later HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let field = |name: &str| {
        let value = answer.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
        value.map(str::to_owned)
    };
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, field("shift-reason")?, field("retry-after")))
}

/// Waits until the daemon answers a request without a route with this status and reason, and checks
/// that a refusal that isn't final says when to retry.
#[track_caller]
fn wait_for_answer(address: SocketAddr, status: u16, reason: &str) {
    let begun = Instant::now();
    loop {
        let answer = call(address);
        if let Some((got, got_reason, retry_after)) = &answer {
            if (*got, got_reason.as_str()) == (status, reason) {
                let expected = (status == 503).then_some("1");
                assert_eq!(retry_after.as_deref(), expected, "{reason}");
                return;
            }
        }
        assert!(begun.elapsed() < ACT_TIMEOUT, "{answer:?} instead of {status} {reason}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn route_to(service: &str) -> Resource {
    Resource::Route(Route {
        name: RouteName::new("a").unwrap(),
        host: None,
        prefix: "/a".into(),
        service: ServiceName::new(service).unwrap(),
        split: Vec::new(),
        timeout: Duration::from_secs(1),
        policy: RoutePolicy::default(),
        fault: None,
    })
}

/// Writes the head row of `config`; its pack stays absent unless `has_pack`.
fn write(store: &Store, config: &Encoded, has_pack: bool) {
    let operator = OperatorName::new("ana").unwrap();
    let row = Stamped::after::<HeadRow>(None, OpId(1), HeadRow { head: config.head, operator });
    let row = json!({"key": HEAD_KEY, "value": row, "revision": config.head.version.0});
    let mut store = store.lock().unwrap();
    if has_pack {
        store.insert(format!("/objects/{}", object_key(config.head.manifest)), config.pack());
    }
    store.insert(format!("/table/row/{HEAD_KEY}"), row.to_string().into());
}

#[test]
fn a_missing_route_is_not_final_while_a_newer_configuration_is_not_applied() {
    let store = Store::default();
    let (platform, caller) = (start_platform(store.clone()), unused_addr());
    let _daemon = start_daemon(platform, caller);
    wait_for_answer(caller, 404, "no-route");
    write(&store, &Encoded::new(&[], ConfigVersion(1)), false);
    wait_for_answer(caller, 503, "configuration-behind");
    // A head whose pack the object store lacks is rejected, and learned again with the next read.
    wait_for_answer(caller, 503, "configuration-rejected");
    write(&store, &Encoded::new(&[], ConfigVersion(2)), true);
    wait_for_answer(caller, 404, "no-route");
    write(&store, &Encoded::new(&[route_to("unknown")], ConfigVersion(3)), true);
    wait_for_answer(caller, 503, "configuration-rejected");
    write(&store, &Encoded::new(&[], ConfigVersion(4)), true);
    wait_for_answer(caller, 404, "no-route");
}
