//! What can go wrong while a message is read.

use crate::wire::{BodyError, HeadError};
use std::fmt;
use std::io;

/// Why a message could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The peer closed the connection before a message began.
    Closed,
    /// The peer closed the connection within a message.
    Cut,
    /// The head is refused.
    Head(HeadError),
    /// The body's framing is broken.
    Body(BodyError),
    /// The body is longer than its limit.
    BodyTooLarge,
    /// The connection failed.
    Io(io::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Closed => f.write_str("connection was closed"),
            ReadError::Cut => f.write_str("connection was closed within a message"),
            ReadError::Head(err) => write!(f, "head was refused: {err}"),
            ReadError::Body(err) => write!(f, "body was refused: {err}"),
            ReadError::BodyTooLarge => f.write_str("body is too large"),
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
