//! Cooperative scheduling: a task whose connection is always ready gives way to the other tasks of
//! its thread.
//!
//! The event loop never interrupts a task. A task that finds bytes at each read and room at each
//! write would keep its thread for as long as its peer is fast enough, timers included.

use monoio::time::{sleep, Sleep};
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

/// Number of successive operations that may complete at once before the time of a turn begins, so that
/// usual calls read no clock.
const FREE_OPERATIONS: u32 = 4;
/// Longest time for which a task goes on without suspending.
const MAX_TURN: Duration = Duration::from_millis(2);
/// Pause after a turn. The event loop looks at its timers only once no task is ready, so a task that
/// merely went to the end of the queue would hold them up.
const PAUSE: Duration = Duration::from_millis(1);

/// Time for which a task has used its connection without suspending.
#[derive(Debug, Default)]
pub struct Turn {
    /// Successive operations that completed at once.
    ready: u32,
    /// Time at which the free ones among them were used up.
    since: Option<Instant>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Turn {
    /// Counts an operation that completed at once.
    pub fn count(&mut self) {
        self.ready = self.ready.saturating_add(1);
    }

    /// Runs `operation` and counts it, or begins a new turn if it suspends the task.
    pub async fn run<T>(&mut self, operation: impl Future<Output = T>) -> T {
        let mut operation = pin!(operation);
        self.count();
        poll_fn(|cx| self.note(operation.as_mut().poll(cx))).await
    }

    /// Returns `poll`, the result of polling an operation; a new turn begins if it is pending.
    pub fn note<T>(&mut self, poll: Poll<T>) -> Poll<T> {
        if poll.is_pending() {
            self.begin();
        }
        poll
    }

    /// Suspends the task for a moment if its turn is over, so that the event loop runs the other tasks,
    /// the timers and the connections before it goes on.
    pub async fn give_way_if_due(&mut self) {
        poll_fn(|cx| self.poll_give_way(cx)).await;
    }

    /// Polled form of [`Turn::give_way_if_due`].
    pub fn poll_give_way(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.pause.is_none() && self.is_over() {
            self.pause = Some(Box::pin(sleep(PAUSE)));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.begin();
        }
        Poll::Ready(())
    }

    fn is_over(&mut self) -> bool {
        self.ready >= FREE_OPERATIONS
            && self.since.get_or_insert_with(Instant::now).elapsed() >= MAX_TURN
    }

    fn begin(&mut self) {
        *self = Self::default();
    }
}
