//! Errors that operators are told.

use http::StatusCode;
use serde::Serialize;
use std::fmt;

/// Why a command or query failed.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorError {
    /// The input is wrong: every fault found.
    BadInput {
        /// What was wrong in all.
        error: String,
        /// Each fault, with its place.
        faults: Vec<String>,
    },
    /// The token is missing or wrong.
    Unauthorized,
    /// There is no such command, query, plan or move.
    NotFound(String),
    /// Somebody else changed the same thing first; says who won.
    Conflict {
        /// What happened.
        error: String,
        /// The operator who won.
        winner: String,
    },
    /// The platform can't be reached, or it can't be known yet whether the command took effect.
    Unavailable(String),
}

/// An error's body on the wire.
#[derive(Serialize)]
struct Body<'a> {
    error: String,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    faults: &'a [String],
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<&'a str>,
}

impl OperatorError {
    /// An input with one fault.
    pub fn bad_input(error: impl fmt::Display) -> Self {
        Self::BadInput { error: error.to_string(), faults: Vec::new() }
    }

    /// The status that the error is answered with.
    pub fn status(&self) -> StatusCode {
        match self {
            OperatorError::BadInput { .. } => StatusCode::BAD_REQUEST,
            OperatorError::Unauthorized => StatusCode::UNAUTHORIZED,
            OperatorError::NotFound(_) => StatusCode::NOT_FOUND,
            OperatorError::Conflict { .. } => StatusCode::CONFLICT,
            OperatorError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The body that the error is answered with, as JSON.
    pub fn body(&self) -> Vec<u8> {
        let (faults, winner) = match self {
            OperatorError::BadInput { faults, .. } => (faults.as_slice(), None),
            OperatorError::Conflict { winner, .. } => (&[][..], Some(winner.as_str())),
            _ => (&[][..], None),
        };
        serde_json::to_vec(&Body { error: self.to_string(), faults, winner }).unwrap_or_default()
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorError::BadInput { error, .. } | OperatorError::Conflict { error, .. } => {
                f.write_str(error)
            }
            OperatorError::Unauthorized => f.write_str("a valid operator token is needed"),
            OperatorError::NotFound(what) => write!(f, "{what} is not known"),
            OperatorError::Unavailable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for OperatorError {}
