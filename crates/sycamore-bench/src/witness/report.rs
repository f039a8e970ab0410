//! The upstream's side: reporting.

use crate::{BenchError, Result};
use error_stack::ResultExt;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{SystemTime, UNIX_EPOCH};

/// What an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SightingKind {
    /// The upstream announced itself for the first time.
    Up,
    /// A request begins to run.
    Start,
    /// A run ended with an answer.
    End,
    /// A run ended because its caller closed the connection.
    Cancel,
    /// The upstream refused a request without running it.
    Shed,
    /// The upstream began to leave.
    Drain,
}

/// One report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sighting {
    /// What happened.
    pub kind: SightingKind,
    /// Microseconds since the Unix epoch; all processes share one clock.
    pub at_us: u64,
    /// The upstream's instance.
    pub instance: String,
    /// The upstream's service.
    pub service: String,
    /// The upstream's version.
    pub version: String,
    /// The request's token; empty where the report is about the upstream.
    #[serde(default)]
    pub token: String,
    /// The request's path; empty where the report is about the upstream.
    #[serde(default)]
    pub path: String,
}

/// Microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_micros()).unwrap_or(u64::MAX)
}

/// Reports to a witness, or to nobody.
pub struct Reporter {
    stream: Option<RefCell<TcpStream>>,
    instance: String,
    service: String,
    version: String,
}

impl Reporter {
    /// Connects to the witness at `addr`, if there is one.
    ///
    /// # Errors
    /// [`BenchError::Io`] where the witness can't be reached.
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

    /// Reports `kind` about the request `token`. The line is with the kernel when this returns.
    pub fn report(&self, kind: SightingKind, token: &str, path: &str) {
        let Some(stream) = &self.stream else { return };
        let sighting = Sighting {
            kind,
            at_us: now_us(),
            instance: self.instance.clone(),
            service: self.service.clone(),
            version: self.version.clone(),
            token: token.to_owned(),
            path: path.to_owned(),
        };
        let Ok(mut line) = serde_json::to_vec(&sighting) else { return };
        line.push(b'\n');
        // Without its witness an experiment is over; the upstream goes on.
        let _ = stream.borrow_mut().write_all(&line);
    }
}

fn open(addr: SocketAddr) -> Result<TcpStream> {
    let context = || BenchError::Io(format!("connect to witness {addr}"));
    let stream = TcpStream::connect(addr).change_context_lazy(context)?;
    stream.set_nodelay(true).change_context_lazy(context)?;
    Ok(stream)
}
