//! A proxy between the processes of a fleet, on a thread of its own, that disturbs what passes.

mod link;
mod tcp;
mod udp;

pub use link::{Fault, Link, Way};

use crate::{BenchError, Result};
use error_stack::ResultExt;
use futures::future::{join_all, select, Either, LocalBoxFuture};
use futures::stream::{FuturesUnordered, StreamExt};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two looks at what the harness has asked for.
const LOOK: Duration = Duration::from_millis(10);

/// What a route carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// Connections.
    Tcp,
    /// Datagrams.
    Udp,
}

/// One address that the proxy stands in for.
#[derive(Debug, Clone)]
pub struct Route {
    /// What it carries.
    pub transport: Transport,
    /// Where the proxy listens.
    pub listen: SocketAddr,
    /// Where it passes on to.
    pub target: SocketAddr,
    /// How it is disturbed.
    pub link: Arc<Link>,
}

/// A running proxy; it ends when dropped.
#[derive(Debug)]
pub struct Proxy {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens at all `routes`.
    ///
    /// # Errors
    /// [`BenchError::Io`] where an address can't be listened at.
    pub fn start(routes: Vec<Route>) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, (tx, rx)) = (stop.clone(), std::sync::mpsc::channel());
        let thread = std::thread::spawn(move || {
            crate::http::run(async {
                let opened: std::io::Result<Vec<_>> = routes.into_iter().map(serve).collect();
                let (serving, told) = match opened {
                    Ok(serving) => (serving, Ok(())),
                    Err(error) => (Vec::new(), Err(error)),
                };
                // The harness has gone where nobody hears it.
                let _ = tx.send(told);
                let stop = async {
                    while !stopped.load(Ordering::Relaxed) {
                        monoio::time::sleep(LOOK).await;
                    }
                };
                select(pin!(join_all(serving)), pin!(stop)).await;
            });
        });
        let proxy = Self { stop, thread: Some(thread) };
        let told = rx.recv().unwrap_or_else(|_| Err(std::io::ErrorKind::BrokenPipe.into()));
        told.change_context_lazy(|| BenchError::Io("listen for the proxy".into()))?;
        Ok(proxy)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(route: Route) -> std::io::Result<LocalBoxFuture<'static, ()>> {
    Ok(match route.transport {
        Transport::Tcp => Box::pin(tcp::serve(tcp::listen(&route)?, route)),
        Transport::Udp => Box::pin(udp::serve(udp::bind(route.listen)?, route)),
    })
}

/// What one listener has under way.
type Tasks = FuturesUnordered<LocalBoxFuture<'static, ()>>;

/// Waits for `what` while `tasks` go on.
async fn beside<T>(tasks: &mut Tasks, what: impl Future<Output = T>) -> T {
    let go_on = async {
        while tasks.next().await.is_some() {}
        std::future::pending::<T>().await
    };
    match select(pin!(what), pin!(go_on)).await {
        Either::Left((done, _)) | Either::Right((done, _)) => done,
    }
}
