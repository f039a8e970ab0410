//! What operators' interface and metrics tell about a fleet.

use super::{Fleet, TOKEN};
use crate::http::{request, Exchange};
use crate::stand_in::platform::{Control, Stats};
use crate::{BenchError, Result};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an operator's request may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Samples of a metrics page: name with labels, and value.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics(pub HashMap<String, f64>);

impl Metrics {
    /// Reads a page in the text format.
    pub fn parse(page: &str) -> Self {
        let samples = page.lines().filter(|line| !line.starts_with('#')).filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Self(samples.collect())
    }

    /// The sum of all samples called `name`, whatever their labels.
    pub fn sum(&self, name: &str) -> f64 {
        let is_named = |sample: &str| {
            sample.strip_prefix(name).is_some_and(|rest| rest.is_empty() || rest.starts_with('{'))
        };
        self.0.iter().filter(|(sample, _)| is_named(sample)).map(|(_, value)| value).sum()
    }
}

/// Sends one request with the operators' token.
///
/// # Errors
/// [`BenchError::Http`] where no answer came.
pub async fn operator(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Exchange> {
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, addr.to_string())
        .header(http::header::AUTHORIZATION, format!("Bearer {TOKEN}"))
        .body(Full::new(body.into()))
        .change_context_lazy(|| BenchError::Http(format!("request {path}")))?;
    request(addr, req, TIMEOUT).await
}

impl Fleet {
    /// The operators' listener of `instance`.
    ///
    /// # Errors
    /// [`BenchError::Option`] where there is no such instance.
    pub fn operator_addr(&self, instance: &str) -> Result<SocketAddr> {
        self.addrs(instance).map(|addrs| addrs.operator)
    }

    /// Runs the command `name` at `instance`.
    ///
    /// # Errors
    /// [`BenchError::Http`] where no answer came or it is no success.
    pub async fn command(&self, instance: &str, name: &str, body: &Value) -> Result<Value> {
        let path = format!("/v1/commands/{name}");
        let addr = self.operator_addr(instance)?;
        success(operator(addr, Method::POST, &path, body.to_string()).await?)
    }

    /// Asks `instance` the query `name`, with parameters as in `report?plan=P`.
    ///
    /// # Errors
    /// [`BenchError::Http`] where no answer came or it is no success.
    pub async fn query(&self, instance: &str, name: &str) -> Result<Value> {
        let path = format!("/v1/queries/{name}");
        let addr = self.operator_addr(instance)?;
        success(operator(addr, Method::GET, &path, "").await?)
    }

    /// The metrics of `instance`.
    ///
    /// # Errors
    /// [`BenchError::Http`] where no answer came.
    pub async fn metrics(&self, instance: &str) -> Result<Metrics> {
        let addr = self.operator_addr(instance)?;
        let page = operator(addr, Method::GET, "/metrics", "").await?;
        Ok(Metrics::parse(&String::from_utf8_lossy(&page.body)))
    }

    /// Whether `instance` says that it is ready.
    pub async fn is_ready(&self, instance: &str) -> bool {
        let Ok(addr) = self.operator_addr(instance) else { return false };
        let answer = operator(addr, Method::GET, "/ready", "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Commands the platform's stand-in.
    ///
    /// # Errors
    /// [`BenchError::Http`] where no answer came.
    pub async fn control_platform(&self, control: &Control) -> Result<Stats> {
        let body = serde_json::to_vec(control)
            .change_context_lazy(|| BenchError::Option("control".into()))?;
        operator(self.platform_addr(), Method::POST, "/control", body).await?.json()
    }

    /// The counts of the platform's stand-in.
    ///
    /// # Errors
    /// [`BenchError::Http`] where no answer came.
    pub async fn platform_stats(&self) -> Result<Stats> {
        operator(self.platform_addr(), Method::GET, "/control/stats", "").await?.json()
    }
}

fn success(answer: Exchange) -> Result<Value> {
    if answer.status.is_success() {
        return answer.json();
    }
    let shown = String::from_utf8_lossy(&answer.body).into_owned();
    Err(Report::new(BenchError::Http(format!("status {}: {shown}", answer.status))))
}
