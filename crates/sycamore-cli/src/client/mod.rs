//! HTTP client of the operators' listener.

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

/// Largest answer accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Time that one exchange may take.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Operators' port where no node is named.
const DEFAULT_PORT: u16 = 7404;

/// Asks the nodes that the command line names.
pub struct Client {
    nodes: Vec<SocketAddr>,
    token: String,
}

/// An error as a node tells it.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
    #[serde(default)]
    faults: Vec<String>,
    #[serde(default)]
    winner: String,
}

impl Client {
    /// A client for the nodes and the token that `options` name.
    ///
    /// # Errors
    /// [`CliError::BadInput`] where the token file can't be read.
    pub fn new(options: &Options) -> Result<Self, Report<CliError>> {
        let token = match &options.token_file {
            None => std::env::var("SYCAMORESHIFT_TOKEN").unwrap_or_default(),
            Some(file) => std::fs::read_to_string(file)
                .change_context_lazy(|| CliError::bad_input(format!("can't read {file:?}")))?,
        };
        let nodes = match options.nodes.is_empty() {
            true => vec![SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT))],
            false => options.nodes.clone(),
        };
        Ok(Self { nodes, token: token.trim().to_owned() })
    }

    /// The nodes named.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Asks the first node that can be reached.
    ///
    /// # Errors
    /// [`CliError`], as the node says, or where none can be reached.
    pub async fn query(&self, path_and_query: &str) -> Result<Value, Report<CliError>> {
        let mut last = None;
        for node in &self.nodes {
            match self.query_node(*node, path_and_query).await {
                Err(report) if matches!(report.current_context(), CliError::Failed(_)) => {
                    last = Some(report);
                }
                answered => return answered,
            }
        }
        Err(last.unwrap_or_else(|| Report::new(CliError::bad_input("no node is named"))))
    }

    /// Asks one node.
    ///
    /// # Errors
    /// [`CliError`], as the node says, or where it can't be reached.
    pub async fn query_node(
        &self,
        node: SocketAddr,
        path_and_query: &str,
    ) -> Result<Value, Report<CliError>> {
        let path = format!("/v1/queries/{path_and_query}");
        self.exchange(node, Method::GET, &path, Bytes::new()).await
    }

    /// Gives a command to the first node that can be connected to. A command carries an operation
    /// id, so that giving it again to another node is harmless.
    ///
    /// # Errors
    /// [`CliError`], as the node says, or where none can be reached.
    pub async fn command(&self, name: &str, body: &Value) -> Result<Value, Report<CliError>> {
        let path = format!("/v1/commands/{name}");
        let body = Bytes::from(body.to_string());
        let mut last = None;
        for node in &self.nodes {
            match self.exchange(*node, Method::POST, &path, body.clone()).await {
                Err(report) if matches!(report.current_context(), CliError::Failed(_)) => {
                    last = Some(report);
                }
                answered => return answered,
            }
        }
        Err(last.unwrap_or_else(|| Report::new(CliError::bad_input("no node is named"))))
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value, Report<CliError>> {
        let failed = || CliError::Failed(format!("node {node} gave no answer"));
        let exchange = self.send(node, method, path, body);
        let (status, body) = monoio::time::timeout(TIMEOUT, exchange)
            .await
            .change_context_lazy(failed)?
            .change_context_lazy(failed)?;
        answer(status, &body)
    }

    async fn send(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Report<ExchangeError>> {
        let stream = TcpStream::connect(node).await.change_context(ExchangeError)?;
        stream.set_nodelay(true).change_context(ExchangeError)?;
        let stream = stream.into_poll_io().change_context(ExchangeError)?;
        let (mut sender, connection) =
            http1::handshake(MonoioIo::new(stream)).await.change_context(ExchangeError)?;
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, node.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .change_context(ExchangeError)?;
        let driver = monoio::spawn(connection);
        let exchanged = exchange(&mut sender, req).await;
        // Without its sender the connection ends, however the exchange went.
        drop(sender);
        let _ = driver.await;
        exchanged
    }
}

/// Sends `req` and reads the whole answer.
async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), Report<ExchangeError>> {
    let answer = sender.send_request(req).await.change_context(ExchangeError)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| Report::new(ExchangeError).attach(error.to_string()))?;
    Ok((status, body.to_bytes()))
}

/// The exchange with a node broke off.
#[derive(Debug)]
struct ExchangeError;

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the exchange broke off")
    }
}

impl std::error::Error for ExchangeError {}

fn answer(status: StatusCode, body: &[u8]) -> Result<Value, Report<CliError>> {
    if status.is_success() {
        let unreadable = || CliError::Failed("the node's answer is no JSON".to_owned());
        return serde_json::from_slice(body).change_context_lazy(unreadable);
    }
    let told: ErrorBody = serde_json::from_slice(body).unwrap_or_else(|_| ErrorBody {
        error: format!("the node answered {status}"),
        faults: Vec::new(),
        winner: String::new(),
    });
    Err(Report::new(match status {
        StatusCode::BAD_REQUEST => CliError::BadInput { error: told.error, faults: told.faults },
        StatusCode::CONFLICT => CliError::Conflict { error: told.error, winner: told.winner },
        StatusCode::NOT_FOUND => CliError::NotFound(told.error),
        StatusCode::UNAUTHORIZED => CliError::Unauthorized,
        _ => CliError::Failed(told.error),
    }))
}
