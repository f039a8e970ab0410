//! Requests to the operators' interfaces of a fleet's nodes and to the platform's stand-in.

use super::{Fleet, TOKEN};
use crate::http::{request, Exchange};
use crate::stand_in::platform::{Control, Stats};
use crate::stand_in::upstream::report::{self, Count, SelfReport};
use crate::{BenchError, Result};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for a request and its answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Samples of a metrics page: values keyed by the metric's name with its labels.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics(pub HashMap<String, f64>);

impl Metrics {
    /// Parses a page in the Prometheus text format; lines that are no sample are skipped.
    pub fn parse(page: &str) -> Self {
        let samples = page.lines().filter(|line| !line.starts_with('#')).filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Self(samples.collect())
    }

    /// Returns the sum of all samples of the metric `name`, over all labels.
    pub fn sum(&self, name: &str) -> f64 {
        let is_named = |sample: &str| {
            sample.strip_prefix(name).is_some_and(|rest| rest.is_empty() || rest.starts_with('{'))
        };
        self.0.iter().filter(|(sample, _)| is_named(sample)).map(|(_, value)| value).sum()
    }
}

/// Sends a request with the operators' token to `addr`.
///
/// # Errors
/// [`BenchError::Http`] if no whole answer arrives within five seconds.
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
    /// Returns the address of the operators' interface of `instance`.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance.
    pub fn operator_addr(&self, instance: &str) -> Result<SocketAddr> {
        self.addrs(instance).map(|addrs| addrs.operator)
    }

    /// Sends the operators' command `name` to the node of `instance` and returns its answer.
    ///
    /// # Errors
    /// [`BenchError::Http`] if no answer arrives or its status is no success, [`BenchError::Option`] if
    /// there is no such instance.
    pub async fn command(&self, instance: &str, name: &str, body: &Value) -> Result<Value> {
        let path = format!("/v1/commands/{name}");
        let addr = self.operator_addr(instance)?;
        success(operator(addr, Method::POST, &path, body.to_string()).await?)
    }

    /// Sends the operators' query `name`, with parameters as in `report?plan=P`, to the node of
    /// `instance` and returns its answer.
    ///
    /// # Errors
    /// [`BenchError::Http`] if no answer arrives or its status is no success, [`BenchError::Option`] if
    /// there is no such instance.
    pub async fn query(&self, instance: &str, name: &str) -> Result<Value> {
        let path = format!("/v1/queries/{name}");
        let addr = self.operator_addr(instance)?;
        success(operator(addr, Method::GET, &path, "").await?)
    }

    /// Reads the metrics of the node of `instance`.
    ///
    /// # Errors
    /// [`BenchError::Http`] if no answer arrives, [`BenchError::Option`] if there is no such instance.
    pub async fn metrics(&self, instance: &str) -> Result<Metrics> {
        let addr = self.operator_addr(instance)?;
        let page = operator(addr, Method::GET, "/metrics", "").await?;
        Ok(Metrics::parse(&String::from_utf8_lossy(&page.body)))
    }

    /// Returns whether the node of `instance` answers that it is ready.
    pub async fn is_ready(&self, instance: &str) -> bool {
        let Ok(addr) = self.operator_addr(instance) else { return false };
        let answer = operator(addr, Method::GET, "/ready", "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Sends `control` to the platform's stand-in and returns its counters.
    ///
    /// # Errors
    /// [`BenchError::Http`] if no answer arrives or it can't be parsed.
    pub async fn control_platform(&self, control: &Control) -> Result<Stats> {
        let body = serde_json::to_vec(control)
            .change_context_lazy(|| BenchError::Option(format!("serialize {control:?}")))?;
        operator(self.platform_addr(), Method::POST, "/control", body).await?.json()
    }

    /// Reads the counters of the platform's stand-in.
    ///
    /// # Errors
    /// [`BenchError::Http`] if no answer arrives or it can't be parsed.
    pub async fn platform_stats(&self) -> Result<Stats> {
        operator(self.platform_addr(), Method::GET, "/control/stats", "").await?.json()
    }
}

/// Returns the JSON body of an answer with a success status; other answers become errors with their
/// status and body.
fn success(answer: Exchange) -> Result<Value> {
    if answer.status.is_success() {
        return answer.json();
    }
    let shown = String::from_utf8_lossy(&answer.body).into_owned();
    Err(Report::new(BenchError::Http(format!("status {}: {shown}", answer.status))))
}

impl Fleet {
    /// Sets what the upstream of `instance` reports in its answers, or only reads its count with
    /// `None`. Returns the count.
    ///
    /// # Errors
    /// [`BenchError::Http`] if no whole answer arrives within five seconds.
    pub async fn report(&self, instance: &str, report: Option<SelfReport>) -> Result<Count> {
        let addr = self.addrs(instance)?.service;
        let body = report.map(|report| serde_json::to_vec(&report).unwrap_or_default());
        operator(addr, Method::POST, report::PATH, body.unwrap_or_default()).await?.json()
    }

    /// Has the upstream of `instance` leave its node without an end of its process.
    ///
    /// # Errors
    /// [`BenchError::Http`] if the upstream doesn't answer, or its node did not acknowledge the leave.
    pub async fn depart(&self, instance: &str) -> Result<()> {
        let addr = self.addrs(instance)?.service;
        let answer = operator(addr, Method::POST, report::DEPART_PATH, "").await?;
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(Report::new(BenchError::Http(format!("status {}", answer.status)))),
        }
    }

    /// Writes rows to the platform's table as another writer than the fleet's nodes may.
    ///
    /// # Errors
    /// [`BenchError::Http`] if the platform doesn't answer that it wrote them.
    pub async fn write_rows(&self, rows: &[(String, Value)]) -> Result<()> {
        let writes: Vec<Value> =
            rows.iter().map(|(key, value)| json!({ "key": key, "value": value })).collect();
        let body = json!({ "conditions": [], "writes": writes }).to_string();
        let answer = operator(self.platform_addr(), Method::POST, "/table/transact", body).await?;
        success(answer).map(drop)
    }
}
