//! HTTP/1.1 server for operators, with hyper on monoio.

use super::answer::{answer, json, Answer};
use super::queries::Arguments;
use super::{access, commands, queries, OperatorError};
use crate::hub::Phase;
use crate::listen;
use crate::run::Node;
use crate::tasks::TaskGroup;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::MonoioIo;
use prometheus::{Encoder, TextEncoder};
use slog::warn;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_config::manifest::MAX_PACK_BYTES;
use sycamore_http::conn::{Polled, Turn};

/// Largest accepted body of a command, in bytes: a configuration of the largest size.
const MAX_BODY_BYTES: usize = MAX_PACK_BYTES;
/// Largest accepted request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of connections served concurrently; further ones are closed.
const MAX_CONNECTIONS: usize = 64;
/// Lifetime of a connection, after which it is closed.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Error of [`start`]: the address can't be bound.
#[derive(Debug)]
pub struct ListenError(SocketAddr);

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the operators' listener can't bind {}", self.0)
    }
}

impl std::error::Error for ListenError {}

/// Binds the operators' address and serves requests until `tasks` stop.
///
/// # Errors
/// `ListenError` if the address can't be bound.
pub async fn start(node: Rc<Node>, tasks: &TaskGroup) -> Result<(), Report<ListenError>> {
    let addr = node.hub.settings.listen.operator;
    let listener = listen::bind(addr).change_context(ListenError(addr))?;
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        let connections = Rc::new(TaskGroup::default());
        stop.or(accept(listener, node, connections.clone())).await;
        connections.stop();
        connections.join().await;
    });
    Ok(())
}

async fn accept(listener: TcpListener, node: Rc<Node>, connections: Rc<TaskGroup>) {
    let mut turn = Turn::default();
    loop {
        turn.give_way_if_due().await;
        match turn.run(listener.accept()).await {
            Ok((stream, _)) if connections.live() < MAX_CONNECTIONS => {
                let node = node.clone();
                connections.spawn_until_stop(async move {
                    let served = serve_connection(stream, node);
                    let _ = monoio::time::timeout(CONNECTION_TIMEOUT, served).await;
                });
            }
            Ok(_) => warn!(node.hub.log, "operator connection refused"; "limit" => MAX_CONNECTIONS),
            Err(error) => {
                warn!(node.hub.log, "operator connection could not be accepted"; "error" => %error);
                monoio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, node: Rc<Node>) {
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(|req| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handle(&node, req).await) }
    });
    let served = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(MonoioIo::new(Polled::new(stream)), service)
        .await;
    if let Err(error) = served {
        slog::debug!(node.hub.log, "operator connection broken"; "error" => %error);
    }
}

async fn handle(node: &Node, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/live") => answer(StatusCode::OK, "text/plain", "live\n"),
        (&Method::GET, "/ready") => ready(node),
        (&Method::GET, "/metrics") => metrics(node),
        (&Method::GET, path) => match path.strip_prefix("/v1/queries/") {
            Some(name) => json(query(node, name, &req).await),
            None => json(Err(OperatorError::NotFound(format!("path {path:?}")))),
        },
        (&Method::POST, path) => match path.strip_prefix("/v1/commands/") {
            Some(name) => json(command(node, name, req).await),
            None => json(Err(OperatorError::NotFound(format!("path {path:?}")))),
        },
        (method, path) => json(Err(OperatorError::NotFound(format!("{method} {path:?}")))),
    }
}

fn ready(node: &Node) -> Answer {
    match node.hub.phase() {
        Phase::Ready => answer(StatusCode::OK, "text/plain", "ready\n"),
        phase => {
            let body = format!("{}\n", format!("{phase:?}").to_lowercase());
            answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", body)
        }
    }
}

fn metrics(node: &Node) -> Answer {
    let mut body = Vec::new();
    match TextEncoder::new().encode(&node.hub.registry.gather(), &mut body) {
        Ok(()) => answer(StatusCode::OK, "text/plain; version=0.0.4", body),
        Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", format!("{error}\n")),
    }
}

async fn query(
    node: &Node,
    name: &str,
    req: &Request<Incoming>,
) -> Result<serde_json::Value, OperatorError> {
    access::authorize_query(&node.hub.settings.operator, req.headers())?;
    queries::run(node, name, &parse_arguments(req.uri().query().unwrap_or_default())).await
}

async fn command(
    node: &Node,
    name: &str,
    req: Request<Incoming>,
) -> Result<serde_json::Value, OperatorError> {
    access::authorize_command(&node.hub.settings.operator, req.headers())?;
    let body = read_body(req.into_body()).await?;
    commands::run(node, name, &body).await
}

async fn read_body(body: Incoming) -> Result<Bytes, OperatorError> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(OperatorError::bad_input(format!(
            "the request body can't be read: {error}; at most {MAX_BODY_BYTES} bytes are accepted"
        ))),
    }
}

/// Splits a query string without unescaping: identifiers hold no character that needs an escape.
fn parse_arguments(query: &str) -> Arguments {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}
