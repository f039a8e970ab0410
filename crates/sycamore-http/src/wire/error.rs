//! What can be wrong with a message.

use http::StatusCode;
use std::fmt;

/// Why a head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The head is longer than the limit.
    TooLarge,
    /// The head has more fields than the parser takes.
    TooManyFields,
    /// The head is no HTTP.
    Malformed,
    /// The version is neither 1.0 nor 1.1.
    Version,
    /// The request target is not in origin form, such as `/tickets?id=7`.
    Target,
    /// Both `content-length` and `transfer-encoding` are given: a request smuggling form.
    BothLengths,
    /// More than one length is given.
    ManyLengths,
    /// The length is not a plain decimal number.
    BadLength,
    /// The transfer coding is not `chunked` alone.
    Coding,
    /// A response gives no length where a whole message is asked for.
    Unframed,
    /// A response switches to another protocol.
    Upgrade,
}

impl HeadError {
    /// The status that answers a request with this fault.
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
            HeadError::TooLarge => "head is too large",
            HeadError::TooManyFields => "head has too many fields",
            HeadError::Malformed => "head is malformed",
            HeadError::Version => "version is not supported",
            HeadError::Target => "request target is not in origin form",
            HeadError::BothLengths => "both content-length and transfer-encoding are given",
            HeadError::ManyLengths => "more than one content-length is given",
            HeadError::BadLength => "content-length is not a decimal number",
            HeadError::Coding => "transfer-encoding is not chunked",
            HeadError::Unframed => "response gives no length",
            HeadError::Upgrade => "response switches protocols",
        })
    }
}

impl std::error::Error for HeadError {}

/// Why a body is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// A chunk's size line is no hexadecimal number, or too long.
    ChunkSize,
    /// A chunk is not ended by CR LF.
    ChunkEnd,
    /// The trailer section is too long or malformed.
    Trailer,
    /// The stream ended before the body did.
    Cut,
    /// More was written than the length announced.
    Excess,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::ChunkSize => "chunk size is malformed",
            BodyError::ChunkEnd => "chunk is not ended by CR LF",
            BodyError::Trailer => "trailer section is malformed or too long",
            BodyError::Cut => "body was cut",
            BodyError::Excess => "body is longer than announced",
        })
    }
}

impl std::error::Error for BodyError {}
