//! Tests of the client: it returns complete responses or an error, and reuses a connection only if
//! no unread bytes are left on it.

use super::run;
use bytes::Bytes;
use http::Request;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use std::time::Duration;
use sycamore_http::{Client, ClientConfig, ClientError};

/// Sends `GET /` once for each of `answers`, which the server writes in turn; it closes the
/// connection instead of writing an empty one. Returns the client's results and the number of
/// connections that the client opened.
async fn send_requests(answers: Vec<&'static str>) -> (Vec<Result<String, ClientError>>, usize) {
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

// Guards against a new connection for each request after complete responses.
#[test]
fn connection_is_reused_after_complete_responses() {
    let (seen, opened) = run(send_requests(vec![HELLO, CHUNKED, HELLO]));
    assert_eq!(seen, [Ok("hello".into()), Ok("bye".into()), Ok("hello".into())]);
    assert_eq!(opened, 1);
}

// Guards against taking surplus bytes, which a server sent after its response, as the response to
// the next request on the connection.
#[test]
fn surplus_bytes_after_a_response_never_answer_the_next_request() {
    let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n\
                   content-length: 5\r\n\r\ncross";
    let (seen, opened) = run(send_requests(vec![surplus, HELLO]));
    assert_eq!(seen, [Ok("hello".into()), Ok("hello".into())]);
    assert_eq!(opened, 2);
}

// Guards against returning an interim (1xx) response as the final one.
#[test]
fn interim_response_is_skipped() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n\
                   content-length: 2\r\n\r\nhi";
    let (seen, _) = run(send_requests(vec![interim]));
    assert_eq!(seen, [Ok("hi".into())]);
}

// Guards against returning a response as complete whose end can't be known: it has no length, two
// conflicting lengths, or the connection closes before or within it.
#[test]
fn response_without_a_certain_end_is_an_error() {
    let unframed = "HTTP/1.1 200 OK\r\n\r\nhello";
    let both = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello";
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello";
    let (seen, _) = run(send_requests(vec![unframed, both, "", cut]));
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

// Guards against an unknown effect when no connection could be opened and nothing was sent.
#[test]
fn failed_connect_is_a_distinct_error() {
    let address = sycamore_testing::unused_addr();
    let resp = run(async {
        let client = Client::new(address, ClientConfig::default());
        client.send(Request::get("/").body(Bytes::new()).unwrap()).await
    });
    assert_eq!(*resp.unwrap_err().current_context(), ClientError::Connect);
}
