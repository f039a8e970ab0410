//! Points in monotonic and wall-clock time.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Point on a node's monotonic clock, in microseconds since the process started.
///
/// Values are only comparable within one process. Decision crates are passed the time and never
/// read a clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the point `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the point `secs` seconds after the start of the process.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the time since `earlier`; zero where `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// Point in wall-clock time, in milliseconds since the Unix epoch; clocks of different instances
/// may differ by seconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time since `earlier`; zero where `earlier` is later than `self`.
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for WallTime {
    type Output = WallTime;

    fn add(self, rhs: Duration) -> WallTime {
        WallTime(self.0.saturating_add(u64::try_from(rhs.as_millis()).unwrap_or(u64::MAX)))
    }
}
