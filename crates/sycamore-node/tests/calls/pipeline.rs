//! HTTP/1.1 pipelining: repeatable requests of one connection run concurrently and are answered in
//! order.

use super::world::{run, Cluster, Options};
use bytes::BytesMut;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::time::Duration;

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes().to_vec()).await.0.unwrap();
}

/// Reads until `count` answers have started or the connection ends.
async fn answers(stream: &mut TcpStream, count: usize) -> String {
    let mut all = String::new();
    while all.matches("HTTP/1.1 ").count() < count {
        let (read, buf) = stream.read(BytesMut::with_capacity(4 << 10)).await;
        if read.unwrap_or(0) == 0 {
            break;
        }
        all.push_str(&String::from_utf8_lossy(&buf));
    }
    all
}

fn get(path: &str) -> String {
    format!("GET /counter/{path} HTTP/1.1\r\nhost: any.example\r\n\r\n")
}

/// A slow GET must not delay the run of the GET after it, and the faster answer must wait for the
/// slower one.
#[test]
fn pipelined_gets_run_concurrently_and_are_answered_in_order() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let mut stream = TcpStream::connect(cluster.nodes[0].caller.address()).await.unwrap();
        send(&mut stream, &(get("wait") + &get("chunks"))).await;
        while cluster.runs("chunks") == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(cluster.runs("wait"), 1);
        cluster.nodes[0].upstream.release();
        let all = answers(&mut stream, 2).await;
        let (first, second) = (all.find("content-length: 0"), all.find("transfer-encoding"));
        assert!(first.is_some() && first < second, "{all}");
        cluster.stop().await;
    });
}

/// A POST started before the answer to an earlier request could have run although the connection
/// breaks, and the caller could not know whether to repeat it.
#[test]
fn a_post_waits_for_the_answers_to_earlier_requests() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let mut stream = TcpStream::connect(cluster.nodes[0].caller.address()).await.unwrap();
        let post = "POST /counter/echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
        send(&mut stream, &(get("wait") + post)).await;
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(cluster.runs("echo"), 0);
        cluster.nodes[0].upstream.release();
        let all = answers(&mut stream, 2).await;
        assert!(all.ends_with("body"), "{all}");
        cluster.stop().await;
    });
}

/// A disconnect must cancel every running call of the connection, not only the one to be answered
/// next.
#[test]
fn a_disconnect_cancels_all_pipelined_calls() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let mut stream = TcpStream::connect(cluster.nodes[0].caller.address()).await.unwrap();
        send(&mut stream, &(get("wait") + &get("wait"))).await;
        while cluster.runs("wait") < 2 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(stream);
        while cluster.nodes[0].upstream.cancelled() < 2 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        cluster.stop().await;
    });
}

/// A request with no or two host fields could be routed differently by different servers, and must
/// be refused.
#[test]
fn a_request_must_name_exactly_one_host() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        for hosts in ["", "host: a\r\nhost: b\r\n"] {
            let mut stream = TcpStream::connect(cluster.nodes[0].caller.address()).await.unwrap();
            send(&mut stream, &format!("GET /counter/echo HTTP/1.1\r\n{hosts}\r\n")).await;
            let answer = answers(&mut stream, 1).await;
            assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        }
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}
