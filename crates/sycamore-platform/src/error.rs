//! Errors of platform requests, distinguished by whether the request may have taken effect.

use error_stack::Report;
use std::time::Duration;

/// Result of a request to the platform.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Error of a request to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// This node's share of the fleet's budget is spent; nothing was sent.
    #[error("this node's share of the platform budget is spent for another {} ms", wait.as_millis())]
    Throttled {
        /// Time until this node's share allows the request.
        wait: Duration,
    },
    /// No connection to the platform could be made in time; nothing was sent.
    #[error("platform is unreachable")]
    Unreachable,
    /// The platform refused the request (429 or 503); the request had no effect.
    #[error("platform refused the request with status {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No complete answer arrived after the request was sent; the request may have taken effect.
    #[error("no complete answer from the platform; the request may have taken effect")]
    NoAnswer,
    /// The answer's body is larger than the client allows; the request may have taken effect.
    #[error("answer of the platform has more than {max} bytes")]
    AnswerTooLarge {
        /// Largest allowed size in bytes, from the client's settings.
        max: usize,
    },
    /// The answer violates the protocol or exceeds a limit; the request may have taken effect.
    #[error("malformed answer from the platform: {0}")]
    Malformed(String),
    /// The platform no longer holds the changes since the requested revision.
    #[error("platform no longer holds the changes since the requested revision")]
    HistoryLost,
    /// The answer comes from an earlier epoch of the table than one before; what the request did is
    /// lost.
    #[error("answer of epoch {answered} of the platform's table, which is in epoch {current}")]
    EarlierEpoch {
        /// Epoch of the answer, or of the revision that the request was made with.
        answered: u64,
        /// Epoch that the table is known to be in.
        current: u64,
    },
    /// The platform does not report changed rows; nothing was sent.
    #[error("platform does not report changed rows")]
    Unsupported,
    /// The request body is larger than the client allows; nothing was sent.
    #[error("request body has {bytes} bytes, at most {max} are allowed")]
    TooLarge {
        /// Size of the request body in bytes.
        bytes: usize,
        /// Largest allowed size in bytes, from the client's settings.
        max: usize,
    },
}

impl Error {
    /// Returns whether the request may have taken effect.
    pub fn may_have_run(&self) -> bool {
        match self {
            Error::NoAnswer | Error::AnswerTooLarge { .. } | Error::Malformed(_) => true,
            Error::Throttled { .. }
            | Error::Unreachable
            | Error::Refused { .. }
            | Error::HistoryLost
            | Error::EarlierEpoch { .. }
            | Error::Unsupported
            | Error::TooLarge { .. } => false,
        }
    }
}
