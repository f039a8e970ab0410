//! Several requests on one connection: those that may be repeated run side by side, and answers come
//! in order.

use super::world::{run, Options, World};
use bytes::BytesMut;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::time::Duration;

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes().to_vec()).await.0.unwrap();
}

/// Reads until `count` answers have begun or the connection ends.
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

#[test]
fn a_later_request_does_not_wait_for_the_one_before() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let mut stream = TcpStream::connect(world.nodes[0].caller.address()).await.unwrap();
        send(&mut stream, &(get("wait") + &get("chunks"))).await;
        while world.runs("chunks") == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(world.runs("wait"), 1);
        world.nodes[0].upstream.release();
        let all = answers(&mut stream, 2).await;
        let (first, second) = (all.find("content-length: 0"), all.find("transfer-encoding"));
        assert!(first.is_some() && first < second, "{all}");
        world.stop().await;
    });
}

#[test]
fn a_request_that_may_not_be_repeated_has_the_connection_to_itself() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let mut stream = TcpStream::connect(world.nodes[0].caller.address()).await.unwrap();
        let post = "POST /counter/echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
        send(&mut stream, &(get("wait") + post)).await;
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(world.runs("echo"), 0);
        world.nodes[0].upstream.release();
        let all = answers(&mut stream, 2).await;
        assert!(all.ends_with("body"), "{all}");
        world.stop().await;
    });
}

#[test]
fn a_caller_that_leaves_cancels_all_that_it_asked_for() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let mut stream = TcpStream::connect(world.nodes[0].caller.address()).await.unwrap();
        send(&mut stream, &(get("wait") + &get("wait"))).await;
        while world.runs("wait") < 2 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(stream);
        while world.nodes[0].upstream.cancelled() < 2 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        world.stop().await;
    });
}

#[test]
fn a_request_must_name_exactly_one_host() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        for hosts in ["", "host: a\r\nhost: b\r\n"] {
            let mut stream = TcpStream::connect(world.nodes[0].caller.address()).await.unwrap();
            send(&mut stream, &format!("GET /counter/echo HTTP/1.1\r\n{hosts}\r\n")).await;
            let answer = answers(&mut stream, 1).await;
            assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        }
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}
