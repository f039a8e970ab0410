//! Forwards TCP connections through the proxy.

use super::{drive_until, Direction, Link, Route, Tasks};
use futures::future::{join, select};
use monoio::buf::IoBuf;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use nix::libc;
use nix::sys::socket::{setsockopt, sockopt};
use std::io;
use std::os::fd::AsRawFd;
use std::pin::pin;

/// Largest number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

pub(super) fn listen(route: &Route) -> io::Result<TcpListener> {
    TcpListener::bind(route.listen)
}

/// Accepts and forwards connections until the future is dropped.
pub(super) async fn serve(listener: TcpListener, route: Route) {
    let mut open = Tasks::new();
    loop {
        if let Ok((stream, _)) = drive_until(&mut open, listener.accept()).await {
            let route = route.clone();
            open.push(Box::pin(async move { connection(stream, &route).await }));
        }
    }
}

async fn connection(near: TcpStream, route: &Route) {
    let Ok(far) = TcpStream::connect(route.target).await else {
        // A reset tells the connecting process about the failure as the target itself would.
        let _ = abort(&near);
        return;
    };
    let link = &*route.link;
    let number = link.next_number();
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near, mut far) = (near.into_split(), far.into_split());
    let ended = join(
        forward(link, number, Direction::Forward, &mut near.0, &mut far.1),
        forward(link, number, Direction::Return, &mut far.0, &mut near.1),
    );
    let reset = matches!(
        select(pin!(ended), pin!(link.wait_for_reset(number))).await,
        futures::future::Either::Right(_)
    );
    if reset {
        // Dropping the two halves would close the connection in order instead of resetting it.
        for (read, write) in [near, far] {
            if let Ok(stream) = read.reunite(write) {
                let _ = abort(&stream);
            }
        }
    }
}

/// Forwards one direction of connection `number` chunk by chunk, until `from` is closed or `to` fails.
async fn forward(
    link: &Link,
    number: u64,
    direction: Direction,
    from: &mut impl AsyncReadRent,
    to: &mut impl AsyncWriteRent,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let (read, chunk) = from.read(buf).await;
        let count = read.unwrap_or(0);
        link.wait_to_pass(number, direction).await;
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

/// Sets `stream` to be reset when it is closed.
fn abort(stream: &TcpStream) -> io::Result<()> {
    let reset = libc::linger { l_onoff: 1, l_linger: 0 };
    Ok(setsockopt(stream.as_raw_fd(), sockopt::Linger, &reset)?)
}
