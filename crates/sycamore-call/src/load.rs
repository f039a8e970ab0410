//! Load of an upstream, as its node reports it on every answer.

use std::fmt;
use std::str::FromStr;

/// Load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Load {
    /// Calls that run.
    pub running: u16,
    /// Calls that may run at a time.
    pub limit: u16,
    /// Calls that wait.
    pub queued: u16,
}

impl Load {
    /// Calls admitted or waiting, per call that may run; 1.0 is full.
    pub fn utilisation(self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.limit.max(1))
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.limit, self.queued)
    }
}

/// The text is no load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseLoadError;

impl fmt::Display for ParseLoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("load is not of the form running/limit/queued")
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
