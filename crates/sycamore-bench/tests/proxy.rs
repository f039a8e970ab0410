//! Faults of the proxy: each disturbs traffic while it is set, and only then.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_bench::proxy::{Direction, Fault, Link, Proxy, Route, Transport};
use sycamore_testing::unused_addr;

/// Delay that faults add, and wait for an echo that must not arrive.
const SHORT_TIME: Duration = Duration::from_millis(150);
/// Longest wait for an echo that must arrive.
const ECHO_LIMIT: Duration = Duration::from_secs(5);

/// Proxy before an echo server, with the link that its faults are set on.
struct Setup {
    link: Arc<Link>,
    front: SocketAddr,
    _proxy: Proxy,
}

/// Starts a server that echoes TCP connections and UDP datagrams, and a proxy before it.
fn setup() -> Setup {
    let echo = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = echo.local_addr().expect("an address");
    let datagrams = UdpSocket::bind(target).expect("the port is free for datagrams");
    std::thread::spawn(move || {
        for mut stream in echo.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buf = [0; 64];
                while let Ok(count @ 1..) = stream.read(&mut buf) {
                    if stream.write_all(&buf[..count]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    std::thread::spawn(move || {
        let mut buf = [0; 64];
        while let Ok((count, from)) = datagrams.recv_from(&mut buf) {
            let _ = datagrams.send_to(&buf[..count], from);
        }
    });
    let (link, front) = (Arc::<Link>::default(), unused_addr());
    let route = |transport| Route { transport, listen: front, target, link: link.clone() };
    let routes = vec![route(Transport::Tcp), route(Transport::Udp)];
    Setup { link: link.clone(), front, _proxy: Proxy::start(routes).expect("the proxy can listen") }
}

impl Setup {
    fn open(&self) -> TcpStream {
        TcpStream::connect(self.front).expect("the proxy accepts")
    }
}

/// Sends four bytes and waits for their echo; an error if it has not arrived within `limit`.
fn echoes(stream: &mut TcpStream, limit: Duration) -> Result<(), ErrorKind> {
    stream.set_read_timeout(Some(limit)).expect("a limit");
    stream.write_all(b"word").map_err(|e| e.kind())?;
    let mut word = [0; 4];
    stream.read_exact(&mut word).map_err(|e| e.kind())
}

/// Guards against a cut that drops bytes of a connection, which TCP would deliver after the cut.
#[test]
fn bytes_held_back_by_a_cut_arrive_when_it_ends() {
    for fault in [Fault::Cut(Direction::Forward), Fault::Cut(Direction::Return), Fault::Silence] {
        let setup = setup();
        let mut stream = setup.open();
        assert_eq!(echoes(&mut stream, ECHO_LIMIT), Ok(()));
        setup.link.set(fault);
        assert_eq!(echoes(&mut stream, SHORT_TIME), Err(ErrorKind::WouldBlock), "{fault:?}");
        setup.link.set(Fault::None);
        let mut late = [0; 4];
        stream.set_read_timeout(Some(ECHO_LIMIT)).expect("a limit");
        assert!(stream.read_exact(&mut late).is_ok(), "{fault:?}");
    }
}

#[test]
fn a_delay_applies_in_both_directions() {
    let setup = setup();
    let mut stream = setup.open();
    setup.link.set(Fault::Delay(SHORT_TIME));
    let begun = Instant::now();
    assert_eq!(echoes(&mut stream, ECHO_LIMIT), Ok(()));
    assert!(begun.elapsed() >= 2 * SHORT_TIME, "{:?}", begun.elapsed());
}

#[test]
fn a_reset_ends_open_connections_and_new_ones_work() {
    let setup = setup();
    let mut stream = setup.open();
    assert_eq!(echoes(&mut stream, ECHO_LIMIT), Ok(()));
    setup.link.reset();
    let ended = stream.read(&mut [0; 4]);
    assert_eq!(ended.map_err(|e| e.kind()), Err(ErrorKind::ConnectionReset));
    assert_eq!(echoes(&mut setup.open(), ECHO_LIMIT), Ok(()));
}

/// Guards against a muted connection that passes data again once another connection was opened.
#[test]
fn muted_connections_stay_silent_and_new_ones_work() {
    let setup = setup();
    let mut stream = setup.open();
    assert_eq!(echoes(&mut stream, ECHO_LIMIT), Ok(()));
    setup.link.mute();
    assert_eq!(echoes(&mut stream, SHORT_TIME), Err(ErrorKind::WouldBlock));
    assert_eq!(echoes(&mut setup.open(), ECHO_LIMIT), Ok(()));
    assert_eq!(echoes(&mut stream, SHORT_TIME), Err(ErrorKind::WouldBlock));
}

#[test]
fn datagrams_are_answered_to_their_sender_and_lost_in_a_cut() {
    let setup = setup();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let echoes = |limit| {
        socket.set_read_timeout(Some(limit)).expect("a limit");
        socket.send_to(b"word", setup.front).expect("the datagram can be sent");
        socket.recv(&mut [0; 4]).is_ok()
    };
    assert!(echoes(ECHO_LIMIT));
    setup.link.set(Fault::Cut(Direction::Return));
    assert!(!echoes(SHORT_TIME));
    setup.link.set(Fault::None);
    assert!(echoes(ECHO_LIMIT));
}
