//! Timetable of a node's shutdown, derived from the time after which the platform kills it.

use crate::calls::Calls;
use std::time::Duration;

/// Time for other nodes to learn that this one accepts no more calls for its upstream.
pub const CLOSING_SPREAD: Duration = Duration::from_millis(200);
/// Timeout for the tasks of all subsystems other than calls to end.
pub const JOIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest part of the grace time in which new calls are still accepted.
const MAX_NOTICE_SHARE: f64 = 0.4;
/// Part of the grace time kept free behind the timetable: timers and tasks of a slow or throttled
/// process are late.
const SPARE_SHARE: f64 = 0.05;

/// Timetable of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// Time for which new calls are accepted after the request to stop.
    pub notice: Duration,
    /// Longest time for which calls in flight may go on after the listeners have closed.
    pub drain: Duration,
}

impl Shutdown {
    /// Derives the timetable from `calls`: the drain ends so early that the node has ended by
    /// itself when the grace time is over.
    ///
    /// # Errors
    /// Shortest possible grace time, if [`Calls::grace`] is shorter.
    pub fn plan(calls: &Calls) -> Result<Self, Duration> {
        let Some(grace) = calls.grace else {
            return Ok(Self { notice: calls.drain_notice, drain: calls.drain_timeout });
        };
        let notice = calls.drain_notice.min(grace.mul_f64(MAX_NOTICE_SHARE));
        let exit = CLOSING_SPREAD + JOIN_TIMEOUT + grace.mul_f64(SPARE_SHARE);
        match grace.checked_sub(notice + exit) {
            Some(left) if !left.is_zero() => {
                Ok(Self { notice, drain: left.min(calls.drain_timeout) })
            }
            _ => {
                let share = 1.0 - MAX_NOTICE_SHARE - SPARE_SHARE;
                Err((CLOSING_SPREAD + JOIN_TIMEOUT).div_f64(share))
            }
        }
    }
}
