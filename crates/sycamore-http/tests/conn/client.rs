//! The small client: whole answers or a visible error, connections reused only when clean.

use super::run;
use bytes::Bytes;
use http::Request;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use std::time::Duration;
use sycamore_http::{Client, ClientConfig, ClientError};

/// Calls `GET /` as often as there are `answers`; each connection gets them in turn. Returns what
/// the client made of each, and how many connections it opened.
async fn calls(answers: Vec<&'static str>) -> (Vec<Result<String, ClientError>>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = ClientConfig { call_time: Duration::from_millis(200), ..ClientConfig::default() };
    let client = Client::new(listener.local_addr().unwrap(), config);
    let count = answers.len();
    let server = monoio::spawn(async move {
        let mut answers = answers.into_iter();
        let mut opened = 0;
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            opened += 1;
            loop {
                match stream.read(Vec::with_capacity(1024)).await.0 {
                    Ok(0) | Err(_) => break,
                    Ok(_) => {}
                }
                let Some(answer) = answers.next() else { break };
                stream.write_all(answer).await.0.unwrap();
                if answers.len() == 0 {
                    return opened;
                }
                if answer.is_empty() {
                    break;
                }
            }
        }
    });
    let mut seen = Vec::new();
    for _ in 0..count {
        let req = Request::get("/").body(Bytes::new()).unwrap();
        let resp = client.send(req).await;
        seen.push(
            resp.map(|resp| String::from_utf8(resp.into_body().to_vec()).unwrap())
                .map_err(|report| *report.current_context()),
        );
    }
    (seen, server.await)
}

const HELLO: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nbye\r\n0\r\n\r\n";

#[test]
fn a_clean_connection_is_reused() {
    let (seen, opened) = run(calls(vec![HELLO, CHUNKED, HELLO]));
    assert_eq!(seen, [Ok("hello".into()), Ok("bye".into()), Ok("hello".into())]);
    assert_eq!(opened, 1);
}

#[test]
fn bytes_after_an_answer_never_reach_the_next_call() {
    let crossed = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n\
                   content-length: 5\r\n\r\ncross";
    let (seen, opened) = run(calls(vec![crossed, HELLO]));
    assert_eq!(seen, [Ok("hello".into()), Ok("hello".into())]);
    assert_eq!(opened, 2);
}

#[test]
fn an_interim_answer_is_passed_over() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n\
                   content-length: 2\r\n\r\nhi";
    let (seen, _) = run(calls(vec![interim]));
    assert_eq!(seen, [Ok("hi".into())]);
}

#[test]
fn a_cut_or_unframed_answer_is_an_error() {
    let unframed = "HTTP/1.1 200 OK\r\n\r\nhello";
    let both = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello";
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello";
    let (seen, _) = run(calls(vec![unframed, both, "", cut]));
    assert_eq!(
        seen,
        [
            Err(ClientError::Broken),
            Err(ClientError::Broken),
            Err(ClientError::Broken),
            Err(ClientError::Broken),
        ]
    );
}

#[test]
fn no_connection_is_told_apart() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let resp = run(async {
        let client = Client::new(address, ClientConfig::default());
        client.send(Request::get("/").body(Bytes::new()).unwrap()).await
    });
    assert_eq!(*resp.unwrap_err().current_context(), ClientError::Connect);
}
