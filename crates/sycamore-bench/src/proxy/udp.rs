//! Datagrams through the proxy: what a cut holds back is lost.

use super::{beside, Fault, Route, Tasks, Way};
use monoio::net::udp::UdpSocket;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 64 << 10;

pub(super) fn bind(listen: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(listen)
}

/// Passes datagrams on for ever. Each sender has a socket of its own towards the target, so that
/// answers find their way back.
pub(super) async fn serve(socket: UdpSocket, route: Route) {
    let socket = Rc::new(socket);
    let mut senders: HashMap<SocketAddr, Rc<UdpSocket>> = HashMap::new();
    let mut tasks = Tasks::new();
    loop {
        let received = beside(&mut tasks, socket.recv_from(vec![0; DATAGRAM_BYTES])).await;
        let (Ok((count, from)), mut datagram) = received else { continue };
        datagram.truncate(count);
        let far = match senders.get(&from) {
            Some(far) => far.clone(),
            None => {
                let any = SocketAddr::new(route.listen.ip(), 0);
                let Ok(far) = UdpSocket::bind(any).map(Rc::new) else { continue };
                senders.insert(from, far.clone());
                tasks.push(Box::pin(answers(far.clone(), socket.clone(), from, route.clone())));
                far
            }
        };
        tasks.push(Box::pin(pass(far, route.target, datagram, Way::There, route.clone())));
    }
}

async fn answers(far: Rc<UdpSocket>, near: Rc<UdpSocket>, to: SocketAddr, route: Route) {
    let mut late = Tasks::new();
    loop {
        let received = beside(&mut late, far.recv_from(vec![0; DATAGRAM_BYTES])).await;
        let (Ok((count, _)), mut datagram) = received else { continue };
        datagram.truncate(count);
        late.push(Box::pin(pass(near.clone(), to, datagram, Way::Back, route.clone())));
    }
}

async fn pass(socket: Rc<UdpSocket>, to: SocketAddr, datagram: Vec<u8>, way: Way, route: Route) {
    if let Fault::Delay(time) = route.link.fault() {
        monoio::time::sleep(time).await;
    }
    if !route.link.blocks(way) {
        let _ = socket.send_to(datagram, to).await;
    }
}
