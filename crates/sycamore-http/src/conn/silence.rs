//! TCP keepalive settings that detect a peer which vanished without closing its connection.

use monoio::net::TcpStream;
use nix::sys::socket::{setsockopt, sockopt};
use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// TCP keepalive settings of a connection.
///
/// A peer process that is slow, stopped or frozen keeps its connections, because its kernel answers
/// the probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Keepalive {
    /// Time without received data after which the first probe is sent.
    pub idle: Duration,
    /// Time between two probes.
    pub interval: Duration,
    /// Number of unanswered probes after which the connection is closed.
    pub probes: u32,
}

impl Default for Keepalive {
    fn default() -> Self {
        let second = Duration::from_secs(1);
        Self { idle: second, interval: second, probes: 1 }
    }
}

impl Keepalive {
    /// Returns the time after which the kernel closes a connection whose peer answers no probe, or
    /// does not acknowledge sent data.
    pub fn detection_time(&self) -> Duration {
        self.idle + self.interval * self.probes
    }

    /// Sets the socket options on `stream`, so that the kernel closes it if the peer is silent for
    /// [`Keepalive::detection_time`].
    ///
    /// # Errors
    /// I/O error if the socket rejects an option.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_tcp_keepalive(Some(self.idle), Some(self.interval), Some(self.probes))?;
        let user_timeout_ms = u32::try_from(self.detection_time().as_millis()).unwrap_or(u32::MAX);
        setsockopt(stream.as_raw_fd(), sockopt::TcpUserTimeout, &user_timeout_ms)?;
        Ok(())
    }
}
