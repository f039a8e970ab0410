//! Monotonic and wall clocks of the process.

use nix::sys::time::TimeValLike;
use nix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use sycamore_types::time::{Time, WallTime};

/// Reads the monotonic and the wall clock; state machines receive the values as inputs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    ahead: Duration,
}

impl Clock {
    /// Creates a clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self::ahead_by(Duration::ZERO)
    }

    /// Creates a clock whose wall-clock time runs `ahead` of the system's, for tests of clock skew.
    pub fn ahead_by(ahead: Duration) -> Self {
        Self { started: Instant::now(), ahead }
    }

    /// Returns the monotonic time since the clock was created, in microseconds.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the time since the machine's start, in microseconds, which goes on while the machine is
    /// suspended.
    pub fn boot(&self) -> Time {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(since) => Time(u64::try_from(since.num_microseconds()).unwrap_or_default()),
            // The call fails for unknown clocks alone, which this one is not on Linux.
            Err(_) => self.now(),
        }
    }

    /// Returns the wall-clock time since the Unix epoch, in milliseconds.
    pub fn wall(&self) -> WallTime {
        let since_epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + self.ahead;
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
