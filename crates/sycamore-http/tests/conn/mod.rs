//! Messages over loopback.

mod client;
mod relay;
mod server;

use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::future::Future;

/// Runs `test` on a runtime of its own, with the driver that the daemon uses.
pub fn run<F: Future>(test: F) -> F::Output {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime starts");
    runtime.block_on(test)
}

/// Both ends of a loopback connection.
pub async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let near = TcpStream::connect(address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    near.set_nodelay(true).unwrap();
    far.set_nodelay(true).unwrap();
    (near, far)
}
