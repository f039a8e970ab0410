//! Load of an upstream, which its node reports on every answer.

use std::fmt;
use std::str::FromStr;

/// Load of an upstream, in calls; its text form is `running/limit/queued`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Load {
    /// Number of running calls.
    pub running: u16,
    /// Maximum number of concurrent calls.
    pub limit: u16,
    /// Number of calls that wait for a slot.
    pub queued: u16,
}

impl Load {
    /// Returns running and queued calls as a fraction of the limit; 1.0 is full.
    pub fn utilisation(self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.limit.max(1))
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.limit, self.queued)
    }
}

/// Error of a text that is not of the form `running/limit/queued`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseLoadError;

impl fmt::Display for ParseLoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid load: expected running/limit/queued, three numbers of 0 to 65535")
    }
}

impl std::error::Error for ParseLoadError {}

impl FromStr for Load {
    type Err = ParseLoadError;

    fn from_str(text: &str) -> Result<Self, ParseLoadError> {
        let mut parts = text.splitn(3, '/').map(|part| part.parse().ok());
        let mut next = || parts.next().flatten().ok_or(ParseLoadError);
        Ok(Self { running: next()?, limit: next()?, queued: next()? })
    }
}
