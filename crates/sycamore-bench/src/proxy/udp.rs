//! Forwards UDP datagrams through the proxy; datagrams that a fault blocks are lost.

use super::{drive_until, Direction, Fault, Route, Tasks};
use monoio::net::udp::UdpSocket;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Size of the receive buffer, which holds the largest datagram.
const DATAGRAM_BYTES: usize = 64 << 10;

pub(super) fn bind(listen: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(listen)
}

/// Forwards datagrams until the future is dropped. Each sender gets its own socket towards the target,
/// so that answers can be returned to it.
pub(super) async fn serve(socket: UdpSocket, route: Route) {
    let socket = Rc::new(socket);
    let mut senders: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
    let mut tasks = Tasks::new();
    loop {
        let received = drive_until(&mut tasks, socket.recv_from(vec![0; DATAGRAM_BYTES])).await;
        let (Ok((count, from)), mut datagram) = received else { continue };
        datagram.truncate(count);
        let far = match senders.get(&from) {
            Some(far) => far.clone(),
            None => {
                let any = SocketAddr::new(route.listen.ip(), 0);
                let Ok(far) = UdpSocket::bind(any).map(Rc::new) else { continue };
                senders.insert(from, far.clone());
                tasks.push(Box::pin(forward_answers(
                    far.clone(),
                    socket.clone(),
                    from,
                    route.clone(),
                )));
                far
            }
        };
        tasks.push(Box::pin(forward(
            far,
            route.target,
            datagram,
            Direction::Forward,
            route.clone(),
        )));
    }
}

/// Forwards the datagrams that arrive at `far` back to the sender `to`.
async fn forward_answers(far: Rc<UdpSocket>, near: Rc<UdpSocket>, to: SocketAddr, route: Route) {
    let mut tasks = Tasks::new();
    loop {
        let received = drive_until(&mut tasks, far.recv_from(vec![0; DATAGRAM_BYTES])).await;
        let (Ok((count, _)), mut datagram) = received else { continue };
        datagram.truncate(count);
        tasks.push(Box::pin(forward(near.clone(), to, datagram, Direction::Return, route.clone())));
    }
}

/// Sends a datagram after the link's delay, or drops it if a fault blocks its direction then.
async fn forward(
    socket: Rc<UdpSocket>,
    to: SocketAddr,
    datagram: Vec<u8>,
    direction: Direction,
    route: Route,
) {
    if let Fault::Delay(time) = route.link.fault() {
        monoio::time::sleep(time).await;
    }
    if !route.link.blocks(direction) {
        let _ = socket.send_to(datagram, to).await;
    }
}
