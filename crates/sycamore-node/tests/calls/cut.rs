//! Answers of upstreams whose connection ends or fails early: none may reach its caller as complete.

use super::world::{field, get, post, run, settle, Cluster, Options};
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_http::conn::{write_all, ReadError, Reader};
use sycamore_http::wire::response_framing;
use sycamore_http::{BodyDecoder, HeadLimits};
use sycamore_types::headers;

/// Size of an upload in bytes, beyond what the sockets on its way buffer.
const UPLOAD_BYTES: usize = 32 << 20;
/// Time in which an upload that nobody reads fills those buffers.
const FILL_TIME: Duration = Duration::from_millis(300);
/// Start of an answer whose end is the end of its connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of it";

/// End of an upstream's connection after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    /// The upstream closes the connection in order.
    InOrder,
    /// The connection is reset.
    Reset,
}

/// Starts an upstream that reads the `requests` of a connection whole, or the start of the first one
/// only if it is `early`, and then writes `answer` and closes the connection. Returns its address.
fn start_upstream(answer: &'static [u8], close: Close, is_early: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve(stream, answer, close, is_early));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: &'static [u8], close: Close, is_early: bool) {
    stream.set_nodelay(true).unwrap();
    if is_early {
        // The rest of the request stays unread, so that closing the connection resets it.
        let (read, _) = stream.read(vec![0; 512]).await;
        if read.unwrap_or(0) == 0 {
            return;
        }
        monoio::time::sleep(FILL_TIME).await;
        let _ = stream.write_all(answer).await;
        return;
    }
    if close == Close::Reset {
        // With a linger time of zero, closing the socket resets the connection.
        let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
        let fd = std::os::fd::AsRawFd::as_raw_fd(&stream);
        nix::sys::socket::setsockopt(fd, nix::sys::socket::sockopt::Linger, &linger).unwrap();
    }
    // The halves of a split stream would close it in order one after the other.
    if read_request(&mut stream).await.is_none() {
        return;
    }
    let _ = stream.write_all(answer).await;
    // What was written must have arrived before a reset discards it.
    monoio::time::sleep(Duration::from_millis(20)).await;
}

/// Reads a request whole; `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut request = Vec::new();
    loop {
        let (read, bytes) = stream.read(vec![0; 64 << 10]).await;
        request.extend_from_slice(&bytes[..read.ok().filter(|read| *read > 0)?]);
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut fields);
        if let Ok(httparse::Status::Complete(head)) = parsed.parse(&request) {
            let length = fields.iter().find(|field| field.name == "content-length");
            let length = length.and_then(|field| std::str::from_utf8(field.value).ok());
            let length: usize = length.map_or(0, |length| length.parse().unwrap());
            if request.len() >= head + length {
                return Some(());
            }
        }
    }
}

/// Starts a node beside the upstream at `address`.
async fn start_node(address: SocketAddr) -> Cluster {
    let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
    cluster.nodes[0].hub.upstream.send_modify(|upstream| {
        upstream.as_mut().expect("an announced upstream").address = address;
    });
    settle().await;
    cluster
}

/// Sends a request with a body of `bytes`, and reads the answer meanwhile.
///
/// # Errors
/// Error of reading the answer, if it isn't whole.
async fn upload(cluster: &Cluster, bytes: usize) -> Result<(StatusCode, Bytes), ReadError> {
    let stream = TcpStream::connect(cluster.nodes[0].hub.settings.listen.caller).await.unwrap();
    let (read, mut writer) = stream.into_split();
    let sender = monoio::spawn(async move {
        let head =
            format!("POST /counter/upload HTTP/1.1\r\nhost: a\r\ncontent-length: {bytes}\r\n\r\n");
        let mut out = BytesMut::from(head.as_bytes());
        out.resize(out.len() + bytes, b'x');
        // The node stops reading once it has answered.
        let _ = write_all(&mut writer, out.freeze()).await;
        writer
    });
    let mut reader = Reader::new(read);
    let answer = async {
        let head = reader.response_head(&HeadLimits::DEFAULT).await?;
        let framing = response_framing(&head, &http::Method::POST)?;
        let body = reader.body(BodyDecoder::new(framing), usize::MAX).await?;
        Ok((head.status, body))
    };
    let answer = answer.await;
    drop(reader);
    drop(sender.await);
    answer
}

/// Guards against an answer without a length that is reset while its upload is still sent: the write of
/// the upload consumes the report of the reset, and the reads that follow find what looks like the
/// orderly end of the answer.
#[test]
fn an_unframed_answer_that_is_reset_during_its_upload_is_not_complete() {
    run(async {
        let address = start_upstream(UNFRAMED.as_bytes(), Close::Reset, true);
        let cluster = start_node(address).await;
        for _ in 0..3 {
            let answer = upload(&cluster, UPLOAD_BYTES).await;
            assert!(!matches!(answer, Ok((StatusCode::OK, _))), "{answer:?}");
        }
        cluster.stop().await;
    });
}

/// Answers of 200 that are early and not whole: without a length, in chunks, and with a length.
const EARLY_PARTS: [&str; 3] = [
    UNFRAMED,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\nhalf of it",
];

/// Guards against a part of an early answer that looks whole: whatever frames it, whether its upload is
/// short, long or blocked when the reset comes, and whether a second node relays it.
#[test]
fn an_early_answer_that_is_reset_is_never_complete() {
    run(async {
        for answer in EARLY_PARTS {
            for bytes in [4 << 10, 200 << 10, UPLOAD_BYTES] {
                let address = start_upstream(answer.as_bytes(), Close::Reset, true);
                let one = start_node(address).await;
                let answered = upload(&one, bytes).await;
                let text = format!("{answer:?} to {bytes} bytes: {answered:?}");
                assert!(!matches!(answered, Ok((StatusCode::OK, _))), "{text}");
                one.stop().await;
                let two = Cluster::start(&Options::default()).await;
                for node in &two.nodes {
                    node.hub.upstream.send_modify(|upstream| {
                        upstream.as_mut().expect("an announced upstream").address = address;
                    });
                }
                two.publish_members(|member| member.instance.as_str() == "counter-1");
                settle().await;
                let answered = upload(&two, bytes).await;
                let text = format!("{answer:?} to {bytes} bytes over two nodes: {answered:?}");
                assert!(!matches!(answered, Ok((StatusCode::OK, _))), "{text}");
                two.stop().await;
            }
        }
    });
}

/// Guards against refusing an answer with a length, which is whole although the upstream reset its
/// connection before it had read the upload.
#[test]
fn an_answer_with_a_length_is_delivered_although_its_upload_was_reset() {
    run(async {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly";
        let address = start_upstream(answer, Close::Reset, true);
        let cluster = start_node(address).await;
        let (status, body) = upload(&cluster, UPLOAD_BYTES).await.unwrap();
        assert_eq!((status, &body[..]), (StatusCode::OK, &b"early"[..]));
        cluster.stop().await;
    });
}

/// Guards against taking the reset of a connection for its orderly end where the request was sent whole,
/// short or long, and against refusing the orderly end.
#[test]
fn an_unframed_answer_is_complete_only_if_its_connection_ends_in_order() {
    run(async {
        for bytes in [1, 200 << 10] {
            for close in [Close::InOrder, Close::Reset] {
                let address = start_upstream(UNFRAMED.as_bytes(), close, false);
                let cluster = start_node(address).await;
                let answer = upload(&cluster, bytes).await;
                let is_complete =
                    matches!(&answer, Ok((StatusCode::OK, body)) if body == "half of it");
                assert_eq!(is_complete, close == Close::InOrder, "{bytes} {close:?}: {answer:?}");
                assert_eq!(answer.is_ok(), is_complete, "{bytes} {close:?}: {answer:?}");
                cluster.stop().await;
            }
        }
    });
}

/// Head of an answer, whose parts are all the answer that some upstreams give.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nserver: a\r\ncontent-length: 5\r\nx-last: 1\r\n\r\n";
/// Head without a length.
const UNFRAMED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nserver: a\r\nx-last: 1\r\n\r\n";

/// Guards against an answer of 200 with an empty or short body after an upstream that stopped within the
/// head: at any byte, by a close or a reset, to a request with and without a body.
#[test]
fn an_answer_that_stops_within_its_head_is_never_a_success() {
    run(async {
        let close = [Close::InOrder, Close::Reset];
        for (head, close) in [(HEAD, close[0]), (HEAD, close[1]), (UNFRAMED_HEAD, close[0])] {
            for end in 1..head.len() {
                let address = start_upstream(&head[..end], close, false);
                let cluster = start_node(address).await;
                for req in [post("/counter/x"), get("/counter/x")] {
                    let body = if end % 2 == 0 { "x" } else { "" };
                    let resp = cluster.call(req, body).await;
                    let text = String::from_utf8_lossy(&head[..end]);
                    assert_eq!(resp.status(), StatusCode::BAD_GATEWAY, "{close:?}: {text:?}");
                    assert_eq!(field(&resp, headers::OUTCOME), "unknown", "{close:?}: {text:?}");
                }
                cluster.stop().await;
            }
        }
    });
}

/// Guards against the same for uploads that are still sent, and for heads behind an interim answer.
#[test]
fn an_upload_whose_answer_stops_within_its_head_is_never_a_success() {
    const INTERIM: &[u8] =
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n";
    run(async {
        for (answer, is_early) in [
            (&HEAD[..HEAD.len() - 2], true),
            (&HEAD[..30], true),
            (INTERIM, true),
            (INTERIM, false),
            (&UNFRAMED_HEAD[..UNFRAMED_HEAD.len() - 1], false),
        ] {
            let address = start_upstream(answer, Close::Reset, is_early);
            let cluster = start_node(address).await;
            let bytes = if is_early { UPLOAD_BYTES } else { 200 << 10 };
            let answered = upload(&cluster, bytes).await;
            let text = String::from_utf8_lossy(answer);
            assert!(!matches!(answered, Ok((StatusCode::OK, _))), "{text:?}: {answered:?}");
            cluster.stop().await;
        }
    });
}

/// Guards against answers of pipelined requests in the wrong order, or a success in the place of one
/// whose upstream stopped within its head.
#[test]
fn pipelined_requests_behind_a_cut_head_get_no_answer_of_another() {
    run(async {
        let address = start_upstream(&HEAD[..HEAD.len() - 2], Close::InOrder, false);
        let cluster = start_node(address).await;
        let caller = cluster.nodes[0].hub.settings.listen.caller;
        let mut stream = TcpStream::connect(caller).await.unwrap();
        let requests = "GET /counter/x HTTP/1.1\r\nhost: a\r\n\r\n".repeat(3)
            + "GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(requests.into_bytes()).await.0.unwrap();
        let (read, _writer) = stream.into_split();
        let mut reader = Reader::new(read);
        let mut statuses = Vec::new();
        for _ in 0..4 {
            let head = reader.response_head(&HeadLimits::DEFAULT).await.unwrap();
            let framing = response_framing(&head, &http::Method::GET).unwrap();
            reader.body(BodyDecoder::new(framing), usize::MAX).await.unwrap();
            statuses.push(head.status.as_u16());
        }
        assert_eq!(statuses, [502, 502, 502, 404]);
        cluster.stop().await;
    });
}
