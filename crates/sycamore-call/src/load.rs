//! Load of an upstream, which its node reports on every answer.

use std::fmt;
use std::str::FromStr;

/// Load of an upstream, in calls; its text form is `running/limit/queued`, with `/rate_percent` where
/// the upstream reports a rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Load {
    /// Number of running calls.
    pub running: u16,
    /// Maximum number of concurrent calls.
    pub limit: u16,
    /// Number of calls that wait for a slot.
    pub queued: u16,
    /// Share of the upstream's rate limit that is used, in percent; `None` if it reports no limit.
    pub rate_percent: Option<u16>,
}

impl Load {
    /// Returns running and queued calls as a fraction of the limit; 1.0 is full.
    pub fn utilisation(self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.limit.max(1))
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.limit, self.queued)?;
        match self.rate_percent {
            Some(percent) => write!(f, "/{percent}"),
            None => Ok(()),
        }
    }
}

/// Error of a text that is not the form of a [`Load`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseLoadError;

impl fmt::Display for ParseLoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "invalid load: expected running/limit/queued or running/limit/queued/rate_percent, \
             numbers of 0 to 65535",
        )
    }
}

impl std::error::Error for ParseLoadError {}

impl FromStr for Load {
    type Err = ParseLoadError;

    fn from_str(text: &str) -> Result<Self, ParseLoadError> {
        let mut numbers = text.split('/').map(|part| part.parse().map_err(|_| ParseLoadError));
        let mut next = || numbers.next().unwrap_or(Err(ParseLoadError));
        let (running, limit, queued) = (next()?, next()?, next()?);
        let rate_percent = numbers.next().transpose()?;
        match numbers.next() {
            None => Ok(Self { running, limit, queued, rate_percent }),
            Some(_) => Err(ParseLoadError),
        }
    }
}
