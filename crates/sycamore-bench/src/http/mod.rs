//! HTTP/1.1 client and server for stand-ins and load: hyper on monoio's epoll driver.

mod client;
mod server;

pub use client::{request, Client, Exchange, ExchangeError};
pub use server::{json, serve, text, Answer, Break, Listener, Reply, ServeOptions};

use monoio::{LegacyDriver, Runtime, RuntimeBuilder};

/// Runs `future` to completion on a new event loop on this thread.
///
/// # Panics
/// Panics if the operating system refuses an epoll instance.
pub fn run<F: std::future::Future>(future: F) -> F::Output {
    runtime().block_on(future)
}

fn runtime() -> Runtime<monoio::time::TimeDriver<LegacyDriver>> {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the operating system provides an epoll instance")
}
