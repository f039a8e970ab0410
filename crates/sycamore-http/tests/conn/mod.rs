//! Tests of reading, relaying, serving and calling over loopback connections.

mod client;
mod relay;
mod server;
mod turn;

use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::future::Future;

/// Runs `test` on a new runtime with the driver that the daemon uses.
pub fn run<F: Future>(test: F) -> F::Output {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime starts");
    runtime.block_on(test)
}

/// Opens a loopback connection and returns both ends.
pub async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let near = TcpStream::connect(address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    near.set_nodelay(true).unwrap();
    far.set_nodelay(true).unwrap();
    (near, far)
}
