//! Errors of parsing and encoding message heads and bodies.

use http::StatusCode;
use std::fmt;

/// Error of a message head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The head has more bytes than [`HeadLimits::bytes`](super::HeadLimits::bytes).
    TooLarge,
    /// The head has more field names than a [`HeaderMap`](http::HeaderMap) has room for.
    TooManyFields,
    /// The head does not follow the syntax of HTTP/1.1.
    Malformed,
    /// The HTTP version is neither 1.0 nor 1.1.
    Version,
    /// The request target is not in origin form, such as `/tickets?id=7`.
    Target,
    /// The head has both `content-length` and `transfer-encoding`, as in request smuggling.
    BothLengths,
    /// The head has more than one `content-length` value.
    ManyLengths,
    /// The value of `content-length` is not a plain decimal number.
    BadLength,
    /// The value of `transfer-encoding` is not `chunked` alone.
    Coding,
    /// A response to a [`Client`](crate::Client), which needs one, has no length.
    Unframed,
    /// A response switches to another protocol.
    Upgrade,
}

impl HeadError {
    /// Returns the status with which to answer a request that has this error.
    pub fn status(self) -> StatusCode {
        match self {
            HeadError::TooLarge | HeadError::TooManyFields => {
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            HeadError::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeadError::TooLarge => "head is larger than the limit",
            HeadError::TooManyFields => "head has too many fields",
            HeadError::Malformed => "syntax is not HTTP/1.1",
            HeadError::Version => "HTTP version is neither 1.0 nor 1.1",
            HeadError::Target => "request target is not in origin form, such as /path?query",
            HeadError::BothLengths => "both content-length and transfer-encoding are present",
            HeadError::ManyLengths => "more than one content-length is present",
            HeadError::BadLength => "content-length is not a decimal number",
            HeadError::Coding => "transfer-encoding is not chunked alone",
            HeadError::Unframed => "response has neither content-length nor transfer-encoding",
            HeadError::Upgrade => "response switches to another protocol",
        })
    }
}

impl std::error::Error for HeadError {}

/// Error of a message body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The size line of a chunk is not a hexadecimal number or is too long.
    ChunkSize,
    /// The data of a chunk is not followed by CR LF.
    ChunkEnd,
    /// The trailer section is malformed or too long.
    Trailer,
    /// The body is shorter than its declared length.
    Cut,
    /// The body is longer than its declared length.
    Excess,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::ChunkSize => {
                "chunk size is not a hexadecimal number or its line is too long"
            }
            BodyError::ChunkEnd => "chunk data is not followed by CR LF",
            BodyError::Trailer => "trailer section is malformed or too long",
            BodyError::Cut => "body is shorter than its declared length",
            BodyError::Excess => "body is longer than its declared length",
        })
    }
}

impl std::error::Error for BodyError {}
