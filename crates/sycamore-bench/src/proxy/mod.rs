//! Fault-injecting TCP and UDP proxy between the processes of a fleet, on its own thread.

mod link;
mod tcp;
mod udp;

pub use link::{Direction, Fault, Link};

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

/// Time between two checks of requests from the harness: faults, resets and the proxy's end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Transport protocol of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// TCP: each connection is forwarded over a connection to the target.
    Tcp,
    /// UDP: each datagram is forwarded by itself.
    Udp,
}

/// Forwarding rule of the proxy from an address to a target.
#[derive(Debug, Clone)]
pub struct Route {
    /// Transport protocol of the forwarded traffic.
    pub transport: Transport,
    /// Address at which the proxy listens.
    pub listen: SocketAddr,
    /// Address that the proxy forwards to.
    pub target: SocketAddr,
    /// Link that holds the faults of this route; routes may share one.
    pub link: Arc<Link>,
}

/// Running proxy; dropping it ends its thread and closes all connections through it.
#[derive(Debug)]
pub struct Proxy {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy that forwards along all `routes`.
    ///
    /// # Errors
    /// [`BenchError::Io`] if the proxy can't listen at one of the routes' addresses.
    pub fn start(routes: Vec<Route>) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, (tx, rx)) = (stop.clone(), std::sync::mpsc::channel());
        let thread = std::thread::spawn(move || {
            crate::http::run(async {
                let opened: std::io::Result<Vec<_>> = routes.into_iter().map(serve).collect();
                let (serving, result) = match opened {
                    Ok(serving) => (serving, Ok(())),
                    Err(error) => (Vec::new(), Err(error)),
                };
                // The send fails only if the harness has panicked and dropped the receiver.
                let _ = tx.send(result);
                let stop = async {
                    while !stopped.load(Ordering::Relaxed) {
                        monoio::time::sleep(POLL_INTERVAL).await;
                    }
                };
                select(pin!(join_all(serving)), pin!(stop)).await;
            });
        });
        let proxy = Self { stop, thread: Some(thread) };
        let result = rx.recv().unwrap_or_else(|_| Err(std::io::ErrorKind::BrokenPipe.into()));
        result.change_context_lazy(|| BenchError::Io("listen at the proxy's addresses".into()))?;
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

/// Listens at the route's address and returns the future that forwards its traffic.
fn serve(route: Route) -> std::io::Result<LocalBoxFuture<'static, ()>> {
    Ok(match route.transport {
        Transport::Tcp => Box::pin(tcp::serve(tcp::listen(&route)?, route)),
        Transport::Udp => Box::pin(udp::serve(udp::bind(route.listen)?, route)),
    })
}

/// Concurrent tasks of a listener, such as its open connections.
type Tasks = FuturesUnordered<LocalBoxFuture<'static, ()>>;

/// Returns the output of `future`, and drives `tasks` until then.
async fn drive_until<T>(tasks: &mut Tasks, future: impl Future<Output = T>) -> T {
    let drive = async {
        while tasks.next().await.is_some() {}
        std::future::pending::<T>().await
    };
    match select(pin!(future), pin!(drive)).await {
        Either::Left((output, _)) | Either::Right((output, _)) => output,
    }
}
