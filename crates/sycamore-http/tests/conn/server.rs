//! Tests of the server: responses in order, refused requests, time limits and stopping.

use super::{pair, run};
use bytes::Bytes;
use http::{Request, Response};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use sycamore_http::{serve, ServeConfig};

type Seen = Rc<RefCell<Vec<(String, usize)>>>;

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    loop {
        let (read, buf) = stream.read(Vec::with_capacity(4096)).await;
        match read {
            Ok(0) | Err(_) => return text,
            Ok(_) => text.push_str(std::str::from_utf8(&buf).unwrap()),
        }
    }
}

/// Sends `bytes` to a server and shuts down the sending side. Returns the bytes that the server
/// wrote, and the path and body length of each request that reached the handler.
async fn exchange(bytes: &'static str, config: ServeConfig) -> (String, Vec<(String, usize)>) {
    let (mut near, far) = pair().await;
    let seen: Seen = Rc::default();
    let served = Rc::clone(&seen);
    let server = monoio::spawn(async move {
        let handler = |req: Request<Bytes>| {
            served.borrow_mut().push((req.uri().path().to_owned(), req.body().len()));
            async { Response::new(Bytes::from_static(b"ok")) }
        };
        serve(far, &config, futures::future::pending(), handler).await
    });
    near.write_all(bytes).await.0.unwrap();
    monoio::io::AsyncWriteRent::shutdown(&mut near).await.unwrap();
    let text = read_to_end(&mut near).await;
    drop(server.await);
    let seen = seen.borrow().clone();
    (text, seen)
}

// Guards against losing or reordering requests that arrive together in one read.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let bytes = "POST /a HTTP/1.1\r\ncontent-length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n";
    let (text, seen) = run(exchange(bytes, ServeConfig::default()));
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
    assert_eq!(seen, [("/a".to_owned(), 2), ("/b".to_owned(), 0)]);
}

// Guards against request smuggling: a request with both lengths hides a second one in its body.
#[test]
fn smuggled_request_is_never_served() {
    let bytes = "POST /a HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n\
                 0\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    let (text, seen) = run(exchange(bytes, ServeConfig::default()));
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    assert_eq!(seen, []);
}

// Guards against a deadlock with a client that waits for 100 Continue before it sends its body.
#[test]
fn expectation_is_answered_before_the_body() {
    let bytes = "POST /a HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi";
    let (text, _) = run(exchange(bytes, ServeConfig::default()));
    assert!(text.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"), "{text}");
}

// Guards against buffering a body above the limit, whether its length is declared or it is chunked.
#[test]
fn body_over_the_limit_is_refused_with_413() {
    let config = ServeConfig { body_bytes: 4, ..ServeConfig::default() };
    let announced = "POST /a HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello";
    let (text, seen) = run(exchange(announced, config.clone()));
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
    let chunked = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    let (text, _) = run(exchange(chunked, config));
    assert!(text.starts_with("HTTP/1.1 413 "), "{text}");
    assert_eq!(seen, []);
}

// Guards against a connection held open by a client that never completes its request.
#[test]
fn incomplete_request_times_out_and_closes_the_connection() {
    let time = Duration::from_millis(50);
    let config = ServeConfig { message_time: time, idle_time: time, ..ServeConfig::default() };
    run(async {
        let (mut near, far) = pair().await;
        let handler = |_: Request<Bytes>| async { Response::new(Bytes::new()) };
        near.write_all("GET /a HTTP/1.1\r\n").await.0.unwrap();
        let served = serve(far, &config, futures::future::pending(), handler).await;
        assert!(served.is_err());
        assert_eq!(read_to_end(&mut near).await, "");
    });
}

// Guards against a stop that waits for an idle connection.
#[test]
fn stop_closes_an_idle_connection() {
    run(async {
        let (mut near, far) = pair().await;
        let handler = |_: Request<Bytes>| async { Response::new(Bytes::new()) };
        let served = serve(far, &ServeConfig::default(), async {}, handler).await;
        assert!(served.is_ok());
        assert_eq!(read_to_end(&mut near).await, "");
    });
}
