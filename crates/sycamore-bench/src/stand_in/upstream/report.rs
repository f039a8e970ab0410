//! Rate limit and leave that the emulated upstream reports in its answers, and its own count of the
//! requests that it gets meanwhile.

use crate::http::Answer;
use http::HeaderValue;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use sycamore_types::headers as shift;

/// Path at which the report is set (POST, a [`SelfReport`]) and the count is read (GET, a [`Count`]).
pub const PATH: &str = "/report";
/// Path at which the upstream is told to leave without an end of its process (POST): it sends its node
/// the message of a leave, and goes on announcing itself and running requests, as messages that were
/// sent before a leave may arrive after it.
pub const DEPART_PATH: &str = "/depart";
/// Span over which the users count the requests of a limited upstream.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first report of a limit from which the users count.
const CONTACT: Duration = Duration::from_secs(3);
/// Multiple of the limit that the users allow within [`WINDOW`].
const ALLOWED_FACTOR: f64 = 1.5;
/// Number of requests that the users allow in addition.
const ALLOWED_EXTRA: f64 = 5.0;
/// Number of requests that no node can hold back after the first answer with a limit was sent, since
/// they cross it.
const CROSSING: usize = 2;
/// Time after the first report of a leave from which the users allow no request.
const DRAIN: Duration = Duration::from_secs(2);

/// State that the upstream reports in all of its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SelfReport {
    /// Requests per second that the upstream takes; `None` for no limit.
    pub rate_limit: Option<f64>,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

/// Requests that the upstream got, by its own count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Highest ratio of the requests within [`WINDOW`] to those allowed, once limited for [`CONTACT`].
    pub worst_ratio: f64,
    /// Number of requests in that window.
    pub worst_got: usize,
    /// Number of them that came before the first answer with the limit.
    pub worst_before: usize,
    /// Number of requests while limited, from [`CONTACT`] on.
    pub got: usize,
    /// Number of requests that the limits allowed in that time at their mean rate.
    pub entitled: f64,
    /// Number of requests later than [`DRAIN`] after the first report of the leave.
    pub after_leave: usize,
}

/// SelfReport in force and the counts since the start.
#[derive(Debug, Default)]
pub struct Reported(RefCell<State>);

#[derive(Debug, Default)]
struct State {
    report: SelfReport,
    count: Count,
    arrivals: VecDeque<Instant>,
    /// Limits of the current period with a limit, each with the time from which it is in force.
    limits: Vec<(Instant, f64)>,
    /// Time at which the first answer of that period was sent.
    limited_since: Option<Instant>,
    leaving_since: Option<Instant>,
    /// Time up to which [`Count::entitled`] is counted.
    counted_to: Option<Instant>,
}

impl Reported {
    /// Sets the report of all later answers.
    pub fn set(&self, report: SelfReport) {
        let now = Instant::now();
        let state = &mut *self.0.borrow_mut();
        state.count_entitled(now);
        match report.rate_limit {
            Some(limit) => state.limits.push((now, limit)),
            None => {
                state.limits.clear();
                (state.limited_since, state.counted_to) = (None, None);
            }
        }
        state.report = report;
    }

    /// Returns the counts since the start.
    pub fn count(&self) -> Count {
        let state = &mut *self.0.borrow_mut();
        state.count_entitled(Instant::now());
        state.count
    }

    /// Counts the arrival of a request.
    pub fn count_arrival(&self) {
        let now = Instant::now();
        let state = &mut *self.0.borrow_mut();
        state.arrivals.push_back(now);
        while state.arrivals.front().is_some_and(|at| *at + WINDOW < now) {
            state.arrivals.pop_front();
        }
        if state.leaving_since.is_some_and(|since| now > since + DRAIN) {
            state.count.after_leave += 1;
        }
        if state.is_judged(now) {
            state.count.got += 1;
            let got = state.arrivals.len();
            let allowed = ALLOWED_FACTOR * state.entitled_in_window(now) + ALLOWED_EXTRA;
            let since = state.limited_since.unwrap_or(now);
            let before = state.arrivals.iter().filter(|at| **at < since).count();
            // What came before the first report may leave nothing to any node.
            let is_keepable = (before + CROSSING) as f64 <= allowed;
            if is_keepable && got as f64 / allowed > state.count.worst_ratio {
                state.count.worst_ratio = got as f64 / allowed;
                state.count.worst_got = got;
                state.count.worst_before = before;
            }
        }
    }

    /// Adds the report to an answer that is about to be sent.
    pub fn write(&self, answer: &mut Answer) {
        let now = Instant::now();
        let state = &mut *self.0.borrow_mut();
        if let Some(limit) = state.report.rate_limit {
            state.limited_since.get_or_insert(now);
            if let Ok(value) = HeaderValue::from_str(&limit.to_string()) {
                answer.headers_mut().insert(shift::RATE_LIMIT, value);
            }
        }
        if state.report.leaving {
            state.leaving_since.get_or_insert(now);
            answer.headers_mut().insert(shift::LEAVING, HeaderValue::from_static("1"));
        }
    }
}

impl State {
    fn is_judged(&self, now: Instant) -> bool {
        self.limited_since.is_some_and(|since| now >= since + CONTACT)
    }

    /// Returns the number of requests that the limits in force within the last [`WINDOW`] allow. The
    /// first one also stands for the time before it.
    fn entitled_in_window(&self, now: Instant) -> f64 {
        let from = now.checked_sub(WINDOW).unwrap_or(now);
        let (mut sum, mut to) = (0.0, now);
        for (i, (at, limit)) in self.limits.iter().enumerate().rev() {
            let begin = if i == 0 { from } else { (*at).max(from) };
            sum += limit * to.saturating_duration_since(begin).as_secs_f64();
            to = begin;
        }
        sum
    }

    /// Adds the requests that the limit allowed since the last call to [`Count::entitled`].
    fn count_entitled(&mut self, now: Instant) {
        let (Some(since), Some(limit)) = (self.limited_since, self.report.rate_limit) else {
            return;
        };
        let from = self.counted_to.unwrap_or(since + CONTACT);
        if now > from {
            self.count.entitled += limit * (now - from).as_secs_f64();
            self.counted_to = Some(now);
        }
    }
}
