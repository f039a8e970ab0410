//! HTTP client for the operator listener of nodes.

use crate::args::Options;
use crate::error::CliError;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{header, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use serde::Deserialize;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Longest time from connecting to a node to its whole response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Operator port on the local host that is used where no node is given.
const DEFAULT_PORT: u16 = 7404;

/// Client that sends queries and commands to the nodes given on the command line.
pub struct Client {
    nodes: Vec<SocketAddr>,
    token: String,
}

/// Body of a node's error response.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
    #[serde(default)]
    faults: Vec<String>,
    #[serde(default)]
    winner: String,
}

impl Client {
    /// Creates a client for the nodes in `options`, or the local node where there are none, with
    /// the token of the token file or of `SYCAMORESHIFT_TOKEN`.
    ///
    /// # Errors
    /// [`CliError::BadInput`] where the token file can't be read.
    pub fn new(options: &Options) -> Result<Self, Report<CliError>> {
        let token = match &options.token_file {
            None => std::env::var("SYCAMORESHIFT_TOKEN").unwrap_or_default(),
            Some(file) => std::fs::read_to_string(file).change_context_lazy(|| {
                CliError::bad_input(format!("can't read the token file {file:?}"))
            })?,
        };
        let nodes = match options.nodes.is_empty() {
            true => vec![SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT))],
            false => options.nodes.clone(),
        };
        Ok(Self { nodes, token: token.trim().to_owned() })
    }

    /// Returns the operator addresses of the nodes, at least one.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Sends a query to one node after another until one responds with a result or an error other
    /// than [`CliError::Failed`].
    ///
    /// # Errors
    /// [`CliError`] of that response, or of the last node where all failed.
    pub async fn query(&self, path_and_query: &str) -> Result<Value, Report<CliError>> {
        let mut last = None;
        for node in &self.nodes {
            match self.query_node(*node, path_and_query).await {
                Err(report) if matches!(report.current_context(), CliError::Failed(_)) => {
                    last = Some(report);
                }
                result => return result,
            }
        }
        Err(last.unwrap_or_else(|| Report::new(CliError::bad_input("no node is given"))))
    }

    /// Sends a query to one node.
    ///
    /// # Errors
    /// [`CliError`] of the node's response, or [`CliError::Failed`] where it doesn't respond in
    /// time.
    pub async fn query_node(
        &self,
        node: SocketAddr,
        path_and_query: &str,
    ) -> Result<Value, Report<CliError>> {
        let path = format!("/v1/queries/{path_and_query}");
        self.request(node, Method::GET, &path, Bytes::new()).await
    }

    /// Sends a command to one node after another until one responds with a result or an error other
    /// than [`CliError::Failed`]. The operation id in `body` lets the command take effect only
    /// once, also where a node that failed had already run it.
    ///
    /// # Errors
    /// [`CliError`] of that response, or of the last node where all failed.
    pub async fn command(&self, name: &str, body: &Value) -> Result<Value, Report<CliError>> {
        let path = format!("/v1/commands/{name}");
        let body = Bytes::from(body.to_string());
        let mut last = None;
        for node in &self.nodes {
            match self.request(*node, Method::POST, &path, body.clone()).await {
                Err(report) if matches!(report.current_context(), CliError::Failed(_)) => {
                    last = Some(report);
                }
                result => return result,
            }
        }
        Err(last.unwrap_or_else(|| Report::new(CliError::bad_input("no node is given"))))
    }

    /// Sends one request to `node` and returns the JSON value of its response.
    ///
    /// # Errors
    /// [`CliError`] of the node's response, or [`CliError::Failed`] where it doesn't respond within
    /// [`REQUEST_TIMEOUT`].
    async fn request(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value, Report<CliError>> {
        let failed = || CliError::Failed(format!("node {node} gave no answer"));
        let response = self.connect_and_send(node, method, path, body);
        let (status, body) = monoio::time::timeout(REQUEST_TIMEOUT, response)
            .await
            .change_context_lazy(failed)?
            .change_context_lazy(failed)?;
        decode_response(status, &body)
    }

    /// Sends one request to `node` over a connection of its own; returns status and body.
    async fn connect_and_send(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Report<RequestError>> {
        let stream = TcpStream::connect(node).await.change_context(RequestError)?;
        stream.set_nodelay(true).change_context(RequestError)?;
        let stream = stream.into_poll_io().change_context(RequestError)?;
        let (mut sender, connection) =
            http1::handshake(MonoioIo::new(stream)).await.change_context(RequestError)?;
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, node.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .change_context(RequestError)?;
        let driver = monoio::spawn(connection);
        let response = send_request(&mut sender, req).await;
        // The connection's task ends once its sender is dropped, also after an error.
        drop(sender);
        let _ = driver.await;
        response
    }
}

/// Sends `req` and reads the whole response.
async fn send_request(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Report<RequestError>> {
    let response = sender.send_request(req).await.change_context(RequestError)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| Report::new(RequestError).attach(error.to_string()))?;
    Ok((status, body.to_bytes()))
}

/// Error of a request without a complete response: the connection could not be opened or broke off,
/// or the body exceeds [`MAX_RESPONSE_BYTES`].
#[derive(Debug)]
struct RequestError;

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the HTTP request got no complete response")
    }
}

impl std::error::Error for RequestError {}

/// Converts a node's response to its JSON value, or to the [`CliError`] for its status.
fn decode_response(status: StatusCode, body: &[u8]) -> Result<Value, Report<CliError>> {
    if status.is_success() {
        let invalid = || CliError::Failed("the node's response is not valid JSON".to_owned());
        return serde_json::from_slice(body).change_context_lazy(invalid);
    }
    let body: ErrorBody = serde_json::from_slice(body).unwrap_or_else(|_| ErrorBody {
        error: format!("the node responded with status {status}"),
        faults: Vec::new(),
        winner: String::new(),
    });
    Err(Report::new(match status {
        StatusCode::BAD_REQUEST => CliError::BadInput { error: body.error, faults: body.faults },
        StatusCode::CONFLICT => CliError::Conflict { error: body.error, winner: body.winner },
        StatusCode::NOT_FOUND => CliError::NotFound(body.error),
        StatusCode::UNAUTHORIZED => CliError::Unauthorized,
        _ => CliError::Failed(body.error),
    }))
}
