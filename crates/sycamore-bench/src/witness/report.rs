//! Reporter: sends an upstream's reports to the witness.

use crate::{BenchError, Result};
use error_stack::ResultExt;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{SystemTime, UNIX_EPOCH};

/// Kind of event that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamEventKind {
    /// The upstream's node accepted its first announcement.
    Up,
    /// A run of a request begins.
    Start,
    /// A run ended with an answer.
    End,
    /// A run ended without an answer because its caller closed the connection.
    Cancel,
    /// The upstream refused a request without running it.
    Shed,
    /// The upstream began to drain.
    Drain,
}

/// Event on an upstream, as the upstream reports it to the witness.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEvent {
    /// Kind of the event.
    pub kind: UpstreamEventKind,
    /// Time of the event, in microseconds since the Unix epoch; all processes share the host's clock.
    pub at_us: u64,
    /// Name of the upstream's instance.
    pub instance: String,
    /// Service of the upstream.
    pub service: String,
    /// Version of the upstream.
    pub version: String,
    /// Token of the request; empty if the event concerns the upstream as a whole.
    #[serde(default)]
    pub token: String,
    /// Path of the request; empty if the event concerns the upstream as a whole.
    #[serde(default)]
    pub path: String,
}

/// Returns the current time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_micros()).unwrap_or(u64::MAX)
}

/// Sender of an upstream's reports; discards them if there is no witness.
pub struct Reporter {
    stream: Option<RefCell<TcpStream>>,
    instance: String,
    service: String,
    version: String,
}

impl Reporter {
    /// Connects to the witness at `addr`; with `None` all reports are discarded.
    ///
    /// # Errors
    /// [`BenchError::Io`] if the connection fails.
    pub fn connect(
        addr: Option<SocketAddr>,
        instance: impl Into<String>,
        service: impl Into<String>,
        version: impl Into<String>,
    ) -> Result<Self> {
        let stream = addr.map(open).transpose()?.map(RefCell::new);
        Ok(Self {
            stream,
            instance: instance.into(),
            service: service.into(),
            version: version.into(),
        })
    }

    /// Reports an event of `kind` for the request `token` at `path`; both are empty for an event of the
    /// upstream as a whole. When this returns, the kernel holds the report, and a crash of this process
    /// doesn't lose it.
    pub fn report(&self, kind: UpstreamEventKind, token: &str, path: &str) {
        let Some(stream) = &self.stream else { return };
        let event = UpstreamEvent {
            kind,
            at_us: now_us(),
            instance: self.instance.clone(),
            service: self.service.clone(),
            version: self.version.clone(),
            token: token.to_owned(),
            path: path.to_owned(),
        };
        let Ok(mut line) = serde_json::to_vec(&event) else { return };
        line.push(b'\n');
        // The witness ends with the experiment; an upstream that still runs goes on without it.
        let _ = stream.borrow_mut().write_all(&line);
    }
}

fn open(addr: SocketAddr) -> Result<TcpStream> {
    let context = || BenchError::Io(format!("connect to witness {addr}"));
    let stream = TcpStream::connect(addr).change_context_lazy(context)?;
    stream.set_nodelay(true).change_context_lazy(context)?;
    Ok(stream)
}
