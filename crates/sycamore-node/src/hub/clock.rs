//! Clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use sycamore_types::time::{Time, WallTime};

/// Reads the clocks; decision crates are given what it reads.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Monotonic time since the start.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Civil time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
