//! Peer listener: accepts connections of other nodes within limits and queues their calls in the
//! [`Inbox`].

mod service;

pub use service::{Call, Evidence, FetchRequest, Fetched, Inbox, Objects, Server};

use crate::io::CountedStream;
use crate::limits::MAX_MESSAGE_BYTES;
use crate::proto::peer_server::PeerServer;
use crate::Counters;
use futures::future::{FutureExt, Shared};
use hyper_util::service::TowerToHyperService;
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio::task::JoinHandle;
use monoio_compat::hyper::{MonoioExecutor, MonoioIo};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_http::conn::Turn;
use tonic::body::Body;

/// Header (gRPC metadata key) that names the calling instance.
pub const FROM_HEADER: &str = "x-shift-from";
/// HTTP/2 flow control window of a stream and of a connection, in bytes.
pub(crate) const HTTP2_WINDOW_BYTES: u32 = 128 << 10;
/// Largest number of bytes buffered for sending per HTTP/2 stream.
pub(crate) const HTTP2_SEND_BUFFER_BYTES: usize = 32 << 10;
/// Largest number of concurrent calls on one connection.
const MAX_HTTP2_STREAMS: u32 = 16;
/// Largest size of the headers of one call, in bytes.
const MAX_HTTP2_HEADER_BYTES: u32 = 4 << 10;
/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Limits of the peer listener.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Largest number of open connections; further ones are closed on arrival and counted.
    pub connections: usize,
    /// Largest number of connections accepted per second, and in one burst; further ones are closed
    /// on arrival and counted.
    pub accepts_per_s: u32,
    /// Time without received bytes after which a connection is closed. It is checked once per
    /// period, so that a connection may stay open for up to twice as long.
    pub idle: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self { connections: 128, accepts_per_s: 64, idle: Duration::from_secs(60) }
    }
}

/// Accepts connections on `listener` until `stop` completes, then closes all connections and waits
/// until their tasks have ended.
pub async fn serve(
    listener: TcpListener,
    server: Server,
    options: ServerOptions,
    stop: impl Future<Output = ()> + 'static,
) {
    let stop = stop.boxed_local().shared();
    let mut connections = Connections::new(options);
    let mut turn = Turn::default();
    loop {
        turn.give_way_if_due().await;
        let stream = monoio::select! {
            () = stop.clone() => break,
            accepted = turn.run(listener.accept()) => accepted,
        };
        match stream {
            Ok((stream, _)) if connections.admit() => {
                connections.spawn(stream, &server, stop.clone())
            }
            Ok(_) => server.counters().add_connections_refused(1),
            // Accepting fails where the process is out of file descriptors or the caller has closed
            // the connection; without a pause, a lasting failure would be a busy loop.
            Err(_) => monoio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
    for task in connections.tasks {
        task.await;
    }
}

/// Open connections and the token bucket that limits the rate of new ones.
struct Connections {
    options: ServerOptions,
    tasks: Vec<JoinHandle<()>>,
    tokens: f64,
    refilled_at: Instant,
}

impl Connections {
    fn new(options: ServerOptions) -> Self {
        let tokens = f64::from(options.accepts_per_s);
        Self { options, tasks: Vec::new(), tokens, refilled_at: Instant::now() }
    }

    /// Takes a token for a new connection; returns whether the connection is within the limits.
    fn admit(&mut self) -> bool {
        self.tasks.retain(|task| !task.is_finished());
        let rate = f64::from(self.options.accepts_per_s);
        let refill = self.refilled_at.elapsed().as_secs_f64() * rate;
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + refill).min(rate);
        if self.tasks.len() >= self.options.connections || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Starts the task that serves an accepted connection.
    fn spawn(
        &mut self,
        stream: TcpStream,
        server: &Server,
        stop: Shared<impl Future<Output = ()> + 'static>,
    ) {
        let counters = server.counters().clone();
        counters.add_connections_in(1);
        let idle = self.options.idle;
        let serving = serve_connection(stream, server.clone(), counters, idle, stop);
        self.tasks.push(monoio::spawn(serving));
    }
}

/// Serves one connection until it ends, has received no bytes for `idle`, or `stop` completes.
async fn serve_connection(
    stream: TcpStream,
    server: Server,
    counters: Arc<Counters>,
    idle: Duration,
    stop: Shared<impl Future<Output = ()>>,
) {
    let Ok(()) = stream.set_nodelay(true) else { return };
    let Ok(stream) = stream.into_poll_io() else { return };
    let latest_read = Rc::new(Cell::new(Some(Instant::now())));
    let io = MonoioIo::new(CountedStream::new(stream, counters, latest_read.clone()));
    let service = PeerServer::new(server)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let service = TowerToHyperService::new(service);
    let serving = hyper::server::conn::http2::Builder::new(MonoioExecutor)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES)
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .max_header_list_size(MAX_HTTP2_HEADER_BYTES)
        .auto_date_header(false)
        .serve_connection::<_, _, Body>(io, service);
    monoio::select! {
        _ = serving => {}
        () = stop => {}
        () = wait_until_idle(&latest_read, idle) => {}
    }
}

/// Completes when no bytes have arrived during a whole period of `idle`; reads set `latest_read`.
async fn wait_until_idle(latest_read: &Cell<Option<Instant>>, idle: Duration) {
    while latest_read.take().is_some() {
        monoio::time::sleep(idle).await;
    }
}
