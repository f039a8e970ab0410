//! Errors of reading a message from a stream.

use crate::wire::{BodyError, HeadError};
use std::fmt;
use std::io;

/// Error of reading a message from a stream.
#[derive(Debug)]
pub enum ReadError {
    /// The peer closed the connection before a message began.
    Closed,
    /// The peer closed the connection within a message.
    Cut,
    /// The head is invalid or exceeds a limit.
    Head(HeadError),
    /// The framing of the body is invalid.
    Body(BodyError),
    /// The body is larger than the caller's limit.
    BodyTooLarge,
    /// Reading from or writing to the stream failed.
    Io(io::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Closed => f.write_str("peer closed the connection before a message"),
            ReadError::Cut => f.write_str("peer closed the connection within a message"),
            ReadError::Head(err) => write!(f, "message head is invalid: {err}"),
            ReadError::Body(err) => write!(f, "message body is invalid: {err}"),
            ReadError::BodyTooLarge => f.write_str("message body is larger than the limit"),
            ReadError::Io(err) => write!(f, "connection failed: {err}"),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<HeadError> for ReadError {
    fn from(err: HeadError) -> Self {
        ReadError::Head(err)
    }
}

impl From<BodyError> for ReadError {
    fn from(err: BodyError) -> Self {
        ReadError::Body(err)
    }
}

impl From<io::Error> for ReadError {
    fn from(err: io::Error) -> Self {
        ReadError::Io(err)
    }
}
