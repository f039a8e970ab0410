//! The HTTP client against raw bytes: what an answer, or its lack, says about a request's effect.

use bytes::Bytes;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use sycamore_platform::prelude::*;
use sycamore_platform::{HttpPlatform, HttpSettings};

const COMMITTED: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\n{\"committed\":true,\"revisions\":{\"k\":4}}\n";

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the epoll driver starts")
        .block_on(future)
}

fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.contains("\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&buf[..n])),
            _ => return text,
        }
    }
    text
}

/// Answers one request on each connection with the next of `answers` and closes it; returns the
/// requests' first lines.
fn serve(
    answers: Vec<&'static str>,
) -> (HttpPlatform, SocketAddr, std::thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is free");
    let address = listener.local_addr().expect("bound");
    let server = std::thread::spawn(move || {
        let mut lines = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().expect("accepts");
            let request = read_request(&mut stream);
            lines.push(request.lines().next().unwrap_or_default().to_owned());
            stream.write_all(answer.as_bytes()).expect("writes");
        }
        lines
    });
    (client(address), address, server)
}

fn client(address: SocketAddr) -> HttpPlatform {
    let timeout = Duration::from_secs(20);
    HttpPlatform::new(HttpSettings { timeout, body_bytes: 1000, ..HttpSettings::new(address) })
}

fn transact(platform: &HttpPlatform) -> Result<Transacted, Error> {
    let answer = run(platform.transact(&Transaction::default()));
    answer.map_err(|report| report.current_context().clone())
}

#[test]
fn a_committed_transaction_tells_revisions() {
    let (platform, _, server) = serve(vec![COMMITTED]);
    match transact(&platform) {
        Ok(Transacted::Committed { revisions }) => assert_eq!(revisions["k"], Revision(4)),
        other => panic!("{other:?}"),
    }
    assert_eq!(server.join().unwrap(), ["POST /table/transact HTTP/1.1"]);
    assert_eq!(platform.traffic().writes.get(), 1);
    assert!(platform.traffic().sent.get() > 50);
    assert!(platform.traffic().received.get() > 50);
}

#[test]
fn a_cut_connection_may_have_had_its_effect() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\n{\"committed\":tr";
    let (platform, _, server) =
        serve(vec!["", cut, "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"]);
    for _ in 0..3 {
        assert!(transact(&platform).unwrap_err().may_have_run());
    }
    server.join().unwrap();
}

#[test]
fn a_refusal_had_no_effect() {
    let (platform, address, server) = serve(vec![
        "HTTP/1.1 503 Out\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 Slow down\r\ncontent-length: 0\r\n\r\n",
    ]);
    assert_eq!(transact(&platform), Err(Error::Refused { status: 503 }));
    assert_eq!(transact(&platform), Err(Error::Refused { status: 429 }));
    server.join().unwrap();
    assert!(TcpStream::connect(address).is_err());
    assert_eq!(transact(&platform), Err(Error::Unreachable));
}

#[test]
fn an_oversized_answer_is_refused() {
    let (platform, _, server) =
        serve(vec!["HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n", "HTTP/1.1 404 No\r\n\r\n"]);
    let error = run(platform.fetch("config/x")).unwrap_err();
    assert!(matches!(error.current_context(), Error::Malformed(_) | Error::NoAnswer));
    assert_eq!(run(platform.fetch("config/x y")).unwrap(), None);
    let lines = server.join().unwrap();
    assert_eq!(lines[1], "GET /objects/config/x%20y HTTP/1.1");
}

#[test]
fn an_object_that_is_there_is_left_as_it_is() {
    let (platform, _, server) = serve(vec![
        "HTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 412 There\r\ncontent-length: 0\r\n\r\n",
    ]);
    assert_eq!(run(platform.put("config/x", Bytes::from("a"))).unwrap(), Put::Stored);
    assert_eq!(run(platform.put("config/x", Bytes::from("a"))).unwrap(), Put::Exists);
    let large = Bytes::from(vec![0; 1001]);
    let error = run(platform.put("config/y", large)).unwrap_err();
    assert_eq!(*error.current_context(), Error::TooLarge { bytes: 1001, max: 1000 });
    server.join().unwrap();
}

/// Answers with `part`s, each `gap` after the one before, then waits.
fn serve_slowly(parts: Vec<String>, gap: Duration, timeout: Duration) -> HttpPlatform {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is free");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepts");
        read_request(&mut stream);
        for part in parts {
            std::thread::sleep(gap);
            // The client may have given up.
            let _ = stream.write_all(part.as_bytes());
        }
        std::thread::sleep(Duration::from_secs(5));
    });
    HttpPlatform::new(HttpSettings { timeout, ..HttpSettings::new(address) })
}

#[test]
fn a_large_answer_over_a_slow_link_may_take_longer_than_the_timeout_as_long_as_it_moves() {
    let (gap, timeout) = (Duration::from_millis(100), Duration::from_millis(250));
    let mut parts = vec!["HTTP/1.1 200 OK\r\ncontent-length: 80\r\n\r\n".to_owned()];
    parts.extend((0..8).map(|_| "0123456789".to_owned()));
    let platform = serve_slowly(parts, gap, timeout);
    let object = run(platform.fetch("config/a")).expect("it is whole").expect("it is there");
    assert_eq!(object.len(), 80);
}

#[test]
fn an_answer_that_stops_halfway_is_given_up_after_the_timeout() {
    let timeout = Duration::from_millis(250);
    let parts = vec!["HTTP/1.1 200 OK\r\ncontent-length: 80\r\n\r\n0123456789".to_owned()];
    let platform = serve_slowly(parts, Duration::ZERO, timeout);
    let begun = std::time::Instant::now();
    let answer = run(platform.fetch("config/a")).map_err(|r| r.current_context().clone());
    assert_eq!(answer, Err(Error::NoAnswer));
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
}
