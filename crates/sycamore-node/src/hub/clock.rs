//! Clocks of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use sycamore_types::time::{Time, WallTime};

/// Reads the clocks; decision crates are given what it reads.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    ahead: Duration,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self::ahead_by(Duration::ZERO)
    }

    /// The same, with civil time `ahead` of the machine's.
    pub fn ahead_by(ahead: Duration) -> Self {
        Self { started: Instant::now(), ahead }
    }

    /// Monotonic time since the start.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Civil time.
    pub fn wall(&self) -> WallTime {
        let since_epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + self.ahead;
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
