//! Connections through the proxy.

use super::{beside, Link, Route, Tasks, Way};
use futures::future::{join, select};
use monoio::buf::IoBuf;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use nix::libc;
use nix::sys::socket::{setsockopt, sockopt};
use std::io;
use std::os::fd::AsRawFd;
use std::pin::pin;

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

pub(super) fn listen(route: &Route) -> io::Result<TcpListener> {
    TcpListener::bind(route.listen)
}

/// Passes connections on for ever.
pub(super) async fn serve(listener: TcpListener, route: Route) {
    let mut open = Tasks::new();
    loop {
        if let Ok((stream, _)) = beside(&mut open, listener.accept()).await {
            let route = route.clone();
            open.push(Box::pin(async move { connection(stream, &route).await }));
        }
    }
}

async fn connection(near: TcpStream, route: &Route) {
    let Ok(far) = TcpStream::connect(route.target).await else {
        // Whoever connects learns it as from the process itself.
        let _ = abort(&near);
        return;
    };
    let link = &*route.link;
    let number = link.open();
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near, mut far) = (near.into_split(), far.into_split());
    let ended = join(
        pump(link, number, Way::There, &mut near.0, &mut far.1),
        pump(link, number, Way::Back, &mut far.0, &mut near.1),
    );
    let reset = matches!(
        select(pin!(ended), pin!(link.is_reset(number))).await,
        futures::future::Either::Right(_)
    );
    if reset {
        // Dropped as two halves, a connection would be closed in order.
        for (read, write) in [near, far] {
            if let Ok(stream) = read.reunite(write) {
                let _ = abort(&stream);
            }
        }
    }
}

async fn pump(
    link: &Link,
    number: u64,
    way: Way,
    from: &mut impl AsyncReadRent,
    to: &mut impl AsyncWriteRent,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let (read, chunk) = from.read(buf).await;
        let count = read.unwrap_or(0);
        link.pass(number, way).await;
        if count == 0 {
            break;
        }
        let (written, sent) = to.write_all(chunk.slice(..count)).await;
        if written.is_err() {
            return;
        }
        buf = sent.into_inner();
    }
    let _ = to.shutdown().await;
}

/// Has the close of `stream` reset the connection.
fn abort(stream: &TcpStream) -> io::Result<()> {
    let at_once = libc::linger { l_onoff: 1, l_linger: 0 };
    Ok(setsockopt(stream.as_raw_fd(), sockopt::Linger, &at_once)?)
}
