//! Tests of the HTTP client against a server that writes raw bytes.
//!
//! Guards against a wrong conclusion from an answer, or from a missing one, about whether the
//! request took effect.

use bytes::Bytes;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use sycamore_platform::prelude::*;
use sycamore_platform::{HttpPlatform, HttpSettings, NativeProtocol, StoreProtocol};

const COMMITTED: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\n{\"committed\":true,\"revisions\":{\"k\":4}}\n";

/// Runs `future` on a new event loop. All requests of a client belong into one run, since its
/// connections belong to the event loop that opened them.
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

/// Starts a server that accepts one connection per entry of `answers`, answers one request on it
/// and closes it; whole answers announce that, or the client may use the connection again. The
/// thread returns the first line of each request.
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

async fn transact(platform: &HttpPlatform) -> Result<Transacted, Error> {
    let answer = platform.transact(&Transaction::default()).await;
    answer.map_err(|report| report.current_context().clone())
}

// Guards against a committed transaction whose revisions are not decoded or whose request and bytes
// are not counted.
#[test]
fn committed_transaction_returns_revisions_and_counts_traffic() {
    let (platform, _, server) = serve(vec![COMMITTED]);
    match run(transact(&platform)) {
        Ok(Transacted::Committed { revisions }) => assert_eq!(revisions["k"], Revision(4)),
        other => panic!("{other:?}"),
    }
    assert_eq!(server.join().unwrap(), ["POST /table/transact HTTP/1.1"]);
    assert_eq!(platform.traffic().writes.get(), 1);
    assert!(platform.traffic().sent.get() > 50);
    assert!(platform.traffic().received.get() > 50);
}

// Guards against concluding that a write had no effect when the connection closes before or within
// the answer, or when the status is 500.
#[test]
fn closed_connection_and_status_500_leave_the_effect_unknown() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\n{\"committed\":tr";
    let (platform, _, server) =
        serve(vec!["", cut, "HTTP/1.1 500 Oops\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"]);
    run(async {
        for _ in 0..3 {
            assert!(transact(&platform).await.unwrap_err().may_have_run());
        }
    });
    server.join().unwrap();
}

// Guards against an unknown effect where there was none: the platform answered 429 or 503, or no
// connection could be made.
#[test]
fn refused_request_had_no_effect() {
    let (platform, address, server) = serve(vec![
        "HTTP/1.1 503 Out\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 Slow down\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
    ]);
    run(async {
        assert_eq!(transact(&platform).await, Err(Error::Refused { status: 503 }));
        assert_eq!(transact(&platform).await, Err(Error::Refused { status: 429 }));
        server.join().unwrap();
        assert!(TcpStream::connect(address).is_err());
        assert_eq!(transact(&platform).await, Err(Error::Unreachable));
    });
}

// Guards against waiting for an answer whose declared length exceeds the body limit, or taking it
// for a lost one, and against a request after it that reuses that connection or sends its key
// unescaped.
#[test]
fn oversized_answer_is_refused() {
    let (platform, _, server) =
        serve(vec!["HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n", "HTTP/1.1 404 No\r\n\r\n"]);
    run(async {
        let error = platform.fetch("config/x").await.unwrap_err();
        assert_eq!(*error.current_context(), Error::AnswerTooLarge { max: 1000 });
        assert_eq!(platform.fetch("config/x y").await.unwrap(), None);
    });
    let lines = server.join().unwrap();
    assert_eq!(lines[1], "GET /objects/config/x%20y HTTP/1.1");
}

// Guards against an existing object that counts as stored or as a failure, and against sending a
// body above the limit.
#[test]
fn put_reports_an_existing_object_and_refuses_an_oversized_body() {
    let (platform, _, server) = serve(vec![
        "HTTP/1.1 201 Created\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 412 There\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
    ]);
    run(async {
        let put = |key, body| platform.put(key, body);
        assert_eq!(put("config/x", Bytes::from("a")).await.unwrap(), Put::Stored);
        assert_eq!(put("config/x", Bytes::from("a")).await.unwrap(), Put::Exists);
        let error = put("config/y", Bytes::from(vec![0; 1001])).await.unwrap_err();
        assert_eq!(*error.current_context(), Error::TooLarge { bytes: 1001, max: 1000 });
    });
    server.join().unwrap();
}

/// Starts a server that answers one request with `parts`, waits `gap` before each, and then keeps
/// the connection open for 5 s. The client waits at most `timeout` for each part.
fn serve_slowly(parts: Vec<String>, gap: Duration, timeout: Duration) -> HttpPlatform {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is free");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepts");
        read_request(&mut stream);
        for part in parts {
            std::thread::sleep(gap);
            // Fails if the client has timed out and closed the connection.
            let _ = stream.write_all(part.as_bytes());
        }
        std::thread::sleep(Duration::from_secs(5));
    });
    HttpPlatform::new(HttpSettings { timeout, ..HttpSettings::new(address) })
}

// Guards against a timeout on the whole answer: a large object over a slow link takes longer than
// the timeout, but each of its parts arrives in time.
#[test]
fn slow_answer_may_exceed_the_timeout_while_its_parts_arrive_in_time() {
    let (gap, timeout) = (Duration::from_millis(100), Duration::from_millis(250));
    let mut parts = vec!["HTTP/1.1 200 OK\r\ncontent-length: 80\r\n\r\n".to_owned()];
    parts.extend((0..8).map(|_| "0123456789".to_owned()));
    let platform = serve_slowly(parts, gap, timeout);
    let object = run(platform.fetch("config/a")).expect("it is whole").expect("it is there");
    assert_eq!(object.len(), 80);
}

// Guards against waiting without end for the rest of an answer that stops within its body.
#[test]
fn answer_that_stalls_within_its_body_fails_after_the_timeout() {
    let timeout = Duration::from_millis(250);
    let parts = vec!["HTTP/1.1 200 OK\r\ncontent-length: 80\r\n\r\n0123456789".to_owned()];
    let platform = serve_slowly(parts, Duration::ZERO, timeout);
    let started = std::time::Instant::now();
    let answer = run(platform.fetch("config/a")).map_err(|r| r.current_context().clone());
    assert_eq!(answer, Err(Error::NoAnswer));
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

// Guards against one row of another writer, which is nested too deeply or holds a number out of range, that
// has the whole answer rejected: the others must be decoded.
#[test]
fn a_value_that_cannot_be_decoded_leaves_the_other_rows_of_an_answer() {
    let deep = format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000));
    let objects = format!("{}1{}", "{\"a\":".repeat(10_000), "}".repeat(10_000));
    for odd in ["1e400", "[-1e999]", &"9".repeat(500), deep.as_str(), objects.as_str()] {
        let row = |key: &str, value: &str| {
            format!("{{\"key\":\"{key}\",\"value\":{value},\"revision\":3}}")
        };
        let rows = [row("member/a", "{\"n\":1}"), row("member/b", odd), row("member/c", "7")];
        let body = format!("{{\"rows\":[{}],\"more\":false}}", rows.join(","));
        let query = PageQuery { prefix: "member/", ..PageQuery::default() };
        let page = NativeProtocol.decode_page(query, http::StatusCode::OK, body.as_bytes());
        let page = page.expect("an answer with an odd row");
        assert_eq!(page.rows.len(), 3);
        assert_eq!(page.rows[0].value["n"], 1);
        assert_eq!(page.rows[2].value, 7);
        let one = NativeProtocol.decode_row("k", http::StatusCode::OK, row("k", odd).as_bytes());
        assert!(one.expect("an odd row").is_some());
        let conflict = format!("{{\"committed\":false,\"conflicts\":[{}]}}", row("k", odd));
        let conflicted = NativeProtocol.decode_transaction(
            &Transaction::default(),
            http::StatusCode::CONFLICT,
            conflict.as_bytes(),
        );
        assert!(conflicted.is_ok(), "{conflicted:?}");
    }
}
