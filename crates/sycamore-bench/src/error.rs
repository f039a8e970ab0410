//! Errors of the development tool.

use std::fmt;

/// Error of the development tool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BenchError {
    /// A socket, file or process operation failed; holds the operation that was attempted.
    Io(String),
    /// An HTTP exchange failed; holds the request that was attempted.
    Http(String),
    /// A process did not reach an expected state in time; holds the process and the state.
    NotReady(String),
    /// An option or argument is invalid; holds which one and why.
    Option(String),
    /// A run did not end as expected; holds what differs.
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
