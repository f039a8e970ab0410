//! Errors of the development tool.

use std::fmt;

/// What could not be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BenchError {
    /// A socket, file or process failed; holds what was tried.
    Io(String),
    /// An HTTP exchange failed; holds what was tried.
    Http(String),
    /// A process did not reach the state that was awaited in time; holds which.
    NotReady(String),
    /// An option makes no sense; holds which and why.
    Option(String),
    /// An expectation of a run was not met; holds which.
    Unmet(String),
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BenchError::Io(what) => write!(f, "i/o: {what}"),
            BenchError::Http(what) => write!(f, "http: {what}"),
            BenchError::NotReady(what) => write!(f, "not ready: {what}"),
            BenchError::Option(what) => write!(f, "option: {what}"),
            BenchError::Unmet(what) => write!(f, "not as expected: {what}"),
        }
    }
}

impl std::error::Error for BenchError {}
