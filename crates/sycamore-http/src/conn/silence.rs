//! Noticing that the other side of a connection is gone without a word.

use monoio::net::TcpStream;
use nix::sys::socket::{setsockopt, sockopt};
use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// When a connection that has gone silent is closed. A process that is slow, stopped or frozen keeps
/// its connections: its kernel answers for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time without a byte after which the other side is probed.
    pub idle: Duration,
    /// Time between two probes.
    pub interval: Duration,
    /// Probes without an answer after which the connection is closed.
    pub probes: u32,
}

impl Default for Silence {
    fn default() -> Self {
        let second = Duration::from_secs(1);
        Self { idle: second, interval: second, probes: 1 }
    }
}

impl Silence {
    /// Time after which a connection is closed that is silent while nothing is under way, or that
    /// does not confirm what it is sent.
    pub fn limit(&self) -> Duration {
        self.idle + self.interval * self.probes
    }

    /// Has the kernel close `stream` once it has been silent for [`Silence::limit`].
    ///
    /// # Errors
    /// Where the socket does not take the options.
    pub fn watch(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_tcp_keepalive(Some(self.idle), Some(self.interval), Some(self.probes))?;
        let unconfirmed = u32::try_from(self.limit().as_millis()).unwrap_or(u32::MAX);
        setsockopt(stream.as_raw_fd(), sockopt::TcpUserTimeout, &unconfirmed)?;
        Ok(())
    }
}
