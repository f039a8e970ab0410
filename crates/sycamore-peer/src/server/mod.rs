//! The peer listener: accepts connections within limits and hands each call to the loop that
//! answers it.

mod service;

pub use service::{Call, Evidence, Inbox, Objects, Server};

use crate::io::Counted;
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
use tonic::body::Body;

/// Metadata that names the calling instance.
pub const FROM_HEADER: &str = "x-shift-from";
/// Flow control window of a stream and of a connection, in bytes.
pub(crate) const HTTP2_WINDOW_BYTES: u32 = 128 << 10;
/// Bytes buffered for sending per stream.
pub(crate) const HTTP2_BUFFER_BYTES: usize = 32 << 10;
/// Calls under way on one connection.
const HTTP2_STREAMS: u32 = 16;
/// Bytes of headers of one call.
const HTTP2_HEADER_BYTES: u32 = 4 << 10;

/// Limits of the peer listener.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Connections open at once; more are closed at once and counted.
    pub connections: usize,
    /// Connections accepted per second, after a burst of as many.
    pub accepts_per_s: u32,
    /// Connections without traffic for this long are closed.
    pub idle: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self { connections: 128, accepts_per_s: 64, idle: Duration::from_secs(60) }
    }
}

/// Accepts connections on `listener` until `stop` completes, then ends and joins all of them.
pub async fn serve(
    listener: TcpListener,
    server: Server,
    options: ServerOptions,
    stop: impl Future<Output = ()> + 'static,
) {
    let stop = stop.boxed_local().shared();
    let mut accepted = Accepted::new(options);
    loop {
        let stream = monoio::select! {
            () = stop.clone() => break,
            accepted = listener.accept() => accepted,
        };
        match stream {
            Ok((stream, _)) if accepted.admit() => accepted.spawn(stream, &server, stop.clone()),
            Ok(_) => server.counters().add_connections_refused(1),
            // Out of descriptors, or the caller has gone: pause, so as not to spin.
            Err(_) => monoio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    for connection in accepted.connections {
        connection.await;
    }
}

/// The connections under way, and how many more may come.
struct Accepted {
    options: ServerOptions,
    connections: Vec<JoinHandle<()>>,
    tokens: f64,
    refilled: Instant,
}

impl Accepted {
    fn new(options: ServerOptions) -> Self {
        let tokens = f64::from(options.accepts_per_s);
        Self { options, connections: Vec::new(), tokens, refilled: Instant::now() }
    }

    /// Whether one more connection fits the limits.
    fn admit(&mut self) -> bool {
        self.connections.retain(|connection| !connection.is_finished());
        let rate = f64::from(self.options.accepts_per_s);
        let gained = self.refilled.elapsed().as_secs_f64() * rate;
        self.refilled = Instant::now();
        self.tokens = (self.tokens + gained).min(rate);
        if self.connections.len() >= self.options.connections || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn spawn(
        &mut self,
        stream: TcpStream,
        server: &Server,
        stop: Shared<impl Future<Output = ()> + 'static>,
    ) {
        let counters = server.counters().clone();
        counters.add_connections_in(1);
        let idle = self.options.idle;
        let connection = connection(stream, server.clone(), counters, idle, stop);
        self.connections.push(monoio::spawn(connection));
    }
}

async fn connection(
    stream: TcpStream,
    server: Server,
    counters: Arc<Counters>,
    idle: Duration,
    stop: Shared<impl Future<Output = ()>>,
) {
    let Ok(()) = stream.set_nodelay(true) else { return };
    let Ok(stream) = stream.into_poll_io() else { return };
    let active = Rc::new(Cell::new(true));
    let io = MonoioIo::new(Counted::new(stream, counters, active.clone()));
    let service = PeerServer::new(server)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let service = TowerToHyperService::new(service);
    let serving = hyper::server::conn::http2::Builder::new(MonoioExecutor)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_send_buf_size(HTTP2_BUFFER_BYTES)
        .max_concurrent_streams(HTTP2_STREAMS)
        .max_header_list_size(HTTP2_HEADER_BYTES)
        .auto_date_header(false)
        .serve_connection::<_, _, Body>(io, service);
    monoio::select! {
        _ = serving => {}
        () = stop => {}
        () = watch_idle(&active, idle) => {}
    }
}

/// Completes once no bytes have arrived for `idle`.
async fn watch_idle(active: &Cell<bool>, idle: Duration) {
    while active.replace(false) {
        monoio::time::sleep(idle).await;
    }
}
